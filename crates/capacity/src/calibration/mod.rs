//! Calibration from the recording of values that the fleet file does not give: response delays and
//! the capacity of edge caches. The recording does not say which responses were hits; a hit is
//! recognized by a short latency in excess of its own transfer time.

mod cache_size;
mod delays;

use crate::network::Network;
use crate::trace::{Trace, TraceRequest};

/// Number of responses below which a value is not calibrated and keeps its default.
const MIN_TIMED_RESPONSES: usize = 30;

/// Calibrates the values that the fleet file does not give, and adds a note to the network for
/// each. `seed` is that of the replay that attributes responses to their sources.
pub fn calibrate(trace: &Trace, network: &mut Network, seed: u64) {
    delays::calibrate_fastest_hits(trace, network);
    cache_size::calibrate(trace, network);
    delays::calibrate(trace, network, seed);
}

/// Returns the latency of a response in excess of its own transfer time, in microseconds, or `None`
/// if the request was not served.
fn latency_excluding_transfer_us(trace: &Trace, request: &TraceRequest) -> Option<f64> {
    let latency_us = request.latency_us?;
    Some(f64::from(latency_us) - trace.transfer_time_s(trace.chunk_of(request)) * 1e6)
}
