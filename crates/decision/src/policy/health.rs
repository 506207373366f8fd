//! Health: what counts against an endpoint, when it is out, and what leads it back.

use crate::interface::*;
use crate::module::{DecisionModule, OUT};
use crate::state::{Endpoint, Role, Sign, Try, SURE, USUAL};

/// This much evidence in a row, without a sign of life between, takes an endpoint out.
pub(crate) const STRIKES: f64 = 2.0;
/// A parent is out when this part of about the last OWED attempts that named it stayed overdue, and that is
/// so many times as much as at other parents.
const OWING: f64 = 0.2;
const OWED: f64 = 24.0;
const USUALLY: f64 = 3.0;
/// A cache is out when this part of about its last FAULTS requests met errors that others did not give.
pub(crate) const FAULTY: f64 = 0.4;
pub(crate) const FAULTS: f64 = 8.0;
/// From so many dead parents of a hub, and one in so many of it, on, the whole hub is held to have restarted.
const HUB_LEAST: usize = 2;
const HUB_PART: usize = 3;
/// An endpoint that has answered nobody for this long is not merely jammed.
const SILENT: Duration = Duration::from_secs(2);

impl DecisionModule {
    /// An attempt took far longer than its like. Whichever of cache and parent has answered somebody since
    /// it was sent is not to blame; if both have, nobody is. Covers hangs, cuts and long pauses of either.
    pub(crate) fn blame(&mut self, now: Timestamp, id: RequestId, t: &Try) -> bool {
        let lives = |h: Option<&Endpoint>| h.is_none_or(|h| h.last_ok > t.sent);
        let parent = t.source.and_then(|s| self.fleet.endpoints.get(&s));
        let parent = parent.filter(|h| h.role == Role::Parent);
        let (endpoint, weight) = match (lives(self.fleet.endpoints.get(&t.endpoint)), lives(parent)) {
            (false, _) => (t.endpoint, 1.0),
            (true, false) => (t.source.unwrap_or(t.endpoint), 0.7),
            (true, true) => return false,
        };
        let silence = self.fleet.endpoints.get(&endpoint).map_or(0.0, |h| h.silence(now, t.sent));
        self.strike(now, endpoint, weight * silence, Sign::Slow);
        let sure = silence >= SURE || self.fleet.endpoints.get(&endpoint).is_some_and(|h| !h.up());
        self.avoid(id, Some(endpoint).filter(|_| sure));
        sure
    }

    /// An attempt that named a parent was long overdue, or was served. A hit at the cache says nothing of
    /// the parent, and where hits are not told from fills each looks like a sign of its life. So a parent
    /// is also out when many more of its attempts stay overdue than of other parents': that alone is no jam
    /// behind them all.
    pub(crate) fn owe(&mut self, now: Timestamp, t: &Try, overdue: bool) {
        let untold = self.settings.cache_status_reporting == CacheStatusReporting::None;
        let Some(parent) = t.source.filter(|s| untold && self.is_parent(*s)) else { return };
        let others = || self.fleet.alike(Role::Parent).filter(|h| h.entry.id != parent);
        let spare = others().any(Endpoint::up);
        let usual = others().map(|h| h.owing).sum::<f64>() / others().count().max(1) as f64;
        let Some(h) = self.fleet.endpoints.get_mut(&parent) else { return };
        // While it is out only trials name it, and each weighs more.
        let step = if overdue && h.out.is_some() { 0.25 } else { 1.0 / OWED };
        h.owing += (f64::from(u8::from(overdue)) - h.owing) * step;
        if overdue && spare && h.owing > OWING && h.owing > USUALLY * usual {
            self.strike(now, parent, STRIKES, Sign::Slow);
        }
    }

    /// A sign of life: what was held against the endpoint is void; one seen dead comes back cold.
    pub(crate) fn alive(&mut self, now: Timestamp, id: EndpointId) {
        let Some(h) = self.fleet.endpoints.get_mut(&id).filter(|h| !h.unproven()) else { return };
        h.answers = 1.0 + h.answers * (-secs(now.saturating_duration_since(h.last_ok)) / secs(USUAL)).exp();
        (h.strikes, h.last_ok, h.trial) = (0.0, now, false);
        h.cold_since = h.cold_since.max(std::mem::take(&mut h.died).then_some(now));
        h.faults *= if h.out.is_some() { 0.5 } else { 1.0 - 1.0 / FAULTS };
        if h.out.is_some() {
            h.owing *= 0.8;
            h.backoff = OUT;
            // One that fails most requests answers some: it stays out until several trials in a row succeed.
            h.out = (h.faults > FAULTY || h.owing > OWING / 2.0).then_some(now + OUT);
        }
    }

    /// Evidence against an endpoint; enough of it takes the endpoint out until a trial succeeds.
    pub(crate) fn strike(&mut self, now: Timestamp, id: EndpointId, weight: f64, sign: Sign) {
        let Some(h) = self.fleet.endpoints.get(&id).filter(|h| h.role != Role::Origin) else { return };
        // A jam looks like dead endpoints: on slowness alone no more than half of a kind are taken out, but a
        // endpoint that has answered nobody for long is (a location or hub that falls silent as a whole).
        let out = self.fleet.alike(h.role).filter(|x| !x.up()).count();
        let silent = now > h.last_ok + SILENT && h.silence(now, h.last_ok) > SURE;
        let jam = sign == Sign::Slow && !silent && (out + 1) * 2 > self.fleet.alike(h.role).count().max(2);
        let Some(h) = self.fleet.endpoints.get_mut(&id) else { return };
        h.strikes += weight;
        let (zone, parent) = (h.entry.zone, h.role == Role::Parent);
        let died = sign == Sign::Dead && (parent || h.strikes >= STRIKES);
        if h.up() && h.strikes >= STRIKES && !jam {
            h.out = Some(now + h.backoff);
        } else if h.out.is_some_and(|t| now >= t) {
            h.backoff = (h.backoff * 2).min(8 * OUT);
            h.out = Some(now + h.backoff);
        }
        if died {
            self.chill(id);
        }
        if died && parent {
            self.judge_hub(zone);
        }
    }

    /// A hub of which enough parents are seen dead restarts as a whole. Where that would leave hardly any
    /// parent anywhere, none of them is: what is behind them fails.
    fn judge_hub(&mut self, zone: u16) {
        let dead = |h: &Endpoint| (h.entry.id, h.entry.zone == zone, h.died);
        let parents: Vec<_> = self.fleet.alike(Role::Parent).map(dead).collect();
        let hub = parents.iter().filter(|p| p.1).count();
        let here = parents.iter().filter(|p| p.1 && p.2).count();
        let whole = here >= HUB_LEAST && here * HUB_PART >= hub;
        let gone = parents.iter().filter(|p| p.2 || whole && p.1).count();
        for (id, in_hub, _) in &parents {
            if parents.len() > HUB_PART && gone * 5 > parents.len() * 4 {
                self.fleet.endpoints.entry(*id).and_modify(|h| h.died = false);
            } else if whole && *in_hub {
                self.chill(*id);
            }
        }
    }

    /// Held to be cold from its next answer on.
    pub(crate) fn chill(&mut self, id: EndpointId) {
        let Some(h) = self.fleet.endpoints.get_mut(&id).filter(|h| !h.died) else { return };
        (h.died, h.phase, h.slot) = (true, None, Timestamp::ZERO);
        self.chilled.insert(id);
    }
}
