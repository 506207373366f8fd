//! What the module makes of what it has learnt: work of requests, capacity and load of endpoints, when an attempt is
//! overdue. Plain arithmetic; nothing here decides.

use crate::interface::*;
use crate::module::{DecisionModule, LEARN};
use crate::state::{Endpoint, Learnt, PurgeHistory, Role, FILL_MEMORY, MEMORY};

/// An attempt is overdue when this part of those answered take longer; more where answers get lost.
const TAIL: f64 = 0.05;
const TAIL_MOST: f64 = 0.4;
/// A cache is full for a class when this part of its aim is what a transfer would take there.
const ROOM: f64 = 0.9;
/// One's own load at an endpoint counts as this many requests before its like's mean is trusted more.
const TRUST: f64 = 12.0;
/// Answers that take more of their aim than this on average show a bottleneck that is not seen.
const TARDY: f64 = 0.5;

impl DecisionModule {
    /// This request asks that endpoint or source no more.
    pub(crate) fn avoid(&mut self, id: RequestId, endpoint: Option<EndpointId>) {
        if let Some(o) = self.open.get_mut(&id) {
            o.bad.extend(endpoint);
        }
    }

    /// The attempt has been out for as long as its like take to be sent: it is a fill, or waits like one.
    pub(crate) fn on_filling(&mut self, now: Timestamp, id: RequestId, n: usize) {
        let t = self.open.get_mut(&id).and_then(|o| o.tries.get_mut(n)).filter(|t| t.out);
        let Some(t) = t else { return };
        if let Some(h) = t.source.and_then(|s| self.fleet.endpoints.get_mut(&s)) {
            t.filling = true;
            h.hold(now, FILL_MEMORY, true);
        }
    }

    /// The mean sending time of its class: what the cold rule counts an attempt as.
    pub(crate) fn mean(&self, r: &Request) -> f64 {
        self.learnt[usize::from(r.class)].mean()
    }

    /// Its own sending time where that is told, else its class's as far as answers show it.
    pub(crate) fn work(&self, r: &Request) -> f64 {
        let sent = self.learnt[usize::from(r.class)].sent;
        self.settings.told_work(r).or(sent).unwrap_or(self.mean(r)).max(0.001)
    }

    /// What a latency is measured by: the sending time and a little, or the class's aim.
    pub(crate) fn scale(&self, r: &Request) -> f64 {
        let latency_objective = secs(self.settings.class(r).latency_objective).max(0.001);
        self.settings.told_work(r).map_or(latency_objective, |w| w + 0.2 * latency_objective)
    }

    /// The largest mean sending time of a class: the most that one request weighs on a cold endpoint.
    pub(crate) fn unit(&self) -> f64 {
        self.learnt.iter().map(Learnt::mean).fold(0.001, f64::max)
    }

    /// An endpoint's capacity in seconds of sending per second: its listed size, or else what its like bear.
    pub(crate) fn size(&self, h: &Endpoint) -> f64 {
        if self.settings.weights == ListedWeights::Size && h.entry.weight > 0.0 {
            return h.entry.weight;
        }
        let peers = || self.fleet.alike(Role::Own).filter(|p| p.cold_since.is_none());
        let all: f64 = peers().flat_map(|p| &p.ledger).map(|l| l.2).sum();
        all / peers().count().max(1) as f64 / secs(self.settings.overload_window).max(0.001)
    }

    /// What an endpoint can do by now at the least, in seconds of sending per second, and the multiple at which it
    /// falls over; none if it is warm. One that was seen dead starts anew when it answers.
    pub(crate) fn cold(&self, now: Timestamp, h: &Endpoint) -> Option<(f64, f64)> {
        let s = &self.settings;
        let (from, over, multiple) = match h.role {
            Role::Parent => (s.parent_warm_up_floor, s.parent_warm_up_period, s.parent_overload_multiple),
            Role::Origin => return None,
            _ => (s.warm_up_floor, s.warm_up_period, s.overload_multiple),
        };
        let age = if h.died { Duration::ZERO } else { now.saturating_duration_since(h.cold_since?) };
        let share = from + (1.0 - from) * micros_f64(age) / micros_f64(over.max(MICROSECOND));
        (age < over && multiple > 0.0).then(|| (share * self.size(h), multiple))
    }

    /// Overload: whether one more of its kind could still be sent in time at an endpoint, by what is in hand there
    /// against its size. A class that is worth little for its work has the least slack and is turned away
    /// first. Also covers a jammed link and a slow endpoint.
    pub(crate) fn room(&self, now: Timestamp, r: &Request, h: &Endpoint) -> f64 {
        let class = self.settings.class(r);
        let slack = class.latency_objective_stretch + secs(class.latency_objective) / self.work(r);
        let room = ROOM * (TARDY / h.tardy).min(1.0);
        1.0 - (self.crowd(now, h) - 1.0) / (room * slack - 1.0).max(0.1)
    }

    /// How far a transfer at an endpoint is slowed by others, with one more; 1 where sizes are not told. One's own
    /// are counted. Each other router is held to have as many there as this one has on average: at this
    /// endpoint as far as enough was sent there to tell, else at its like in proportion to size.
    pub(crate) fn crowd(&self, now: Timestamp, h: &Endpoint) -> f64 {
        if self.settings.weights != ListedWeights::Size || h.entry.weight <= 0.0 {
            return 1.0;
        }
        let over = if h.role == Role::Parent { FILL_MEMORY } else { MEMORY };
        let alike = || self.fleet.alike(h.role).filter(|x| x.up());
        let (load, size) =
            (alike().map(|x| x.load(now, over)).sum::<f64>(), alike().map(|x| x.entry.weight).sum::<f64>());
        let usual = load / size.max(h.entry.weight) * h.entry.weight;
        let own = h.load(now, over);
        let sample = own * secs(over) / self.unit();
        let each = usual + (own - usual) * sample / (sample + TRUST);
        let others = f64::from(self.sharing(h) - 1) * each;
        ((1.0 + f64::from(h.inflight) + others) / h.entry.weight).max(1.0)
    }

    /// Within this, in seconds, a request is in time.
    pub(crate) fn latency_objective(&self, r: &Request) -> f64 {
        let class = self.settings.class(r);
        secs(class.latency_objective) + class.latency_objective_stretch * self.work(r)
    }

    pub(crate) fn tardy(&mut self, r: &Request, id: EndpointId, latency: Duration) {
        let latency_objective = self.latency_objective(r);
        if let Some(h) = self.fleet.endpoints.get_mut(&id) {
            h.tardy += 0.05 * ((secs(latency) / latency_objective).min(2.0) - h.tardy);
        }
    }

    /// The part of answers that may take longer than the time allowed: as many as are lost, so that an
    /// overdue attempt is as likely lost as late.
    pub(crate) fn tail(&self) -> f64 {
        (self.lost / (1.0 - self.lost)).clamp(TAIL, TAIL_MOST)
    }

    /// One more attempt, lost with this likelihood.
    pub(crate) fn lose(&mut self, likely: f64) {
        self.lost += (likely - self.lost) / LEARN;
    }

    /// When an attempt is looked at: it has taken longer than nearly all of its like.
    pub(crate) fn overdue_after(&self, r: &Request) -> Duration {
        let slow = self.learnt[usize::from(r.class)].slow;
        span_from_secs((slow * self.scale(r) * 1.1).max(0.1))
    }

    /// The oldest copy that purges allow, until all older copies have gone by themselves.
    pub(crate) fn purge_bound(&self, now: Timestamp, r: &Request) -> Option<Duration> {
        let at = self.purges.latest(r);
        let open = at > Timestamp::ZERO && at + self.settings.purge_life() > now;
        open.then(|| PurgeHistory::oldest_copy(now, at))
    }

    pub(crate) fn is_parent(&self, id: EndpointId) -> bool {
        self.fleet.endpoints.get(&id).is_some_and(|h| h.role == Role::Parent)
    }
}
