//! A fleet as an operator describes it: what is known. What is not given is fitted from the recording, or not
//! judged; the answer says which.

use hollymux_settings::{Check, Faults};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Boxes, hubs and library, and the links between them. Rates of links are in flows: how many transfers at a
/// client's full pace fit on one.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The offices.
    pub offices: Vec<Office>,
    /// The hubs.
    pub hubs: Vec<Hub>,
    /// The library. Default: nothing is known of it, and it is not judged.
    #[serde(default)]
    pub library: Library,
    /// A fill runs at most so many times as fast as a transfer to a client. Default: 3.
    #[serde(default = "three")]
    pub fill_pace: f64,
    /// Clients.
    #[serde(default)]
    pub clients: Clients,
    /// How boxes and hubs come back.
    #[serde(default)]
    pub cold: Cold,
    /// Routers.
    #[serde(default)]
    pub routers: Routers,
}

/// An office.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Office {
    /// Its name, as the recording has it.
    pub name: String,
    /// The hub that it hangs on.
    pub hub: String,
    /// How many boxes there are.
    pub boxes: usize,
    /// The link that all fills from outside share, in flows.
    pub link_in_flows: f64,
    /// Each box's link out, in flows. Default: the size that the member list gives.
    #[serde(default)]
    pub link_flows: Option<f64>,
    /// What each box keeps, in bytes. Default: fitted.
    #[serde(default)]
    pub keep_bytes: Option<f64>,
    /// Each box's cores. Default: not judged.
    #[serde(default)]
    pub cores: Option<f64>,
    /// A box's work on one request besides sending. Default: cores are not judged.
    #[serde(default)]
    pub work_ms: Option<f64>,
    /// Fills that a box runs at most. Default: not judged.
    #[serde(default)]
    pub fills: Option<usize>,
}

/// A hub cache.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Hub {
    /// Its name: that of its zone in the member list.
    pub name: String,
    /// Its link out, in flows.
    pub link_flows: f64,
    /// What it keeps, in bytes. Default: all that is asked for.
    #[serde(default)]
    pub keep_bytes: Option<f64>,
    /// Fetches from the library that it has out at most. Default: not judged.
    #[serde(default)]
    pub fetches: Option<usize>,
}

/// The central library.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Library {
    /// Calls a second above which it turns away. Default: not judged.
    pub calls_per_s: Option<f64>,
    /// Its link out, in flows. Default: not judged.
    pub link_flows: Option<f64>,
    /// Calls that it works on at a time. Default: not judged.
    pub workers: Option<usize>,
    /// Its work on one call. Default: fitted from the times of filings.
    pub service_ms: Option<f64>,
}

/// What clients do when they are not served.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Further tries. Default: 2.
    pub tries: u32,
    /// The wait before one, at least; at most it is twice that. Default: 300.
    pub wait_ms: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { tries: 2, wait_ms: 300.0 }
    }
}

/// How a server comes back from a loss: empty, and with a part of what it can do.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Cold {
    /// The part of its link that a box starts with. Default: 0.18.
    pub box_from: f64,
    /// A box is warm after this. Default: 17.
    pub box_s: f64,
    /// The part of its link that a hub starts with. Default: 0.07.
    pub hub_from: f64,
    /// A hub is warm after this. Default: 18.
    pub hub_s: f64,
}

impl Default for Cold {
    fn default() -> Self {
        Cold { box_from: 0.18, box_s: 17.0, hub_from: 0.07, hub_s: 18.0 }
    }
}

/// What a router has, and what a request costs it.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Routers {
    /// Descriptors. Default: 1024.
    pub sockets: f64,
    /// Memory, in MB. Default: 192.
    pub memory_mb: f64,
    /// Processor time for one request. Default: 0.35, as measured for this version (docs/capacity.md).
    pub cpu_ms: f64,
}

impl Default for Routers {
    fn default() -> Self {
        Routers { sockets: 1_024.0, memory_mb: 192.0, cpu_ms: 0.35 }
    }
}

fn three() -> f64 {
    3.0
}

impl Check for Fleet {
    fn check(&self, faults: &mut Faults) {
        let positive = |v: f64| v.is_finite() && v > 0.0;
        let given = |v: Option<f64>| v.is_none_or(positive);
        faults.unless(!self.offices.is_empty(), "offices", "there is none");
        faults.unless(!self.hubs.is_empty(), "hubs", "there is none");
        let mut names: BTreeSet<&str> = BTreeSet::new();
        for (i, h) in self.hubs.iter().enumerate() {
            let at = |field: &str| format!("hubs[{i}].{field}");
            faults.unless(names.insert(&h.name), at("name"), "stands twice");
            faults.unless(positive(h.link_flows), at("link_flows"), "must be above 0");
            faults.unless(given(h.keep_bytes), at("keep_bytes"), "must be above 0");
            faults.unless(h.fetches != Some(0), at("fetches"), "must be above 0");
        }
        for (i, o) in self.offices.iter().enumerate() {
            let at = |field: &str| format!("offices[{i}].{field}");
            faults.unless(names.insert(&o.name), at("name"), "stands twice");
            let hub = self.hubs.iter().any(|h| h.name == o.hub);
            faults.unless(hub, at("hub"), "is no hub of this fleet");
            faults.unless((1..=1_000).contains(&o.boxes), at("boxes"), "must lie between 1 and 1000");
            faults.unless(positive(o.link_in_flows), at("link_in_flows"), "must be above 0");
            faults.unless(given(o.link_flows), at("link_flows"), "must be above 0");
            faults.unless(given(o.keep_bytes), at("keep_bytes"), "must be above 0");
            faults.unless(given(o.cores), at("cores"), "must be above 0");
            faults.unless(given(o.work_ms), at("work_ms"), "must be above 0");
            faults.unless(o.fills != Some(0), at("fills"), "must be above 0");
        }
        let l = &self.library;
        faults.unless(given(l.calls_per_s), "library.calls_per_s", "must be above 0");
        faults.unless(given(l.link_flows), "library.link_flows", "must be above 0");
        faults.unless(given(l.service_ms), "library.service_ms", "must be above 0");
        faults.unless(l.workers != Some(0), "library.workers", "must be above 0");
        faults.unless((1.0..=100.0).contains(&self.fill_pace), "fill_pace", "must lie between 1 and 100");
        faults.unless(self.clients.tries <= 10, "clients.tries", "must lie between 0 and 10");
        faults.unless(positive(self.clients.wait_ms), "clients.wait_ms", "must be above 0");
        let c = &self.cold;
        let share = |v: f64| v > 0.0 && v <= 1.0;
        faults.unless(share(c.box_from), "cold.box_from", "must lie between 0 and 1");
        faults.unless(share(c.hub_from), "cold.hub_from", "must lie between 0 and 1");
        faults.unless((0.0..=600.0).contains(&c.box_s), "cold.box_s", "must lie between 0 and 600");
        faults.unless((0.0..=600.0).contains(&c.hub_s), "cold.hub_s", "must lie between 0 and 600");
        let r = &self.routers;
        faults.unless(positive(r.sockets), "routers.sockets", "must be above 0");
        faults.unless(positive(r.memory_mb), "routers.memory_mb", "must be above 0");
        faults.unless(positive(r.cpu_ms), "routers.cpu_ms", "must be above 0");
    }
}
