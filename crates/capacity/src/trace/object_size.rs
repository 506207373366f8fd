//! Estimates of the sizes of chunks that were never served, and detection of objects that are
//! unusually large for their class.
//!
//! Clients time out on large objects, so chunks that were never served tend to be larger than those
//! that were. The longest time that a client waited for a chunk gives a lower bound of its size.

use super::{Chunk, ChunkId, Trace};
use std::collections::{BTreeMap, HashMap};

/// Ratio of an object's mean chunk size to the median over the objects of its class above which the
/// object is unusually large.
const LARGE_FACTOR: f64 = 6.0;
/// The ratio that is sufficient if at least [`MIN_CORROBORATING_CHUNKS`] chunks or unserved waits
/// are known. Only the smaller chunks of a large object are served in time, so the mean of those
/// served underestimates it.
const CORROBORATED_LARGE_FACTOR: f64 = 3.5;
/// Number of served chunks and unserved waits from which [`CORROBORATED_LARGE_FACTOR`] applies.
const MIN_CORROBORATING_CHUNKS: f64 = 3.0;
/// Probability below which chance does not explain the unserved waits of an object that was never
/// served; the object then counts as too large to be served.
const MAX_CHANCE: f64 = 0.02;
/// Estimated ratio of the size of a chunk that was never served to the sizes of served chunks of
/// the same object, and to the bytes that a transfer could have sent during the longest wait.
const UNSERVED_SIZE_FACTOR: f64 = 1.3;
/// Minimum number of served objects in a class before any of its objects is classified as unusually
/// large.
const MIN_KNOWN_OBJECTS: usize = 20;

/// Requests for one chunk that waited long and were not served.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UnservedWaits {
    pub(super) count: u32,
    pub(super) longest_us: u32,
}

/// What the recording shows of an object's size.
#[derive(Clone, Copy, Debug, Default)]
struct ObjectEvidence {
    served_bytes: f64,
    served_chunks: f64,
    unserved_waits: u32,
    /// Bytes that a transfer could have sent during the longest unserved wait for one of its
    /// chunks.
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

/// Statistics of the sizes and unserved waits in a request class.
#[derive(Clone, Copy, Debug)]
struct ClassStatistics {
    median_chunk_bytes: f64,
    median_object_mean_bytes: f64,
    /// Share of the class's requests that waited long and were not served, 0 to 1.
    unserved_share: f64,
    has_enough_objects: bool,
}

impl ClassStatistics {
    /// Whether the object was never served and is too large to be served within clients' timeouts.
    fn is_too_large(&self, evidence: &ObjectEvidence) -> bool {
        !evidence.was_served()
            && evidence.longest_wait_bytes > self.median_chunk_bytes
            && self.unserved_share.powi(evidence.unserved_waits as i32) < MAX_CHANCE
    }

    fn is_unusually_large(&self, evidence: &ObjectEvidence) -> bool {
        let evidence_count = evidence.served_chunks + f64::from(evidence.unserved_waits);
        let factor = if evidence_count >= MIN_CORROBORATING_CHUNKS {
            CORROBORATED_LARGE_FACTOR
        } else {
            LARGE_FACTOR
        };
        let exceeds = evidence.mean_chunk_bytes() > factor * self.median_object_mean_bytes;
        self.has_enough_objects && (exceeds || self.is_too_large(evidence))
    }
}

/// Estimates chunk sizes from the unserved waits for each chunk.
pub(super) struct SizeEstimator<'a> {
    unserved_waits: &'a HashMap<ChunkId, UnservedWaits>,
}

impl<'a> SizeEstimator<'a> {
    pub(super) fn new(unserved_waits: &'a HashMap<ChunkId, UnservedWaits>) -> SizeEstimator<'a> {
        SizeEstimator { unserved_waits }
    }

    /// Fills in the missing chunk sizes of a trace and marks unusually large objects.
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

    /// Returns the bytes that a transfer could have sent during the longest unserved wait for a
    /// chunk; 0 without any.
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
            has_enough_objects: object_means.len() >= MIN_KNOWN_OBJECTS,
            median_object_mean_bytes: median(&mut object_means),
            unserved_share: (unserved / (requests as f64).max(1.0)).clamp(0.0, 1.0),
        }
    }
}

/// Estimates the size of a chunk that was never served, in bytes.
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

/// Returns the median, the upper one for an even number of values; 0 without values.
fn median(values: &mut [f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}
