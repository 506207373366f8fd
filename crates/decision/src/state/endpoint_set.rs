//! The known endpoints by identity and by role, and the attempts in flight at them.

use crate::interface::{
    AttemptOutcome, CacheStatus, EndpointEntry, EndpointId, EndpointState, ListKind, Settings,
};
use crate::state::endpoint::{AssignedWork, Endpoint, EndpointRole, FILL_LOAD_WINDOW, LOAD_WINDOW};
use crate::state::open_request::Attempt;
use crate::state::warm_up_budget::LeasedShares;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of routers that may be active, this one included.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActiveRouters {
    /// In all zones, at least 1.
    pub(crate) total: u32,
    /// In the own zone, at least 1.
    pub(crate) in_zone: u32,
}

/// The known endpoints: those of the latest list, and removed ones that are remembered.
#[derive(Debug, Default)]
pub(crate) struct EndpointSet {
    /// All known endpoints, removed ones included.
    by_id: BTreeMap<EndpointId, Endpoint>,
    /// Identities of the ready endpoints of each role, in ascending order.
    ready_by_role: BTreeMap<EndpointRole, Vec<EndpointId>>,
    /// Number of routers that use the endpoints in addition to those that the settings or the
    /// membership count, for instance a second process during a handover.
    pub(crate) additional_routers: u32,
    /// Number of possibly active routers by the membership of the cluster. `None`: the numbers of
    /// the settings apply.
    pub(crate) active_routers: Option<ActiveRouters>,
    /// Shares of warm-up budgets that were agreed with other routers. `None`: all routers have even
    /// shares.
    pub(crate) leased_shares: Option<LeasedShares>,
}

impl EndpointSet {
    /// The endpoint with this identity, removed ones included.
    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    /// Mutable access to the endpoint with this identity, removed ones included.
    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.by_id.get_mut(&id)
    }

    /// All endpoints that are not removed, in the order of their identities.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.by_id.values().filter(|endpoint| endpoint.entry.state != EndpointState::Gone)
    }

    /// The ready endpoints of a role, ejected ones included, in the order of their identities.
    pub(crate) fn ready(&self, role: EndpointRole) -> impl Iterator<Item = &Endpoint> {
        self.ready_by_role.get(&role).into_iter().flatten().filter_map(|id| self.by_id.get(id))
    }

    /// Whether the endpoint is a parent cache.
    pub(crate) fn is_parent(&self, id: EndpointId) -> bool {
        self.get(id).is_some_and(|endpoint| endpoint.role == EndpointRole::Parent)
    }

    /// The fill source of the attempt, if it is a parent cache.
    pub(crate) fn parent_source(&self, attempt: &Attempt) -> Option<EndpointId> {
        attempt.fill_source.filter(|source| self.is_parent(*source))
    }

    /// Whether the endpoint is known and ejected.
    pub(crate) fn is_ejected(&self, id: EndpointId) -> bool {
        self.get(id).is_some_and(|endpoint| !endpoint.is_available())
    }

    /// How strongly the endpoint's silence since `since` indicates a failure, 0 to 1. `None` if it
    /// has responded to any attempt since then or is not known.
    pub(crate) fn silence_evidence(&self, now: Timestamp, id: EndpointId, since: Timestamp) -> Option<f64> {
        let endpoint = self.get(id).filter(|endpoint| endpoint.last_response <= since)?;
        Some(endpoint.silence_evidence(now, since))
    }

    /// Whether the endpoint has responded to any attempt since `since`.
    pub(crate) fn has_responded_since(&self, id: EndpointId, since: Timestamp) -> bool {
        self.get(id).is_some_and(|endpoint| endpoint.last_response > since)
    }

    /// Applies entries of the endpoint list. Returns the endpoints that are new, have restarted, or
    /// are ready again after they were removed.
    pub(crate) fn apply(
        &mut self,
        settings: &Settings,
        kind: ListKind,
        entries: Vec<EndpointEntry>,
    ) -> Vec<EndpointId> {
        if kind != ListKind::Delta {
            self.mark_unlisted_as_gone(&entries);
        }
        let mut started = Vec::new();
        for entry in entries {
            let id = entry.id;
            if self.apply_entry(settings, entry) {
                started.push(id);
            }
        }
        self.rebuild_ready();
        started
    }

    /// Marks endpoints as removed that a complete list does not contain.
    fn mark_unlisted_as_gone(&mut self, entries: &[EndpointEntry]) {
        let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
        for (_, endpoint) in self.by_id.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            endpoint.entry.state = EndpointState::Gone;
        }
    }

    /// Applies one entry. Returns whether the endpoint is new, has restarted, or is ready again
    /// after it was removed.
    fn apply_entry(&mut self, settings: &Settings, entry: EndpointEntry) -> bool {
        let is_new = !self.by_id.contains_key(&entry.id);
        let (id, started_at, predecessor) = (entry.id, entry.started, entry.in_place_of);
        let endpoint = self.by_id.entry(id).or_insert_with(|| Endpoint::new(entry.clone()));
        let was_gone = endpoint.entry.state == EndpointState::Gone;
        let is_back = was_gone && entry.state == EndpointState::Ready;
        let has_restarted = started_at > endpoint.entry.started;
        endpoint.role = EndpointRole::of(settings, &entry);
        endpoint.entry = entry;
        endpoint.assign_needs_probe(settings);
        if is_new || is_back {
            self.inherit_load(id, predecessor, started_at);
        }
        is_new || is_back || has_restarted
    }

    /// Copies to an endpoint the work that was sent to its predecessor at the same address after
    /// `since`, the endpoint's start. Until the start was announced, that work reached the new
    /// endpoint, so that it counts against its warm-up budget.
    fn inherit_load(&mut self, id: EndpointId, predecessor: Option<EndpointId>, since: Timestamp) {
        let history = predecessor.and_then(|id| self.get(id)).map(|endpoint| endpoint.load_history.clone());
        if let (Some(history), Some(endpoint)) = (history, self.get_mut(id)) {
            endpoint.load_history.extend(history.into_iter().filter(|sent| sent.at >= since));
        }
    }

    /// Counts a sent attempt as in flight at its endpoint, and its work (`work`, in seconds) as
    /// sent to both the endpoint and the fill source. Drops work older than `window` from their
    /// histories.
    pub(crate) fn begin_attempt(&mut self, attempt: &Attempt, window: Duration, work: f64) {
        let now = attempt.sent_at;
        let oldest = now.saturating_sub(window);
        for used in [Some(attempt.endpoint), attempt.fill_source].into_iter().flatten() {
            let Some(endpoint) = self.get_mut(used) else { continue };
            endpoint.load_history.retain(|sent| sent.at > oldest);
            endpoint.load_history.push_back(AssignedWork { at: now, attempt: Some(attempt.id), work });
            endpoint.recovery_probe_in_flight |= endpoint.ejected_until.is_some();
            if used == attempt.endpoint {
                endpoint.increment_in_flight(now, LOAD_WINDOW);
            }
        }
    }

    /// Removes an ended attempt from the load of its endpoint and fill source. If it was a recovery
    /// probe, further ones may be sent.
    pub(crate) fn end_attempt(&mut self, now: Timestamp, attempt: &Attempt, outcome: &AttemptOutcome) {
        if let Some(endpoint) = self.get_mut(attempt.endpoint) {
            if attempt.counted_at_endpoint {
                endpoint.decrement_in_flight(now, LOAD_WINDOW);
            }
            endpoint.recovery_probe_in_flight = false;
        }
        let Some(source) = attempt.fill_source.and_then(|source| self.get_mut(source)) else { return };
        source.recovery_probe_in_flight = false;
        if attempt.counted_at_source {
            source.decrement_in_flight(now, FILL_LOAD_WINDOW);
        } else if matches!(outcome.cache_status, Some(CacheStatus::Filled | CacheStatus::FilledByOrigin)) {
            // The attempt was a fill, but was too short to be counted while it was in flight.
            source.add_past_load(now, FILL_LOAD_WINDOW, outcome.latency);
        }
        if outcome.cache_status == Some(CacheStatus::Hit) {
            // A hit needed nothing of its source, so its work is returned to the source's warm-up
            // budget.
            source.load_history.retain(|sent| sent.attempt != Some(attempt.id));
        }
    }

    /// Assigns roles by new settings to all endpoints.
    pub(crate) fn reassign_roles(&mut self, settings: &Settings) {
        for endpoint in self.by_id.values_mut() {
            endpoint.role = EndpointRole::of(settings, &endpoint.entry);
            endpoint.assign_needs_probe(settings);
        }
        self.rebuild_ready();
    }

    /// Rebuilds `ready_by_role` from the entries.
    fn rebuild_ready(&mut self) {
        self.ready_by_role.clear();
        for (id, endpoint) in &self.by_id {
            if endpoint.entry.state == EndpointState::Ready {
                self.ready_by_role.entry(endpoint.role).or_default().push(*id);
            }
        }
    }

    /// Drops removed endpoints without attempts in flight once there are more than `max` endpoints.
    /// Otherwise repeated replacements of endpoints would fill the memory.
    pub(crate) fn forget_removed(&mut self, max: usize) {
        if self.by_id.len() > max {
            let is_needed =
                |endpoint: &Endpoint| endpoint.entry.state != EndpointState::Gone || endpoint.in_flight > 0;
            self.by_id.retain(|_, endpoint| is_needed(endpoint));
        }
    }
}
