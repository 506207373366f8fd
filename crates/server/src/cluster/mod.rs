//! The router among other routers: one socket and one timer for membership and leased quotas, and
//! the number of routers that limits are divided by. What the datagrams mean is defined in
//! `hollymux-cluster`. Without the section `fleet` of the operator's file nothing of this exists.

mod change_log;
mod metrics;
mod socket;
mod status;

use crate::config::operator_file::ClusterSection;
use crate::config::Config;
use crate::endpoints::MAX_QUEUE_TIME;
use crate::event_loop::ConnectionToken;
use crate::Server;
use hollymux_cluster::membership::{Membership, MembershipOptions, MembershipTimings, RouterPhase};
use hollymux_cluster::quota::{ActivePeers, LeaseTimings, QuotaManager, QuotaOptions};
use hollymux_cluster::RouterCounts;
use hollymux_decision::time::whole_micros;
use hollymux_decision::Timestamp;
use hollymux_router::lifecycle::Phase;
use std::collections::BTreeMap;
use tracing::info;

/// Membership and quotas count time in microseconds.
const MICROS_PER_MILLI: u64 = 1_000;

/// What other routers know this one by. A successor process goes on under it.
pub(crate) struct ClusterIncarnation {
    pub(crate) generation: u64,
    pub(crate) incarnation: u32,
}

/// This router as a member of a cluster.
pub(crate) struct ClusterMember {
    section: ClusterSection,
    membership: Membership,
    /// `None` while another process has the address, or while it can't be bound.
    socket: Option<ConnectionToken>,
    /// The time of the timer that is set; zero without one. Those set for later are ignored.
    timer_at: Timestamp,
    /// The number of routers that the decision module was given last.
    router_counts: RouterCounts,
    /// Datagrams that the socket did not accept.
    unsent_datagrams: u64,
    /// The leased quotas, where the section asks for them.
    quotas: Option<QuotaManager>,
    /// The own share of quotas was in use when that was logged last.
    share_in_use: bool,
}

impl ClusterMember {
    /// A member that knows no other one yet.
    pub(crate) fn new(section: &ClusterSection, config: &Config, now: Timestamp) -> ClusterMember {
        let zone = config.names.zones.get(usize::from(config.settings.zone));
        let options = MembershipOptions {
            cluster_name: section.name.clone(),
            router_name: config.name.clone(),
            zone: zone.cloned().unwrap_or_default(),
            address: section.advertised(),
            seeds: section.seeds.clone(),
            generation: now.as_micros(),
            timings: membership_timings(section),
            random_seed: config.seed ^ now.as_micros(),
        };
        ClusterMember {
            section: section.clone(),
            membership: Membership::new(options, now.as_micros()),
            socket: None,
            timer_at: Timestamp::ZERO,
            router_counts: RouterCounts::default(),
            unsent_datagrams: 0,
            quotas: None,
            share_in_use: false,
        }
    }

    /// Joins the cluster through a socket that was bound.
    fn join(&mut self, socket: ConnectionToken, config: &Config, now: Timestamp) {
        self.socket = Some(socket);
        self.membership.join(now.as_micros());
        self.start_quotas(config, now);
    }

    /// Starts with no lease of any quota.
    fn start_quotas(&mut self, config: &Config, now: Timestamp) {
        let Some(section) = &self.section.limits else { return };
        let settings = &config.settings;
        let own_zone_count = settings.router_count_by_zone.get(usize::from(settings.zone));
        // An attempt may be written this long after it was decided.
        let usage_window = settings.overload_window + MAX_QUEUE_TIME;
        let options = QuotaOptions {
            cluster_name: self.section.name.clone(),
            address: self.section.advertised(),
            instance_id: instance_id(now),
            configured_routers: RouterCounts {
                all: settings.router_count,
                own_zone: own_zone_count.copied().unwrap_or(0),
            },
            timings: LeaseTimings {
                lease_duration: section.lease_ms * MICROS_PER_MILLI,
                broker_lease_duration: section.onward_ms * MICROS_PER_MILLI,
                exchange_interval: section.turn_ms * MICROS_PER_MILLI,
                usage_window: whole_micros(usage_window),
                ..LeaseTimings::default()
            },
        };
        self.quotas = Some(QuotaManager::new(options, now.as_micros()));
        self.update_quota_peers(now);
    }

    /// Gives the quotas the routers that may be active.
    fn update_quota_peers(&mut self, now: Timestamp) {
        if let Some(quotas) = &mut self.quotas {
            quotas.update_peers(now.as_micros(), &ActivePeers::from_membership(&self.membership));
        }
    }
}

fn membership_timings(section: &ClusterSection) -> MembershipTimings {
    MembershipTimings {
        probe_interval: section.probe_ms * MICROS_PER_MILLI,
        ack_timeout: section.answer_ms * MICROS_PER_MILLI,
        gossip_interval: section.tell_ms * MICROS_PER_MILLI,
        min_suspicion: section.suspect_least_ms * MICROS_PER_MILLI,
        max_suspicion: section.suspect_most_ms * MICROS_PER_MILLI,
        reconnect_interval: section.retry_ms * MICROS_PER_MILLI,
    }
}

/// Differs between processes that have one address one after another: in the time or in the id.
fn instance_id(now: Timestamp) -> u64 {
    now.as_micros().rotate_left(20) ^ u64::from(std::process::id()) | 1
}

impl Server {
    /// The cluster, while this process has the socket.
    fn joined_cluster(&mut self) -> Option<&mut ClusterMember> {
        self.cluster.as_deref_mut().filter(|cluster| cluster.socket.is_some())
    }

    /// Whether the warm-up budgets of endpoints are leased.
    pub(crate) fn uses_leased_quotas(&self) -> bool {
        self.cluster.as_ref().is_some_and(|cluster| cluster.quotas.is_some())
    }

    /// Gives the router its shares of warm-up budgets.
    fn apply_quotas(&mut self, cluster: &mut ClusterMember) {
        let Some(quotas) = &cluster.quotas else { return };
        let status = quotas.own_share_status();
        if status.in_use != cluster.share_in_use {
            cluster.share_in_use = status.in_use;
            let divided_by = status.divisors.all;
            let divided_by_in_zone = status.divisors.own_zone;
            if status.in_use {
                info!(divided_by, divided_by_in_zone, "own quota share in use");
            } else {
                info!("own quota share no longer in use");
            }
        }
        let allocation = quotas.allocation(self.now.as_micros());
        let own_shares = (allocation.share_of_all, allocation.share_of_own_zone);
        self.router.lease(own_shares, allocation.endpoints);
    }

    /// Gives the router the number of routers that limits are divided by, if it has changed.
    fn apply_router_counts(&mut self, cluster: &mut ClusterMember) {
        let counts = cluster.membership.quota_divisors(self.router.settings());
        if counts == cluster.router_counts {
            return;
        }
        info!(routers = counts.all, in_zone = counts.own_zone, "number of possibly active routers changed");
        cluster.router_counts = counts;
        self.router.count_routers(counts.all, counts.own_zone);
    }

    /// Announces the phase of the lifecycle to other routers.
    pub(crate) fn announce_phase(&mut self) {
        let phase = match self.lifecycle.phase() {
            Phase::Starting => return,
            Phase::Ready => RouterPhase::Ready,
            Phase::Standby => RouterPhase::Standby,
            Phase::Replaced => RouterPhase::Replaced,
            Phase::Stopping => RouterPhase::Stopping,
        };
        let now = self.now;
        let Some(cluster) = self.joined_cluster() else { return };
        // The membership becomes ready by itself when it has joined.
        let is_joining = cluster.membership.own_record().phase == RouterPhase::Joining;
        if is_joining && phase == RouterPhase::Ready {
            return;
        }
        cluster.membership.set_phase(now.as_micros(), phase);
        self.after_cluster_event(None);
    }

    /// Announces that this router ends.
    pub(crate) fn leave_cluster(&mut self) {
        let now = self.now;
        let Some(cluster) = self.joined_cluster() else { return };
        cluster.membership.leave(now.as_micros());
        if let Some(quotas) = &mut cluster.quotas {
            quotas.stop(now.as_micros());
        }
        self.after_cluster_event(None);
    }

    /// Closes the socket for a successor process, which goes on under the incarnation; `None` if
    /// there is nothing to hand over.
    pub(crate) fn release_cluster_socket(&mut self) -> Option<ClusterIncarnation> {
        let cluster = self.cluster.as_mut()?;
        let socket = cluster.socket.take()?;
        let record = cluster.membership.own_record();
        let incarnation =
            ClusterIncarnation { generation: record.generation, incarnation: record.incarnation };
        if let Some(quotas) = &mut cluster.quotas {
            quotas.stop(self.now.as_micros());
            self.router.lease((0.0, 0.0), BTreeMap::new());
        }
        self.close(socket);
        Some(incarnation)
    }

    /// Goes on under the incarnation of the predecessor: other routers notice no change.
    pub(crate) fn take_over_cluster_socket(&mut self, previous: &ClusterIncarnation) {
        if let Some(cluster) = &mut self.cluster {
            let now = self.now.as_micros();
            cluster.membership.take_over_incarnation(now, previous.generation, previous.incarnation);
        }
        self.open_cluster_socket();
    }
}
