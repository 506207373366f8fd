//! The routers' cluster in virtual time: membership views, leased quotas, and the faults that
//! affect routers or the links between them.

use super::{Simulation, START};
use crate::cluster::{router_at, ObservedChange, RouterCluster, CLOCK_START};
use crate::cluster_report::FailureReport;
use crate::router_faults::{last_router_fault_end, link_faults, router_indices};
use crate::scenario::{FaultKind, FaultPhase};
use crate::time::as_seconds;
use crate::Time;
use hollymux_cluster::membership::{MemberState, MembershipChange};
use hollymux_cluster::quota::LeaseTimings;
use hollymux_cluster::RouterCounts;
use hollymux_decision::time::whole_micros;
use hollymux_decision::Timestamp;

/// Converts a time of the cluster's monotonic clocks to the simulation's clock, which shows Unix
/// time.
fn from_cluster_clock(at: Time) -> Time {
    at - CLOCK_START + START
}

impl Simulation<'_> {
    /// Starts the membership views and leased quotas of all routers; does nothing if they form no
    /// cluster.
    pub(super) fn start_cluster(&mut self) {
        let Some(cluster) = &mut self.cluster else { return };
        for router in &self.routers {
            let index = router.slot.index;
            let settings = &router.config.settings;
            let zone = usize::from(settings.zone);
            let in_zone = settings.router_count_by_zone.get(zone).copied().unwrap_or(0);
            cluster.set_zone(index, &self.scenario.sites[router.slot.site].name);
            let counts = RouterCounts { all: settings.router_count, own_zone: in_zone };
            cluster.set_router_counts(index, counts);
            let usage_window = whole_micros(settings.overload_window);
            let timings = LeaseTimings { usage_window, ..LeaseTimings::default() };
            cluster.lease_timings = self.scenario.leased_quotas.then_some(timings);
            cluster.start(index);
        }
    }

    /// The time of the cluster's next event; `None` if the routers form no cluster.
    pub(super) fn cluster_due(&self) -> Option<Time> {
        self.cluster.as_ref().and_then(RouterCluster::due).map(from_cluster_clock)
    }

    /// Advances the cluster to the present and passes the changes of views and leases to the
    /// routers.
    pub(super) fn advance_cluster(&mut self) {
        let Some(mut cluster) = self.cluster.take() else { return };
        let quotas_due = cluster.due().is_some_and(|due| from_cluster_clock(due) <= self.now);
        if self.scenario.leased_quotas && quotas_due {
            self.update_demands(&mut cluster);
        }
        let cluster_now = self.now - START + CLOCK_START;
        cluster.run(cluster_now.saturating_sub(cluster.now));
        for change in std::mem::take(&mut cluster.changes) {
            self.on_view_change(&cluster, &change);
        }
        for router in std::mem::take(&mut cluster.lease_changes) {
            self.apply_leases(&cluster, router);
        }
        self.observe_convergence(&cluster);
        self.views.bytes = cluster.sent.bytes;
        self.cluster = Some(cluster);
    }

    /// Updates the cluster's quotas with the routers' demand for servers that warm up.
    fn update_demands(&self, cluster: &mut RouterCluster) {
        let now = Timestamp::from_micros(self.now);
        for router in self.routers.iter().filter(|router| router.is_running()) {
            cluster.set_demands(router.slot.index, router.core.warm_up_demands(now));
        }
    }

    /// Records a router that was reported failed, and updates the number of possibly active routers
    /// of the router whose view changed.
    fn on_view_change(&mut self, cluster: &RouterCluster, observed: &ObservedChange) {
        let by = observed.by;
        if let MembershipChange::Updated { address, record, .. } = &observed.change {
            if record.state == MemberState::Failed {
                let at_s = as_seconds(self.now - START);
                let report = router_at(*address).map(|of| FailureReport { at_s, by, of });
                self.views.failure_reports.extend(report);
            }
        }
        let router = &mut self.routers[by];
        if let Some(view) = cluster.view(by).filter(|_| router.is_running()) {
            let divisors = view.quota_divisors(&router.config.settings);
            router.core.set_active_router_counts(divisors.all, divisors.own_zone);
        }
    }

    /// Passes its present leases to a router.
    fn apply_leases(&mut self, cluster: &RouterCluster, router: usize) {
        let router_state = &mut self.routers[router];
        let Some(quotas) = cluster.quotas(router).filter(|_| router_state.is_running()) else { return };
        let mut allocation = quotas.allocation(cluster.now);
        for lease in allocation.share_by_endpoint.values_mut().filter(|lease| lease.until != Timestamp::MAX) {
            lease.until = Timestamp::from_micros(from_cluster_clock(lease.until.as_micros()));
        }
        let shares = (allocation.share_of_all, allocation.share_of_own_zone);
        router_state.core.set_leased_shares(shares, allocation.share_by_endpoint);
    }

    /// Records when all running routers first hold the same view after the last fault.
    fn observe_convergence(&mut self, cluster: &RouterCluster) {
        let now_s = as_seconds(self.now - START);
        let faults_over = now_s > last_router_fault_end(&self.scenario);
        if self.views.converged_at_s.is_none() && faults_over && cluster.converged(&cluster.running()) {
            self.views.converged_at_s = Some(now_s);
        }
    }

    /// Applies the beginning or the end of a fault that affects routers or the links between them.
    pub(super) fn on_fault(&mut self, index: usize, phase: FaultPhase) {
        let kind = self.scenario.faults[index].kind.clone();
        if let Some(cluster) = &mut self.cluster {
            for group in link_faults(&self.scenario, &kind) {
                let fault = if phase == FaultPhase::Begin { group.fault } else { Default::default() };
                cluster.set_link_fault(&group.from, &group.to, fault);
            }
        }
        let (FaultKind::Kill { routers } | FaultKind::Pause { routers }) = &kind else { return };
        for router in router_indices(routers) {
            match (&kind, phase) {
                (FaultKind::Kill { .. }, FaultPhase::Begin) => self.kill_router(router),
                (FaultKind::Kill { .. }, FaultPhase::End) => self.restart_router(router),
                (_, FaultPhase::Begin) => self.pause_router(router),
                (_, FaultPhase::End) => self.resume_router(router),
            }
        }
    }
}
