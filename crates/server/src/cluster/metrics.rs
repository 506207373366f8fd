//! The metrics of the cluster, as printed by the admin endpoint. Dashboards read them by name, so
//! the names must not change.

use crate::Server;
use hollymux_cluster::membership::{MemberState, Membership};
use hollymux_cluster::quota::{LeaseStatus, QuotaManager, WHOLE_QUOTA};

use super::ClusterMember;

/// The name of a metric without its prefix, and its value.
type Metric = (&'static str, u64);

impl Server {
    /// The metrics of membership and quotas, one per line; empty without a cluster.
    pub(crate) fn cluster_metrics(&self) -> String {
        let Some(cluster) = &self.cluster else { return String::new() };
        let membership = metric_lines("svc.fleet_", &membership_metrics(cluster));
        let quotas =
            cluster.quotas.as_ref().map(|quotas| metric_lines("svc.limits_", &quota_metrics(quotas)));
        membership + &quotas.unwrap_or_default()
    }
}

fn metric_lines(prefix: &str, metrics: &[Metric]) -> String {
    metrics.iter().map(|(name, value)| format!("{prefix}{name}={value}\n")).collect()
}

fn membership_metrics(cluster: &ClusterMember) -> [Metric; 17] {
    let membership = &cluster.membership;
    let counters = membership.counters;
    [
        ("reachable", membership.reachable_count() as u64 + 1),
        ("at_work_perhaps", u64::from(membership.possibly_active_count(None))),
        ("divided_by", u64::from(cluster.router_counts.all)),
        ("divided_here_by", u64::from(cluster.router_counts.own_zone)),
        ("suspect", members_in_state(membership, MemberState::Suspect)),
        ("lost", members_in_state(membership, MemberState::Failed)),
        ("left", members_in_state(membership, MemberState::Left)),
        ("settled", u64::from(membership.is_converged())),
        ("deaf", u64::from(membership.is_isolated())),
        ("health", u64::from(membership.local_health())),
        ("refuted", counters.refutations),
        ("received", counters.received.datagrams),
        ("received_bytes", counters.received.bytes),
        ("sent", counters.sent.datagrams),
        ("sent_bytes", counters.sent.bytes),
        ("unread", counters.rejected.total()),
        ("unsent", cluster.unsent_datagrams),
    ]
}

fn members_in_state(membership: &Membership, state: MemberState) -> u64 {
    membership.members().filter(|member| member.record.state == state).count() as u64
}

fn quota_metrics(quotas: &QuotaManager) -> [Metric; 14] {
    let own_share = quotas.own_share_status();
    let leases = quotas.lease_statuses();
    let counters = quotas.counters;
    [
        ("open", u64::from(own_share.in_use)),
        ("divided_by", u64::from(own_share.divisors.all)),
        ("divided_here_by", u64::from(own_share.divisors.own_zone)),
        ("servers", leases.len() as u64),
        ("held_thousandths", sum_in_thousandths(&leases, |lease| lease.borrowed)),
        ("lent_thousandths", sum_in_thousandths(&leases, |lease| lease.lent)),
        ("given", counters.leases_granted),
        ("taken", counters.leases_accepted),
        ("late", counters.leases_expired_in_transit),
        ("stale", counters.stale_messages),
        ("sent", counters.sent.datagrams),
        ("sent_bytes", counters.sent.bytes),
        ("received", counters.received.datagrams),
        ("unread", counters.rejected.total()),
    ]
}

/// The sum of one value over all leases, in thousandths of a whole quota. Each term is rounded
/// down.
fn sum_in_thousandths(leases: &[LeaseStatus], part_of: fn(&LeaseStatus) -> u32) -> u64 {
    let thousandths = |part: u32| u64::from(part) * 1_000 / u64::from(WHOLE_QUOTA);
    leases.iter().map(|lease| thousandths(part_of(lease))).sum()
}
