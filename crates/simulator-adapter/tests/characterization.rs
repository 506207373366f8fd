//! Guards every decision of the decision module against a change that was not meant to be one: seeded worlds are
//! played through the adapter's process, and a digest over its replies has to stay what it was. It names nothing of
//! the module's interface but the simulator's wire, so that types and packages can be renamed beside it.
//!
//! A change that is meant to alter decisions records the digests and counts anew, in the same commit.

#[path = "characterization/frames.rs"]
mod frames;
#[path = "characterization/world.rs"]
mod world;

use frames::Adapter;
use world::{ClassUse, Counts, Deployment, Notes, World};

const SEQUENCES: u16 = 1_000;
const EVENTS: usize = 220;
const MS: u64 = 1_000;

/// Hits are not told, probes are allowed, second copies are not.
const UNTOLD: Deployment = Deployment {
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
        ClassUse { patience: 1_200 * MS, writes: false, streams: false },
        ClassUse { patience: 2_500 * MS, writes: false, streams: false },
        ClassUse { patience: 2_000 * MS, writes: true, streams: false },
    ],
    notes: Notes::Nothing,
    sizes_told: false,
};

/// Keyed classes, hits are told, the list of hosts is asked for.
const KEYED: Deployment = Deployment {
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
        ClassUse { patience: 1_800 * MS, writes: true, streams: false },
        ClassUse { patience: 1_500 * MS, writes: true, streams: false },
        ClassUse { patience: 900 * MS, writes: false, streams: false },
    ],
    notes: Notes::Hits,
    sizes_told: false,
};

/// Second copies are allowed, everything is told, sizes too; copies age.
const TOLD: Deployment = Deployment {
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
        ClassUse { patience: 1_000 * MS, writes: false, streams: false },
        ClassUse { patience: 2_200 * MS, writes: false, streams: true },
        ClassUse { patience: 1_600 * MS, writes: true, streams: false },
    ],
    notes: Notes::All,
    sizes_told: true,
};

/// Plays all sequences of a deployment; gives the digest of the replies and what was counted.
fn play(deployment: &Deployment) -> (u64, Counts) {
    let mut adapter = Adapter::start();
    let mut counts = Counts::default();
    for sequence in 0..SEQUENCES {
        let seed = 0x5eed_0000 + u64::from(sequence);
        World::new(&mut adapter, deployment, &mut counts, sequence, seed).play(EVENTS);
    }
    (adapter.finish(), counts)
}

/// Compares with what was recorded, after it is sure that the sequences reach what every deployment allows.
fn check(deployment: &Deployment, recorded: (u64, Counts)) -> Counts {
    let (digest, counts) = play(deployment);
    let common = [counts.attempts, counts.timers, counts.with_source];
    assert!(common.iter().all(|count| *count >= 10_000), "{counts:?}");
    let rarer = [counts.retries, counts.refusals, counts.failures, counts.purges_told];
    assert!(rarer.iter().all(|count| *count >= 500), "{counts:?}");
    let told = [counts.drains_told, counts.restarts_told, counts.bounded_age];
    assert!(told.iter().all(|count| *count >= 200), "{counts:?}");
    assert_eq!((format!("{digest:016x}"), counts), (format!("{:016x}", recorded.0), recorded.1));
    counts
}

#[test]
fn decisions_where_hits_are_not_told() {
    let counts = check(
        &UNTOLD,
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
                refusals: 17_847,
                failures: 2_585,
                timers: 204_859,
                purges_told: 2_846,
                drains_told: 669,
                restarts_told: 1_008,
            },
        ),
    );
    assert!(counts.probes >= 500 && counts.cancels >= 400 && counts.hedges == 0);
}

#[test]
fn decisions_with_keyed_classes() {
    let counts = check(
        &KEYED,
        (
            0x66e5_3455_0dea_91a8,
            Counts {
                attempts: 82_785,
                retries: 15_518,
                with_source: 81_935,
                hedges: 0,
                bounded_age: 15_728,
                cancels: 803,
                probes: 0,
                subscriptions: 1_080,
                refusals: 15_680,
                failures: 1_844,
                timers: 183_671,
                purges_told: 2_827,
                drains_told: 661,
                restarts_told: 982,
            },
        ),
    );
    // Where hits are told, nothing has to be probed.
    assert!(counts.subscriptions >= 1_000 && counts.cancels >= 500 && counts.probes + counts.hedges == 0);
}

#[test]
fn decisions_with_second_copies_and_ages() {
    let counts = check(
        &TOLD,
        (
            0x3dc6_dacf_c757_c5d4,
            Counts {
                attempts: 76_255,
                retries: 17_913,
                with_source: 75_000,
                hedges: 536,
                bounded_age: 13_778,
                cancels: 422,
                probes: 0,
                subscriptions: 6,
                refusals: 10_542,
                failures: 2_027,
                timers: 189_990,
                purges_told: 2_378,
                drains_told: 553,
                restarts_told: 798,
            },
        ),
    );
    assert!(counts.hedges >= 500 && counts.cancels >= 400 && counts.probes == 0);
}
