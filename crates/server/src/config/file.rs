//! Reading the configuration file and converting its keys to a [`Config`].

use super::flatten::flatten;
use super::{Config, ConfigError, ADMIN_ADDRESS_VARIABLE, MIN_MEMORY_MB, MIN_SOCKETS};
use hollymux_decision::{parse_settings, SettingParseError, SettingsMap};
use hollymux_protocol::feed_events::{EventError, NameTables};
use hollymux_router::FeedEvent;
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Idle timeout of endpoints if the settings do not contain `limits.idleClose`.
const DEFAULT_IDLE_CLOSE: Duration = Duration::from_secs(30);
/// Maximum number of attempts in flight on one connection if the settings do not contain
/// `limits.streamsPerConn`.
const DEFAULT_STREAMS_PER_CONNECTION: usize = 32;

/// The section `limits`: what the process may use.
#[derive(Deserialize)]
struct LimitsSection {
    memory_mb: u64,
    sockets: usize,
}

/// The section `known`: the endpoint events up to the number `n`.
#[derive(Deserialize)]
struct KnownSection {
    #[serde(rename = "n")]
    last_event: u64,
    events: Vec<Value>,
}

/// The keys of the configuration file.
#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: LimitsSection,
    feed: SocketAddr,
    operator: Option<SocketAddr>,
    #[serde(default)]
    flow_bytes_per_s: f64,
    known: KnownSection,
    settings: Value,
}

impl Config {
    /// Reads the file. If it has no address for the admin endpoint, the environment variable
    /// `NODE_OPERATOR` is used.
    ///
    /// # Errors
    ///
    /// If the file can't be read or used; the error names the file.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let loaded = load_with_environment(path);
        loaded.map_err(|error| ConfigError::File { path: path.to_path_buf(), error: Box::new(error) })
    }

    /// Parses the text of a configuration file.
    ///
    /// # Errors
    ///
    /// If the text is not JSON, a required key is missing, or a value can't be used.
    pub fn read(text: &str) -> Result<Config, ConfigError> {
        let value: Value = serde_json::from_str(text)?;
        let file = ConfigFile::deserialize(&value)?;
        let mut entries = BTreeMap::new();
        flatten("", &file.settings, &mut entries);
        let map = SettingsMap::new(entries);
        let settings = parse_settings(&map)?;
        settings.check()?;
        let names = read_names(&map, settings.classes.len())?;
        if file.limits.sockets < MIN_SOCKETS || file.limits.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::LimitsTooLow);
        }
        let known_events = read_events(&names, file.known.events)?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed(file.seed))?;
        let max_attempts_per_connection =
            map.read("limits.streamsPerConn")?.unwrap_or(DEFAULT_STREAMS_PER_CONNECTION);
        let endpoint_idle_timeout =
            map.read("limits.idleClose")?.map_or(DEFAULT_IDLE_CLOSE, Duration::from_micros);
        Ok(Config {
            name: file.name,
            listen: file.listen,
            seed,
            memory_mb: file.limits.memory_mb,
            max_descriptors: file.limits.sockets,
            flow_bytes_per_s: file.flow_bytes_per_s,
            feed: file.feed,
            admin_listen: file.operator,
            known: (file.known.last_event, known_events),
            settings,
            names,
            max_attempts_per_connection,
            endpoint_idle_timeout,
            file: value,
        })
    }
}

fn load_with_environment(path: &Path) -> Result<Config, ConfigError> {
    let text = std::fs::read_to_string(path)?;
    let mut config = Config::read(&text)?;
    let address = std::env::var(ADMIN_ADDRESS_VARIABLE).ok().filter(|address| !address.is_empty());
    if let (None, Some(address)) = (config.admin_listen, address) {
        config.admin_listen = Some(address.parse().map_err(ConfigError::AdminAddress)?);
    }
    Ok(config)
}

fn read_names(map: &SettingsMap, class_count: usize) -> Result<NameTables, SettingParseError> {
    let class_name = |index| map.read(&format!("classes.{index}.name")).map(Option::unwrap_or_default);
    Ok(NameTables {
        classes: (0..class_count).map(class_name).collect::<Result<_, _>>()?,
        zones: map.list("failureDomains")?,
        kinds: map.list("models")?,
    })
}

fn read_events(names: &NameTables, values: Vec<Value>) -> Result<Vec<FeedEvent>, EventError> {
    let mut events = Vec::new();
    for value in values {
        let message = names.parse_event_value(value)?;
        events.extend(message.event);
    }
    Ok(events)
}
