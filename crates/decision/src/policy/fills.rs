//! Where a miss is filled from.

use crate::interface::*;
use crate::module::DecisionModule;
use crate::state::{Endpoint, Open, Role};

/// A fill goes to parents that are emptier than this part of what its aim leaves: it has a way to go yet, and
/// all routers learn late what all of them sent.
pub(crate) const FILL_ROOM: f64 = 0.7;

impl DecisionModule {
    /// Where a miss is filled from: home for a widened object's extra copies, else the home parent, else
    /// what stands in for it.
    pub(crate) fn source(
        &self,
        now: Timestamp,
        o: &Open,
        at: &Endpoint,
        home: Option<&Endpoint>,
    ) -> Option<EndpointId> {
        let work = self.mean(&o.r);
        let ok = |h: &&Endpoint| {
            h.entry.id != at.entry.id && !o.bad.contains(&h.entry.id) && self.admits(now, h, work)
        };
        let origin = self.order(o.key, Role::Origin);
        if o.write && !origin.is_empty() {
            return origin.first().map(|h| h.entry.id);
        }
        let wide =
            self.settings.sibling_caches != SiblingCaches::None && self.counts.levels.contains_key(&o.key);
        let near = home.filter(|h| wide && ok(h));
        let parents = self.order(o.key, Role::Parent);
        let leads = |h: &&&Endpoint| h.up() || (h.trial_due(now) && o.tries.is_empty());
        // A sibling elsewhere may have it: the home of the object at its location.
        let any = self.settings.sibling_caches == SiblingCaches::Any && !o.write;
        let elsewhere = || if any { self.order(o.key, Role::Elsewhere) } else { Vec::new() };
        let far = || elsewhere().into_iter().find(|h| h.up() && ok(h));
        let parent = parents.iter().filter(leads).copied().find(|h| ok(h));
        // Parents without room: fills would only come late, and hold the room of those in time. What is held
        // is served without. A parent that refused one: what elsewhere has comes from there.
        if near.is_none() && parent.is_some_and(|h| h.up() && self.room(now, &o.r, h) < FILL_ROOM) {
            return None;
        }
        if let Some(sibling) = (near.is_none() && o.refused && o.tries.len() < 2).then(far).flatten() {
            return Some(sibling.entry.id);
        }
        let first = near.or(parent).or_else(far);
        let spared = self.spared(now, o);
        let last = origin.into_iter().chain(parents.iter().copied()).find(|h| ok(h) && !spared);
        first.or(last).map(|h| h.entry.id)
    }
}
