//! The endpoints that the router knows, and the rules by which an update of the endpoint list
//! changes them.

use crate::endpoint_list::ListedEndpoint;
use crate::handover_state::EndpointRecord;
use crate::messages::{Command, Target};
use hollymux_decision::{CacheFill, EndpointEntry, EndpointId, EndpointState};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// Addresses whose last endpoint is remembered, beyond those of known endpoints.
const MAX_REMEMBERED_ADDRESSES: usize = 4_096;

/// An endpoint of the table.
#[derive(Debug)]
struct KnownEndpoint {
    /// Its name in the endpoint protocol, shared by the attempts that are sent to it.
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

/// The endpoints by identity, and which endpoint was last seen at each address.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    by_id: HashMap<EndpointId, KnownEndpoint>,
    /// Kept when the endpoint is gone: its successor at the address begins with what was learnt of
    /// it.
    last_endpoint_at: HashMap<SocketAddr, EndpointId>,
}

impl EndpointTable {
    /// The name of an endpoint.
    pub(crate) fn uid(&self, id: EndpointId) -> Option<&Rc<str>> {
        self.by_id.get(&id).map(|endpoint| &endpoint.uid)
    }

    /// The address of an endpoint, in whatever state it is.
    pub(crate) fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.by_id.get(&id)?.listed.addr
    }

    /// The ready endpoint of that name, in upper or lower case.
    pub(crate) fn ready_by_name(&self, uid: &[u8]) -> Option<EndpointId> {
        let mut ready = self.by_id.iter().filter(|(_, endpoint)| endpoint.is_ready());
        let named = ready.find(|(_, endpoint)| endpoint.uid.as_bytes().eq_ignore_ascii_case(uid));
        named.map(|(id, _)| *id)
    }

    /// The ready endpoint of that kind with the lowest identity, so that the choice is stable.
    pub(crate) fn first_ready_of_kind(&self, kind: u16) -> Option<EndpointId> {
        let ready = self.by_id.iter().filter(|(_, endpoint)| endpoint.is_ready());
        let of_kind = ready.filter(|(_, endpoint)| endpoint.listed.entry.kind == kind);
        of_kind.map(|(id, _)| *id).min()
    }

    /// An endpoint and the source of its fill by name and address; `None` if one of them is not
    /// ready.
    pub(crate) fn target(&self, endpoint: EndpointId, fill: CacheFill) -> Option<Target> {
        let known = self.ready(endpoint)?;
        // In the endpoint protocol an endpoint that fills from itself names no source.
        let source = match fill.source.filter(|source| *source != endpoint) {
            Some(source) => Some(self.ready(source)?.uid.clone()),
            None => None,
        };
        Some(Target { endpoint, uid: known.uid.clone(), addr: known.listed.addr?, source, fill })
    }

    /// The endpoints as they are handed over, by name.
    pub(crate) fn records(&self) -> Vec<EndpointRecord> {
        let mut records: Vec<EndpointRecord> = self.by_id.values().map(KnownEndpoint::record).collect();
        records.sort_by(|a, b| a.uid.cmp(&b.uid));
        records
    }

    fn ready(&self, id: EndpointId) -> Option<&KnownEndpoint> {
        self.by_id.get(&id).filter(|endpoint| endpoint.is_ready())
    }

    /// Applies an update of the endpoint list. Appends what is to be done with the connections, and
    /// returns the entries for the decision module. Endpoints that are gone stay known until
    /// [`EndpointTable::forget_gone`].
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
            // An address that is only known from an earlier update may have another occupant by
            // now.
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

    /// Removes the endpoints that are gone.
    pub(crate) fn forget_gone(&mut self) {
        self.by_id.retain(|_, endpoint| endpoint.state() != EndpointState::Gone);
        if self.last_endpoint_at.len() > MAX_REMEMBERED_ADDRESSES {
            let by_id = &self.by_id;
            self.last_endpoint_at.retain(|_, id| by_id.contains_key(id));
        }
    }

    /// An endpoint that a full list leaves out is gone.
    fn mark_unlisted_gone(&mut self, full_list: &[ListedEndpoint], commands: &mut Vec<Command>) {
        let listed: HashSet<EndpointId> = full_list.iter().map(|endpoint| endpoint.entry.id).collect();
        for (id, endpoint) in self.by_id.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            endpoint.mark_gone();
            commands.push(Command::CloseConnections(*id));
        }
    }

    /// An endpoint whose address belongs to another one that is ready now is gone, whether the list
    /// says so or not.
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

    /// Completes an update from what is known: one that says less than the last one changes only
    /// what it says.
    fn complete_update(&self, update: &mut ListedEndpoint, commands: &mut Vec<Command>) {
        let Some(known) = self.by_id.get(&update.entry.id).map(|endpoint| &endpoint.listed) else { return };
        update.addr = update.addr.or(known.addr);
        commands.extend(connection_command(known, update));
        if update.entry.state == EndpointState::Gone {
            update.entry = EndpointEntry { state: EndpointState::Gone, ..known.entry.clone() };
        }
    }

    /// Records who is at an address now; returns the other endpoint that was there before, if there
    /// was one.
    fn record_occupant(&mut self, address: SocketAddr, id: EndpointId) -> Option<EndpointId> {
        let previous = self.last_endpoint_at.insert(address, id);
        previous.filter(|previous| *previous != id)
    }

    fn insert(&mut self, listed: ListedEndpoint) {
        let uid = Rc::from(listed.uid.as_str());
        self.by_id.insert(listed.entry.id, KnownEndpoint { uid, listed });
    }
}

/// What an update means for the connections to an endpoint: those to a process that is gone or was
/// restarted, or to an address that it has left, are closed; on those to a draining endpoint
/// nothing new is sent.
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
