//! The section `fleet` of the operator's file: the cluster that this router is a member of. The doc
//! comments are printed as descriptions in the JSON schema.

use super::operator_file::check_range;
use hollymux_config_file::{Check, Faults};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of a cluster's name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum number of seeds.
const MAX_SEEDS: usize = 64;

/// Membership in a cluster of routers (docs/cluster.md has the reasons for the times).
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClusterSection {
    /// The cluster's name. Datagrams of routers in other clusters are dropped.
    pub name: String,
    /// The UDP address for datagrams of other routers. They are not authenticated: use a private network.
    pub listen: SocketAddr,
    /// The address to which other routers send. Default: `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Advertised addresses of routers to contact at the start. Some of them should run at any time.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Interval between two probes, in milliseconds. Default: 500.
    #[serde(rename = "probe_ms", default = "default_probe_interval_ms")]
    pub probe_interval_ms: u64,
    /// Time without an answer to a probe after which other routers are asked to probe, in ms. Default: 150.
    #[serde(rename = "answer_ms", default = "default_ack_timeout_ms")]
    pub ack_timeout_ms: u64,
    /// Interval between two rounds of gossip, in milliseconds. Default: 200.
    #[serde(rename = "tell_ms", default = "default_gossip_interval_ms")]
    pub gossip_interval_ms: u64,
    /// Time after which a suspicion confirmed by other routers becomes a failure, in ms. Default: 1500.
    #[serde(rename = "suspect_least_ms", default = "default_min_suspicion_ms")]
    pub min_suspicion_ms: u64,
    /// Time after which a suspicion that no other router confirms becomes a failure, in ms. Default: 4500.
    #[serde(rename = "suspect_most_ms", default = "default_max_suspicion_ms")]
    pub max_suspicion_ms: u64,
    /// Shortest interval between two attempts to reach a failed router, in milliseconds. Default: 1000.
    #[serde(rename = "retry_ms", default = "default_reconnect_interval_ms")]
    pub reconnect_interval_ms: u64,
    /// Leased shares of the warm-up budgets of cold endpoints. Default: the budgets are divided evenly.
    #[serde(rename = "limits", default)]
    pub quotas: Option<QuotaSection>,
}

/// Leased shares of limits (docs/quota-leases.md has the reasons for the times).
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaSection {
    /// Duration of a lease to a broker, in milliseconds. Default: 2500.
    #[serde(rename = "lease_ms")]
    pub lease_duration_ms: u64,
    /// Duration of a lease from a broker to other routers, in milliseconds. Default: 1200.
    #[serde(rename = "onward_ms")]
    pub broker_lease_duration_ms: u64,
    /// Interval between two messages to a broker, in milliseconds. Default: 400.
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
        let min_broker_lease = 2 * self.exchange_interval_ms;
        faults.require(
            (min_broker_lease..=60_000).contains(&self.broker_lease_duration_ms),
            "fleet.limits.onward_ms",
            "must be at least twice turn_ms, at most 60000",
        );
        let min_lease = self.broker_lease_duration_ms + 2 * self.exchange_interval_ms;
        faults.require(
            (min_lease..=120_000).contains(&self.lease_duration_ms),
            "fleet.limits.lease_ms",
            "must be at least onward_ms and twice turn_ms, at most 120000",
        );
    }
}

impl ClusterSection {
    /// The address to which other routers send: `advertise`, or `listen` if it is not given.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    fn check_addresses(&self, faults: &mut Faults) {
        let field = if self.advertise.is_some() { "fleet.advertise" } else { "fleet.listen" };
        let requirement = "is no address that others can send to; give one in advertise";
        faults.require(is_reachable(self.advertised()), field, requirement);
        faults.require(self.seeds.len() <= MAX_SEEDS, "fleet.seeds", "must be no more than 64");
        for (index, seed) in self.seeds.iter().enumerate() {
            let field = format!("fleet.seeds[{index}]");
            faults.require(is_reachable(*seed), field, "is no address to send to");
        }
    }

    fn check_timings(&self, faults: &mut Faults) {
        check_range(faults, "fleet.probe_ms", self.probe_interval_ms, 100..=10_000);
        let max_ack_timeout = self.probe_interval_ms.saturating_sub(1);
        faults.require(
            (10..=max_ack_timeout).contains(&self.ack_timeout_ms),
            "fleet.answer_ms",
            "must be at least 10 and less than probe_ms",
        );
        check_range(faults, "fleet.tell_ms", self.gossip_interval_ms, 50..=10_000);
        let smallest_min_suspicion = 2 * self.probe_interval_ms;
        faults.require(
            (smallest_min_suspicion..=60_000).contains(&self.min_suspicion_ms),
            "fleet.suspect_least_ms",
            "must be at least twice probe_ms, at most 60000",
        );
        faults.require(
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
        faults.require(has_name, "fleet.name", "must have 1 to 64 bytes");
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
