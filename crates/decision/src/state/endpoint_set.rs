//! The endpoints of the list, those that take work by role, and which attempts they have in flight.

use crate::interface::{
    AttemptOutcome, CacheStatus, EndpointEntry, EndpointId, EndpointState, ListKind, Settings,
};
use crate::state::endpoint::{AssignedWork, Endpoint, EndpointRole, FILL_LOAD_WINDOW, LOAD_WINDOW};
use crate::state::open_request::Attempt;
use crate::state::warm_up_budget::LeasedShares;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Routers that may be active.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActiveRouters {
    pub(crate) total: u32,
    pub(crate) in_zone: u32,
}

/// The endpoints of the list, and which of them take work.
#[derive(Debug, Default)]
pub(crate) struct EndpointSet {
    by_id: BTreeMap<EndpointId, Endpoint>,
    ready_by_role: BTreeMap<EndpointRole, Vec<EndpointId>>,
    /// Routers that use the endpoints beyond those that the settings name.
    pub(crate) additional_routers: u32,
    /// Routers that may be active, where that is known better than by the settings.
    pub(crate) active_routers: Option<ActiveRouters>,
    /// Shares of warm-up budgets that are agreed with other routers, in place of even ones.
    pub(crate) leased_shares: Option<LeasedShares>,
}

impl EndpointSet {
    /// One endpoint, listed or remembered.
    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    /// One endpoint, listed or remembered, to be changed.
    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.by_id.get_mut(&id)
    }

    /// All endpoints in the order of their identities, except removed ones.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.by_id.values().filter(|endpoint| endpoint.entry.state != EndpointState::Gone)
    }

    /// The endpoints of a role that take work, in the order of their identities.
    pub(crate) fn ready(&self, role: EndpointRole) -> impl Iterator<Item = &Endpoint> {
        self.ready_by_role.get(&role).into_iter().flatten().filter_map(|id| self.by_id.get(id))
    }

    /// Whether the endpoint is a parent cache.
    pub(crate) fn is_parent(&self, id: EndpointId) -> bool {
        self.get(id).is_some_and(|endpoint| endpoint.role == EndpointRole::Parent)
    }

    /// The attempt's fill source, if that is a parent cache.
    pub(crate) fn parent_source(&self, attempt: &Attempt) -> Option<EndpointId> {
        attempt.fill_source.filter(|source| self.is_parent(*source))
    }

    /// Whether the endpoint is known and ejected.
    pub(crate) fn is_ejected(&self, id: EndpointId) -> bool {
        self.get(id).is_some_and(|endpoint| !endpoint.is_available())
    }

    /// How strongly an endpoint's silence since then speaks for a failure; none if it has responded
    /// to any attempt, or is not known.
    pub(crate) fn silence_evidence(&self, now: Timestamp, id: EndpointId, since: Timestamp) -> Option<f64> {
        let endpoint = self.get(id).filter(|endpoint| endpoint.last_response <= since)?;
        Some(endpoint.silence_evidence(now, since))
    }

    /// Whether an endpoint has responded to any attempt since then.
    pub(crate) fn has_responded_since(&self, id: EndpointId, since: Timestamp) -> bool {
        self.get(id).is_some_and(|endpoint| endpoint.last_response > since)
    }

    /// Takes entries of the list; returns which endpoints are new, have started anew or are back.
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

    fn mark_unlisted_as_gone(&mut self, entries: &[EndpointEntry]) {
        let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
        for (_, endpoint) in self.by_id.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            endpoint.entry.state = EndpointState::Gone;
        }
    }

    /// Takes one entry; returns whether the endpoint is new, has started anew or is back.
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

    /// Until its start was announced, the endpoint got what was meant for the one before it at its
    /// address, and that counts.
    fn inherit_load(&mut self, id: EndpointId, predecessor: Option<EndpointId>, since: Timestamp) {
        let history = predecessor.and_then(|before| self.get(before)).map(|b| b.load_history.clone());
        if let (Some(history), Some(endpoint)) = (history, self.get_mut(id)) {
            endpoint.load_history.extend(history.into_iter().filter(|sent| sent.at >= since));
        }
    }

    /// An attempt is sent: it is in flight at its endpoint, and counts as work of both endpoint and
    /// source.
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

    /// An attempt has ended: it is no longer in flight, and a recovery probe request is over.
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
        } else if matches!(outcome.note, Some(CacheStatus::Filled | CacheStatus::FilledByOrigin)) {
            // Only its outcome tells that the attempt was a fill.
            source.add_past_load(now, FILL_LOAD_WINDOW, outcome.latency);
        }
        if outcome.note == Some(CacheStatus::Hit) {
            // A hit needed nothing of its source: the budget gets it back.
            source.load_history.retain(|sent| sent.attempt != Some(attempt.id));
        }
    }

    /// Gives all endpoints their roles under other settings.
    pub(crate) fn reassign_roles(&mut self, settings: &Settings) {
        for endpoint in self.by_id.values_mut() {
            endpoint.role = EndpointRole::of(settings, &endpoint.entry);
            endpoint.assign_needs_probe(settings);
        }
        self.rebuild_ready();
    }

    fn rebuild_ready(&mut self) {
        self.ready_by_role.clear();
        for (id, endpoint) in &self.by_id {
            if endpoint.entry.state == EndpointState::Ready {
                self.ready_by_role.entry(endpoint.role).or_default().push(*id);
            }
        }
    }

    /// Drops removed endpoints once there are more than so many: successors would pile up without
    /// end.
    pub(crate) fn forget_removed(&mut self, max: usize) {
        if self.by_id.len() > max {
            let is_needed =
                |endpoint: &Endpoint| endpoint.entry.state != EndpointState::Gone || endpoint.in_flight > 0;
            self.by_id.retain(|_, endpoint| is_needed(endpoint));
        }
    }
}
