//! Addresses at which the program under test will listen, known before the program starts: a TCP
//! address that stays reserved, and UDP addresses that no other test gets.

use rustix::net::{bind, getsockname, socket, sockopt, AddressFamily, SocketType};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicU8, Ordering};

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

/// The second byte of loopback addresses made for a test process is at least this, apart from
/// 127.0.0.1 and its neighbours.
const FIRST_PROCESS_NETWORK: u32 = 64;
/// Number of values that the second byte of such an address can take.
const PROCESS_NETWORKS: u32 = 128;

/// A UDP address with a port chosen by the system, which is free when this returns.
///
/// The port can't stay bound until the program binds it, as the program shares no UDP address. So
/// the address is at a loopback IP address of its own, made from the process id and the number of
/// the call: a test that runs at the same time can't be given the same address meanwhile, which
/// would join the clusters of both tests.
pub fn free_udp_address() -> SocketAddr {
    static CALLS: AtomicU8 = AtomicU8::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let network = FIRST_PROCESS_NETWORK + u32::from(high) % PROCESS_NETWORKS;
    let number = CALLS.fetch_add(1, Ordering::Relaxed) + 1;
    let ip = Ipv4Addr::new(127, network as u8, low, number);
    UdpSocket::bind((ip, 0)).unwrap().local_addr().unwrap()
}
