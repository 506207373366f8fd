//! Router addresses shared by the tests.

use std::net::SocketAddr;

/// The advertised address of the router with this number, which must be below 256.
pub fn router_address(router: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, router as u8], 7_946))
}
