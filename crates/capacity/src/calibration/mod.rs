//! Calibration: what an operator cannot write down is estimated from the recording, namely how long
//! responses take to begin and how much edge caches hold. The recording does not say which
//! responses were hits; a hit shows by how little it took beside its own sending time.

mod cache_size;
mod delays;

use crate::network::Network;
use crate::trace::{Trace, TraceRequest};

/// With fewer responses a value keeps its default.
const MIN_TIMED_RESPONSES: usize = 30;

/// Estimates what the fleet file does not give, and notes in the network what was estimated.
pub fn calibrate(trace: &Trace, network: &mut Network, seed: u64) {
    delays::calibrate_fastest_hits(trace, network);
    cache_size::calibrate(trace, network);
    delays::calibrate(trace, network, seed);
}

/// What a response took beside its own sending time, in microseconds; none if it was not served.
fn latency_beside_sending_us(trace: &Trace, request: &TraceRequest) -> Option<f64> {
    let latency_us = request.latency_us?;
    Some(f64::from(latency_us) - trace.sending_time_s(trace.chunk_of(request)) * 1e6)
}
