//! The simulator's protocol: frames built by hand from the record tables, round trips, and
//! malformed frames.

use hollymux_decision::*;
use hollymux_simulator_adapter::protocol::{
    frame_len, parse_settings_text, Decoder, Encoder, Input, ProtocolError,
};
use std::time::Duration;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|b| b.is_ascii_hexdigit()).collect();
    let pair = |p: &[u8]| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap();
    digits.chunks(2).map(pair).collect()
}

/// A record of the given size from its leading bytes.
fn padded(hex: &str, size: usize) -> Vec<u8> {
    let mut b = bytes(hex);
    assert!(b.len() <= size);
    b.resize(size, 0);
    b
}

fn batch(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut b = 8_412_250u64.to_le_bytes().to_vec();
    let len = 16 + records.len() * 48 + tail.len();
    b.extend((len as u32).to_le_bytes());
    b.extend((records.len() as u32).to_le_bytes());
    b.extend(records.concat());
    b.extend(tail);
    b
}

fn only(records: &[Vec<u8>], tail: &[u8]) -> Vec<Input> {
    let decoded = Decoder::default().batch(&batch(records, tail)).unwrap();
    assert_eq!(decoded.now, Timestamp::from_micros(8_412_250));
    decoded.inputs
}

fn event(hex: &str) -> Event {
    match only(&[padded(hex, 48)], &[]).pop() {
        Some(Input::Event { instance: 3, event }) => event,
        other => panic!("{other:?}"),
    }
}

#[test]
fn empty_batch_and_reply() {
    assert_eq!(only(&[], &[]), vec![]);
    assert_eq!(Encoder::default().finish(), bytes("08000000 00000000"));
}

#[test]
fn a_request_by_the_table() {
    let hex =
        "3c 0300 c4913a5d 00002044 00004040 0000 640ad2557c3bf091 00000000 da05840000000000 00003041 01";
    let Event::Request(r) = event(hex) else { panic!() };
    assert_eq!(r.id, 0x5d3a_91c4);
    assert_eq!((r.size_kb, r.part, r.class, r.group), (Some(640.0), 3, 0, 11));
    assert_eq!(r.object, 0x91f0_3b7c_55d2_0a64);
    assert_eq!(r.deadline, Timestamp::from_micros(0x8405da));
    assert!(!r.repeat && !r.write);
    let flagged = hex.replace("00003041 01", "00003041 06");
    let Event::Request(r) = event(&flagged) else { panic!() };
    assert!(r.repeat && r.write);
}

#[test]
fn every_outcome_code() {
    let codes = [
        (0, AttemptStatus::Ok),
        (1, AttemptStatus::Miss),
        (249, AttemptStatus::Moot),
        (250, AttemptStatus::Cancelled),
        (251, AttemptStatus::Reset),
        (252, AttemptStatus::ConnectFailed),
        (253, AttemptStatus::Timeout),
        (254, AttemptStatus::Full),
        (255, AttemptStatus::Error),
    ];
    for (code, status) in codes {
        let hex = format!("64 0300 c4913a5d b8240000 0a124a07 8b13 44480000 0200 {code:02x} 01 02");
        let Event::AttemptOutcome(o) = event(&hex) else { panic!() };
        assert_eq!((o.status, o.ended, o.note), (status, true, Some(CacheStatus::Filled)));
        assert_eq!((o.latency, o.attempt), (Duration::from_micros(18_500), 2));
        assert_eq!(o.endpoint, EndpointId(0x138b_074a_120a));
    }
}

#[test]
fn the_other_events() {
    let started = event("14 0300 c4913a5d 0100 0a124a07 8b13 22240000");
    assert!(matches!(started, Event::Started { attempt: 1, .. }));
    assert_eq!(event("1e 0300 4d"), Event::Timer { token: 77 });
    assert_eq!(event("50 0300 05"), Event::Withdrawn { request: 5 });
    let purge = event("0a 0300 084c0100 0b00 010ad2557c000000");
    let object = Some(0x7c_55d2_0a01);
    let since = Duration::from_micros(85_000);
    assert_eq!(purge, Event::Purged(Purge { since, object, group: 11 }));
    let Event::Purged(p) = event("0a 0300 084c0100 0b00") else { panic!() };
    assert_eq!(p.object, None);
    assert_eq!(event("32 0300 03"), Event::EndpointListFailed);
    let probed = event("78 0300 0a9011f2 b413 fc");
    assert!(matches!(probed, Event::Probed { status: AttemptStatus::ConnectFailed, .. }));
    assert_eq!(only(&[padded("6e 0300", 48)], &[]), vec![Input::PowerOff { instance: 3 }]);
    assert_eq!(only(&[padded("5a 0300 02000000 00000000 04000000", 48)], b"hi 7"), vec![]);
}

#[test]
fn a_list_number_reused_in_one_batch_is_taken_in_order() {
    let list = |off: u32| {
        let mut r = bytes("28 02000000");
        r.extend(off.to_le_bytes());
        r.extend(1u32.to_le_bytes());
        r.resize(48, 0);
        r
    };
    let known = || padded("32 0300 01 29000000 02000000", 48);
    let mut tail = padded("0000 0a124a07 8b13 0000803f 01", 24);
    tail.extend(bytes("0100 0a9011f2 b413 0000c03f 02 20145d0000000000 01 0200"));
    let inputs = only(&[list(0), known(), list(24), known()], &tail);
    let lines: Vec<EndpointEntry> = inputs
        .into_iter()
        .map(|i| match i {
            Input::Event { event: Event::EndpointList { kind: ListKind::Full, mut entries }, .. } => {
                entries.pop().unwrap()
            }
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(lines[0].id, EndpointId(0x138b_074a_120a));
    assert_eq!(
        (lines[0].weight, lines[0].state, lines[0].started),
        (1.0, EndpointState::Ready, Timestamp::ZERO)
    );
    assert_eq!(
        (lines[1].weight, lines[1].state, lines[1].started),
        (1.5, EndpointState::Draining, Timestamp::from_micros(0x5d1420))
    );
    assert_eq!((lines[1].cell, lines[1].zone, lines[1].kind), (1, 1, 2));
}

#[test]
fn actions_by_the_table() {
    let mut e = Encoder::default();
    let endpoint = EndpointId(0x138b_074a_120a);
    e.action(
        3,
        &Action::Attempt {
            request: 0x5d3a_91c4,
            endpoint,
            timeout: Duration::from_millis(900),
            fill: CacheFill {
                source: Some(EndpointId(0x13b4_f211_900a)),
                retention: 2,
                max_age: Some(Duration::from_millis(1_500)),
                coalesce: true,
                stale_while_revalidate: true,
                only_if_cached: false,
            },
        },
    );
    e.action(3, &Action::timer(Duration::from_millis(500), 77));
    e.action(3, &Action::refuse(0x0e6f_2b19, Duration::from_millis(250)));
    e.action(3, &Action::Fail { request: 0x0e6f_2b19 });
    e.action(3, &Action::cancel(0x5d3a_91c4, 1));
    e.action(3, &Action::Log("two servers known".into()));
    let records = [
        "3c 0300 c4913a5d 0a124a07 8b13 a0bb0d00 0a9011f2 b413 02 60e31600 09",
        "82 0300 20a10700 4d",
        "6e 0300 192b6f0e 90d00300",
        "64 0300 192b6f0e",
        "1e 0300 c4913a5d 0100",
        "28 0300 00000000 11000000",
    ];
    let mut want = ((8 + 6 * 32 + 17) as u32).to_le_bytes().to_vec();
    want.extend(6u32.to_le_bytes());
    want.extend(records.iter().flat_map(|r| padded(r, 32)));
    want.extend(b"two servers known");
    assert_eq!(e.finish(), want);
    // No fill names the cache itself; the encoder starts empty again.
    let fill = CacheFill {
        source: None,
        retention: 0,
        max_age: None,
        coalesce: false,
        stale_while_revalidate: false,
        only_if_cached: true,
    };
    e.action(0, &Action::Attempt { request: 1, endpoint, timeout: Duration::from_micros(1), fill });
    let b = e.finish();
    assert_eq!(b.len(), 40);
    // The source gives only what it holds.
    assert_eq!(b[8 + 28], 2);
    assert_eq!(b[8 + 7..8 + 13], b[8 + 17..8 + 23]);
}

#[test]
fn malformed_frames_are_named() {
    let good = batch(&[padded("1e 0300 4d", 48)], &[]);
    for cut in 0..good.len() {
        assert!(Decoder::default().batch(&good[..cut]).is_err(), "cut at {cut}");
    }
    let err = |records: &[Vec<u8>], tail: &[u8]| Decoder::default().batch(&batch(records, tail)).unwrap_err();
    let unknown = err(&[padded("1e 0300", 48), padded("c8 0300", 48)], &[]);
    assert_eq!(unknown, ProtocolError::UnknownEvent { record: 1, code: 200 });
    let rc = err(&[padded("64 0300 c4913a5d b8240000 0a124a07 8b13 44480000 0200 09", 48)], &[]);
    assert!(matches!(rc, ProtocolError::InvalidField { field: "rc", value: 9, .. }));
    let list = err(&[padded("28 10000000", 48)], &[]);
    assert!(matches!(list, ProtocolError::InvalidField { field: "list", .. }));
    let unnamed = err(&[padded("32 0300 01 00000000 05000000", 48)], &[]);
    assert!(matches!(unnamed, ProtocolError::InvalidField { field: "list", value: 5, .. }));
    let past = err(&[padded("28 00000000 00000000 02000000", 48)], &[0; 24]);
    assert!(matches!(past, ProtocolError::Frame { .. }));
    let setup = |text: &str| {
        let mut r = bytes("46 0300 0100000000000000 00000000");
        r.extend((text.len() as u32).to_le_bytes());
        r.resize(48, 0);
        err(&[r], text.as_bytes())
    };
    let key = setup("limits.sendCap=many");
    assert_eq!(key.to_string(), "setting limits.sendCap: can't read \"many\"");
    assert!(matches!(setup("no pair"), ProtocolError::Setting(_)));
    let mut long = good.clone();
    long.push(0);
    assert!(Decoder::default().batch(&long).is_err());
}

#[test]
fn settings_are_read_skipped_and_defaulted() {
    let s = parse_settings_text(
        "az=2\nnew.key=x\nclasses.count=1\nclasses.0.effect=dedup\nclasses.0.dedupScope=zone\n\
         classes.0.onTime=500\nfamilyInfo.classWrite=true\nfamilyInfo.countByZone=0,1,2\n\
         familyInfo.shieldKind=-1\nfamilyInfo.storeKind=2\nweightSource=rough\ngroupSize=3\n",
    )
    .unwrap();
    assert_eq!((s.zone, s.router_count, s.parent_kind, s.origin_kind), (2, 3, None, Some(2)));
    assert_eq!(s.router_count_by_zone, [0, 1, 2]);
    assert_eq!(s.weights, ListedWeights::Size);
    let c = &s.classes[0];
    assert_eq!(
        (c.idempotency, c.scope, c.latency_objective, c.write),
        (Idempotency::WithKey, DeduplicationScope::Zone, Duration::from_micros(500), true)
    );
    assert_eq!((c.fresh, c.stale_weight), (Duration::ZERO, 1.0));
    assert_eq!(parse_settings_text("").unwrap(), Settings::default());
    assert!(frame_len(&[0; 16]).is_err());
}

/// What a site, its classes, kinds and zones are called reaches no decision: the settings come out
/// the same.
#[test]
fn names_are_not_read() {
    let text = |site: &str, a: &str, b: &str| {
        format!(
            "domainType={site}\nfailureDomains={a},{b}\nmodels={b},{a},{site}\nprojects=\ntiers={a}\n\
             classes.count=2\nclasses.0.name={a}\nclasses.1.name={b}\nclasses.0.onTime=500000\n\
             classes.1.onTime=300000\nclasses.0.effect=retryable\nclasses.1.effect=fragile\n\
             familyInfo.shieldKind=1\nfamilyInfo.storeKind=2\ngroupSize=3\n"
        )
    };
    let one = parse_settings_text(&text("edge", "video", "sheet")).unwrap();
    let other = parse_settings_text(&text("other", "x_1", "zz")).unwrap();
    assert_eq!(one, other);
    assert_eq!((one.classes.len(), one.router_count), (2, 3));
}
