//! The plan as data. [`CapacityPlan::text`] renders it as text and [`CapacityPlan::plot`] as an SVG
//! plot. Its JSON form keeps the keys of earlier versions, hence the `rename` attributes.

mod plot;
mod text;

use crate::confidence::Estimate;
use serde::{Serialize, Serializer};

/// A resource and the load at which it becomes saturated.
#[derive(Clone, Debug, Serialize)]
pub struct Bottleneck {
    /// Name of the resource, such as `cairo-1 link out`.
    pub resource: String,
    /// Mean used share of the resource at the requested load, where 1 is its limit; for a router's
    /// sockets and memory, the maximum.
    pub used: Option<Estimate>,
    /// Load at which the resource becomes saturated, in multiples of the recorded load; `None` if
    /// it is too far from the replayed loads to tell.
    #[serde(rename = "breaks_at")]
    pub saturates_at: Option<f64>,
    /// What users notice when the resource is saturated.
    #[serde(rename = "notice")]
    pub symptom: String,
}

/// Outcome of a replay of the fleet at one load.
#[derive(Clone, Debug, Serialize)]
pub struct LoadOutcome {
    /// Load, in multiples of the recorded load.
    pub load: f64,
    /// Share of the priority weight that is served in time.
    pub in_time: Option<Estimate>,
    /// Share of the priority weight that is earned; a late response earns its class's late weight.
    pub served: Option<Estimate>,
    /// Hit ratio of the edge caches, 0 to 1.
    #[serde(rename = "hits")]
    pub hit_ratio: f64,
    /// Number of retries by clients per first attempt.
    #[serde(rename = "tries_again")]
    pub retries_per_request: f64,
    /// Whether retries amplify the load until it collapses.
    pub runs_away: bool,
}

/// Outcome of a site at the requested load.
#[derive(Clone, Debug, Serialize)]
pub struct SiteOutcome {
    /// Name of the site, as in the fleet file.
    pub name: String,
    /// Number of edge caches that the fleet file gives the site.
    #[serde(rename = "boxes")]
    pub edge_caches: usize,
    /// Share of the site's priority weight that is served in time.
    pub in_time: Option<Estimate>,
    /// Share of the site's bytes that belongs to objects which no other site requests; 0 for a site
    /// without recorded load.
    #[serde(rename = "local_part")]
    pub local_share: f64,
}

/// Outcome of a request class at the requested load. In JSON it is an array of its fields.
#[derive(Clone, Debug)]
pub struct ClassOutcome {
    /// Name of the request class in the recording.
    pub name: String,
    /// Share of the class's priority weight that is served in time; `None` if the recording has too
    /// few requests of the class.
    pub in_time: Option<Estimate>,
}

impl Serialize for ClassOutcome {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.name, self.in_time).serialize(serializer)
    }
}

/// Number of edge caches that a site needs to reach the goal by itself. In JSON it is an array of
/// its fields.
#[derive(Clone, Debug)]
pub struct SiteRequirement {
    /// Name of the site, as in the fleet file.
    pub site: String,
    /// Number of edge caches that the site needs; `None` if no number up to the limit of the search
    /// is enough.
    pub edge_caches: Option<usize>,
}

impl Serialize for SiteRequirement {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.site, self.edge_caches).serialize(serializer)
    }
}

/// Number of edge caches allocated to a site. In JSON it is an array of its fields.
#[derive(Clone, Debug)]
pub struct SiteAllocation {
    /// Name of the site, as in the fleet file.
    pub site: String,
    /// Number of edge caches allocated to the site.
    pub edge_caches: usize,
}

impl Serialize for SiteAllocation {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.site, self.edge_caches).serialize(serializer)
    }
}

/// Edge caches that the goal needs, compared with the present ones.
#[derive(Clone, Debug, Serialize)]
pub struct Sizing {
    /// Present number of edge caches over all sites.
    pub present: usize,
    /// Share of the priority weight that is served in time with the present edge caches.
    pub present_reaches: Option<Estimate>,
    /// Edge caches that each site needs to reach the goal by itself.
    #[serde(rename = "each")]
    pub requirements: Vec<SiteRequirement>,
    /// Cheapest allocation that reaches the goal for all sites together; `None` if no allocation
    /// reaches it.
    #[serde(rename = "boxes")]
    pub allocation: Option<Vec<SiteAllocation>>,
    /// Share of the priority weight that is served in time with that allocation, or with the best
    /// one tried if none reaches the goal.
    pub reaches: Option<Estimate>,
}

/// Effect of the loss of one or more endpoints.
#[derive(Clone, Debug, Serialize)]
pub struct LossOutcome {
    /// Names of the endpoints that are lost together.
    #[serde(rename = "servers")]
    pub endpoints: Vec<String>,
    /// Length of the outage, in seconds.
    pub lost_for_s: f64,
    /// Share of the priority weight that is served in time over the same seconds without the loss.
    #[serde(rename = "without")]
    pub without_loss: Option<Estimate>,
    /// Share of the priority weight that is served in time during the outage.
    #[serde(rename = "during")]
    pub during_loss: Option<Estimate>,
    /// Share of the priority weight that is served in time while the returned endpoints warm up.
    #[serde(rename = "while_cold")]
    pub during_warm_up: Option<Estimate>,
    /// Time from the endpoints' return until the weight served in time is within a tolerance of
    /// that without the loss, in seconds; `None` if that does not happen within the load.
    #[serde(rename = "back_after_s")]
    pub recovered_after_s: Option<f64>,
}

/// Extent and quality of the recorded load that a plan is based on.
#[derive(Clone, Debug, Serialize)]
pub struct Quality {
    /// Length of the counted part of the load, in seconds.
    pub seconds: f64,
    /// Number of first attempts in the evaluated part of the recording, including the warm-up.
    pub requests: usize,
    /// Share of the recorded requests that were retries by clients.
    #[serde(rename = "tries_again")]
    pub retry_share: f64,
    /// Share of the recorded bytes that belongs to unusually large objects.
    #[serde(rename = "large_part")]
    pub large_object_share: f64,
    /// Results that the recording does not support well, one line each.
    #[serde(rename = "doubts")]
    pub caveats: Vec<String>,
}

/// A capacity plan for one load and one goal.
#[derive(Clone, Debug, Serialize)]
pub struct CapacityPlan {
    /// Requested load, in multiples of the recorded load.
    pub scale: f64,
    /// Share of the priority weight that should be served in time.
    pub goal: f64,
    /// First attempts per second at the requested load.
    #[serde(rename = "rate")]
    pub requests_per_s: f64,
    /// Share of the priority weight that is served in time at the requested load.
    pub in_time: Option<Estimate>,
    /// Share of the priority weight that is earned at the requested load; a late response earns its
    /// class's late weight.
    pub served: Option<Estimate>,
    /// Hit ratio of the edge caches at the requested load, 0 to 1.
    #[serde(rename = "hits")]
    pub hit_ratio: f64,
    /// Bytes filled into edge caches per byte served to clients.
    #[serde(rename = "filled")]
    pub fill_ratio: f64,
    /// Calls per second that the origin accepts at the requested load.
    #[serde(rename = "library_per_s")]
    pub origin_calls_per_s: f64,
    /// Outcome of each site at the requested load.
    #[serde(rename = "offices")]
    pub sites: Vec<SiteOutcome>,
    /// Outcome of each request class at the requested load.
    pub classes: Vec<ClassOutcome>,
    /// Resources with their saturation loads, the first to become saturated first.
    #[serde(rename = "breaks")]
    pub bottlenecks: Vec<Bottleneck>,
    /// Outcomes at several loads, the requested load first.
    #[serde(rename = "multiples")]
    pub loads: Vec<LoadOutcome>,
    /// Edge caches that the goal needs.
    #[serde(rename = "mix")]
    pub sizing: Sizing,
    /// Effects of losses of endpoints; empty if the load is too short to evaluate them.
    pub losses: Vec<LossOutcome>,
    /// Whether the load stays in a bad state after a short loss of all parent caches, although the
    /// fleet carries it when warm; `None` if the load is too short to tell.
    #[serde(rename = "cold_hubs")]
    pub is_metastable: Option<bool>,
    /// Values that were calibrated or assumed, one line each.
    #[serde(rename = "fitted")]
    pub calibration_notes: Vec<String>,
    /// Extent and quality of the recorded load.
    pub quality: Quality,
}
