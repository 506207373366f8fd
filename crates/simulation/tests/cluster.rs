//! Clusters of routers in virtual time: the guarantees of their membership views under every fault,
//! and reproducibility of runs.

use hollymux_cluster::membership::{MemberState, MembershipChange, MAX_MEMBERS};
use hollymux_cluster::MAX_DATAGRAM_LEN;
use hollymux_simulation::cluster::{router_address, ObservedChange, RouterCluster};
use hollymux_simulation::link_fault::LinkFault;
use hollymux_simulation::{Time, MS, SEC};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn all_routers(routers: usize) -> Vec<usize> {
    (0..routers).collect()
}

fn all_except(routers: usize, excluded: usize) -> Vec<usize> {
    (0..routers).filter(|router| *router != excluded).collect()
}

/// A cluster whose routers have all found each other.
fn started_cluster(routers: usize, seed: u64) -> RouterCluster {
    let mut cluster = RouterCluster::new(routers, seed);
    all_routers(routers).into_iter().for_each(|r| cluster.start(r));
    assert_converges(&mut cluster, &all_routers(routers), 20 * SEC);
    cluster.run(3 * SEC);
    cluster
}

/// Asserts that the given routers converge to one view that contains all of them, and returns how
/// long that took.
fn assert_converges(cluster: &mut RouterCluster, routers: &[usize], within: Time) -> Time {
    let took = cluster.run_until(within, |cluster| cluster.converged(routers));
    took.unwrap_or_else(|| panic!("{routers:?} do not converge within {} ms", within / MS))
}

fn assert_reported_failed(cluster: &mut RouterCluster, by: &[usize], of: usize, within: Time) {
    let known =
        cluster.run_until(within, |cluster| cluster.share_agreeing(by, of, MemberState::Failed) == 1.0);
    assert!(known.is_some(), "router {of} is not known to have failed within {} ms", within / MS);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = |seed| {
        let mut cluster = started_cluster(7, seed);
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

/// Guards against a crash that is not detected, a failed router that is no longer counted as
/// possibly active, and a restart that is not accepted, also if the machine's wall clock was set
/// back by an hour in between.
#[test]
fn a_crash_is_detected_and_a_restart_accepted_whatever_its_wall_clock_says() {
    let mut cluster = started_cluster(5, 1);
    let rest = all_except(5, 4);
    for clock_offset in [0, -3_600 * SEC as i64, 3_600 * SEC as i64, -7_200 * SEC as i64] {
        cluster.set_clock_offset(4, clock_offset);
        cluster.kill(4);
        assert_reported_failed(&mut cluster, &rest, 4, 6 * SEC);
        assert_eq!(cluster.min_possibly_active(&rest), 5, "a failed router may still be active");
        cluster.start(4);
        assert_converges(&mut cluster, &all_routers(5), 4 * SEC);
        assert!(all_routers(5).iter().all(|r| cluster.view(*r).unwrap().possibly_active_count(None) == 5));
    }
    cluster.leave(4);
    assert!(cluster
        .run_until(4 * SEC, |cluster| cluster.share_agreeing(&rest, 4, MemberState::Left) == 1.0)
        .is_some());
    assert!(
        rest.iter().all(|r| cluster.view(*r).unwrap().possibly_active_count(None) == 4),
        "a router that announced its leave is no longer counted"
    );
}

#[test]
fn both_sides_of_a_partition_count_all_routers_and_converge_after_it_despite_another_partition() {
    let mut cluster = started_cluster(5, 2);
    cluster.partition(&[0, 1, 2], &[3, 4]);
    cluster.run(20 * SEC);
    assert!(cluster.converged(&[0, 1, 2]) && cluster.converged(&[3, 4]), "each side holds one view");
    assert!(
        cluster.share_agreeing(&[0, 1, 2], 3, MemberState::Failed) == 1.0
            && cluster.share_agreeing(&[3, 4], 0, MemberState::Failed) == 1.0
    );
    assert_eq!(
        cluster.min_possibly_active(&all_routers(5)),
        5,
        "no side may take over the quotas of the other"
    );
    cluster.heal();
    cluster.run(300 * MS);
    cluster.partition(&[1], &[0, 2, 3, 4]);
    assert_converges(&mut cluster, &[0, 2, 3, 4], 6 * SEC);
    assert_reported_failed(&mut cluster, &[0, 2, 3, 4], 1, 8 * SEC);
    cluster.heal();
    assert_converges(&mut cluster, &all_routers(5), 6 * SEC);
    assert_eq!(cluster.min_possibly_active(&all_routers(5)), 5);
}

#[test]
fn a_router_cut_off_in_one_direction_reports_no_other_router_failed() {
    for receives in [true, false] {
        let mut cluster = started_cluster(6, 3);
        let (one, rest) = (vec![5], all_except(6, 5));
        let since = cluster.now;
        if receives {
            cluster.set_link_fault(&one, &rest, LinkFault::CUT);
        } else {
            cluster.set_link_fault(&rest, &one, LinkFault::CUT);
        }
        assert_reported_failed(&mut cluster, &rest, 5, 10 * SEC);
        cluster.run(20 * SEC);
        let false_report = |c: &&ObservedChange| match &c.change {
            MembershipChange::Updated { address: of, record: r, .. } => {
                c.at > since && c.by != 5 && *of != router_address(5) && r.state == MemberState::Failed
            }
            _ => false,
        };
        assert_eq!(
            cluster.changes.iter().filter(false_report).count(),
            0,
            "receives {receives}: another router is reported failed"
        );
        assert!(cluster.view(5).unwrap().is_isolated(), "the router knows that no other router answers it");
        assert_eq!(cluster.view(5).unwrap().reachable_count(), 0);
        cluster.heal();
        assert_converges(&mut cluster, &all_routers(6), 6 * SEC);
    }
}

#[test]
fn routers_that_reach_each_other_only_through_others_stay_alive() {
    let mut cluster = started_cluster(7, 4);
    let since = cluster.now;
    cluster.partition(&[0, 1], &[5, 6]);
    cluster.run(60 * SEC);
    assert_eq!(cluster.failure_reports(since), 0, "the routers between reach both ends");
    assert_converges(&mut cluster, &all_routers(7), 5 * SEC);
}

#[test]
fn a_restart_supersedes_even_if_unnoticed_or_suspected_and_old_datagrams_change_nothing() {
    for suspected in [false, true] {
        let mut cluster = started_cluster(5, 5);
        let rest = all_except(5, 2);
        // The router's datagrams arrive 10 s late, after its restart.
        cluster.set_link_fault(&[2], &rest, LinkFault { delay: 10 * SEC, ..LinkFault::default() });
        if suspected {
            assert!(cluster
                .run_until(5 * SEC, |cluster| cluster.share_agreeing(&rest, 2, MemberState::Suspect) > 0.0)
                .is_some());
        }
        cluster.kill(2);
        cluster.heal();
        cluster.start(2);
        assert_converges(&mut cluster, &all_routers(5), 4 * SEC);
        let generation = |cluster: &RouterCluster| {
            cluster
                .view(0)
                .unwrap()
                .members()
                .find(|s| s.address == router_address(2))
                .unwrap()
                .record
                .generation
        };
        let restarted = generation(&cluster);
        let since = cluster.now;
        cluster.run(12 * SEC);
        assert_eq!((generation(&cluster), cluster.failure_reports(since)), (restarted, 0));
        assert!(cluster.converged(&all_routers(5)));
        assert_eq!(cluster.min_possibly_active(&all_routers(5)), 5);
    }
}

#[test]
fn a_pause_of_1_s_fails_no_router_and_views_converge_within_2_s_after_one_of_15_s() {
    for seed in 1..6 {
        let mut cluster = started_cluster(5, seed);
        let since = cluster.now;
        cluster.pause(1);
        cluster.run(SEC);
        cluster.resume(1);
        cluster.run(10 * SEC);
        assert_eq!(cluster.failure_reports(since), 0, "seed {seed}");
        cluster.pause(1);
        assert_reported_failed(&mut cluster, &all_except(5, 1), 1, 8 * SEC);
        cluster.run(7 * SEC);
        cluster.resume(1);
        assert!(!cluster.view(1).unwrap().is_converged(), "its old view must be confirmed again");
        let resumed_at = cluster.now;
        assert_converges(&mut cluster, &all_routers(5), 2 * SEC);
        let suspects_other = |c: &&ObservedChange| {
            c.at >= resumed_at
                && c.by == 1
                && matches!(&c.change, MembershipChange::Updated { record: r, .. } if r.state >= MemberState::Suspect)
        };
        assert_eq!(
            cluster.changes.iter().filter(suspects_other).count(),
            0,
            "the paused router suspects no other"
        );
    }
}

#[test]
fn routers_with_one_name_are_both_counted_and_those_of_another_cluster_are_not() {
    let mut cluster = RouterCluster::new(6, 6);
    cluster.set_names(3, "n1", "lab");
    cluster.set_names(5, "n6", "other");
    all_routers(6).into_iter().for_each(|r| cluster.start(r));
    assert_converges(&mut cluster, &all_routers(5), 10 * SEC);
    let since = cluster.now;
    cluster.run(30 * SEC);
    let count_changes = |cluster: &RouterCluster, matches: &dyn Fn(&MembershipChange) -> bool| {
        cluster.changes.iter().filter(|c| matches(&c.change)).count()
    };
    assert!(
        all_routers(5).iter().all(|r| cluster.view(*r).unwrap().possibly_active_count(None) == 5),
        "both routers of that name are counted"
    );
    assert_eq!(
        count_changes(
            &cluster,
            &|c| matches!(c, MembershipChange::DuplicateName { name, .. } if name == "n1")
        ),
        5,
        "each router reports the duplicate name once"
    );
    assert_eq!(
        cluster.changes.iter().filter(|c| c.at > since + 5 * SEC).count(),
        0,
        "views do not change any more"
    );
    assert_eq!(cluster.view(5).unwrap().possibly_active_count(None), 1);
    assert!(
        cluster.view(0).unwrap().counters.rejected.other_cluster > 0,
        "datagrams of another cluster are counted and dropped"
    );
}

#[test]
fn a_cluster_forms_as_soon_as_its_only_seed_starts() {
    let mut cluster = RouterCluster::new(6, 7);
    cluster.set_seeds(&[0]);
    all_routers(6)[1..].iter().for_each(|r| cluster.start(*r));
    cluster.run(20 * SEC);
    assert!(
        (1..6).all(|r| cluster.view(r).unwrap().possibly_active_count(None) == 1),
        "no router knows another"
    );
    cluster.start(0);
    assert_converges(&mut cluster, &all_routers(6), 6 * SEC);
}

#[test]
fn a_router_that_loses_half_of_its_datagrams_causes_no_failure_report_of_a_healthy_one() {
    for seed in 1..4 {
        let mut cluster = started_cluster(8, seed);
        let lossy = LinkFault { loss: 0.5, ..LinkFault::default() };
        cluster.set_link_fault(&[7], &all_except(8, 7), lossy);
        cluster.set_link_fault(&all_except(8, 7), &[7], lossy);
        let since = cluster.now;
        cluster.run(120 * SEC);
        let false_report = |c: &&ObservedChange| match &c.change {
            MembershipChange::Updated { address: of, record: r, .. } => {
                c.at > since && *of != router_address(7) && r.state == MemberState::Failed
            }
            _ => false,
        };
        assert_eq!(cluster.changes.iter().filter(false_report).count(), 0, "seed {seed}");
    }
}

/// Guards against views that invalid datagrams change, memory that they fill, and routers that send
/// whole views to anyone who replays a datagram.
#[test]
fn random_truncated_oversized_corrupted_and_replayed_datagrams_change_nothing() {
    let mut cluster = started_cluster(5, 8);
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let mut view = cluster.view(1).unwrap().clone();
    view.handle_timeout(cluster.now + 20 * SEC);
    let real_datagrams: Vec<Vec<u8>> =
        std::iter::from_fn(|| view.poll_transmit()).map(|transmit| transmit.payload).collect();
    assert!(!real_datagrams.is_empty());
    let digest = cluster.view(0).unwrap().digest();
    let (since, before) = (cluster.now, cluster.view(0).unwrap().counters);
    for _ in 0..40 {
        for number in 0..500 {
            let mut bytes = real_datagrams[number % real_datagrams.len()].clone();
            match number % 5 {
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
    assert_eq!(cluster.failure_reports(since), 0);
    let after = cluster.view(0).unwrap().counters;
    assert!(after.rejected.total() - before.rejected.total() >= 15_000);
    assert!(
        after.sent.datagrams - before.sent.datagrams
            < 300 + after.received.datagrams - before.received.datagrams - 15_000
    );
    assert!(cluster.converged(&all_routers(5)));
}

/// Guards against a member table that grows without bound, and against one that stops counting
/// routers that may be active.
#[test]
fn a_full_member_table_still_counts_further_routers() {
    let mut cluster = RouterCluster::new(MAX_MEMBERS + 41, 10);
    cluster.set_seeds(&[0]);
    cluster.start(0);
    for router in 1..MAX_MEMBERS + 41 {
        cluster.start(router);
        cluster.run(MS);
        cluster.kill(router);
    }
    cluster.run(SEC);
    assert!(cluster.view(0).unwrap().members().count() <= MAX_MEMBERS);
    assert_eq!(cluster.view(0).unwrap().possibly_active_count(None) as usize, MAX_MEMBERS + 41);
}

#[test]
fn three_hundred_routers_converge_after_restarts_a_zone_partition_and_many_crashes() {
    const ROUTERS: usize = 300;
    let mut cluster = RouterCluster::new(ROUTERS, 11);
    cluster.default_link.loss = 0.01;
    let mut order = all_routers(ROUTERS);
    order.rotate_left(7);
    for router in order {
        cluster.start(router);
        cluster.run(3 * MS);
    }
    assert_converges(&mut cluster, &all_routers(ROUTERS), 10 * SEC);
    // One tenth of the routers is restarted every 5 s.
    for tenth in 0..4 {
        (0..ROUTERS).filter(|r| r % 10 == tenth).for_each(|r| cluster.start(r));
        cluster.run(5 * SEC);
    }
    assert_converges(&mut cluster, &all_routers(ROUTERS), 5 * SEC);
    assert_eq!(cluster.min_possibly_active(&all_routers(ROUTERS)), ROUTERS as u32);
    // A zone is cut off and then reconnected.
    let (zone, rest): (Vec<usize>, Vec<usize>) = all_routers(ROUTERS).into_iter().partition(|r| r % 4 == 1);
    cluster.partition(&zone, &rest);
    cluster.run(15 * SEC);
    assert_eq!(cluster.min_possibly_active(&all_routers(ROUTERS)), ROUTERS as u32);
    cluster.heal();
    assert_converges(&mut cluster, &all_routers(ROUTERS), 8 * SEC);
    // Seven in ten routers crash at once.
    let (crashed, running): (Vec<usize>, Vec<usize>) =
        all_routers(ROUTERS).into_iter().partition(|r| r % 10 < 7);
    crashed.iter().for_each(|r| cluster.kill(*r));
    let known = cluster.run_until(40 * SEC, |cluster| {
        crashed.iter().all(|router| cluster.share_agreeing(&running, *router, MemberState::Failed) == 1.0)
    });
    assert!(known.is_some(), "all crashed routers are known to have failed");
    assert!(cluster.converged(&running) && cluster.min_possibly_active(&running) == ROUTERS as u32);
}

/// Random schedules of faults, compared with a plain model of which routers run, are known to
/// others, or have left. A running router counts every router that it ever knew unless that one has
/// left, records never go back to an older state, and once links work all running routers converge
/// to one view.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one schedule of faults and what has to hold after each, read as a whole"
)]
fn possibly_active_routers_are_counted_and_views_converge_after_any_faults() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let routers = rng.random_range(3..7);
        let mut cluster = started_cluster(routers, seed);
        // For each router the routers that it has known since its start, the routers that ever
        // left, and the latest record that each router had of each other one.
        let (mut known, mut left) = (vec![all_routers(routers); routers], vec![false; routers]);
        let mut latest_records = std::collections::BTreeMap::new();
        for _ in 0..rng.random_range(2..8) {
            let router = rng.random_range(0..routers);
            match rng.random_range(0..8) {
                0 => cluster.kill(router),
                1 | 2 => {
                    cluster.set_clock_offset(router, rng.random_range(-3_600_000_000..3_600_000_000));
                    cluster.start(router);
                    known[router].clear();
                    latest_records.retain(|(by, _), _| *by != router);
                }
                3 => cluster.pause(router),
                4 => {
                    cluster.resume(router);
                }
                5 if cluster.running().contains(&router) => {
                    cluster.leave(router);
                    left[router] = true;
                }
                6 => {
                    let side: Vec<usize> =
                        all_routers(routers).into_iter().filter(|_| rng.random()).collect();
                    let rest: Vec<usize> =
                        all_routers(routers).into_iter().filter(|router| !side.contains(router)).collect();
                    cluster.set_link_fault(
                        &side,
                        &rest,
                        if rng.random() {
                            LinkFault::CUT
                        } else {
                            LinkFault { loss: 0.4, duplication: 0.3, ..LinkFault::CUT }
                        },
                    );
                    cluster.links.values_mut().for_each(|link| link.cut &= rng.random::<f64>() < 0.8);
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
                for of in all_except(routers, by) {
                    let record = view.record_of(router_address(of));
                    if known[by].contains(&of) {
                        let counted = record.is_some_and(|record| record.state != MemberState::Left);
                        assert!(counted || left[of], "seed {seed}: router {by} does not count router {of}");
                    }
                    if let Some(record) = record {
                        let before = latest_records.insert((by, of), record.clone());
                        assert!(
                            before.is_none_or(|before| before <= *record),
                            "seed {seed}: an older record replaced a later one"
                        );
                        known[by].push(of);
                    }
                }
            }
        }
        cluster.heal();
        cluster.default_link = LinkFault::default();
        (0..routers).for_each(|router| cluster.resume(router));
        let up = cluster.running();
        if up.len() > 1 && (0..routers.min(3)).any(|s| up.contains(&s)) {
            assert_converges(&mut cluster, &up, 30 * SEC);
        }
    }
}
