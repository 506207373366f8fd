//! Requests that may not be repeated, remembered by id so that none runs twice.

use crate::handover_state::PendingWrite;
use hollymux_decision::{EndpointId, Timestamp};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Requests that may not be repeated are remembered for this long at least, up to so many.
const FILING_KEPT: Duration = Duration::from_secs(3_600);
const FILINGS: usize = 100_000;
/// ...and up to so many for each MB of memory: one takes some 120 bytes.
const FILINGS_PER_MB: usize = 1_000;

/// Requests by their id that may not be repeated: when they came, and where a lookup sent them, or none if they
/// were taken here.
#[derive(Debug)]
pub(crate) struct PendingWrites {
    pub(crate) by_id: HashMap<u64, (Timestamp, Option<EndpointId>)>,
    /// In the order in which they came, those among them that are no longer remembered too.
    order: VecDeque<(Timestamp, u64)>,
    pub(crate) most: usize,
    /// Those that came since they were last asked for, if somebody is to hear of them.
    pub(crate) fresh: Option<Vec<PendingWrite>>,
}

impl PendingWrites {
    pub(crate) fn new(memory_mb: u64) -> PendingWrites {
        let most = usize::try_from(memory_mb).unwrap_or(FILINGS).saturating_mul(FILINGS_PER_MB).min(FILINGS);
        PendingWrites { by_id: HashMap::new(), order: VecDeque::new(), most, fresh: None }
    }

    /// Remembers one; false if there is no room and nothing is old enough to be forgotten.
    pub(crate) fn add(&mut self, now: Timestamp, rid: u64, endpoint: Option<EndpointId>) -> bool {
        if self.by_id.len() >= self.most || self.order.len() >= 2 * self.most {
            // Those that were refused must not take up the room of those that may have run.
            let by_id = &self.by_id;
            self.order.retain(|(at, rid)| by_id.get(rid).is_some_and(|f| f.0 == *at));
            while self.order.front().is_some_and(|(at, _)| now >= *at + FILING_KEPT) {
                self.order.pop_front().map(|(_, old)| self.by_id.remove(&old));
            }
        }
        let room = self.by_id.len() < self.most;
        if room {
            self.by_id.insert(rid, (now, endpoint));
            self.order.push_back((now, rid));
            if let Some(fresh) = &mut self.fresh {
                fresh.push(PendingWrite { request_id: rid, arrived: now, endpoint: endpoint.map(|id| id.0) });
            }
        }
        room
    }
}
