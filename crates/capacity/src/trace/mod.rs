//! Recorded load in the form that the planner replays: the first attempts of clients by site, with
//! the sizes of the requested chunks. A trace can be scaled, cut to an excerpt, and filtered.

mod object_size;
mod purges;
mod recorded;
mod scaling;
mod sessions;

pub use purges::{Purge, PurgeLog};

use hollymux_capture::RecordedClass;
use std::collections::HashMap;

/// Number of a chunk: its index in [`Trace::chunks`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkId(pub u32);

/// A chunk of an object, as requested in a trace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Chunk {
    /// Identifier of the object that contains the chunk, as recorded.
    pub object: u64,
    /// Position of the chunk in its object, from 0.
    pub index: u32,
    /// Object group, which can be purged as a whole.
    pub group: u8,
    /// Request class, as an index of [`Trace::classes`].
    pub class: u8,
    /// Size in bytes: as served, or estimated if the chunk was never served.
    pub bytes: f32,
    /// Whether the object is unusually large for its class.
    pub is_unusually_large: bool,
}

/// Identity of a chunk in a recording.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ChunkAddress {
    object: u64,
    index: u32,
}

impl Chunk {
    fn address(&self) -> ChunkAddress {
        ChunkAddress { object: self.object, index: self.index }
    }
}

/// A client's first attempt at a request; retries are not part of a trace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TraceRequest {
    /// Arrival time, in microseconds from the start of the trace.
    pub arrived_us: u64,
    /// Chunk that the request is for, as an index of [`Trace::chunks`].
    pub chunk: ChunkId,
    /// Site of the router that received the request, as an index of [`Trace::sites`].
    pub site: u16,
    /// Number of the router that received the request.
    pub router: u16,
    /// Number of the viewing session that the request belongs to: the requests of one site for one
    /// object that follow each other closely.
    pub session: u32,
    /// The client's timeout, in microseconds.
    pub timeout_us: u32,
    /// Latency of the recorded response, in microseconds; `None` if the request was not served.
    pub latency_us: Option<u32>,
}

/// Objectives and rules for one class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestClass {
    /// Name of the class in the recording, by which requests refer to it.
    pub name: String,
    /// Fixed part of the latency objective, in microseconds: the objective of an empty response.
    pub latency_objective_us: u64,
    /// Size-dependent part of the latency objective, in multiples of the time that the transfer of
    /// the chunk to the client takes.
    pub latency_objective_stretch: f64,
    /// Priority weight earned by a response within the latency objective.
    pub priority_weight: f64,
    /// Share of the priority weight earned by a late response.
    pub late_weight: f64,
    /// Whether requests are writes, which bypass the caches and are executed by the origin.
    pub is_write: bool,
    /// Whether clients retry requests that were not served: true for idempotent ones.
    pub clients_retry: bool,
    /// Time for which a cached copy is fresh, in microseconds; 0 if it stays fresh until it is
    /// purged.
    pub fresh_for_us: u64,
}

impl From<&RecordedClass> for RequestClass {
    fn from(recorded: &RecordedClass) -> RequestClass {
        RequestClass {
            name: recorded.name.clone(),
            latency_objective_us: recorded.latency_objective,
            latency_objective_stretch: recorded.latency_objective_stretch,
            priority_weight: recorded.priority_weight,
            late_weight: recorded.late_weight,
            is_write: recorded.is_write,
            clients_retry: recorded.is_idempotent,
            fresh_for_us: recorded.fresh_for,
        }
    }
}

/// An edge cache or parent cache in the recorded endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Unique name of the endpoint.
    pub uid: String,
    /// Zone: the name of the endpoint's site, or of the parent cache itself.
    pub zone: String,
    /// Whether the endpoint is a parent cache rather than an edge cache.
    pub is_parent_cache: bool,
    /// Listed weight: the capacity of the endpoint's link, in flows.
    pub weight: f64,
}

/// Recorded load of all sites.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// First attempts of clients, in order of arrival.
    pub requests: Vec<TraceRequest>,
    /// Requested chunks, by number.
    pub chunks: Vec<Chunk>,
    /// Purges of cached copies, in order of time.
    pub purges: Vec<Purge>,
    /// Length of the trace, in microseconds.
    pub duration_us: u64,
    /// Request classes, by index.
    pub classes: Vec<RequestClass>,
    /// Names of the sites, by index.
    pub sites: Vec<String>,
    /// Number of recorded routers.
    pub router_count: usize,
    /// Rate of one flow, a transfer to a client, in bytes per second.
    pub flow_bytes_per_s: f64,
    /// Edge caches and parent caches in the state in which they were listed last.
    pub listed_endpoints: Vec<ListedEndpoint>,
    /// Share of the recorded requests that were retries by clients, 0 to 1.
    pub retry_share: f64,
}

/// A contiguous part of a trace with a warm-up period at its start.
#[derive(Clone, Debug)]
pub struct TraceExcerpt {
    /// Load of the excerpt, with times counted from its start.
    pub trace: Trace,
    /// End of the warm-up period, in microseconds from the start of the excerpt; 0 without one.
    pub warm_up_ends_us: u64,
}

impl Trace {
    /// Returns the chunk with the number `chunk`.
    pub fn chunk(&self, chunk: ChunkId) -> &Chunk {
        &self.chunks[chunk.0 as usize]
    }

    /// Returns the chunk that a request of this trace asks for.
    pub fn chunk_of(&self, request: &TraceRequest) -> &Chunk {
        self.chunk(request.chunk)
    }

    /// Returns the objectives and rules that apply to requests for a chunk of this trace.
    pub fn class_of_chunk(&self, chunk: &Chunk) -> &RequestClass {
        &self.classes[usize::from(chunk.class)]
    }

    /// Returns the request class of the chunk that a request is for.
    pub fn class_of(&self, request: &TraceRequest) -> &RequestClass {
        self.class_of_chunk(self.chunk_of(request))
    }

    /// Returns how long a transfer of the chunk to a client takes at the full rate of a flow, in
    /// seconds.
    pub fn transfer_time_s(&self, chunk: &Chunk) -> f64 {
        f64::from(chunk.bytes) / self.flow_bytes_per_s
    }

    /// Returns the latency objective of requests for a chunk, in microseconds.
    pub fn latency_objective_us(&self, chunk: &Chunk) -> f64 {
        let class = self.class_of_chunk(chunk);
        let stretch_us = class.latency_objective_stretch * self.transfer_time_s(chunk) * 1e6;
        class.latency_objective_us as f64 + stretch_us
    }

    /// Returns the length of the trace, in seconds.
    pub fn duration_s(&self) -> f64 {
        self.duration_us as f64 / 1e6
    }

    /// Returns the mean rate of first attempts, per second.
    pub fn requests_per_s(&self) -> f64 {
        self.requests.len() as f64 / self.duration_s().max(1e-9)
    }

    /// Returns the share of requested bytes that belongs to unusually large objects; 0 if no bytes
    /// are requested.
    pub fn large_object_share(&self) -> f64 {
        let chunks = || self.requests.iter().map(|request| self.chunk_of(request));
        let all_bytes: f64 = chunks().map(|chunk| f64::from(chunk.bytes)).sum();
        let large = chunks().filter(|chunk| chunk.is_unusually_large);
        let large_bytes: f64 = large.map(|chunk| f64::from(chunk.bytes)).sum();
        if all_bytes > 0.0 {
            large_bytes / all_bytes
        } else {
            0.0
        }
    }

    /// Returns the same load without requests for unusually large objects.
    pub fn without_large_objects(&self) -> Trace {
        let mut trace = self.clone();
        trace.requests.retain(|request| !self.chunk_of(request).is_unusually_large);
        trace
    }

    /// Returns the share of a site's requested bytes that belongs to objects which no other site
    /// requests; 0 if the site requests none.
    pub fn local_share(&self, site: usize) -> f64 {
        let only_site = self.only_site_by_object();
        let (mut local_bytes, mut all_bytes) = (0.0, 0.0);
        for request in self.requests.iter().filter(|request| usize::from(request.site) == site) {
            let chunk = self.chunk_of(request);
            let bytes = f64::from(chunk.bytes);
            all_bytes += bytes;
            if only_site.get(&chunk.object).is_some_and(Option::is_some) {
                local_bytes += bytes;
            }
        }
        if all_bytes > 0.0 {
            local_bytes / all_bytes
        } else {
            0.0
        }
    }

    /// Returns the busiest excerpt of `max_requests` first attempts. Its first quarter is warm-up;
    /// the rest is the run of consecutive requests of that number that arrives in the shortest
    /// time. A trace with at most `max_requests` is returned whole, without warm-up.
    pub fn busiest_excerpt(&self, max_requests: usize) -> TraceExcerpt {
        if self.requests.len() <= max_requests {
            return TraceExcerpt { trace: self.clone(), warm_up_ends_us: 0 };
        }
        let warm_up = max_requests / 4;
        let body = max_requests - warm_up;
        let arrived_us = |index: usize| self.requests[index].arrived_us;
        let duration_of = |first: &usize| arrived_us(*first + body - 1) - arrived_us(*first);
        let last_start = self.requests.len() - body;
        let first = (warm_up..=last_start).min_by_key(duration_of).unwrap_or(warm_up);
        let start_us = arrived_us(first - warm_up);
        TraceExcerpt {
            trace: self.cut(first - warm_up, first + body),
            warm_up_ends_us: arrived_us(first) - start_us,
        }
    }

    /// Returns the load from the request at index `first` to the one before `end`, with times
    /// counted from the first.
    fn cut(&self, first: usize, end: usize) -> Trace {
        let start_us = self.requests[first].arrived_us;
        let mut trace = self.clone();
        trace.requests = self.requests[first..end].to_vec();
        trace.requests.iter_mut().for_each(|request| request.arrived_us -= start_us);
        trace.duration_us = trace.requests.last().map_or(0, |last| last.arrived_us) + 1;
        let end_us = start_us + trace.duration_us;
        trace.purges.retain(|purge| purge.at_us >= start_us && purge.at_us < end_us);
        trace.purges.iter_mut().for_each(|purge| purge.at_us -= start_us);
        trace
    }

    /// Returns, for each object, the only site that requests it, or `None` if several sites do.
    fn only_site_by_object(&self) -> HashMap<u64, Option<u16>> {
        let mut only_site: HashMap<u64, Option<u16>> = HashMap::new();
        for request in &self.requests {
            let object = self.chunk_of(request).object;
            let site = only_site.entry(object).or_insert(Some(request.site));
            *site = site.filter(|known| *known == request.site);
        }
        only_site
    }
}
