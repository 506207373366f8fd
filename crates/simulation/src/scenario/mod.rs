//! A scenario: the simulated servers, the load that clients put on them and the faults that occur,
//! read from a JSON5 document.
//!
//! Link rates are given in *flows*: the number of transfers at a client's full rate
//! (`flow_bytes_per_s`) that a link carries at once. The default sizes and rates in bytes are
//! small, so that a test machine can carry hundreds of transfers a second.

mod checks;
mod defaults;
mod faults;

pub(crate) use checks::MAX_ROUTERS_PER_SITE;
pub use defaults::default_classes;
pub use faults::{Fault, FaultKind, FaultPhase, FaultStep};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The origin's name in the `who` field of faults and in reports.
pub const ORIGIN_NAME: &str = "library";

/// A simulated cache network with its load and its faults.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// How long clients send requests, in seconds. At most 3600.
    pub seconds: f64,
    /// The warm-up at the start of the run, in seconds: it fills the caches and is left out of most
    /// figures of the report. Default: 5.
    #[serde(rename = "warm_s", default = "defaults::warm_up_s")]
    pub warm_up_s: f64,
    /// Bytes per second of one transfer to a client; the unit of all link rates. Default: 20000.
    #[serde(default = "defaults::flow_bytes_per_s")]
    pub flow_bytes_per_s: f64,
    /// First attempts of clients per second, over all sites and classes. Default: 130.
    #[serde(default = "defaults::rate_per_s")]
    pub rate_per_s: f64,
    /// How strongly the arrival rate varies: 0 gives a Poisson process; 0.3 varies the rate by
    /// about 30% every 2 s. Default: 0.
    #[serde(rename = "burst", default)]
    pub burstiness: f64,
    /// The seed of object ids and chunk sizes. Scenarios with the same value request the same
    /// objects, whatever the seed of the run. Default: 1.
    #[serde(rename = "catalogue", default = "defaults::catalogue_seed")]
    pub catalogue_seed: u64,
    /// Purges per second, each of an object that was requested recently. Default: 0.
    #[serde(default)]
    pub purges_per_s: f64,
    /// The time until a change of the endpoint list reaches the routers, in milliseconds. Default:
    /// 1000.
    #[serde(rename = "roster_lag_ms", default = "defaults::endpoint_feed_delay_ms")]
    pub endpoint_feed_delay_ms: f64,
    /// The sites, each with its edge caches and routers.
    #[serde(rename = "offices")]
    pub sites: Vec<Site>,
    /// The parent caches, from which edge caches of all sites can fill misses.
    #[serde(rename = "hubs")]
    pub parent_caches: Vec<ParentCache>,
    /// The origin, of which a scenario has exactly one.
    #[serde(rename = "library", default)]
    pub origin: Origin,
    /// The classes of requests. Default: videos in chunks, pages, and non-idempotent filings.
    #[serde(default = "default_classes")]
    pub classes: Vec<RequestClass>,
    /// Whether the routers form a cluster, in which each learns how many routers are active.
    /// Default: false.
    #[serde(rename = "fleet", default)]
    pub clustered: bool,
    /// Whether routers lease shares of the quotas of servers that warm up; needs `fleet`. Default:
    /// false, which divides each quota evenly among the routers.
    #[serde(rename = "limits", default)]
    pub leased_quotas: bool,
    /// How many times as many requests the first router of each site, and every fourth router after
    /// it, receives as each other router does. Default: 1.
    #[serde(rename = "uneven", default = "defaults::one_as_float")]
    pub router_skew: f64,
    /// The faults that occur during the run.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// A site: its edge caches, its routers and its incoming link.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The name of the site, unique among all sites and servers.
    pub name: String,
    /// The name of the parent cache that serves this site.
    #[serde(rename = "hub")]
    pub parent: String,
    /// The number of edge caches, from 1 to 200. Default: 4.
    #[serde(rename = "boxes", default = "defaults::edge_caches")]
    pub edge_caches: usize,
    /// The number of routers, from 1 to 50. Default: 1.
    #[serde(default = "defaults::one")]
    pub routers: usize,
    /// The site's weight when the load is divided among the sites. Default: its number of edge
    /// caches.
    #[serde(rename = "part", default)]
    pub load_weight: Option<f64>,
    /// The rate of the link that all fills from outside the site share, in flows.
    pub link_in_flows: f64,
    /// Processor cores of each edge cache. Default: 5.
    #[serde(rename = "cores", default = "defaults::cache_cores")]
    pub cache_cores: f64,
    /// The rate of each edge cache's outgoing link, in flows. Default: 8.
    #[serde(rename = "link_flows", default = "defaults::cache_link_flows")]
    pub cache_link_flows: f64,
    /// The storage of each edge cache, in bytes. Default: 4000000.
    #[serde(rename = "keep_bytes", default = "defaults::cache_bytes")]
    pub cache_bytes: u64,
    /// The share of requests that go to objects which only this site requests, from 0 to 1.
    /// Default: the `local` share of each class.
    #[serde(rename = "local", default)]
    pub local_share: Option<f64>,
}

/// A parent cache, which fills the edge caches of its sites from the origin.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ParentCache {
    /// The name of the parent cache, and of the zone that it forms.
    pub name: String,
    /// The rate of its outgoing link, in flows.
    pub link_flows: f64,
    /// Its storage, in bytes. Default: 20000000.
    #[serde(rename = "keep_bytes", default = "defaults::parent_cache_bytes")]
    pub cache_bytes: u64,
    /// The maximum number of its concurrent fills from the origin. Default: 64.
    #[serde(rename = "fetches", default = "defaults::parent_max_fills")]
    pub max_fills: usize,
}

/// The origin: it holds every object and executes non-idempotent requests.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Origin {
    /// The rate of its outgoing link, in flows. Default: 40.
    pub link_flows: f64,
    /// The number of requests it processes at once. Default: 16.
    pub workers: usize,
    /// The mean processing time of one request, in milliseconds. Default: 40.
    pub service_ms: f64,
    /// The rate of requests per second above which it rejects; 0 never rejects. Default: 300.
    #[serde(rename = "turn_away_per_s")]
    pub max_requests_per_s: f64,
}

/// A class of requests, with its objects, its latency objective and its priority.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// The name of the class, which requests carry on the wire.
    pub name: String,
    /// The weight of this class when first attempts are divided among the classes.
    #[serde(rename = "part")]
    pub load_weight: f64,
    /// The mean size of a chunk, in bytes.
    #[serde(rename = "bytes")]
    pub mean_bytes: f64,
    /// The spread of chunk sizes: the sigma of their log-normal distribution. Default: 0.5.
    #[serde(rename = "sigma", default = "defaults::size_sigma")]
    pub size_sigma: f64,
    /// The number of chunks of an object, which a client requests one after another. Default: 1.
    #[serde(rename = "parts", default = "defaults::one")]
    pub chunks: usize,
    /// The mean time between a client's requests for two successive chunks, in milliseconds.
    /// Default: 600.
    #[serde(rename = "gap_ms", default = "defaults::chunk_gap_ms")]
    pub chunk_gap_ms: f64,
    /// The number of objects that all sites request, and of those that each single site requests.
    /// Default: 400.
    #[serde(default = "defaults::objects")]
    pub objects: u64,
    /// The skew of object popularity: the exponent of its Zipf distribution. Default: 1.
    #[serde(rename = "zipf", default = "defaults::one_as_float")]
    pub zipf_exponent: f64,
    /// The share of requests that go to objects which only one site requests. Default: 0.15.
    #[serde(rename = "local", default = "defaults::local_share")]
    pub local_share: f64,
    /// The share of requests that go to objects which are requested only once. Default: 0.03.
    #[serde(rename = "once", default = "defaults::single_use_share")]
    pub single_use_share: f64,
    /// Whether requests are non-idempotent: they are executed at the origin, are not cached, and
    /// must never be executed twice. Default: false.
    #[serde(rename = "write", default)]
    pub non_idempotent: bool,
    /// How long a copy is fresh after the origin sent it, in seconds; 0 keeps it fresh until it is
    /// purged. Default: 0.
    #[serde(default)]
    pub fresh_s: f64,
    /// How long a stale copy may still be served, in seconds after it ceased to be fresh. Default:
    /// 0.
    #[serde(rename = "grace_s", default)]
    pub stale_s: f64,
    /// The priority weight that a request earns when it is served fresh and in time. Default: 1.
    #[serde(rename = "worth", default = "defaults::one_as_float")]
    pub priority_weight: f64,
    /// The constant part of the latency objective, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// The size-dependent part of the latency objective, as a multiple of the time that the
    /// answer's bytes take at a client's full rate. Default: 1.6.
    #[serde(rename = "aim_stretch", default = "defaults::latency_objective_stretch")]
    pub latency_objective_stretch: f64,
    /// The longest time that a client waits for an attempt, in milliseconds.
    #[serde(rename = "deadline_ms")]
    pub timeout_ms: f64,
    /// The share of the priority weight that an answer earns after the latency objective. Default:
    /// 0.15.
    #[serde(rename = "late_worth", default = "defaults::late_weight")]
    pub late_weight: f64,
}

impl Scenario {
    /// The names of a site's edge caches: `SITE-1`, `SITE-2` and so on.
    pub fn edge_cache_names(&self, site: usize) -> impl Iterator<Item = String> + '_ {
        let site = &self.sites[site];
        (1..=site.edge_caches).map(move |number| format!("{}-{number}", site.name))
    }

    /// The index among all routers of the router that has index `router_of_site` at its site.
    pub fn router_index(&self, site: usize, router_of_site: usize) -> usize {
        self.sites[..site].iter().map(|site| site.routers).sum::<usize>() + router_of_site
    }

    /// The number of routers at all sites together.
    pub fn router_count(&self) -> usize {
        self.sites.iter().map(|site| site.routers).sum()
    }

    /// The share of the whole load that a site receives, from 0 to 1.
    pub fn load_share(&self, site: usize) -> f64 {
        let weight = |site: &Site| site.load_weight.unwrap_or(site.edge_caches as f64);
        let total = self.sites.iter().map(weight).sum::<f64>();
        weight(&self.sites[site]) / total.max(f64::MIN_POSITIVE)
    }
}
