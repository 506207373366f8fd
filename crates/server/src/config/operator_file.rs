//! The operator's file: what is on beyond the platform's protocol. Without it, nothing of this is.
//!
//! The keys are an interface, and so are the doc comments of sections and keys: the JSON schema
//! that `hollymux check --schema` prints has them as descriptions.

pub use super::cluster_section::{ClusterSection, QuotaSection};
use hollymux_config_file::{Check, Faults};
use hollymux_protocol::dns;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// What an operator has switched on. A section that is absent is off.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// DNS-based request routing.
    pub dns: Option<DnsSection>,
    /// Recording of the load, for plans.
    #[serde(rename = "record")]
    pub recording: Option<RecordingSection>,
    /// Routers that know each other.
    #[serde(rename = "fleet")]
    pub cluster: Option<ClusterSection>,
}

/// Where the load is recorded, and how much of it is kept.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RecordingSection {
    /// The folder; it is made if need be.
    #[serde(rename = "dir")]
    pub directory: PathBuf,
    /// A file is ended at about this size. Default: 16.
    #[serde(rename = "file_mb", default = "default_max_file_mb")]
    pub max_file_mb: u64,
    /// So many files are kept; the oldest makes way. Default: 16.
    #[serde(rename = "files", default = "default_max_files")]
    pub max_files: usize,
    /// Entries that may wait for the disk; beyond them entries are dropped and counted. Default: 16384.
    #[serde(rename = "queue", default = "default_max_queued_entries")]
    pub max_queued_entries: usize,
}

fn default_max_file_mb() -> u64 {
    16
}

fn default_max_files() -> usize {
    16
}

fn default_max_queued_entries() -> usize {
    16_384
}

/// The DNS front, and following another's answers.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DnsSection {
    /// The zone whose names are requests and boxes.
    pub zone: String,
    /// Where queries are answered, over UDP and TCP. Default: queries are not answered.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// A server whose answers this router follows instead of deciding itself. Default: it decides.
    #[serde(default)]
    pub follow: Option<SocketAddr>,
}

impl DnsSection {
    /// The zone as labels; empty if it is no name, which the check of the file rules out.
    pub fn name(&self) -> dns::Name {
        dns::parse_name(&self.zone).unwrap_or_default()
    }
}

impl Check for Operator {
    fn check(&self, faults: &mut Faults) {
        if let Some(section) = &self.dns {
            section.check(faults);
        }
        if let Some(section) = &self.cluster {
            section.check(faults);
        }
        if let Some(section) = &self.recording {
            section.check(faults);
        }
    }
}

impl Check for DnsSection {
    fn check(&self, faults: &mut Faults) {
        let is_name = dns::parse_name(&self.zone).is_some();
        faults.unless(is_name, "dns.zone", "is no domain name");
        let is_used = self.listen.is_some() || self.follow.is_some();
        faults.unless(is_used, "dns", "neither listen nor follow is given");
    }
}

impl Check for RecordingSection {
    fn check(&self, faults: &mut Faults) {
        let has_directory = !self.directory.as_os_str().is_empty();
        faults.unless(has_directory, "record.dir", "is empty");
        check_range(faults, "record.file_mb", self.max_file_mb, 1..=4_096);
        check_range(faults, "record.files", self.max_files as u64, 1..=10_000);
        check_range(faults, "record.queue", self.max_queued_entries as u64, 1..=1_000_000);
    }
}

/// Reports a number that does not lie in a range.
pub(super) fn check_range(faults: &mut Faults, field: &str, value: u64, range: RangeInclusive<u64>) {
    let requirement = format!("must lie between {} and {}", range.start(), range.end());
    faults.unless(range.contains(&value), field, &requirement);
}
