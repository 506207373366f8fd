//! The table of pending writes: requests that may have run and must not run again, remembered by their
//! id.

use crate::handover_state::{PeerProcess, PendingWrite};
use hollymux_decision::{EndpointId, Timestamp};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The minimum time for which a pending write is remembered that a lookup named an endpoint for: its
/// caller may look it up again.
const LOOKUP_RETENTION: Duration = Duration::from_secs(3_600);
/// The minimum time for which a pending write is remembered that was sent to this router. It is
/// remembered for [`LOOKUP_RETENTION`] as well, unless its room is needed.
const MIN_RETENTION: Duration = Duration::from_secs(60);
/// When the table is full, room is made for this fraction of it at once, as a divisor.
const EVICTION_DIVISOR: usize = 16;
/// Maximum number of entries in the table, whatever the memory limit is.
const MAX_PENDING_WRITES: usize = 100_000;
/// Maximum number of entries for each MB of the memory limit. An entry takes about 120 bytes.
const MAX_PENDING_WRITES_PER_MB: usize = 1_000;

/// What the table holds for a pending write.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RememberedWrite {
    arrived: Timestamp,
    /// The endpoint that a lookup named for the request; `None` if this router sent the request
    /// itself.
    pub(crate) endpoint: Option<EndpointId>,
}

/// The arrival of a pending write. It is outdated if its request was removed from the table since,
/// or was removed and arrived again.
#[derive(Debug)]
struct Arrival {
    arrived: Timestamp,
    request_id: u64,
}

/// The table of requests that may have run and must not run again. Its size is bounded; within the
/// bound, an entry is kept for at least [`LOOKUP_RETENTION`] or [`MIN_RETENTION`], unless its request
/// turns out never to have run.
#[derive(Debug)]
pub(crate) struct PendingWrites {
    by_id: HashMap<u64, RememberedWrite>,
    /// Arrivals in order of time, including outdated ones.
    by_arrival: VecDeque<Arrival>,
    max_entries: usize,
    unreported: UnreportedWrites,
}

/// The entries added since they were last taken for each other process of a handover; `None` for a
/// process that is told of none.
#[derive(Debug, Default)]
struct UnreportedWrites {
    to_predecessor: Option<Vec<PendingWrite>>,
    to_successor: Option<Vec<PendingWrite>>,
}

impl UnreportedWrites {
    fn of(&mut self, peer: PeerProcess) -> &mut Option<Vec<PendingWrite>> {
        match peer {
            PeerProcess::Predecessor => &mut self.to_predecessor,
            PeerProcess::Successor => &mut self.to_successor,
        }
    }
}

impl PendingWrites {
    /// Creates an empty table for a process with a memory limit of `memory_mb` MB.
    pub(crate) fn new(memory_mb: u64) -> PendingWrites {
        let by_memory = usize::try_from(memory_mb)
            .unwrap_or(MAX_PENDING_WRITES)
            .saturating_mul(MAX_PENDING_WRITES_PER_MB);
        PendingWrites {
            by_id: HashMap::new(),
            by_arrival: VecDeque::new(),
            max_entries: by_memory.min(MAX_PENDING_WRITES),
            unreported: UnreportedWrites::default(),
        }
    }

    /// Whether the table has an entry for the request, which means that the request may have run.
    pub(crate) fn contains(&self, request_id: u64) -> bool {
        self.by_id.contains_key(&request_id)
    }

    /// The entry of a request, or `None` if the table has none.
    pub(crate) fn get(&self, request_id: u64) -> Option<&RememberedWrite> {
        self.by_id.get(&request_id)
    }

    /// Whether lookups may add entries. They may fill only half of the table, so that clients that
    /// only look up leave room for requests that are sent to this router.
    pub(crate) fn has_room_for_lookups(&self) -> bool {
        self.by_id.len() < self.max_entries / 2
    }

    /// Adds an entry for a request, with the endpoint that a lookup named for it. Returns false if
    /// the table is full of entries that must be kept.
    pub(crate) fn add(&mut self, now: Timestamp, request_id: u64, endpoint: Option<EndpointId>) -> bool {
        if self.by_id.len() >= self.max_entries || self.by_arrival.len() >= 2 * self.max_entries {
            self.forget_old(now);
        }
        if self.by_id.len() >= self.max_entries {
            self.evict_oldest(now);
        }
        if self.by_id.len() >= self.max_entries {
            return false;
        }
        let write = RememberedWrite { arrived: now, endpoint };
        self.by_id.insert(request_id, write);
        self.by_arrival.push_back(Arrival { arrived: now, request_id });
        for peer in [PeerProcess::Predecessor, PeerProcess::Successor] {
            if let Some(unreported) = self.unreported.of(peer) {
                unreported.push(pending_write(request_id, &write));
            }
        }
        true
    }

    /// Adds entries that another process of a handover has reported. They are not reported back to
    /// it. Entries for which there is no room are dropped.
    pub(crate) fn add_reported(&mut self, now: Timestamp, writes: &[PendingWrite], from: PeerProcess) {
        let unreported = self.unreported.of(from).take();
        for write in writes {
            let _added = self.add(write.arrived.min(now), write.request_id, write.endpoint.map(EndpointId));
        }
        *self.unreported.of(from) = unreported;
    }

    /// Removes the entry of a request that never ran, so that it may be sent again with the same
    /// id.
    pub(crate) fn remove(&mut self, request_id: u64) {
        self.by_id.remove(&request_id);
    }

    /// Removes outdated arrivals, and entries older than [`LOOKUP_RETENTION`].
    fn forget_old(&mut self, now: Timestamp) {
        // Outdated arrivals must not take up the room of requests that may have run.
        let by_id = &self.by_id;
        let is_current = |arrival: &Arrival| {
            by_id.get(&arrival.request_id).is_some_and(|entry| entry.arrived == arrival.arrived)
        };
        self.by_arrival.retain(is_current);
        let is_old = |arrival: &Arrival| now >= arrival.arrived + LOOKUP_RETENTION;
        while self.by_arrival.front().is_some_and(is_old) {
            if let Some(oldest) = self.by_arrival.pop_front() {
                self.by_id.remove(&oldest.request_id);
            }
        }
    }

    /// Removes the oldest entries that no lookup made and that are older than [`MIN_RETENTION`].
    fn evict_oldest(&mut self, now: Timestamp) {
        let mut excess = (self.max_entries / EVICTION_DIVISOR).max(1);
        let by_id = &mut self.by_id;
        self.by_arrival.retain(|arrival| {
            let is_evictable = excess > 0
                && now >= arrival.arrived + MIN_RETENTION
                && by_id.get(&arrival.request_id).is_some_and(|entry| entry.endpoint.is_none());
            if is_evictable {
                by_id.remove(&arrival.request_id);
                excess -= 1;
            }
            !is_evictable
        });
    }

    /// All entries in order of arrival.
    pub(crate) fn entries(&self) -> Vec<PendingWrite> {
        let mut entries: Vec<PendingWrite> =
            self.by_id.iter().map(|(request_id, entry)| pending_write(*request_id, entry)).collect();
        entries.sort_unstable_by_key(|entry| (entry.arrived, entry.request_id));
        entries
    }

    /// Collects the entries that are added from now on for [`PendingWrites::take_unreported`].
    pub(crate) fn begin_reporting(&mut self, to: PeerProcess) {
        *self.unreported.of(to) = Some(Vec::new());
    }

    /// Returns the entries added since the last call, or since the reporting began. Empty if it has
    /// not begun.
    pub(crate) fn take_unreported(&mut self, to: PeerProcess) -> Vec<PendingWrite> {
        self.unreported.of(to).as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Ends the reporting to a process that has gone.
    pub(crate) fn end_reporting(&mut self, to: PeerProcess) {
        *self.unreported.of(to) = None;
    }
}

fn pending_write(request_id: u64, write: &RememberedWrite) -> PendingWrite {
    PendingWrite { request_id, arrived: write.arrived, endpoint: write.endpoint.map(|id| id.0) }
}
