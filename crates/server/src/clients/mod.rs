//! Connections of clients: accepting them, reading requests, writing responses, and closing them in
//! an orderly way.

mod accept;
mod connection;
mod requests;
mod responses;

pub(crate) use connection::ClientConnection;

/// Requests that may be open on one connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Wasted requests that end a connection: those cancelled at once or beyond the open ones, without
/// a response between. Well-behaved clients cancel now and then as well.
const MAX_WASTED_REQUESTS: u32 = 48;
/// New requests are rejected from this part of the buffers in use on.
const BUFFER_PRESSURE_THRESHOLD: f64 = 0.8;
