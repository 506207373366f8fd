//! The section `fleet` of the operator's file: the cluster that the router is a member of. Its doc
//! comments are printed with the JSON schema.

use super::operator_file::check_range;
use hollymux_config_file::{Check, Faults};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes that a cluster's name may have.
const MAX_NAME_BYTES: usize = 64;
/// Seeds that may be given.
const MAX_SEEDS: usize = 64;

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
    #[serde(rename = "probe_ms", default = "default_probe_interval_ms")]
    pub probe_interval_ms: u64,
    /// After this long others are asked to probe who has not answered. Default: 150.
    #[serde(rename = "answer_ms", default = "default_ack_timeout_ms")]
    pub ack_timeout_ms: u64,
    /// From one telling of news to the next. Default: 200.
    #[serde(rename = "tell_ms", default = "default_gossip_interval_ms")]
    pub gossip_interval_ms: u64,
    /// A suspicion that others confirm ends in a loss after this long. Default: 1500.
    #[serde(rename = "suspect_least_ms", default = "default_min_suspicion_ms")]
    pub min_suspicion_ms: u64,
    /// One that nobody confirms ends in a loss after this long. Default: 4500.
    #[serde(rename = "suspect_most_ms", default = "default_max_suspicion_ms")]
    pub max_suspicion_ms: u64,
    /// Routers that are lost are tried again no more often than this. Default: 1000.
    #[serde(rename = "retry_ms", default = "default_reconnect_interval_ms")]
    pub reconnect_interval_ms: u64,
    /// What cold servers bear is shared by parts that move on lease, in place of even shares. Default: it is not.
    #[serde(rename = "limits", default)]
    pub quotas: Option<QuotaSection>,
}

/// Parts of limits on lease (docs/quota-leases.md has the reasons for the times).
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaSection {
    /// Parts are given for this long. Default: 2500.
    #[serde(rename = "lease_ms")]
    pub lease_duration_ms: u64,
    /// What a broker passes on is given for this long. Default: 1200.
    #[serde(rename = "onward_ms")]
    pub broker_lease_duration_ms: u64,
    /// From one word to a broker to the next. Default: 400.
    #[serde(rename = "turn_ms")]
    pub exchange_interval_ms: u64,
}

impl Default for QuotaSection {
    fn default() -> QuotaSection {
        QuotaSection { lease_duration_ms: 2_500, broker_lease_duration_ms: 1_200, exchange_interval_ms: 400 }
    }
}

impl Check for QuotaSection {
    fn check(&self, faults: &mut Faults) {
        check_range(faults, "fleet.limits.turn_ms", self.exchange_interval_ms, 50..=10_000);
        let least_broker_lease = 2 * self.exchange_interval_ms;
        faults.unless(
            (least_broker_lease..=60_000).contains(&self.broker_lease_duration_ms),
            "fleet.limits.onward_ms",
            "must be at least twice turn_ms, at most 60000",
        );
        let least_lease = self.broker_lease_duration_ms + 2 * self.exchange_interval_ms;
        faults.unless(
            (least_lease..=120_000).contains(&self.lease_duration_ms),
            "fleet.limits.lease_ms",
            "must be at least onward_ms and twice turn_ms, at most 120000",
        );
    }
}

impl ClusterSection {
    /// The address that others send to.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    fn check_addresses(&self, faults: &mut Faults) {
        let field = if self.advertise.is_some() { "fleet.advertise" } else { "fleet.listen" };
        let requirement = "is no address that others can send to; give one in advertise";
        faults.unless(is_reachable(self.advertised()), field, requirement);
        faults.unless(self.seeds.len() <= MAX_SEEDS, "fleet.seeds", "must be no more than 64");
        for (index, seed) in self.seeds.iter().enumerate() {
            let field = format!("fleet.seeds[{index}]");
            faults.unless(is_reachable(*seed), field, "is no address to send to");
        }
    }

    fn check_timings(&self, faults: &mut Faults) {
        check_range(faults, "fleet.probe_ms", self.probe_interval_ms, 100..=10_000);
        let max_ack_timeout = self.probe_interval_ms.saturating_sub(1);
        faults.unless(
            (10..=max_ack_timeout).contains(&self.ack_timeout_ms),
            "fleet.answer_ms",
            "must be at least 10 and less than probe_ms",
        );
        check_range(faults, "fleet.tell_ms", self.gossip_interval_ms, 50..=10_000);
        let least_suspicion = 2 * self.probe_interval_ms;
        faults.unless(
            (least_suspicion..=60_000).contains(&self.min_suspicion_ms),
            "fleet.suspect_least_ms",
            "must be at least twice probe_ms, at most 60000",
        );
        faults.unless(
            (self.min_suspicion_ms..=600_000).contains(&self.max_suspicion_ms),
            "fleet.suspect_most_ms",
            "must not be less than suspect_least_ms, at most 600000",
        );
        check_range(faults, "fleet.retry_ms", self.reconnect_interval_ms, 200..=60_000);
    }
}

impl Check for ClusterSection {
    fn check(&self, faults: &mut Faults) {
        let has_name = (1..=MAX_NAME_BYTES).contains(&self.name.len());
        faults.unless(has_name, "fleet.name", "must have 1 to 64 bytes");
        self.check_addresses(faults);
        self.check_timings(faults);
        if let Some(quotas) = &self.quotas {
            quotas.check(faults);
        }
    }
}

/// Whether other routers can send to an address.
fn is_reachable(address: SocketAddr) -> bool {
    !address.ip().is_unspecified() && address.port() != 0
}

fn default_probe_interval_ms() -> u64 {
    500
}

fn default_ack_timeout_ms() -> u64 {
    150
}

fn default_gossip_interval_ms() -> u64 {
    200
}

fn default_min_suspicion_ms() -> u64 {
    1_500
}

fn default_max_suspicion_ms() -> u64 {
    4_500
}

fn default_reconnect_interval_ms() -> u64 {
    1_000
}
