//! Characterization test of the router core: seeded random worlds are played, and a digest over the
//! core's commands in a neutral notation must equal the recorded one, so that no change alters
//! commands by mistake. Only `adapter.rs` names the core's types, so a renamed type is followed
//! there alone.
//!
//! A change that is meant to alter commands records the digests and counts anew in the same commit.

#[path = "characterization/adapter.rs"]
mod adapter;
#[path = "characterization/neutral.rs"]
mod neutral;
#[path = "characterization/world.rs"]
mod world;

use std::collections::BTreeMap;
use world::{ClassUse, Deployment, Record, World};

const SEQUENCE_COUNT: u64 = 1_000;
const EVENTS_PER_SEQUENCE: usize = 220;
/// Minimum number of effects of each required kind in a deployment, so that every digest covers
/// them.
const MIN_COUNT_PER_KIND: u32 = 50;
/// Kinds of effects that every deployment must produce.
const REQUIRED_KINDS: [&str; 22] = [
    "send",
    "send again",
    "cancel",
    "tried",
    "wake",
    "drop",
    "hold",
    "look up",
    "reply served",
    "reply unchanged",
    "reply refused",
    "reply failed",
    "ended served",
    "ended unchanged",
    "ended refused",
    "ended failed",
    "ended withdrawn",
    "ended named",
    "lookup named",
    "lookup refused",
    "settings",
    "handed over",
];

/// Endpoints report no cache status. Probes are allowed.
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
    settings_later: "az=0
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
limits.sendCap=2
limits.secondCopies=false
limits.cancel=true
limits.probes=true
limits.retryAfter=true
limits.maxRetryAfter=1500000
limits.dialTimeout=200000
classes.count=3
classes.0.onTime=150000
classes.0.hardLimit=900000
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
        ClassUse { name: "page", budget_ms: 900, has_key: false, non_idempotent: false, is_write: false },
        ClassUse { name: "film", budget_ms: 2_500, has_key: false, non_idempotent: false, is_write: false },
        ClassUse { name: "order", budget_ms: 2_000, has_key: false, non_idempotent: true, is_write: true },
    ],
};

/// Two classes have idempotency keys. Endpoints report hits, but not why a fill failed.
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
familyInfo.classWrite=true,true,false,true
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
classes.count=4
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
classes.3.onTime=400000
classes.3.hardLimit=1400000
classes.3.worth=4
classes.3.effect=fragile
",
    settings_later: "az=0
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
familyInfo.classWrite=true,true,false,true
weightSource=live
discovery=ask
rules.mustAskIn=500000
rules.drainGrace=250000
rules.graceToAnswer=20000
rules.coldFrom=0.4
rules.warmAfter=5000000
rules.overloadFactor=1.8
rules.tipAfter=500000
limits.sendCap=3
limits.secondCopies=false
limits.cancel=true
limits.probes=true
limits.retryAfter=true
limits.maxRetryAfter=800000
limits.dialTimeout=200000
classes.count=4
classes.0.onTime=300000
classes.0.hardLimit=1800000
classes.0.worth=5
classes.0.lateShare=0.4
classes.0.effect=dedup
classes.0.dedupScope=zone
classes.0.keyTtl=500000
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
classes.3.onTime=400000
classes.3.hardLimit=1400000
classes.3.worth=4
classes.3.effect=fragile
",
    classes: &[
        ClassUse { name: "parcel", budget_ms: 1_800, has_key: true, non_idempotent: false, is_write: true },
        ClassUse { name: "note", budget_ms: 1_500, has_key: true, non_idempotent: false, is_write: true },
        ClassUse { name: "price", budget_ms: 900, has_key: false, non_idempotent: false, is_write: false },
        ClassUse { name: "booking", budget_ms: 1_400, has_key: false, non_idempotent: true, is_write: true },
    ],
};

/// Endpoints report the full cache status, and copies become stale. Hedged requests are not
/// allowed, because the core has one attempt of a request in flight at a time.
const WITH_FULL_CACHE_STATUS: Deployment = Deployment {
    settings: "az=0
groupSize=3
familyInfo.countByZone=2,1
familyInfo.shieldKind=1
familyInfo.storeKind=2
familyInfo.bypassAllowed=true
familyInfo.sharesFills=true
familyInfo.neighbours=location
familyInfo.tells=all
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
limits.secondCopies=false
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
classes.2.onTime=500000
classes.2.hardLimit=1600000
classes.2.worth=5
classes.2.effect=fragile
",
    settings_later: "az=0
groupSize=3
familyInfo.countByZone=2,1
familyInfo.shieldKind=1
familyInfo.storeKind=2
familyInfo.bypassAllowed=true
familyInfo.sharesFills=true
familyInfo.neighbours=any
familyInfo.tells=all
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
limits.sendCap=4
limits.secondCopies=false
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
classes.1.onTime=250000
classes.1.aimStretch=1
classes.1.hardLimit=2200000
classes.1.worth=3
classes.1.lateShare=0.5
classes.1.effect=retryable
classes.2.onTime=500000
classes.2.hardLimit=1600000
classes.2.worth=5
classes.2.effect=fragile
",
    classes: &[
        ClassUse { name: "page", budget_ms: 1_000, has_key: false, non_idempotent: false, is_write: false },
        ClassUse { name: "film", budget_ms: 2_200, has_key: false, non_idempotent: false, is_write: false },
        ClassUse { name: "order", budget_ms: 1_600, has_key: false, non_idempotent: true, is_write: true },
    ],
};

/// Plays all sequences of a deployment and compares the digest and the counts with the recorded
/// ones.
fn check(deployment: &Deployment, digest: u64, counts: &[(&'static str, u32)]) {
    let mut record = Record::default();
    for sequence in 0..SEQUENCE_COUNT {
        World::new(deployment, &mut record, 0x0c04_0000 + sequence).play(EVENTS_PER_SEQUENCE);
    }
    for kind in REQUIRED_KINDS {
        let count = record.counts.get(kind).copied().unwrap_or(0);
        assert!(
            count >= MIN_COUNT_PER_KIND,
            "effect {kind:?} occurred only {count} times: {:?}",
            record.counts
        );
    }
    let recorded: BTreeMap<&str, u32> = counts.iter().copied().collect();
    assert_eq!((format!("{:016x}", record.digest), record.counts), (format!("{digest:016x}"), recorded));
}

#[test]
fn commands_without_cache_status_are_unchanged() {
    check(
        &WITHOUT_CACHE_STATUS,
        0x3705_472f_a3b2_e0b5,
        &[
            ("cancel", 12_161),
            ("drop", 1_385),
            ("ended failed", 20_796),
            ("ended named", 9_776),
            ("ended refused", 13_169),
            ("ended served", 31_922),
            ("ended unchanged", 3_483),
            ("ended withdrawn", 512),
            ("handed over", 703),
            ("hold", 468),
            ("look up", 11_425),
            ("lookup named", 9_785),
            ("lookup refused", 542),
            ("probe", 221),
            ("reply failed", 21_507),
            ("reply refused", 12_655),
            ("reply served", 31_922),
            ("reply unchanged", 3_483),
            ("send", 58_376),
            ("send again", 15_083),
            ("settings", 348),
            ("tried", 73_146),
            ("wake", 288_872),
        ],
    );
}

#[test]
fn commands_with_idempotency_keys_are_unchanged() {
    check(
        &WITH_IDEMPOTENCY_KEYS,
        0x5bca_d37a_e95b_ba8e,
        &[
            ("cancel", 13_505),
            ("drop", 1_472),
            ("ended failed", 22_816),
            ("ended named", 10_495),
            ("ended refused", 11_275),
            ("ended served", 36_180),
            ("ended unchanged", 3_956),
            ("ended withdrawn", 694),
            ("handed over", 762),
            ("hold", 536),
            ("look up", 11_255),
            ("lookup named", 10_497),
            ("lookup refused", 508),
            ("reply failed", 23_574),
            ("reply refused", 10_808),
            ("reply served", 36_180),
            ("reply unchanged", 3_956),
            ("send", 62_636),
            ("send again", 19_340),
            ("settings", 375),
            ("tried", 81_898),
            ("wake", 285_046),
        ],
    );
}

#[test]
fn commands_with_full_cache_status_are_unchanged() {
    check(
        &WITH_FULL_CACHE_STATUS,
        0x2cf7_cb74_f3f2_3921,
        &[
            ("cancel", 13_215),
            ("drop", 1_255),
            ("ended failed", 21_767),
            ("ended named", 9_480),
            ("ended refused", 8_258),
            ("ended served", 32_985),
            ("ended unchanged", 3_714),
            ("ended withdrawn", 520),
            ("handed over", 646),
            ("hold", 448),
            ("look up", 11_463),
            ("lookup named", 9_485),
            ("lookup refused", 338),
            ("reply failed", 22_478),
            ("reply refused", 7_941),
            ("reply served", 32_985),
            ("reply unchanged", 3_714),
            ("send", 57_130),
            ("send again", 19_924),
            ("settings", 345),
            ("tried", 76_806),
            ("wake", 292_403),
        ],
    );
}
