//! The platform's configuration file (JSON): reading it, and checking whether a new one may replace
//! it while the router runs. The operator's file is described in [`operator_file`].

mod cluster_section;
mod file;
mod flatten;
pub mod operator_file;
mod reload;
pub mod reload_check;

use hollymux_decision::{SettingParseError, Settings, SettingsError};
use hollymux_protocol::feed_events::{EventError, NameTables};
use hollymux_router::{FeedEvent, RouterOptions};
use reload_check::ReplacementError;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Why a configuration can't be used. The text of an error is one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A configuration file can't be used, for the contained reason.
    #[error("configuration {}: {error}", path.display())]
    File {
        /// The path of the configuration file that was read.
        path: PathBuf,
        /// The reason; never another `File`.
        #[source]
        error: Box<ConfigError>,
    },
    /// The file can't be opened or read, or is not UTF-8.
    #[error("{0}")]
    Unreadable(#[from] std::io::Error),
    /// The text is not JSON, or lacks a required key, or a value has the wrong type.
    #[error("{}", one_line(.0))]
    Malformed(#[from] serde_json::Error),
    /// A setting has a value of the wrong type or an unknown name.
    #[error("{}", one_line(.0))]
    Setting(#[from] SettingParseError),
    /// The settings can be read, but a router can't work with one of the values.
    #[error("{}", one_line(.0))]
    Settings(#[from] SettingsError),
    /// One of the endpoint events in the section `known` can't be read.
    #[error("{}", one_line(.0))]
    Event(#[from] EventError),
    /// The section `limits` allows fewer descriptors or less memory than a router needs to serve.
    #[error("limits: at least {MIN_SOCKETS} sockets and {MIN_MEMORY_MB} MB are needed")]
    LimitsTooLow,
    /// The key `seed` is not a hexadecimal number of up to 64 bits; contains its text.
    #[error("seed: {0:?} is not a hex number")]
    Seed(String),
    /// The environment variable `NODE_OPERATOR` is not a socket address.
    #[error("{ADMIN_ADDRESS_VARIABLE}: {0}")]
    AdminAddress(std::net::AddrParseError),
    /// The configuration is valid, but may not replace the one in force.
    #[error("{0}")]
    Replacement(#[from] ReplacementError),
}

/// An error's text without line breaks.
fn one_line(error: &dyn std::fmt::Display) -> String {
    error.to_string().replace('\n', " ")
}

/// Smallest number of descriptors that a router can serve with.
const MIN_SOCKETS: usize = 64;
/// Smallest memory limit that a router can serve with, in MB.
const MIN_MEMORY_MB: u64 = 16;
/// The environment variable with the address of the admin endpoint, used if the file has none.
const ADMIN_ADDRESS_VARIABLE: &str = "NODE_OPERATOR";

/// The configuration that a request router is started with.
#[derive(Debug)]
pub struct Config {
    /// The router's name. It stays the same after a restart; empty if the file has none.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// Seed of the router's random numbers.
    pub seed: u64,
    /// Memory limit of the process, in MB.
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    pub max_descriptors: usize,
    /// Throughput of a single transfer, in bytes per second; 0 if it is not known.
    pub flow_bytes_per_s: f64,
    /// The address to which the router connects for the endpoint feed.
    pub feed: SocketAddr,
    /// The address of the admin endpoint; `None` if the router has none.
    pub admin_listen: Option<SocketAddr>,
    /// The number of the last endpoint event in the file, and the events themselves. The endpoint
    /// feed is asked for the events after that number.
    pub known: (u64, Vec<FeedEvent>),
    /// The settings of the decision module, from the section `settings`.
    pub settings: Settings,
    /// The names of classes, zones and endpoint kinds. Endpoint events refer to them by index.
    pub names: NameTables,
    /// Maximum number of attempts in flight on one connection to an endpoint.
    pub max_attempts_per_connection: usize,
    /// The time after which endpoints close idle connections.
    pub endpoint_idle_timeout: Duration,
    /// The whole file as JSON. A replacement is compared with it.
    pub file: Value,
}

impl Config {
    /// The options for [`hollymux_router::Router::new`].
    pub fn router_options(&self) -> RouterOptions {
        RouterOptions {
            settings: self.settings.clone(),
            classes: self.names.classes.clone(),
            seed: self.seed,
            memory_mb: self.memory_mb,
            flow_bytes_per_s: self.flow_bytes_per_s,
        }
    }
}
