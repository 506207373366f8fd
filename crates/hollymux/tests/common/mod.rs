//! Helpers shared by the tests: the program as a process, its configuration and admin endpoint, and
//! simulated peers.
#![allow(dead_code, unused_imports, reason = "every test uses a part of this")]

mod admin;
mod config;
pub mod manual_endpoints;
mod process;
pub mod reserved_address;
mod stubs;

pub use admin::{admin_address, admin_call};
pub use config::{config, temp_file, with_admin_endpoint, SETTINGS};
pub use process::{hollymux_command, RouterProcess};
pub use stubs::*;

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Calls `check` repeatedly until it returns a result, and returns that. Panics after
/// [`TEST_TIMEOUT`].
pub fn wait_until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(result) = check() {
            return result;
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "waited too long for {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// The current time in milliseconds of Unix time.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}
