//! The state that a router hands over to the process that replaces it: the endpoint list, the
//! pending writes and what the decision module has learnt. Zones, kinds and classes are handed over
//! with their names, because their numbers may differ in the other process.

use crate::endpoint_list::{endpoint_id, FeedEvent, ListedEndpoint};
use hollymux_decision::{DecisionSnapshot, EndpointEntry, EndpointState, Timestamp};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum number of endpoints that are restored; further ones are ignored. Pending writes are
/// bounded by their table instead.
const MAX_ENDPOINTS: usize = 20_000;
/// Maximum length of an endpoint's name in bytes. An endpoint with a longer name is not restored.
const MAX_UID_BYTES: usize = 256;

/// An endpoint as it is handed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The endpoint's name in the endpoint protocol.
    pub uid: String,
    /// The address on which the endpoint listens; `None` if it is unknown.
    pub addr: Option<SocketAddr>,
    /// The endpoint's zone, as an index into [`HandoverState::zones`].
    pub zone: u16,
    /// The endpoint's kind, as an index into [`HandoverState::kinds`].
    pub kind: u16,
    /// The number of the endpoint's cell.
    pub cell: u16,
    /// The endpoint's weight in the endpoint list. A record with a weight that is not finite is not
    /// restored.
    pub weight: f64,
    /// Whether the endpoint is draining: it finishes its open requests and gets no new ones.
    pub draining: bool,
    /// When the endpoint's process last started; [`Timestamp::ZERO`] if that was long ago.
    pub started: Timestamp,
}

/// The other process of a handover, as seen by this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerProcess {
    /// The process that this one replaces.
    Predecessor,
    /// The process that replaces this one.
    Successor,
}

/// A non-idempotent request that may have run, as it is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingWrite {
    /// The request id that the client chose.
    pub request_id: u64,
    /// When the request or its lookup arrived at the router.
    pub arrived: Timestamp,
    /// The id of the endpoint that a lookup named for the request; `None` if the router sent the
    /// request itself.
    pub endpoint: Option<u64>,
}

/// The complete state that is handed over. It is serialized in the order of its fields.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The names of the zones, indexed by zone number.
    pub zones: Vec<String>,
    /// The names of the kinds of endpoints, indexed by kind number.
    pub kinds: Vec<String>,
    /// The names of the classes in `decision`, indexed by class slot.
    pub classes: Vec<String>,
    /// The known endpoints, sorted by name.
    pub endpoints: Vec<EndpointRecord>,
    /// The pending writes, in order of arrival.
    pub pending_writes: Vec<PendingWrite>,
    /// What the decision module has learnt.
    pub decision: DecisionSnapshot,
}

impl HandoverState {
    /// The endpoints as a full list, for a router whose settings have these zones and kinds. A zone
    /// or kind that they lack becomes `u16::MAX`.
    pub fn full_list_event(&self, zones: &[String], kinds: &[String]) -> FeedEvent {
        let endpoints = self.listed_endpoints(zones, kinds);
        FeedEvent::Endpoints { is_full_list: true, endpoints }
    }

    /// The draining endpoints as a partial list. Applied after an older list that still calls them
    /// ready, it keeps them from getting new requests.
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

/// Whether a record can be restored. The bytes come from another process, possibly of another
/// version, and may hold any values.
fn is_usable(record: &EndpointRecord) -> bool {
    let has_name = !record.uid.is_empty() && record.uid.len() <= MAX_UID_BYTES;
    has_name && record.weight.is_finite()
}

/// The number in `names` of the name that has `number` in `old_names`; `u16::MAX` if one of the
/// lists doesn't have it.
fn number_of_same_name(old_names: &[String], number: u16, names: &[String]) -> u16 {
    let name = old_names.get(usize::from(number));
    let position = name.and_then(|name| names.iter().position(|other| other == name));
    position.and_then(|position| u16::try_from(position).ok()).unwrap_or(u16::MAX)
}
