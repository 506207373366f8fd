//! Lookups: endpoints that are named to somebody who sends the request himself, and the results of
//! lookups at another router that this one follows.

use super::open_request::NewRequest;
use super::{Router, MAX_OPEN_REQUESTS};
use crate::hint_follower::{HintedEndpoint, LookupResult};
use crate::messages::{Command, FillHint, RoutingHint, RoutingMode, Target};
use crate::metrics::CountedEvent;
use crate::request::RequestedObject;
use hollymux_decision::{CacheFill, EndpointId, Event, RequestId, Timestamp};
use std::net::SocketAddr;

impl Router {
    /// The address of a ready endpoint by its name, in upper or lower case.
    pub fn ready_address(&self, uid: &[u8]) -> Option<SocketAddr> {
        self.endpoints.address(self.endpoints.ready_by_name(uid)?)
    }

    /// Chooses an endpoint for somebody who sends the request himself. The attempt counts as in
    /// flight until the latency objective of its class has passed; how it ends is not known, and
    /// nothing is learnt from it.
    pub fn lookup(
        &mut self,
        now: Timestamp,
        requested: RequestedObject,
        commands: &mut Vec<Command>,
    ) -> LookupResult<Target> {
        let class = requested.class;
        self.counters.lookups += 1;
        let result = self.look_up(now, requested, commands);
        let event = match &result {
            LookupResult::Endpoint(_) => CountedEvent::Served,
            LookupResult::Rejected => CountedEvent::Rejected,
            LookupResult::Failed => CountedEvent::Failed,
        };
        self.count(class, event);
        result
    }

    fn look_up(
        &mut self,
        now: Timestamp,
        requested: RequestedObject,
        commands: &mut Vec<Command>,
    ) -> LookupResult<Target> {
        let write_id = requested.request_id;
        if let Some(write) = write_id.and_then(|id| self.pending_writes.get(id)) {
            return self.name_again(write.endpoint);
        }
        if !self.has_room_for_lookup(write_id) {
            return LookupResult::Rejected;
        }
        let result = self.choose_endpoint(now, requested, commands);
        if let (Some(id), LookupResult::Endpoint(target)) = (write_id, &result) {
            if !self.pending_writes.add(now, id, Some(target.endpoint)) {
                return LookupResult::Rejected;
            }
        }
        result
    }

    /// A non-idempotent request has one endpoint for good: it is named again while it is ready, and
    /// no other is.
    fn name_again(&self, named: Option<EndpointId>) -> LookupResult<Target> {
        let target = named.and_then(|endpoint| self.write_target(endpoint));
        target.map_or(LookupResult::Rejected, LookupResult::Endpoint)
    }

    /// Lookups cost their sender nothing: they must not use up the room of requests that are sent
    /// to this router.
    fn has_room_for_lookup(&self, write_id: Option<u64>) -> bool {
        let has_room_for_write = write_id.is_none() || self.pending_writes.has_room_for_lookups();
        self.in_flight.len() < MAX_OPEN_REQUESTS && has_room_for_write
    }

    /// Opens a request without a client, for which the decision module names an endpoint or none.
    fn choose_endpoint(
        &mut self,
        now: Timestamp,
        requested: RequestedObject,
        commands: &mut Vec<Command>,
    ) -> LookupResult<Target> {
        let deadline = now + self.settings.classes[usize::from(requested.class)].deadline;
        let new = NewRequest { mode: RoutingMode::Decide, requested, client: None, deadline };
        let request = self.open_request(now, new, commands);
        let result = self.lookup_result.take();
        let is_undecided = self.open_requests.remove(&request).is_some();
        if is_undecided || matches!(result, Some(LookupResult::Endpoint(_))) {
            self.decide(now, RoutingMode::Decide, Event::Withdrawn { request }, commands);
        }
        result.unwrap_or(LookupResult::Failed)
    }

    /// The target of a non-idempotent request that was named before: it runs at the origin, through
    /// that endpoint.
    fn write_target(&self, endpoint: EndpointId) -> Option<Target> {
        let origin = self.settings.origin_kind.and_then(|kind| self.endpoints.first_ready_of_kind(kind));
        let fill = CacheFill {
            source: origin,
            retention: 0,
            max_age: None,
            coalesce: self.settings.coalesce_fills,
            stale_while_revalidate: false,
            only_if_cached: false,
        };
        self.endpoints.target(endpoint, fill)
    }

    /// A lookup at another router ended. Its endpoint is checked right before sending: one that is
    /// not ready, or is at another address by now, counts as no result.
    pub(super) fn on_lookup_result(
        &mut self,
        now: Timestamp,
        request: RequestId,
        result: LookupResult<RoutingHint>,
        commands: &mut Vec<Command>,
    ) {
        let result = match result {
            LookupResult::Endpoint(hint) => {
                self.resolve_hint(&hint).map_or(LookupResult::Failed, LookupResult::Endpoint)
            }
            LookupResult::Rejected => LookupResult::Rejected,
            LookupResult::Failed => LookupResult::Failed,
        };
        let Some(follower) = &mut self.hint_follower else { return };
        let mut actions = Vec::new();
        follower.on_lookup_result(now, request, result, &mut actions);
        self.execute_actions(now, RoutingMode::FollowHint, actions, commands);
    }

    /// The endpoint that a hint names, if it is ready at that address, and the fill, if its source
    /// is ready.
    fn resolve_hint(&self, hint: &RoutingHint) -> Option<HintedEndpoint> {
        let endpoint = self.endpoints.ready_by_name(hint.uid.as_bytes())?;
        if self.endpoints.address(endpoint) != Some(hint.addr) {
            return None;
        }
        let fill = self.resolve_fill(&hint.fill)?;
        Some(HintedEndpoint { endpoint, fill })
    }

    fn resolve_fill(&self, hint: &FillHint) -> Option<CacheFill> {
        let source = match &hint.source {
            Some(uid) => Some(self.endpoints.ready_by_name(uid.as_bytes())?),
            None => None,
        };
        Some(CacheFill {
            source,
            retention: hint.retention,
            max_age: hint.max_age,
            coalesce: hint.coalesce && self.settings.coalesce_fills,
            stale_while_revalidate: hint.stale_while_revalidate,
            only_if_cached: hint.only_if_cached,
        })
    }
}
