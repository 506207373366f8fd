//! What a driver hands back after it has played a scenario.

use crate::cluster_report::ClusterReport;
use crate::load::CompletedRequest;
use crate::model::{PerTier, ServerModel};
use crate::statistics::Samples;
use crate::Time;

/// A scenario that was played to its end.
#[derive(Debug)]
pub struct RunResult {
    /// When it started, in microseconds of Unix time.
    pub start: Time,
    /// What became of each request of a client.
    pub completed: Vec<CompletedRequest>,
    /// The servers.
    pub model: ServerModel,
    /// What the driver counted beside.
    pub counters: DriverCounters,
}

/// What a driver counts.
#[derive(Clone, Debug, Default)]
pub struct DriverCounters {
    /// Attempts that reached servers.
    pub attempts: u64,
    /// Answers to clients beyond the one final answer to each attempt.
    pub surplus_answers: u64,
    /// What the routers' views came to, where routers form a cluster.
    pub cluster: Option<ClusterReport>,
    /// Parts of the quotas of servers that warm up which all routers together had used within a
    /// window, by their own accounts: the peak once all know of the start, and the mean while more
    /// was wanted than there is. Only in virtual time.
    pub quota_use: PerTier<Samples>,
}
