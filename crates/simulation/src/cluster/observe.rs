//! What is observed of a cluster's views.

use super::{router_address, ObservedChange, RouterCluster};
use crate::Time;
use hollymux_cluster::limits::Limits;
use hollymux_cluster::view::{Change, Membership, Rank};

impl RouterCluster {
    /// A router's view, if it runs.
    pub fn view(&self, router: usize) -> Option<&Membership> {
        self.processes[router].view.as_ref()
    }

    /// A router's leased quotas, if it runs and quotas are leased.
    pub fn limits(&self, router: usize) -> Option<&Limits> {
        self.processes[router].limits.as_ref()
    }

    /// The routers that run and are not paused.
    pub fn running(&self) -> Vec<usize> {
        let runs = |router: &usize| {
            let process = &self.processes[*router];
            process.view.is_some() && !process.paused
        };
        (0..self.processes.len()).filter(runs).collect()
    }

    /// The rank of a router in the view of another one.
    pub fn rank(&self, of: usize, by: usize) -> Option<Rank> {
        Some(self.view(by)?.record(router_address(of))?.rank)
    }

    /// The part of some routers in whose views another one has that rank.
    pub fn share_agreeing(&self, by: &[usize], of: usize, rank: Rank) -> f64 {
        let others = || by.iter().filter(|by| **by != of);
        let agreeing = others().filter(|by| self.rank(of, **by) == Some(rank)).count();
        agreeing as f64 / others().count().max(1) as f64
    }

    /// Whether some routers all hold the same view, in which all of them are alive or suspect.
    pub fn converged(&self, routers: &[usize]) -> bool {
        let mut digests = routers.iter().map(|router| self.view(*router).map(Membership::digest));
        let Some(first_digest) = digests.next().flatten() else { return false };
        let Some((first, rest)) = routers.split_first() else { return false };
        let is_member = |of: &usize| self.rank(*of, *first).is_some_and(|rank| rank <= Rank::Suspect);
        digests.all(|digest| digest == Some(first_digest)) && rest.iter().all(is_member)
    }

    /// The smallest number of routers that any of these takes for possibly active.
    pub fn min_possibly_active(&self, routers: &[usize]) -> u32 {
        let counts = routers.iter().filter_map(|router| Some(self.view(*router)?.at_work(None)));
        counts.min().unwrap_or(0)
    }

    /// How often any router was reported lost since then, by anybody.
    pub fn lost_reports(&self, since: Time) -> usize {
        let lost = |observed: &&ObservedChange| {
            let is_lost =
                matches!(&observed.change, Change::Router(_, _, record) if record.rank == Rank::Lost);
            observed.at >= since && is_lost
        };
        self.changes.iter().filter(lost).count()
    }
}
