//! Warm-up budgets: what may be sent to an endpoint that has just started, or may have.

use crate::interface::{EndpointId, EndpointState};
use crate::module::DecisionModule;
use crate::state::{warm_up_budget, Endpoint, WarmUpCapacity, MAX_WARM_UP_USE};
use crate::time::{secs, Timestamp};

/// Against rounding where work is added up.
const ROUNDING: f64 = 1e-9;

impl DecisionModule {
    /// Whether the warm-up budget admits this work now, over every window and by the settings alone; guards
    /// the rule on cold endpoints. This router's even share of what the endpoint can do, where that is a
    /// request or more. Where it is less, one request in a slot as long as the window.
    pub(crate) fn admits(&self, now: Timestamp, endpoint: &Endpoint, work: f64) -> bool {
        let Some(warm_up) = self.warm_up_capacity(now, endpoint) else { return true };
        let window = self.settings.overload_window;
        let share = warm_up_budget(warm_up, secs(window)) / self.budget_divisor(now, endpoint);
        let unit = self.max_mean_work();
        let uses_slots = share < unit && self.endpoints.leased_shares.is_none();
        let slot = endpoint.admission_slot;
        let admitted = if uses_slots {
            let is_open = slot > Timestamp::ZERO && now < slot + window;
            is_open && endpoint.work_since(slot) + work <= unit + ROUNDING
        } else {
            endpoint.work_since(now.saturating_sub(window)) + work <= share + ROUNDING
        };
        if !admitted {
            endpoint.record_unmet_demand(now, work);
        }
        admitted
    }

    /// Slots per second at an endpoint that warms up; none if it is warm or takes no work: it comes back by a
    /// start that is announced. Each router's slots come at the same rate from a phase of its own, drawn at
    /// random, and lapse if not used, so that nobody saves any up: of all routers those whose slot begins
    /// within two windows can send in one. Their number is random; its mean is set so that three deviations
    /// more still stay below what makes the endpoint fall.
    pub(crate) fn slot_rate(&self, now: Timestamp, id: EndpointId, unit: f64) -> Option<f64> {
        let endpoint = self.endpoints.get(id).filter(|e| e.entry.state == EndpointState::Ready)?;
        let WarmUpCapacity { capacity, overload_multiple } = self.warm_up_capacity(now, endpoint)?;
        let window = self.overload_window_secs();
        let requests = capacity * window / unit;
        let mean = ((9.0 + 4.0 * overload_multiple * requests).sqrt() - 3.0).powi(2) / 4.0;
        let mean = mean.min(2.0 * MAX_WARM_UP_USE * requests);
        Some(mean / (2.0 * window) / self.budget_divisor(now, endpoint))
    }
}
