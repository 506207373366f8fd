//! Reading a trace from a recording: retries of clients are recognized and left out.

use super::object_size::{SizeEstimator, UnservedWaits};
use super::viewings::ViewingTracker;
use super::{Chunk, ChunkAddress, ChunkId, ListedEndpoint, Purge, Trace, TraceRequest};
use crate::error::PlanError;
use hollymux_capture::{
    EndpointUpdate, RecordedRequest, RecordedResult, Recording, RecordingHeader,
};
use std::collections::{BTreeMap, HashMap};

/// A request for the same chunk this soon after a response that did not serve it is a retry.
const MAX_RETRY_DELAY_US: u64 = 2_500_000;
/// An unserved request waited in earnest if it took this share of the client's timeout.
const EARNEST_WAIT_SHARE: f64 = 0.5;
/// Every router reports a purge at about the same time; reports within this are one purge.
const PURGE_REPORT_SPREAD_US: u64 = 1_000_000;

/// A chunk at a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SiteChunk {
    site: u16,
    chunk: ChunkId,
}

/// What a purge names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PurgeTarget {
    object: Option<u64>,
    group: u32,
}

/// A trace while a recording is read.
#[derive(Default)]
struct TraceBuilder {
    trace: Trace,
    /// The site of each router.
    router_sites: Vec<u16>,
    first_arrival_us: u64,
    chunk_ids: HashMap<ChunkAddress, ChunkId>,
    /// When the last request for a chunk at a site ended without being served.
    unserved_at_us: HashMap<SiteChunk, u64>,
    viewings: ViewingTracker,
    unserved_waits: HashMap<ChunkId, UnservedWaits>,
    retries: usize,
}

impl Trace {
    /// Reads the load out of a recording.
    ///
    /// # Errors
    /// The recording is empty, lacks the rate of a transfer, or contradicts itself.
    pub fn new(recording: &Recording) -> Result<Trace, PlanError> {
        let mut builder = TraceBuilder::new(recording)?;
        for row in &recording.requests {
            builder.add_row(row)?;
        }
        Ok(builder.finish(recording))
    }
}

impl TraceBuilder {
    fn new(recording: &Recording) -> Result<TraceBuilder, PlanError> {
        let head = recording.headers.first().ok_or(PlanError::EmptyRecording)?;
        let first_row = recording.requests.first().ok_or(PlanError::EmptyRecording)?;
        let flow_bytes_per_s = common_flow_rate(head, &recording.headers)?;
        let mut sites: Vec<String> =
            recording.headers.iter().map(|head| head.zone.clone()).collect();
        sites.sort();
        sites.dedup();
        let site_of =
            |head: &RecordingHeader| sites.iter().position(|site| *site == head.zone).unwrap_or(0);
        let router_sites = recording.headers.iter().map(|head| site_of(head) as u16).collect();
        let trace = Trace {
            classes: head.classes.iter().map(Into::into).collect(),
            sites,
            router_count: recording.headers.len(),
            flow_bytes_per_s,
            ..Trace::default()
        };
        let first_arrival_us = first_row.arrived;
        Ok(TraceBuilder { trace, router_sites, first_arrival_us, ..TraceBuilder::default() })
    }

    fn add_row(&mut self, row: &RecordedRequest) -> Result<(), PlanError> {
        let class_count = self.trace.classes.len();
        if usize::from(row.class) >= class_count {
            return Err(PlanError::UnknownClass { class: row.class, class_count });
        }
        let chunk = self.chunk_id(row);
        self.learn_size(chunk, row);
        let site = self.router_sites.get(usize::from(row.router)).copied().unwrap_or(0);
        if self.is_retry(SiteChunk { site, chunk }, row) {
            self.retries += 1;
            return Ok(());
        }
        let viewing = self.viewings.assign(site, row.object, row.arrived);
        self.trace.requests.push(TraceRequest {
            arrived_us: row.arrived - self.first_arrival_us,
            chunk,
            site,
            router: row.router,
            viewing,
            timeout_us: row.timeout,
            latency_us: is_served(row).then(|| row.duration.max(1)),
        });
        Ok(())
    }

    fn chunk_id(&mut self, row: &RecordedRequest) -> ChunkId {
        let chunks = &mut self.trace.chunks;
        let address = ChunkAddress { object: row.object, index: row.chunk };
        *self.chunk_ids.entry(address).or_insert_with(|| {
            chunks.push(Chunk {
                object: row.object,
                index: row.chunk,
                group: row.group,
                class: row.class,
                bytes: 0.0,
                is_unusually_large: false,
            });
            ChunkId(chunks.len() as u32 - 1)
        })
    }

    /// Learns a chunk's size from a response, or how long a client waited in vain for it.
    fn learn_size(&mut self, chunk: ChunkId, row: &RecordedRequest) {
        if is_served(row) {
            let chunk = &mut self.trace.chunks[chunk.0 as usize];
            chunk.bytes = chunk.bytes.max(row.bytes as f32);
        } else if row.attempts > 0
            && f64::from(row.duration) > EARNEST_WAIT_SHARE * f64::from(row.timeout)
        {
            let waits = self.unserved_waits.entry(chunk).or_default();
            waits.count += 1;
            waits.longest_us = waits.longest_us.max(row.duration);
        }
    }

    /// Whether a request follows an unserved one closely; remembers it if it is unserved itself.
    fn is_retry(&mut self, site_chunk: SiteChunk, row: &RecordedRequest) -> bool {
        let unserved_at_us = self.unserved_at_us.remove(&site_chunk);
        if !is_served(row) && row.result != RecordedResult::Routed {
            let ended_us = row.arrived + u64::from(row.duration);
            self.unserved_at_us.insert(site_chunk, ended_us);
        }
        unserved_at_us.is_some_and(|unserved_us| {
            row.arrived >= unserved_us && row.arrived < unserved_us + MAX_RETRY_DELAY_US
        })
    }

    fn finish(self, recording: &Recording) -> Trace {
        let mut trace = self.trace;
        trace.duration_us = trace.requests.last().map_or(0, |last| last.arrived_us) + 1;
        trace.retry_share = self.retries as f64 / recording.requests.len() as f64;
        SizeEstimator::new(&self.unserved_waits).estimate(&mut trace);
        trace.listed_endpoints = listed_endpoints(recording);
        trace.purges = distinct_purges(recording, self.first_arrival_us);
        trace
    }
}

fn is_served(row: &RecordedRequest) -> bool {
    matches!(row.result, RecordedResult::Served | RecordedResult::NotModified)
}

/// The rate of a transfer, on which all routers must agree.
fn common_flow_rate(first: &RecordingHeader, heads: &[RecordingHeader]) -> Result<f64, PlanError> {
    let rate = first.transfer_bytes_per_s;
    if !(rate.is_finite() && rate > 0.0) {
        return Err(PlanError::MissingFlowRate);
    }
    if heads.iter().any(|head| head.transfer_bytes_per_s != rate) {
        return Err(PlanError::ConflictingFlowRates);
    }
    Ok(rate)
}

/// An endpoint with the state it was last listed in.
struct LatestListing {
    endpoint: ListedEndpoint,
    state: u8,
    is_origin: bool,
}

/// The edge caches and parent caches of the recorded endpoint list, as they were last.
fn listed_endpoints(recording: &Recording) -> Vec<ListedEndpoint> {
    let Some(head) = recording.headers.first() else { return Vec::new() };
    let mut latest: BTreeMap<&str, LatestListing> = BTreeMap::new();
    for update in &recording.endpoint_updates {
        let line = &update.entry;
        let uid = recording.endpoint_name(line.name);
        let endpoint = ListedEndpoint {
            uid: uid.to_string(),
            zone: head.zones.get(usize::from(line.zone)).cloned().unwrap_or_default(),
            is_parent_cache: Some(line.kind) == head.parent_kind,
            weight: line.weight,
        };
        let is_origin = Some(line.kind) == head.origin_kind;
        match latest.get_mut(uid) {
            // The last line of an endpoint that leaves says nothing but its state.
            Some(listing) if line.state == EndpointUpdate::STATE_GONE => {
                listing.state = EndpointUpdate::STATE_GONE
            }
            _ => {
                latest.insert(uid, LatestListing { endpoint, state: line.state, is_origin });
            }
        }
    }
    let is_present =
        |listing: &LatestListing| listing.state != EndpointUpdate::STATE_GONE && !listing.is_origin;
    latest.into_values().filter(is_present).map(|listing| listing.endpoint).collect()
}

/// The recorded purges, each once however many routers reported it.
fn distinct_purges(recording: &Recording, first_arrival_us: u64) -> Vec<Purge> {
    let mut last_report_us: HashMap<PurgeTarget, u64> = HashMap::new();
    let mut purges = Vec::new();
    for purge in &recording.purges {
        let line = &purge.entry;
        let target = PurgeTarget { object: line.object, group: line.group };
        let previous_us = last_report_us.insert(target, line.at);
        if previous_us.is_none_or(|previous| line.at > previous + PURGE_REPORT_SPREAD_US) {
            purges.push(Purge {
                at_us: line.at.saturating_sub(first_arrival_us),
                object: line.object,
                group: (line.group & 0xff) as u8,
            });
        }
    }
    purges
}
