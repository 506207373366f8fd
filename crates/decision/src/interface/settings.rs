//! The settings of a router and their validation.

use crate::interface::{Request, RequestClass};
use std::time::Duration;

/// A purge stays in effect for this much longer than endpoints are said to take to drop purged
/// copies.
const PURGE_MARGIN: Duration = Duration::from_secs(1);

/// Which other edge caches a miss may be filled from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiblingCaches {
    /// No other edge cache.
    None,
    /// The edge caches of the router's own zone.
    Location,
    /// The edge caches of all zones.
    Any,
}

/// Which details of hits and fills outcomes report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatusReporting {
    /// No details: hits are not distinguished from fills.
    None,
    /// Hits, fills and stale copies are distinguished; failures have no cause.
    Hit,
    /// All details, the causes of failed fills included.
    All,
}

/// How changes of the endpoint list arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are sent without a subscription.
    Push,
    /// Changes are sent only after a subscription.
    Ask,
}

/// Meaning of the weights in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedWeights {
    /// The weights have no meaning and are ignored.
    None,
    /// The weight is the endpoint's size, exactly or roughly, and the same in every list.
    Size,
    /// The weight is a size that changes with the load from list to list.
    Live,
}

/// All settings of the decision module of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes, by class number.
    pub classes: Vec<RequestClass>,
    /// Number of the zone that this router is in; edge caches of this zone are its local caches.
    pub zone: u16,
    /// Number of routers in all zones, at least 1.
    pub router_count: u32,
    /// Number of routers by zone; empty if it is not known.
    pub router_count_by_zone: Vec<u32>,
    /// Kind of endpoint that is a parent cache; `None` if there are no parent caches.
    pub parent_kind: Option<u16>,
    /// Kind of endpoint that is the origin; `None` if no endpoint is the origin.
    pub origin_kind: Option<u16>,
    /// Whether requests may be sent to a parent cache or the origin directly.
    pub bypass_edge_cache: bool,
    /// Whether a request may join a fill in flight (request coalescing).
    pub coalesce_fills: bool,
    /// Which other edge caches a miss may be filled from.
    pub sibling_caches: SiblingCaches,
    /// Which details of hits and fills outcomes report.
    pub cache_status_reporting: CacheStatusReporting,
    /// Maximum rate of one transfer to a client, in KB per second; 0 if it is not known.
    pub flow_kb_per_s: f64,
    /// Meaning of the weights in the endpoint list.
    pub weights: ListedWeights,
    /// How changes of the endpoint list arrive.
    pub discovery: Discovery,
    /// With [`Discovery::Ask`]: time without a new list after which the last one counts as
    /// confirmed.
    pub list_silence_timeout: Duration,
    /// Time after the announcement of a purge from which on no copy older than the purge may be
    /// served.
    pub purge_slack: Duration,
    /// Time from a purge until all endpoints have dropped the purged copies by themselves.
    pub purge_completion_time: Duration,
    /// Time after which no attempts may be sent to a draining or removed endpoint.
    pub drain_grace: Duration,
    /// Time after the client's deadline within which a final answer still counts.
    pub answer_slack: Duration,
    /// Minimum fraction of its capacity, 0 to 1, that an edge cache has right after its start.
    pub warm_up_floor: f64,
    /// Time after its start at which an edge cache has its full capacity at the latest.
    pub warm_up_period: Duration,
    /// An edge cache that warms up fails at this multiple of its present capacity; 0: no budget
    /// limits its warm-up.
    pub overload_multiple: f64,
    /// Time for which an edge or parent cache must be overloaded to fail.
    pub overload_window: Duration,
    /// Minimum fraction of its capacity, 0 to 1, that a parent cache has right after its start.
    pub parent_warm_up_floor: f64,
    /// Time after its start at which a parent cache has its full capacity at the latest.
    pub parent_warm_up_period: Duration,
    /// A parent cache that warms up fails at this multiple of its present capacity; 0: no budget
    /// limits its warm-up.
    pub parent_overload_multiple: f64,
    /// The origin stops for some time at this multiple of its capacity; 0: it never does.
    pub origin_overload_multiple: f64,
    /// Maximum number of attempts of one request, at least 1.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time (hedged requests).
    pub hedging_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether endpoints may be probed.
    pub probes: bool,
    /// Whether rejections advise clients how long to wait before they send the request again.
    pub retry_after: bool,
    /// Longest such delay that clients observe.
    pub max_retry_after: Duration,
    /// Time after which a connection that is not established has failed.
    pub connect_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            zone: 0,
            router_count: 1,
            router_count_by_zone: Vec::new(),
            parent_kind: None,
            origin_kind: None,
            bypass_edge_cache: false,
            coalesce_fills: false,
            sibling_caches: SiblingCaches::None,
            cache_status_reporting: CacheStatusReporting::None,
            flow_kb_per_s: 0.0,
            weights: ListedWeights::None,
            discovery: Discovery::Push,
            list_silence_timeout: Duration::ZERO,
            purge_slack: Duration::ZERO,
            purge_completion_time: Duration::ZERO,
            drain_grace: Duration::ZERO,
            answer_slack: Duration::ZERO,
            warm_up_floor: 1.0,
            warm_up_period: Duration::ZERO,
            overload_multiple: 0.0,
            overload_window: Duration::ZERO,
            parent_warm_up_floor: 1.0,
            parent_warm_up_period: Duration::ZERO,
            parent_overload_multiple: 0.0,
            origin_overload_multiple: 0.0,
            max_attempts: 1,
            hedging_allowed: false,
            cancel: false,
            probes: false,
            retry_after: false,
            max_retry_after: Duration::ZERO,
            connect_timeout: Duration::ZERO,
        }
    }
}

impl Settings {
    /// Checks whether a router can work with these settings. The error names the first invalid
    /// field.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_at_least_one("dispatchers", self.router_count)?;
        check_at_least_one("max_attempts", self.max_attempts)?;
        check_share("cold_from", self.warm_up_floor)?;
        check_share("parent_cold_from", self.parent_warm_up_floor)?;
        check_number("fall_multiple", self.overload_multiple)?;
        check_number("parent_fall_multiple", self.parent_overload_multiple)?;
        check_number("flow_kb_per_s", self.flow_kb_per_s)?;
        for (index, class) in self.classes.iter().enumerate() {
            check_number(&format!("classes[{index}].worth"), class.priority_weight)?;
            check_number(&format!("classes[{index}].aim_stretch"), class.latency_objective_stretch)?;
        }
        Ok(())
    }

    /// The class of a request. Panics if the request's class number is not in the settings.
    pub fn class(&self, request: &Request) -> &RequestClass {
        &self.classes[usize::from(request.class)]
    }

    /// Time for which a purge is in effect: until endpoints have dropped purged copies by
    /// themselves, plus a margin of 1 s.
    pub fn purge_life(&self) -> Duration {
        self.purge_completion_time + PURGE_MARGIN
    }

    /// Sending time of a request in seconds; `None` if its size or the transfer rate is not known.
    pub(crate) fn known_work(&self, request: &Request) -> Option<f64> {
        let size_kb = request.size_kb.filter(|_| self.flow_kb_per_s > 0.0)?;
        Some(size_kb / self.flow_kb_per_s)
    }

    /// Number of routers that share an endpoint of the zone `zone`: those of the zone if only they
    /// use it and their number is known, otherwise all.
    pub(crate) fn sharing(&self, zone_only: bool, zone: u16) -> u32 {
        let in_zone = self.router_count_by_zone.get(usize::from(zone)).copied();
        in_zone.filter(|count| *count > 0 && zone_only).unwrap_or(self.router_count)
    }
}

fn check_at_least_one(field: &str, value: u32) -> Result<(), SettingsError> {
    check(value > 0, field, "must be at least 1")
}

fn check_share(field: &str, value: f64) -> Result<(), SettingsError> {
    check((0.0..=1.0).contains(&value), field, "must be between 0 and 1")
}

fn check_number(field: &str, value: f64) -> Result<(), SettingsError> {
    check(value.is_finite() && value >= 0.0, field, "must be a finite number of at least 0")
}

fn check(is_valid: bool, field: &str, why: &'static str) -> Result<(), SettingsError> {
    if is_valid {
        Ok(())
    } else {
        Err(SettingsError::Invalid { field: field.to_string(), why })
    }
}

/// The reason why settings were rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The value of a field is out of range.
    #[error("setting {field}: {why}")]
    Invalid {
        /// Name of the field, with its index if it belongs to a class.
        field: String,
        /// The condition that the value violates.
        why: &'static str,
    },
}
