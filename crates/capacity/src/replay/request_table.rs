//! The table of open requests: what is known of each, in slots that are used again.

use super::fetch_table::FetchId;
use super::outcome::ServedFrom;
use crate::eviction::RetentionPriority;

/// The slot of an open request. Slots are used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestId(pub(super) u32);

impl RequestId {
    fn index(self) -> usize {
        self.0 as usize
    }
}

/// A request at one stage: whatever was scheduled for an earlier stage is stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestHandle {
    pub(super) id: RequestId,
    pub(super) generation: u32,
}

/// A request of a client.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OpenRequest {
    /// The first attempt, as an index of the trace's requests.
    pub(super) trace_index: u32,
    /// Changes whenever the request withdraws from where it is, or ends.
    pub(super) generation: u32,
    /// Retries by the client so far.
    pub(super) retries: u8,
    /// The router's attempts since the client's last one.
    pub(super) attempts: u8,
    /// The site.
    pub(super) site: u16,
    /// The edge cache of the current attempt, by its position in the site.
    pub(super) edge_cache: u16,
    /// The parent cache that fills the current attempt.
    pub(super) parent_cache: u16,
    /// Transfers and fetches that the response still waits for.
    pub(super) pending_steps: u8,
    /// Which legs the response is being transferred on, by [`super::links::TransferLeg`].
    pub(super) active_legs: [bool; 3],
    /// Whether the edge cache is being filled for this request.
    pub(super) is_filling: bool,
    /// The priority of the copy that a fill leaves.
    pub(super) retention: RetentionPriority,
    /// When the copy that serves the request was created.
    pub(super) copy_created_us: u64,
    /// The fetch from the origin that the request waits for.
    pub(super) fetch: Option<FetchId>,
    /// Where the current attempt is served from.
    pub(super) served_from: ServedFrom,
    /// When the client made its last attempt.
    pub(super) client_attempt_us: u64,
    /// When the current attempt was sent to its edge cache.
    pub(super) sent_us: u64,
    /// Whether the current attempt is counted at its edge cache.
    pub(super) is_at_edge_cache: bool,
}

/// Open requests by slot.
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

    /// The open requests for which `predicate` holds, by slot.
    pub(super) fn find(
        &self,
        predicate: impl Fn(RequestId, &OpenRequest) -> bool,
    ) -> Vec<RequestId> {
        let ids = (0..self.slots.len() as u32).map(RequestId);
        ids.filter(|id| predicate(*id, self.get(*id)) && !self.free.contains(id)).collect()
    }

    /// Puts a request into a free slot.
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

    /// Frees a slot; whatever was scheduled for its request becomes stale.
    pub(super) fn close(&mut self, id: RequestId) {
        self.get_mut(id).generation += 1;
        self.free.push(id);
    }
}
