//! The table of open requests. Requests are stored in slots, which are reused after a request is
//! closed.

use super::fetch_table::FetchId;
use super::outcome::ServedFrom;
use crate::eviction::RetentionPriority;

/// Identifier of an open request: its slot in the table. Slots are reused, so an event refers to a
/// request by a [`RequestHandle`] where it may be stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestId(pub(super) u32);

impl RequestId {
    fn index(self) -> usize {
        self.0 as usize
    }
}

/// A request with its generation when the handle was taken. A handle with an older generation than
/// the request's is stale, and its event is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestHandle {
    pub(super) id: RequestId,
    pub(super) generation: u32,
}

/// State of an open request, from the client's first attempt until it is served or the client gives
/// up.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OpenRequest {
    /// First attempt, as an index of the trace's requests.
    pub(super) trace_index: u32,
    /// Generation, raised whenever the request is withdrawn from its endpoints or its slot is
    /// closed or reused.
    pub(super) generation: u32,
    /// Number of retries by the client so far.
    pub(super) retries: u8,
    /// Number of attempts by the router since the client's last attempt began.
    pub(super) attempts: u8,
    /// Site of the request, as an index of the network's sites.
    pub(super) site: u16,
    /// Edge cache of the current attempt, by its position in the site.
    pub(super) edge_cache: u16,
    /// Parent cache that fills the current attempt, by its index; meaningful only for a miss.
    pub(super) parent_cache: u16,
    /// Number of transfers and fetches that the response still waits for.
    pub(super) pending_steps: u8,
    /// Legs over which the response is being transferred, indexed by [`super::links::TransferLeg`].
    pub(super) active_legs: [bool; 3],
    /// Whether a fill of the edge cache is running for this request.
    pub(super) is_filling: bool,
    /// Retention priority of the copy that a fill stores.
    pub(super) retention: RetentionPriority,
    /// Creation time of the copy that serves the request, in microseconds.
    pub(super) copy_created_us: u64,
    /// Fetch from the origin that the request waits for, if any.
    pub(super) fetch: Option<FetchId>,
    /// Source that serves the current attempt.
    pub(super) served_from: ServedFrom,
    /// Time of the client's last attempt, in microseconds.
    pub(super) client_attempt_us: u64,
    /// Time at which the current attempt was sent to its edge cache, in microseconds.
    pub(super) sent_us: u64,
    /// Whether the current attempt is counted as active at its edge cache.
    pub(super) is_at_edge_cache: bool,
}

/// Open requests by slot, with the free slots.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    slots: Vec<OpenRequest>,
    free: Vec<RequestId>,
}

impl RequestTable {
    pub(super) fn get(&self, id: RequestId) -> &OpenRequest {
        &self.slots[id.index()]
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> &mut OpenRequest {
        &mut self.slots[id.index()]
    }

    pub(super) fn handle(&self, id: RequestId) -> RequestHandle {
        RequestHandle { id, generation: self.get(id).generation }
    }

    pub(super) fn is_current(&self, handle: RequestHandle) -> bool {
        self.get(handle.id).generation == handle.generation
    }

    pub(super) fn are_all_closed(&self) -> bool {
        self.slots.len() == self.free.len()
    }

    /// Returns the open requests for which `predicate` holds, in order of slots.
    pub(super) fn find(
        &self,
        predicate: impl Fn(RequestId, &OpenRequest) -> bool,
    ) -> Vec<RequestId> {
        let ids = (0..self.slots.len() as u32).map(RequestId);
        ids.filter(|id| predicate(*id, self.get(*id)) && !self.free.contains(id)).collect()
    }

    /// Stores a request in a free slot, or in a new one if none is free.
    pub(super) fn open(&mut self, request: OpenRequest) -> RequestId {
        match self.free.pop() {
            Some(id) => {
                let generation = self.get(id).generation + 1;
                *self.get_mut(id) = OpenRequest { generation, ..request };
                id
            }
            None => {
                self.slots.push(request);
                RequestId(self.slots.len() as u32 - 1)
            }
        }
    }

    /// Closes a request and frees its slot. Handles of the request become stale.
    pub(super) fn close(&mut self, id: RequestId) {
        self.get_mut(id).generation += 1;
        self.free.push(id);
    }
}
