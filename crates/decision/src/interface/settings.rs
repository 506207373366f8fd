//! The settings of a router, and which of them are impossible.

use crate::interface::{Request, RequestClass};
use std::time::Duration;

/// A purge counts for this much longer than endpoints say that they need to drop purged copies.
const PURGE_MARGIN: Duration = Duration::from_secs(1);

/// Which other edge caches may be the source of a fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiblingCaches {
    /// None.
    None,
    /// Caches of the router's own zone.
    Location,
    /// Caches of any zone.
    Any,
}

/// What outcomes report of hits and fills.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatusReporting {
    /// Nothing: a hit can't be told from a fill.
    None,
    /// Hits, fills and stale copies are distinguished; failures carry no cause.
    Hit,
    /// Everything is reported, the cause of a failed fill too.
    All,
}

/// How changes of the endpoint list arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// They are sent by themselves.
    Push,
    /// Only after a subscription.
    Ask,
}

/// What the weights of the endpoint list mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedWeights {
    /// Nothing: they are ignored.
    None,
    /// An endpoint's size, exactly or roughly, the same in every list.
    Size,
    /// A size that changes with load from one list to the next.
    Live,
}

/// The settings of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes, by index.
    pub classes: Vec<RequestClass>,
    /// The zone of this router.
    pub zone: u16,
    /// Number of routers in all.
    pub router_count: u32,
    /// Number of routers by zone; empty if not known.
    pub router_count_by_zone: Vec<u32>,
    /// Kind of the endpoints that are parent caches, if there are any.
    pub parent_kind: Option<u16>,
    /// Kind of the endpoints that are the origin.
    pub origin_kind: Option<u16>,
    /// Requests may go to a parent cache or the origin directly.
    pub bypass_edge_cache: bool,
    /// A request may join a fill in flight (request coalescing).
    pub coalesce_fills: bool,
    /// Which edge caches may be the source of a fill.
    pub sibling_caches: SiblingCaches,
    /// What outcomes report of hits and fills.
    pub cache_status_reporting: CacheStatusReporting,
    /// Greatest speed of one transfer to a client, in KB per second; 0: not known.
    pub flow_kb_per_s: f64,
    /// What the weights of the endpoint list mean.
    pub weights: ListedWeights,
    /// How the endpoint list arrives.
    pub discovery: Discovery,
    /// With [`Discovery::Ask`]: after this long without a list the old one counts as confirmed.
    pub list_silence_timeout: Duration,
    /// From this long after a purge was announced, no older copy may be served.
    pub purge_slack: Duration,
    /// After this long endpoints have dropped purged copies themselves.
    pub purge_done: Duration,
    /// No attempts may be sent to a draining or removed endpoint after this long.
    pub drain_grace: Duration,
    /// A final answer still counts this long after the client's deadline.
    pub answer_slack: Duration,
    /// A cache starts at this share of its capacity or more...
    pub warm_up_floor: f64,
    /// ...and is warm after this long at the latest.
    pub warm_up_period: Duration,
    /// It fails at this multiple of its present capacity...
    pub overload_multiple: f64,
    /// ...sustained for this long (edge and parent caches).
    pub overload_window: Duration,
    /// A parent cache starts at this share of its capacity or more...
    pub parent_warm_up_floor: f64,
    /// ...and is warm after this long at the latest.
    pub parent_warm_up_period: Duration,
    /// A parent cache that warms up fails at this multiple.
    pub parent_overload_multiple: f64,
    /// The origin stops for a while at this multiple of its capacity; 0: it never does.
    pub origin_overload_multiple: f64,
    /// Greatest number of attempts of one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight at once.
    pub hedging_allowed: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Endpoints may be probed.
    pub probes: bool,
    /// Rejections advise clients when to retry.
    pub retry_after: bool,
    /// The longest such delay that clients honour.
    pub max_retry_after: Duration,
    /// A connection not made within this time has failed.
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
            purge_done: Duration::ZERO,
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
    /// Checks that a router could work under these settings; the error names the first field that
    /// rules it out.
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

    /// The class of a request; its class number must be one of the settings.
    pub fn class(&self, request: &Request) -> &RequestClass {
        &self.classes[usize::from(request.class)]
    }

    /// How long a purge counts: until endpoints have dropped purged copies themselves, and a little
    /// more.
    pub fn purge_life(&self) -> Duration {
        self.purge_done + PURGE_MARGIN
    }

    /// The sending time of a request in seconds, where its size is known.
    pub(crate) fn known_work(&self, request: &Request) -> Option<f64> {
        let size_kb = request.size_kb.filter(|_| self.flow_kb_per_s > 0.0)?;
        Some(size_kb / self.flow_kb_per_s)
    }

    /// How many routers share an endpoint: those of its zone if only they use it and their number
    /// is known, else all.
    pub(crate) fn sharing(&self, zone_only: bool, zone: u16) -> u32 {
        let in_zone = self.router_count_by_zone.get(usize::from(zone)).copied();
        in_zone.filter(|count| *count > 0 && zone_only).unwrap_or(self.router_count)
    }
}

fn check_at_least_one(field: &str, value: u32) -> Result<(), SettingsError> {
    check(value > 0, field, "must be at least 1")
}

fn check_share(field: &str, value: f64) -> Result<(), SettingsError> {
    check((0.0..=1.0).contains(&value), field, "a share lies between 0 and 1")
}

fn check_number(field: &str, value: f64) -> Result<(), SettingsError> {
    check(value.is_finite() && value >= 0.0, field, "must be a number of 0 or more")
}

fn check(is_valid: bool, field: &str, why: &'static str) -> Result<(), SettingsError> {
    if is_valid {
        Ok(())
    } else {
        Err(SettingsError::Invalid { field: field.to_string(), why })
    }
}

/// Settings that no router could work under.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A field holds a value outside of its range.
    #[error("setting {field}: {why}")]
    Invalid {
        /// The field's name, with its index where it is one of several.
        field: String,
        /// What is wrong with it.
        why: &'static str,
    },
}
