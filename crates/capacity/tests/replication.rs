//! Replication of chunks by their share of a router's requests.

use hollymux_capacity::replication::ReplicationLevels;

const POPULAR_CHUNK: u32 = 7;
const REQUEST_GAP_US: u64 = 10_000;
const ENDPOINTS: usize = 8;

#[test]
fn a_popular_chunk_is_replicated_and_drawn_in_when_its_requests_end() {
    let mut levels = ReplicationLevels::default();
    let mut replicas = 1;
    for step in 0..2_000u64 {
        let now_us = step * REQUEST_GAP_US;
        let is_popular = step % 2 == 0;
        let chunk = if is_popular { POPULAR_CHUNK } else { step as u32 + 100 };
        replicas = levels.record_request(now_us, chunk, ENDPOINTS);
        if is_popular {
            replicas = replicas.max(levels.record_request(now_us, POPULAR_CHUNK, ENDPOINTS));
        }
    }
    assert!(replicas > 1 || levels.level(POPULAR_CHUNK) > 0);
    for step in 2_000..9_000u64 {
        levels.record_request(step * REQUEST_GAP_US, step as u32 + 100, ENDPOINTS);
    }
    assert!(levels.is_empty(), "{levels:?}");
}
