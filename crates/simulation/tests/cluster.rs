//! Fleets in virtual time: what is promised of their views under every fault, and the same run
//! twice.

use hollymux_cluster::membership::{MemberState, MembershipChange, MAX_MEMBERS};
use hollymux_cluster::MAX_DATAGRAM_LEN;
use hollymux_simulation::cluster::{router_address, ObservedChange, RouterCluster};
use hollymux_simulation::link_fault::LinkFault;
use hollymux_simulation::{Time, MS, SEC};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn all(routers: usize) -> Vec<usize> {
    (0..routers).collect()
}

fn others(routers: usize, not: usize) -> Vec<usize> {
    (0..routers).filter(|r| *r != not).collect()
}

/// So many routers that have found each other.
fn started(routers: usize, seed: u64) -> RouterCluster {
    let mut cluster = RouterCluster::new(routers, seed);
    all(routers).into_iter().for_each(|r| cluster.start(r));
    settles(&mut cluster, &all(routers), 20 * SEC);
    cluster.run(3 * SEC);
    cluster
}

/// Those routers come to hold one view with all of them in it.
fn settles(cluster: &mut RouterCluster, who: &[usize], within: Time) -> Time {
    let took = cluster.run_until(within, |cluster| cluster.converged(who));
    took.unwrap_or_else(|| panic!("{who:?} don't settle within {} ms", within / MS))
}

fn lost(cluster: &mut RouterCluster, by: &[usize], of: usize, within: Time) {
    let known =
        cluster.run_until(within, |cluster| cluster.share_agreeing(by, of, MemberState::Failed) == 1.0);
    assert!(known.is_some(), "{of} is not known to be lost within {} ms", within / MS);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = |seed| {
        let mut cluster = started(7, seed);
        cluster.default_link = LinkFault {
            loss: 0.1,
            duplication: 0.1,
            corruption: 0.05,
            delay: 0,
            jitter: 50 * MS,
            cut: false,
        };
        cluster.kill(3);
        cluster.run(10 * SEC);
        (cluster.sent, format!("{:?}", cluster.changes))
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

/// Guards against a crash that is not noticed, a lost router that is counted out, and a next start
/// that is not believed, also when the machine's clock went back by an hour in between.
#[test]
fn a_crash_is_known_and_a_next_start_believed_whatever_its_clock_says() {
    let mut cluster = started(5, 1);
    let rest = others(5, 4);
    for off in [0, -3_600 * SEC as i64, 3_600 * SEC as i64, -7_200 * SEC as i64] {
        cluster.set_clock_offset(4, off);
        cluster.kill(4);
        lost(&mut cluster, &rest, 4, 6 * SEC);
        assert_eq!(cluster.min_possibly_active(&rest), 5, "a lost router may be at work");
        cluster.start(4);
        settles(&mut cluster, &all(5), 4 * SEC);
        assert!(all(5).iter().all(|r| cluster.view(*r).unwrap().possibly_active_count(None) == 5));
    }
    cluster.leave(4);
    assert!(cluster
        .run_until(4 * SEC, |cluster| cluster.share_agreeing(&rest, 4, MemberState::Left) == 1.0)
        .is_some());
    assert!(
        rest.iter().all(|r| cluster.view(*r).unwrap().possibly_active_count(None) == 4),
        "who left in words is counted out"
    );
}

#[test]
fn a_partition_counts_all_on_both_sides_and_heals_by_itself_while_a_third_side_falls_off() {
    let mut cluster = started(5, 2);
    cluster.partition(&[0, 1, 2], &[3, 4]);
    cluster.run(20 * SEC);
    assert!(cluster.converged(&[0, 1, 2]) && cluster.converged(&[3, 4]), "each side agrees");
    assert!(
        cluster.share_agreeing(&[0, 1, 2], 3, MemberState::Failed) == 1.0
            && cluster.share_agreeing(&[3, 4], 0, MemberState::Failed) == 1.0
    );
    assert_eq!(cluster.min_possibly_active(&all(5)), 5, "no side may take the other's part");
    cluster.heal();
    cluster.run(300 * MS);
    cluster.partition(&[1], &[0, 2, 3, 4]);
    settles(&mut cluster, &[0, 2, 3, 4], 6 * SEC);
    lost(&mut cluster, &[0, 2, 3, 4], 1, 8 * SEC);
    cluster.heal();
    settles(&mut cluster, &all(5), 6 * SEC);
    assert_eq!(cluster.min_possibly_active(&all(5)), 5);
}

#[test]
fn one_who_is_heard_by_none_or_hears_none_condemns_nobody() {
    for hears in [true, false] {
        let mut cluster = started(6, 3);
        let (one, rest) = (vec![5], others(6, 5));
        let since = cluster.now;
        if hears {
            cluster.set_link_fault(&one, &rest, LinkFault::CUT);
        } else {
            cluster.set_link_fault(&rest, &one, LinkFault::CUT);
        }
        lost(&mut cluster, &rest, 5, 10 * SEC);
        cluster.run(20 * SEC);
        let wrongly = |c: &&ObservedChange| match &c.change {
            MembershipChange::Updated { address: of, record: r, .. } => {
                c.at > since && c.by != 5 && *of != router_address(5) && r.state == MemberState::Failed
            }
            _ => false,
        };
        assert_eq!(cluster.changes.iter().filter(wrongly).count(), 0, "hears {hears}: others are condemned");
        assert!(cluster.view(5).unwrap().is_isolated(), "it knows that nobody answers it");
        assert_eq!(cluster.view(5).unwrap().reachable_count(), 0);
        cluster.heal();
        settles(&mut cluster, &all(6), 6 * SEC);
    }
}

#[test]
fn ends_of_a_chain_that_cant_reach_each_other_hold_each_other_alive() {
    let mut cluster = started(7, 4);
    let since = cluster.now;
    cluster.partition(&[0, 1], &[5, 6]);
    cluster.run(60 * SEC);
    assert_eq!(cluster.lost_reports(since), 0, "those between reach both ends");
    settles(&mut cluster, &all(7), 5 * SEC);
}

#[test]
fn a_start_that_nobody_noticed_or_comes_under_suspicion_supersedes_and_old_datagrams_change_nothing() {
    for suspected in [false, true] {
        let mut cluster = started(5, 5);
        let rest = others(5, 2);
        // What it sends arrives 10 s late.
        cluster.set_link_fault(&[2], &rest, LinkFault { delay: 10 * SEC, ..LinkFault::default() });
        if suspected {
            assert!(cluster
                .run_until(5 * SEC, |cluster| cluster.share_agreeing(&rest, 2, MemberState::Suspect) > 0.0)
                .is_some());
        }
        cluster.kill(2);
        cluster.heal();
        cluster.start(2);
        settles(&mut cluster, &all(5), 4 * SEC);
        let start = |cluster: &RouterCluster| {
            cluster
                .view(0)
                .unwrap()
                .members()
                .find(|s| s.address == router_address(2))
                .unwrap()
                .record
                .generation
        };
        let new = start(&cluster);
        let since = cluster.now;
        cluster.run(12 * SEC);
        assert_eq!((start(&cluster), cluster.lost_reports(since)), (new, 0));
        assert!(cluster.converged(&all(5)));
        assert_eq!(cluster.min_possibly_active(&all(5)), 5);
    }
}

#[test]
fn a_pause_of_a_second_loses_nobody_and_one_of_fifteen_is_over_within_two() {
    for seed in 1..6 {
        let mut cluster = started(5, seed);
        let since = cluster.now;
        cluster.pause(1);
        cluster.run(SEC);
        cluster.resume(1);
        cluster.run(10 * SEC);
        assert_eq!(cluster.lost_reports(since), 0, "seed {seed}");
        cluster.pause(1);
        lost(&mut cluster, &others(5, 1), 1, 8 * SEC);
        cluster.run(7 * SEC);
        cluster.resume(1);
        assert!(!cluster.view(1).unwrap().is_converged(), "what it held must be heard anew");
        let before = cluster.now;
        settles(&mut cluster, &all(5), 2 * SEC);
        let condemned = |c: &&ObservedChange| {
            c.at >= before
                && c.by == 1
                && matches!(&c.change, MembershipChange::Updated { record: r, .. } if r.state >= MemberState::Suspect)
        };
        assert_eq!(cluster.changes.iter().filter(condemned).count(), 0, "it blames nobody for its own pause");
    }
}

#[test]
fn two_under_one_name_are_two_and_another_fleet_is_none() {
    let mut cluster = RouterCluster::new(6, 6);
    cluster.set_names(3, "n1", "lab");
    cluster.set_names(5, "n6", "other");
    all(6).into_iter().for_each(|r| cluster.start(r));
    settles(&mut cluster, &all(5), 10 * SEC);
    let since = cluster.now;
    cluster.run(30 * SEC);
    let told = |cluster: &RouterCluster, what: &dyn Fn(&MembershipChange) -> bool| {
        cluster.changes.iter().filter(|c| what(&c.change)).count()
    };
    assert!(
        all(5).iter().all(|r| cluster.view(*r).unwrap().possibly_active_count(None) == 5),
        "both are counted"
    );
    assert_eq!(
        told(&cluster, &|c| matches!(c, MembershipChange::DuplicateName { name, .. } if name == "n1")),
        5,
        "each says so once"
    );
    assert_eq!(cluster.changes.iter().filter(|c| c.at > since + 5 * SEC).count(), 0, "and they don't flap");
    assert_eq!(cluster.view(5).unwrap().possibly_active_count(None), 1);
    assert!(
        cluster.view(0).unwrap().counters.rejected.other_cluster > 0,
        "what another fleet says is counted and dropped"
    );
}

#[test]
fn seeds_that_are_down_or_name_only_the_router_itself_are_no_end() {
    let mut cluster = RouterCluster::new(6, 7);
    cluster.set_seeds(&[0]);
    all(6)[1..].iter().for_each(|r| cluster.start(*r));
    cluster.run(20 * SEC);
    assert!(
        (1..6).all(|r| cluster.view(r).unwrap().possibly_active_count(None) == 1),
        "nobody knows anybody"
    );
    cluster.start(0);
    settles(&mut cluster, &all(6), 6 * SEC);
}

#[test]
fn one_who_loses_half_of_its_datagrams_gets_no_healthy_one_condemned() {
    for seed in 1..4 {
        let mut cluster = started(8, seed);
        let bad = LinkFault { loss: 0.5, ..LinkFault::default() };
        cluster.set_link_fault(&[7], &others(8, 7), bad);
        cluster.set_link_fault(&others(8, 7), &[7], bad);
        let since = cluster.now;
        cluster.run(120 * SEC);
        let condemned = |c: &&ObservedChange| match &c.change {
            MembershipChange::Updated { address: of, record: r, .. } => {
                c.at > since && *of != router_address(7) && r.state == MemberState::Failed
            }
            _ => false,
        };
        assert_eq!(cluster.changes.iter().filter(condemned).count(), 0, "seed {seed}");
    }
}

/// Guards against views that junk changes, against memory that junk fills, and against being used
/// to send whole views to whoever replays a datagram.
#[test]
fn junk_cut_huge_and_replayed_datagrams_change_nothing() {
    let mut cluster = started(5, 8);
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let mut real = cluster.view(1).unwrap().clone();
    real.handle_timeout(cluster.now + 20 * SEC);
    let real: Vec<Vec<u8>> =
        std::iter::from_fn(|| real.poll_transmit()).map(|transmit| transmit.payload).collect();
    assert!(!real.is_empty());
    let digest = cluster.view(0).unwrap().digest();
    let (since, before) = (cluster.now, cluster.view(0).unwrap().counters);
    for _ in 0..40 {
        for n in 0..500 {
            let mut bytes = real[n % real.len()].clone();
            match n % 5 {
                0 => bytes = (0..rng.random_range(0..200)).map(|_| rng.random()).collect(),
                1 => bytes.truncate(rng.random_range(0..bytes.len())),
                2 => bytes = vec![1; MAX_DATAGRAM_LEN + rng.random_range(1..60_000)],
                3 => {
                    let bit = rng.random_range(0..bytes.len() * 8);
                    bytes[bit / 8] ^= 1 << (bit % 8);
                }
                _ => {}
            }
            cluster.inject_datagram(0, bytes);
        }
        cluster.run(25 * MS);
    }
    cluster.run(3 * SEC);
    assert_eq!(cluster.view(0).unwrap().digest(), digest);
    assert_eq!(cluster.lost_reports(since), 0);
    let after = cluster.view(0).unwrap().counters;
    assert!(after.rejected.total() - before.rejected.total() >= 15_000);
    assert!(
        after.sent.datagrams - before.sent.datagrams
            < 300 + after.received.datagrams - before.received.datagrams - 15_000
    );
    assert!(cluster.converged(&all(5)));
}

/// Guards against a table that grows without end, and against one that forgets who may be at work.
#[test]
fn a_full_table_counts_whom_it_can_not_remember() {
    let mut cluster = RouterCluster::new(MAX_MEMBERS + 41, 10);
    cluster.set_seeds(&[0]);
    cluster.start(0);
    for r in 1..MAX_MEMBERS + 41 {
        cluster.start(r);
        cluster.run(MS);
        cluster.kill(r);
    }
    cluster.run(SEC);
    assert!(cluster.view(0).unwrap().members().count() <= MAX_MEMBERS);
    assert_eq!(cluster.view(0).unwrap().possibly_active_count(None) as usize, MAX_MEMBERS + 41);
}

#[test]
fn three_hundred_survive_restarts_mass_death_and_a_zone_that_is_cut_off() {
    const N: usize = 300;
    let mut cluster = RouterCluster::new(N, 11);
    cluster.default_link.loss = 0.01;
    let mut order = all(N);
    order.rotate_left(7);
    for r in order {
        cluster.start(r);
        cluster.run(3 * MS);
    }
    settles(&mut cluster, &all(N), 10 * SEC);
    // One tenth is restarted every 5 s.
    for tenth in 0..4 {
        (0..N).filter(|r| r % 10 == tenth).for_each(|r| cluster.start(r));
        cluster.run(5 * SEC);
    }
    settles(&mut cluster, &all(N), 5 * SEC);
    assert_eq!(cluster.min_possibly_active(&all(N)), N as u32);
    // A zone is cut off and back.
    let (zone, rest): (Vec<usize>, Vec<usize>) = all(N).into_iter().partition(|r| r % 4 == 1);
    cluster.partition(&zone, &rest);
    cluster.run(15 * SEC);
    assert_eq!(cluster.min_possibly_active(&all(N)), N as u32);
    cluster.heal();
    settles(&mut cluster, &all(N), 8 * SEC);
    // Seven in ten die at once.
    let (dead, left): (Vec<usize>, Vec<usize>) = all(N).into_iter().partition(|r| r % 10 < 7);
    dead.iter().for_each(|r| cluster.kill(*r));
    let known = cluster.run_until(40 * SEC, |cluster| {
        dead.iter().all(|d| cluster.share_agreeing(&left, *d, MemberState::Failed) == 1.0)
    });
    assert!(known.is_some(), "all the dead are known to be lost");
    assert!(cluster.converged(&left) && cluster.min_possibly_active(&left) == N as u32);
}

/// Seeded schedules against a plain model: who runs, who was ever heard of, who left. Whoever runs
/// is counted by all who ever knew him, records never go back, and when links are sound all that
/// run hold one view.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one schedule of faults and what has to hold after each, read as a whole"
)]
fn whatever_happens_who_may_be_at_work_is_counted_and_all_settle_again() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let n = rng.random_range(3..7);
        let mut cluster = started(n, seed);
        // Whom each knows since its start, who ever left, and the latest record that each had of
        // each.
        let (mut knows, mut left) = (vec![all(n); n], vec![false; n]);
        let mut last = std::collections::BTreeMap::new();
        for _ in 0..rng.random_range(2..8) {
            let r = rng.random_range(0..n);
            match rng.random_range(0..8) {
                0 => cluster.kill(r),
                1 | 2 => {
                    cluster.set_clock_offset(r, rng.random_range(-3_600_000_000..3_600_000_000));
                    cluster.start(r);
                    knows[r].clear();
                    last.retain(|(by, _), _| *by != r);
                }
                3 => cluster.pause(r),
                4 => {
                    cluster.resume(r);
                }
                5 if cluster.running().contains(&r) => {
                    cluster.leave(r);
                    left[r] = true;
                }
                6 => {
                    let side: Vec<usize> = all(n).into_iter().filter(|_| rng.random()).collect();
                    let rest: Vec<usize> = all(n).into_iter().filter(|r| !side.contains(r)).collect();
                    cluster.set_link_fault(
                        &side,
                        &rest,
                        if rng.random() {
                            LinkFault::CUT
                        } else {
                            LinkFault { loss: 0.4, duplication: 0.3, ..LinkFault::CUT }
                        },
                    );
                    cluster.links.values_mut().for_each(|l| l.cut &= rng.random::<f64>() < 0.8);
                }
                _ => {
                    cluster.heal();
                    cluster.default_link = LinkFault {
                        loss: 0.2,
                        duplication: 0.2,
                        corruption: 0.1,
                        delay: 0,
                        jitter: 300 * MS,
                        cut: false,
                    };
                }
            }
            cluster.run(rng.random_range(10 * MS..8 * SEC));
            for by in cluster.running() {
                let view = cluster.view(by).unwrap();
                for of in others(n, by) {
                    let record = view.record_of(router_address(of));
                    if knows[by].contains(&of) {
                        let counted = record.is_some_and(|r| r.state != MemberState::Left);
                        assert!(counted || left[of], "seed {seed}: {by} does not count {of}");
                    }
                    if let Some(record) = record {
                        let before = last.insert((by, of), record.clone());
                        assert!(before.is_none_or(|b| b <= *record), "seed {seed}: a record went back");
                        knows[by].push(of);
                    }
                }
            }
        }
        cluster.heal();
        cluster.default_link = LinkFault::default();
        (0..n).for_each(|r| cluster.resume(r));
        let up = cluster.running();
        if up.len() > 1 && (0..n.min(3)).any(|s| up.contains(&s)) {
            settles(&mut cluster, &up, 30 * SEC);
        }
    }
}
