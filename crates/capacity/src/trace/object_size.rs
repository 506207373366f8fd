//! Sizes of chunks that were never served, and which objects are unusually large for their class.
//!
//! Clients give up on large objects, so what was never served is larger than what was. The longest
//! wait for a chunk gives its least size.

use super::{Chunk, ChunkId, Trace};
use std::collections::{BTreeMap, HashMap};

/// An object is unusually large from this many times its class's median on.
const LARGE_FACTOR: f64 = 6.0;
/// The same where at least [`MIN_CORROBORATING_CHUNKS`] of its chunks say so. Of a large object
/// only the smaller chunks come in time, so that its mean looks less than it is.
const CORROBORATED_LARGE_FACTOR: f64 = 3.5;
/// See [`CORROBORATED_LARGE_FACTOR`].
const MIN_CORROBORATING_CHUNKS: f64 = 3.0;
/// An object that was never served is held to be too large if chance explains its unserved waits
/// with less than this probability.
const MAX_CHANCE: f64 = 0.02;
/// Chunks that were never served are larger than those of the same object that were, and than their
/// longest wait could have brought, by about this factor.
const UNSERVED_SIZE_FACTOR: f64 = 1.3;
/// Objects of a class that must be known before any of them is called unusually large.
const MIN_KNOWN_OBJECTS: usize = 20;

/// Requests for a chunk that waited long and were not served.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UnservedWaits {
    pub(super) count: u32,
    pub(super) longest_us: u32,
}

/// What is known of an object's size.
#[derive(Clone, Copy, Debug, Default)]
struct ObjectEvidence {
    served_bytes: f64,
    served_chunks: f64,
    unserved_waits: u32,
    /// What the longest unserved wait could have brought, in bytes.
    longest_wait_bytes: f64,
}

impl ObjectEvidence {
    fn was_served(&self) -> bool {
        self.served_chunks > 0.0
    }

    fn mean_chunk_bytes(&self) -> f64 {
        if self.was_served() {
            self.served_bytes / self.served_chunks
        } else {
            0.0
        }
    }
}

/// What is usual in a class.
#[derive(Clone, Copy, Debug)]
struct ClassStatistics {
    median_chunk_bytes: f64,
    median_object_mean_bytes: f64,
    /// The share of requests that waited in vain.
    unserved_share: f64,
    knows_enough_objects: bool,
}

impl ClassStatistics {
    /// Whether an object that was never served is too large to be served.
    fn is_too_large(&self, evidence: &ObjectEvidence) -> bool {
        !evidence.was_served()
            && evidence.longest_wait_bytes > self.median_chunk_bytes
            && self.unserved_share.powi(evidence.unserved_waits as i32) < MAX_CHANCE
    }

    fn is_unusually_large(&self, evidence: &ObjectEvidence) -> bool {
        let witnesses = evidence.served_chunks + f64::from(evidence.unserved_waits);
        let factor = if witnesses >= MIN_CORROBORATING_CHUNKS {
            CORROBORATED_LARGE_FACTOR
        } else {
            LARGE_FACTOR
        };
        let exceeds = evidence.mean_chunk_bytes() > factor * self.median_object_mean_bytes;
        self.knows_enough_objects && (exceeds || self.is_too_large(evidence))
    }
}

/// Estimates sizes from unserved waits, by chunk.
pub(super) struct SizeEstimator<'a> {
    unserved_waits: &'a HashMap<ChunkId, UnservedWaits>,
}

impl<'a> SizeEstimator<'a> {
    pub(super) fn new(unserved_waits: &'a HashMap<ChunkId, UnservedWaits>) -> SizeEstimator<'a> {
        SizeEstimator { unserved_waits }
    }

    /// Fills in the sizes that are missing and marks unusually large objects.
    pub(super) fn estimate(&self, trace: &mut Trace) {
        for class in 0..trace.classes.len() {
            let evidence = self.evidence_by_object(trace, class);
            let statistics = self.class_statistics(trace, class, &evidence);
            let flow_bytes_per_s = trace.flow_bytes_per_s;
            let chunks = trace.chunks.iter_mut().enumerate();
            for (index, chunk) in chunks.filter(|(_, chunk)| usize::from(chunk.class) == class) {
                let object = evidence.get(&chunk.object).copied().unwrap_or_default();
                chunk.is_unusually_large = statistics.is_unusually_large(&object);
                if chunk.bytes <= 0.0 {
                    let wait_bytes = self.wait_bytes(ChunkId(index as u32), flow_bytes_per_s);
                    chunk.bytes = estimated_bytes(chunk, wait_bytes, &object, &statistics);
                }
            }
        }
    }

    /// What the longest unserved wait for a chunk could have brought.
    fn wait_bytes(&self, chunk: ChunkId, flow_bytes_per_s: f64) -> f64 {
        let waits = self.unserved_waits.get(&chunk);
        waits.map_or(0.0, |waits| f64::from(waits.longest_us) / 1e6 * flow_bytes_per_s)
    }

    fn evidence_by_object(&self, trace: &Trace, class: usize) -> BTreeMap<u64, ObjectEvidence> {
        let mut objects: BTreeMap<u64, ObjectEvidence> = BTreeMap::new();
        let chunks = trace.chunks.iter().enumerate();
        for (index, chunk) in chunks.filter(|(_, chunk)| usize::from(chunk.class) == class) {
            let object = objects.entry(chunk.object).or_default();
            if chunk.bytes > 0.0 {
                object.served_bytes += f64::from(chunk.bytes);
                object.served_chunks += 1.0;
            }
            if let Some(waits) = self.unserved_waits.get(&ChunkId(index as u32)) {
                let wait_bytes = self.wait_bytes(ChunkId(index as u32), trace.flow_bytes_per_s);
                object.unserved_waits += waits.count;
                object.longest_wait_bytes = object.longest_wait_bytes.max(wait_bytes);
            }
        }
        objects
    }

    fn class_statistics(
        &self,
        trace: &Trace,
        class: usize,
        evidence: &BTreeMap<u64, ObjectEvidence>,
    ) -> ClassStatistics {
        let in_class = |chunk: &Chunk| usize::from(chunk.class) == class;
        let served = trace.chunks.iter().filter(|chunk| in_class(chunk) && chunk.bytes > 0.0);
        let mut chunk_sizes: Vec<f64> = served.map(|chunk| f64::from(chunk.bytes)).collect();
        let requests =
            trace.requests.iter().filter(|request| in_class(trace.chunk_of(request))).count();
        let unserved: f64 = evidence.values().map(|object| f64::from(object.unserved_waits)).sum();
        let served_objects = evidence.values().filter(|object| object.was_served());
        let mut object_means: Vec<f64> =
            served_objects.map(ObjectEvidence::mean_chunk_bytes).collect();
        ClassStatistics {
            median_chunk_bytes: median(&mut chunk_sizes),
            knows_enough_objects: object_means.len() >= MIN_KNOWN_OBJECTS,
            median_object_mean_bytes: median(&mut object_means),
            unserved_share: (unserved / (requests as f64).max(1.0)).clamp(0.0, 1.0),
        }
    }
}

/// The size of a chunk that was never served.
fn estimated_bytes(
    chunk: &Chunk,
    wait_bytes: f64,
    object: &ObjectEvidence,
    class: &ClassStatistics,
) -> f32 {
    let bytes = if object.was_served() && chunk.is_unusually_large {
        UNSERVED_SIZE_FACTOR * object.mean_chunk_bytes().max(wait_bytes)
    } else if object.was_served() {
        object.mean_chunk_bytes()
    } else if class.is_too_large(object) {
        UNSERVED_SIZE_FACTOR * object.longest_wait_bytes
    } else {
        class.median_chunk_bytes
    };
    bytes as f32
}

/// The median, the upper one of an even number of values; 0 without values.
fn median(values: &mut [f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}
