//! A TCP address at which the program under test will listen, known before the program starts.

use rustix::net::{bind, getsockname, socket, sockopt, AddressFamily, SocketType};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::fd::OwnedFd;

/// An address at a port chosen by the system. It is kept from other users of such ports while this
/// value lives.
///
/// The socket that holds the port never listens, and it shares its address (SO_REUSEADDR and
/// SO_REUSEPORT) like the program's listener, so the program can listen there at any time. Closing
/// a listener before the start would not be enough: a process that another thread forks at that
/// moment keeps a copy of the listener until its exec, and until then the program's bind fails with
/// EADDRINUSE.
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
