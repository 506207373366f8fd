//! The operator's file: what is on beyond the platform's protocol. Without it, nothing of this is.

use hollymux_config_file::{Check, Faults};
use hollymux_protocol::dns;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What an operator has switched on. A section that is absent is off.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// DNS-based request routing.
    pub dns: Option<DnsSection>,
    /// Recording of the load, for plans.
    pub record: Option<RecordingSection>,
    /// Routers that know each other.
    pub fleet: Option<ClusterSection>,
}

/// Routers that know each other (docs/cluster.md has the reasons for the times).
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClusterSection {
    /// The fleet's name: what routers of other fleets say is dropped.
    pub name: String,
    /// Where this router hears others, over UDP. Datagrams are not authenticated: a network of its own only.
    pub listen: SocketAddr,
    /// The address that others send to. Default: `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Routers to ask at the start, by the addresses that they advertise. Some should be there at any time.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// From one probe to the next. Default: 500.
    #[serde(default = "probe_ms")]
    pub probe_ms: u64,
    /// After this long others are asked to probe who has not answered. Default: 150.
    #[serde(default = "answer_ms")]
    pub answer_ms: u64,
    /// From one telling of news to the next. Default: 200.
    #[serde(default = "tell_ms")]
    pub tell_ms: u64,
    /// A suspicion that others confirm ends in a loss after this long. Default: 1500.
    #[serde(default = "suspect_least_ms")]
    pub suspect_least_ms: u64,
    /// One that nobody confirms ends in a loss after this long. Default: 4500.
    #[serde(default = "suspect_most_ms")]
    pub suspect_most_ms: u64,
    /// Routers that are lost are tried again no more often than this. Default: 1000.
    #[serde(default = "retry_ms")]
    pub retry_ms: u64,
    /// What cold servers bear is shared by parts that move on lease, in place of even shares. Default: it is not.
    #[serde(default)]
    pub limits: Option<QuotaSection>,
}

/// Parts of limits on lease (docs/quota-leases.md has the reasons for the times).
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaSection {
    /// Parts are given for this long. Default: 2500.
    pub lease_ms: u64,
    /// What a broker passes on is given for this long. Default: 1200.
    pub onward_ms: u64,
    /// From one word to a broker to the next. Default: 400.
    pub turn_ms: u64,
}

impl Default for QuotaSection {
    fn default() -> QuotaSection {
        QuotaSection { lease_ms: 2_500, onward_ms: 1_200, turn_ms: 400 }
    }
}

impl QuotaSection {
    fn check(&self, faults: &mut Faults) {
        let within = |v: u64, least, most| (least..=most).contains(&v);
        let turn = within(self.turn_ms, 50, 10_000);
        faults.unless(turn, "fleet.limits.turn_ms", "must lie between 50 and 10000");
        let onward = within(self.onward_ms, 2 * self.turn_ms, 60_000);
        faults.unless(onward, "fleet.limits.onward_ms", "must be at least twice turn_ms, at most 60000");
        let lease = within(self.lease_ms, self.onward_ms + 2 * self.turn_ms, 120_000);
        let why = "must be at least onward_ms and twice turn_ms, at most 120000";
        faults.unless(lease, "fleet.limits.lease_ms", why);
    }
}

impl ClusterSection {
    /// The address that others send to.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    fn check(&self, faults: &mut Faults) {
        faults.unless((1..=64).contains(&self.name.len()), "fleet.name", "must have 1 to 64 bytes");
        let known = |a: SocketAddr| !a.ip().is_unspecified() && a.port() != 0;
        let field = if self.advertise.is_some() { "fleet.advertise" } else { "fleet.listen" };
        let why = "is no address that others can send to; give one in advertise";
        faults.unless(known(self.advertised()), field, why);
        faults.unless(self.seeds.len() <= 64, "fleet.seeds", "must be no more than 64");
        for (i, seed) in self.seeds.iter().enumerate() {
            faults.unless(known(*seed), format!("fleet.seeds[{i}]"), "is no address to send to");
        }
        let within = |v: u64, least, most| (least..=most).contains(&v);
        faults.unless(within(self.probe_ms, 100, 10_000), "fleet.probe_ms", "must lie between 100 and 10000");
        let answer = within(self.answer_ms, 10, self.probe_ms.saturating_sub(1));
        faults.unless(answer, "fleet.answer_ms", "must be at least 10 and less than probe_ms");
        faults.unless(within(self.tell_ms, 50, 10_000), "fleet.tell_ms", "must lie between 50 and 10000");
        let least = within(self.suspect_least_ms, 2 * self.probe_ms, 60_000);
        faults.unless(least, "fleet.suspect_least_ms", "must be at least twice probe_ms, at most 60000");
        let most = within(self.suspect_most_ms, self.suspect_least_ms, 600_000);
        faults.unless(
            most,
            "fleet.suspect_most_ms",
            "must not be less than suspect_least_ms, at most 600000",
        );
        faults.unless(within(self.retry_ms, 200, 60_000), "fleet.retry_ms", "must lie between 200 and 60000");
        self.limits.iter().for_each(|l| l.check(faults));
    }
}

fn probe_ms() -> u64 {
    500
}
fn answer_ms() -> u64 {
    150
}
fn tell_ms() -> u64 {
    200
}
fn suspect_least_ms() -> u64 {
    1_500
}
fn suspect_most_ms() -> u64 {
    4_500
}
fn retry_ms() -> u64 {
    1_000
}

/// Where the load is recorded, and how much of it is kept.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RecordingSection {
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
        if let Some(d) = &self.dns {
            faults.unless(dns::parse_name(&d.zone).is_some(), "dns.zone", "is no domain name");
            let some = d.listen.is_some() || d.follow.is_some();
            faults.unless(some, "dns", "neither listen nor follow is given");
        }
        if let Some(f) = &self.fleet {
            f.check(faults);
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
