//! The fleet file: an operator's description of edge caches, parent caches, the origin and routers.
//! A value that the file leaves out is calibrated from the recording, takes its default, or its
//! resource is left out of the plan. The plan lists what was calibrated or assumed.
//!
//! The keys of the file are older than the names in this module, hence the `rename` attributes.

use hollymux_config_file::{Check, Faults};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum number of edge caches per site: a bound of the model, well above any real site.
const MAX_EDGE_CACHES: usize = 1_000;
/// Maximum ratio of a fill's rate to the rate of a transfer to a client.
const MAX_FILL_SPEEDUP: f64 = 100.0;
/// Maximum number of retries per client request in the replay.
const MAX_CLIENT_RETRIES: u32 = 10;
/// Maximum warm-up time of an endpoint, in seconds.
const MAX_WARM_UP_S: f64 = 600.0;
/// Error for a number that must be positive and finite.
const MUST_BE_POSITIVE: &str = "must be above 0";
/// Error for a list that must have at least one element.
const MUST_NOT_BE_EMPTY: &str = "must not be empty";

/// Error for a site or parent cache whose name is already taken.
const DUPLICATE_NAME: &str = "is already the name of another hub or office";

/// Edge caches, parent caches and the origin, with the links between them. Link capacities are in
/// flows: the number of simultaneous transfers at a client's full rate that a link carries.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Sites with edge caches; at least one.
    #[serde(rename = "offices")]
    pub sites: Vec<Site>,
    /// Parent caches; at least one.
    #[serde(rename = "hubs")]
    pub parent_caches: Vec<ParentCache>,
    /// Origin. Default: nothing is known about its limits, and the plan does not evaluate it.
    #[serde(default, rename = "library")]
    pub origin: Origin,
    /// Maximum rate of a fill, in multiples of the rate of a transfer to a client; 1 to 100.
    /// Default: 3.
    #[serde(default = "default_fill_speedup", rename = "fill_pace")]
    pub fill_speedup: f64,
    /// Retry behaviour of clients whose requests are not served.
    #[serde(default)]
    pub clients: Clients,
    /// Warm-up of caches that return after a loss.
    #[serde(default, rename = "cold")]
    pub warm_up: WarmUp,
    /// Resources of each router, and the cost of a request.
    #[serde(default)]
    pub routers: Routers,
}

/// A site: edge caches that share an inbound link.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Name of the site, the same as in the recording.
    pub name: String,
    /// Name of the parent cache that the site is assigned to.
    #[serde(rename = "hub")]
    pub parent_cache: String,
    /// Number of edge caches at the site; 1 to 1000.
    #[serde(rename = "boxes")]
    pub edge_caches: usize,
    /// Capacity of the inbound link that all fills of the site share, in flows.
    pub link_in_flows: f64,
    /// Capacity of each edge cache's outbound link, in flows. Default: the weight in the recorded
    /// endpoint list.
    #[serde(default)]
    pub link_flows: Option<f64>,
    /// Storage capacity of each edge cache, in bytes. Default: calibrated from the recording.
    #[serde(default, rename = "keep_bytes")]
    pub cache_bytes: Option<f64>,
    /// Number of cores of each edge cache. Default: cores are not evaluated.
    #[serde(default)]
    pub cores: Option<f64>,
    /// Processor time of an edge cache per request, in milliseconds. Default: cores are not
    /// evaluated.
    #[serde(default)]
    pub work_ms: Option<f64>,
    /// Maximum number of concurrent fills per edge cache. Default: unlimited, and not evaluated.
    #[serde(default, rename = "fills")]
    pub max_fills: Option<usize>,
}

/// A parent cache, which fills edge caches and fetches its own misses from the origin.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ParentCache {
    /// Name of the parent cache: the name of its zone in the endpoint list.
    pub name: String,
    /// Capacity of its outbound link, in flows.
    pub link_flows: f64,
    /// Storage capacity, in bytes. Default: unbounded.
    #[serde(default, rename = "keep_bytes")]
    pub cache_bytes: Option<f64>,
    /// Maximum number of concurrent fetches from the origin. Default: unlimited, and not evaluated.
    #[serde(default, rename = "fetches")]
    pub max_fetches: Option<usize>,
}

/// Limits of the origin. A limit that is left out is not evaluated.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Origin {
    /// Rate of calls above which the origin rejects, in calls per second. Default: not evaluated.
    #[serde(rename = "calls_per_s")]
    pub max_calls_per_s: Option<f64>,
    /// Capacity of the origin's outbound link, in flows. Default: not evaluated.
    pub link_flows: Option<f64>,
    /// Maximum number of calls that the origin executes at the same time. Default: not evaluated.
    pub workers: Option<usize>,
    /// Service time of the origin per call, in milliseconds. Default: calibrated from the latency
    /// of writes.
    pub service_ms: Option<f64>,
}

/// Retry behaviour of clients whose requests are not served.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Maximum number of retries per request; 0 to 10. Default: 2.
    #[serde(rename = "tries")]
    pub max_retries: u32,
    /// Minimum wait before a retry, in milliseconds; the maximum is twice that. Default: 300.
    #[serde(rename = "wait_ms")]
    pub min_retry_wait_ms: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { max_retries: 2, min_retry_wait_ms: 300.0 }
    }
}

/// Warm-up of a cache that returns after a loss: it starts empty, and the usable share of its link
/// grows linearly from an initial share to 1.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct WarmUp {
    /// Share of its link capacity that an edge cache starts with, above 0 and at most 1. Default:
    /// 0.18.
    #[serde(rename = "box_from")]
    pub edge_cache_initial_share: f64,
    /// Warm-up time of an edge cache, in seconds; 0 to 600. Default: 17.
    #[serde(rename = "box_s")]
    pub edge_cache_s: f64,
    /// Share of its link capacity that a parent cache starts with, above 0 and at most 1. Default:
    /// 0.07.
    #[serde(rename = "hub_from")]
    pub parent_cache_initial_share: f64,
    /// Warm-up time of a parent cache, in seconds; 0 to 600. Default: 18.
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

/// Resources of each router, and the cost of a request.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Routers {
    /// Number of file descriptors available to a router. Default: 1024.
    #[serde(rename = "sockets")]
    pub max_sockets: f64,
    /// Memory available to a router, in MB. Default: 192.
    pub memory_mb: f64,
    /// Processor time of a router per request, in milliseconds. Default: 0.35 (docs/capacity.md).
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
        faults.require(!self.sites.is_empty(), "offices", MUST_NOT_BE_EMPTY);
        faults.require(!self.parent_caches.is_empty(), "hubs", MUST_NOT_BE_EMPTY);
        let mut names: BTreeSet<&str> = BTreeSet::new();
        for (index, parent) in self.parent_caches.iter().enumerate() {
            let path = format!("hubs[{index}]");
            faults.require(names.insert(&parent.name), format!("{path}.name"), DUPLICATE_NAME);
            parent.check(&path, faults);
        }
        for (index, site) in self.sites.iter().enumerate() {
            let path = format!("offices[{index}]");
            faults.require(names.insert(&site.name), format!("{path}.name"), DUPLICATE_NAME);
            let has_parent =
                self.parent_caches.iter().any(|parent| parent.name == site.parent_cache);
            faults.require(
                has_parent,
                format!("{path}.hub"),
                "is not the name of a hub in this file",
            );
            site.check(&path, faults);
        }
        self.origin.check(faults);
        let fill_speedup_is_valid = (1.0..=MAX_FILL_SPEEDUP).contains(&self.fill_speedup);
        faults.require(fill_speedup_is_valid, "fill_pace", "must lie between 1 and 100");
        self.clients.check(faults);
        self.warm_up.check(faults);
        self.routers.check(faults);
    }
}

impl ParentCache {
    fn check(&self, path: &str, faults: &mut Faults) {
        let mut positive = |is_valid: bool, field: &str| {
            faults.require(is_valid, format!("{path}.{field}"), MUST_BE_POSITIVE);
        };
        positive(is_positive(self.link_flows), "link_flows");
        positive(is_positive_if_given(self.cache_bytes), "keep_bytes");
        positive(self.max_fetches != Some(0), "fetches");
    }
}

impl Site {
    fn check(&self, path: &str, faults: &mut Faults) {
        let count_is_valid = (1..=MAX_EDGE_CACHES).contains(&self.edge_caches);
        faults.require(count_is_valid, format!("{path}.boxes"), "must lie between 1 and 1000");
        let mut positive = |is_valid: bool, field: &str| {
            faults.require(is_valid, format!("{path}.{field}"), MUST_BE_POSITIVE);
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
            faults.require(is_valid, format!("library.{field}"), MUST_BE_POSITIVE);
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
        faults.require(retries_are_valid, "clients.tries", "must lie between 0 and 10");
        let wait_is_valid = is_positive(self.min_retry_wait_ms);
        faults.require(wait_is_valid, "clients.wait_ms", MUST_BE_POSITIVE);
    }
}

impl WarmUp {
    fn check(&self, faults: &mut Faults) {
        let shares = [
            (self.edge_cache_initial_share, "cold.box_from"),
            (self.parent_cache_initial_share, "cold.hub_from"),
        ];
        for (share, field) in shares {
            faults.require(is_share(share), field, "must be above 0 and at most 1");
        }
        let durations = [(self.edge_cache_s, "cold.box_s"), (self.parent_cache_s, "cold.hub_s")];
        for (duration_s, field) in durations {
            let is_valid = (0.0..=MAX_WARM_UP_S).contains(&duration_s);
            faults.require(is_valid, field, "must lie between 0 and 600");
        }
    }
}

impl Routers {
    fn check(&self, faults: &mut Faults) {
        faults.require(is_positive(self.max_sockets), "routers.sockets", MUST_BE_POSITIVE);
        faults.require(is_positive(self.memory_mb), "routers.memory_mb", MUST_BE_POSITIVE);
        faults.require(is_positive(self.cpu_ms), "routers.cpu_ms", MUST_BE_POSITIVE);
    }
}
