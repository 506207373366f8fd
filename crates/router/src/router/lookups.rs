//! Lookups: choosing an endpoint for a caller that sends the request itself, and handling the
//! results of lookups at another router whose routing this one follows.

use super::open_request::NewRequest;
use super::{Router, MAX_OPEN_REQUESTS};
use crate::hint_follower::{HintedEndpoint, LookupResult};
use crate::messages::{Command, FillHint, RoutingHint, RoutingMode, Target};
use crate::metrics::CountedEvent;
use crate::request::RequestedObject;
use hollymux_decision::{CacheFill, EndpointId, Event, RequestId, Timestamp};
use std::net::SocketAddr;

impl Router {
    /// The address of the ready endpoint with a name, which is matched case-insensitively. `None`
    /// if no ready endpoint has the name or its address is unknown.
    pub fn ready_address(&self, uid: &[u8]) -> Option<SocketAddr> {
        self.endpoints.address(self.endpoints.ready_by_name(uid)?)
    }

    /// Chooses an endpoint for a caller that sends the request itself. The attempt counts as in
    /// flight until the latency objective of its class has passed. Its outcome stays unknown, and
    /// nothing is learnt from it.
    pub fn lookup(
        &mut self,
        now: Timestamp,
        requested: RequestedObject,
        commands: &mut Vec<Command>,
    ) -> LookupResult<Target> {
        let class = requested.class;
        self.counters.lookups += 1;
        let result = self.find_target(now, requested, commands);
        let event = match &result {
            LookupResult::Endpoint(_) => CountedEvent::Served,
            LookupResult::Rejected => CountedEvent::Rejected,
            LookupResult::Failed => CountedEvent::Failed,
        };
        self.count_event(class, event);
        result
    }

    /// Executes a lookup without counting its result.
    fn find_target(
        &mut self,
        now: Timestamp,
        requested: RequestedObject,
        commands: &mut Vec<Command>,
    ) -> LookupResult<Target> {
        let write_id = requested.request_id;
        if let Some(write) = write_id.and_then(|id| self.pending_writes.get(id)) {
            return self.repeat_lookup(write.endpoint);
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

    /// The result of a repeated lookup for a non-idempotent request. Only the endpoint that was
    /// named before may get the request, so the lookup is rejected while that endpoint is not
    /// ready, and always if this router sent the request itself.
    fn repeat_lookup(&self, named: Option<EndpointId>) -> LookupResult<Target> {
        let target = named.and_then(|endpoint| self.write_target(endpoint));
        target.map_or(LookupResult::Rejected, LookupResult::Endpoint)
    }

    /// Whether there is room for one more lookup. Lookups cost their sender nothing, so they must
    /// not use up the room of requests that are sent to this router.
    fn has_room_for_lookup(&self, write_id: Option<u64>) -> bool {
        let has_room_for_write = write_id.is_none() || self.pending_writes.has_room_for_lookups();
        self.in_flight.len() < MAX_OPEN_REQUESTS && has_room_for_write
    }

    /// Opens a request without a client for the decision module to choose an endpoint, and closes
    /// it again. The lookup fails if the decision module chooses none and doesn't reject the
    /// request.
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
            self.release_timers(request, commands);
        }
        result.unwrap_or(LookupResult::Failed)
    }

    /// The target of a non-idempotent request whose endpoint was named before. The request runs at
    /// the origin, so the origin is the fill source if one is ready. `None` if the endpoint is not
    /// ready.
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

    /// Handles the result of a lookup at another router. The named endpoint is checked right before
    /// the request is sent: the lookup counts as failed if the endpoint is not ready or is at
    /// another address by now.
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

    /// The endpoint and the fill that a hint names. `None` if the endpoint is not ready at the
    /// address of the hint, or the fill source is not ready.
    fn resolve_hint(&self, hint: &RoutingHint) -> Option<HintedEndpoint> {
        let endpoint = self.endpoints.ready_by_name(hint.uid.as_bytes())?;
        if self.endpoints.address(endpoint) != Some(hint.addr) {
            return None;
        }
        let fill = self.resolve_fill(&hint.fill)?;
        Some(HintedEndpoint { endpoint, fill })
    }

    /// The fill that a hint describes. `None` if its source is not ready.
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
