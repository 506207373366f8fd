//! Client connections: accepting them, reading requests, writing responses, and closing a
//! connection without losing responses that are still in transit.

mod accept;
mod buffer_shares;
mod connection;
mod input;
mod requests;
mod responses;
#[cfg(test)]
mod tests;

pub(crate) use connection::ClientConnection;

/// Maximum number of open requests on one connection; further ones are rejected.
const MAX_OPEN_REQUESTS: usize = 32;
/// A connection is closed when it exceeds this number of wasted requests since its last response. A
/// request is wasted if the client cancels it almost at once or sends it beyond the open-request
/// limit. Well-behaved clients also cancel some requests early.
const MAX_WASTED_REQUESTS: u32 = 48;
/// New requests are rejected while more than this fraction of the buffers is in use.
const BUFFER_PRESSURE_THRESHOLD: f64 = 0.8;
