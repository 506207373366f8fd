//! Replication of chunks by their share of a router's requests.

use hollymux_capacity::replication::ReplicationLevels;
use hollymux_capacity::trace::ChunkId;

const POPULAR_CHUNK: ChunkId = ChunkId(7);
const REQUEST_GAP_US: u64 = 10_000;
const ENDPOINTS: usize = 8;

/// Returns a chunk that is requested only once, at one step of the test.
fn rare_chunk(step: u64) -> ChunkId {
    ChunkId(step as u32 + 100)
}

#[test]
fn a_popular_chunk_is_replicated_until_its_requests_end() {
    let mut levels = ReplicationLevels::default();
    let mut replicas = 1;
    for step in 0..2_000u64 {
        let now_us = step * REQUEST_GAP_US;
        let is_popular = step % 2 == 0;
        let chunk = if is_popular { POPULAR_CHUNK } else { rare_chunk(step) };
        replicas = levels.record_request(now_us, chunk, ENDPOINTS);
        if is_popular {
            replicas = replicas.max(levels.record_request(now_us, POPULAR_CHUNK, ENDPOINTS));
        }
    }
    assert!(replicas > 1 || levels.level(POPULAR_CHUNK) > 0);
    for step in 2_000..9_000u64 {
        levels.record_request(step * REQUEST_GAP_US, rare_chunk(step), ENDPOINTS);
    }
    assert!(levels.is_empty(), "{levels:?}");
}
