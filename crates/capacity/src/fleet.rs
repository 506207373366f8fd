//! The fleet as an operator describes it. What the file does not give is calibrated from the
//! recording or not judged; the plan says which.
//!
//! The keys of the file are older than the names in this module, hence the `rename` attributes.

use hollymux_config_file::{Check, Faults};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The most edge caches that a site can have: the model's bound, well above any site.
const MAX_EDGE_CACHES: usize = 1_000;
/// The most that fills can be faster than transfers to clients.
const MAX_FILL_SPEEDUP: f64 = 100.0;
/// The most retries of a client that are simulated.
const MAX_CLIENT_RETRIES: u32 = 10;
/// The longest warm-up of an endpoint, in seconds.
const MAX_WARM_UP_S: f64 = 600.0;
/// What the file says of a value that must be positive.
const MUST_BE_POSITIVE: &str = "must be above 0";
/// What the file says of a list that is empty.
const IS_EMPTY: &str = "there is none";

/// Edge caches, parent caches and the origin, with the links between them. Capacities of links are
/// in flows: how many transfers at a client's full rate they carry.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The sites.
    #[serde(rename = "offices")]
    pub sites: Vec<Site>,
    /// The parent caches.
    #[serde(rename = "hubs")]
    pub parent_caches: Vec<ParentCache>,
    /// The origin. Default: nothing is known of it, and it is not judged.
    #[serde(default, rename = "library")]
    pub origin: Origin,
    /// How much faster than a transfer to a client a fill can be. Default: 3.
    #[serde(default = "default_fill_speedup", rename = "fill_pace")]
    pub fill_speedup: f64,
    /// Clients.
    #[serde(default)]
    pub clients: Clients,
    /// How caches warm up after a loss.
    #[serde(default, rename = "cold")]
    pub warm_up: WarmUp,
    /// Routers.
    #[serde(default)]
    pub routers: Routers,
}

/// A site with edge caches.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name, as the recording has it.
    pub name: String,
    /// The parent cache that it is assigned to.
    #[serde(rename = "hub")]
    pub parent_cache: String,
    /// How many edge caches there are.
    #[serde(rename = "boxes")]
    pub edge_caches: usize,
    /// The link that all fills from outside share, in flows.
    pub link_in_flows: f64,
    /// Each edge cache's outbound link, in flows. Default: the weight in the endpoint list.
    #[serde(default)]
    pub link_flows: Option<f64>,
    /// Each edge cache's capacity, in bytes. Default: calibrated.
    #[serde(default, rename = "keep_bytes")]
    pub cache_bytes: Option<f64>,
    /// Each edge cache's cores. Default: not judged.
    #[serde(default)]
    pub cores: Option<f64>,
    /// An edge cache's processor time for one request. Default: cores are not judged.
    #[serde(default)]
    pub work_ms: Option<f64>,
    /// How many fills an edge cache runs at most. Default: not judged.
    #[serde(default, rename = "fills")]
    pub max_fills: Option<usize>,
}

/// A parent cache.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ParentCache {
    /// Its name: that of its zone in the endpoint list.
    pub name: String,
    /// Its outbound link, in flows.
    pub link_flows: f64,
    /// Its capacity, in bytes. Default: unbounded.
    #[serde(default, rename = "keep_bytes")]
    pub cache_bytes: Option<f64>,
    /// How many fetches from the origin it runs at most. Default: not judged.
    #[serde(default, rename = "fetches")]
    pub max_fetches: Option<usize>,
}

/// The origin.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Origin {
    /// Calls per second above which it rejects. Default: not judged.
    #[serde(rename = "calls_per_s")]
    pub max_calls_per_s: Option<f64>,
    /// Its outbound link, in flows. Default: not judged.
    pub link_flows: Option<f64>,
    /// How many calls it works on at a time. Default: not judged.
    pub workers: Option<usize>,
    /// Its service time for one call. Default: calibrated from the latency of writes.
    pub service_ms: Option<f64>,
}

/// What clients do when they are not served.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How many times a client retries. Default: 2.
    #[serde(rename = "tries")]
    pub max_retries: u32,
    /// The shortest wait before a retry; the longest is twice that. Default: 300.
    #[serde(rename = "wait_ms")]
    pub min_retry_wait_ms: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { max_retries: 2, min_retry_wait_ms: 300.0 }
    }
}

/// How a cache returns after a loss: empty, and with a share of its link's capacity that grows.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct WarmUp {
    /// The share of its link that an edge cache starts with. Default: 0.18.
    #[serde(rename = "box_from")]
    pub edge_cache_initial_share: f64,
    /// An edge cache has warmed up after this. Default: 17.
    #[serde(rename = "box_s")]
    pub edge_cache_s: f64,
    /// The share of its link that a parent cache starts with. Default: 0.07.
    #[serde(rename = "hub_from")]
    pub parent_cache_initial_share: f64,
    /// A parent cache has warmed up after this. Default: 18.
    #[serde(rename = "hub_s")]
    pub parent_cache_s: f64,
}

impl Default for WarmUp {
    fn default() -> Self {
        WarmUp {
            edge_cache_initial_share: 0.18,
            edge_cache_s: 17.0,
            parent_cache_initial_share: 0.07,
            parent_cache_s: 18.0,
        }
    }
}

/// What a router has, and what a request costs it.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Routers {
    /// File descriptors. Default: 1024.
    #[serde(rename = "sockets")]
    pub max_sockets: f64,
    /// Memory, in MB. Default: 192.
    pub memory_mb: f64,
    /// Processor time for one request. Default: 0.35, as measured for this version
    /// (docs/capacity.md).
    pub cpu_ms: f64,
}

impl Default for Routers {
    fn default() -> Self {
        Routers { max_sockets: 1_024.0, memory_mb: 192.0, cpu_ms: 0.35 }
    }
}

fn default_fill_speedup() -> f64 {
    3.0
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

fn is_positive_if_given(value: Option<f64>) -> bool {
    value.is_none_or(is_positive)
}

fn is_share(value: f64) -> bool {
    value > 0.0 && value <= 1.0
}

impl Check for Fleet {
    fn check(&self, faults: &mut Faults) {
        faults.unless(!self.sites.is_empty(), "offices", IS_EMPTY);
        faults.unless(!self.parent_caches.is_empty(), "hubs", IS_EMPTY);
        let mut names: BTreeSet<&str> = BTreeSet::new();
        for (index, parent) in self.parent_caches.iter().enumerate() {
            let path = format!("hubs[{index}]");
            faults.unless(names.insert(&parent.name), format!("{path}.name"), "stands twice");
            parent.check(&path, faults);
        }
        for (index, site) in self.sites.iter().enumerate() {
            let path = format!("offices[{index}]");
            faults.unless(names.insert(&site.name), format!("{path}.name"), "stands twice");
            let has_parent =
                self.parent_caches.iter().any(|parent| parent.name == site.parent_cache);
            faults.unless(has_parent, format!("{path}.hub"), "is no hub of this fleet");
            site.check(&path, faults);
        }
        self.origin.check(faults);
        let fill_speedup_is_valid = (1.0..=MAX_FILL_SPEEDUP).contains(&self.fill_speedup);
        faults.unless(fill_speedup_is_valid, "fill_pace", "must lie between 1 and 100");
        self.clients.check(faults);
        self.warm_up.check(faults);
        self.routers.check(faults);
    }
}

impl ParentCache {
    fn check(&self, path: &str, faults: &mut Faults) {
        let mut positive = |is_valid: bool, field: &str| {
            faults.unless(is_valid, format!("{path}.{field}"), MUST_BE_POSITIVE);
        };
        positive(is_positive(self.link_flows), "link_flows");
        positive(is_positive_if_given(self.cache_bytes), "keep_bytes");
        positive(self.max_fetches != Some(0), "fetches");
    }
}

impl Site {
    fn check(&self, path: &str, faults: &mut Faults) {
        let count_is_valid = (1..=MAX_EDGE_CACHES).contains(&self.edge_caches);
        faults.unless(count_is_valid, format!("{path}.boxes"), "must lie between 1 and 1000");
        let mut positive = |is_valid: bool, field: &str| {
            faults.unless(is_valid, format!("{path}.{field}"), MUST_BE_POSITIVE);
        };
        positive(is_positive(self.link_in_flows), "link_in_flows");
        positive(is_positive_if_given(self.link_flows), "link_flows");
        positive(is_positive_if_given(self.cache_bytes), "keep_bytes");
        positive(is_positive_if_given(self.cores), "cores");
        positive(is_positive_if_given(self.work_ms), "work_ms");
        positive(self.max_fills != Some(0), "fills");
    }
}

impl Origin {
    fn check(&self, faults: &mut Faults) {
        let mut positive = |is_valid: bool, field: &str| {
            faults.unless(is_valid, format!("library.{field}"), MUST_BE_POSITIVE);
        };
        positive(is_positive_if_given(self.max_calls_per_s), "calls_per_s");
        positive(is_positive_if_given(self.link_flows), "link_flows");
        positive(is_positive_if_given(self.service_ms), "service_ms");
        positive(self.workers != Some(0), "workers");
    }
}

impl Clients {
    fn check(&self, faults: &mut Faults) {
        let retries_are_valid = self.max_retries <= MAX_CLIENT_RETRIES;
        faults.unless(retries_are_valid, "clients.tries", "must lie between 0 and 10");
        let wait_is_valid = is_positive(self.min_retry_wait_ms);
        faults.unless(wait_is_valid, "clients.wait_ms", MUST_BE_POSITIVE);
    }
}

impl WarmUp {
    fn check(&self, faults: &mut Faults) {
        let shares = [
            (self.edge_cache_initial_share, "cold.box_from"),
            (self.parent_cache_initial_share, "cold.hub_from"),
        ];
        for (share, field) in shares {
            faults.unless(is_share(share), field, "must lie between 0 and 1");
        }
        let durations = [(self.edge_cache_s, "cold.box_s"), (self.parent_cache_s, "cold.hub_s")];
        for (duration_s, field) in durations {
            let is_valid = (0.0..=MAX_WARM_UP_S).contains(&duration_s);
            faults.unless(is_valid, field, "must lie between 0 and 600");
        }
    }
}

impl Routers {
    fn check(&self, faults: &mut Faults) {
        faults.unless(is_positive(self.max_sockets), "routers.sockets", MUST_BE_POSITIVE);
        faults.unless(is_positive(self.memory_mb), "routers.memory_mb", MUST_BE_POSITIVE);
        faults.unless(is_positive(self.cpu_ms), "routers.cpu_ms", MUST_BE_POSITIVE);
    }
}
