//! Events of the endpoint feed as the platform sends them to routers, and their delays.

use crate::model::{ListedState, Server, ServerKind};
use crate::objects::Purge;
use crate::scenario::{FaultKind, Scenario};
use crate::time::{as_seconds, from_seconds};
use crate::{Time, MS};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Time from a purge until it reaches the routers.
pub const PURGE_FEED_DELAY: Time = 150 * MS;

/// The time until a change of the endpoint list reaches the routers, for a change that happens
/// `since_start` after the start of the run.
pub(crate) fn endpoint_feed_delay(scenario: &Scenario, since_start: Time) -> Time {
    let extra_ms = |fault: &FaultKind| match fault {
        FaultKind::FeedDelay { by_ms } => *by_ms,
        _ => 0.0,
    };
    let extra_ms = scenario.faults_at(as_seconds(since_start)).map(extra_ms).sum::<f64>();
    from_seconds((scenario.endpoint_feed_delay_ms + extra_ms) / 1e3)
}

/// An entry of the endpoint list as JSON.
pub fn endpoint_line(
    scenario: &Scenario,
    server: &Server,
    endpoint: SocketAddr,
    state: ListedState,
) -> Value {
    let (zone, model) = match server.kind {
        ServerKind::EdgeCache(site) => (&scenario.sites[site].name, "standard-box"),
        ServerKind::ParentCache(parent) => (&scenario.parent_caches[parent].name, "hub"),
        // The origin has no zone of its own and is listed in that of the first parent cache.
        ServerKind::Origin => (&scenario.parent_caches[0].name, "library"),
    };
    json!({"uid": server.uid, "endpoint": endpoint.to_string(), "az": zone, "model": model, "pod_group": 0,
           "state": state.wire_word(), "capacity_hint": server.flows, "boot_ms": server.started / MS})
}

/// The feed event with this number that announces a change of one entry of the list.
pub(crate) fn endpoint_event(number: u64, line: &Value) -> String {
    format!("{{\"n\":{number},\"members\":{{\"rev\":{number},\"all\":false,\"targets\":[{line}]}}}}")
}

/// The feed event with this number that announces a purge.
pub(crate) fn purge_event(number: u64, purge: &Purge) -> String {
    let key = purge.object.map(|object| format!("\"key\":\"{object:016x}\",")).unwrap_or_default();
    let Purge { at, group, .. } = purge;
    format!("{{\"n\":{number},\"purge\":{{{key}\"group\":{group},\"at\":{}}}}}", at / MS)
}
