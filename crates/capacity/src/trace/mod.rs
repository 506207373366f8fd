//! Recorded load as the planner uses it: clients' first attempts by site with the sizes of the
//! chunks they ask for, which can be scaled, cut, and filtered.

mod object_size;
mod purges;
mod recorded;
mod scaling;
mod viewings;

pub use purges::{Purge, PurgeLog};

use hollymux_capture::RecordedClass;
use std::collections::HashMap;

/// A chunk's number: its position in [`Trace::chunks`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkId(pub u32);

/// A chunk of an object.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Chunk {
    /// The object.
    pub object: u64,
    /// The chunk's position in the object.
    pub index: u32,
    /// The object's group, which can be purged as a whole.
    pub group: u8,
    /// The request class, as an index of [`Trace::classes`].
    pub class: u8,
    /// Its size in bytes: as served, or estimated where it was never served.
    pub bytes: f32,
    /// Whether the object is unusually large for its class.
    pub is_unusually_large: bool,
}

/// What identifies a chunk in a recording.
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

/// A client's first attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TraceRequest {
    /// When it arrived, in microseconds from the start of the trace.
    pub arrived_us: u64,
    /// What it asks for.
    pub chunk: ChunkId,
    /// The site, as an index of [`Trace::sites`].
    pub site: u16,
    /// The router.
    pub router: u16,
    /// The viewing that it belongs to: requests of one site for one object that follow each other
    /// closely.
    pub viewing: u32,
    /// How long the client waits, in microseconds.
    pub timeout_us: u32,
    /// How long the recorded response took, in microseconds; none if it was not served.
    pub latency_us: Option<u32>,
}

/// The rules for one class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// The latency objective of a response of no size, in microseconds.
    pub latency_objective_us: u64,
    /// What is added to the objective, in multiples of the time that sending the chunk takes.
    pub latency_objective_stretch: f64,
    /// The priority weight of a response within the objective.
    pub priority_weight: f64,
    /// The share of the weight that a late response earns.
    pub late_weight: f64,
    /// Whether requests change something at the origin; they bypass the caches.
    pub is_write: bool,
    /// Whether clients retry requests that were not served.
    pub clients_retry: bool,
    /// How long a cached copy is fresh, in microseconds; 0: until it is purged.
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

/// An endpoint as the recorded endpoint list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Its unique name.
    pub uid: String,
    /// Its zone: the name of its site, or of the parent cache.
    pub zone: String,
    /// Whether it is a parent cache.
    pub is_parent_cache: bool,
    /// Its link's capacity, in flows.
    pub weight: f64,
}

/// Recorded load.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// First attempts, by arrival.
    pub requests: Vec<TraceRequest>,
    /// The chunks that they ask for.
    pub chunks: Vec<Chunk>,
    /// Purges, in order of time.
    pub purges: Vec<Purge>,
    /// How long the trace lasts, in microseconds.
    pub duration_us: u64,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// Names of the sites.
    pub sites: Vec<String>,
    /// How many routers were recorded.
    pub router_count: usize,
    /// The rate of one transfer to a client, in bytes per second.
    pub flow_bytes_per_s: f64,
    /// Edge caches and parent caches, as listed last.
    pub listed_endpoints: Vec<ListedEndpoint>,
    /// The share of recorded requests that were retries by clients.
    pub retry_share: f64,
}

/// A cut of a trace.
#[derive(Clone, Debug)]
pub struct TraceExcerpt {
    /// The excerpt, which begins at time 0.
    pub trace: Trace,
    /// When the part that it was cut for begins; what comes before is warm-up. Microseconds.
    pub warm_up_ends_us: u64,
}

impl Trace {
    /// The chunk of a number.
    pub fn chunk(&self, chunk: ChunkId) -> &Chunk {
        &self.chunks[chunk.0 as usize]
    }

    /// The chunk that a request asks for.
    pub fn chunk_of(&self, request: &TraceRequest) -> &Chunk {
        self.chunk(request.chunk)
    }

    /// The class of a chunk.
    pub fn class_of_chunk(&self, chunk: &Chunk) -> &RequestClass {
        &self.classes[usize::from(chunk.class)]
    }

    /// The class of a request.
    pub fn class_of(&self, request: &TraceRequest) -> &RequestClass {
        self.class_of_chunk(self.chunk_of(request))
    }

    /// How long it takes to send a chunk to a client, in seconds.
    pub fn sending_time_s(&self, chunk: &Chunk) -> f64 {
        f64::from(chunk.bytes) / self.flow_bytes_per_s
    }

    /// How long a request for a chunk may take to be in time, in microseconds.
    pub fn latency_objective_us(&self, chunk: &Chunk) -> f64 {
        let class = self.class_of_chunk(chunk);
        let stretch_us = class.latency_objective_stretch * self.sending_time_s(chunk) * 1e6;
        class.latency_objective_us as f64 + stretch_us
    }

    /// How long the trace lasts, in seconds.
    pub fn duration_s(&self) -> f64 {
        self.duration_us as f64 / 1e6
    }

    /// First attempts per second.
    pub fn requests_per_s(&self) -> f64 {
        self.requests.len() as f64 / self.duration_s().max(1e-9)
    }

    /// The share of all requested bytes that unusually large objects make up.
    pub fn large_object_share(&self) -> f64 {
        let chunks = || self.requests.iter().map(|request| self.chunk_of(request));
        let all: f64 = chunks().map(|chunk| f64::from(chunk.bytes)).sum();
        let large = chunks().filter(|chunk| chunk.is_unusually_large);
        let large: f64 = large.map(|chunk| f64::from(chunk.bytes)).sum();
        if all > 0.0 {
            large / all
        } else {
            0.0
        }
    }

    /// The same load without unusually large objects.
    pub fn without_large_objects(&self) -> Trace {
        let mut trace = self.clone();
        trace.requests.retain(|request| !self.chunk_of(request).is_unusually_large);
        trace
    }

    /// The share of a site's bytes that goes to objects which no other site requests.
    pub fn local_share(&self, site: usize) -> f64 {
        let only_site = self.only_site_by_object();
        let (mut local, mut all) = (0.0, 0.0);
        for request in self.requests.iter().filter(|request| usize::from(request.site) == site) {
            let chunk = self.chunk_of(request);
            let bytes = f64::from(chunk.bytes);
            all += bytes;
            if only_site.get(&chunk.object).is_some_and(Option::is_some) {
                local += bytes;
            }
        }
        if all > 0.0 {
            local / all
        } else {
            0.0
        }
    }

    /// The busiest stretch of about `max_requests` first attempts, preceded by a third as many as
    /// warm-up. A trace that is short enough is returned whole, without warm-up.
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

    /// The load between two requests, from time 0.
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

    /// For every object the one site that requests it; none where several do.
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
