//! Capacity and load of endpoints: what they can serve, and how far their load slows a transfer.
//! Plain arithmetic.

use crate::interface::{EndpointId, ListedWeights, Request};
use crate::module::DecisionModule;
use crate::state::endpoint::{Endpoint, EndpointRole, FILL_LOAD_WINDOW, LOAD_WINDOW};
use crate::time::{micros_f64, secs, Timestamp, MICROSECOND};
use std::time::Duration;

/// A cache is at capacity for a class when a transfer would take this part of the latency objective
/// there.
const USABLE_OBJECTIVE: f64 = 0.9;
/// Own load at an endpoint counts as this many requests before the mean of endpoints of its role is
/// trusted more.
const LOAD_PRIOR_REQUESTS: f64 = 12.0;
/// Responses that take more of their latency objective than this on average show a bottleneck that
/// is not seen.
const NORMAL_LATENESS: f64 = 0.5;
/// Lateness is smoothed by this factor and counts at most so many objectives.
const LATENESS_SMOOTHING: f64 = 0.05;
pub(crate) const MAX_LATENESS: f64 = 2.0;
/// The least slack of a class, as a multiple of its service time.
const MIN_SLACK: f64 = 0.1;

/// What an endpoint can do while it warms up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUpCapacity {
    /// What it can do at the least, in seconds of sending per second.
    pub(crate) capacity: f64,
    /// The multiple of that at which it falls over.
    pub(crate) overload_multiple: f64,
}

impl DecisionModule {
    /// An endpoint's capacity in seconds of sending per second: its listed weight, or else what its
    /// like are given.
    fn full_capacity(&self, endpoint: &Endpoint) -> f64 {
        if self.settings.weights == ListedWeights::Size && endpoint.entry.weight > 0.0 {
            return endpoint.entry.weight;
        }
        let is_warm = |peer: &&Endpoint| peer.warm_up_started.is_none();
        let peers = || self.endpoints.ready(EndpointRole::LocalCache).filter(is_warm);
        let work: f64 = peers().flat_map(|peer| &peer.load_history).map(|sent| sent.work).sum();
        work / peers().count().max(1) as f64 / self.overload_window_secs()
    }

    /// What an endpoint that warms up can do by now; none if it is warm. One whose process was lost
    /// starts anew when it responds.
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

    /// Whether one more request of its class could still be served in time at an endpoint, by what
    /// is in flight there against its capacity: 1 if idle, 0 at capacity. A class of small weight
    /// for its work has the least slack and is rejected first. Also covers a congested link and a
    /// slow endpoint.
    pub(crate) fn spare_capacity(&self, now: Timestamp, request: &Request, endpoint: &Endpoint) -> f64 {
        let class = self.settings.class(request);
        let slack =
            class.latency_objective_stretch + secs(class.latency_objective) / self.expected_work(request);
        let usable = USABLE_OBJECTIVE * (NORMAL_LATENESS / endpoint.lateness).min(1.0);
        1.0 - (self.slowdown(now, endpoint) - 1.0) / (usable * slack - 1.0).max(MIN_SLACK)
    }

    /// The factor by which others slow a transfer at an endpoint, with one more; 1 where sizes are
    /// not known. Own attempts are counted. Each other router is assumed to have as many there as
    /// this one has on average: at this endpoint as far as enough was sent there to tell, else at
    /// endpoints of its role in proportion to size.
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

    /// Adds a latency to the endpoint's lateness.
    pub(crate) fn record_lateness(&mut self, request: &Request, id: EndpointId, latency: Duration) {
        let objective = self.latency_objective(request);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let lateness = (secs(latency) / objective).min(MAX_LATENESS);
            endpoint.lateness += LATENESS_SMOOTHING * (lateness - endpoint.lateness);
        }
    }
}
