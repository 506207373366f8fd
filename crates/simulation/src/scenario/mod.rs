//! A scenario: the servers, the load on them and what goes wrong, as a JSON5 document.
//!
//! Rates of links are given in *flows*: how many transfers at a client's full rate fit on a link.
//! Sizes are in bytes at that rate, which is small so that hundreds of transfers a second cost a
//! test machine little.

mod checks;
mod defaults;
mod faults;

pub(crate) use checks::MAX_ROUTERS_PER_SITE;
pub use defaults::default_classes;
pub use faults::{Fault, FaultKind, FaultPhase, FaultStep};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The origin's name, in faults and reports.
pub const ORIGIN_NAME: &str = "library";

/// Servers, load and faults.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// How long load is offered.
    pub seconds: f64,
    /// The first so many seconds fill the caches and are not counted. Default: 5.
    #[serde(rename = "warm_s", default = "defaults::warm_up_s")]
    pub warm_up_s: f64,
    /// Bytes a second of one transfer to a client. Default: 20000.
    #[serde(default = "defaults::flow_bytes_per_s")]
    pub flow_bytes_per_s: f64,
    /// First attempts of clients a second over all sites. Default: 130.
    #[serde(default = "defaults::rate_per_s")]
    pub rate_per_s: f64,
    /// How strongly arrivals come in bursts: 0 as a Poisson process; 0.3 has the rate vary by about
    /// 30%. Default: 0.
    #[serde(rename = "burst", default)]
    pub burstiness: f64,
    /// The seed of the objects: scenarios of one catalogue request the same ones, whatever their
    /// seed. Default: 1.
    #[serde(rename = "catalogue", default = "defaults::catalogue_seed")]
    pub catalogue_seed: u64,
    /// Purges a second, of objects that are requested. Default: 0.
    #[serde(default)]
    pub purges_per_s: f64,
    /// How long changes of the endpoint list take to reach routers. Default: 1000.
    #[serde(rename = "roster_lag_ms", default = "defaults::endpoint_feed_delay_ms")]
    pub endpoint_feed_delay_ms: f64,
    /// The sites.
    #[serde(rename = "offices")]
    pub sites: Vec<Site>,
    /// The parent caches.
    #[serde(rename = "hubs")]
    pub parent_caches: Vec<ParentCache>,
    /// The origin.
    #[serde(rename = "library", default)]
    pub origin: Origin,
    /// The classes of requests. Default: videos, pages and non-idempotent filings.
    #[serde(default = "default_classes")]
    pub classes: Vec<RequestClass>,
    /// Routers form a cluster and know each other. Default: they do not.
    #[serde(rename = "fleet", default)]
    pub clustered: bool,
    /// Routers lease quotas of what servers that warm up can bear; only in a cluster. Default: even
    /// shares.
    #[serde(rename = "limits", default)]
    pub leased_quotas: bool,
    /// The first router of each site, and every fourth after it, receives so many times as many
    /// requests as the others. Default: 1.
    #[serde(rename = "uneven", default = "defaults::one_as_float")]
    pub router_skew: f64,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// A site: edge caches, routers and an incoming link.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// The name of its parent cache.
    #[serde(rename = "hub")]
    pub parent: String,
    /// How many edge caches. Default: 4.
    #[serde(rename = "boxes", default = "defaults::edge_caches")]
    pub edge_caches: usize,
    /// How many routers. Default: 1.
    #[serde(default = "defaults::one")]
    pub routers: usize,
    /// Its part of the load, relative to those of the other sites. Default: its number of edge
    /// caches.
    #[serde(rename = "part", default)]
    pub load_weight: Option<f64>,
    /// The link that all fills from outside share, in flows.
    pub link_in_flows: f64,
    /// Cores of each edge cache. Default: 5.
    #[serde(rename = "cores", default = "defaults::cache_cores")]
    pub cache_cores: f64,
    /// The outgoing link of each edge cache, in flows. Default: 8.
    #[serde(rename = "link_flows", default = "defaults::cache_link_flows")]
    pub cache_link_flows: f64,
    /// What each edge cache stores, in bytes. Default: 4000000.
    #[serde(rename = "keep_bytes", default = "defaults::cache_bytes")]
    pub cache_bytes: u64,
    /// Objects that are requested at this site only, as a part of its requests. Default: that of
    /// each class.
    #[serde(rename = "local", default)]
    pub local_share: Option<f64>,
}

/// A parent cache.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ParentCache {
    /// Its name, and that of its zone.
    pub name: String,
    /// Its outgoing link, in flows.
    pub link_flows: f64,
    /// What it stores, in bytes. Default: 20000000.
    #[serde(rename = "keep_bytes", default = "defaults::parent_cache_bytes")]
    pub cache_bytes: u64,
    /// Fills from the origin that it has under way at most. Default: 64.
    #[serde(rename = "fetches", default = "defaults::parent_max_fills")]
    pub max_fills: usize,
}

/// The origin.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Origin {
    /// Its outgoing link, in flows. Default: 40.
    pub link_flows: f64,
    /// Requests it works on at a time. Default: 16.
    pub workers: usize,
    /// Its work for one request, on average. Default: 40.
    pub service_ms: f64,
    /// Requests a second above which it rejects; 0: never. Default: 300.
    #[serde(rename = "turn_away_per_s")]
    pub max_requests_per_s: f64,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Its part of first attempts, relative to the other classes.
    #[serde(rename = "part")]
    pub load_weight: f64,
    /// Bytes of a chunk of an object, on average.
    #[serde(rename = "bytes")]
    pub mean_bytes: f64,
    /// How widely they vary: sigma of a log-normal distribution. Default: 0.5.
    #[serde(rename = "sigma", default = "defaults::size_sigma")]
    pub size_sigma: f64,
    /// Chunks of an object, requested one after another. Default: 1.
    #[serde(rename = "parts", default = "defaults::one")]
    pub chunks: usize,
    /// The time from one chunk to the next. Default: 600.
    #[serde(rename = "gap_ms", default = "defaults::chunk_gap_ms")]
    pub chunk_gap_ms: f64,
    /// Objects that all sites request. Default: 400.
    #[serde(default = "defaults::objects")]
    pub objects: u64,
    /// How uneven their popularity is: the exponent of a Zipf distribution. Default: 1.
    #[serde(rename = "zipf", default = "defaults::one_as_float")]
    pub zipf_exponent: f64,
    /// The part that goes to objects of one site alone. Default: 0.15.
    #[serde(rename = "local", default = "defaults::local_share")]
    pub local_share: f64,
    /// The part that goes to objects requested once only. Default: 0.03.
    #[serde(rename = "once", default = "defaults::single_use_share")]
    pub single_use_share: f64,
    /// It runs at the origin, is not cached, and must never run twice. Default: false.
    #[serde(rename = "write", default)]
    pub non_idempotent: bool,
    /// How long a copy is fresh; 0: until purged. Default: 0.
    #[serde(default)]
    pub fresh_s: f64,
    /// How much longer it may be served stale. Default: 0.
    #[serde(rename = "grace_s", default)]
    pub stale_s: f64,
    /// The priority weight of a request. Default: 1.
    #[serde(rename = "worth", default = "defaults::one_as_float")]
    pub priority_weight: f64,
    /// The latency objective is this...
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// ...plus this many times the answer's own sending time. Default: 1.6.
    #[serde(rename = "aim_stretch", default = "defaults::latency_objective_stretch")]
    pub latency_objective_stretch: f64,
    /// Given up after this.
    #[serde(rename = "deadline_ms")]
    pub timeout_ms: f64,
    /// Part of the priority weight that a late answer earns. Default: 0.15.
    #[serde(rename = "late_worth", default = "defaults::late_weight")]
    pub late_weight: f64,
}

impl Scenario {
    /// The names of a site's edge caches.
    pub fn edge_cache_names(&self, site: usize) -> impl Iterator<Item = String> + '_ {
        let site = &self.sites[site];
        (1..=site.edge_caches).map(move |number| format!("{}-{number}", site.name))
    }

    /// The index among all routers of a site's router.
    pub fn router_index(&self, site: usize, router_of_site: usize) -> usize {
        self.sites[..site].iter().map(|site| site.routers).sum::<usize>() + router_of_site
    }

    /// How many routers there are.
    pub fn router_count(&self) -> usize {
        self.sites.iter().map(|site| site.routers).sum()
    }

    /// A site's part of the load.
    pub fn load_share(&self, site: usize) -> f64 {
        let weight = |site: &Site| site.load_weight.unwrap_or(site.edge_caches as f64);
        let total = self.sites.iter().map(weight).sum::<f64>();
        weight(&self.sites[site]) / total.max(f64::MIN_POSITIVE)
    }
}
