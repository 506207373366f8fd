//! The server of the fleet's view: one socket, one timer, and the number of routers for the core. What the datagrams
//! mean is in `hollymux-cluster`. Without the section `fleet` of the operator's file nothing of this exists.

use crate::config::Config;
use crate::endpoints::MAX_QUEUE_TIME;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken, Timer};
use crate::operator::Section;
use crate::Server;
use hollymux_cluster::limits::{self, LeaseStatus, LeaseTimings, Limits, WHOLE};
use hollymux_cluster::view::{Change, Membership, Phase as Doing, Rank, Record, Seen, Setup, Times};
use hollymux_cluster::DATAGRAM_MOST;
use hollymux_decision::time::whole_micros;
use hollymux_decision::time::MICROSECOND;
use hollymux_decision::EndpointId;
use hollymux_decision::Timestamp;
use hollymux_router::lifecycle::Phase;
use serde_json::{json, Value};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use tracing::{debug, info, warn};

/// Datagrams that are read, and sent, in one turn of the loop: clients come before the rest.
const TURN: usize = 64;

/// The view and the limits count time in microseconds.
const MICROS_PER_MILLI: u64 = 1_000;

/// The view with its socket.
pub(crate) struct Fleet {
    section: Section,
    view: Membership,
    /// The socket's place; none while another process has it, or while it can't be had.
    socket: Option<ConnectionToken>,
    /// The timer that is set; those set for later are passed over.
    planned: Timestamp,
    /// What the core was told last: routers in all, and in this office.
    told: (u32, u32),
    /// Datagrams that the socket did not take.
    unsent: u64,
    /// Parts of limits, where they are on lease; and whether others have heard that this router's share is in use.
    limits: Option<Limits>,
    open: bool,
}

impl Fleet {
    /// The view of a router with this section, which has not heard of anybody.
    pub(crate) fn new(section: &Section, config: &Config, now: Timestamp) -> Fleet {
        let zone = config.names.zones.get(usize::from(config.settings.zone));
        let ms = |v: u64| v * MICROS_PER_MILLI;
        let setup = Setup {
            fleet: section.name.clone(),
            name: config.name.clone(),
            zone: zone.cloned().unwrap_or_default(),
            addr: section.advertised(),
            seeds: section.seeds.clone(),
            start: now.as_micros(),
            times: Times {
                probe: ms(section.probe_ms),
                answer: ms(section.answer_ms),
                tell: ms(section.tell_ms),
                suspect_least: ms(section.suspect_least_ms),
                suspect_most: ms(section.suspect_most_ms),
                retry: ms(section.retry_ms),
            },
            seed: config.seed ^ now.as_micros(),
        };
        let view = Membership::new(setup, now.as_micros());
        let section = section.clone();
        Fleet {
            section,
            view,
            socket: None,
            planned: Timestamp::ZERO,
            told: (0, 0),
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
            lease: ms(leases.lease_ms),
            onward: ms(leases.onward_ms),
            turn: ms(leases.turn_ms),
            // What is decided now may be written so much later.
            window: whole_micros(s.overload_window + MAX_QUEUE_TIME),
            ..LeaseTimings::default()
        };
        let setup = limits::Setup {
            fleet: self.section.name.clone(),
            addr: self.section.advertised(),
            // Processes that have one address one after another differ in one of them.
            life: now.as_micros().rotate_left(20) ^ u64::from(std::process::id()) | 1,
            configured: (s.router_count, here),
            terms,
        };
        self.limits = Some(Limits::new(setup, now.as_micros()));
        self.tell_limits(now);
    }

    /// Tells the limits who may be at work.
    fn tell_limits(&mut self, now: Timestamp) {
        let Some(limits) = &mut self.limits else { return };
        let (members, beyond) = limits::members(&self.view);
        limits.members(now.as_micros(), members, beyond);
    }
}

impl Server {
    /// Opens the socket, if there is a section for it and nobody else has it. What can't be had yet is asked for again:
    /// that is no reason not to serve, and until then the configured number of routers counts.
    pub(crate) fn open_cluster_socket(&mut self) {
        let Some(fleet) = self.fleet.as_mut().filter(|f| f.socket.is_none()) else { return };
        let at = fleet.section.listen;
        let opened = UdpSocket::bind(at).and_then(|s| s.set_nonblocking(true).map(|()| s));
        match opened
            .and_then(|socket| Ok((socket.local_addr()?, self.insert(ConnectionKind::Cluster(socket))?)))
        {
            Ok((addr, key)) => {
                info!("other routers are heard on {addr}");
                if let Some(fleet) = &mut self.fleet {
                    fleet.socket = Some(key);
                    fleet.view.begin(self.now.as_micros());
                    fleet.begin_limits(&self.config, self.now);
                }
                self.on_cluster_timer();
            }
            Err(e) => debug!("other routers can't be heard on {at} yet: {e}"),
        }
    }

    pub(crate) fn on_cluster_datagrams(&mut self, socket: &mut UdpSocket) -> ConnectionAction {
        let Some(mut fleet) = self.fleet.take() else { return ConnectionAction::Close };
        // One byte more than is ever read shows what is too long.
        let mut bytes = [0; DATAGRAM_MOST + 1];
        // Nothing is sent to servers while these are read: what is asked for stays the same.
        let mut demands = None;
        for _ in 0..TURN {
            match socket.recv(&mut bytes) {
                Ok(n) if Limits::is_for(&bytes[..n]) => {
                    if let Some(limits) = &mut fleet.limits {
                        let demands = demands.get_or_insert_with(|| self.router.warm_up_demands(self.now));
                        limits.demand(self.now.as_micros(), demands);
                        limits.datagram(self.now.as_micros(), &bytes[..n]);
                    }
                }
                Ok(n) => fleet.view.datagram(self.now.as_micros(), &bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                // A datagram that could not be delivered somewhere is told here; it ends nothing.
                Err(_) => {}
            }
        }
        self.fleet = Some(fleet);
        self.fleet_after(Some(socket));
        ConnectionAction::Keep
    }

    /// The view's timer is due.
    pub(crate) fn on_cluster_timer(&mut self) {
        let Some(fleet) = self.fleet.as_mut().filter(|f| f.socket.is_some()) else { return };
        if self.now.as_micros() >= fleet.view.due() {
            fleet.view.tick(self.now.as_micros());
        }
        if let Some(limits) = fleet.limits.as_mut().filter(|l| self.now.as_micros() >= l.due()) {
            limits.demand(self.now.as_micros(), &self.router.warm_up_demands(self.now));
            limits.tick(self.now.as_micros());
        }
        if self.now >= fleet.planned {
            fleet.planned = Timestamp::ZERO;
        }
        self.fleet_after(None);
    }

    /// Sends what the view wants sent, says what has changed and plans its next timer.
    fn fleet_after(&mut self, socket: Option<&UdpSocket>) {
        let Some(mut fleet) = self.fleet.take() else { return };
        let placed = match fleet.socket.and_then(|key| self.connections.get(key)) {
            Some(ConnectionKind::Cluster(s)) => Some(s),
            _ => None,
        };
        let mut more = false;
        if let Some(socket) = socket.or(placed) {
            for sent in 0.. {
                more = sent == TURN;
                let next = |f: &mut Fleet| f.view.outgoing().or_else(|| f.limits.as_mut()?.outgoing());
                let Some((to, bytes)) = Some(()).filter(|()| !more).and_then(|()| next(&mut fleet)) else {
                    break;
                };
                if socket.send_to(&bytes, to).is_err() {
                    fleet.unsent += 1;
                }
            }
        }
        let mut changed = false;
        while let Some(change) = fleet.view.change() {
            changed = true;
            say(&change);
        }
        if changed {
            fleet.tell_limits(self.now);
        }
        self.use_parts(&mut fleet);
        let told = fleet.view.shared_by(self.router.settings());
        if told != fleet.told {
            info!(
                "{} routers may be at work, {} of them in this office: limits are divided by that",
                told.0, told.1
            );
            fleet.told = told;
            self.router.count_routers(told.0, told.1);
        }
        let due = fleet.limits.as_ref().map_or(u64::MAX, Limits::due).min(fleet.view.due());
        let due = if more { self.now } else { Timestamp::from_micros(due) };
        if fleet.planned == Timestamp::ZERO || due < fleet.planned {
            fleet.planned = due.max(self.now + MICROSECOND);
            self.timers.set(fleet.planned, Timer::Cluster);
        }
        self.fleet = Some(fleet);
    }

    /// Whether what cold servers bear is on lease.
    pub(crate) fn leased(&self) -> bool {
        self.fleet.as_ref().is_some_and(|f| f.limits.is_some())
    }

    /// Hands the core its parts of what cold servers bear.
    fn use_parts(&mut self, fleet: &mut Fleet) {
        let Some(limits) = &fleet.limits else { return };
        let (open, all, here) = limits.homes();
        if open != fleet.open {
            fleet.open = open;
            match open {
                true => {
                    info!("limits: all others count this router: it uses its share, 1/{all}, here 1/{here}")
                }
                false => info!("limits: this router has no share of its own any more"),
            }
        }
        let (homes, parts) = limits.use_at(self.now.as_micros());
        self.router.lease(homes, parts);
    }

    /// What this router does has changed.
    pub(crate) fn fleet_phase(&mut self) {
        let doing = match self.lifecycle.phase() {
            Phase::Starting => return,
            Phase::Ready => Doing::Ready,
            Phase::Standby => Doing::Standby,
            Phase::Replaced => Doing::Replaced,
            Phase::Stopping => Doing::Stopping,
        };
        let Some(fleet) = self.fleet.as_mut().filter(|f| f.socket.is_some()) else { return };
        let joining = fleet.view.own().1.phase == Doing::Joining && doing == Doing::Ready;
        if !joining {
            fleet.view.phase(self.now.as_micros(), doing);
            self.fleet_after(None);
        }
    }

    /// This router ends, and says so.
    pub(crate) fn fleet_leave(&mut self) {
        if let Some(fleet) = self.fleet.as_mut().filter(|f| f.socket.is_some()) {
            fleet.view.leave(self.now.as_micros());
            fleet.limits.iter_mut().for_each(|l| l.stop(self.now.as_micros()));
            self.fleet_after(None);
        }
    }

    /// Gives the address away with what others know this router by; none if there is nothing to give.
    pub(crate) fn fleet_give(&mut self) -> Option<(u64, u32)> {
        let fleet = self.fleet.as_mut()?;
        let key = fleet.socket.take()?;
        let record = fleet.view.own().1;
        let identity = (record.start, record.incarnation);
        if let Some(limits) = &mut fleet.limits {
            limits.stop(self.now.as_micros());
            self.router.lease((0.0, 0.0), Default::default());
        }
        self.close(key);
        Some(identity)
    }

    /// Goes on under the identity of the process that had the address: nobody sees it go or come.
    pub(crate) fn fleet_inherit(&mut self, start: u64, incarnation: u32) {
        if let Some(fleet) = &mut self.fleet {
            fleet.view.succeed(self.now.as_micros(), start, incarnation);
        }
        self.open_cluster_socket();
    }

    /// The view for operators; none if there is none.
    pub(crate) fn fleet_status(&self) -> Option<Value> {
        let fleet = self.fleet.as_ref()?;
        let view = &fleet.view;
        let (addr, own) = view.own();
        let (settled, since) = view.settled();
        let shown = |addr: SocketAddr, r: &Record| {
            json!({"address": addr.to_string(), "name": r.name, "office": r.zone, "state": r.rank.name(),
                   "doing": r.phase.name(), "start": r.start, "incarnation": r.incarnation})
        };
        let seconds = |micros: u64| micros as f64 / 1e6;
        let other = |s: Seen| {
            let mut line = shown(s.addr, &s.record);
            line["for_s"] = json!(seconds(s.age));
            line["answered_s_ago"] = json!(s.answered.map(seconds));
            line["agrees"] = json!(s.agrees);
            line
        };
        let c = view.counts;
        Some(json!({
            "fleet": fleet.section.name,
            "own": shown(addr, own),
            "heard": fleet.socket.is_some(),
            "settled": settled,
            "settled_or_not_for_s": seconds(since),
            "deaf": view.deaf(),
            "health": view.health(),
            "digest": format!("{:016x}", view.digest()),
            "reachable": view.reachable() + 1,
            "at_work_perhaps": view.at_work(None),
            "limits_divided_by": fleet.told.0,
            "limits_divided_here_by": fleet.told.1,
            "datagrams": {"received": c.received.0, "sent": c.sent.0, "unread": c.unread, "unsent": fleet.unsent,
                          "dropped": c.dropped},
            "others": view.others().map(other).collect::<Vec<Value>>(),
        }))
    }

    /// Parts of limits for operators; none where they are not on lease.
    pub(crate) fn limits_status(&self) -> Option<Value> {
        let fleet = self.fleet.as_ref()?;
        let limits = fleet.limits.as_ref()?;
        let (open, all, here) = limits.homes();
        let part = |parts: u32| f64::from(parts) / f64::from(WHOLE);
        let line = |s: LeaseStatus| {
            json!({"server": self.router.uid(EndpointId(s.limit)).map(str::to_string), "limit": format!("{:016x}", s.limit),
                   "shared_by": s.sharers.name(), "share": part(s.home), "held": part(s.held), "lent": part(s.lent),
                   "may_use": part(s.has), "used": part(s.used), "wanted": part(s.wanted),
                   "broker": s.broker.map_or("this router".to_string(), |b| b.to_string())})
        };
        let terms = limits.terms();
        let seconds = |micros: u64| micros as f64 / 1e6;
        let c = limits.counts;
        Some(json!({
            "share_in_use": open,
            "divided_by": all,
            "divided_here_by": here,
            "not_counted_by": limits.not_counted_by().iter().map(ToString::to_string).collect::<Vec<String>>(),
            "bounds": {
                "lease_s": seconds(terms.lease),
                "onward_s": seconds(terms.onward),
                "sum_when_links_work": 1.0,
                "sum_when_links_fail": 1.0,
                "more_for_each_that_nobody_counted": 1.0 / f64::from(all),
                "lots_back_after_s": seconds(terms.over()),
            },
            "limits": limits.standings().into_iter().map(line).collect::<Vec<Value>>(),
            "words": {"received": c.received.0, "sent": c.sent.0, "unread": c.unread, "stale": c.stale},
            "lots": {"given": c.given, "taken": c.taken, "late": c.late},
        }))
    }

    /// The same in numbers.
    fn limits_figures(limits: &Limits) -> String {
        let (open, all, here) = limits.homes();
        let sum = |f: fn(&LeaseStatus) -> u32| {
            limits.standings().iter().map(|s| u64::from(f(s)) * 1_000 / u64::from(WHOLE)).sum::<u64>()
        };
        let c = limits.counts;
        let lines = [
            ("open", u64::from(open)),
            ("divided_by", u64::from(all)),
            ("divided_here_by", u64::from(here)),
            ("servers", limits.standings().len() as u64),
            ("held_thousandths", sum(|s| s.held)),
            ("lent_thousandths", sum(|s| s.lent)),
            ("given", c.given),
            ("taken", c.taken),
            ("late", c.late),
            ("stale", c.stale),
            ("sent", c.sent.0),
            ("sent_bytes", c.sent.1),
            ("received", c.received.0),
            ("unread", c.unread.iter().sum()),
        ];
        lines.iter().map(|(name, value)| format!("svc.limits_{name}={value}\n")).collect()
    }

    /// The view in numbers, for the metrics; nothing without one.
    pub(crate) fn fleet_figures(&self) -> String {
        let Some(fleet) = &self.fleet else { return String::new() };
        let view = &fleet.view;
        let ranked = |rank| view.others().filter(|s| s.record.rank == rank).count() as u64;
        let c = view.counts;
        let lines = [
            ("reachable", view.reachable() as u64 + 1),
            ("at_work_perhaps", u64::from(view.at_work(None))),
            ("divided_by", u64::from(fleet.told.0)),
            ("divided_here_by", u64::from(fleet.told.1)),
            ("suspect", ranked(Rank::Suspect)),
            ("lost", ranked(Rank::Lost)),
            ("left", ranked(Rank::Left)),
            ("settled", u64::from(view.settled().0)),
            ("deaf", u64::from(view.deaf())),
            ("health", u64::from(view.health())),
            ("refuted", c.refuted),
            ("received", c.received.0),
            ("received_bytes", c.received.1),
            ("sent", c.sent.0),
            ("sent_bytes", c.sent.1),
            ("unread", c.unread.iter().sum()),
            ("unsent", fleet.unsent),
        ];
        let view: String = lines.iter().map(|(name, value)| format!("svc.fleet_{name}={value}\n")).collect();
        view + &fleet.limits.as_ref().map_or(String::new(), Server::limits_figures)
    }
}

/// One line for each change, once, with its cause.
fn say(change: &Change) {
    match change {
        Change::Router(of, None, r) => {
            info!("fleet: {} at {of} is {}, {}", r.name, r.rank.name(), r.phase.name())
        }
        Change::Router(of, Some(old), r) if old.rank == r.rank => {
            debug!("fleet: {} at {of} is {}, incarnation {}", r.name, r.phase.name(), r.incarnation);
        }
        Change::Router(of, Some(_), r) => match r.rank {
            Rank::Alive => info!("fleet: {} at {of} is alive: it has refuted what was said", r.name),
            Rank::Suspect => info!("fleet: {} at {of} is suspect: a probe went unanswered", r.name),
            Rank::Lost => {
                warn!("fleet: {} at {of} is lost: it did not refute that in time; it may be at work", r.name)
            }
            Rank::Left => info!("fleet: {} at {of} has left, by its own word", r.name),
        },
        Change::Restarted(of, r) => info!("fleet: {} at {of} has started anew", r.name),
        Change::NameTwice(name, a, b) => {
            warn!("fleet: {a} and {b} are both called {name}: both are counted; was a configuration copied?");
        }
        Change::Refuted(rank) => info!("fleet: others held this router to be {}; refuted", rank.name()),
        Change::Superseded(start) => {
            info!("fleet: a start of this address was known that is not before this one; now start {start}");
        }
        Change::Stalled(long) => {
            warn!(
                "fleet: this process stood still for {} ms; what it held is asked for anew",
                long / MICROS_PER_MILLI
            );
        }
        Change::Deaf(true) => warn!("fleet: nobody answers this router: what it says of others is old"),
        Change::Deaf(false) => info!("fleet: others answer again"),
        Change::Settled(true) => info!("fleet: the view is settled"),
        Change::Settled(false) => debug!("fleet: the view is not settled"),
        Change::Full(of) => warn!("fleet: no room to remember {of}; it is only counted"),
    }
}
