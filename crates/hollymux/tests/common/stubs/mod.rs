//! Loopback peers of a router: stub endpoints, a stub endpoint feed, and a client of the platform's
//! protocol. The examples use them too.
#![allow(dead_code, unused_imports, reason = "every test and example uses a part of this")]

mod client;
mod endpoint;
mod feed;
mod resp;

pub use client::Client;
pub use endpoint::{ReceivedAttempt, StubBehavior, StubEndpoint};
pub use feed::{endpoint_line, endpoint_line_started_at, endpoint_lines, StubFeed};
pub use resp::{read_resp_array, resp_array};

use std::time::Duration;

/// Time after which a wait of a test fails. Nothing in the tests takes nearly as long.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
