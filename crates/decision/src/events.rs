//! Events in, actions out: each event goes to the decision that it is for.

use crate::interface::*;
use crate::module::{DecisionModule, FLEET, OUT, TABLE};

const RESUBSCRIBE: u64 = u64::MAX;
/// After a call for the endpoint list failed, the next one comes after this long.
const RESUBSCRIBE_AFTER: Duration = Duration::from_secs(1);
/// Endpoints that are held to be out are logged no more often than this.
const LOG_EVERY: Duration = Duration::from_secs(1);

impl DecisionModule {
    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event, acts: &mut Vec<Action>) {
        match event {
            Event::EndpointList { kind, entries } => self.on_hosts(kind, entries, acts),
            Event::EndpointListFailed => acts.push(Action::timer(RESUBSCRIBE_AFTER, RESUBSCRIBE)),
            Event::Request(r) => self.on_request(now, r, acts),
            Event::Started { request, attempt } => {
                if let Some(o) = self.open.get_mut(&request) {
                    o.stream = o.tries.get(usize::from(attempt)).is_some_and(|t| t.out);
                }
            }
            Event::AttemptOutcome(o) => self.on_outcome(now, o, acts),
            Event::Withdrawn { request } => self.finish(request, acts),
            Event::Timer { token: RESUBSCRIBE } => acts.push(Action::Subscribe),
            Event::Timer { token } => self.on_timer(now, token, acts),
            Event::Purged(p) => self.purges.add(now, &p, TABLE),
            Event::Probed { endpoint, status } => self.on_probed(now, endpoint, status),
        }
    }

    fn on_hosts(&mut self, kind: ListKind, entries: Vec<EndpointEntry>, acts: &mut Vec<Action>) {
        for id in self.fleet.apply(&self.settings, kind, entries) {
            let Some(h) = self.fleet.endpoints.get_mut(&id) else { continue };
            // A start is told: it is cold from then, and what was held against it is void.
            h.cold_since = h.cold_since.max((h.entry.started > Timestamp::ZERO).then_some(h.entry.started));
            (h.strikes, h.out, h.backoff) = (0.0, None, OUT);
            (h.trial, h.died, h.phase, h.slot) = (false, false, None, Timestamp::ZERO);
            if h.cold_since.is_some() {
                self.chilled.insert(id);
            }
        }
        self.fleet.forget(FLEET);
        if self.settings.discovery == Discovery::Ask && !self.subscribed {
            self.subscribed = true;
            acts.push(Action::Subscribe);
        }
    }

    /// Says which endpoints are held to be out, at most once a second.
    pub(crate) fn log(&mut self, now: Timestamp, acts: &mut Vec<Action>) {
        if now < self.logged + LOG_EVERY {
            return;
        }
        let out = self.fleet.endpoints.values().filter(|h| h.entry.state == EndpointState::Ready && !h.up());
        let names: Vec<String> =
            out.map(|h| format!("{:x} ({:.1} failures)", h.entry.id.0, h.strikes)).collect();
        self.logged = now;
        if !names.is_empty() {
            acts.push(Action::Log(format!("out: {}", names.join(", "))));
        }
    }
}
