//! The platform's configuration file (JSON), how it is read, and when another one may replace it.

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

/// Why a configuration can't be used, in one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file that can't be used, and why.
    #[error("configuration {}: {error}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        #[source]
        error: Box<ConfigError>,
    },
    /// The file can't be read.
    #[error("{0}")]
    Unreadable(#[from] std::io::Error),
    /// It is no JSON of the expected form.
    #[error("{}", one_line(.0))]
    Malformed(#[from] serde_json::Error),
    /// A setting can't be read.
    #[error("{}", one_line(.0))]
    Setting(#[from] SettingParseError),
    /// The settings contain a value that no router can work with.
    #[error("{}", one_line(.0))]
    Settings(#[from] SettingsError),
    /// One of the endpoint events in the file can't be read.
    #[error("{}", one_line(.0))]
    Event(#[from] EventError),
    /// The limits leave too little to serve with.
    #[error("limits: at least {MIN_SOCKETS} sockets and {MIN_MEMORY_MB} MB are needed")]
    LimitsTooLow,
    /// The seed is not hexadecimal.
    #[error("seed: {0:?} is not a hex number")]
    Seed(String),
    /// The variable with the address of the admin endpoint can't be read.
    #[error("{ADMIN_ADDRESS_VARIABLE}: {0}")]
    AdminAddress(std::net::AddrParseError),
    /// It may not replace the configuration in force.
    #[error("{0}")]
    Replacement(#[from] ReplacementError),
}

/// An error's text without line breaks.
fn one_line(error: &dyn std::fmt::Display) -> String {
    error.to_string().replace('\n', " ")
}

/// The fewest descriptors that a router can serve with.
const MIN_SOCKETS: usize = 64;
/// The least memory that a router can serve with, in MB.
const MIN_MEMORY_MB: u64 = 16;
/// Gives the address of the admin endpoint where the file does not.
const ADMIN_ADDRESS_VARIABLE: &str = "NODE_OPERATOR";

/// Everything that a request router is given when it starts.
#[derive(Debug)]
pub struct Config {
    /// The router's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Memory limit in MB.
    pub memory_mb: u64,
    /// Limit of file descriptors.
    pub sockets: usize,
    /// Bytes per second of a single transfer; 0: unknown.
    pub flow_bytes_per_s: f64,
    /// The address of the endpoint feed.
    pub feed: SocketAddr,
    /// The address of the admin endpoint, if there is one.
    pub door: Option<SocketAddr>,
    /// The number of the last endpoint event that the file contains, and the events.
    pub known: (u64, Vec<FeedEvent>),
    /// The settings of the decision module.
    pub settings: Settings,
    /// Names of classes, zones and endpoint kinds, by number.
    pub names: NameTables,
    /// Attempts that one connection to an endpoint carries at a time.
    pub streams: usize,
    /// Endpoints close connections that were idle for this long.
    pub idle: Duration,
    /// The file as it was read.
    pub file: Value,
}

impl Config {
    /// What the router is started with.
    pub fn setup(&self) -> RouterOptions {
        RouterOptions {
            settings: self.settings.clone(),
            classes: self.names.classes.clone(),
            seed: self.seed,
            memory_mb: self.memory_mb,
            flow_bytes_per_s: self.flow_bytes_per_s,
        }
    }
}
