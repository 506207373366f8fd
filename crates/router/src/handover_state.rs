//! What a router hands to the one that takes its place: the list of members, what rules rest on, what was learnt.
//! Names stand where numbers could mean something else there.

use crate::endpoint_list::ListedEndpoint;
use crate::{endpoint_id, FeedEvent};
use hollymux_decision::{DecisionSnapshot, EndpointEntry, EndpointState, Timestamp};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Members that are taken over at most; filings have the bound of their table.
const MEMBERS: usize = 20_000;
/// No name on the sockets is longer.
const NAME_MOST: usize = 256;

/// A member as it is handed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its name on the sockets.
    pub uid: String,
    /// Where it listens.
    pub addr: Option<SocketAddr>,
    /// Its zone and kind, as places in the lists of names.
    pub zone: u16,
    /// See `zone`.
    pub kind: u16,
    /// Its cell.
    pub cell: u16,
    /// Its weight.
    pub weight: f64,
    /// It finishes what it has; nothing new.
    pub draining: bool,
    /// When it started, if late.
    pub started: Timestamp,
}

/// A non-idempotent request that may have run, as it is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingWrite {
    /// The client's request id.
    pub request_id: u64,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// The endpoint that a lookup named for it; `None` if it was sent by this router itself.
    pub endpoint: Option<u64>,
}

/// Everything that is handed over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The names of zones and kinds, by the numbers that stand here.
    pub zones: Vec<String>,
    /// See `zones`.
    pub kinds: Vec<String>,
    /// The names of the classes in `decision`, by number.
    pub classes: Vec<String>,
    /// The members.
    pub endpoints: Vec<EndpointRecord>,
    /// Requests that may not be repeated.
    pub pending_writes: Vec<PendingWrite>,
    /// What the decision module knows.
    pub decision: DecisionSnapshot,
}

impl HandoverState {
    /// The list of members under the names of the router that takes over.
    pub fn told(&self, zones: &[String], kinds: &[String]) -> FeedEvent {
        let lines = self.lines(zones, kinds);
        FeedEvent::Endpoints { is_full_list: true, endpoints: lines }
    }

    /// The members that drain: whatever an older list said, they take nothing new.
    pub fn drained(&self, zones: &[String], kinds: &[String]) -> FeedEvent {
        let mut lines = self.lines(zones, kinds);
        lines.retain(|l| l.entry.state == EndpointState::Draining);
        FeedEvent::Endpoints { is_full_list: false, endpoints: lines }
    }

    fn lines(&self, zones: &[String], kinds: &[String]) -> Vec<ListedEndpoint> {
        let place = |old: &[String], at: u16, new: &[String]| {
            let name = old.get(usize::from(at));
            let place = name.and_then(|n| new.iter().position(|m| m == n));
            place.and_then(|p| u16::try_from(p).ok()).unwrap_or(u16::MAX)
        };
        let usable =
            |l: &&EndpointRecord| !l.uid.is_empty() && l.uid.len() <= NAME_MOST && l.weight.is_finite();
        let line = |l: &EndpointRecord| ListedEndpoint {
            entry: EndpointEntry {
                id: endpoint_id(&l.uid),
                cell: l.cell,
                zone: place(&self.zones, l.zone, zones),
                kind: place(&self.kinds, l.kind, kinds),
                weight: l.weight,
                state: if l.draining { EndpointState::Draining } else { EndpointState::Ready },
                started: l.started,
                in_place_of: None,
            },
            uid: l.uid.clone(),
            addr: l.addr,
        };
        self.endpoints.iter().take(MEMBERS).filter(usable).map(line).collect()
    }
}
