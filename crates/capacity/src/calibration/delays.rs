//! Calibration of response delays, by the source of the response.

use super::{latency_excluding_transfer_us, MIN_TIMED_RESPONSES};
use crate::network::Network;
use crate::replay::{replay, ReplayOptions, ServedFrom};
use crate::trace::Trace;

/// Quantile of all latencies that is the first estimate of the delay of a hit, before any replay:
/// the fastest responses are hits.
const FASTEST_QUANTILE: f64 = 0.05;
/// Quantile of the latencies of one source that is its delay: slower responses also waited for
/// other transfers.
const UNCONTENDED_QUANTILE: f64 = 0.35;
/// Quantile of the latencies of writes that is their delay; writes do not queue behind transfers.
const WRITE_QUANTILE: f64 = 0.5;

/// Makes a first estimate of the delay of hits, from the fastest responses of all reads.
pub(super) fn calibrate_fastest_hits(trace: &Trace, network: &mut Network) {
    let reads = trace.requests.iter().filter(|request| !trace.class_of(request).is_write);
    let mut latencies: Vec<f64> =
        reads.filter_map(|request| latency_excluding_transfer_us(trace, request)).collect();
    if let Some(fastest_us) = quantile(&mut latencies, FASTEST_QUANTILE) {
        network.delays.hit_us = fastest_us.max(0.0);
    }
}

/// Calibrates the delay of each source, from the responses that a replay attributes to it, and of
/// writes.
pub(super) fn calibrate(trace: &Trace, network: &mut Network, seed: u64) {
    let options = ReplayOptions { seed, record_sources: true, ..ReplayOptions::default() };
    let sources = replay(trace, network, &options).sources;
    calibrate_sources(trace, network, &sources);
    calibrate_writes(trace, network, &sources);
    let delays = network.delays;
    network.calibration_notes.push(format!(
        "answers begin after {:.0} ms from a box, {:.0} ms more from a hub, {:.0} ms more from \
         the library; filings take {:.0} ms",
        delays.hit_us / 1e3,
        delays.parent_us / 1e3,
        delays.origin_us / 1e3,
        delays.write_us / 1e3
    ));
}

fn calibrate_sources(trace: &Trace, network: &mut Network, sources: &[ServedFrom]) {
    if let Some(hit_us) = uncontended_latency_us(trace, sources, ServedFrom::EdgeCache) {
        network.delays.hit_us = hit_us.max(0.0);
    }
    let hit_us = network.delays.hit_us;
    match uncontended_latency_us(trace, sources, ServedFrom::ParentCache) {
        Some(parent_us) => network.delays.parent_us = (parent_us - hit_us).max(0.0),
        None => network
            .calibration_notes
            .push("fills from a hub: too few to time, the way is assumed".into()),
    }
    let parent_us = network.delays.parent_us;
    match uncontended_latency_us(trace, sources, ServedFrom::Origin) {
        Some(origin_us) => network.delays.origin_us = (origin_us - hit_us - parent_us).max(0.0),
        None => network
            .calibration_notes
            .push("fills from the library: too few to time, the way is assumed".into()),
    }
}

/// Calibrates the delay of writes. It is also the origin's service time if the fleet file gives the
/// number of workers but no service time.
fn calibrate_writes(trace: &Trace, network: &mut Network, sources: &[ServedFrom]) {
    let mut latencies: Vec<f64> = trace
        .requests
        .iter()
        .zip(sources)
        .filter(|(_, source)| **source == ServedFrom::Write)
        .filter_map(|(request, _)| request.latency_us.map(f64::from))
        .collect();
    if let Some(write_us) = quantile(&mut latencies, WRITE_QUANTILE) {
        network.delays.write_us = write_us.max(0.0);
    }
    if network.origin.service_us <= 0.0 && network.origin.workers.is_some() {
        network.origin.service_us = network.delays.write_us;
        network.calibration_notes.push(format!(
            "the library's work: {:.0} ms, as filings take",
            network.origin.service_us / 1e3
        ));
    }
}

/// Returns the latency, excluding the transfer, of responses from one source that did not wait for
/// other transfers, in microseconds; `None` if there are too few responses.
fn uncontended_latency_us(
    trace: &Trace,
    sources: &[ServedFrom],
    wanted: ServedFrom,
) -> Option<f64> {
    let mut latencies: Vec<f64> = trace
        .requests
        .iter()
        .zip(sources)
        .filter(|(_, source)| **source == wanted)
        .filter_map(|(request, _)| latency_excluding_transfer_us(trace, request))
        .collect();
    quantile(&mut latencies, UNCONTENDED_QUANTILE)
}

/// Returns a quantile of the latencies, or `None` if there are too few to calibrate by.
fn quantile(latencies: &mut [f64], share: f64) -> Option<f64> {
    if latencies.len() < MIN_TIMED_RESPONSES {
        return None;
    }
    let index = ((latencies.len() - 1) as f64 * share) as usize;
    Some(*latencies.select_nth_unstable_by(index, f64::total_cmp).1)
}
