//! The table of endpoints that the router knows, and the rules for applying updates of the endpoint
//! list to it.

use crate::endpoint_list::ListedEndpoint;
use crate::handover_state::EndpointRecord;
use crate::messages::{Command, Target};
use hollymux_decision::{CacheFill, EndpointEntry, EndpointId, EndpointState};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// Number of addresses above which those whose last endpoint is no longer in the table are
/// forgotten.
const MAX_REMEMBERED_ADDRESSES: usize = 4_096;

/// An endpoint of the table, as it was last listed.
#[derive(Debug)]
struct KnownEndpoint {
    /// The endpoint's name in the endpoint protocol, shared with the attempts that are sent to it.
    uid: Rc<str>,
    listed: ListedEndpoint,
}

impl KnownEndpoint {
    fn state(&self) -> EndpointState {
        self.listed.entry.state
    }

    fn is_ready(&self) -> bool {
        self.state() == EndpointState::Ready
    }

    fn mark_gone(&mut self) {
        self.listed.entry.state = EndpointState::Gone;
    }

    fn record(&self) -> EndpointRecord {
        let entry = &self.listed.entry;
        EndpointRecord {
            uid: self.uid.to_string(),
            addr: self.listed.addr,
            zone: entry.zone,
            kind: entry.kind,
            cell: entry.cell,
            weight: entry.weight,
            draining: entry.state == EndpointState::Draining,
            started: entry.started,
        }
    }
}

/// The known endpoints by id, and the endpoint that was last seen at each address.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    by_id: HashMap<EndpointId, KnownEndpoint>,
    /// The endpoint last seen at each address. It is kept when that endpoint is gone: its successor
    /// at the address starts with what was learnt about it.
    last_endpoint_at: HashMap<SocketAddr, EndpointId>,
}

impl EndpointTable {
    /// The name of an endpoint in the endpoint protocol, or `None` if the endpoint is unknown.
    pub(crate) fn uid(&self, id: EndpointId) -> Option<&Rc<str>> {
        self.by_id.get(&id).map(|endpoint| &endpoint.uid)
    }

    /// The address of an endpoint in any state. `None` if the endpoint or its address is unknown.
    pub(crate) fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.by_id.get(&id)?.listed.addr
    }

    /// The ready endpoint with a name, which is matched case-insensitively. `None` if there is
    /// none.
    pub(crate) fn ready_by_name(&self, uid: &[u8]) -> Option<EndpointId> {
        let mut ready = self.by_id.iter().filter(|(_, endpoint)| endpoint.is_ready());
        let named = ready.find(|(_, endpoint)| endpoint.uid.as_bytes().eq_ignore_ascii_case(uid));
        named.map(|(id, _)| *id)
    }

    /// The ready endpoint of a kind with the lowest id, so that repeated calls return the same one.
    /// `None` if no endpoint of the kind is ready.
    pub(crate) fn first_ready_of_kind(&self, kind: u16) -> Option<EndpointId> {
        let ready = self.by_id.iter().filter(|(_, endpoint)| endpoint.is_ready());
        let of_kind = ready.filter(|(_, endpoint)| endpoint.listed.entry.kind == kind);
        of_kind.map(|(id, _)| *id).min()
    }

    /// Resolves an endpoint and the source of its fill to their names and the endpoint's address.
    /// `None` if either of them is not ready or the address is unknown.
    pub(crate) fn target(&self, endpoint: EndpointId, fill: CacheFill) -> Option<Target> {
        let known = self.ready(endpoint)?;
        // In the endpoint protocol, an attempt names no source if the endpoint fills from itself.
        let source = match fill.source.filter(|source| *source != endpoint) {
            Some(source) => Some(self.ready(source)?.uid.clone()),
            None => None,
        };
        Some(Target { endpoint, uid: known.uid.clone(), addr: known.listed.addr?, source, fill })
    }

    /// The endpoints as they are handed over to a successor process, sorted by name.
    pub(crate) fn records(&self) -> Vec<EndpointRecord> {
        let mut records: Vec<EndpointRecord> = self.by_id.values().map(KnownEndpoint::record).collect();
        records.sort_by(|a, b| a.uid.cmp(&b.uid));
        records
    }

    fn ready(&self, id: EndpointId) -> Option<&KnownEndpoint> {
        self.by_id.get(&id).filter(|endpoint| endpoint.is_ready())
    }

    /// Applies an update of the endpoint list. Appends commands for the connections of the
    /// endpoints that changed, and returns the entries for the decision module. Endpoints that are
    /// gone stay in the table until [`EndpointTable::forget_gone`].
    pub(crate) fn apply_update(
        &mut self,
        is_full_list: bool,
        updates: Vec<ListedEndpoint>,
        commands: &mut Vec<Command>,
    ) -> Vec<EndpointEntry> {
        if is_full_list {
            self.mark_unlisted_gone(&updates, commands);
        }
        let mut entries = Vec::with_capacity(updates.len());
        for mut update in updates {
            // Only an address that this update states is relied on: one from an earlier update may
            // have been taken over by another endpoint.
            let address_in_use = update.addr.filter(|_| update.entry.state == EndpointState::Ready);
            if let Some(address) = address_in_use {
                self.mark_displaced_gone(update.entry.id, address, &mut entries, commands);
            }
            self.complete_update(&mut update, commands);
            if let Some(address) = address_in_use {
                update.entry.in_place_of = self.record_occupant(address, update.entry.id);
            }
            entries.push(update.entry.clone());
            self.insert(update);
        }
        entries
    }

    /// Removes the endpoints that are gone. If too many addresses are remembered, those of removed
    /// endpoints are forgotten as well.
    pub(crate) fn forget_gone(&mut self) {
        self.by_id.retain(|_, endpoint| endpoint.state() != EndpointState::Gone);
        if self.last_endpoint_at.len() > MAX_REMEMBERED_ADDRESSES {
            let by_id = &self.by_id;
            self.last_endpoint_at.retain(|_, id| by_id.contains_key(id));
        }
    }

    /// Marks the endpoints that a full list leaves out as gone, and has their connections closed.
    fn mark_unlisted_gone(&mut self, full_list: &[ListedEndpoint], commands: &mut Vec<Command>) {
        let listed: HashSet<EndpointId> = full_list.iter().map(|endpoint| endpoint.entry.id).collect();
        for (id, endpoint) in self.by_id.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            endpoint.mark_gone();
            commands.push(Command::CloseConnections(*id));
        }
    }

    /// Marks the endpoints at the address of another endpoint that is ready now as gone, even if
    /// the list doesn't say so. Adds their entries to `entries` and has their connections closed.
    fn mark_displaced_gone(
        &mut self,
        new_occupant: EndpointId,
        address: SocketAddr,
        entries: &mut Vec<EndpointEntry>,
        commands: &mut Vec<Command>,
    ) {
        for (id, endpoint) in &mut self.by_id {
            let at_address = endpoint.listed.addr == Some(address);
            if *id != new_occupant && at_address && endpoint.state() != EndpointState::Gone {
                endpoint.mark_gone();
                entries.push(endpoint.listed.entry.clone());
                commands.push(Command::CloseConnections(*id));
            }
        }
    }

    /// Completes an update with what is known of the endpoint. An update without an address keeps
    /// the known address, and an update that reports the endpoint as gone changes only its state.
    fn complete_update(&self, update: &mut ListedEndpoint, commands: &mut Vec<Command>) {
        let Some(known) = self.by_id.get(&update.entry.id).map(|endpoint| &endpoint.listed) else { return };
        update.addr = update.addr.or(known.addr);
        commands.extend(connection_command(known, update));
        if update.entry.state == EndpointState::Gone {
            update.entry = EndpointEntry { state: EndpointState::Gone, ..known.entry.clone() };
        }
    }

    /// Records that an endpoint is at an address now. Returns the endpoint that was last seen
    /// there, or `None` if there was none or it is the same one.
    fn record_occupant(&mut self, address: SocketAddr, id: EndpointId) -> Option<EndpointId> {
        let previous = self.last_endpoint_at.insert(address, id);
        previous.filter(|previous| *previous != id)
    }

    fn insert(&mut self, listed: ListedEndpoint) {
        let uid = Rc::from(listed.uid.as_str());
        self.by_id.insert(listed.entry.id, KnownEndpoint { uid, listed });
    }
}

/// The command that an update requires for the connections to an endpoint. The connections are
/// closed if the endpoint is gone, was restarted or has moved to another address. A draining
/// endpoint is sent nothing new.
fn connection_command(known: &ListedEndpoint, update: &ListedEndpoint) -> Option<Command> {
    let id = update.entry.id;
    let has_moved = update.addr != known.addr;
    let has_restarted = update.entry.started > known.entry.started;
    match update.entry.state {
        EndpointState::Gone => Some(Command::CloseConnections(id)),
        EndpointState::Ready if has_moved || has_restarted => Some(Command::CloseConnections(id)),
        EndpointState::Ready => None,
        EndpointState::Draining => Some(Command::StopSending(id)),
    }
}
