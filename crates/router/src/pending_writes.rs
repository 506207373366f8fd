//! Non-idempotent requests, remembered by their id so that none runs twice.

use crate::handover_state::PendingWrite;
use hollymux_decision::{EndpointId, Timestamp};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// How long a request is remembered at least.
const RETENTION_PERIOD: Duration = Duration::from_secs(3_600);
/// Bound of the table.
const MAX_PENDING_WRITES: usize = 100_000;
/// Bound of the table for each MB of the memory limit: an entry takes some 120 bytes.
const MAX_PENDING_WRITES_PER_MB: usize = 1_000;

/// What is remembered of a non-idempotent request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RememberedWrite {
    arrived: Timestamp,
    /// The endpoint that a lookup named; `None` if this router sent the request itself.
    pub(crate) endpoint: Option<EndpointId>,
}

/// An arrival in the order of the clock. Its request may have been forgotten or have arrived again
/// since.
#[derive(Debug)]
struct Arrival {
    arrived: Timestamp,
    request_id: u64,
}

/// The table of non-idempotent requests that may have run. Its size is bounded; within the bound,
/// entries are forgotten after [`RETENTION_PERIOD`] at the earliest.
#[derive(Debug)]
pub(crate) struct PendingWrites {
    by_id: HashMap<u64, RememberedWrite>,
    by_arrival: VecDeque<Arrival>,
    max_entries: usize,
    /// Entries added since they were last taken, while a successor needs them.
    untransferred: Option<Vec<PendingWrite>>,
}

impl PendingWrites {
    /// An empty table for a process with that memory limit.
    pub(crate) fn new(memory_mb: u64) -> PendingWrites {
        let by_memory = usize::try_from(memory_mb)
            .unwrap_or(MAX_PENDING_WRITES)
            .saturating_mul(MAX_PENDING_WRITES_PER_MB);
        PendingWrites {
            by_id: HashMap::new(),
            by_arrival: VecDeque::new(),
            max_entries: by_memory.min(MAX_PENDING_WRITES),
            untransferred: None,
        }
    }

    /// Whether the request may have run.
    pub(crate) fn contains(&self, request_id: u64) -> bool {
        self.by_id.contains_key(&request_id)
    }

    /// What is remembered of a request that may have run.
    pub(crate) fn get(&self, request_id: u64) -> Option<&RememberedWrite> {
        self.by_id.get(&request_id)
    }

    /// Whether lookups may add entries: clients that only look up must not fill the table for the
    /// others.
    pub(crate) fn has_room_for_lookups(&self) -> bool {
        self.by_id.len() < self.max_entries / 2
    }

    /// Remembers a request. Returns false if the table is full and no entry is old enough to be
    /// forgotten.
    pub(crate) fn add(&mut self, now: Timestamp, request_id: u64, endpoint: Option<EndpointId>) -> bool {
        if self.by_id.len() >= self.max_entries || self.by_arrival.len() >= 2 * self.max_entries {
            self.forget_old(now);
        }
        if self.by_id.len() >= self.max_entries {
            return false;
        }
        let write = RememberedWrite { arrived: now, endpoint };
        self.by_id.insert(request_id, write);
        self.by_arrival.push_back(Arrival { arrived: now, request_id });
        if let Some(untransferred) = &mut self.untransferred {
            untransferred.push(pending_write(request_id, &write));
        }
        true
    }

    /// Forgets a request that never ran: it may be sent again under the same id.
    pub(crate) fn remove(&mut self, request_id: u64) {
        self.by_id.remove(&request_id);
    }

    fn forget_old(&mut self, now: Timestamp) {
        // Arrivals of removed entries must not take up the room of requests that may have run.
        let by_id = &self.by_id;
        let is_current = |arrival: &Arrival| {
            by_id.get(&arrival.request_id).is_some_and(|entry| entry.arrived == arrival.arrived)
        };
        self.by_arrival.retain(is_current);
        let is_old = |arrival: &Arrival| now >= arrival.arrived + RETENTION_PERIOD;
        while self.by_arrival.front().is_some_and(is_old) {
            if let Some(oldest) = self.by_arrival.pop_front() {
                self.by_id.remove(&oldest.request_id);
            }
        }
    }

    /// All entries by arrival. From now on [`PendingWrites::take_untransferred`] gives those that
    /// are added.
    pub(crate) fn begin_transfer(&mut self) -> Vec<PendingWrite> {
        self.untransferred = Some(Vec::new());
        let mut entries: Vec<PendingWrite> =
            self.by_id.iter().map(|(request_id, entry)| pending_write(*request_id, entry)).collect();
        entries.sort_unstable_by_key(|entry| (entry.arrived, entry.request_id));
        entries
    }

    /// The entries added since the last call, during a transfer.
    pub(crate) fn take_untransferred(&mut self) -> Vec<PendingWrite> {
        self.untransferred.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Ends the transfer: there is no successor any more.
    pub(crate) fn end_transfer(&mut self) {
        self.untransferred = None;
    }
}

fn pending_write(request_id: u64, write: &RememberedWrite) -> PendingWrite {
    PendingWrite { request_id, arrived: write.arrived, endpoint: write.endpoint.map(|id| id.0) }
}
