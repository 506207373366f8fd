//! The driver of the fleet's view: one socket, one timer, and the number of routers for the core. What the datagrams
//! mean is in `hollymux-cluster`. Without the section `fleet` of the operator's file nothing of this exists.

use super::*;
use crate::operator::Section;
use crate::shelfs::UNSENT;
use hollymux_cluster::membership::{
    MemberRecord, MemberState, MemberStatus, Membership, MembershipChange, MembershipOptions,
    MembershipTimings, RouterPhase,
};
use hollymux_cluster::quota::{
    ActivePeers, LeaseStatus, LeaseTimings, OwnShareStatus, QuotaManager, QuotaOptions, WHOLE_QUOTA,
};
use hollymux_cluster::{RouterCounts, MAX_DATAGRAM_LEN};
use hollymux_decision::time::MICROSECOND;
use hollymux_decision::EndpointId;
use serde_json::{json, Value};

/// Datagrams that are read, and sent, in one turn of the loop: clients come before the rest.
const TURN: usize = 64;

/// The view and the limits count time in microseconds.
const MICROS_PER_MILLI: u64 = 1_000;

/// The view with its socket.
pub(super) struct Fleet {
    section: Section,
    view: Membership,
    /// The socket's place; none while another process has it, or while it can't be had.
    socket: Option<Key>,
    /// The timer that is set; those set for later are passed over.
    planned: Timestamp,
    /// What the core was told last: routers in all, and in this office.
    told: RouterCounts,
    /// Datagrams that the socket did not take.
    unsent: u64,
    /// Parts of limits, where they are on lease; and whether others have heard that this router's share is in use.
    limits: Option<QuotaManager>,
    open: bool,
}

impl Fleet {
    /// The view of a router with this section, which has not heard of anybody.
    pub(super) fn new(section: &Section, config: &Config, now: Timestamp) -> Fleet {
        let zone = config.names.zones.get(usize::from(config.settings.zone));
        let ms = |v: u64| v * MICROS_PER_MILLI;
        let options = MembershipOptions {
            cluster_name: section.name.clone(),
            router_name: config.name.clone(),
            zone: zone.cloned().unwrap_or_default(),
            address: section.advertised(),
            seeds: section.seeds.clone(),
            generation: now.as_micros(),
            timings: MembershipTimings {
                probe_interval: ms(section.probe_ms),
                ack_timeout: ms(section.answer_ms),
                gossip_interval: ms(section.tell_ms),
                min_suspicion: ms(section.suspect_least_ms),
                max_suspicion: ms(section.suspect_most_ms),
                reconnect_interval: ms(section.retry_ms),
            },
            random_seed: config.seed ^ now.as_micros(),
        };
        let view = Membership::new(options, now.as_micros());
        let section = section.clone();
        Fleet {
            section,
            view,
            socket: None,
            planned: Timestamp::ZERO,
            told: RouterCounts::default(),
            unsent: 0,
            limits: None,
            open: false,
        }
    }

    /// The limits of a life that begins now, if they are on lease: it has no part of any.
    fn begin_limits(&mut self, config: &Config, now: Timestamp) {
        let Some(leases) = &self.section.limits else { return };
        let ms = |v: u64| v * MICROS_PER_MILLI;
        let s = &config.settings;
        let here = s.router_count_by_zone.get(usize::from(s.zone)).copied().unwrap_or(0);
        let terms = LeaseTimings {
            lease_duration: ms(leases.lease_ms),
            broker_lease_duration: ms(leases.onward_ms),
            exchange_interval: ms(leases.turn_ms),
            // What is decided now may be written so much later.
            usage_window: whole_micros(s.overload_window + UNSENT),
            ..LeaseTimings::default()
        };
        let options = QuotaOptions {
            cluster_name: self.section.name.clone(),
            address: self.section.advertised(),
            // Processes that have one address one after another differ in one of them.
            instance_id: now.as_micros().rotate_left(20) ^ u64::from(std::process::id()) | 1,
            configured_routers: RouterCounts { all: s.router_count, own_zone: here },
            timings: terms,
        };
        self.limits = Some(QuotaManager::new(options, now.as_micros()));
        self.tell_limits(now);
    }

    /// Tells the limits who may be at work.
    fn tell_limits(&mut self, now: Timestamp) {
        let Some(limits) = &mut self.limits else { return };
        limits.update_peers(now.as_micros(), &ActivePeers::from_membership(&self.view));
    }
}

impl Server {
    /// Opens the socket, if there is a section for it and nobody else has it. What can't be had yet is asked for again:
    /// that is no reason not to serve, and until then the configured number of routers counts.
    pub(super) fn open_fleet(&mut self) {
        let Some(fleet) = self.fleet.as_mut().filter(|f| f.socket.is_none()) else { return };
        let at = fleet.section.listen;
        let opened = UdpSocket::bind(at).and_then(|s| s.set_nonblocking(true).map(|()| s));
        match opened.and_then(|socket| Ok((socket.local_addr()?, self.place(Role::Fleet(socket))?))) {
            Ok((addr, key)) => {
                info!("other routers are heard on {addr}");
                if let Some(fleet) = &mut self.fleet {
                    fleet.socket = Some(key);
                    fleet.view.join(self.now.as_micros());
                    fleet.begin_limits(&self.config, self.now);
                }
                self.fleet_turn();
            }
            Err(e) => debug!("other routers can't be heard on {at} yet: {e}"),
        }
    }

    pub(super) fn on_fleet(&mut self, socket: &mut UdpSocket) -> Fate {
        let Some(mut fleet) = self.fleet.take() else { return Fate::Close };
        // One byte more than is ever read shows what is too long.
        let mut bytes = [0; MAX_DATAGRAM_LEN + 1];
        // Nothing is sent to servers while these are read: what is asked for stays the same.
        let mut demands = None;
        for _ in 0..TURN {
            match socket.recv(&mut bytes) {
                Ok(n) if QuotaManager::is_quota_datagram(&bytes[..n]) => {
                    if let Some(limits) = &mut fleet.limits {
                        let demands = demands.get_or_insert_with(|| self.router.warm_up_demands(self.now));
                        limits.update_demand(self.now.as_micros(), demands);
                        limits.handle_datagram(self.now.as_micros(), &bytes[..n]);
                    }
                }
                Ok(n) => fleet.view.handle_datagram(self.now.as_micros(), &bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                // A datagram that could not be delivered somewhere is told here; it ends nothing.
                Err(_) => {}
            }
        }
        self.fleet = Some(fleet);
        self.fleet_after(Some(socket));
        Fate::Keep
    }

    /// The view's timer is due.
    pub(super) fn fleet_turn(&mut self) {
        let Some(fleet) = self.fleet.as_mut().filter(|f| f.socket.is_some()) else { return };
        if self.now.as_micros() >= fleet.view.next_timeout() {
            fleet.view.handle_timeout(self.now.as_micros());
        }
        if let Some(limits) = fleet.limits.as_mut().filter(|l| self.now.as_micros() >= l.next_timeout()) {
            limits.update_demand(self.now.as_micros(), &self.router.warm_up_demands(self.now));
            limits.handle_timeout(self.now.as_micros());
        }
        if self.now >= fleet.planned {
            fleet.planned = Timestamp::ZERO;
        }
        self.fleet_after(None);
    }

    /// Sends what the view wants sent, says what has changed and plans its next timer.
    fn fleet_after(&mut self, socket: Option<&UdpSocket>) {
        let Some(mut fleet) = self.fleet.take() else { return };
        let placed = match fleet.socket.and_then(|key| self.seen(key)) {
            Some(Role::Fleet(s)) => Some(s),
            _ => None,
        };
        let mut more = false;
        if let Some(socket) = socket.or(placed) {
            for sent in 0.. {
                more = sent == TURN;
                let next =
                    |f: &mut Fleet| f.view.poll_transmit().or_else(|| f.limits.as_mut()?.poll_transmit());
                let Some(transmit) = Some(()).filter(|()| !more).and_then(|()| next(&mut fleet)) else {
                    break;
                };
                if socket.send_to(&transmit.payload, transmit.destination).is_err() {
                    fleet.unsent += 1;
                }
            }
        }
        let mut changed = false;
        while let Some(change) = fleet.view.poll_change() {
            changed = true;
            say(&change);
        }
        if changed {
            fleet.tell_limits(self.now);
        }
        self.use_parts(&mut fleet);
        let told = fleet.view.quota_divisors(self.router.settings());
        if told != fleet.told {
            info!(
                "{} routers may be at work, {} of them in this office: limits are divided by that",
                told.all, told.own_zone
            );
            fleet.told = told;
            self.router.count_routers(told.all, told.own_zone);
        }
        let due =
            fleet.limits.as_ref().map_or(u64::MAX, QuotaManager::next_timeout).min(fleet.view.next_timeout());
        let due = if more { self.now } else { Timestamp::from_micros(due) };
        if fleet.planned == Timestamp::ZERO || due < fleet.planned {
            fleet.planned = due.max(self.now + MICROSECOND);
            self.wheel.set(fleet.planned, Timer::Fleet);
        }
        self.fleet = Some(fleet);
    }

    /// Whether what cold servers bear is on lease.
    pub(super) fn leased(&self) -> bool {
        self.fleet.as_ref().is_some_and(|f| f.limits.is_some())
    }

    /// Hands the core its parts of what cold servers bear.
    fn use_parts(&mut self, fleet: &mut Fleet) {
        let Some(limits) = &fleet.limits else { return };
        let OwnShareStatus { in_use: open, divisors: RouterCounts { all, own_zone: here } } =
            limits.own_share_status();
        if open != fleet.open {
            fleet.open = open;
            match open {
                true => {
                    info!("limits: all others count this router: it uses its share, 1/{all}, here 1/{here}")
                }
                false => info!("limits: this router has no share of its own any more"),
            }
        }
        let allocation = limits.allocation(self.now.as_micros());
        let homes = (allocation.share_of_all, allocation.share_of_own_zone);
        self.router.lease(homes, allocation.endpoints);
    }

    /// What this router does has changed.
    pub(super) fn fleet_phase(&mut self) {
        let doing = match self.lifecycle.phase() {
            Phase::Starting => return,
            Phase::Ready => RouterPhase::Ready,
            Phase::Standby => RouterPhase::Standby,
            Phase::Replaced => RouterPhase::Replaced,
            Phase::Stopping => RouterPhase::Stopping,
        };
        let Some(fleet) = self.fleet.as_mut().filter(|f| f.socket.is_some()) else { return };
        let joining = fleet.view.own_record().phase == RouterPhase::Joining && doing == RouterPhase::Ready;
        if !joining {
            fleet.view.set_phase(self.now.as_micros(), doing);
            self.fleet_after(None);
        }
    }

    /// This router ends, and says so.
    pub(super) fn fleet_leave(&mut self) {
        if let Some(fleet) = self.fleet.as_mut().filter(|f| f.socket.is_some()) {
            fleet.view.leave(self.now.as_micros());
            fleet.limits.iter_mut().for_each(|l| l.stop(self.now.as_micros()));
            self.fleet_after(None);
        }
    }

    /// Gives the address away with what others know this router by; none if there is nothing to give.
    pub(super) fn fleet_give(&mut self) -> Option<(u64, u32)> {
        let fleet = self.fleet.as_mut()?;
        let key = fleet.socket.take()?;
        let record = fleet.view.own_record();
        let identity = (record.generation, record.incarnation);
        if let Some(limits) = &mut fleet.limits {
            limits.stop(self.now.as_micros());
            self.router.lease((0.0, 0.0), Default::default());
        }
        self.close(key);
        Some(identity)
    }

    /// Goes on under the identity of the process that had the address: nobody sees it go or come.
    pub(super) fn fleet_inherit(&mut self, start: u64, incarnation: u32) {
        if let Some(fleet) = &mut self.fleet {
            fleet.view.take_over_incarnation(self.now.as_micros(), start, incarnation);
        }
        self.open_fleet();
    }

    /// The view for operators; none if there is none.
    pub(super) fn fleet_status(&self) -> Option<Value> {
        let fleet = self.fleet.as_ref()?;
        let view = &fleet.view;
        let shown = |addr: SocketAddr, r: &MemberRecord| {
            json!({"address": addr.to_string(), "name": r.name, "office": r.zone, "state": r.state.name(),
                   "doing": r.phase.name(), "start": r.generation, "incarnation": r.incarnation})
        };
        let seconds = |micros: u64| micros as f64 / 1e6;
        let other = |s: MemberStatus| {
            let mut line = shown(s.address, &s.record);
            line["for_s"] = json!(seconds(s.unchanged_for));
            line["answered_s_ago"] = json!(s.last_ack_age.map(seconds));
            line["agrees"] = json!(s.digest_matches);
            line
        };
        let c = view.counters;
        Some(json!({
            "fleet": fleet.section.name,
            "own": shown(view.address(), view.own_record()),
            "heard": fleet.socket.is_some(),
            "settled": view.is_converged(),
            "settled_or_not_for_s": seconds(view.time_since_difference()),
            "deaf": view.is_isolated(),
            "health": view.local_health(),
            "digest": format!("{:016x}", view.digest()),
            "reachable": view.reachable_count() + 1,
            "at_work_perhaps": view.possibly_active_count(None),
            "limits_divided_by": fleet.told.all,
            "limits_divided_here_by": fleet.told.own_zone,
            "datagrams": {"received": c.received.datagrams, "sent": c.sent.datagrams,
                          "unread": c.rejected.by_cause(), "unsent": fleet.unsent,
                          "dropped": c.dropped},
            "others": view.members().map(other).collect::<Vec<Value>>(),
        }))
    }

    /// Parts of limits for operators; none where they are not on lease.
    pub(super) fn limits_status(&self) -> Option<Value> {
        let fleet = self.fleet.as_ref()?;
        let limits = fleet.limits.as_ref()?;
        let OwnShareStatus { in_use: open, divisors: RouterCounts { all, own_zone: here } } =
            limits.own_share_status();
        let part = |parts: u32| f64::from(parts) / f64::from(WHOLE_QUOTA);
        let line = |s: LeaseStatus| {
            json!({"server": self.router.uid(EndpointId(s.limit_id)).map(str::to_string), "limit": format!("{:016x}", s.limit_id),
                   "shared_by": s.scope.name(), "share": part(s.own_share), "held": part(s.borrowed), "lent": part(s.lent),
                   "may_use": part(s.usable), "used": part(s.used), "wanted": part(s.demand),
                   "broker": s.broker.map_or("this router".to_string(), |b| b.to_string())})
        };
        let terms = limits.timings();
        let seconds = |micros: u64| micros as f64 / 1e6;
        let c = limits.counters;
        Some(json!({
            "share_in_use": open,
            "divided_by": all,
            "divided_here_by": here,
            "not_counted_by": limits.unacknowledged_by().iter().map(ToString::to_string).collect::<Vec<String>>(),
            "bounds": {
                "lease_s": seconds(terms.lease_duration),
                "onward_s": seconds(terms.broker_lease_duration),
                "sum_when_links_work": 1.0,
                "sum_when_links_fail": 1.0,
                "more_for_each_that_nobody_counted": 1.0 / f64::from(all),
                "lots_back_after_s": seconds(terms.max_claim_lifetime()),
            },
            "limits": limits.lease_statuses().into_iter().map(line).collect::<Vec<Value>>(),
            "words": {"received": c.received.datagrams, "sent": c.sent.datagrams,
                      "unread": c.rejected.by_cause(), "stale": c.stale_messages},
            "lots": {"given": c.leases_granted, "taken": c.leases_accepted,
                     "late": c.leases_expired_in_transit},
        }))
    }

    /// The same in numbers.
    fn limits_figures(limits: &QuotaManager) -> String {
        let OwnShareStatus { in_use: open, divisors: RouterCounts { all, own_zone: here } } =
            limits.own_share_status();
        let sum = |f: fn(&LeaseStatus) -> u32| {
            limits
                .lease_statuses()
                .iter()
                .map(|s| u64::from(f(s)) * 1_000 / u64::from(WHOLE_QUOTA))
                .sum::<u64>()
        };
        let c = limits.counters;
        let lines = [
            ("open", u64::from(open)),
            ("divided_by", u64::from(all)),
            ("divided_here_by", u64::from(here)),
            ("servers", limits.lease_statuses().len() as u64),
            ("held_thousandths", sum(|s| s.borrowed)),
            ("lent_thousandths", sum(|s| s.lent)),
            ("given", c.leases_granted),
            ("taken", c.leases_accepted),
            ("late", c.leases_expired_in_transit),
            ("stale", c.stale_messages),
            ("sent", c.sent.datagrams),
            ("sent_bytes", c.sent.bytes),
            ("received", c.received.datagrams),
            ("unread", c.rejected.total()),
        ];
        lines.iter().map(|(name, value)| format!("svc.limits_{name}={value}\n")).collect()
    }

    /// The view in numbers, for the metrics; nothing without one.
    pub(super) fn fleet_figures(&self) -> String {
        let Some(fleet) = &self.fleet else { return String::new() };
        let view = &fleet.view;
        let ranked = |rank| view.members().filter(|s| s.record.state == rank).count() as u64;
        let c = view.counters;
        let lines = [
            ("reachable", view.reachable_count() as u64 + 1),
            ("at_work_perhaps", u64::from(view.possibly_active_count(None))),
            ("divided_by", u64::from(fleet.told.all)),
            ("divided_here_by", u64::from(fleet.told.own_zone)),
            ("suspect", ranked(MemberState::Suspect)),
            ("lost", ranked(MemberState::Failed)),
            ("left", ranked(MemberState::Left)),
            ("settled", u64::from(view.is_converged())),
            ("deaf", u64::from(view.is_isolated())),
            ("health", u64::from(view.local_health())),
            ("refuted", c.refutations),
            ("received", c.received.datagrams),
            ("received_bytes", c.received.bytes),
            ("sent", c.sent.datagrams),
            ("sent_bytes", c.sent.bytes),
            ("unread", c.rejected.total()),
            ("unsent", fleet.unsent),
        ];
        let view: String = lines.iter().map(|(name, value)| format!("svc.fleet_{name}={value}\n")).collect();
        view + &fleet.limits.as_ref().map_or(String::new(), Server::limits_figures)
    }
}

/// One line for each change, once, with its cause.
fn say(change: &MembershipChange) {
    match change {
        MembershipChange::Updated { address: of, previous: None, record: r } => {
            info!("fleet: {} at {of} is {}, {}", r.name, r.state.name(), r.phase.name())
        }
        MembershipChange::Updated { address: of, previous: Some(old), record: r } if old.state == r.state => {
            debug!("fleet: {} at {of} is {}, incarnation {}", r.name, r.phase.name(), r.incarnation);
        }
        MembershipChange::Updated { address: of, previous: Some(_), record: r } => match r.state {
            MemberState::Alive => info!("fleet: {} at {of} is alive: it has refuted what was said", r.name),
            MemberState::Suspect => info!("fleet: {} at {of} is suspect: a probe went unanswered", r.name),
            MemberState::Failed => {
                warn!("fleet: {} at {of} is lost: it did not refute that in time; it may be at work", r.name)
            }
            MemberState::Left => info!("fleet: {} at {of} has left, by its own word", r.name),
        },
        MembershipChange::Restarted { address: of, record: r } => {
            info!("fleet: {} at {of} has started anew", r.name)
        }
        MembershipChange::DuplicateName { name, first: a, second: b } => {
            warn!("fleet: {a} and {b} are both called {name}: both are counted; was a configuration copied?");
        }
        MembershipChange::Refuted(state) => {
            info!("fleet: others held this router to be {}; refuted", state.name())
        }
        MembershipChange::GenerationRaised(start) => {
            info!("fleet: a start of this address was known that is not before this one; now start {start}");
        }
        MembershipChange::ProcessPaused(long) => {
            warn!(
                "fleet: this process stood still for {} ms; what it held is asked for anew",
                long / MICROS_PER_MILLI
            );
        }
        MembershipChange::Isolated => {
            warn!("fleet: nobody answers this router: what it says of others is old")
        }
        MembershipChange::IsolationEnded => info!("fleet: others answer again"),
        MembershipChange::Converged => info!("fleet: the view is settled"),
        MembershipChange::Diverged => debug!("fleet: the view is not settled"),
        MembershipChange::TableFull(of) => warn!("fleet: no room to remember {of}; it is only counted"),
    }
}
