//! The plan as data. [`CapacityPlan::text`] renders it as a page for people and
//! [`CapacityPlan::plot`] as a picture; as JSON it keeps the keys of earlier versions, hence the
//! `rename` attributes.

mod plot;
mod text;

use crate::confidence::Estimate;
use serde::{Serialize, Serializer};

/// A resource, and the load at which it breaks.
#[derive(Clone, Debug, Serialize)]
pub struct Bottleneck {
    /// The resource's name.
    pub resource: String,
    /// The share that is used on average at the requested load.
    pub used: Option<Estimate>,
    /// The load at which it breaks, in multiples of the recorded one; none: too far to say.
    pub breaks_at: Option<f64>,
    /// What users notice then.
    #[serde(rename = "notice")]
    pub symptom: String,
}

/// The fleet at one load.
#[derive(Clone, Debug, Serialize)]
pub struct LoadOutcome {
    /// The load, in multiples of the recorded one.
    pub load: f64,
    /// The weight served in time.
    pub in_time: Option<Estimate>,
    /// The weight served, late responses at their late weight.
    pub served: Option<Estimate>,
    /// The hit ratio of the edge caches.
    #[serde(rename = "hits")]
    pub hit_ratio: f64,
    /// Clients' retries per first attempt.
    #[serde(rename = "tries_again")]
    pub retries_per_request: f64,
    /// Whether retries amplify the load until it collapses.
    pub runs_away: bool,
}

/// A site at the requested load.
#[derive(Clone, Debug, Serialize)]
pub struct SiteOutcome {
    /// Its name.
    pub name: String,
    /// How many edge caches it has.
    #[serde(rename = "boxes")]
    pub edge_caches: usize,
    /// The weight served in time.
    pub in_time: Option<Estimate>,
    /// The share of its bytes that no other site requests.
    #[serde(rename = "local_part")]
    pub local_share: f64,
}

/// A request class at the requested load. In JSON it is an array of its fields.
#[derive(Clone, Debug)]
pub struct ClassOutcome {
    /// Its name.
    pub name: String,
    /// The weight served in time; none where the recording has too few requests of it.
    pub in_time: Option<Estimate>,
}

impl Serialize for ClassOutcome {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.name, self.in_time).serialize(serializer)
    }
}

/// What a site needs to reach the goal by itself. In JSON it is an array of its fields.
#[derive(Clone, Debug)]
pub struct SiteRequirement {
    /// The site's name.
    pub site: String,
    /// How many edge caches it needs; none: no number is enough.
    pub edge_caches: Option<usize>,
}

impl Serialize for SiteRequirement {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.site, self.edge_caches).serialize(serializer)
    }
}

/// How many edge caches a site gets. In JSON it is an array of its fields.
#[derive(Clone, Debug)]
pub struct SiteAllocation {
    /// The site's name.
    pub site: String,
    /// How many edge caches it gets.
    pub edge_caches: usize,
}

impl Serialize for SiteAllocation {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.site, self.edge_caches).serialize(serializer)
    }
}

/// How many edge caches the goal needs.
#[derive(Clone, Debug, Serialize)]
pub struct Sizing {
    /// How many there are.
    pub present: usize,
    /// The weight served in time with those.
    pub present_reaches: Option<Estimate>,
    /// What each site needs to reach the goal by itself.
    #[serde(rename = "each")]
    pub requirements: Vec<SiteRequirement>,
    /// The cheapest allocation that reaches the goal for all sites together; none: none does.
    #[serde(rename = "boxes")]
    pub allocation: Option<Vec<SiteAllocation>>,
    /// The weight served in time with that allocation, or with the best there is.
    pub reaches: Option<Estimate>,
}

/// What the loss of endpoints does.
#[derive(Clone, Debug, Serialize)]
pub struct LossOutcome {
    /// The endpoints that are lost together.
    #[serde(rename = "servers")]
    pub endpoints: Vec<String>,
    /// For how long, in seconds.
    pub lost_for_s: f64,
    /// The weight served in time over the same seconds without the loss.
    #[serde(rename = "without")]
    pub without_loss: Option<Estimate>,
    /// The weight served in time during the loss.
    #[serde(rename = "during")]
    pub during_loss: Option<Estimate>,
    /// The weight served in time while the endpoints warm up again.
    #[serde(rename = "while_cold")]
    pub during_warm_up: Option<Estimate>,
    /// Seconds from their return until all is as without the loss; none: not within the load.
    #[serde(rename = "back_after_s")]
    pub recovered_after_s: Option<f64>,
}

/// What the plan rests on.
#[derive(Clone, Debug, Serialize)]
pub struct Quality {
    /// Seconds of load that are counted.
    pub seconds: f64,
    /// First attempts.
    pub requests: usize,
    /// The share of recorded requests that were retries by clients.
    #[serde(rename = "tries_again")]
    pub retry_share: f64,
    /// The share of bytes that unusually large objects make up.
    #[serde(rename = "large_part")]
    pub large_object_share: f64,
    /// What the recording cannot support.
    #[serde(rename = "doubts")]
    pub caveats: Vec<String>,
}

/// A capacity plan.
#[derive(Clone, Debug, Serialize)]
pub struct CapacityPlan {
    /// The requested load, in multiples of the recorded one.
    pub scale: f64,
    /// The share of the weight that is to be served in time.
    pub goal: f64,
    /// First attempts per second at that load.
    #[serde(rename = "rate")]
    pub requests_per_s: f64,
    /// The weight served in time.
    pub in_time: Option<Estimate>,
    /// The weight served, late responses at their late weight.
    pub served: Option<Estimate>,
    /// The hit ratio of the edge caches.
    #[serde(rename = "hits")]
    pub hit_ratio: f64,
    /// Bytes filled for each byte served.
    #[serde(rename = "filled")]
    pub fill_ratio: f64,
    /// Calls of the origin per second.
    #[serde(rename = "library_per_s")]
    pub origin_calls_per_s: f64,
    /// By site.
    #[serde(rename = "offices")]
    pub sites: Vec<SiteOutcome>,
    /// By request class.
    pub classes: Vec<ClassOutcome>,
    /// What breaks, the first to break first.
    #[serde(rename = "breaks")]
    pub bottlenecks: Vec<Bottleneck>,
    /// At several loads.
    #[serde(rename = "multiples")]
    pub loads: Vec<LoadOutcome>,
    /// Edge caches for the goal.
    #[serde(rename = "mix")]
    pub sizing: Sizing,
    /// Losses of endpoints.
    pub losses: Vec<LossOutcome>,
    /// Whether the load stays in a bad state after the loss of all parent caches, though the fleet
    /// carries it when warm; none: the recording is too short to say.
    #[serde(rename = "cold_hubs")]
    pub is_metastable: Option<bool>,
    /// What was calibrated or assumed.
    #[serde(rename = "fitted")]
    pub calibration_notes: Vec<String>,
    /// What the plan rests on.
    pub quality: Quality,
}
