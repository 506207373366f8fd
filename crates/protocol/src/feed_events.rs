//! The control feed's events as JSON.

use hollymux_decision::{EndpointEntry, EndpointState, Timestamp};
use hollymux_router::{endpoint_id, FeedEvent, ListedEndpoint};
use serde::Deserialize;

/// What is wrong with an event, in one line.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct EventError(String);

/// Names that the sockets use where the module has numbers.
#[derive(Clone, Debug)]
pub struct Names {
    /// Classes, by number.
    pub classes: Vec<String>,
    /// Zones, by number.
    pub zones: Vec<String>,
    /// Kinds of member, by number.
    pub kinds: Vec<String>,
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    #[serde(default)]
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u16,
    state: String,
    #[serde(default)]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

#[derive(Deserialize)]
struct Members {
    #[serde(default)]
    all: bool,
    targets: Vec<Target>,
}

#[derive(Deserialize)]
struct PurgeLine {
    key: Option<String>,
    group: Option<u32>,
    at: u64,
}

#[derive(Deserialize)]
struct Line {
    n: u64,
    members: Option<Members>,
    purge: Option<PurgeLine>,
}

/// The feed tells times in milliseconds.
fn unix_millis(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis.saturating_mul(1_000))
}

impl Names {
    /// A place in a list of names; an unknown name is like none of them.
    fn place(list: &[String], name: &str) -> u16 {
        list.iter().position(|n| n == name).and_then(|i| u16::try_from(i).ok()).unwrap_or(u16::MAX)
    }

    /// Reads one event: its number and what it tells.
    pub fn event(&self, text: &[u8]) -> Result<(u64, Option<FeedEvent>), EventError> {
        serde_json::from_slice(text).map_err(|e| EventError(format!("event: {e}"))).and_then(|v| self.line(v))
    }

    /// Reads one event that was parsed as JSON before.
    pub fn value(&self, event: serde_json::Value) -> Result<(u64, Option<FeedEvent>), EventError> {
        serde_json::from_value(event)
            .map_err(|e| EventError(format!("event: {e}")))
            .and_then(|v| self.line(v))
    }

    fn line(&self, line: Line) -> Result<(u64, Option<FeedEvent>), EventError> {
        let bad = |what: &str| EventError(format!("event {}: {what}", line.n));
        if let Some(m) = line.members {
            let lines: Result<Vec<_>, _> = m.targets.into_iter().map(|t| self.member(t)).collect();
            return Ok((
                line.n,
                Some(FeedEvent::Endpoints { is_full_list: m.all, endpoints: lines.map_err(|e| bad(&e))? }),
            ));
        }
        let Some(p) = line.purge else { return Ok((line.n, None)) };
        let object = match p.key {
            Some(key) => Some(u64::from_str_radix(&key, 16).map_err(|_| bad("a key that is no number"))?),
            None => None,
        };
        let group = match (object, p.group) {
            (None, None) => return Err(bad("a purge of nothing")),
            (_, group) => group.unwrap_or(0),
        };
        Ok((line.n, Some(FeedEvent::Purge { object, group, at: unix_millis(p.at) })))
    }

    fn member(&self, t: Target) -> Result<ListedEndpoint, String> {
        let state = match t.state.as_str() {
            "ready" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            "gone" => EndpointState::Gone,
            other => return Err(format!("unknown state {other:?}")),
        };
        let entry = EndpointEntry {
            id: endpoint_id(&t.uid),
            cell: t.pod_group,
            zone: Self::place(&self.zones, &t.az),
            kind: Self::place(&self.kinds, &t.model),
            weight: t.capacity_hint,
            state,
            started: unix_millis(t.boot_ms),
            in_place_of: None,
        };
        Ok(ListedEndpoint { entry, addr: t.endpoint.parse().ok(), uid: t.uid })
    }
}
