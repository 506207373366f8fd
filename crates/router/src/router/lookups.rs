//! Lookups: boxes that are chosen for somebody who goes there himself, and lookups at another router that are followed.

use super::*;

impl Router {
    /// The address of a box that takes work, by its name in any case.
    pub fn ready_address(&self, uid: &[u8]) -> Option<SocketAddr> {
        let mut named = self.members.values().filter(|m| m.0.as_bytes().eq_ignore_ascii_case(uid));
        named.find(|m| takes_work(m))?.1.addr
    }

    /// Chooses a box for somebody who will go there himself. It counts as sent until its aim has passed; what
    /// becomes of it is not known and teaches nothing.
    pub fn lookup(
        &mut self,
        now: Timestamp,
        wanted: RequestedObject,
        commands: &mut Vec<Command>,
    ) -> LookupResult<Target> {
        let class = wanted.class;
        let found = self.name(now, wanted, commands);
        let end = match &found {
            LookupResult::Endpoint(_) => CountedEvent::Served,
            LookupResult::Rejected => CountedEvent::Rejected,
            LookupResult::Failed => CountedEvent::Failed,
        };
        self.count(class, end);
        found
    }

    fn name(
        &mut self,
        now: Timestamp,
        wanted: RequestedObject,
        commands: &mut Vec<Command>,
    ) -> LookupResult<Target> {
        self.counters.lookups += 1;
        let once = wanted.request_id;
        if let Some(known) = once.and_then(|rid| self.filings.by_id.get(&rid)) {
            // One target for good: named again while it takes work, else nobody is.
            let endpoint = known.1.filter(|h| self.members.get(h).is_some_and(takes_work));
            return endpoint
                .and_then(|h| self.filing_target(h))
                .map_or(LookupResult::Rejected, LookupResult::Endpoint);
        }
        // Lookups cost their sender nothing: they must not use up what requests on the other front need.
        let room = self.out.len() < OPEN_MOST
            && (once.is_none() || self.filings.by_id.len() < self.filings.most / 2);
        if !room {
            return LookupResult::Rejected;
        }
        let class = wanted.class;
        let deadline = now + self.settings.classes[usize::from(class)].deadline;
        let id = self.begin(now, deadline, RoutingMode::Decide, wanted, None, commands);
        let found = self.found.take();
        if self.open.remove(&id).is_some() || matches!(found, Some(LookupResult::Endpoint(_))) {
            self.drive(now, RoutingMode::Decide, Event::Withdrawn { request: id }, commands);
        }
        let found = found.unwrap_or(LookupResult::Failed);
        if let (Some(rid), LookupResult::Endpoint(target)) = (once, &found) {
            if !self.filings.add(now, rid, Some(target.endpoint)) {
                return LookupResult::Rejected;
            }
        }
        found
    }

    /// The target of a request that may not be repeated: what it is and that it runs at the origin.
    fn filing_target(&self, endpoint: EndpointId) -> Option<Target> {
        let kind = self.settings.origin_kind;
        let origin = self.members.iter().filter(|(_, m)| takes_work(m) && Some(m.1.entry.kind) == kind);
        let source = origin.map(|(id, _)| *id).min();
        let fill = CacheFill {
            source,
            retention: 0,
            max_age: None,
            coalesce: self.settings.coalesce_fills,
            stale_while_revalidate: false,
            only_if_cached: false,
        };
        self.target(endpoint, fill)
    }

    /// The member list is asked right before sending: an answer that names what takes no work, or stands
    /// elsewhere by now, is no answer.
    pub(super) fn on_found(
        &mut self,
        now: Timestamp,
        id: RequestId,
        found: LookupResult<RoutingHint>,
        commands: &mut Vec<Command>,
    ) {
        let found = match found {
            LookupResult::Endpoint(hint) => {
                self.heed(&hint).map_or(LookupResult::Failed, LookupResult::Endpoint)
            }
            LookupResult::Rejected => LookupResult::Rejected,
            LookupResult::Failed => LookupResult::Failed,
        };
        let Some(follow) = &mut self.follow else { return };
        let mut actions = Vec::new();
        follow.found(now, id, found, &mut actions);
        self.carry(now, RoutingMode::FollowHint, actions, commands);
    }

    fn heed(&self, hint: &RoutingHint) -> Option<(EndpointId, CacheFill)> {
        let by_name = |uid: &str| {
            let mut members = self.members.iter().filter(|(_, m)| m.0.eq_ignore_ascii_case(uid));
            members.find(|(_, m)| takes_work(m))
        };
        let (endpoint, _) = by_name(&hint.uid).filter(|(_, m)| m.1.addr == Some(hint.addr))?;
        let told = &hint.fill;
        let source = match &told.source {
            Some(name) => Some(*by_name(name)?.0),
            None => None,
        };
        let coalesce = told.coalesce && self.settings.coalesce_fills;
        let fill = CacheFill {
            source,
            retention: told.retention,
            max_age: told.max_age,
            coalesce,
            stale_while_revalidate: told.stale_while_revalidate,
            only_if_cached: told.only_if_cached,
        };
        Some((*endpoint, fill))
    }
}
