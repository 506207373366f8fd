//! What a router of the day is told: its configuration, as the platform would give it.

use crate::model::{secs, Kind, Server, ServerModel, COLD, COLD_HUB, PURGED, PUSHED};
use crate::scenario::Scenario;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// A router's place in the day.
#[derive(Clone, Copy, Debug)]
pub struct RouterSlot {
    /// Its office.
    pub office: usize,
    /// Its number among all routers.
    pub number: usize,
}

/// The seats of all routers, office by office.
pub fn seats(day: &Scenario) -> Vec<RouterSlot> {
    let offices = day.offices.iter().enumerate();
    let offices = offices.flat_map(|(office, o)| std::iter::repeat_n(office, o.routers));
    offices.enumerate().map(|(number, office)| RouterSlot { office, number }).collect()
}

/// A line of the member list.
pub fn line(day: &Scenario, server: &Server, endpoint: SocketAddr, state: &str) -> Value {
    let (az, model) = match server.kind {
        Kind::Box(o) => (day.offices[o].name.as_str(), "standard-box"),
        Kind::ParentCache(h) => (day.hubs[h].name.as_str(), "hub"),
        Kind::Origin => (day.hubs[0].name.as_str(), "library"),
    };
    json!({"uid": server.uid, "endpoint": endpoint.to_string(), "az": az, "model": model, "pod_group": 0,
           "state": state, "capacity_hint": server.flows, "boot_ms": server.started / 1_000})
}

/// The configuration of one router; `endpoints` are those of the servers.
pub fn config(
    day: &Scenario,
    world: &ServerModel,
    seat: RouterSlot,
    seed: u64,
    feed: SocketAddr,
    endpoints: &[SocketAddr],
) -> Value {
    let zones: Vec<&str> = day
        .hubs
        .iter()
        .map(|h| &h.name)
        .chain(day.offices.iter().map(|o| &o.name))
        .map(String::as_str)
        .collect();
    let hubs = day.hubs.len();
    let by_zone: Vec<usize> =
        day.hubs.iter().map(|_| 0).chain(day.offices.iter().map(|o| o.routers)).collect();
    let micros = |ms: f64| secs(ms / 1e3);
    let classes: Vec<Value> = day
        .classes
        .iter()
        .map(|c| {
            json!({"name": c.name, "effect": if c.write { "fragile" } else { "retryable" },
                   "onTime": micros(c.aim_ms), "aimStretch": c.aim_stretch, "hardLimit": micros(c.deadline_ms),
                   "lateShare": c.late_worth, "worth": c.worth, "stream": false})
        })
        .collect();
    let all = |f: fn(&crate::scenario::Class) -> Value| -> Vec<Value> { day.classes.iter().map(f).collect() };
    let lines: Vec<Value> =
        world.servers.iter().zip(endpoints).map(|(s, e)| line(day, s, *e, "ready")).collect();
    let flow = day.flow_bytes_per_s;
    json!({
        "name": format!("n{}", seat.number + 1),
        "listen": "127.0.0.1:0",
        "seed": format!("{:016x}", seed.wrapping_add((seat.number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15))),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "feed": feed.to_string(),
        "flow_bytes_per_s": flow,
        "link_bytes_per_s": flow * 4.0,
        "known": {"n": 1, "events": [{"n": 1, "members": {"rev": 1, "all": true, "targets": lines}}]},
        "settings": {
            "az": hubs + seat.office,
            "groupSize": day.routers(),
            "discovery": "push",
            "weightSource": "nominal",
            "failureDomains": zones,
            "models": ["standard-box", "hub", "library"],
            "classes": classes,
            "familyInfo": {
                "bypassAllowed": true,
                "classParts": all(|c| json!(c.parts > 1)),
                "classWrite": all(|c| json!(c.write)),
                "maxAge": all(|c| json!(secs(c.fresh_s))),
                "usableAfter": all(|c| json!(secs(c.grace_s))),
                "staleEarns": all(|_| json!(0.5)),
                "clearedWithin": PURGED,
                "countByZone": by_zone,
                "flowKbPerS": flow / 1_000.0,
                "neighbours": "any",
                "originFall": 3_000_000,
                "originFallMultiple": 2.5,
                "parentFallMultiple": COLD_HUB.2,
                "parentFloor": COLD_HUB.0,
                "upperCold": COLD_HUB.1,
                "purgeSlack": 300_000,
                "sharesFills": false,
                "shieldKind": 1,
                "storeKind": 2,
                "tells": "none"
            },
            "limits": {"cancel": true, "dialTimeout": 400_000, "idleClose": 30_000_000,
                       "maxRetryAfter": 1_000_000, "probes": true, "retryAfter": true, "secondCopies": false,
                       "sendCap": 6, "streamsPerConn": 32},
            "rules": {"coldFrom": COLD.0, "drainGrace": 500_000, "graceToAnswer": 8_000,
                      "overloadFactor": COLD.2, "tipAfter": PUSHED, "warmAfter": COLD.1}
        }
    })
}
