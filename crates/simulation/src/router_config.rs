//! The configuration of a scenario's routers, in the form in which the platform provides it.

use crate::endpoint_feed::endpoint_line;
use crate::model::{ListedState, ServerModel, EDGE_CACHE_WARM_UP, OVERLOAD_WINDOW};
use crate::model::{PARENT_CACHE_WARM_UP, PURGE_COMPLETION};
use crate::scenario::{RequestClass, Scenario};
use crate::time::from_seconds;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Increment between the seeds of successive routers: 2^64 divided by the golden ratio, which
/// spreads them evenly.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Identifies a router of the scenario by its site and its index.
#[derive(Clone, Copy, Debug)]
pub struct RouterSlot {
    /// The index of the router's site.
    pub site: usize,
    /// The index among all routers, which are counted site by site.
    pub index: usize,
}

impl RouterSlot {
    /// The name of the router: `n1`, `n2` and so on.
    pub fn name(self) -> String {
        format!("n{}", self.index + 1)
    }
}

/// The slots of all routers, site by site.
pub fn router_slots(scenario: &Scenario) -> Vec<RouterSlot> {
    let sites = scenario.sites.iter().enumerate();
    let of_routers = sites.flat_map(|(index, site)| std::iter::repeat_n(index, site.routers));
    of_routers.enumerate().map(|(index, site)| RouterSlot { site, index }).collect()
}

/// The configuration of one router. `feed` is the address of its endpoint feed, and `endpoints` are
/// the addresses of the servers in the model's order.
pub fn router_config(
    scenario: &Scenario,
    model: &ServerModel,
    slot: RouterSlot,
    seed: u64,
    feed: SocketAddr,
    endpoints: &[SocketAddr],
) -> Value {
    let listed = model.servers.iter().zip(endpoints);
    let lines: Vec<Value> =
        listed.map(|(server, at)| endpoint_line(scenario, server, *at, ListedState::Ready)).collect();
    let flow = scenario.flow_bytes_per_s;
    let router_seed = seed.wrapping_add((slot.index as u64).wrapping_mul(SEED_STEP));
    json!({
        "name": slot.name(),
        "listen": "127.0.0.1:0",
        "seed": format!("{router_seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "feed": feed.to_string(),
        "flow_bytes_per_s": flow,
        "link_bytes_per_s": flow * 4.0,
        "known": {"n": 1, "events": [{"n": 1, "members": {"rev": 1, "all": true, "targets": lines}}]},
        "settings": settings(scenario, slot),
    })
}

/// The settings of a router; they differ between routers only in the zone.
fn settings(scenario: &Scenario, slot: RouterSlot) -> Value {
    // Zones are listed in the order of their indices: first one per parent cache, then one per
    // site.
    let parents = scenario.parent_caches.iter().map(|parent| &parent.name);
    let zones: Vec<&String> = parents.chain(scenario.sites.iter().map(|site| &site.name)).collect();
    let classes: Vec<Value> = scenario.classes.iter().map(class_settings).collect();
    json!({
        "az": scenario.parent_caches.len() + slot.site,
        "groupSize": scenario.router_count(),
        "discovery": "push",
        "weightSource": "nominal",
        "failureDomains": zones,
        "models": ["standard-box", "hub", "library"],
        "classes": classes,
        "familyInfo": family_settings(scenario),
        "limits": {"cancel": true, "dialTimeout": 400_000, "idleClose": 30_000_000,
                   "maxRetryAfter": 1_000_000, "probes": true, "retryAfter": true, "secondCopies": false,
                   "sendCap": 6, "streamsPerConn": 32},
        "rules": {"coldFrom": EDGE_CACHE_WARM_UP.initial_share, "drainGrace": 500_000, "graceToAnswer": 8_000,
                  "overloadFactor": EDGE_CACHE_WARM_UP.overload_multiple, "tipAfter": OVERLOAD_WINDOW,
                  "warmAfter": EDGE_CACHE_WARM_UP.duration}
    })
}

fn class_settings(class: &RequestClass) -> Value {
    json!({"name": class.name,
           "effect": if class.non_idempotent { "fragile" } else { "retryable" },
           "onTime": from_seconds(class.latency_objective_ms / 1e3),
           "aimStretch": class.latency_objective_stretch,
           "hardLimit": from_seconds(class.timeout_ms / 1e3),
           "lateShare": class.late_weight,
           "worth": class.priority_weight,
           "stream": false})
}

fn family_settings(scenario: &Scenario) -> Value {
    let of_classes =
        |value: fn(&RequestClass) -> Value| -> Vec<Value> { scenario.classes.iter().map(value).collect() };
    let no_routers = scenario.parent_caches.iter().map(|_| 0);
    let routers_by_zone: Vec<usize> =
        no_routers.chain(scenario.sites.iter().map(|site| site.routers)).collect();
    json!({
        "bypassAllowed": true,
        "classParts": of_classes(|class| json!(class.chunks > 1)),
        "classWrite": of_classes(|class| json!(class.non_idempotent)),
        "maxAge": of_classes(|class| json!(from_seconds(class.fresh_s))),
        "usableAfter": of_classes(|class| json!(from_seconds(class.stale_s))),
        "staleEarns": of_classes(|_| json!(crate::load::STALE_WEIGHT)),
        "clearedWithin": PURGE_COMPLETION,
        "countByZone": routers_by_zone,
        "flowKbPerS": scenario.flow_bytes_per_s / 1_000.0,
        "neighbours": "any",
        "originFall": 3_000_000,
        "originFallMultiple": 2.5,
        "parentFallMultiple": PARENT_CACHE_WARM_UP.overload_multiple,
        "parentFloor": PARENT_CACHE_WARM_UP.initial_share,
        "upperCold": PARENT_CACHE_WARM_UP.duration,
        "purgeSlack": 300_000,
        "sharesFills": false,
        "shieldKind": 1,
        "storeKind": 2,
        "tells": "none"
    })
}
