//! Which boxes, hubs and library an appliance has, how each stands, and what may be done with them now.
//!
//! It decides two things. *Transitions*: what probes, answers and time make of a member. *Guards*: whether a command
//! may be carried out, and if not, why, in one sentence with figures. A guard that no rule stands behind gives way to
//! `even_so`; one that keeps a rule never does. It does not decide where requests go: that is the decision module's,
//! which is told lines of the member list.

use crate::{Time, MS, SEC};
use hollymux_decision::EndpointState;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Signs of trouble in a row that take a member out.
const STRIKES: u32 = 3;
/// A member that is out is tried again after this, doubled with each time it goes out again, up to so many times...
const TRIAL: Time = SEC;
const DOUBLED: u32 = 5;
/// ...unless it stood for this long between.
const STEADY: Time = 60 * SEC;
/// Members that are kept, and how long one that is gone is remembered: its id must not come back as another's.
pub const MEMBERS_MOST: usize = 256;
/// See [`MEMBERS_MOST`].
pub const GONE_KEPT: Time = 3_600 * SEC;
/// Changes that a stale command is told of, the last ones.
const CHANGES_TOLD: usize = 16;
/// Purges open at a time.
pub const PURGES_MOST: usize = 1_024;
/// New work to a draining member ends within this.
pub const DRAIN: Time = 500 * MS;

/// What a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A cache box of the office.
    Box,
    /// A hub: fills come through it.
    Hub,
    /// The library: filings run there.
    Library,
}

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Added, and not heard of yet.
    Joining,
    /// It answers; it is held to be cold since then.
    Cold(Time),
    /// It takes work.
    Ready,
    /// So many signs of trouble in a row; it still takes work.
    Suspect(u32),
    /// It takes no work until it is tried at that time.
    Out(Time),
    /// It finishes what it has, since then.
    Draining(Time),
    /// Removed, then.
    Gone(Time),
}

/// A member as an operator adds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Its id, never another's.
    pub uid: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// What it is.
    pub role: Role,
}

/// A member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// As it was added.
    pub spec: Spec,
    /// How it stands.
    pub state: State,
    /// Attempts out at it, and filings among them.
    pub open: u32,
    /// See `open`.
    pub filings: u32,
    /// Cold since then; none: warm.
    cold: Option<Time>,
    /// How often it went out without standing for a while between, and when it came back last.
    falls: u32,
    back: Time,
}

impl Member {
    /// Whether new work may go to it.
    pub fn live(&self) -> bool {
        matches!(self.state, State::Cold(_) | State::Ready | State::Suspect(_))
    }

    fn gone(&self) -> bool {
        matches!(self.state, State::Gone(_))
    }

    /// Its state as the member list has it. One that is out is the decision module's to try.
    pub fn listed(&self) -> EndpointState {
        match self.state {
            State::Draining(_) => EndpointState::Draining,
            State::Gone(_) => EndpointState::Gone,
            _ => EndpointState::Ready,
        }
    }
}

/// What was heard of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It answered a probe well, or served.
    Well,
    /// It answered a probe ill, or nothing came back in time.
    Ill,
    /// No connection to it came up: its process is gone.
    Refused,
}

/// What is purged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purged {
    /// An object of a group.
    Object(u64, u32),
    /// A whole group.
    Group(u32),
}

impl Purged {
    /// Whether a purge of this is one of that as well.
    fn covers(self, other: Purged) -> bool {
        match (self, other) {
            (Purged::Group(a), Purged::Group(b) | Purged::Object(_, b)) => a == b,
            (Purged::Object(a, _), Purged::Object(b, _)) => a == b,
            (Purged::Object(..), Purged::Group(_)) => false,
        }
    }
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Add a member.
    Add(Spec),
    /// Let one finish what it has.
    Drain(String),
    /// Let one that drains take work again.
    Undrain(String),
    /// Take one off the roster.
    Remove(String),
    /// Purge something everywhere.
    Purge(Purged),
}

/// Why a command is not carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// It was based on an older roster; what changed since.
    #[error("based on revision {based_on}, the roster is at {now}: {}", .changes.join("; "))]
    Stale {
        /// The revision it was based on.
        based_on: u64,
        /// The roster's.
        now: u64,
        /// What changed since, as far as it is remembered.
        changes: Vec<String>,
    },
    /// A rule forbids it.
    #[error("{0}")]
    Rule(String),
    /// It would do harm; `even_so` has it done.
    #[error("{0}")]
    Harm(String),
    /// There is nothing to do it to.
    #[error("{0}")]
    Nothing(String),
}

/// The roster.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<String, Member>,
    revision: u64,
    changes: Vec<(u64, String)>,
    purges: Vec<(Time, Purged)>,
    /// A member is warm so long after its start; copies that were purged are gone everywhere after that.
    warm_after: Time,
    purge_done: Time,
}

impl Membership {
    /// An empty roster: members are warm after so long, purges done after so long.
    pub fn new(warm_after: Time, purge_done: Time) -> Membership {
        Membership { warm_after, purge_done, ..Membership::default() }
    }

    /// The roster's revision: one more with every command that was carried out.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All members, those that are gone too while they are remembered.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// A member.
    pub fn member(&self, uid: &str) -> Option<&Member> {
        self.members.get(uid)
    }

    /// Purges that may still bind: when each was told, and what.
    pub fn purges(&self) -> &[(Time, Purged)] {
        &self.purges
    }

    // ---- transitions ----

    /// Something was heard of a member.
    pub fn heard(&mut self, now: Time, uid: &str, sign: Sign) {
        let warm_after = self.warm_after;
        let Some(m) = self.members.get_mut(uid) else { return };
        let stands = |cold: Option<Time>| match cold {
            Some(since) if now < since + warm_after => State::Cold(since),
            _ => State::Ready,
        };
        m.state = match (m.state, sign) {
            // A drain and a removal end by a command alone, whatever is heard.
            (state @ (State::Draining(_) | State::Gone(_)), _) => state,
            // It may have started anew while nobody heard of it: cold, until it is known to be warm.
            (State::Joining | State::Out(_), Sign::Well) => {
                (m.cold, m.back) = (Some(now), now);
                State::Cold(now)
            }
            (State::Suspect(_), Sign::Well) => stands(m.cold),
            (state, Sign::Well) => state,
            (State::Joining, _) => State::Joining,
            (State::Out(_), _) => m.out(now),
            // A refused connection says that the process is gone; silence has to repeat itself.
            (_, Sign::Refused) => m.out(now),
            (State::Suspect(n), Sign::Ill) if n + 1 >= STRIKES => m.out(now),
            (State::Suspect(n), Sign::Ill) => State::Suspect(n + 1),
            (State::Cold(_) | State::Ready, Sign::Ill) => State::Suspect(1),
        };
    }

    /// An attempt went out to a member, or ended there.
    pub fn work(&mut self, uid: &str, begins: bool, filing: bool) {
        let Some(m) = self.members.get_mut(uid) else { return };
        let step = |n: u32| if begins { n.saturating_add(1) } else { n.saturating_sub(1) };
        m.open = step(m.open);
        m.filings = if filing { step(m.filings) } else { m.filings };
    }

    /// Time passes: what was cold is warm, what was purged has gone, who is gone is forgotten.
    pub fn tick(&mut self, now: Time) {
        for m in self.members.values_mut() {
            if let State::Cold(since) = m.state {
                if now >= since + self.warm_after {
                    (m.state, m.cold) = (State::Ready, None);
                }
            }
            if m.live() && now >= m.back + STEADY {
                m.falls = 0;
            }
        }
        self.members.retain(|_, m| !matches!(m.state, State::Gone(at) if now >= at + GONE_KEPT));
        let done = self.purge_done;
        self.purges.retain(|(at, _)| now < at + done);
    }

    // ---- commands ----

    /// Carries a command out if it may be. It was based on that revision; with `even_so` the operator has been told
    /// of the harm. Returns what was done, in one sentence.
    ///
    /// # Errors
    /// The roster is as it was.
    pub fn command(
        &mut self,
        now: Time,
        command: Command,
        based_on: u64,
        even_so: bool,
    ) -> Result<String, Refusal> {
        if based_on != self.revision {
            let newer = self.changes.iter().filter(|c| c.0 > based_on).map(|c| c.1.clone());
            return Err(Refusal::Stale { based_on, now: self.revision, changes: newer.collect() });
        }
        match self.guard(now, &command) {
            Err(Refusal::Harm(_)) if even_so => {}
            other => other?,
        }
        let done = self.carry_out(now, command);
        self.revision += 1;
        self.changes.push((self.revision, done.clone()));
        let over = self.changes.len().saturating_sub(CHANGES_TOLD);
        self.changes.drain(..over);
        Ok(done)
    }

    /// Whether a command may be carried out now. A console asks this before it asks for a confirmation.
    ///
    /// # Errors
    /// Why not.
    pub fn guard(&self, now: Time, command: &Command) -> Result<(), Refusal> {
        match command {
            Command::Add(spec) => self.guard_add(spec),
            Command::Drain(uid) => {
                let m = self.present(uid)?;
                if let State::Draining(since) = m.state {
                    return Err(Refusal::Nothing(format!(
                        "{uid} has been draining for {}",
                        span(now, since)
                    )));
                }
                self.guard_loss(m)
            }
            Command::Undrain(uid) => match self.present(uid)?.state {
                State::Draining(_) => Ok(()),
                _ => Err(Refusal::Nothing(format!("{uid} does not drain"))),
            },
            Command::Remove(uid) => self.guard_remove(now, self.present(uid)?),
            Command::Purge(what) => {
                if self.purges.len() >= PURGES_MOST {
                    return Err(Refusal::Rule(format!(
                        "{PURGES_MOST} purges are open; none of them may be forgotten"
                    )));
                }
                let covering =
                    self.purges.iter().find(|(at, p)| p.covers(*what) && now < at + self.purge_done);
                match covering {
                    Some((at, _)) => {
                        let left = span(at + self.purge_done, now);
                        Err(Refusal::Harm(format!(
                            "a purge told {} ago covers it and is done in {left}",
                            span(now, *at)
                        )))
                    }
                    None => Ok(()),
                }
            }
        }
    }

    fn present(&self, uid: &str) -> Result<&Member, Refusal> {
        match self.members.get(uid) {
            Some(m) if !m.gone() => Ok(m),
            Some(_) => Err(Refusal::Nothing(format!("{uid} is gone"))),
            None => Err(Refusal::Nothing(format!("{uid} is not on the roster"))),
        }
    }

    fn guard_add(&self, spec: &Spec) -> Result<(), Refusal> {
        if self.members.contains_key(&spec.uid) {
            // Also one that is gone: late answers and copies under its id are still about.
            return Err(Refusal::Rule(format!(
                "{} is or was on the roster; a new box needs a new id",
                spec.uid
            )));
        }
        if self.members.len() >= MEMBERS_MOST {
            return Err(Refusal::Rule(format!("the roster holds {MEMBERS_MOST} members, more are not kept")));
        }
        let holder = self.members.values().find(|m| !m.gone() && m.spec.addr == spec.addr);
        match holder {
            Some(m) if m.filings > 0 => Err(Refusal::Rule(format!(
                "{} at {} has {} filings out; what may have run must not be lost sight of",
                m.spec.uid, spec.addr, m.filings
            ))),
            Some(m) => Err(Refusal::Harm(format!(
                "{} stands at {}; it would be gone, with {} attempts out",
                m.spec.uid, spec.addr, m.open
            ))),
            None => Ok(()),
        }
    }

    /// What the loss of a member to new work would do.
    fn guard_loss(&self, m: &Member) -> Result<(), Refusal> {
        let others =
            || self.members.values().filter(|o| o.spec.uid != m.spec.uid && o.spec.role == m.spec.role);
        let left = others().filter(|o| o.live()).count();
        if !m.live() || left > 0 {
            return Ok(());
        }
        let uid = &m.spec.uid;
        let out = others().filter(|o| matches!(o.state, State::Out(_))).count();
        let also = if out > 0 { format!("; {out} more are out") } else { String::new() };
        Err(Refusal::Harm(match m.spec.role {
            Role::Box => format!("{uid} is the last box that takes work{also}: requests would be refused"),
            Role::Hub => {
                format!("{uid} is the only hub, with {} fills out{also}: new objects would not come", m.open)
            }
            Role::Library => format!("{uid} is the library{also}: filings would be refused"),
        }))
    }

    fn guard_remove(&self, now: Time, m: &Member) -> Result<(), Refusal> {
        let uid = &m.spec.uid;
        if m.filings > 0 {
            let n = m.filings;
            return Err(Refusal::Rule(format!(
                "{n} filings are out at {uid}; whether they ran is told there alone"
            )));
        }
        match m.state {
            State::Draining(since) if now < since + DRAIN => {
                let left = span(since + DRAIN, now);
                Err(Refusal::Rule(format!("{uid} drains; new work may still be on its way for {left}")))
            }
            State::Draining(_) if m.open > 0 => Err(Refusal::Harm(format!(
                "{uid} drains and has {} attempts out; they would be asked again",
                m.open
            ))),
            State::Draining(_) | State::Joining => Ok(()),
            State::Out(_) if m.open == 0 => Ok(()),
            _ => Err(Refusal::Harm(format!("{uid} has not drained and has {} attempts out", m.open))),
        }
    }

    fn carry_out(&mut self, now: Time, command: Command) -> String {
        match command {
            Command::Add(spec) => {
                let old = self.members.values_mut().find(|m| !m.gone() && m.spec.addr == spec.addr);
                let instead = old.map(|m| {
                    m.state = State::Gone(now);
                    format!(" in place of {}", m.spec.uid)
                });
                let done = format!("{} added at {}{}", spec.uid, spec.addr, instead.unwrap_or_default());
                let (state, cold) = (State::Joining, None);
                let member = Member { spec, state, open: 0, filings: 0, cold, falls: 0, back: now };
                self.members.insert(member.spec.uid.clone(), member);
                done
            }
            Command::Drain(uid) => self.become_(&uid, State::Draining(now), "drains"),
            Command::Undrain(uid) => {
                // Nobody knows whether it started anew meanwhile: it comes back cold.
                if let Some(m) = self.members.get_mut(&uid) {
                    (m.cold, m.back) = (Some(now), now);
                }
                self.become_(&uid, State::Cold(now), "takes work again, as a cold box")
            }
            Command::Remove(uid) => self.become_(&uid, State::Gone(now), "is removed"),
            Command::Purge(what) => {
                self.purges.push((now, what));
                match what {
                    Purged::Object(object, _) => format!("object {object:016x} is purged"),
                    Purged::Group(group) => format!("group {group} is purged"),
                }
            }
        }
    }

    fn become_(&mut self, uid: &str, state: State, done: &str) -> String {
        if let Some(m) = self.members.get_mut(uid) {
            m.state = state;
        }
        format!("{uid} {done}")
    }
}

impl Member {
    /// Out, until it is tried: later each time that it comes back and falls again.
    fn out(&mut self, now: Time) -> State {
        let wait = TRIAL << self.falls.min(DOUBLED);
        if !matches!(self.state, State::Out(_)) {
            self.falls = self.falls.saturating_add(1);
        }
        State::Out(now + wait)
    }
}

/// A span of time, for people.
fn span(to: Time, from: Time) -> String {
    let ms = to.saturating_sub(from) / MS;
    if ms < 10_000 {
        format!("{ms} ms")
    } else {
        format!("{} s", ms / 1_000)
    }
}
