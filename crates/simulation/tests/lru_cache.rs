//! The cache of the simulated servers.

use hollymux_simulation::lru_cache::{CopyInfo, LruCache};
use hollymux_simulation::objects::{ChunkKey, Purge};

fn key(object: u64) -> ChunkKey {
    ChunkKey { object, chunk: 0 }
}

fn copy(bytes: u64, retention: u8, dated: u64, group: u32) -> CopyInfo {
    CopyInfo { bytes, retention, dated, group }
}

#[test]
fn low_priorities_are_evicted_first_and_never_for_a_lower_one() {
    let mut cache = LruCache::new(30);
    cache.insert(key(1), copy(10, 2, 5, 0));
    cache.insert(key(2), copy(10, 1, 5, 0));
    cache.insert(key(3), copy(10, 1, 5, 1));
    assert_eq!(cache.find(key(2), 0, 0), Some(5));
    // The least recently used copy of the lowest priority is evicted.
    cache.insert(key(4), copy(10, 1, 6, 1));
    assert_eq!((cache.find(key(3), 0, 0), cache.find(key(2), 0, 2)), (None, Some(5)));
    assert_eq!(cache.find(key(1), 6, 0), None, "the copy is older than requested");
    cache.insert(key(5), copy(30, 1, 6, 1));
    assert!(cache.find(key(5), 0, 0).is_none(), "only a copy of priority 2 could be evicted");
    assert!(cache.find(key(1), 0, 0).is_some());
    cache.purge(&Purge { at: 6, object: Some(1), group: 0 });
    assert!(cache.find(key(1), 0, 0).is_none());
}
