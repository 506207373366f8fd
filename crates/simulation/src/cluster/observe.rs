//! Observation of the views and quotas of a cluster's routers.

use super::{router_address, ObservedChange, RouterCluster};
use crate::Time;
use hollymux_cluster::membership::{MemberState, Membership, MembershipChange};
use hollymux_cluster::quota::QuotaManager;

impl RouterCluster {
    /// A router's view; `None` if the router does not run.
    pub fn view(&self, router: usize) -> Option<&Membership> {
        self.processes[router].view.as_ref()
    }

    /// A router's leased quotas; `None` if the router does not run or quotas are not leased.
    pub fn quotas(&self, router: usize) -> Option<&QuotaManager> {
        self.processes[router].quotas.as_ref()
    }

    /// The routers that run and are not paused.
    pub fn running(&self) -> Vec<usize> {
        let runs = |router: &usize| {
            let process = &self.processes[*router];
            process.view.is_some() && !process.paused
        };
        (0..self.processes.len()).filter(runs).collect()
    }

    /// The state of the router `of` in the view of the router `by`; `None` if `by` does not run or
    /// does not know `of`.
    pub fn state(&self, of: usize, by: usize) -> Option<MemberState> {
        Some(self.view(by)?.record_of(router_address(of))?.state)
    }

    /// The share of the routers in `by`, without `of` itself, whose views show `of` in a state.
    pub fn share_agreeing(&self, by: &[usize], of: usize, state: MemberState) -> f64 {
        let others = || by.iter().filter(|by| **by != of);
        let agreeing = others().filter(|by| self.state(of, **by) == Some(state)).count();
        agreeing as f64 / others().count().max(1) as f64
    }

    /// Whether the given routers all run and hold the same view, in which all of them are alive or
    /// suspect.
    pub fn converged(&self, routers: &[usize]) -> bool {
        let mut digests = routers.iter().map(|router| self.view(*router).map(Membership::digest));
        let Some(first_digest) = digests.next().flatten() else { return false };
        let Some((first, rest)) = routers.split_first() else { return false };
        let is_member =
            |of: &usize| self.state(*of, *first).is_some_and(|state| state <= MemberState::Suspect);
        digests.all(|digest| digest == Some(first_digest)) && rest.iter().all(is_member)
    }

    /// The smallest number of possibly active routers in the views of the given routers; 0 if none
    /// of them runs.
    pub fn min_possibly_active(&self, routers: &[usize]) -> u32 {
        let counts =
            routers.iter().filter_map(|router| Some(self.view(*router)?.possibly_active_count(None)));
        counts.min().unwrap_or(0)
    }

    /// The number of reports by any router since `since` that a router failed.
    pub fn failure_reports(&self, since: Time) -> usize {
        let lost = |observed: &&ObservedChange| {
            let is_lost = matches!(
                &observed.change,
                MembershipChange::Updated { record, .. } if record.state == MemberState::Failed
            );
            observed.at >= since && is_lost
        };
        self.changes.iter().filter(lost).count()
    }
}
