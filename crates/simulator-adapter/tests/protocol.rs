//! Tests of the codec for the simulator's protocol: frames that are built by hand according to the
//! record layouts, malformed frames, and settings texts.

use hollymux_decision::*;
use hollymux_simulator_adapter::protocol::{
    frame_len, parse_settings_text, Decoder, Encoder, Input, ProtocolError,
};
use std::time::Duration;

/// Parses bytes in hexadecimal notation. Characters other than hexadecimal digits are ignored.
fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|byte| byte.is_ascii_hexdigit()).collect();
    let parse_pair = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(parse_pair).collect()
}

/// A record of `size` bytes that starts with these bytes and is padded with zeros.
fn padded(hex: &str, size: usize) -> Vec<u8> {
    let mut record = bytes(hex);
    assert!(record.len() <= size);
    record.resize(size, 0);
    record
}

/// A batch frame with time 8.41225 s.
fn batch(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut frame = 8_412_250u64.to_le_bytes().to_vec();
    let length = 16 + records.len() * 48 + tail.len();
    frame.extend((length as u32).to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(records.concat());
    frame.extend(tail);
    frame
}

/// Decodes a batch with these records, checks its time and returns its inputs.
fn decode(records: &[Vec<u8>], tail: &[u8]) -> Vec<Input> {
    let decoded = Decoder::default().batch(&batch(records, tail)).unwrap();
    assert_eq!(decoded.now, Timestamp::from_micros(8_412_250));
    decoded.inputs
}

/// Decodes a record that holds an event for instance 3.
fn decode_event(hex: &str) -> Event {
    match decode(&[padded(hex, 48)], &[]).pop() {
        Some(Input::Event { instance: 3, event }) => event,
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_empty_batch_is_decoded_and_an_empty_reply_encoded() {
    assert_eq!(decode(&[], &[]), vec![]);
    assert_eq!(Encoder::default().finish(), bytes("08000000 00000000"));
}

#[test]
fn a_request_is_decoded_by_its_record_layout() {
    let hex =
        "3c 0300 c4913a5d 00002044 00004040 0000 640ad2557c3bf091 00000000 da05840000000000 00003041 01";
    let Event::Request(request) = decode_event(hex) else { panic!("not a request") };
    assert_eq!(request.id, 0x5d3a_91c4);
    assert_eq!((request.size_kb, request.part, request.class, request.group), (Some(640.0), 3, 0, 11));
    assert_eq!(request.object, 0x91f0_3b7c_55d2_0a64);
    assert_eq!(request.deadline, Timestamp::from_micros(0x8405da));
    assert!(!request.repeat && !request.write);
    let with_both_flags = hex.replace("00003041 01", "00003041 06");
    let Event::Request(request) = decode_event(&with_both_flags) else { panic!("not a request") };
    assert!(request.repeat && request.write);
}

#[test]
fn an_attempt_outcome_is_decoded_with_every_status() {
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
        let Event::AttemptOutcome(outcome) = decode_event(&hex) else { panic!("not an attempt outcome") };
        assert_eq!((outcome.status, outcome.request_finished), (status, true));
        assert_eq!(outcome.cache_status, Some(CacheStatus::Filled));
        assert_eq!((outcome.latency, outcome.attempt), (Duration::from_micros(18_500), 2));
        assert_eq!(outcome.endpoint, EndpointId(0x138b_074a_120a));
    }
}

#[test]
fn all_other_event_records_are_decoded() {
    let started = decode_event("14 0300 c4913a5d 0100 0a124a07 8b13 22240000");
    assert!(matches!(started, Event::Started { attempt: 1, .. }));
    assert_eq!(decode_event("1e 0300 4d"), Event::Timer { token: 77 });
    assert_eq!(decode_event("50 0300 05"), Event::Withdrawn { request: 5 });
    let purge = decode_event("0a 0300 084c0100 0b00 010ad2557c000000");
    let object = Some(0x7c_55d2_0a01);
    let since = Duration::from_micros(85_000);
    assert_eq!(purge, Event::Purged(Purge { since, object, group: 11 }));
    let Event::Purged(group_purge) = decode_event("0a 0300 084c0100 0b00") else { panic!("not a purge") };
    assert_eq!(group_purge.object, None);
    assert_eq!(decode_event("32 0300 03"), Event::EndpointListFailed);
    let probed = decode_event("78 0300 0a9011f2 b413 fc");
    assert!(matches!(probed, Event::Probed { status: AttemptStatus::ConnectFailed, .. }));
    assert_eq!(decode(&[padded("6e 0300", 48)], &[]), vec![Input::Remove { instance: 3 }]);
    assert_eq!(decode(&[padded("5a 0300 02000000 00000000 04000000", 48)], b"hi 7"), vec![]);
}

#[test]
fn a_list_redefined_within_a_batch_applies_to_later_records_only() {
    let define_list = |tail_offset: u32| {
        let mut record = bytes("28 02000000");
        record.extend(tail_offset.to_le_bytes());
        record.extend(1u32.to_le_bytes());
        record.resize(48, 0);
        record
    };
    let receive_list = || padded("32 0300 01 29000000 02000000", 48);
    let mut tail = padded("0000 0a124a07 8b13 0000803f 01", 24);
    tail.extend(bytes("0100 0a9011f2 b413 0000c03f 02 20145d0000000000 01 0200"));
    let inputs = decode(&[define_list(0), receive_list(), define_list(24), receive_list()], &tail);
    let received: Vec<EndpointEntry> = inputs
        .into_iter()
        .map(|input| match input {
            Input::Event { event: Event::EndpointList { kind: ListKind::Full, mut entries }, .. } => {
                entries.pop().unwrap()
            }
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(received[0].id, EndpointId(0x138b_074a_120a));
    assert_eq!(
        (received[0].weight, received[0].state, received[0].started),
        (1.0, EndpointState::Ready, Timestamp::ZERO)
    );
    assert_eq!(
        (received[1].weight, received[1].state, received[1].started),
        (1.5, EndpointState::Draining, Timestamp::from_micros(0x5d1420))
    );
    assert_eq!((received[1].cell, received[1].zone, received[1].kind), (1, 1, 2));
}

#[test]
fn actions_are_encoded_by_their_record_layouts() {
    let mut encoder = Encoder::default();
    let endpoint = EndpointId(0x138b_074a_120a);
    encoder.action(
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
    encoder.action(3, &Action::timer(Duration::from_millis(500), 77));
    encoder.action(3, &Action::reject(0x0e6f_2b19, Duration::from_millis(250)));
    encoder.action(3, &Action::Fail { request: 0x0e6f_2b19 });
    encoder.action(3, &Action::cancel(0x5d3a_91c4, 1));
    encoder.action(3, &Action::Log("two servers known".into()));
    let records = [
        "3c 0300 c4913a5d 0a124a07 8b13 a0bb0d00 0a9011f2 b413 02 60e31600 09",
        "82 0300 20a10700 4d",
        "6e 0300 192b6f0e 90d00300",
        "64 0300 192b6f0e",
        "1e 0300 c4913a5d 0100",
        "28 0300 00000000 11000000",
    ];
    let mut expected = ((8 + 6 * 32 + 17) as u32).to_le_bytes().to_vec();
    expected.extend(6u32.to_le_bytes());
    expected.extend(records.iter().flat_map(|record| padded(record, 32)));
    expected.extend(b"two servers known");
    assert_eq!(encoder.finish(), expected);
    let fill = CacheFill {
        source: None,
        retention: 0,
        max_age: None,
        coalesce: false,
        stale_while_revalidate: false,
        only_if_cached: true,
    };
    encoder.action(0, &Action::Attempt { request: 1, endpoint, timeout: Duration::from_micros(1), fill });
    let reply = encoder.finish();
    // One record: the encoder was reset by the first call of `finish`.
    assert_eq!(reply.len(), 40);
    // Only the flag for only-if-cached is set.
    assert_eq!(reply[8 + 28], 2);
    // Without a fill source, the source is encoded as the endpoint itself.
    assert_eq!(reply[8 + 7..8 + 13], reply[8 + 17..8 + 23]);
}

#[test]
fn malformed_frames_are_rejected_with_a_specific_error() {
    let valid = batch(&[padded("1e 0300 4d", 48)], &[]);
    for length in 0..valid.len() {
        assert!(Decoder::default().batch(&valid[..length]).is_err(), "truncated to {length} bytes");
    }
    let decode_error =
        |records: &[Vec<u8>], tail: &[u8]| Decoder::default().batch(&batch(records, tail)).unwrap_err();
    let unknown_event = decode_error(&[padded("1e 0300", 48), padded("c8 0300", 48)], &[]);
    assert_eq!(unknown_event, ProtocolError::UnknownEvent { record: 1, code: 200 });
    let unknown_status =
        decode_error(&[padded("64 0300 c4913a5d b8240000 0a124a07 8b13 44480000 0200 09", 48)], &[]);
    assert!(matches!(unknown_status, ProtocolError::InvalidField { field: "rc", value: 9, .. }));
    let invalid_list_number = decode_error(&[padded("28 10000000", 48)], &[]);
    assert!(matches!(invalid_list_number, ProtocolError::InvalidField { field: "list", .. }));
    let undefined_list = decode_error(&[padded("32 0300 01 00000000 05000000", 48)], &[]);
    assert!(matches!(undefined_list, ProtocolError::InvalidField { field: "list", value: 5, .. }));
    let beyond_tail = decode_error(&[padded("28 00000000 00000000 02000000", 48)], &[0; 24]);
    assert!(matches!(beyond_tail, ProtocolError::Frame { .. }));
    let settings_error = |settings: &str| {
        let mut record = bytes("46 0300 0100000000000000 00000000");
        record.extend((settings.len() as u32).to_le_bytes());
        record.resize(48, 0);
        decode_error(&[record], settings.as_bytes())
    };
    let invalid_value = settings_error("limits.sendCap=many");
    assert_eq!(invalid_value.to_string(), "setting limits.sendCap: can't read \"many\"");
    assert!(matches!(settings_error("no pair"), ProtocolError::Setting(_)));
    let mut too_long = valid.clone();
    too_long.push(0);
    assert!(Decoder::default().batch(&too_long).is_err());
}

#[test]
fn known_settings_are_parsed_unknown_ones_ignored_and_absent_ones_defaulted() {
    let settings = parse_settings_text(
        "az=2\nnew.key=x\nclasses.count=1\nclasses.0.effect=dedup\nclasses.0.dedupScope=zone\n\
         classes.0.onTime=500\nfamilyInfo.classWrite=true\nfamilyInfo.countByZone=0,1,2\n\
         familyInfo.shieldKind=-1\nfamilyInfo.storeKind=2\nweightSource=rough\ngroupSize=3\n",
    )
    .unwrap();
    assert_eq!((settings.zone, settings.router_count), (2, 3));
    assert_eq!((settings.parent_kind, settings.origin_kind), (None, Some(2)));
    assert_eq!(settings.router_count_by_zone, [0, 1, 2]);
    assert_eq!(settings.weights, ListedWeights::Size);
    let class = &settings.classes[0];
    assert_eq!(
        (class.idempotency, class.scope, class.latency_objective, class.write),
        (Idempotency::WithKey, DeduplicationScope::Zone, Duration::from_micros(500), true)
    );
    assert_eq!((class.fresh, class.stale_weight), (Duration::ZERO, 1.0));
    assert_eq!(parse_settings_text("").unwrap(), Settings::default());
    assert!(frame_len(&[0; 16]).is_err());
}

/// Guards against decisions that depend on names of sites, classes, endpoint kinds or zones.
/// Settings that differ only in such names must be parsed to the same value.
#[test]
fn names_have_no_effect_on_the_parsed_settings() {
    let settings_text = |site: &str, name: &str, other_name: &str| {
        format!(
            "domainType={site}\nfailureDomains={name},{other_name}\nmodels={other_name},{name},{site}\n\
             projects=\ntiers={name}\n\
             classes.count=2\nclasses.0.name={name}\nclasses.1.name={other_name}\nclasses.0.onTime=500000\n\
             classes.1.onTime=300000\nclasses.0.effect=retryable\nclasses.1.effect=fragile\n\
             familyInfo.shieldKind=1\nfamilyInfo.storeKind=2\ngroupSize=3\n"
        )
    };
    let settings = parse_settings_text(&settings_text("edge", "video", "sheet")).unwrap();
    let renamed = parse_settings_text(&settings_text("other", "x_1", "zz")).unwrap();
    assert_eq!(settings, renamed);
    assert_eq!((settings.classes.len(), settings.router_count), (2, 3));
}
