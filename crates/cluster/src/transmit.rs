//! Datagrams on their way out, and the bounded queue that holds them until the caller sends them.

use std::net::SocketAddr;

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// The router that it is for.
    pub destination: SocketAddr,
    /// What to send.
    pub payload: Vec<u8>,
}
