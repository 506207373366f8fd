//! Warm-up budgets: how much work this router may send to an endpoint that has started recently, or
//! is presumed to have restarted.

use crate::interface::{EndpointId, EndpointState};
use crate::module::DecisionModule;
use crate::state::{warm_up_budget, Endpoint, WarmUpCapacity, MAX_WARM_UP_USE};
use crate::time::{secs, Timestamp};

/// Tolerance in seconds of work for rounding errors in sums of work.
const ROUNDING: f64 = 1e-9;
/// Admission slots are spaced so that the number of requests in one overload window stays below the
/// overload limit even at this many standard deviations above its mean.
const SLOT_SAFETY_DEVIATIONS: f64 = 3.0;

impl DecisionModule {
    /// Whether the endpoint's warm-up budget admits `work` seconds of work now. True for an
    /// endpoint that is warm. Work that is not admitted is recorded as the endpoint's unmet demand.
    ///
    /// The budget bounds the work in every span of the length of the overload window, by the
    /// settings alone, so that an endpoint that warms up is not overloaded. This router may use its
    /// share of the budget. Where an even share is less than one request of the largest class, the
    /// router may instead send one such request within an admission slot, which is as long as the
    /// overload window (see [`Self::slot_rate`]).
    pub(crate) fn admits(&self, now: Timestamp, endpoint: &Endpoint, work: f64) -> bool {
        let Some(warm_up) = self.warm_up_capacity(now, endpoint) else { return true };
        let window = self.settings.overload_window;
        let share = warm_up_budget(warm_up, secs(window)) / self.budget_divisor(now, endpoint);
        let largest_request = self.max_mean_work();
        let has_even_share = self.endpoints.leased_shares.is_none();
        let uses_slots = share < largest_request && has_even_share;
        let admitted = if uses_slots {
            let slot = endpoint.admission_slot;
            let is_open = slot > Timestamp::ZERO && now < slot + window;
            is_open && endpoint.work_since(slot) + work <= largest_request + ROUNDING
        } else {
            let window_start = now.saturating_sub(window);
            endpoint.work_since(window_start) + work <= share + ROUNDING
        };
        if !admitted {
            endpoint.record_unmet_demand(now, work);
        }
        admitted
    }

    /// The rate at which admission slots for an endpoint begin at this router, in slots per second.
    /// `largest_request` is the work of the largest request in seconds. `None` if the endpoint is
    /// warm or is not ready; an endpoint that is not ready returns with an announced start.
    ///
    /// Each router's slots come at the same rate, from a phase drawn at random, and lapse if they
    /// are not used, so that no router saves slots up. All routers whose slot begins within two
    /// overload windows can send within a single window. The number of these slots is random. Its
    /// mean is set such that the mean plus [`SLOT_SAFETY_DEVIATIONS`] standard deviations stays
    /// below the overload limit: it solves `mean + deviations * sqrt(mean) = limit`. The mean use
    /// of the endpoint is also limited to [`MAX_WARM_UP_USE`].
    pub(crate) fn slot_rate(&self, now: Timestamp, id: EndpointId, largest_request: f64) -> Option<f64> {
        let endpoint = self.endpoints.get(id).filter(|e| e.entry.state == EndpointState::Ready)?;
        let WarmUpCapacity { capacity, overload_multiple } = self.warm_up_capacity(now, endpoint)?;
        let window = self.overload_window_secs();
        let requests_per_window = capacity * window / largest_request;
        let deviations = SLOT_SAFETY_DEVIATIONS;
        let discriminant = deviations * deviations + 4.0 * overload_multiple * requests_per_window;
        let safe_mean = (discriminant.sqrt() - deviations).powi(2) / 4.0;
        let mean = safe_mean.min(2.0 * MAX_WARM_UP_USE * requests_per_window);
        Some(mean / (2.0 * window) / self.budget_divisor(now, endpoint))
    }
}
