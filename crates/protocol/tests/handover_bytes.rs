//! The bytes of the handed over state: a time is a plain number of microseconds, whatever its type
//! in the program.

use hollymux_decision::{DecisionSnapshot, EndpointSnapshot, Timestamp};
use hollymux_router::handover_state::{EndpointRecord, PendingWrite};
use serde::Serialize;
use std::time::Duration;

/// [`EndpointSnapshot`] with times as plain numbers.
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

/// [`DecisionSnapshot`] with times as plain numbers.
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

fn bytes(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap()
}

/// Guards against a predecessor or successor of another build that reads other numbers than were meant.
#[test]
fn times_are_handed_over_as_plain_microseconds() {
    let at = Timestamp::from_micros;
    let host = EndpointSnapshot {
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
    let memory = DecisionSnapshot {
        endpoints: vec![host],
        levels: vec![(8, 1, at(300))],
        rate: 4.0,
        seen: [vec![1], vec![]],
        seen_since: at(128),
        purges: vec![(true, 6, at(129))],
        floor: at(130),
        retries: 1.0,
        lost: 0.01,
        ..DecisionSnapshot::default()
    };
    let plain_host = PlainEndpointSnapshot {
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
    let plain = PlainDecisionSnapshot {
        hosts: vec![plain_host],
        classes: vec![],
        levels: vec![(8, 1, 300)],
        rate: 4.0,
        seen: [vec![1], vec![]],
        seen_since: 128,
        purges: vec![(true, 6, 129)],
        floor: 130,
        retries: 1.0,
        lost: 0.01,
    };
    let written = bytes(&memory);
    assert_eq!(written, bytes(&plain));
    assert_eq!(postcard::from_bytes::<DecisionSnapshot>(&written).unwrap(), memory);

    let filing = PendingWrite { request_id: 1, arrived: at(300), endpoint: Some(2) };
    assert_eq!(bytes(&filing), bytes(&(1u64, 300u64, Some(2u64))));
    let line = EndpointRecord {
        uid: "s-a".into(),
        addr: None,
        zone: 0,
        kind: 1,
        cell: 2,
        weight: 4.0,
        draining: false,
        started: at(1_000_000),
    };
    let plain_line = ("s-a", None::<u8>, 0u16, 1u16, 2u16, 4.0, false, 1_000_000u64);
    assert_eq!(bytes(&line), bytes(&plain_line));
}
