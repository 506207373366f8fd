//! Admission of requests at endpoints: the decision module's rules for spare capacity and for
//! warm-up budgets, and the service times and lateness that routers learn from responses.

use super::outages::EndpointRef;
use super::request_table::RequestId;
use super::simulation::Simulation;
use crate::trace::RequestClass;

/// Share of the latency objective that one more transfer may take at an edge cache with spare
/// capacity (docs/design.md).
const CAPACITY_SHARE: f64 = 0.9;
/// Mean lateness above which the usable capacity of an edge cache is reduced in proportion: some
/// resource that the router does not observe is short. Lateness is a response's latency in
/// multiples of its objective.
const MAX_LATENESS: f64 = 0.5;
/// Maximum lateness of a single response, in multiples of its objective.
const LATENESS_CAP: f64 = 2.0;
/// Number of responses over which the lateness of an edge cache is averaged.
const LATENESS_SAMPLES: f64 = 20.0;
/// Number of responses over which the service time of a class is averaged.
const SERVICE_TIME_SAMPLES: f64 = 50.0;
/// Minimum service time in the computation of a class's slack, in seconds.
const MIN_SERVICE_TIME_S: f64 = 0.001;
/// Minimum slack beyond one service time, in multiples of the service time. It avoids a division by
/// zero.
const MIN_SLACK: f64 = 0.1;
/// Minimum link capacity of an edge cache in the computation of its slowdown, in flows. It avoids a
/// division by zero.
const MIN_LINK_FLOWS: f64 = 0.01;
/// Ratio of the work that routers send to an endpoint that is warming up to the work that its share
/// of capacity allows.
const WARM_UP_OVERCOMMIT: f64 = 1.2;
/// Time constant over which the work sent to an endpoint that is warming up is averaged, in
/// microseconds.
const WARM_UP_WINDOW_US: f64 = 1_500_000.0;

/// Service times that routers have learned: how long a response takes at an edge cache that serves
/// no other request.
#[derive(Debug)]
pub(super) struct ServiceTimes {
    /// Service times in seconds, by site and then by class.
    by_site_and_class: Vec<Vec<f64>>,
}

impl ServiceTimes {
    /// Creates the initial service times. Before the first response, the service time of a class is
    /// its latency objective.
    pub(super) fn new(classes: &[RequestClass], site_count: usize) -> ServiceTimes {
        let objective_s = |class: &RequestClass| class.latency_objective_us as f64 / 1e6;
        let initial: Vec<f64> = classes.iter().map(objective_s).collect();
        ServiceTimes { by_site_and_class: vec![initial; site_count] }
    }

    pub(super) fn get(&self, site: usize, class: usize) -> f64 {
        self.by_site_and_class[site][class]
    }

    fn learn(&mut self, site: usize, class: usize, observed_s: f64) {
        let service_time_s = &mut self.by_site_and_class[site][class];
        *service_time_s += (observed_s - *service_time_s) / SERVICE_TIME_SAMPLES;
    }
}

impl Simulation<'_> {
    /// Returns the spare capacity of an edge cache for a class: 1 with no active attempts, and
    /// negative if one more request would exceed the usable share of its latency objective.
    pub(super) fn spare_capacity(
        &self,
        site: usize,
        class: usize,
        edge_cache: usize,
        link_flows: f64,
    ) -> f64 {
        let rules = &self.trace.classes[class];
        let service_time_s = self.service_times.get(site, class).max(MIN_SERVICE_TIME_S);
        let objective_s = rules.latency_objective_us as f64 / 1e6;
        let slack = rules.latency_objective_stretch + objective_s / service_time_s;
        let lateness = self.edge_caches[edge_cache].lateness.max(1e-9);
        let usable_share = CAPACITY_SHARE * (MAX_LATENESS / lateness).min(1.0);
        let slowdown = self.slowdown_with_one_more(edge_cache, link_flows);
        1.0 - (slowdown - 1.0) / (usable_share * slack - 1.0).max(MIN_SLACK)
    }

    /// Returns whether routers send more work to an endpoint: always, unless it is warming up and
    /// its budget is used up. Work that is admitted is counted against the budget. If no work was
    /// sent recently, a single request is admitted even if it exceeds the budget.
    pub(super) fn admit_work(&mut self, endpoint: usize, link_flows: f64, work_s: f64) -> bool {
        let share = self.capacity_share(endpoint);
        if share >= 1.0 {
            return true;
        }
        let now_us = self.now_us;
        let state = &mut self.availability[endpoint];
        let elapsed_us = (now_us - state.recent_work_us) as f64;
        let recent_work_s = state.recent_work_s * (-elapsed_us / WARM_UP_WINDOW_US).exp();
        let max_work_s = WARM_UP_OVERCOMMIT * share * link_flows * WARM_UP_WINDOW_US / 1e6;
        if recent_work_s + work_s > max_work_s.max(work_s) {
            return false;
        }
        state.recent_work_s = recent_work_s + work_s;
        state.recent_work_us = now_us;
        true
    }

    /// Returns the usable share of an endpoint's link capacity: below 1 while it is warming up.
    pub(super) fn capacity_share(&self, endpoint: usize) -> f64 {
        let Some(returned_us) = self.availability[endpoint].returned_us else { return 1.0 };
        let warm_up = &self.network.warm_up;
        let (initial_share, duration_s) = match self.topology.endpoint_ref(endpoint) {
            EndpointRef::EdgeCache { .. } => {
                (warm_up.edge_cache_initial_share, warm_up.edge_cache_s)
            }
            EndpointRef::ParentCache { .. } => {
                (warm_up.parent_cache_initial_share, warm_up.parent_cache_s)
            }
        };
        let elapsed_s = self.now_us.saturating_sub(returned_us) as f64 / 1e6;
        if elapsed_s >= duration_s {
            1.0
        } else {
            initial_share + (1.0 - initial_share) * elapsed_s / duration_s
        }
    }

    /// Counts a request as an active attempt at its edge cache, unless it is counted already.
    pub(super) fn join_edge_cache(&mut self, id: RequestId) {
        let edge_cache = self.edge_cache_of(id);
        let now_us = self.now_us;
        let request = self.requests.get_mut(id);
        if !request.is_at_edge_cache {
            request.is_at_edge_cache = true;
            request.sent_us = now_us;
            self.edge_caches[edge_cache].active_attempts += 1;
        }
    }

    /// Removes a request from the active attempts of its edge cache, if it is counted there.
    pub(super) fn leave_edge_cache(&mut self, id: RequestId) {
        let edge_cache = self.edge_cache_of(id);
        let request = self.requests.get_mut(id);
        if request.is_at_edge_cache {
            request.is_at_edge_cache = false;
            self.edge_caches[edge_cache].active_attempts -= 1;
        }
    }

    /// Updates what routers learn from a response: the edge cache's lateness and the class's
    /// service time.
    pub(super) fn learn_from_response(&mut self, id: RequestId) {
        let edge_cache = self.edge_cache_of(id);
        let request = self.requests.get(id);
        let (site, position) = (usize::from(request.site), usize::from(request.edge_cache));
        let latency_s = self.attempt_age_s(id);
        self.learn_lateness(id, latency_s);
        let link_flows = self.network.sites[site].edge_caches[position].link_flows;
        let service_time_s = latency_s / self.slowdown_with_one_more(edge_cache, link_flows);
        self.service_times.learn(site, self.class_index(id), service_time_s);
    }

    /// Updates the edge cache's lateness after a request whose response did not arrive before the
    /// client's timeout.
    pub(super) fn learn_from_timeout(&mut self, id: RequestId) {
        self.learn_lateness(id, self.attempt_age_s(id));
    }

    fn attempt_age_s(&self, id: RequestId) -> f64 {
        self.now_us.saturating_sub(self.requests.get(id).sent_us) as f64 / 1e6
    }

    fn learn_lateness(&mut self, id: RequestId, latency_s: f64) {
        let edge_cache = self.edge_cache_of(id);
        let site = usize::from(self.requests.get(id).site);
        let class = self.class_of(id);
        let service_time_s = self.service_times.get(site, self.class_index(id));
        let objective_s = class.latency_objective_us as f64 / 1e6
            + class.latency_objective_stretch * service_time_s;
        let observed = (latency_s / objective_s).min(LATENESS_CAP);
        let lateness = &mut self.edge_caches[edge_cache].lateness;
        *lateness += (observed - *lateness) / LATENESS_SAMPLES;
    }

    /// Returns the slowdown of transfers at an edge cache if one more were active: their duration
    /// in multiples of the duration at the full rate of a flow, at least 1.
    fn slowdown_with_one_more(&self, edge_cache: usize, link_flows: f64) -> f64 {
        let transfers = 1.0 + self.edge_caches[edge_cache].active_attempts as f64;
        (transfers / link_flows.max(MIN_LINK_FLOWS)).max(1.0)
    }
}
