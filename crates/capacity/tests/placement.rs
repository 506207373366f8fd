//! Compares placement with that of the decision module, with which the planner shares no code.

use hollymux_capacity::placement::{endpoint_hash, hash_order, placement_seed, WeightedEndpoint};
use hollymux_decision::{
    Action, DecisionModule, EndpointEntry, EndpointId, EndpointState, Event, Idempotency, ListKind,
    ListedWeights, Request, RequestClass, Settings, Timestamp,
};
use std::time::Duration;

const EDGE_KIND: u16 = 0;
const PARENT_KIND: u16 = 1;
const ORIGIN_KIND: u16 = 2;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);

fn settings() -> Settings {
    let class = RequestClass {
        latency_objective: Duration::from_millis(400),
        deadline: REQUEST_TIMEOUT,
        idempotency: Idempotency::Idempotent,
        ..RequestClass::default()
    };
    Settings {
        classes: vec![class],
        parent_kind: Some(PARENT_KIND),
        origin_kind: Some(ORIGIN_KIND),
        weights: ListedWeights::Size,
        max_attempts: 4,
        ..Settings::default()
    }
}

fn listed(uid: &str, kind: u16, weight: f64) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId(endpoint_hash(uid)),
        cell: 0,
        zone: if kind == EDGE_KIND { 0 } else { 1 },
        kind,
        weight,
        state: EndpointState::Ready,
        started: Timestamp::ZERO,
        in_place_of: None,
    }
}

/// Returns the edge cache and the parent cache to which the decision module sends a request for a
/// chunk, or `None` if it makes no attempt.
fn decision_module_choice(
    entries: &[EndpointEntry],
    object: u64,
    chunk_index: u32,
) -> Option<(u64, Option<u64>)> {
    let mut decision_module = DecisionModule::new(settings(), 1).unwrap();
    let mut actions = Vec::new();
    let list = Event::EndpointList { kind: ListKind::Full, entries: entries.to_vec() };
    decision_module.handle(Timestamp::from_micros(1), list, &mut actions);
    actions.clear();
    let request = Request {
        id: 1,
        object,
        part: chunk_index,
        deadline: Timestamp::ZERO + REQUEST_TIMEOUT,
        ..Request::default()
    };
    decision_module.handle(Timestamp::from_micros(2), Event::Request(request), &mut actions);
    actions.iter().find_map(|action| match action {
        Action::Attempt { endpoint, fill, .. } => {
            Some((endpoint.0, fill.source.map(|parent| parent.0)))
        }
        _ => None,
    })
}

#[test]
fn placement_chooses_the_same_endpoints_as_the_decision_module() {
    let weighted = |(uid, weight): &(&str, f64)| WeightedEndpoint {
        hash: endpoint_hash(uid),
        weight: *weight,
    };
    let edge_caches = [("s-a", 4.0), ("s-b", 8.0), ("s-c", 2.0), ("s-d", 8.0)];
    let parent_caches = [("s-h1", 9.0), ("s-h2", 9.0), ("s-h3", 9.0)];
    let mut entries: Vec<EndpointEntry> =
        edge_caches.iter().map(|(uid, weight)| listed(uid, EDGE_KIND, *weight)).collect();
    entries.extend(parent_caches.iter().map(|(uid, weight)| listed(uid, PARENT_KIND, *weight)));
    entries.push(listed("s-o", ORIGIN_KIND, 9.0));
    let edge_caches: Vec<WeightedEndpoint> = edge_caches.iter().map(weighted).collect();
    let parent_caches: Vec<WeightedEndpoint> = parent_caches.iter().map(weighted).collect();
    for object in 0..200u64 {
        let chunk_index = (object % 5) as u32;
        let seed = placement_seed(object, chunk_index);
        let edge_cache = edge_caches[usize::from(hash_order(&edge_caches, seed)[0])].hash;
        let parent = parent_caches[usize::from(hash_order(&parent_caches, seed)[0])].hash;
        let expected = Some((edge_cache, Some(parent)));
        assert_eq!(
            decision_module_choice(&entries, object, chunk_index),
            expected,
            "object {object}"
        );
    }
}
