//! The endpoint feed's events, as JSON: changes of the endpoint list, and purges.

use hollymux_decision::{EndpointEntry, EndpointState, Timestamp};
use hollymux_router::{endpoint_id, FeedEvent, ListedEndpoint};
use serde::Deserialize;

/// Why an event can't be used. The feed stays usable: the events after it can be read.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// It is no JSON, or not of an event's form.
    #[error("event: {0}")]
    Json(#[from] serde_json::Error),
    /// An endpoint's state has a name that is not known.
    #[error("event {number}: unknown state {state:?}")]
    UnknownState {
        /// The event's number.
        number: u64,
        /// The name.
        state: String,
    },
    /// The key of a purged object is no hexadecimal number.
    #[error("event {number}: purge key {key:?} is no hexadecimal number")]
    InvalidPurgeKey {
        /// The event's number.
        number: u64,
        /// The key.
        key: String,
    },
    /// A purge gives neither an object nor a group.
    #[error("event {number}: purge of neither an object nor a group")]
    EmptyPurge {
        /// The event's number.
        number: u64,
    },
}

/// The names that stand on the wire for what the decision module knows by number.
#[derive(Clone, Debug)]
pub struct NameTables {
    /// Request classes, by number.
    pub classes: Vec<String>,
    /// Zones, by number.
    pub zones: Vec<String>,
    /// Kinds of endpoint, by number.
    pub kinds: Vec<String>,
}

/// One message of the feed.
#[derive(Debug)]
pub struct FeedMessage {
    /// Its number. The feed sends numbers in ascending order, but repeats some after a reconnect.
    pub number: u64,
    /// The event; none if it is of a kind that is not known here.
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
    /// Whether endpoints that are not listed are gone.
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
    /// Parses one event.
    ///
    /// # Errors
    /// The event can't be used.
    pub fn parse_event(&self, json: &[u8]) -> Result<FeedMessage, EventError> {
        self.convert(serde_json::from_slice(json)?)
    }

    /// Converts one event that has been parsed as JSON before.
    ///
    /// # Errors
    /// The event can't be used.
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

/// The number of a name; all names that are not listed have the last one.
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
