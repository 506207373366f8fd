//! The core of a request router. It owns the decision module, the open requests and attempts, and the member
//! list. Timed events go in, commands come out; it knows no wire, no socket and no clock.

use crate::config::{Config, Member, Told};
use crate::control::Control;
use crate::interface::*;
use crate::proto::front::{Ask, Reply};
use crate::proto::shelf::Said;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// Requests open at a time; beyond them new ones are refused.
const OPEN_MOST: usize = 4_096;

/// Who is owed an answer: a connection and the tag of a request on it. The core only gives it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Client {
    /// The connection.
    pub conn: u64,
    /// The tag.
    pub tag: u64,
}

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Its number.
    pub number: u16,
}

/// An attempt as it is to be sent.
#[derive(Clone, Debug)]
pub struct Order {
    /// Which attempt it is.
    pub attempt: AttemptId,
    /// Where it goes.
    pub host: HostId,
    /// The address of that.
    pub addr: SocketAddr,
    /// Its time-out.
    pub timeout: Time,
    /// The source of a fill by its name on the sockets.
    pub source: Option<Rc<str>>,
    /// Fill and keep.
    pub fill: Fill,
    /// What is asked.
    pub ask: Rc<Ask>,
}

/// What wakes the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// A timer of the module.
    Module(u64),
    /// An attempt's time-out.
    Attempt(AttemptId),
}

/// Why an attempt ended with no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// It was never written whole, so it never ran.
    Unsent,
    /// The connection ended after it was written whole.
    Broken,
}

/// What the core is told.
#[derive(Debug)]
pub enum Input {
    /// A client asks.
    Ask(Client, Ask),
    /// A client stops waiting.
    Undo(Client),
    /// A client's connection ended.
    Left(u64),
    /// A shelf answered an attempt.
    Said(AttemptId, Said),
    /// An attempt ended with no answer.
    Lost(AttemptId, Lost),
    /// A probe ended; none: nothing came back.
    Probed(HostId, Option<bool>),
    /// The control feed told something.
    Told(Told),
    /// A timer is due.
    Wake(Wake),
}

/// What the core wants done.
#[derive(Debug)]
pub enum Command {
    /// Send an attempt.
    Send(Order),
    /// Give an attempt up.
    Quit(HostId, AttemptId),
    /// Give a client its final answer.
    Reply(Client, Reply),
    /// Wake the core at that time.
    Wake(Time, Wake),
    /// Probe a host.
    Probe(HostId, SocketAddr),
    /// Close all connections to a host: its process is no longer there.
    Drop(HostId),
    /// A host takes nothing more: what has not gone out to it must not go.
    Hold(HostId),
    /// A line for the operator.
    Log(String),
}

#[derive(Debug)]
struct Open {
    client: Client,
    ask: Rc<Ask>,
    attempts: u16,
}

#[derive(Debug)]
struct Out {
    host: HostId,
    sent: Time,
}

/// Counters for the operator; the last two must stay 0.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Requests taken.
    pub taken: u64,
    /// Answered with what was asked for.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Commands to something that has ended or may not be sent: never carried out.
    pub broken: u64,
}

/// The core of one request router.
#[derive(Debug)]
pub struct Router {
    control: Control,
    classes: Vec<(String, Effect)>,
    members: HashMap<HostId, (Rc<str>, Member)>,
    open: HashMap<RequestId, Open>,
    by_client: BTreeMap<Client, RequestId>,
    out: BTreeMap<AttemptId, Out>,
    next: RequestId,
    max_retry_after: Time,
    /// What has been counted so far.
    pub counters: Counters,
}

impl Router {
    /// The core for a configuration.
    pub fn new(config: &Config) -> Result<Router, SettingsError> {
        let effects = config.settings.classes.iter().map(|c| c.effect);
        Ok(Router {
            control: Control::new(config.settings.clone(), config.seed)?,
            classes: config.names.classes.iter().cloned().zip(effects).collect(),
            members: HashMap::new(),
            open: HashMap::new(),
            by_client: BTreeMap::new(),
            out: BTreeMap::new(),
            next: 1,
            max_retry_after: config.settings.max_retry_after,
            counters: Counters::default(),
        })
    }

    /// Whether no request is open.
    pub fn idle(&self) -> bool {
        self.open.is_empty()
    }

    /// Takes one input and appends what is to be done, in order.
    pub fn handle(&mut self, now: Time, input: Input, commands: &mut Vec<Command>) {
        match input {
            Input::Ask(client, ask) => self.on_ask(now, client, ask, commands),
            Input::Undo(client) => self.withdraw(now, client, commands),
            Input::Left(conn) => {
                let all = Client { conn, tag: 0 }..=Client { conn, tag: u64::MAX };
                let left: Vec<Client> = self.by_client.range(all).map(|(c, _)| *c).collect();
                left.into_iter().for_each(|c| self.withdraw(now, c, commands));
            }
            Input::Said(attempt, said) => self.on_said(now, attempt, said, commands),
            Input::Lost(attempt, Lost::Unsent) => self.end(now, attempt, Status::ConnectFailed, commands),
            Input::Lost(attempt, Lost::Broken) => self.end(now, attempt, Status::Reset, commands),
            Input::Probed(host, well) => {
                let status = match well {
                    Some(true) => Status::Ok,
                    Some(false) => Status::Error,
                    None => Status::Timeout,
                };
                self.drive(now, Event::Probed { host, status }, commands);
            }
            Input::Told(told) => self.on_told(now, told, commands),
            Input::Wake(Wake::Module(token)) => self.drive(now, Event::Timer { token }, commands),
            Input::Wake(Wake::Attempt(attempt)) => {
                if let Some(out) = self.out.get(&attempt) {
                    commands.push(Command::Quit(out.host, attempt));
                    self.end(now, attempt, Status::Timeout, commands);
                }
            }
        }
    }

    fn on_ask(&mut self, now: Time, client: Client, ask: Ask, commands: &mut Vec<Command>) {
        self.counters.taken += 1;
        let class = self.classes.iter().position(|c| c.0.as_bytes() == ask.class);
        let Some(class) = class.and_then(|c| u16::try_from(c).ok()) else {
            self.counters.failed += 1;
            return commands.push(Command::Reply(client, Reply::Failed));
        };
        if self.open.len() >= OPEN_MOST {
            self.counters.refused += 1;
            return commands.push(Command::Reply(client, Reply::Refused(self.max_retry_after / 1_000)));
        }
        let id = self.next;
        self.next = self.next.wrapping_add(1).max(1);
        let request = Request {
            id,
            class,
            object: ask.object.1,
            part: ask.part,
            group: ask.group,
            deadline: now + ask.budget * 1_000,
            ..Request::default()
        };
        self.by_client.insert(client, id);
        self.open.insert(id, Open { client, ask: Rc::new(ask), attempts: 0 });
        self.drive(now, Event::Request(request), commands);
    }

    fn withdraw(&mut self, now: Time, client: Client, commands: &mut Vec<Command>) {
        if let Some(request) = self.by_client.remove(&client) {
            self.open.remove(&request);
            self.drive(now, Event::Withdrawn { request }, commands);
        }
    }

    /// The one final answer of a request; it is closed by it.
    fn reply(&mut self, request: RequestId, reply: Reply, commands: &mut Vec<Command>) {
        let Some(open) = self.open.remove(&request) else {
            // A second final answer would leave the client with an answer to nothing.
            self.counters.broken += 1;
            debug_assert!(false, "a final answer after the end of request {request}");
            return;
        };
        self.by_client.remove(&open.client);
        *match reply {
            Reply::Good(..) | Reply::Unchanged(_) => &mut self.counters.served,
            Reply::Refused(_) => &mut self.counters.refused,
            Reply::Failed => &mut self.counters.failed,
        } += 1;
        commands.push(Command::Reply(open.client, reply));
    }

    fn on_said(&mut self, now: Time, attempt: AttemptId, said: Said, commands: &mut Vec<Command>) {
        let request = attempt.request;
        let live = self.out.contains_key(&attempt) && self.open.contains_key(&request);
        let status = match said {
            Said::Absent => Status::Miss,
            Said::Full => Status::Full,
            Said::Failed | Said::Probed(_) => Status::Error,
            Said::Moot => Status::Moot,
            Said::Data(digest, body) => {
                if live {
                    self.reply(request, Reply::Good(digest, body), commands);
                }
                Status::Ok
            }
            Said::Unchanged(digest) => {
                if live {
                    self.reply(request, Reply::Unchanged(digest), commands);
                }
                Status::Ok
            }
        };
        self.end(now, attempt, status, commands);
    }

    /// An attempt has ended; later news of it is no news.
    fn end(&mut self, now: Time, attempt: AttemptId, status: Status, commands: &mut Vec<Command>) {
        if let Some(outcome) = self.outcome(now, attempt, status) {
            self.drive(now, outcome, commands);
        }
    }

    fn outcome(&mut self, now: Time, attempt: AttemptId, status: Status) -> Option<Event> {
        let out = self.out.remove(&attempt)?;
        Some(Event::Outcome(Outcome {
            request: attempt.request,
            attempt: attempt.number,
            host: out.host,
            latency: now.saturating_sub(out.sent),
            status,
            ended: !self.open.contains_key(&attempt.request),
            note: None,
        }))
    }

    fn on_told(&mut self, now: Time, told: Told, commands: &mut Vec<Command>) {
        match told {
            Told::Purge { object, group, at } => {
                let purge = Purge { since: now.saturating_sub(at), object, group };
                self.drive(now, Event::Purged(purge), commands);
            }
            Told::Members { all, lines } => {
                if all {
                    let named: Vec<HostId> = lines.iter().map(|m| m.entry.id).collect();
                    for (id, (_, m)) in self.members.iter_mut().filter(|(id, _)| !named.contains(id)) {
                        m.entry.state = HostState::Gone;
                        commands.push(Command::Drop(*id));
                    }
                }
                let mut entries = Vec::with_capacity(lines.len());
                for mut line in lines {
                    let id = line.entry.id;
                    let old = self.members.get(&id).map(|m| &m.1);
                    if let Some(old) = old {
                        // A line that says less than the last one changes only what it says.
                        line.addr = line.addr.or(old.addr);
                        let moved = line.addr != old.addr || line.entry.started > old.entry.started;
                        match line.entry.state {
                            HostState::Gone => commands.push(Command::Drop(id)),
                            HostState::Ready if moved => commands.push(Command::Drop(id)),
                            HostState::Draining => commands.push(Command::Hold(id)),
                            HostState::Ready => {}
                        }
                        if line.entry.state == HostState::Gone {
                            line.entry = HostEntry { state: HostState::Gone, ..old.entry.clone() };
                        }
                    }
                    entries.push(line.entry.clone());
                    self.members.insert(id, (Rc::from(line.uid.as_str()), line));
                }
                let kind = if all { ListKind::Full } else { ListKind::Delta };
                self.drive(now, Event::Hosts { kind, entries }, commands);
                let gone = |m: &(Rc<str>, Member)| m.1.entry.state == HostState::Gone;
                self.members.retain(|_, m| !gone(m));
            }
        }
    }

    /// Hands an event to the module and carries its actions out; their immediate ends are events again.
    fn drive(&mut self, now: Time, event: Event, commands: &mut Vec<Command>) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.control.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.act(now, action, commands));
            }
        }
    }

    fn act(&mut self, now: Time, action: Action, commands: &mut Vec<Command>) -> Option<Event> {
        match action {
            Action::Attempt { request, host, timeout, fill } => {
                return self.attempt(now, request, host, timeout, fill, commands);
            }
            Action::Cancel { request, attempt } => {
                let attempt = AttemptId { request, number: attempt };
                let host = self.out.get(&attempt)?.host;
                commands.push(Command::Quit(host, attempt));
                return self.outcome(now, attempt, Status::Cancelled);
            }
            Action::Refuse { request, retry_after } => {
                self.reply(request, Reply::Refused(retry_after.div_ceil(1_000)), commands)
            }
            Action::Fail { request } => self.reply(request, Reply::Failed, commands),
            Action::Timer { after, token } => {
                commands.push(Command::Wake(now + after, Wake::Module(token)));
            }
            Action::Probe { host } => {
                let addr = self.members.get(&host).and_then(|m| m.1.addr)?;
                commands.push(Command::Probe(host, addr));
            }
            // The control feed is always open and always complete.
            Action::Subscribe | Action::FetchHosts => {}
            Action::Log(line) => commands.push(Command::Log(line)),
        }
        None
    }

    fn attempt(
        &mut self,
        now: Time,
        request: RequestId,
        host: HostId,
        timeout: Time,
        fill: Fill,
        commands: &mut Vec<Command>,
    ) -> Option<Event> {
        let all = AttemptId { request, number: 0 }..=AttemptId { request, number: u16::MAX };
        let outstanding = self.out.range(all).next().is_some();
        let Some(open) = self.open.get_mut(&request).filter(|_| !outstanding) else {
            self.counters.broken += 1;
            debug_assert!(false, "an attempt of request {request} that has ended or has one out");
            return None;
        };
        let attempt = AttemptId { request, number: open.attempts };
        open.attempts += 1;
        self.counters.attempts += 1;
        self.out.insert(attempt, Out { host, sent: now });
        let ready = |id| self.members.get(&id).filter(|m| m.1.entry.state == HostState::Ready);
        let source = fill.source.map(ready);
        let addr = ready(host).and_then(|m| m.1.addr);
        let (Some(addr), false) = (addr, matches!(source, Some(None))) else {
            // Names what takes no work: it can't have run.
            return self.outcome(now, attempt, Status::Moot);
        };
        let source = source.flatten().map(|m| m.0.clone());
        let ask = open.ask.clone();
        commands.push(Command::Wake(now + timeout, Wake::Attempt(attempt)));
        commands.push(Command::Send(Order { attempt, host, addr, timeout, source, fill, ask }));
        None
    }
}
