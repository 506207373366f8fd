//! Whether a parent is down, where answers don't tell hits from fills. There a cache's hit looks like a sign
//! of life of the parent that was named with it, and a fill that was refused may be the cache's own refusal.
//! So neither is believed: refusals in excess raise a doubt, and a probe settles it. A parent held to be dead
//! comes back by a probe alone, cold from then on. Without probes it goes by answers, as it does where hits
//! are told.

use crate::interface::*;
use crate::module::DecisionModule;
use crate::policy::health::STRIKES;
use crate::state::{Endpoint, Sign};

/// What a refusal adds and an answer takes off: the logarithms of how much likelier each is at a parent of
/// which a tenth of the attempts are refused than at one of which a fiftieth are (a cumulative sum test).
const REFUSED: f64 = 1.6;
const SERVED: f64 = 0.085;
/// The doubt from which on a parent is asked: three refusals in a row.
const ASK: f64 = 4.0;
/// A parent is asked again no sooner than this; doubled each time that it turns out to be well, to the
/// longest.
const PAUSE: Duration = Duration::from_millis(500);
const PAUSE_MOST: Duration = Duration::from_secs(8);

impl DecisionModule {
    /// An attempt that named it has ended. What counts is an answer, or a refusal within less than a dial
    /// takes: one after that is taken for a parent that is silent (see `on_full`).
    pub(crate) fn doubt(
        &mut self,
        now: Timestamp,
        id: Option<EndpointId>,
        out: &AttemptOutcome,
        acts: &mut Vec<Action>,
    ) {
        let refused = out.status == AttemptStatus::Full && out.latency < self.settings.connect_timeout;
        let counts = |h: &&mut Endpoint| h.probed && !h.died && (refused || out.status == AttemptStatus::Ok);
        let named = id.and_then(|id| self.fleet.endpoints.get_mut(&id));
        let Some(h) = named.filter(counts) else { return };
        h.doubt.sum = (h.doubt.sum + if refused { REFUSED } else { -SERVED }).max(0.0);
        if h.doubt.asked.is_none() && h.doubt.sum >= ASK && now >= h.doubt.next {
            (h.doubt.asked, h.doubt.next) = (Some(now), now + h.doubt.pause.max(PAUSE));
            acts.push(Action::Probe { endpoint: h.entry.id });
        }
        self.mute(now, id);
    }

    /// A probe of which nothing has come back in time has failed.
    fn mute(&mut self, now: Timestamp, id: Option<EndpointId>) {
        let wait = 2 * self.settings.connect_timeout.max(PAUSE / 2);
        let late = |h: &&Endpoint| h.doubt.asked.is_some_and(|t| now >= t + wait);
        if let Some(id) = id.filter(|id| self.fleet.endpoints.get(id).as_ref().is_some_and(late)) {
            self.on_probed(now, id, AttemptStatus::Timeout);
        }
    }

    /// Asks parents that are held to be dead and due for their trial.
    pub(crate) fn ask_dead(&mut self, now: Timestamp, acts: &mut Vec<Action>) {
        for id in self.chilled.clone() {
            self.mute(now, Some(id));
            let due =
                |h: &&mut Endpoint| h.unproven() && h.doubt.asked.is_none() && h.out.is_none_or(|t| now >= t);
            if let Some(h) = self.fleet.endpoints.get_mut(&id).filter(due) {
                h.doubt.asked = Some(now);
                acts.push(Action::Probe { endpoint: id });
            }
        }
    }

    /// What a probe came to: any answer proves life, a refused connection death. None leaves it out, and a
    /// parent that was only cut off goes on where it was.
    pub(crate) fn on_probed(&mut self, now: Timestamp, id: EndpointId, status: AttemptStatus) {
        let Some(h) = self.fleet.endpoints.get_mut(&id).filter(|h| h.doubt.asked.is_some()) else { return };
        let waited = h.doubt.asked.take().map_or(Duration::ZERO, |t| now.saturating_duration_since(t));
        h.doubt.sum = 0.0;
        if matches!(status, AttemptStatus::Ok | AttemptStatus::Error) {
            h.doubt.pause = (2 * h.doubt.pause.max(PAUSE)).min(PAUSE_MOST);
            if h.unproven() {
                h.probed = false;
                self.alive(now, id);
                self.fleet.endpoints.entry(id).and_modify(|h| h.probed = true);
            }
        } else {
            h.doubt.pause = Duration::ZERO;
            self.strike(now, id, STRIKES, Sign::unconnected(&self.settings, waited));
        }
    }
}
