//! The raw result of a run, which the report is computed from.

use crate::cluster_report::ClusterReport;
use crate::load::CompletedRequest;
use crate::model::{PerTier, ServerModel};
use crate::statistics::Samples;
use crate::Time;

/// The result of a completed run of a scenario.
#[derive(Debug)]
pub struct RunResult {
    /// The start of the run, in microseconds of Unix time.
    pub start: Time,
    /// The clients' requests that have their final answer.
    pub completed: Vec<CompletedRequest>,
    /// The servers, with their violations, counters and resource use.
    pub model: ServerModel,
    /// The figures that only the driver can count.
    pub counters: DriverCounters,
}

/// Figures that the driver of a run counts, beside those of the clients and the servers.
#[derive(Clone, Debug, Default)]
pub struct DriverCounters {
    /// The number of attempts that reached servers.
    pub attempts: u64,
    /// The number of answers to clients beyond the one final answer to each attempt.
    pub surplus_answers: u64,
    /// What the routers' views of their cluster show; `None` if the routers form no cluster.
    pub cluster: Option<ClusterReport>,
    /// Use of the quotas of servers that warm up by all routers together within a window, by the
    /// routers' own accounts, as a share of the quota. The peak counts once all routers know that
    /// the server warms up; the mean counts while demand is at least the whole quota. Only measured
    /// in virtual time.
    pub quota_use: PerTier<Samples>,
}
