//! Parser for the JSON events of the endpoint feed: changes of the endpoint list, and purges.
//!
//! An event is an object with the event number `n` and either `members`, which holds entries of the
//! endpoint list, or `purge`. Events with neither are accepted and carry no information.

use hollymux_decision::{EndpointEntry, EndpointState, Timestamp};
use hollymux_router::{endpoint_id, FeedEvent, ListedEndpoint};
use serde::Deserialize;

/// Error in one event. It is not fatal for the feed: later events can still be parsed.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// The event is not valid JSON, or a field is missing or has the wrong type.
    #[error("event: {0}")]
    Json(#[from] serde_json::Error),
    /// The `state` of an endpoint is not `ready`, `draining` or `gone`.
    #[error("event {number}: unknown endpoint state {state:?}")]
    UnknownState {
        /// Event number `n` of the rejected event.
        number: u64,
        /// Text of the `state` field, as received.
        state: String,
    },
    /// The `key` of a purge, which identifies the object, is not a hexadecimal number of up to 64
    /// bits.
    #[error("event {number}: purge key {key:?} is not a 64-bit hexadecimal number")]
    InvalidPurgeKey {
        /// Event number `n` of the rejected event.
        number: u64,
        /// Text of the `key` field, as received.
        key: String,
    },
    /// A purge has neither a `key` nor a `group`.
    #[error("event {number}: purge names neither an object nor a group")]
    EmptyPurge {
        /// Event number `n` of the rejected event.
        number: u64,
    },
}

/// Mapping between the names used on the wire and the numbers used by the decision module. The
/// number of a name is its index in the list.
#[derive(Clone, Debug)]
pub struct NameTables {
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the zones, as the feed gives them in `az`.
    pub zones: Vec<String>,
    /// Names of the endpoint kinds, such as edge cache, parent cache and origin.
    pub kinds: Vec<String>,
}

/// A parsed message of the endpoint feed.
#[derive(Debug)]
pub struct FeedMessage {
    /// Event number. Numbers ascend, but the feed may repeat events after a reconnect.
    pub number: u64,
    /// Content of the event; `None` if the event is of an unknown kind.
    pub event: Option<FeedEvent>,
}

#[derive(Deserialize)]
struct WireMessage {
    #[serde(rename = "n")]
    number: u64,
    #[serde(rename = "members")]
    endpoints: Option<WireEndpointList>,
    purge: Option<WirePurge>,
}

#[derive(Deserialize)]
struct WireEndpointList {
    /// Whether this is the full list, from which endpoints that are not listed have been removed.
    #[serde(default, rename = "all")]
    is_complete: bool,
    #[serde(rename = "targets")]
    endpoints: Vec<WireEndpoint>,
}

#[derive(Deserialize)]
struct WireEndpoint {
    uid: String,
    #[serde(default, rename = "endpoint")]
    address: String,
    #[serde(default, rename = "az")]
    zone: String,
    #[serde(default, rename = "model")]
    kind: String,
    #[serde(default, rename = "pod_group")]
    cell: u16,
    state: String,
    /// Weight of the endpoint, comparable across endpoints; 0 if absent.
    #[serde(default, rename = "capacity_hint")]
    weight: f64,
    #[serde(default, rename = "boot_ms")]
    started_unix_millis: u64,
}

#[derive(Deserialize)]
struct WirePurge {
    key: Option<String>,
    group: Option<u32>,
    #[serde(rename = "at")]
    unix_millis: u64,
}

impl NameTables {
    /// Parses an event from JSON text.
    ///
    /// # Errors
    /// Returns an error if the text is not valid JSON or the event is invalid.
    pub fn parse_event(&self, json: &[u8]) -> Result<FeedMessage, EventError> {
        self.convert(serde_json::from_slice(json)?)
    }

    /// Parses an event from a JSON value, such as one in the configuration file.
    ///
    /// # Errors
    /// Returns an error if the event is invalid.
    pub fn parse_event_value(&self, event: serde_json::Value) -> Result<FeedMessage, EventError> {
        self.convert(serde_json::from_value(event)?)
    }

    fn convert(&self, message: WireMessage) -> Result<FeedMessage, EventError> {
        let number = message.number;
        let event = if let Some(list) = message.endpoints {
            Some(self.endpoint_list(number, list)?)
        } else if let Some(purge) = message.purge {
            Some(purge_event(number, purge)?)
        } else {
            None
        };
        Ok(FeedMessage { number, event })
    }

    fn endpoint_list(&self, number: u64, list: WireEndpointList) -> Result<FeedEvent, EventError> {
        let endpoints = list.endpoints.into_iter().map(|endpoint| self.endpoint(number, endpoint));
        Ok(FeedEvent::Endpoints {
            is_full_list: list.is_complete,
            endpoints: endpoints.collect::<Result<_, _>>()?,
        })
    }

    fn endpoint(&self, number: u64, endpoint: WireEndpoint) -> Result<ListedEndpoint, EventError> {
        let entry = EndpointEntry {
            id: endpoint_id(&endpoint.uid),
            cell: endpoint.cell,
            zone: number_of(&self.zones, &endpoint.zone),
            kind: number_of(&self.kinds, &endpoint.kind),
            weight: endpoint.weight,
            state: parse_state(number, endpoint.state)?,
            started: timestamp(endpoint.started_unix_millis),
            in_place_of: None,
        };
        Ok(ListedEndpoint { entry, addr: endpoint.address.parse().ok(), uid: endpoint.uid })
    }
}

/// Returns the number of a name. All names that are not in the list get the number [`u16::MAX`].
fn number_of(names: &[String], name: &str) -> u16 {
    let index = names.iter().position(|listed| listed == name);
    index.and_then(|index| u16::try_from(index).ok()).unwrap_or(u16::MAX)
}

fn parse_state(number: u64, state: String) -> Result<EndpointState, EventError> {
    match state.as_str() {
        "ready" => Ok(EndpointState::Ready),
        "draining" => Ok(EndpointState::Draining),
        "gone" => Ok(EndpointState::Gone),
        _ => Err(EventError::UnknownState { number, state }),
    }
}

/// Converts a purge. One without a key purges a whole group; one without a group uses group 0.
fn purge_event(number: u64, purge: WirePurge) -> Result<FeedEvent, EventError> {
    if purge.key.is_none() && purge.group.is_none() {
        return Err(EventError::EmptyPurge { number });
    }
    let object = match purge.key {
        None => None,
        Some(key) => match u64::from_str_radix(&key, 16) {
            Ok(object) => Some(object),
            Err(_) => return Err(EventError::InvalidPurgeKey { number, key }),
        },
    };
    let group = purge.group.unwrap_or(0);
    Ok(FeedEvent::Purge { object, group, at: timestamp(purge.unix_millis) })
}

fn timestamp(unix_millis: u64) -> Timestamp {
    Timestamp::from_micros(unix_millis.saturating_mul(1_000))
}
