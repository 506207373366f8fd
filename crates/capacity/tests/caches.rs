//! Compares the cache models with Che's approximation and with a reference LRU cache that is a
//! plain list.

use hollymux_capacity::eviction::{LruCache, RetentionPriority};
use hollymux_capacity::reuse_distance::{hit_ratio_curve, CacheAccess};
use hollymux_capacity::trace::ChunkId;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64Mcg;

const PRIORITIES: [RetentionPriority; 3] =
    [RetentionPriority::Lowest, RetentionPriority::Normal, RetentionPriority::High];

/// Returns the hit ratio of an LRU cache under independent requests, by Che's approximation.
fn che_hit_ratio(weights: &[f64], cache_size: f64) -> f64 {
    let total: f64 = weights.iter().sum();
    // The bisection finds the characteristic time: the time in which as many distinct objects are
    // requested as the cache holds.
    let expected_distinct_objects =
        |time: f64| weights.iter().map(|w| 1.0 - (-w / total * time).exp()).sum::<f64>();
    let (mut low, mut high) = (0.0, 1e7);
    for _ in 0..100 {
        let middle = (low + high) / 2.0;
        if expected_distinct_objects(middle) < cache_size {
            low = middle
        } else {
            high = middle
        }
    }
    weights.iter().map(|w| w / total * (1.0 - (-w / total * low).exp())).sum()
}

#[test]
fn the_hit_ratio_under_independent_requests_matches_ches_approximation() {
    let (objects, zipf_exponent) = (2_000usize, 0.9);
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let distribution = Zipf::new(objects as f64, zipf_exponent).unwrap();
    let accesses: Vec<CacheAccess> = (0..300_000u64)
        .map(|at_us| {
            let chunk = ChunkId(distribution.sample(&mut rng) as u32 - 1);
            CacheAccess { at_us, chunk, bytes: 1.0, not_before_us: 0 }
        })
        .collect();
    let curve = hit_ratio_curve(accesses.iter().copied(), 1.0);
    let sampled_curve = hit_ratio_curve(accesses.iter().copied(), 0.2);
    let weights: Vec<f64> = (1..=objects).map(|rank| (rank as f64).powf(-zipf_exponent)).collect();
    for size in [50.0, 200.0, 800.0] {
        let expected = che_hit_ratio(&weights, size);
        let exact = curve.hit_ratio(size);
        assert!(
            (exact - expected).abs() < 0.012,
            "cache size {size}: hit ratio {exact}, expected {expected}"
        );
        // The sample follows a fifth of the objects, which is too few for a comparison at sizes
        // below 100.
        let sampled = sampled_curve.hit_ratio(size);
        assert!(
            size < 100.0 || (sampled - exact).abs() < 0.1,
            "cache size {size}: hit ratio {sampled} sampled, {exact} exact"
        );
    }
}

/// A request for a chunk, and whether the chunk's copies were purged just before it.
type Access = (u32, bool);

/// Returns the hits of an LRU cache of `size` chunks, modelled as a list with the most recently
/// used chunk at its end.
fn reference_lru_hits(accesses: &[Access], size: usize) -> usize {
    let mut list: Vec<u32> = Vec::new();
    let mut hits = 0;
    for (chunk, is_purged) in accesses {
        if let Some(position) = list.iter().position(|held| held == chunk) {
            list.remove(position);
            hits += usize::from(!is_purged);
        }
        list.push(*chunk);
        if list.len() > size {
            list.remove(0);
        }
    }
    hits
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against errors in reuse distances: for every cache size they must give the hits of
    /// the reference cache, including when copies are purged between requests.
    #[test]
    fn reuse_distances_give_the_hits_of_a_reference_lru_cache(
        uses in proptest::collection::vec((0u32..30, proptest::bool::weighted(0.1)), 1..300),
    ) {
        // A purge just before a request makes all copies created earlier invalid.
        let accesses = uses.iter().enumerate().map(|(index, (chunk, is_purged))| {
            let at_us = index as u64 + 1;
            let not_before_us = if *is_purged { at_us } else { 0 };
            CacheAccess { at_us, chunk: ChunkId(*chunk), bytes: 1.0, not_before_us }
        });
        let curve = hit_ratio_curve(accesses, 1.0);
        for size in [1usize, 2, 5, 10, 29, 30] {
            let hits = curve.hit_ratio(size as f64) * uses.len() as f64;
            let expected = reference_lru_hits(&uses, size);
            prop_assert_eq!(hits.round() as usize, expected, "cache size {}", size);
        }
        let highest = curve.max_hit_ratio();
        prop_assert!(highest <= 1.0 && curve.min_size_for(highest).is_some());
    }

    /// Guards against errors in the eviction order: with a single priority, the cache must have the
    /// hits of the reference cache.
    #[test]
    fn a_cache_with_a_single_priority_has_the_hits_of_a_reference_lru_cache(
        uses in proptest::collection::vec(0u32..30, 1..300),
        size in 1usize..20,
    ) {
        let mut cache = LruCache::new(size as f64);
        let mut hits = 0;
        for (index, chunk) in uses.iter().enumerate() {
            if cache.lookup(ChunkId(*chunk), 0, RetentionPriority::Normal).is_some() {
                hits += 1;
            } else {
                cache.insert(ChunkId(*chunk), 1.0, RetentionPriority::Normal, index as u64);
            }
        }
        let accesses: Vec<Access> = uses.iter().map(|chunk| (*chunk, false)).collect();
        prop_assert_eq!(hits, reference_lru_hits(&accesses, size));
    }
}

#[test]
fn a_copy_of_lower_priority_is_evicted_first_and_never_evicts_a_higher_one() {
    use RetentionPriority::{High, Lowest, Normal};
    let mut cache = LruCache::new(3.0);
    cache.insert(ChunkId(1), 1.0, High, 10);
    cache.insert(ChunkId(2), 1.0, Normal, 10);
    cache.insert(ChunkId(3), 1.0, High, 10);
    cache.insert(ChunkId(4), 1.0, Normal, 11);
    assert_eq!(
        (cache.lookup(ChunkId(2), 0, Lowest), cache.lookup(ChunkId(4), 0, Lowest)),
        (None, Some(11))
    );
    cache.insert(ChunkId(5), 3.0, Normal, 12);
    assert!(cache.lookup(ChunkId(5), 0, Lowest).is_none());
    assert!(cache.lookup(ChunkId(1), 0, Lowest).is_some());
    assert!(cache.lookup(ChunkId(3), 11, Lowest).is_none());
    cache.clear();
    assert!(cache.lookup(ChunkId(1), 0, Lowest).is_none());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for step in 0..1_000usize {
        cache.insert(ChunkId(rng.random_range(0..50)), 0.5, PRIORITIES[step % 3], 0);
    }
}
