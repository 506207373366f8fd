//! The operator's file: what is on beyond the platform's protocol. Without it, nothing of this is.

use hollymux_settings::{Check, Faults};
use hollymux_wire::dns;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What an operator has switched on. A section that is absent is off.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// DNS-based request routing.
    pub dns: Option<Dns>,
    /// Recording of the load, for plans.
    pub record: Option<Record>,
}

/// Where the load is recorded, and how much of it is kept.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The folder; it is made if need be.
    pub dir: PathBuf,
    /// A file is ended at about this size. Default: 16.
    #[serde(default = "file_mb")]
    pub file_mb: u64,
    /// So many files are kept; the oldest makes way. Default: 16.
    #[serde(default = "files")]
    pub files: usize,
    /// Entries that may wait for the disk; beyond them entries are dropped and counted. Default: 16384.
    #[serde(default = "queue")]
    pub queue: usize,
}

fn file_mb() -> u64 {
    16
}
fn files() -> usize {
    16
}
fn queue() -> usize {
    16_384
}

/// The DNS front, and following another's answers.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Dns {
    /// The zone whose names are requests and boxes.
    pub zone: String,
    /// Where queries are answered, over UDP and TCP. Default: queries are not answered.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// A server whose answers this router follows instead of deciding itself. Default: it decides.
    #[serde(default)]
    pub follow: Option<SocketAddr>,
}

impl Dns {
    /// The zone as labels; empty if it is no name, which the check of the file rules out.
    pub fn name(&self) -> dns::Name {
        dns::name(&self.zone).unwrap_or_default()
    }
}

impl Check for Operator {
    fn check(&self, faults: &mut Faults) {
        if let Some(d) = &self.dns {
            faults.unless(dns::name(&d.zone).is_some(), "dns.zone", "is no domain name");
            let some = d.listen.is_some() || d.follow.is_some();
            faults.unless(some, "dns", "neither listen nor follow is given");
        }
        if let Some(r) = &self.record {
            faults.unless(!r.dir.as_os_str().is_empty(), "record.dir", "is empty");
            faults.unless((1..=4_096).contains(&r.file_mb), "record.file_mb", "must lie between 1 and 4096");
            faults.unless((1..=10_000).contains(&r.files), "record.files", "must lie between 1 and 10000");
            let queue = (1..=1_000_000).contains(&r.queue);
            faults.unless(queue, "record.queue", "must lie between 1 and 1000000");
        }
    }
}
