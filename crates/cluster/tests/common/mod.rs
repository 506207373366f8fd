//! Addresses of the routers in tests.

use std::net::SocketAddr;

/// The address of a router, by its number.
pub fn router_address(router: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, router as u8], 7_946))
}
