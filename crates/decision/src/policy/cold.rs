//! Cold budgets: what may be sent to an endpoint that has just started, or may have.

use crate::interface::*;
use crate::module::DecisionModule;
use crate::quota::{cold_budget, COLD_USE};
use crate::state::Endpoint;
use rand_core::RngCore;

impl DecisionModule {
    /// The cold budget, over every window and by the settings alone; guards the rule on cold endpoints. This
    /// router's even share of what the endpoint can do, where that is a request or more. Where it is less,
    /// one request in a slot as long as the window: see `slots`.
    pub(crate) fn admits(&self, now: Timestamp, h: &Endpoint, work: f64) -> bool {
        let Some((able, multiple)) = self.cold(now, h) else { return true };
        let window = self.settings.overload_window;
        let share = cold_budget(able, multiple, secs(window)) / self.divisor(now, h);
        let sparse = share < self.unit() && self.fleet.leased.is_none();
        let since = if sparse { h.slot } else { now.saturating_sub(window) };
        let lately: f64 = h.ledger.iter().filter(|l| l.0 > since).map(|l| l.2).sum();
        let open = !sparse || (h.slot > Timestamp::ZERO && now < h.slot + window);
        h.noted(now, work, open && lately + work <= if sparse { self.unit() } else { share } + 1e-9)
    }

    /// Slots at cold endpoints. Each router's come at the same rate from a phase of its own, drawn at random,
    /// and lapse if not used, so that nobody saves any up: of all routers those whose slot begins within
    /// two windows can send in one. Their number is random; its mean is set so that three deviations
    /// more still stay below what makes the endpoint fall.
    pub(crate) fn slots(&mut self, now: Timestamp) {
        let unit = self.unit();
        for id in self.chilled.clone() {
            // One that takes no work is not walked: it comes back by a start that is told.
            let ready = self.fleet.endpoints.get(&id).filter(|h| h.entry.state == EndpointState::Ready);
            let Some((h, (able, multiple))) = ready.and_then(|h| Some((h, self.cold(now, h)?))) else {
                self.chilled.remove(&id);
                continue;
            };
            let window = secs(self.settings.overload_window).max(0.001);
            let bears = able * window / unit;
            let mean = ((9.0 + 4.0 * multiple * bears).sqrt() - 3.0).powi(2) / 4.0;
            let rate = mean.min(2.0 * COLD_USE * bears) / (2.0 * window) / self.divisor(now, h);
            let fresh = self.rng.next_u64() as f64 / u64::MAX as f64;
            let Some(h) = self.fleet.endpoints.get_mut(&id) else { continue };
            let (phase, at) = h.phase.unwrap_or((fresh, now));
            let phase = phase + rate * secs(now.duration_since(at));
            if phase >= 1.0 {
                h.slot = now.saturating_sub(span_from_secs(phase.fract() / rate));
            }
            h.phase = Some((phase.fract(), now));
        }
    }
}
