//! Which endpoint a request goes to.

use crate::interface::*;
use crate::module::DecisionModule;
use crate::policy::fills::FILL_ROOM;
use crate::state::{Endpoint, Open, Plan, Role};

/// A request leaves its drawn cache for a stand-in emptier than this part of that; it costs a fill.
const SPILL: f64 = 0.2;

impl DecisionModule {
    /// Whether the rule on effects lets this request go to this endpoint now.
    fn lawful(&self, now: Timestamp, o: &Open, h: &Endpoint) -> bool {
        let c = self.settings.class(&o.r);
        let ran = o.ran.filter(|_| c.idempotency != Idempotency::Idempotent);
        let Some((at, first)) = ran else { return true };
        let first = self.fleet.endpoints.get(&first).map(|f| &f.entry);
        let scope = match c.scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.is_some_and(|f| f.zone == h.entry.zone),
            DeduplicationScope::Cell => first.is_some_and(|f| f.cell == h.entry.cell),
        };
        // A tenth of the window is left for the way there.
        c.idempotency == Idempotency::WithKey && scope && now + divide_to_micros(c.window, 10) < at + c.window
    }

    pub(crate) fn plan(&self, now: Timestamp, o: &Open) -> Option<Plan> {
        let mut order = self.order(o.key, Role::Own);
        order.retain(|h| self.lawful(now, o, h));
        let work = self.mean(&o.r);
        let safe = self.settings.class(&o.r).idempotency == Idempotency::Idempotent;
        let up: Vec<&Endpoint> = order.iter().copied().filter(|h| h.up()).collect();
        let plan = |h: &Endpoint, i: usize, trial: bool| {
            let home = up.first().copied().filter(|_| i > 0);
            let source = self.source(now, o, h, home);
            let (endpoint, retention) = (h.entry.id, self.rank(o, i));
            Some(Plan(endpoint, source, retention, trial))
        };
        // An endpoint that is out, due for its trial and ahead of home: the request leads it back in.
        let ahead = order.iter().take_while(|h| !h.up());
        let mut due = ahead.filter(|h| h.trial_due(now) && self.admits(now, h, work));
        if let Some(h) = due.next().filter(|_| o.tries.is_empty() && safe) {
            return plan(h, 0, true);
        }
        let level = self.counts.levels.get(&o.key).map_or(0, |l| l.0);
        let span = ((2usize << level.min(20)) - 1).min(up.len()).max(1);
        let drawn = (o.draw % span as u64) as usize;
        let again =
            o.tries.last().filter(|_| o.lost).and_then(|t| up.iter().position(|h| h.entry.id == t.endpoint));
        let first = again.unwrap_or(drawn * usize::from(o.tries.is_empty()));
        let busy = o.tries.iter().filter(|t| t.out && !o.lost);
        let out: Vec<EndpointId> = busy.map(|t| t.endpoint).collect();
        // The drawn cache, then the rest of the order as stand-ins; last, one that was tried before.
        let ring: Vec<usize> = (first..up.len()).chain(0..first).collect();
        let fits = |i: usize| !out.contains(&up[i].entry.id) && self.admits(now, up[i], work);
        let fresh = |i: usize| !o.bad.contains(&up[i].entry.id) && fits(i);
        let least = |i: usize| if i == first { 0.0 } else { 1.0 - SPILL };
        let roomy = |i: &usize| fresh(*i) && self.room(now, &o.r, up[*i]) >= least(*i);
        if let Some(&i) = ring.iter().find(|i| roomy(i)) {
            return plan(up[i], i, false);
        }
        let any = ring.iter().find(|i| fresh(**i));
        let spent = !up.is_empty() && safe && any.is_none();
        // No cache is in, or cold ones may get no more: past them, if allowed, to parents that have room.
        if self.settings.bypass_edge_cache && (up.is_empty() || spent) {
            let mut past: Vec<_> = self.order(o.key, Role::Parent).into_iter().filter(|h| h.up()).collect();
            let origin = self.order(o.key, Role::Origin);
            let spare = self.spared(now, o);
            past.extend(origin.iter().filter(|_| !spent && !spare));
            past.retain(|h| self.lawful(now, o, h));
            past.retain(|h| !o.bad.contains(&h.entry.id) && self.admits(now, h, work));
            let least = if spent { FILL_ROOM } else { 0.0 };
            if let Some(h) = past.iter().find(|h| self.room(now, &o.r, h) >= least) {
                let source = origin.first().filter(|_| !spare).map(|o| o.entry.id);
                return Some(Plan(h.entry.id, source, 0, false));
            }
            if safe && !past.is_empty() {
                return None;
            }
        }
        match any.or(ring.iter().find(|i| fits(**i))) {
            Some(_) if any.is_some() && safe => return None,
            Some(&i) => return plan(up[i], i, false),
            None => {}
        }
        let free = |h: &&&Endpoint| !out.contains(&h.entry.id) && self.admits(now, h, work);
        order.iter().find(free).and_then(|h| plan(h, 0, false))
    }

    /// Rank of the copy: lowest for extra copies (DESIGN) and for what was not seen lately (departure: an
    /// object asked for once must not push out one that is asked for again).
    fn rank(&self, o: &Open, index: usize) -> u8 {
        let seen = self.counts.seen.iter().any(|s| s.contains(&o.key));
        match (o.write, index > 0 || !seen) {
            (true, _) => 0,
            (_, true) => 1,
            _ => 2,
        }
    }
}
