//! The state of membership and quotas as JSON for the admin endpoint. Operators' tools read the
//! keys, so they must not change.

use crate::Server;
use hollymux_cluster::membership::{MemberRecord, MemberStatus};
use hollymux_cluster::quota::{LeaseStatus, LeaseTimings, WHOLE_QUOTA};
use hollymux_decision::EndpointId;
use serde_json::{json, Value};
use std::net::SocketAddr;

const MICROS_PER_SECOND: f64 = 1e6;

fn seconds(micros: u64) -> f64 {
    micros as f64 / MICROS_PER_SECOND
}

/// Converts a share of a quota to a fraction of the whole quota, 0 to 1.
fn fraction(part: u32) -> f64 {
    f64::from(part) / f64::from(WHOLE_QUOTA)
}

impl Server {
    /// This router's view of the cluster; `None` without a cluster.
    pub(crate) fn cluster_status(&self) -> Option<Value> {
        let cluster = self.cluster.as_ref()?;
        let membership = &cluster.membership;
        let counters = membership.counters;
        Some(json!({
            "fleet": cluster.section.name,
            "own": record_json(membership.address(), membership.own_record()),
            "heard": cluster.socket.is_some(),
            "settled": membership.is_converged(),
            "settled_or_not_for_s": seconds(membership.time_since_difference()),
            "deaf": membership.is_isolated(),
            "health": membership.local_health(),
            "digest": format!("{:016x}", membership.digest()),
            "reachable": membership.reachable_count() + 1,
            "at_work_perhaps": membership.possibly_active_count(None),
            "limits_divided_by": cluster.router_counts.all,
            "limits_divided_here_by": cluster.router_counts.own_zone,
            "datagrams": {
                "received": counters.received.datagrams,
                "sent": counters.sent.datagrams,
                "unread": counters.rejected.counts_by_cause(),
                "unsent": cluster.unsent_datagrams,
                "dropped": counters.queue_overflows,
            },
            "others": membership.members().map(member_json).collect::<Vec<Value>>(),
        }))
    }

    /// The state of the leased quotas; `None` if quotas are not leased.
    pub(crate) fn quota_status(&self) -> Option<Value> {
        let quotas = self.cluster.as_ref()?.quotas.as_ref()?;
        let own_share = quotas.own_share_status();
        let counters = quotas.counters;
        let unacknowledged_by: Vec<String> =
            quotas.unacknowledged_by().iter().map(SocketAddr::to_string).collect();
        let leases: Vec<Value> = quotas.lease_statuses().iter().map(|lease| self.lease_json(lease)).collect();
        Some(json!({
            "share_in_use": own_share.in_use,
            "divided_by": own_share.divisors.all,
            "divided_here_by": own_share.divisors.own_zone,
            "not_counted_by": unacknowledged_by,
            "bounds": bounds_json(quotas.timings(), own_share.divisors.all),
            "limits": leases,
            "words": {
                "received": counters.received.datagrams,
                "sent": counters.sent.datagrams,
                "unread": counters.rejected.counts_by_cause(),
                "stale": counters.stale_messages,
            },
            "lots": {
                "given": counters.leases_granted,
                "taken": counters.leases_accepted,
                "late": counters.leases_expired_in_transit,
            },
        }))
    }

    fn lease_json(&self, lease: &LeaseStatus) -> Value {
        let endpoint = self.router.uid(EndpointId(lease.limit_id));
        json!({
            "server": endpoint.map(str::to_string),
            "limit": format!("{:016x}", lease.limit_id),
            "shared_by": lease.scope.name(),
            "share": fraction(lease.own_share),
            "held": fraction(lease.borrowed),
            "lent": fraction(lease.lent),
            "may_use": fraction(lease.usable),
            "used": fraction(lease.used),
            "wanted": fraction(lease.demand),
            "broker": lease.broker.map_or("this router".to_string(), |broker| broker.to_string()),
        })
    }
}

/// The bounds that the lease timings and the number of routers guarantee, such as the time until
/// the shares of a failed router are free again.
fn bounds_json(timings: &LeaseTimings, routers: u32) -> Value {
    json!({
        "lease_s": seconds(timings.lease_duration),
        "onward_s": seconds(timings.broker_lease_duration),
        "sum_when_links_work": 1.0,
        "sum_when_links_fail": 1.0,
        "more_for_each_that_nobody_counted": 1.0 / f64::from(routers),
        "lots_back_after_s": seconds(timings.max_lease_and_usage_lifetime()),
    })
}

fn record_json(address: SocketAddr, record: &MemberRecord) -> Value {
    json!({
        "address": address.to_string(),
        "name": record.name,
        "office": record.zone,
        "state": record.state.name(),
        "doing": record.phase.name(),
        "start": record.generation,
        "incarnation": record.incarnation,
    })
}

fn member_json(member: MemberStatus) -> Value {
    let mut line = record_json(member.address, &member.record);
    line["for_s"] = json!(seconds(member.time_since_change));
    line["answered_s_ago"] = json!(member.last_ack_age.map(seconds));
    line["agrees"] = json!(member.digest_matches);
    line
}
