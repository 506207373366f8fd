//! A TCP address that a program under test will listen at, known before the program starts.

use rustix::net::{bind, getsockname, socket, sockopt, AddressFamily, SocketType};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::fd::OwnedFd;

/// An address at a port of the system's choice, kept from other users of such ports while this
/// value lives.
///
/// The socket that holds the port never listens, and it shares its address as the program's
/// listener does. So the program can listen there at any time. A listener that was closed again
/// would not do: a process that another thread forks at that moment keeps a copy of it until its
/// exec, and meanwhile the program's bind fails with EADDRINUSE.
pub struct ReservedAddress {
    pub addr: SocketAddr,
    _socket: OwnedFd,
}

impl ReservedAddress {
    pub fn new() -> ReservedAddress {
        ReservedAddress::at(Ipv4Addr::LOCALHOST)
    }

    pub fn at(ip: Ipv4Addr) -> ReservedAddress {
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        sockopt::set_socket_reuseaddr(&socket, true).unwrap();
        sockopt::set_socket_reuseport(&socket, true).unwrap();
        bind(&socket, &SocketAddr::new(IpAddr::V4(ip), 0)).unwrap();
        let addr = SocketAddr::try_from(getsockname(&socket).unwrap()).unwrap();
        ReservedAddress { addr, _socket: socket }
    }
}
