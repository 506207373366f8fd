//! The router's membership in a cluster: one socket and one timer for the membership protocol and
//! the leased quotas, and the number of routers that limits are divided by. The datagrams and
//! protocols are defined in `hollymux-cluster`. Without the section `fleet` in the operator's file,
//! all of this is off.

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

/// Microseconds per millisecond: `hollymux-cluster` counts time in microseconds.
const MICROS_PER_MILLI: u64 = 1_000;

/// The identity by which other routers know this one. A successor process continues under it.
pub(crate) struct ClusterIncarnation {
    /// The generation: higher after every start of the process.
    pub(crate) generation: u64,
    /// The incarnation within that generation.
    pub(crate) incarnation: u32,
}

/// This router as a member of a cluster.
pub(crate) struct ClusterMember {
    section: ClusterSection,
    membership: Membership,
    /// The cluster's UDP socket; `None` while another process owns the address or it can't be
    /// bound.
    socket: Option<ConnectionToken>,
    /// The time of the earliest cluster timer that is set; zero if none is. A timer that an earlier
    /// one has superseded still expires, without effect.
    timer_at: Timestamp,
    /// The router counts that were last passed to the decision module.
    router_counts: RouterCounts,
    /// Number of datagrams that the socket did not accept.
    unsent_datagrams: u64,
    /// The leased quotas; `None` if the section does not configure them, or before the socket is
    /// bound.
    quotas: Option<QuotaManager>,
    /// Whether the router's own share of the quotas was in use at the last check, to log only
    /// changes.
    share_in_use: bool,
}

impl ClusterMember {
    /// A member that has not joined and knows no other router yet.
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

    /// Joins the cluster through a bound socket.
    fn join(&mut self, socket: ConnectionToken, config: &Config, now: Timestamp) {
        self.socket = Some(socket);
        self.membership.join(now.as_micros());
        self.start_quotas(config, now);
    }

    /// Starts the quota protocol without any lease, if the section configures it.
    fn start_quotas(&mut self, config: &Config, now: Timestamp) {
        let Some(section) = &self.section.quotas else { return };
        let settings = &config.settings;
        let own_zone_count = settings.router_count_by_zone.get(usize::from(settings.zone));
        // An attempt may be written up to `MAX_QUEUE_TIME` after it was decided.
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
                lease_duration: section.lease_duration_ms * MICROS_PER_MILLI,
                broker_lease_duration: section.broker_lease_duration_ms * MICROS_PER_MILLI,
                exchange_interval: section.exchange_interval_ms * MICROS_PER_MILLI,
                usage_window: whole_micros(usage_window),
                ..LeaseTimings::default()
            },
        };
        self.quotas = Some(QuotaManager::new(options, now.as_micros()));
        self.update_quota_peers(now);
    }

    /// Passes the possibly active routers to the quota protocol.
    fn update_quota_peers(&mut self, now: Timestamp) {
        if let Some(quotas) = &mut self.quotas {
            quotas.update_peers(now.as_micros(), &ActivePeers::from_membership(&self.membership));
        }
    }
}

fn membership_timings(section: &ClusterSection) -> MembershipTimings {
    MembershipTimings {
        probe_interval: section.probe_interval_ms * MICROS_PER_MILLI,
        ack_timeout: section.ack_timeout_ms * MICROS_PER_MILLI,
        gossip_interval: section.gossip_interval_ms * MICROS_PER_MILLI,
        min_suspicion: section.min_suspicion_ms * MICROS_PER_MILLI,
        max_suspicion: section.max_suspicion_ms * MICROS_PER_MILLI,
        reconnect_interval: section.reconnect_interval_ms * MICROS_PER_MILLI,
    }
}

/// An id that differs between successive processes at the same address, by their start time or
/// process id. It is never zero.
fn instance_id(now: Timestamp) -> u64 {
    now.as_micros().rotate_left(20) ^ u64::from(std::process::id()) | 1
}

impl Server {
    /// The cluster member, while this process owns the cluster socket; `None` otherwise.
    fn joined_cluster(&mut self) -> Option<&mut ClusterMember> {
        self.cluster.as_deref_mut().filter(|cluster| cluster.socket.is_some())
    }

    /// Whether the warm-up budgets of endpoints are leased.
    pub(crate) fn uses_leased_quotas(&self) -> bool {
        self.cluster.as_ref().is_some_and(|cluster| cluster.quotas.is_some())
    }

    /// Passes the leased shares of warm-up budgets to the router.
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
        self.router.set_leased_shares(own_shares, allocation.share_by_endpoint);
    }

    /// Passes the number of possibly active routers to the router, if it has changed.
    fn apply_router_counts(&mut self, cluster: &mut ClusterMember) {
        let counts = cluster.membership.quota_divisors(self.router.settings());
        if counts == cluster.router_counts {
            return;
        }
        info!(routers = counts.all, in_zone = counts.own_zone, "number of possibly active routers changed");
        cluster.router_counts = counts;
        self.router.set_active_router_counts(counts.all, counts.own_zone);
    }

    /// Announces this router's lifecycle phase to the other routers.
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
        // The membership changes from joining to ready by itself once it has joined.
        let is_joining = cluster.membership.own_record().phase == RouterPhase::Joining;
        if is_joining && phase == RouterPhase::Ready {
            return;
        }
        cluster.membership.set_phase(now.as_micros(), phase);
        self.after_cluster_event(None);
    }

    /// Announces to the other routers that this router leaves, and stops using leases.
    pub(crate) fn leave_cluster(&mut self) {
        let now = self.now;
        let Some(cluster) = self.joined_cluster() else { return };
        cluster.membership.leave(now.as_micros());
        if let Some(quotas) = &mut cluster.quotas {
            quotas.stop(now.as_micros());
        }
        self.after_cluster_event(None);
    }

    /// Stops the leased quotas, closes the cluster socket so that a successor process can bind it,
    /// and returns the incarnation under which the successor continues. `None` if this process does
    /// not own the socket.
    pub(crate) fn release_cluster_socket(&mut self) -> Option<ClusterIncarnation> {
        let cluster = self.cluster.as_mut()?;
        let socket = cluster.socket.take()?;
        let record = cluster.membership.own_record();
        let incarnation =
            ClusterIncarnation { generation: record.generation, incarnation: record.incarnation };
        if let Some(quotas) = &mut cluster.quotas {
            quotas.stop(self.now.as_micros());
            self.router.set_leased_shares((0.0, 0.0), BTreeMap::new());
        }
        self.close(socket);
        Some(incarnation)
    }

    /// Continues under the incarnation of the predecessor, so that other routers notice no change,
    /// and opens the cluster socket.
    pub(crate) fn take_over_cluster_socket(&mut self, previous: &ClusterIncarnation) {
        if let Some(cluster) = &mut self.cluster {
            let now = self.now.as_micros();
            cluster.membership.take_over_identity(now, previous.generation, previous.incarnation);
        }
        self.open_cluster_socket();
    }
}
