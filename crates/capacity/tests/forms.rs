//! The planner's parts against closed forms and plain references.

use hollymux_capacity::keep::Keep;
use hollymux_capacity::link::{erlang_wait, sharing_time, Link, Workers};
use hollymux_capacity::reuse::{curve, Use};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, Zipf};
use rand_pcg::Pcg64Mcg;

fn exp(rng: &mut Pcg64Mcg) -> f64 {
    Exp1.sample(rng)
}

#[test]
fn a_shared_link_takes_as_long_as_the_formula_says_and_keeps_littles_law() {
    // One job alone at 1 byte a microsecond; mean size 10,000 bytes; load 0.7.
    for load in [0.3, 0.7] {
        let mut rng = Pcg64Mcg::seed_from_u64(5);
        let mut link = Link::new(1e6, 1e6);
        let (mut now, mut next, mut id) = (0u64, 0u64, 0u64);
        let (mut came, mut total, mut ended, mut area) = (Vec::new(), 0.0, 0u64, 0.0);
        while ended < 200_000 {
            let due = link.due().unwrap_or(u64::MAX);
            let to = due.min(next);
            area += (to - now) as f64 * link.active as f64;
            now = to;
            if due <= next {
                while let Some(job) = link.ended(now) {
                    let at: u64 = came[job as usize];
                    total += (now - at) as f64;
                    ended += 1;
                }
            } else {
                came.push(now);
                link.add(now, id, exp(&mut rng) * 10_000.0);
                id += 1;
                next = now + (exp(&mut rng) * 10_000.0 / load) as u64;
            }
        }
        let mean = total / ended as f64 / 10_000.0;
        let form = sharing_time(load).unwrap();
        assert!((mean / form - 1.0).abs() < 0.05, "load {load}: {mean} against {form}");
        // Little: jobs there on average are jobs a microsecond times how long each stays.
        let little = id as f64 / now as f64 * (total / ended as f64);
        assert!((area / now as f64 / little - 1.0).abs() < 0.01);
        let carried: f64 = (0..(now / 1_000_000) as usize).map(|s| link.used(s)).sum::<f64>();
        assert!((carried / (now / 1_000_000) as f64 / load - 1.0).abs() < 0.03, "{load}");
    }
    assert_eq!((sharing_time(1.0), erlang_wait(4.0, 4), erlang_wait(1.0, 0)), (None, None, None));
}

#[test]
fn workers_keep_calls_waiting_as_long_as_erlang_says() {
    for (load, count) in [(0.6, 1), (3.2, 4), (14.0, 16)] {
        let mut rng = Pcg64Mcg::seed_from_u64(9);
        let mut workers = Workers::new(Some(count), None);
        let (mut now, mut waited) = (0.0, 0.0);
        let calls = 300_000;
        for _ in 0..calls {
            now += exp(&mut rng) * 10_000.0 / load;
            let work = (exp(&mut rng) * 10_000.0) as u64;
            let done = workers.call(now as u64, work).unwrap();
            waited += done as f64 - now - work as f64;
        }
        let (mean, form) = (waited / calls as f64 / 10_000.0, erlang_wait(load, count).unwrap());
        assert!((mean / form - 1.0).abs() < 0.08, "{load} at {count}: {mean} against {form}");
    }
    // Above its rate it turns away what is above it.
    let mut workers = Workers::new(None, Some(10.0));
    let taken = (0..100u64).filter(|n| workers.call(n * 50_000, 1).is_some()).count();
    assert!((45..=60).contains(&taken), "{taken} of 100 at twice the rate");
}

#[test]
fn a_cache_under_independent_requests_hits_as_ches_approximation_says() {
    let (objects, zipf) = (2_000usize, 0.9);
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let dist = Zipf::new(objects as f64, zipf).unwrap();
    let uses: Vec<Use> = (0..300_000u64)
        .map(|at| Use { at, key: dist.sample(&mut rng) as u32 - 1, bytes: 1.0, since: 0 })
        .collect();
    let c = curve(uses.iter().copied(), 1.0);
    let sampled = curve(uses.iter().copied(), 0.2);
    let weights: Vec<f64> = (1..=objects).map(|r| (r as f64).powf(-zipf)).collect();
    let sum: f64 = weights.iter().sum();
    for size in [50.0, 200.0, 800.0] {
        // Che: the time t after which a cache of that size has turned over.
        let held = |t: f64| weights.iter().map(|w| 1.0 - (-w / sum * t).exp()).sum::<f64>();
        let (mut low, mut high) = (0.0, 1e7);
        for _ in 0..100 {
            let mid = (low + high) / 2.0;
            if held(mid) < size {
                low = mid
            } else {
                high = mid
            }
        }
        let form: f64 = weights.iter().map(|w| w / sum * (1.0 - (-w / sum * low).exp())).sum();
        let seen = c.hits(size);
        assert!((seen - form).abs() < 0.012, "{size}: {seen} against {form}");
        // A fifth of the objects is followed: a cache of less than a hundred holds too few of them to tell.
        let sample = sampled.hits(size);
        assert!(size < 100.0 || (sample - seen).abs() < 0.1, "{size}: {sample} sampled, {seen} seen");
    }
}

/// A cache as a list, the last used last: nothing to get wrong.
fn plain(uses: &[(u32, bool)], size: usize) -> usize {
    let (mut list, mut hits): (Vec<u32>, usize) = (Vec::new(), 0);
    for (key, purged) in uses {
        let there = list.iter().position(|k| k == key);
        if let Some(at) = there {
            list.remove(at);
            hits += usize::from(!purged);
        }
        list.push(*key);
        if list.len() > size {
            list.remove(0);
        }
    }
    hits
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Reuse distances give the hits of a plain cache of every size, also where copies are purged.
    #[test]
    fn reuse_distances_are_those_of_a_plain_cache(
        uses in proptest::collection::vec((0u32..30, proptest::bool::weighted(0.1)), 1..300),
    ) {
        // A purge just before a request: no copy made earlier will do.
        let all = uses.iter().enumerate().map(|(i, (key, purged))| {
            let at = i as u64 + 1;
            Use { at, key: *key, bytes: 1.0, since: if *purged { at } else { 0 } }
        });
        let c = curve(all, 1.0);
        for size in [1usize, 2, 5, 10, 29, 30] {
            let hits = c.hits(size as f64) * uses.len() as f64;
            prop_assert_eq!(hits.round() as usize, plain(&uses, size), "size {}", size);
        }
        prop_assert!(c.most() <= 1.0 && c.size_for(c.most()).is_some());
    }

    /// What is kept is that list too, as long as all of it is of one rank.
    #[test]
    fn what_is_kept_in_one_rank_is_a_plain_cache(
        uses in proptest::collection::vec(0u32..30, 1..300),
        size in 1usize..20,
    ) {
        let mut keep = Keep::new(size as f64);
        let mut hits = 0;
        for (i, key) in uses.iter().enumerate() {
            if keep.look(*key, 0, 1).is_some() {
                hits += 1;
            } else {
                keep.put(*key, 1.0, 1, i as u64);
            }
        }
        let all: Vec<(u32, bool)> = uses.iter().map(|k| (*k, false)).collect();
        prop_assert_eq!(hits, plain(&all, size));
    }
}

#[test]
fn a_lower_rank_makes_way_and_never_pushes() {
    let mut k = Keep::new(3.0);
    k.put(1, 1.0, 2, 10);
    k.put(2, 1.0, 1, 10);
    k.put(3, 1.0, 2, 10);
    k.put(4, 1.0, 1, 11);
    assert_eq!((k.look(2, 0, 0), k.look(4, 0, 0)), (None, Some(11)));
    k.put(5, 3.0, 1, 12);
    assert!(k.look(5, 0, 0).is_none() && k.look(1, 0, 0).is_some() && k.look(3, 11, 0).is_none());
    k.clear();
    assert!(k.look(1, 0, 0).is_none());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for n in 0..1_000u32 {
        k.put(rng.random_range(0..50), 0.5, (n % 3) as u8, 0);
    }
}
