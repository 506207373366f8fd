//! The state that a router hands over to the process that replaces it: the endpoint list, the
//! pending writes and what was learnt. Zones, kinds and classes are handed over with their names,
//! as their numbers may differ there.

use crate::endpoint_list::{endpoint_id, FeedEvent, ListedEndpoint};
use hollymux_decision::{DecisionSnapshot, EndpointEntry, EndpointState, Timestamp};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Endpoints that are taken over at most. Pending writes are bounded by their table.
const MAX_ENDPOINTS: usize = 20_000;
/// The longest name of an endpoint that is taken over.
const MAX_UID_BYTES: usize = 256;

/// An endpoint as it is handed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its name in the endpoint protocol.
    pub uid: String,
    /// Where it listens, if known.
    pub addr: Option<SocketAddr>,
    /// Its zone, as an index into [`HandoverState::zones`].
    pub zone: u16,
    /// Its kind, as an index into [`HandoverState::kinds`].
    pub kind: u16,
    /// Its cell.
    pub cell: u16,
    /// Its weight.
    pub weight: f64,
    /// It finishes the requests that it has and gets no new ones.
    pub draining: bool,
    /// When its process last started; [`Timestamp::ZERO`]: long ago.
    pub started: Timestamp,
}

/// A non-idempotent request that may have run, as it is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingWrite {
    /// The client's request id.
    pub request_id: u64,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// The endpoint that a lookup named for it; `None` if the router sent it itself.
    pub endpoint: Option<u64>,
}

/// Everything that is handed over. The order of the fields is that of the bytes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The names of the zones, by number.
    pub zones: Vec<String>,
    /// The names of the kinds of endpoints, by number.
    pub kinds: Vec<String>,
    /// The names of the classes in `decision`, by number.
    pub classes: Vec<String>,
    /// The endpoints.
    pub endpoints: Vec<EndpointRecord>,
    /// The pending writes, by arrival.
    pub pending_writes: Vec<PendingWrite>,
    /// What the decision module has learnt.
    pub decision: DecisionSnapshot,
}

impl HandoverState {
    /// The complete endpoint list, for a router under whose settings zones and kinds have these
    /// names.
    pub fn full_list_event(&self, zones: &[String], kinds: &[String]) -> FeedEvent {
        let endpoints = self.listed_endpoints(zones, kinds);
        FeedEvent::Endpoints { is_full_list: true, endpoints }
    }

    /// The draining endpoints: they get no new requests, even if an older list calls them ready.
    pub fn draining_event(&self, zones: &[String], kinds: &[String]) -> FeedEvent {
        let mut endpoints = self.listed_endpoints(zones, kinds);
        endpoints.retain(|endpoint| endpoint.entry.state == EndpointState::Draining);
        FeedEvent::Endpoints { is_full_list: false, endpoints }
    }

    fn listed_endpoints(&self, zones: &[String], kinds: &[String]) -> Vec<ListedEndpoint> {
        let bounded = self.endpoints.iter().take(MAX_ENDPOINTS);
        let usable = bounded.filter(|record| is_usable(record));
        usable.map(|record| self.listed_endpoint(record, zones, kinds)).collect()
    }

    fn listed_endpoint(&self, record: &EndpointRecord, zones: &[String], kinds: &[String]) -> ListedEndpoint {
        ListedEndpoint {
            entry: EndpointEntry {
                id: endpoint_id(&record.uid),
                cell: record.cell,
                zone: number_of_same_name(&self.zones, record.zone, zones),
                kind: number_of_same_name(&self.kinds, record.kind, kinds),
                weight: record.weight,
                state: if record.draining { EndpointState::Draining } else { EndpointState::Ready },
                started: record.started,
                in_place_of: None,
            },
            uid: record.uid.clone(),
            addr: record.addr,
        }
    }
}

/// Whether a record can be taken over: the bytes come from another process, maybe of another
/// version.
fn is_usable(record: &EndpointRecord) -> bool {
    let has_name = !record.uid.is_empty() && record.uid.len() <= MAX_UID_BYTES;
    has_name && record.weight.is_finite()
}

/// The number among `names` of what has `number` among `old_names`; `u16::MAX` if it is in neither.
fn number_of_same_name(old_names: &[String], number: u16, names: &[String]) -> u16 {
    let name = old_names.get(usize::from(number));
    let position = name.and_then(|name| names.iter().position(|other| other == name));
    position.and_then(|position| u16::try_from(position).ok()).unwrap_or(u16::MAX)
}
