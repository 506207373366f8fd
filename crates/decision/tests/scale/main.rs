//! Decisions where many routers share each endpoint and each router receives a few requests per
//! second, under fixed seeds.

mod harness;

use harness::{
    drive_router, entry, sent_attempt, settings, timers, times_used_while_warming_up, Harness, PseudoRandom,
    SentAttempt, CACHES, PARENT, START,
};
use hollymux_decision::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// All routers together must stay below the load at which an endpoint that warms up fails, over
/// every window, and must still use the endpoint. Checked for a cache shared by 14 routers and a
/// parent shared by 300, where an even share is less than one request.
#[test]
fn hundreds_of_routers_share_a_warm_up_budget_within_its_bound_and_use_it() {
    for (id, zone, kind, weight, router_count) in [(2, 0, 0, 4.0, 14), (22, 2, PARENT, 40.0, 300)] {
        for seed in [1, 2, 3] {
            let settings = settings(14, 300);
            let is_parent = kind == PARENT;
            let (floor, period_s) = if is_parent { (0.07, 20.0) } else { (0.22, 18.0) };
            let multiple =
                if is_parent { settings.parent_overload_multiple } else { settings.overload_multiple };
            let mut random = PseudoRandom(seed);
            let mut harnesses: Vec<Harness> =
                (0..router_count).map(|i| Harness::new(settings.clone(), seed * 1_000 + i)).collect();
            for harness in &mut harnesses {
                for i in 0..60 {
                    harness.serve(i, CacheStatus::Hit);
                }
            }
            let start = EndpointEntry { started: START, ..entry(id, zone, kind, weight) };
            let use_times =
                times_used_while_warming_up(&mut harnesses, id, start, Duration::from_secs(12), &mut random);
            let capacity_at = |time: Timestamp| {
                let age_micros = time.duration_since(START).as_micros() as f64;
                weight * (floor + (1.0 - floor) * age_micros / 1e6 / period_s)
            };
            let mut worst_load: f64 = 0.0;
            for (i, time) in use_times.iter().enumerate() {
                let is_in_window = |earlier: &&Timestamp| **earlier + Duration::from_secs(1) > *time;
                let work = use_times[..=i].iter().filter(is_in_window).count() as f64 * 0.2;
                worst_load = worst_load.max(work / capacity_at(*time));
            }
            assert!(
                worst_load < multiple,
                "endpoint {id} had {worst_load} times its capacity within a window, seed {seed}"
            );
            let possible: f64 = (0..12).map(|i| capacity_at(START + Duration::from_secs(i))).sum();
            let used = use_times.len() as f64 * 0.2;
            assert!(
                used > 0.15 * possible,
                "endpoint {id} did {used} s of work of a possible {possible} s, seed {seed}"
            );
        }
    }
}

/// Guards against counting one request in flight of this router several times. The load that all
/// routers are likely to have in flight together must still be shed.
#[test]
fn spare_capacity_counts_own_load_once_and_overload_is_still_shed() {
    let mut harness = Harness::new(settings(14, 300), 5);
    let mut rejected = 0;
    for i in 0..200 {
        rejected += usize::from(harness.serve(i, CacheStatus::Hit).is_none());
        harness.now += Duration::from_millis(150);
    }
    assert_eq!(rejected, 0, "an idle zone must reject nothing");
    // Each of the 14 routers is assumed to have as many requests in flight as this one, so that
    // three requests at the seven caches fill them.
    let (mut in_flight, mut rejected) = (Vec::new(), 0);
    for i in 0..60 {
        match sent_attempt(&harness.request(1_000 + i), 0) {
            Some(sent) => in_flight.push(sent),
            None => rejected += 1,
        }
        harness.now += Duration::from_millis(300);
    }
    assert!(
        rejected > 20 && in_flight.len() < 40,
        "{rejected} requests rejected, {} in flight",
        in_flight.len()
    );
}

/// A cache that gets one request per second must not be ejected because it has not responded for
/// one second. A cache that does not respond at all must soon get no requests.
#[test]
fn silence_counts_as_a_failure_only_where_responses_are_expected() {
    let latency_of = |number: usize| {
        let is_slow = number.is_multiple_of(12);
        Some(if is_slow { Duration::from_millis(900) } else { Duration::from_millis(250) })
    };
    let mut harness = Harness::new(settings(14, 300), 5);
    let live = drive_router(&mut harness, Duration::from_secs(40), |number, _| latency_of(number));
    let used = live.sent.iter().filter(|sent| sent.1.endpoint == 3).count();
    assert!(
        live.cancelled * 20 < live.requests && used > 20,
        "{} attempts were cancelled, {used} were sent to cache 3",
        live.cancelled
    );
    let mut harness = Harness::new(settings(14, 300), 5);
    drive_router(&mut harness, Duration::from_secs(10), |number, _| latency_of(number));
    let failed_at = harness.now;
    let silent = drive_router(&mut harness, Duration::from_secs(20), |number, sent| {
        latency_of(number).filter(|_| sent.endpoint != 3)
    });
    let detected_by = failed_at + Duration::from_secs(8);
    let late = silent.sent.iter().filter(|sent| sent.1.endpoint == 3 && sent.0 > detected_by).count();
    let early = silent.sent.iter().filter(|sent| sent.1.endpoint == 3 && sent.0 <= detected_by).count();
    assert!(
        silent.cancelled > 0 && early <= 8 && late <= 6,
        "{early} attempts were sent to a silent cache within 8 s, {late} later"
    );
}

/// At five requests per second, an object with a considerable share of them must be replicated, and
/// objects with random fluctuations must not.
#[test]
fn levels_rise_with_a_real_share_of_few_requests_and_not_with_noise() {
    let mut harness = Harness::new(settings(14, 300), 5);
    let mut random = PseudoRandom(9);
    let mut popular_at = BTreeSet::new();
    let mut others_at = BTreeMap::<u64, BTreeSet<u64>>::new();
    for i in 0..400 {
        let object = if i % 5 < 2 { 42 } else { 100 + random.next_below(40) };
        let sent = harness.serve(object, CacheStatus::Hit).unwrap();
        if object == 42 {
            popular_at.insert(sent.endpoint);
        } else {
            others_at.entry(object).or_default().insert(sent.endpoint);
        }
        harness.now += Duration::from_millis(200);
    }
    assert!(popular_at.len() >= 3, "the popular object was served only by {popular_at:?}");
    assert!(others_at.values().all(|caches| caches.len() == 1), "{others_at:?}");
}

/// Responses of live caches are lost. Once enough losses have been observed, the request of an
/// overdue attempt must be sent to the same cache again, as a hedged request or after cancelling.
/// No cache may be ejected, and retries must not multiply.
#[test]
fn requests_whose_response_is_lost_are_retried_at_the_same_cache() {
    for hedging_allowed in [false, true] {
        let mut harness = Harness::new(Settings { hedging_allowed, ..settings(14, 300) }, 5);
        let history = drive_router(&mut harness, Duration::from_secs(60), |number, _| {
            Some(Duration::from_millis(250)).filter(|_| number % 4 != 0)
        });
        let mut homes: BTreeMap<RequestId, u64> = BTreeMap::new();
        let (mut at_same_cache, mut elsewhere) = (0, 0);
        for (_, sent) in &history.sent {
            let home = *homes.entry(sent.id).or_insert(sent.endpoint);
            at_same_cache += usize::from(sent.attempt > 0 && sent.endpoint == home);
            elsewhere += usize::from(sent.attempt > 0 && sent.endpoint != home);
        }
        let (requests, attempts) = (history.requests, history.sent.len());
        assert!(
            at_same_cache > requests / 8,
            "{at_same_cache} retries at the same cache for {requests} requests"
        );
        assert!(
            elsewhere < at_same_cache / 2,
            "{elsewhere} retries elsewhere, {at_same_cache} at the same cache"
        );
        assert!(attempts < requests * 8 / 5, "{attempts} attempts for {requests} requests");
    }
}

/// Guards against congestion that amplifies itself: where hits are not reported, slow fills must
/// not be cancelled and restarted at the same cache over and over.
#[test]
fn slow_fills_are_not_restarted_where_hits_are_not_reported() {
    let mut harness =
        Harness::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings(14, 300) }, 5);
    let history = drive_router(&mut harness, Duration::from_secs(60), |number, _| {
        Some(if number % 6 == 0 { Duration::from_millis(2_500) } else { Duration::from_millis(250) })
    });
    let mut homes: BTreeMap<RequestId, u64> = BTreeMap::new();
    let is_retry_at_home = |sent: &&(Timestamp, SentAttempt)| {
        *homes.entry(sent.1.id).or_insert(sent.1.endpoint) == sent.1.endpoint && sent.1.attempt > 0
    };
    let restarted = history.sent.iter().filter(is_retry_at_home).count();
    assert!(
        restarted < history.requests / 50,
        "the fills of {restarted} of {} requests were restarted",
        history.requests
    );
}

/// Guards against a parent whose fills never complete while hits at the caches that name it are
/// taken for its responses. If the fills of all parents stay overdue, what is behind the parents
/// has failed, and no parent may be ejected.
#[test]
fn a_parent_whose_fills_stay_overdue_is_ejected_though_hits_name_it() {
    let uses_of_failed_parent = |all_failed: bool| {
        let mut harness = Harness::new(
            Settings { cache_status_reporting: CacheStatusReporting::None, ..settings(14, 300) },
            5,
        );
        let before =
            drive_router(&mut harness, Duration::from_secs(30), |_, _| Some(Duration::from_millis(250)));
        let mut uses: BTreeMap<u64, usize> = BTreeMap::new();
        let sources = before.sent.iter().filter_map(|sent| sent.1.source);
        sources.for_each(|parent| *uses.entry(parent).or_default() += 1);
        let (parent, _) = uses.into_iter().max_by_key(|(_, count)| *count).unwrap();
        let names_failed = |sent: &SentAttempt| all_failed || sent.source == Some(parent);
        let failed_at = harness.now;
        let history = drive_router(&mut harness, Duration::from_secs(120), |number, sent| {
            let is_served = number % 2 == 0 || !names_failed(sent) || all_failed && number % 8 != 1;
            Some(Duration::from_millis(250)).filter(|_| is_served)
        });
        let with_source = history.sent.iter().filter(|sent| sent.1.source.is_some());
        let late: Vec<_> = with_source.filter(|sent| sent.0 > failed_at + Duration::from_secs(60)).collect();
        (late.iter().filter(|sent| sent.1.source == Some(parent)).count() * 100, late.len())
    };
    let (uses, attempts) = uses_of_failed_parent(false);
    assert!(uses < 11 * attempts, "the failed parent was named {}% of the time", uses / attempts);
    let (uses, attempts) = uses_of_failed_parent(true);
    assert!(
        uses > 11 * attempts,
        "a parent was named only {}% of the time although all parents' fills were overdue",
        uses / attempts
    );
}

/// If two parents of a zone lose their process, all parents of the zone must warm up when they
/// respond again, and those of the other zone must not. Also guards against six of ten parents
/// being unused for as long as a restart takes after a network partition of 6 s: parents that were
/// only silent must be used again as before.
#[test]
fn parents_of_a_zone_that_restarts_warm_up_as_a_whole_and_those_cut_off_do_not() {
    for (latency, must_warm_up) in [(Duration::from_millis(5), true), (Duration::from_millis(400), false)] {
        let mut harness = Harness::new(settings(14, 300), 5);
        for i in 0..200 {
            harness.serve(i, CacheStatus::Hit);
        }
        // Two fills are refused for each of two parents; the second refusal ejects the parent.
        let mut failed: BTreeMap<u64, usize> = BTreeMap::new();
        for i in 1_000..3_000 {
            harness.now += Duration::from_millis(20);
            let sent = sent_attempt(&harness.request(i), 0).unwrap();
            match sent.source {
                Some(parent @ 21..=22) if failed.get(&parent).is_none_or(|count| *count < 2) => {
                    *failed.entry(parent).or_default() += 1;
                    let unreachable = Some(CacheStatus::SourceUnreachable);
                    harness.end_attempt(&sent, AttemptStatus::Full, unreachable, latency);
                }
                _ => {
                    let hit = Some(CacheStatus::Hit);
                    harness.end_attempt(&sent, AttemptStatus::Ok, hit, Duration::from_millis(250));
                }
            }
            if failed.values().sum::<usize>() == 4 || must_warm_up && failed.len() == 2 {
                break;
            }
        }
        assert_eq!(failed.len(), 2);
        let mut used: BTreeMap<u64, usize> = BTreeMap::new();
        // With fills of 50 ms, 300 routers as busy as this one leave spare capacity at the parents
        // of the other zone.
        for i in 5_000..5_060 {
            harness.now += Duration::from_millis(200);
            let Some(sent) = sent_attempt(&harness.request(i), 0) else { continue };
            let filled = Some(CacheStatus::Filled);
            harness.end_attempt(&sent, AttemptStatus::Ok, filled, Duration::from_millis(50));
            sent.source.into_iter().for_each(|parent| *used.entry(parent).or_default() += 1);
        }
        let uses_of = |parents: std::ops::RangeInclusive<u64>| {
            parents.filter_map(|parent| used.get(&parent)).sum::<usize>()
        };
        assert_eq!(uses_of(21..=24) < 8 && uses_of(25..=28) > 50, must_warm_up, "{used:?}");
        assert!(
            must_warm_up || uses_of(21..=24) > 12 && uses_of(21..=22) > 4,
            "parents that were only silent must be used again: {used:?}"
        );
    }
}

/// A fill that a parent at capacity has refused must not be retried at parents that would have to
/// fetch the object. Where the home caches of other zones may supply it, they must.
#[test]
fn a_refused_fill_is_not_retried_from_parent_to_parent() {
    let actions_after_refusal = |sibling_caches| {
        let mut harness = Harness::new(Settings { sibling_caches, ..settings(14, 300) }, 5);
        let entries = vec![entry(11, 1, 0, 4.0), entry(12, 1, 0, 4.0)];
        harness.event(Event::EndpointList { kind: ListKind::Delta, entries });
        let sent = sent_attempt(&harness.request(42), 0).unwrap();
        harness.end_attempt(
            &sent,
            AttemptStatus::Full,
            Some(CacheStatus::SourceRefused),
            Duration::from_millis(60),
        )
    };
    let actions = actions_after_refusal(SiblingCaches::Location);
    assert!(
        sent_attempt(&actions, 1).is_none() && actions.iter().any(|a| matches!(a, Action::Reject { .. }))
    );
    let retry = sent_attempt(&actions_after_refusal(SiblingCaches::Any), 1).unwrap();
    assert!([11, 12].contains(&retry.source.unwrap()));
}

/// Guards against unbounded memory for removed endpoints when endpoints are replaced over and over.
/// Earlier endpoints must not be used.
#[test]
fn endless_endpoint_list_changes_keep_memory_bounded() {
    let mut harness = Harness::new(settings(14, 300), 5);
    for i in 0..6_000_u64 {
        let successor = EndpointEntry { started: harness.now, ..entry(10_000 + i, 0, 0, 4.0) };
        let mut entries = vec![successor];
        if i > 0 {
            entries.push(EndpointEntry { state: EndpointState::Gone, ..entry(9_999 + i, 0, 0, 4.0) });
        }
        harness.event(Event::EndpointList { kind: ListKind::Delta, entries });
        harness.serve(i, CacheStatus::Filled);
        harness.now += Duration::from_millis(10);
    }
    let remembered = format!("{:?}", harness.module).matches("entry: EndpointEntry").count();
    assert!((1..2_500).contains(&remembered), "{remembered} endpoints remembered");
    let sent = harness.serve(77, CacheStatus::Hit).unwrap();
    assert!(CACHES.contains(&sent.endpoint) || sent.endpoint == 15_999);
}

/// Guards against a few hundred routers that each have only two fills in flight at a parent, which
/// then has hundreds and completes none in time. Requests must be served from copies alone until
/// there are fewer fills in flight. Two routers with as many fills each are no overload.
#[test]
fn a_parent_with_fills_of_all_routers_gets_no_further_fills_where_hits_are_not_reported() {
    let percentages_without_fill = |router_count| {
        let mut harness = Harness::new(
            Settings { cache_status_reporting: CacheStatusReporting::None, ..settings(2, router_count) },
            5,
        );
        let is_slow = |number: usize, sent: &SentAttempt| {
            number < 200 && number.is_multiple_of(2) && sent.source.is_some()
        };
        let history = drive_router(&mut harness, Duration::from_secs(60), |number, sent| {
            Some(if is_slow(number, sent) { Duration::from_secs(2) } else { Duration::from_millis(100) })
        });
        let percentage = |attempts: &[(Timestamp, SentAttempt)]| {
            attempts.iter().filter(|sent| sent.1.source.is_none()).count() * 100 / attempts.len()
        };
        (percentage(&history.sent[50..200]), percentage(&history.sent[300..]))
    };
    let (during, after) = percentages_without_fill(300);
    assert!(
        during > 30 && after == 0,
        "{during}% of the attempts had no fill source during the congestion, {after}% after it"
    );
    assert_eq!(percentages_without_fill(2), (0, 0));
}

/// Guards against fills that are counted only at their end, even if outcomes report them: until
/// then no router would count them, and a parent would get more fills than it can serve.
#[test]
fn fills_are_counted_by_their_age_whether_they_are_reported_or_not() {
    for cache_status_reporting in
        [CacheStatusReporting::None, CacheStatusReporting::Hit, CacheStatusReporting::All]
    {
        let mut harness = Harness::new(Settings { cache_status_reporting, ..settings(14, 300) }, 5);
        let request = Request {
            id: 1,
            object: 1,
            deadline: harness.now + Duration::from_secs(5),
            ..Request::default()
        };
        let actions = harness.event(Event::Request(request));
        assert!(sent_attempt(&actions, 0).unwrap().source.is_some());
        let is_fill_check = |timer: &&(Timestamp, u64)| timer.1 & 0xffff == 0x8000;
        let fill_checks = timers(&actions, Timestamp::ZERO).iter().filter(is_fill_check).count();
        assert_eq!(fill_checks, 1, "{cache_status_reporting:?}");
    }
}

/// Guards against taking congestion for large objects: the bytes of a response determine the
/// sending time, however long the response took.
#[test]
fn congestion_does_not_change_the_service_time_of_a_class() {
    let mut harness =
        Harness::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings(14, 300) }, 5);
    let mut fill_check_delays = Vec::new();
    for id in 1..=60 {
        let request = Request {
            id,
            object: u64::from(id),
            deadline: harness.now + Duration::from_secs(5),
            ..Request::default()
        };
        let actions = harness.event(Event::Request(request));
        let sent = sent_attempt(&actions, 0).unwrap();
        let is_fill_check = |timer: &(Timestamp, u64)| timer.1 & 0xffff == 0x8000;
        let fill_check = timers(&actions, Timestamp::ZERO).into_iter().find(is_fill_check);
        fill_check_delays.extend(fill_check.map(|timer| timer.0));
        harness.now += Duration::from_secs(2);
        harness.event(Event::AttemptOutcome(AttemptOutcome {
            request: sent.id,
            attempt: 0,
            endpoint: EndpointId(sent.endpoint),
            latency: Duration::from_secs(2),
            status: AttemptStatus::Ok,
            request_finished: true,
            cache_status: None,
            work: Some(0.25),
        }));
    }
    assert_eq!(fill_check_delays.last(), Some(&Timestamp::from_micros(250_000)));
}
