//! Tests of the encoding of the state that is handed over: points in time and durations are encoded
//! as plain numbers of microseconds, whatever types the program uses for them.

use hollymux_decision::{DecisionSnapshot, EndpointSnapshot, Timestamp};
use hollymux_router::handover_state::{EndpointRecord, PendingWrite};
use serde::Serialize;
use std::time::Duration;

/// Same fields as [`EndpointSnapshot`], with points in time and durations in microseconds.
#[derive(Serialize)]
struct PlainEndpointSnapshot {
    id: u64,
    cold_since: Option<u64>,
    blame: [f64; 3],
    last_ok: u64,
    answers: f64,
    out: Option<u64>,
    backoff: u64,
    died: bool,
    tardy: f64,
    load: (f64, u64),
    ledger: Vec<(u64, f64)>,
}

/// Same fields as [`DecisionSnapshot`], with points in time and durations in microseconds.
#[derive(Serialize)]
struct PlainDecisionSnapshot {
    hosts: Vec<PlainEndpointSnapshot>,
    classes: Vec<u8>,
    levels: Vec<(u64, u32, u64)>,
    rate: f64,
    seen: [Vec<u64>; 2],
    seen_since: u64,
    purges: Vec<(bool, u64, u64)>,
    floor: u64,
    retries: f64,
    lost: f64,
}

/// Encodes a value in the format of handover messages.
fn bytes(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap()
}

/// The point in time `micros` microseconds after the origin of the clock.
fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn snapshot() -> DecisionSnapshot {
    let endpoint = EndpointSnapshot {
        id: 3,
        cold_since: Some(at(1_000_001)),
        blame: [0.5, 0.25, 0.0],
        last_ok: at(u64::MAX),
        answers: 2.0,
        out: Some(at(77)),
        backoff: Duration::from_micros(500_001),
        died: true,
        tardy: 0.1,
        load: (1.5, at(9)),
        ledger: vec![(at(5), 0.2)],
    };
    DecisionSnapshot {
        endpoints: vec![endpoint],
        levels: vec![(8, 1, at(300))],
        rate: 4.0,
        seen: [vec![1], vec![]],
        seen_since: at(128),
        purges: vec![(true, 6, at(129))],
        floor: at(130),
        retries: 1.0,
        lost: 0.01,
        ..DecisionSnapshot::default()
    }
}

/// Same values as [`snapshot`], with points in time and durations in microseconds.
fn plain_snapshot() -> PlainDecisionSnapshot {
    let endpoint = PlainEndpointSnapshot {
        id: 3,
        cold_since: Some(1_000_001),
        blame: [0.5, 0.25, 0.0],
        last_ok: u64::MAX,
        answers: 2.0,
        out: Some(77),
        backoff: 500_001,
        died: true,
        tardy: 0.1,
        load: (1.5, 9),
        ledger: vec![(5, 0.2)],
    };
    PlainDecisionSnapshot {
        hosts: vec![endpoint],
        classes: vec![],
        levels: vec![(8, 1, 300)],
        rate: 4.0,
        seen: [vec![1], vec![]],
        seen_since: 128,
        purges: vec![(true, 6, 129)],
        floor: 130,
        retries: 1.0,
        lost: 0.01,
    }
}

/// Guards against a change of the encoding, with which a predecessor and a successor of different
/// builds would decode different times.
#[test]
fn times_are_encoded_as_plain_microseconds() {
    let encoded = bytes(&snapshot());
    assert_eq!(encoded, bytes(&plain_snapshot()));
    assert_eq!(postcard::from_bytes::<DecisionSnapshot>(&encoded).unwrap(), snapshot());

    let pending_write = PendingWrite { request_id: 1, arrived: at(300), endpoint: Some(2) };
    assert_eq!(bytes(&pending_write), bytes(&(1u64, 300u64, Some(2u64))));
    let record = EndpointRecord {
        uid: "s-a".into(),
        addr: None,
        zone: 0,
        kind: 1,
        cell: 2,
        weight: 4.0,
        draining: false,
        started: at(1_000_000),
    };
    let plain_record = ("s-a", None::<u8>, 0u16, 1u16, 2u16, 4.0, false, 1_000_000u64);
    assert_eq!(bytes(&record), bytes(&plain_record));
}
