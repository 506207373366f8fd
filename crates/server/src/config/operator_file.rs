//! The operator's file: features beyond the platform's protocol. Without the file, all of them are
//! off.
//!
//! The keys are an interface. The doc comments of sections and keys are printed as descriptions in
//! the JSON schema (`hollymux check --schema`).

pub use super::cluster_section::{ClusterSection, QuotaSection};
use hollymux_config_file::{Check, Faults};
use hollymux_protocol::dns;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Features that the operator has enabled. A section that is absent is off.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// DNS-based request routing.
    pub dns: Option<DnsSection>,
    /// Recording of the load, for capacity planning.
    #[serde(rename = "record")]
    pub recording: Option<RecordingSection>,
    /// The cluster of routers that this router is a member of.
    #[serde(rename = "fleet")]
    pub cluster: Option<ClusterSection>,
}

/// Where the load is recorded, and how much of it is kept.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RecordingSection {
    /// The directory for recordings. It is created if it does not exist.
    #[serde(rename = "dir")]
    pub directory: PathBuf,
    /// Approximate maximum size of a recording file, in MB. Default: 16.
    #[serde(rename = "file_mb", default = "default_max_file_mb")]
    pub max_file_mb: u64,
    /// Number of recording files that are kept; the oldest are deleted. Default: 16.
    #[serde(rename = "files", default = "default_max_files")]
    pub max_files: usize,
    /// Maximum number of entries queued for the disk; more are dropped and counted. Default: 16384.
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

/// DNS-based request routing: answering queries, and following another router's answers.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DnsSection {
    /// The DNS zone whose names stand for requests and endpoints.
    pub zone: String,
    /// The address at which queries are answered, over UDP and TCP. Default: queries are not answered.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// The DNS server whose answers this router follows. Default: the router decides itself.
    #[serde(default)]
    pub follow: Option<SocketAddr>,
}

impl DnsSection {
    /// The zone as a list of labels. Empty if it is no domain name, which the check of the file
    /// rejects.
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
        faults.require(is_name, "dns.zone", "is no domain name");
        let is_used = self.listen.is_some() || self.follow.is_some();
        faults.require(is_used, "dns", "neither listen nor follow is given");
    }
}

impl Check for RecordingSection {
    fn check(&self, faults: &mut Faults) {
        let has_directory = !self.directory.as_os_str().is_empty();
        faults.require(has_directory, "record.dir", "is empty");
        check_range(faults, "record.file_mb", self.max_file_mb, 1..=4_096);
        check_range(faults, "record.files", self.max_files as u64, 1..=10_000);
        check_range(faults, "record.queue", self.max_queued_entries as u64, 1..=1_000_000);
    }
}

/// Reports a fault if a number does not lie in `range`.
pub(super) fn check_range(faults: &mut Faults, field: &str, value: u64, range: RangeInclusive<u64>) {
    let requirement = format!("must lie between {} and {}", range.start(), range.end());
    faults.require(range.contains(&value), field, &requirement);
}
