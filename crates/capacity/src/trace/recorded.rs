//! Conversion of a recording into a trace. Clients' retries are recognized and left out.

use super::object_size::{SizeEstimator, UnservedWaits};
use super::sessions::SessionTracker;
use super::{Chunk, ChunkAddress, ChunkId, ListedEndpoint, Purge, Trace, TraceRequest};
use crate::error::PlanError;
use hollymux_capture::{
    EndpointUpdate, RecordedRequest, RecordedResult, Recording, RecordingHeader,
};
use std::collections::{BTreeMap, HashMap};

/// Maximum time between the end of an unserved request and a request for the same chunk at the same
/// site that counts as its retry, in microseconds.
const MAX_RETRY_DELAY_US: u64 = 2_500_000;
/// Minimum share of the client's timeout that an unserved request must have waited to say something
/// about the chunk's size.
const MIN_UNSERVED_WAIT_SHARE: f64 = 0.5;
/// Maximum time between two reports of the same purge, in microseconds: every router reports a
/// purge at about the same time.
const PURGE_REPORT_SPREAD_US: u64 = 1_000_000;

/// A chunk as requested at one site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SiteChunk {
    site: u16,
    chunk: ChunkId,
}

/// Target of a purge: an object, or a whole group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PurgeTarget {
    object: Option<u64>,
    group: u32,
}

/// State of reading a recording: the trace built so far, and what is needed to recognize retries
/// and to estimate sizes.
#[derive(Default)]
struct TraceBuilder {
    trace: Trace,
    /// Site of each router, by router number.
    router_sites: Vec<u16>,
    first_arrival_us: u64,
    chunk_ids: HashMap<ChunkAddress, ChunkId>,
    /// Time at which the last request for a chunk at a site ended without being served, in
    /// microseconds.
    unserved_at_us: HashMap<SiteChunk, u64>,
    sessions: SessionTracker,
    unserved_waits: HashMap<ChunkId, UnservedWaits>,
    retries: usize,
}

impl Trace {
    /// Builds a trace from a recording.
    ///
    /// # Errors
    /// The recording holds no request, does not give one positive rate of a transfer for all
    /// routers, or has a request of a class that it does not describe.
    pub fn new(recording: &Recording) -> Result<Trace, PlanError> {
        let mut builder = TraceBuilder::new(recording)?;
        for recorded in &recording.requests {
            builder.add_request(recorded)?;
        }
        Ok(builder.finish(recording))
    }
}

impl TraceBuilder {
    fn new(recording: &Recording) -> Result<TraceBuilder, PlanError> {
        let header = recording.headers.first().ok_or(PlanError::EmptyRecording)?;
        let first_request = recording.requests.first().ok_or(PlanError::EmptyRecording)?;
        let flow_bytes_per_s = common_flow_rate(header, &recording.headers)?;
        let mut sites: Vec<String> =
            recording.headers.iter().map(|header| header.zone.clone()).collect();
        sites.sort();
        sites.dedup();
        let site_of = |header: &RecordingHeader| {
            sites.iter().position(|site| *site == header.zone).unwrap_or(0)
        };
        let router_sites = recording.headers.iter().map(|header| site_of(header) as u16).collect();
        let trace = Trace {
            classes: header.classes.iter().map(Into::into).collect(),
            sites,
            router_count: recording.headers.len(),
            flow_bytes_per_s,
            ..Trace::default()
        };
        let first_arrival_us = first_request.arrived;
        Ok(TraceBuilder { trace, router_sites, first_arrival_us, ..TraceBuilder::default() })
    }

    fn add_request(&mut self, recorded: &RecordedRequest) -> Result<(), PlanError> {
        let class_count = self.trace.classes.len();
        if usize::from(recorded.class) >= class_count {
            return Err(PlanError::UnknownClass { class: recorded.class, class_count });
        }
        let chunk = self.chunk_id(recorded);
        self.learn_size(chunk, recorded);
        let site = self.router_sites.get(usize::from(recorded.router)).copied().unwrap_or(0);
        if self.is_retry(SiteChunk { site, chunk }, recorded) {
            self.retries += 1;
            return Ok(());
        }
        let session = self.sessions.assign(site, recorded.object, recorded.arrived);
        self.trace.requests.push(TraceRequest {
            arrived_us: recorded.arrived - self.first_arrival_us,
            chunk,
            site,
            router: recorded.router,
            session,
            timeout_us: recorded.timeout,
            latency_us: is_served(recorded).then(|| recorded.duration.max(1)),
        });
        Ok(())
    }

    fn chunk_id(&mut self, recorded: &RecordedRequest) -> ChunkId {
        let chunks = &mut self.trace.chunks;
        let address = ChunkAddress { object: recorded.object, index: recorded.chunk };
        *self.chunk_ids.entry(address).or_insert_with(|| {
            chunks.push(Chunk {
                object: recorded.object,
                index: recorded.chunk,
                group: recorded.group,
                class: recorded.class,
                bytes: 0.0,
                is_unusually_large: false,
            });
            ChunkId(chunks.len() as u32 - 1)
        })
    }

    /// Updates a chunk's size from a served request, or records how long an unserved request waited
    /// for it.
    fn learn_size(&mut self, chunk: ChunkId, recorded: &RecordedRequest) {
        if is_served(recorded) {
            let chunk = &mut self.trace.chunks[chunk.0 as usize];
            chunk.bytes = chunk.bytes.max(recorded.bytes as f32);
        } else if recorded.attempts > 0
            && f64::from(recorded.duration) > MIN_UNSERVED_WAIT_SHARE * f64::from(recorded.timeout)
        {
            let waits = self.unserved_waits.entry(chunk).or_default();
            waits.count += 1;
            waits.longest_us = waits.longest_us.max(recorded.duration);
        }
    }

    /// Returns whether a request is a retry: it closely follows an unserved request for the same
    /// chunk at the same site. Remembers the request if it is itself unserved.
    fn is_retry(&mut self, site_chunk: SiteChunk, recorded: &RecordedRequest) -> bool {
        let unserved_at_us = self.unserved_at_us.remove(&site_chunk);
        if !is_served(recorded) && recorded.result != RecordedResult::Routed {
            let ended_us = recorded.arrived + u64::from(recorded.duration);
            self.unserved_at_us.insert(site_chunk, ended_us);
        }
        unserved_at_us.is_some_and(|unserved_us| {
            recorded.arrived >= unserved_us && recorded.arrived < unserved_us + MAX_RETRY_DELAY_US
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

fn is_served(recorded: &RecordedRequest) -> bool {
    matches!(recorded.result, RecordedResult::Served | RecordedResult::NotModified)
}

/// Returns the rate of a transfer, which must be positive and the same for all routers.
fn common_flow_rate(
    first: &RecordingHeader,
    headers: &[RecordingHeader],
) -> Result<f64, PlanError> {
    let rate = first.transfer_bytes_per_s;
    if !(rate.is_finite() && rate > 0.0) {
        return Err(PlanError::MissingFlowRate);
    }
    if headers.iter().any(|header| header.transfer_bytes_per_s != rate) {
        return Err(PlanError::ConflictingFlowRates);
    }
    Ok(rate)
}

/// An endpoint with the state in which it was listed last.
struct LatestListing {
    endpoint: ListedEndpoint,
    state: u8,
    is_origin: bool,
}

/// Returns the edge caches and parent caches that are in the endpoint list at the end of the
/// recording, sorted by unique name.
fn listed_endpoints(recording: &Recording) -> Vec<ListedEndpoint> {
    let Some(header) = recording.headers.first() else { return Vec::new() };
    let mut latest: BTreeMap<&str, LatestListing> = BTreeMap::new();
    for update in &recording.endpoint_updates {
        let entry = &update.entry;
        let uid = recording.endpoint_name(entry.name);
        let endpoint = ListedEndpoint {
            uid: uid.to_string(),
            zone: header.zones.get(usize::from(entry.zone)).cloned().unwrap_or_default(),
            is_parent_cache: Some(entry.kind) == header.parent_kind,
            weight: entry.weight,
        };
        let is_origin = Some(entry.kind) == header.origin_kind;
        match latest.get_mut(uid) {
            // The entry that removes an endpoint carries only its state, so the rest is kept as
            // last listed.
            Some(listing) if entry.state == EndpointUpdate::STATE_GONE => {
                listing.state = EndpointUpdate::STATE_GONE
            }
            _ => {
                latest.insert(uid, LatestListing { endpoint, state: entry.state, is_origin });
            }
        }
    }
    let is_present =
        |listing: &LatestListing| listing.state != EndpointUpdate::STATE_GONE && !listing.is_origin;
    latest.into_values().filter(is_present).map(|listing| listing.endpoint).collect()
}

/// Returns the recorded purges without duplicate reports by several routers.
fn distinct_purges(recording: &Recording, first_arrival_us: u64) -> Vec<Purge> {
    let mut last_report_us: HashMap<PurgeTarget, u64> = HashMap::new();
    let mut purges = Vec::new();
    for purge in &recording.purges {
        let entry = &purge.entry;
        let target = PurgeTarget { object: entry.object, group: entry.group };
        let previous_us = last_report_us.insert(target, entry.at);
        if previous_us.is_none_or(|previous| entry.at > previous + PURGE_REPORT_SPREAD_US) {
            purges.push(Purge {
                at_us: entry.at.saturating_sub(first_arrival_us),
                object: entry.object,
                group: (entry.group & 0xff) as u8,
            });
        }
    }
    purges
}
