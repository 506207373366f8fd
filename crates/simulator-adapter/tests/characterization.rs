//! Characterization tests that guard against unintended changes of the decision module's decisions.
//!
//! Simulated worlds, each generated from a seed, are run against the adapter's process, and a
//! digest over all replies must equal the recorded one. The tests use only the simulator's
//! protocol, not the types of the decision module, so that types and packages can be renamed
//! without changing the tests.
//!
//! A commit that changes decisions on purpose must also record the new digests and counts.

#[path = "characterization/frames.rs"]
mod frames;
#[path = "characterization/world.rs"]
mod world;

use frames::Adapter;
use world::{ClassUse, Counts, Deployment, ReportedStatuses, World};

/// Number of worlds per deployment.
const SEQUENCES: u16 = 1_000;
/// Number of events in each world.
const EVENTS: usize = 220;
/// Microseconds in a millisecond.
const MS: u64 = 1_000;

/// A deployment in which endpoints report no cache status. Health probes are allowed, hedged
/// requests are not.
const WITHOUT_CACHE_STATUS: Deployment = Deployment {
    settings: "az=0
groupSize=4
familyInfo.countByZone=2,2
familyInfo.shieldKind=1
familyInfo.storeKind=2
familyInfo.bypassAllowed=true
familyInfo.sharesFills=false
familyInfo.neighbours=none
familyInfo.tells=none
familyInfo.originFallMultiple=0
familyInfo.purgeSlack=300000
familyInfo.clearedWithin=4000000
familyInfo.parentFloor=0.3
familyInfo.upperCold=9000000
familyInfo.parentFallMultiple=2.5
familyInfo.classWrite=false,false,true
weightSource=nominal
discovery=push
rules.drainGrace=400000
rules.graceToAnswer=50000
rules.coldFrom=0.25
rules.warmAfter=8000000
rules.overloadFactor=2.2
rules.tipAfter=700000
limits.sendCap=3
limits.secondCopies=false
limits.cancel=true
limits.probes=true
limits.retryAfter=true
limits.maxRetryAfter=1500000
limits.dialTimeout=200000
classes.count=3
classes.0.onTime=150000
classes.0.hardLimit=1200000
classes.0.worth=1
classes.0.lateShare=0.3
classes.0.effect=retryable
classes.1.onTime=400000
classes.1.hardLimit=2500000
classes.1.worth=4
classes.1.lateShare=0.5
classes.1.effect=retryable
classes.2.onTime=600000
classes.2.hardLimit=2000000
classes.2.worth=6
classes.2.effect=fragile
",
    classes: &[
        ClassUse { max_wait: 1_200 * MS, writes: false, streams: false },
        ClassUse { max_wait: 2_500 * MS, writes: false, streams: false },
        ClassUse { max_wait: 2_000 * MS, writes: true, streams: false },
    ],
    reported_statuses: ReportedStatuses::Nothing,
    has_chunk_sizes: false,
};

/// A deployment with classes that use idempotency keys. Endpoints report cache hits, and the router
/// subscribes to the endpoint list. Hedged requests are not allowed.
const WITH_IDEMPOTENCY_KEYS: Deployment = Deployment {
    settings: "az=0
groupSize=6
familyInfo.countByZone=3,3
familyInfo.shieldKind=1
familyInfo.storeKind=2
familyInfo.bypassAllowed=true
familyInfo.sharesFills=true
familyInfo.neighbours=none
familyInfo.tells=hit
familyInfo.originFallMultiple=3
familyInfo.purgeSlack=200000
familyInfo.clearedWithin=2500000
familyInfo.parentFloor=0.4
familyInfo.upperCold=6000000
familyInfo.parentFallMultiple=2
familyInfo.classWrite=true,true,false
weightSource=nominal
discovery=ask
rules.mustAskIn=500000
rules.drainGrace=250000
rules.graceToAnswer=20000
rules.coldFrom=0.4
rules.warmAfter=5000000
rules.overloadFactor=1.8
rules.tipAfter=500000
limits.sendCap=4
limits.secondCopies=false
limits.cancel=true
limits.probes=true
limits.retryAfter=true
limits.maxRetryAfter=800000
limits.dialTimeout=200000
classes.count=3
classes.0.onTime=300000
classes.0.hardLimit=1800000
classes.0.worth=5
classes.0.lateShare=0.4
classes.0.effect=dedup
classes.0.dedupScope=zone
classes.0.keyTtl=900000
classes.1.onTime=250000
classes.1.hardLimit=1500000
classes.1.worth=3
classes.1.effect=dedup
classes.1.dedupScope=cell
classes.1.keyTtl=600000
classes.2.onTime=120000
classes.2.hardLimit=900000
classes.2.worth=1
classes.2.effect=retryable
",
    classes: &[
        ClassUse { max_wait: 1_800 * MS, writes: true, streams: false },
        ClassUse { max_wait: 1_500 * MS, writes: true, streams: false },
        ClassUse { max_wait: 900 * MS, writes: false, streams: false },
    ],
    reported_statuses: ReportedStatuses::Hits,
    has_chunk_sizes: false,
};

/// A deployment in which hedged requests are allowed, endpoints report every cache status, requests
/// carry the size of the chunk, and cached copies become stale.
const WITH_CACHE_STATUS: Deployment = Deployment {
    settings: "az=0
groupSize=3
familyInfo.countByZone=2,1
familyInfo.shieldKind=1
familyInfo.storeKind=2
familyInfo.bypassAllowed=true
familyInfo.sharesFills=true
familyInfo.neighbours=location
familyInfo.tells=all
familyInfo.flowKbPerS=2000
familyInfo.originFallMultiple=2.5
familyInfo.purgeSlack=250000
familyInfo.clearedWithin=3000000
familyInfo.parentFloor=0.35
familyInfo.upperCold=7000000
familyInfo.parentFallMultiple=2.2
familyInfo.classWrite=false,false,true
familyInfo.maxAge=800000,2000000,0
familyInfo.usableAfter=3000000,500000,0
familyInfo.staleEarns=0.7,0.4,1
weightSource=rough
discovery=push
rules.drainGrace=300000
rules.graceToAnswer=40000
rules.coldFrom=0.3
rules.warmAfter=6000000
rules.overloadFactor=2
rules.tipAfter=600000
limits.sendCap=6
limits.secondCopies=true
limits.cancel=true
limits.probes=false
limits.retryAfter=true
limits.maxRetryAfter=1000000
limits.dialTimeout=200000
classes.count=3
classes.0.onTime=120000
classes.0.aimStretch=1.5
classes.0.hardLimit=1000000
classes.0.worth=2
classes.0.lateShare=0.2
classes.0.effect=retryable
classes.1.onTime=350000
classes.1.aimStretch=1
classes.1.hardLimit=2200000
classes.1.worth=3
classes.1.lateShare=0.5
classes.1.effect=retryable
classes.1.stream=true
classes.2.onTime=500000
classes.2.hardLimit=1600000
classes.2.worth=5
classes.2.effect=fragile
",
    classes: &[
        ClassUse { max_wait: 1_000 * MS, writes: false, streams: false },
        ClassUse { max_wait: 2_200 * MS, writes: false, streams: true },
        ClassUse { max_wait: 1_600 * MS, writes: true, streams: false },
    ],
    reported_statuses: ReportedStatuses::All,
    has_chunk_sizes: true,
};

/// Runs all worlds of a deployment. Returns the digest of the replies and the counts.
fn run_worlds(deployment: &Deployment) -> (u64, Counts) {
    let mut adapter = Adapter::start();
    let mut counts = Counts::default();
    for sequence in 0..SEQUENCES {
        let seed = 0x5eed_0000 + u64::from(sequence);
        World::new(&mut adapter, deployment, &mut counts, sequence, seed).run(EVENTS);
    }
    (adapter.finish(), counts)
}

/// Runs all worlds of a deployment and compares the digest and the counts with the recorded ones.
/// Before that, it checks that the worlds contain enough of each kind of event and action that
/// every deployment allows; otherwise the digest would guard less than intended.
fn check(deployment: &Deployment, recorded: (u64, Counts)) -> Counts {
    let (digest, counts) = run_worlds(deployment);
    let frequent = [counts.attempts, counts.timers, counts.with_source];
    assert!(frequent.iter().all(|count| *count >= 10_000), "{counts:?}");
    let occasional = [counts.retries, counts.rejections, counts.failures, counts.purges];
    assert!(occasional.iter().all(|count| *count >= 500), "{counts:?}");
    let rare = [counts.drains, counts.restarts, counts.bounded_age];
    assert!(rare.iter().all(|count| *count >= 200), "{counts:?}");
    assert_eq!((format!("{digest:016x}"), counts), (format!("{:016x}", recorded.0), recorded.1));
    counts
}

#[test]
fn decisions_are_unchanged_where_no_cache_status_is_reported() {
    let counts = check(
        &WITHOUT_CACHE_STATUS,
        (
            0xec10_eb59_d501_40d8,
            Counts {
                attempts: 79_215,
                retries: 12_134,
                with_source: 78_488,
                hedges: 0,
                bounded_age: 15_431,
                cancels: 472,
                probes: 809,
                subscriptions: 16,
                rejections: 17_847,
                failures: 2_585,
                timers: 204_859,
                purges: 2_846,
                drains: 669,
                restarts: 1_008,
            },
        ),
    );
    assert!(counts.probes >= 500 && counts.cancels >= 400 && counts.hedges == 0);
}

#[test]
fn decisions_are_unchanged_with_idempotency_keys() {
    let counts = check(
        &WITH_IDEMPOTENCY_KEYS,
        (
            0x44c9_e2f0_00d0_5003,
            Counts {
                attempts: 82_921,
                retries: 15_392,
                with_source: 82_045,
                hedges: 0,
                bounded_age: 15_593,
                cancels: 811,
                probes: 0,
                subscriptions: 1_078,
                rejections: 15_879,
                failures: 1_898,
                timers: 184_251,
                purges: 2_810,
                drains: 655,
                restarts: 980,
            },
        ),
    );
    // No probes are needed where endpoints report cache hits.
    assert!(counts.subscriptions >= 1_000 && counts.cancels >= 500 && counts.probes + counts.hedges == 0);
}

#[test]
fn decisions_are_unchanged_with_hedged_requests_and_stale_copies() {
    let counts = check(
        &WITH_CACHE_STATUS,
        (
            0x51d2_9216_b4b6_dfd9,
            Counts {
                attempts: 76_255,
                retries: 17_913,
                with_source: 75_000,
                hedges: 536,
                bounded_age: 13_499,
                cancels: 422,
                probes: 0,
                subscriptions: 6,
                rejections: 10_542,
                failures: 2_027,
                timers: 189_990,
                purges: 2_378,
                drains: 553,
                restarts: 798,
            },
        ),
    );
    assert!(counts.hedges >= 500 && counts.cancels >= 400 && counts.probes == 0);
}
