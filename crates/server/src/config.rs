//! The platform's configuration file, JSON.

use crate::renewal;
use hollymux_decision::{parse_settings, Settings, SettingsError, SettingsMap};
use hollymux_protocol::feed_events::NameTables;
use hollymux_router::{FeedEvent, RouterOptions};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// What is wrong with a configuration, in one line.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct ConfigError(String);

impl From<SettingsError> for ConfigError {
    fn from(e: SettingsError) -> ConfigError {
        ConfigError(e.to_string())
    }
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: u64,
    sockets: usize,
}

#[derive(Deserialize)]
struct Known {
    n: u64,
    events: Vec<Value>,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: Limits,
    feed: SocketAddr,
    operator: Option<SocketAddr>,
    #[serde(default)]
    flow_bytes_per_s: f64,
    known: Known,
    settings: Value,
}

/// Everything that a request router is told at its start.
#[derive(Debug)]
pub struct Config {
    /// The router's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Memory limit in MB.
    pub memory_mb: u64,
    /// Limit of file descriptors.
    pub sockets: usize,
    /// What a single transfer runs at; 0: not told.
    pub flow_bytes_per_s: f64,
    /// Where the control feed is.
    pub feed: SocketAddr,
    /// Where operators call; none: nowhere.
    pub door: Option<SocketAddr>,
    /// The number of the last event known, and the events.
    pub known: (u64, Vec<FeedEvent>),
    /// What the module works by.
    pub settings: Settings,
    /// Names of numbers.
    pub names: NameTables,
    /// Requests that one connection to a shelf carries at a time.
    pub streams: usize,
    /// Connections idle for this long are closed by the other side.
    pub idle: Duration,
    /// The file as it was read.
    pub file: Value,
}

/// The path of a field below another one.
pub(crate) fn below(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}

/// Nested JSON as the simulator's paths and values.
fn flatten(path: &str, value: &Value, map: &mut BTreeMap<String, String>) {
    let below = |key: &str| below(path, key);
    // A whole number is one however it is written.
    let whole =
        |v: &Value| v.as_f64().filter(|n| n.fract() == 0.0 && n.abs() < 1e15).map(|n| format!("{n:.0}"));
    let text =
        |v: &Value| v.as_str().map(str::to_string).or_else(|| whole(v)).unwrap_or_else(|| v.to_string());
    match value {
        Value::Object(fields) => fields.iter().for_each(|(k, v)| flatten(&below(k), v, map)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            map.insert(below("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(i, v)| flatten(&below(&i.to_string()), v, map));
        }
        Value::Array(items) => {
            map.insert(path.to_string(), items.iter().map(text).collect::<Vec<_>>().join(","));
        }
        Value::Null => {}
        plain => {
            map.insert(path.to_string(), text(plain));
        }
    }
}

/// Connections that nobody says anything of are closed by the other side after this.
const IDLE_CLOSE: Duration = Duration::from_secs(30);

impl Config {
    /// What the core is started with.
    pub fn setup(&self) -> RouterOptions {
        RouterOptions {
            settings: self.settings.clone(),
            classes: self.names.classes.clone(),
            seed: self.seed,
            memory_mb: self.memory_mb,
            flow_bytes_per_s: self.flow_bytes_per_s,
        }
    }

    /// Whether another configuration may take the place of this one.
    pub(crate) fn gives_way_to(&self, new: &Config) -> Result<(), ConfigError> {
        renewal::fault(&self.file, &new.file).map_or(Ok(()), |fault| Err(ConfigError(fault)))
    }

    /// Reads the file.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let wrong = |e: &dyn std::fmt::Display| ConfigError(format!("configuration {}: {e}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| wrong(&e))?;
        let mut config = Config::read(&text).map_err(|e| wrong(&e))?;
        let door = std::env::var("NODE_OPERATOR").ok().filter(|d| !d.is_empty());
        if let (None, Some(door)) = (config.door, door) {
            config.door = Some(door.parse().map_err(|e| wrong(&format!("NODE_OPERATOR: {e}")))?);
        }
        Ok(config)
    }

    /// Reads the text of a configuration file.
    pub fn read(text: &str) -> Result<Config, ConfigError> {
        let wrong = |e: &dyn std::fmt::Display| ConfigError(e.to_string().replace('\n', " "));
        let whole: Value = serde_json::from_str(text).map_err(|e| wrong(&e))?;
        let file = File::deserialize(&whole).map_err(|e| wrong(&e))?;
        let mut map = BTreeMap::new();
        flatten("", &file.settings, &mut map);
        let p = SettingsMap::new(map);
        let settings = parse_settings(&p).map_err(|e| wrong(&e))?;
        settings.check().map_err(|e| wrong(&e))?;
        let class = |i| p.read(&format!("classes.{i}.name")).map(Option::unwrap_or_default);
        let classes: Result<Vec<String>, _> = (0..settings.classes.len()).map(class).collect();
        let names = NameTables {
            classes: classes.map_err(|e| wrong(&e))?,
            zones: p.list("failureDomains").map_err(|e| wrong(&e))?,
            kinds: p.list("models").map_err(|e| wrong(&e))?,
        };
        if file.limits.sockets < 64 || file.limits.memory_mb < 16 {
            return Err(ConfigError("limits: at least 64 sockets and 16 MB are needed".into()));
        }
        let mut events = Vec::new();
        for event in file.known.events {
            events.extend(names.parse_event_value(event).map_err(|e| wrong(&e))?.event);
        }
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| ConfigError(format!("seed: {:?} is not a hex number", file.seed)))?;
        let streams = p.read("limits.streamsPerConn").map_err(|e| wrong(&e))?.unwrap_or(32);
        let idle =
            p.read("limits.idleClose").map_err(|e| wrong(&e))?.map_or(IDLE_CLOSE, Duration::from_micros);
        Ok(Config {
            name: file.name,
            listen: file.listen,
            seed,
            memory_mb: file.limits.memory_mb,
            sockets: file.limits.sockets,
            flow_bytes_per_s: file.flow_bytes_per_s,
            feed: file.feed,
            door: file.operator,
            known: (file.known.n, events),
            settings,
            names,
            streams,
            idle,
            file: whole,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = include_str!("../../../examples/config.json");

    /// Guards against a file that is taken though its end is missing: it is read while somebody writes it.
    #[test]
    fn a_file_that_is_cut_anywhere_is_turned_down() {
        let whole = FILE.trim_end();
        assert!(Config::read(whole).is_ok());
        for at in 0..whole.len() {
            assert!(Config::read(&whole[..at]).is_err(), "cut at byte {at}");
        }
    }

    /// Guards against a number that is turned down, or another one, for how it is written.
    #[test]
    fn whole_numbers_are_the_same_however_they_are_written() {
        let written = FILE.replace("\"hardLimit\": 5000000", "\"hardLimit\": 5e6");
        assert_ne!(written, FILE);
        let (a, b) = (Config::read(FILE).unwrap(), Config::read(&written).unwrap());
        assert_eq!(a.settings, b.settings);
        assert_eq!(a.gives_way_to(&b).map_err(|e| e.to_string()), Ok(()));
    }
}
