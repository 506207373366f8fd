//! Events of the endpoint feed, as the platform sends them to routers, and how long they take.

use crate::model::{ListedState, Server, ServerKind};
use crate::objects::Purge;
use crate::scenario::{FaultKind, Scenario};
use crate::time::{as_seconds, from_seconds};
use crate::{Time, MS};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// A purge takes this long to reach a router.
pub const PURGE_FEED_DELAY: Time = 150 * MS;

/// How long a change of the endpoint list takes to reach routers, so long after the scenario's
/// start.
pub(crate) fn endpoint_feed_delay(scenario: &Scenario, since_start: Time) -> Time {
    let further_ms = |fault: &FaultKind| match fault {
        FaultKind::FeedDelay { by_ms } => *by_ms,
        _ => 0.0,
    };
    let further_ms = scenario.faults_at(as_seconds(since_start)).map(further_ms).sum::<f64>();
    from_seconds((scenario.endpoint_feed_delay_ms + further_ms) / 1e3)
}

/// A line of the endpoint list.
pub fn endpoint_line(
    scenario: &Scenario,
    server: &Server,
    endpoint: SocketAddr,
    state: ListedState,
) -> Value {
    let (zone, model) = match server.kind {
        ServerKind::EdgeCache(site) => (&scenario.sites[site].name, "standard-box"),
        ServerKind::ParentCache(parent) => (&scenario.parent_caches[parent].name, "hub"),
        // The origin belongs to no zone of its own.
        ServerKind::Origin => (&scenario.parent_caches[0].name, "library"),
    };
    json!({"uid": server.uid, "endpoint": endpoint.to_string(), "az": zone, "model": model, "pod_group": 0,
           "state": state.wire_word(), "capacity_hint": server.flows, "boot_ms": server.started / MS})
}

/// The feed's event of that number for a change of one line of the list.
pub(crate) fn endpoint_event(number: u64, line: &Value) -> String {
    format!("{{\"n\":{number},\"members\":{{\"rev\":{number},\"all\":false,\"targets\":[{line}]}}}}")
}

/// The feed's event of that number for a purge.
pub(crate) fn purge_event(number: u64, purge: &Purge) -> String {
    let key = purge.object.map(|object| format!("\"key\":\"{object:016x}\",")).unwrap_or_default();
    let Purge { at, group, .. } = purge;
    format!("{{\"n\":{number},\"purge\":{{{key}\"group\":{group},\"at\":{}}}}}", at / MS)
}
