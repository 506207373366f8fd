//! Capacity and load of endpoints: how much work they can serve, and by which factor their load
//! slows a transfer.

use crate::interface::{EndpointId, ListedWeights, Request};
use crate::module::DecisionModule;
use crate::state::endpoint::{Endpoint, EndpointRole, FILL_LOAD_WINDOW, LOAD_WINDOW};
use crate::time::{micros_f64, secs, Timestamp, MICROSECOND};
use std::time::Duration;

/// Fraction of the latency objective that a transfer may take at an endpoint before the endpoint
/// counts as at capacity for the request's class.
const USABLE_OBJECTIVE: f64 = 0.9;
/// Weight, in requests, of the mean load of an endpoint's role against the load measured at the
/// endpoint itself.
const LOAD_PRIOR_REQUESTS: f64 = 12.0;
/// An endpoint whose responses take more than this fraction of their latency objective on average
/// has a bottleneck that its load does not show.
const NORMAL_LATENESS: f64 = 0.5;
/// Smoothing factor of the lateness.
const LATENESS_SMOOTHING: f64 = 0.05;
/// Maximum lateness of one response, in latency objectives.
pub(crate) const MAX_LATENESS: f64 = 2.0;
/// Minimum slack of a class, as a multiple of its service time.
const MIN_SLACK: f64 = 0.1;

/// Capacity of an endpoint while it warms up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUpCapacity {
    /// Work in seconds per second that the endpoint can do at least.
    pub(crate) capacity: f64,
    /// The endpoint fails at this multiple of `capacity`.
    pub(crate) overload_multiple: f64,
}

impl DecisionModule {
    /// Capacity of a warm endpoint in seconds of work per second: the listed size, or, where sizes
    /// are not listed, the mean rate at which work was sent to the warm edge caches of the own
    /// zone.
    fn full_capacity(&self, endpoint: &Endpoint) -> f64 {
        if self.settings.weights == ListedWeights::Size && endpoint.entry.weight > 0.0 {
            return endpoint.entry.weight;
        }
        let is_warm = |peer: &&Endpoint| peer.warm_up_started.is_none();
        let peers = || self.endpoints.ready(EndpointRole::LocalCache).filter(is_warm);
        let work: f64 = peers().flat_map(|peer| &peer.load_history).map(|sent| sent.work).sum();
        work / peers().count().max(1) as f64 / self.overload_window_secs()
    }

    /// Present capacity of an endpoint that warms up: it grows linearly from the floor to the full
    /// capacity over the warm-up period. `None` for an endpoint that is warm, that the settings
    /// exempt, and for the origin. An endpoint whose process is presumed lost counts as just
    /// started.
    pub(crate) fn warm_up_capacity(&self, now: Timestamp, endpoint: &Endpoint) -> Option<WarmUpCapacity> {
        let settings = &self.settings;
        let (floor, period, overload_multiple) = match endpoint.role {
            EndpointRole::Origin => return None,
            EndpointRole::Parent => (
                settings.parent_warm_up_floor,
                settings.parent_warm_up_period,
                settings.parent_overload_multiple,
            ),
            EndpointRole::LocalCache | EndpointRole::RemoteCache => {
                (settings.warm_up_floor, settings.warm_up_period, settings.overload_multiple)
            }
        };
        let age = if endpoint.process_lost {
            Duration::ZERO
        } else {
            now.saturating_duration_since(endpoint.warm_up_started?)
        };
        if age >= period || overload_multiple <= 0.0 {
            return None;
        }
        let share = floor + (1.0 - floor) * micros_f64(age) / micros_f64(period.max(MICROSECOND));
        Some(WarmUpCapacity { capacity: share * self.full_capacity(endpoint), overload_multiple })
    }

    /// Spare capacity of an endpoint for one more request of its class: 1 if the endpoint is idle,
    /// 0 or less if it is at capacity, so that the request could not be served in time.
    ///
    /// The slowdown by the attempts in flight is set against the slack of the class: its latency
    /// objective as a multiple of its service time. So a class with a tight objective for its work
    /// has the least slack and is rejected first. The lateness of earlier responses reduces the
    /// slack; this covers congested links and slow endpoints.
    pub(crate) fn spare_capacity(&self, now: Timestamp, request: &Request, endpoint: &Endpoint) -> f64 {
        let class = self.settings.class(request);
        let slack =
            class.latency_objective_stretch + secs(class.latency_objective) / self.expected_work(request);
        let usable = USABLE_OBJECTIVE * (NORMAL_LATENESS / endpoint.lateness).min(1.0);
        1.0 - (self.slowdown(now, endpoint) - 1.0) / (usable * slack - 1.0).max(MIN_SLACK)
    }

    /// Factor by which other transfers slow one more transfer at an endpoint; 1 where sizes are not
    /// listed.
    ///
    /// The transfers of this router are counted. Each other router that shares the endpoint is
    /// assumed to have as many in flight there as this router has on average. That average is taken
    /// at the endpoint itself as far as this router has sent enough work there, and otherwise at
    /// all endpoints of the role in proportion to their sizes.
    pub(crate) fn slowdown(&self, now: Timestamp, endpoint: &Endpoint) -> f64 {
        let weight = endpoint.entry.weight;
        if self.settings.weights != ListedWeights::Size || weight <= 0.0 {
            return 1.0;
        }
        let window = if endpoint.role == EndpointRole::Parent { FILL_LOAD_WINDOW } else { LOAD_WINDOW };
        let peers = || self.endpoints.ready(endpoint.role).filter(|peer| peer.is_available());
        let total_load = peers().map(|peer| peer.average_load(now, window)).sum::<f64>();
        let total_weight = peers().map(|peer| peer.entry.weight).sum::<f64>();
        let usual = total_load / total_weight.max(weight) * weight;
        let own = endpoint.average_load(now, window);
        let samples = own * secs(window) / self.max_mean_work();
        let per_router = usual + (own - usual) * samples / (samples + LOAD_PRIOR_REQUESTS);
        let others = f64::from(self.routers_sharing(endpoint) - 1) * per_router;
        ((1.0 + f64::from(endpoint.in_flight) + others) / weight).max(1.0)
    }

    /// Adds the latency of a response, or of an attempt without one, to the endpoint's lateness.
    pub(crate) fn record_lateness(&mut self, request: &Request, id: EndpointId, latency: Duration) {
        let objective = self.latency_objective(request);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let lateness = (secs(latency) / objective).min(MAX_LATENESS);
            endpoint.lateness += LATENESS_SMOOTHING * (lateness - endpoint.lateness);
        }
    }
}
