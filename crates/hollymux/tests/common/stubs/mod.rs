//! Servers and clients on loopback that speak to a router: endpoints, the endpoint feed, and a
//! client of the platform's protocol. Examples use them too.
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

/// Nothing in the tests takes nearly this long; a test that waits for it has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
