//! The core of a request router. It owns the decision module, the open requests and attempts, and the member
//! list. Timed events go in, commands come out; it knows no wire, no socket and no clock.

mod lookups;
mod succession;
mod told;

use crate::ask::{Ask, Reply, Said, Wanted};
use crate::classes::{Classes, Table};
use crate::figures::{End, Figures};
use crate::filings::Filings;
use crate::follow::{Follow, Found};
use crate::legacy::{Filing, Legacy, Line};
use crate::members::{Member, Told};
use crate::orders::*;
use hollymux_decide::time::{divide_to_micros, whole_micros};
use hollymux_decide::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Requests open at a time; beyond them new ones are refused.
const OPEN_MOST: usize = 4_096;
/// Addresses whose last host is remembered beyond those that are listed.
const TENANTS: usize = 4_096;
/// A budget above this multiple of its class's deadline is no usable one.
const PATIENCE: u32 = 2;

#[derive(Debug)]
struct Open {
    mind: Mind,
    wanted: Wanted,
    /// Who is owed an answer and what was asked; none: a lookup.
    from: Option<(Client, Rc<Ask>)>,
    attempts: u16,
    arrived: Timestamp,
    deadline: Timestamp,
    /// The last box asked and its source, by name, and how that ended.
    tried: (Option<Rc<str>>, Option<Rc<str>>),
    last: Option<Status>,
    /// When the first attempt was sent that may have run.
    ran: Option<Timestamp>,
}

impl Open {
    fn ended(&self, request: RequestId, now: Timestamp, result: Closed, why: Why, bytes: usize) -> Command {
        Command::Ended(Box::new(Ended {
            request,
            wanted: self.wanted.clone(),
            arrived: self.arrived,
            budget: self.deadline.saturating_duration_since(self.arrived),
            took: now.saturating_duration_since(self.arrived),
            result,
            why,
            bytes: bytes as u64,
            attempts: self.attempts,
            host: self.tried.0.clone(),
            source: self.tried.1.clone(),
        }))
    }

    /// Why it could not be served: how its last attempt ended, or that none could be made.
    fn why(&self) -> Why {
        // An attempt that is still out when the time is over was silent.
        let silent = if self.attempts > 0 { Why::Host(Status::Timeout) } else { Why::NoHost };
        self.last.map_or(silent, Why::Host)
    }
}

#[derive(Debug)]
struct Out {
    mind: Mind,
    class: u16,
    host: HostId,
    source: Option<HostId>,
    sent: Timestamp,
    /// Only named to somebody: it is held to be out for a while, and nothing will be heard of it.
    named: bool,
}

/// How an attempt ended, and what its answer tells beside that.
struct Ending {
    status: Status,
    /// The sending time of what came back, in seconds.
    work: Option<f64>,
    note: Option<Note>,
}

impl From<Status> for Ending {
    fn from(status: Status) -> Ending {
        Ending { status, work: None, note: None }
    }
}

/// Counters for the operator; the last must stay 0.
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
    /// Refused before they were opened: too much on their connection, in the buffers, or the router empties.
    pub turned_away: u64,
    /// Lookups answered.
    pub lookups: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Commands to something that has ended or may not be sent: never carried out.
    pub broken: u64,
}

/// What the core is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// What the module works by.
    pub settings: Settings,
    /// The names of the classes, by number.
    pub classes: Vec<String>,
    /// For random numbers.
    pub seed: u64,
    /// The memory limit in MB: it bounds what is remembered.
    pub memory_mb: u64,
    /// What a single transfer runs at; 0: not told, so that bytes tell no sending time.
    pub flow_bytes_per_s: f64,
}

/// The core of one request router.
#[derive(Debug)]
pub struct Router {
    control: Control,
    follow: Option<Follow>,
    classes: Classes,
    settings: Settings,
    flow: f64,
    filings: Filings,
    /// What the lookup that is under way came to.
    found: Option<Found<Target>>,
    members: HashMap<HostId, (Rc<str>, Member)>,
    /// Who was listed last at an address, also after it has gone.
    tenants: HashMap<SocketAddr, HostId>,
    open: HashMap<RequestId, Open>,
    by_client: BTreeMap<Client, RequestId>,
    /// The ids of clients' open requests.
    open_ids: HashSet<u64>,
    out: BTreeMap<AttemptId, Out>,
    next: RequestId,
    /// What has been counted so far.
    pub counters: Counters,
    /// What operators are shown.
    pub figures: Figures,
    /// The places of the classes' numbers there, by class.
    places: Vec<usize>,
}

impl Router {
    /// The core under a setup; clients' requests are decided here, or followed by lookups.
    pub fn new(setup: Setup, follow: bool) -> Result<Router, SettingsError> {
        let Setup { settings, classes, seed, memory_mb, flow_bytes_per_s: flow } = setup;
        let (mut figures, mut by_name) = (Figures::default(), Classes::default());
        let named = classes.into_iter().zip(settings.classes.iter().cloned()).collect();
        let settings = Settings { classes: by_name.change(named, &[], &BTreeSet::new()).classes, ..settings };
        let places = by_name.names().map(|name| figures.place(name)).collect();
        Ok(Router {
            control: Control::new(settings.clone(), seed)?,
            classes: by_name,
            follow: follow.then(|| Follow::new(settings.clone())),
            settings,
            flow,
            filings: Filings::new(memory_mb),
            found: None,
            members: HashMap::new(),
            tenants: HashMap::new(),
            open: HashMap::new(),
            by_client: BTreeMap::new(),
            open_ids: HashSet::new(),
            out: BTreeMap::new(),
            next: 1,
            counters: Counters::default(),
            figures,
            places,
        })
    }

    /// Requests that were taken and have not ended.
    pub fn owed(&self) -> usize {
        self.by_client.len()
    }

    /// How many hosts are listed and avoided.
    pub fn rotation(&self) -> Rotation {
        self.control.rotation()
    }

    /// Counts an end of a request of a class, or an attempt.
    pub fn count(&mut self, class: u16, end: End) {
        if let Some(place) = self.places.get(usize::from(class)) {
            self.figures.count(*place, end);
        }
    }

    /// A request that is refused before it is opened; what there is to say of it.
    pub fn turn_away(&mut self, now: Timestamp, ask: &Ask) -> Option<Command> {
        self.counters.turned_away += 1;
        let class = self.classes.named(&ask.class)?;
        self.count(class, End::Throttled);
        Some(unopened(&ask.wanted(class), now, ask.budget, Closed::Refused, Why::Crowded))
    }

    /// A request whose fields can't be used: it is failed.
    pub fn spoilt(&mut self, class: &[u8]) {
        if let Some(class) = self.classes.named(class) {
            self.count(class, End::Faulted);
        }
    }

    /// So many routers may be at work, in all and in this one's zone: limits are divided by that.
    pub fn count_routers(&mut self, all: u32, here: u32) {
        self.control.count_routers(all, here);
    }

    /// Parts of cold budgets are agreed with other routers: see [`Control::lease`].
    pub fn lease(&mut self, homes: (f64, f64), parts: BTreeMap<HostId, Part>) {
        self.control.lease(homes, parts);
    }

    /// What members call a host, if it is one.
    pub fn uid(&self, host: HostId) -> Option<&str> {
        self.members.get(&host).map(|(uid, _)| &**uid)
    }

    /// What cold hosts are asked for here.
    pub fn cold_demands(&self, now: Timestamp) -> Vec<ColdDemand> {
        self.control.cold_demands(now)
    }

    /// Shares cold budgets with another process that works at this one's place, or no longer.
    pub fn share(&mut self, with_another: bool) {
        self.control.share(u32::from(with_another));
    }

    /// Whether no request is open.
    pub fn idle(&self) -> bool {
        self.open.is_empty()
    }

    /// The classes.
    pub fn classes(&self) -> &Classes {
        &self.classes
    }

    /// The settings in force; classes that nobody can ask for any more are among them.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// A host and a source as they are on the sockets; none if one of them takes no work.
    fn target(&self, host: HostId, fill: Fill) -> Option<Target> {
        let ready = |id| self.members.get(&id).filter(|m| takes_work(m));
        let (uid, member) = ready(host)?;
        // On the sockets a host that fills from itself names no source.
        let source = match fill.source.filter(|s| *s != host) {
            Some(source) => Some(ready(source)?.0.clone()),
            None => None,
        };
        Some(Target { host, uid: uid.clone(), addr: member.addr?, source, fill })
    }

    /// Takes one input and appends what is to be done, in order.
    pub fn handle(&mut self, now: Timestamp, input: Input, commands: &mut Vec<Command>) {
        match input {
            Input::Ask(client, ask) => self.on_ask(now, client, ask, commands),
            Input::Undo(client) => self.withdraw(now, client, commands),
            Input::Left(conn) => {
                let all = Client { conn, tag: 0 }..=Client { conn, tag: u64::MAX };
                let left: Vec<Client> = self.by_client.range(all).map(|(c, _)| *c).collect();
                left.into_iter().for_each(|c| self.withdraw(now, c, commands));
            }
            Input::Said(attempt, said, note) => self.on_said(now, attempt, said, note, commands),
            Input::Lost(attempt, Lost::Refused) => self.end(now, attempt, Status::ConnectFailed, commands),
            Input::Lost(attempt, Lost::Late) => self.end(now, attempt, Status::Unreached, commands),
            Input::Lost(attempt, Lost::Unsent) => self.end(now, attempt, Status::Moot, commands),
            Input::Lost(attempt, Lost::Broken) => self.end(now, attempt, Status::Reset, commands),
            Input::Probed(host, well) => {
                let status = match well {
                    Some(true) => Status::Ok,
                    Some(false) => Status::Error,
                    None => Status::Timeout,
                };
                self.drive(now, Mind::Module, Event::Probed { host, status }, commands);
            }
            Input::Told(told) => self.on_told(now, told, commands),
            Input::Wake(Wake::Mind(mind, token)) => self.drive(now, mind, Event::Timer { token }, commands),
            Input::Found(request, found) => self.on_found(now, request, found, commands),
            Input::Wake(Wake::Attempt(attempt)) => {
                let named = self.out.get(&attempt).map(|o| o.named);
                if named == Some(false) {
                    commands.push(self.quit(attempt));
                }
                let status = if named == Some(true) { Status::Cancelled } else { Status::Timeout };
                self.end(now, attempt, status, commands);
            }
            Input::End => self.end_all(now, commands),
        }
    }

    fn quit(&self, attempt: AttemptId) -> Command {
        Command::Quit { attempt, again: self.open.contains_key(&attempt.request) }
    }

    /// Answers whatever is open: nothing may be left when the router ends.
    fn end_all(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        for request in std::mem::take(&mut self.by_client).into_values() {
            if let Some(mind) = self.open.get(&request).map(|o| o.mind) {
                self.reply(now, request, Reply::Failed, commands);
                self.drive(now, mind, Event::Withdrawn { request }, commands);
            }
        }
    }

    fn on_ask(&mut self, now: Timestamp, client: Client, ask: Ask, commands: &mut Vec<Command>) {
        self.counters.taken += 1;
        let Some(class) = self.classes.named(&ask.class) else {
            self.counters.failed += 1;
            return commands.push(Command::Reply(client, Reply::Failed));
        };
        let wanted = ask.wanted(class);
        // An id that is open can't be told from the first one at a shelf; nobody waits for longer than his class.
        let limit = self.settings.classes[usize::from(class)].deadline * PATIENCE;
        let rid = ask.rid.1;
        if self.open_ids.contains(&rid) || !limit.is_zero() && Duration::from_millis(ask.budget) > limit {
            self.tally(class, &Reply::Failed);
            commands.push(unopened(&wanted, now, ask.budget, Closed::Failed, Why::Unusable));
            return commands.push(Command::Reply(client, Reply::Failed));
        }
        let once = wanted.rid.filter(|_| self.classes.effect(class) == Effect::Unsafe);
        if once.is_some_and(|rid| self.filings.by_id.contains_key(&rid)) {
            // It was taken before, or somebody was told where to go with it: it may have run.
            self.tally(class, &Reply::Failed);
            commands.push(unopened(&wanted, now, ask.budget, Closed::Failed, Why::MayHaveRun));
            return commands.push(Command::Reply(client, Reply::Failed));
        }
        let room = self.open.len() < OPEN_MOST && once.is_none_or(|rid| self.filings.add(now, rid, None));
        if !room {
            let refused = Reply::Refused(whole_micros(self.settings.max_retry_after) / 1_000);
            self.tally(class, &refused);
            commands.push(unopened(&wanted, now, ask.budget, Closed::Refused, Why::NoRoom));
            return commands.push(Command::Reply(client, refused));
        }
        let mind = if self.follow.is_some() { Mind::Follow } else { Mind::Module };
        let deadline = now + Duration::from_millis(ask.budget);
        self.begin(now, deadline, mind, wanted, Some((client, Rc::new(ask))), commands);
    }

    /// Counts a final answer.
    fn tally(&mut self, class: u16, reply: &Reply) {
        let (counter, end) = match reply {
            Reply::Good(..) | Reply::Unchanged(_) => (&mut self.counters.served, End::Fulfilled),
            Reply::Refused(_) => (&mut self.counters.refused, End::Throttled),
            Reply::Failed => (&mut self.counters.failed, End::Faulted),
        };
        *counter += 1;
        self.count(class, end);
    }

    /// Opens a request.
    fn begin(
        &mut self,
        now: Timestamp,
        deadline: Timestamp,
        mind: Mind,
        wanted: Wanted,
        from: Option<(Client, Rc<Ask>)>,
        commands: &mut Vec<Command>,
    ) -> RequestId {
        let id = self.next;
        self.next = self.next.wrapping_add(1).max(1);
        let Wanted { class, object, part, group, .. } = wanted;
        let request = Request { id, class, object, part, group, deadline, ..Request::default() };
        if let Some((client, _)) = &from {
            self.by_client.insert(*client, id);
            self.open_ids.extend(wanted.rid);
        }
        let (arrived, tried, last, ran) = (now, (None, None), None, None);
        self.open.insert(id, Open { mind, wanted, from, attempts: 0, arrived, deadline, tried, last, ran });
        self.drive(now, mind, Event::Request(request), commands);
        id
    }

    fn withdraw(&mut self, now: Timestamp, client: Client, commands: &mut Vec<Command>) {
        if let Some(request) = self.by_client.remove(&client) {
            if let Some(open) = self.open.remove(&request) {
                open.wanted.rid.map(|rid| self.open_ids.remove(&rid));
                commands.push(open.ended(request, now, Closed::Withdrawn, open.why(), 0));
                self.drive(now, open.mind, Event::Withdrawn { request }, commands);
            }
        }
    }

    /// The one final answer of a request; it is closed by it.
    fn reply(&mut self, now: Timestamp, request: RequestId, reply: Reply, commands: &mut Vec<Command>) {
        let Some(open) = self.open.remove(&request) else {
            // A second final answer would leave the client with an answer to nothing.
            self.counters.broken += 1;
            debug_assert!(false, "a final answer after the end of request {request}");
            return;
        };
        let (result, why, bytes) = match &reply {
            Reply::Good(_, body) => (Closed::Served, Why::Asked, body.len()),
            Reply::Unchanged(_) => (Closed::Unchanged, Why::Asked, 0),
            Reply::Refused(_) => (Closed::Refused, open.why(), 0),
            Reply::Failed => (Closed::Failed, open.why(), 0),
        };
        commands.push(open.ended(request, now, result, why, bytes));
        let Some((client, _)) = open.from else {
            let refused = matches!(reply, Reply::Refused(_));
            self.found = Some(if refused { Found::Refused } else { Found::Failed });
            return;
        };
        self.by_client.remove(&client);
        open.wanted.rid.map(|rid| self.open_ids.remove(&rid));
        let once = self.classes.effect(open.wanted.class) == Effect::Unsafe;
        if let (Some(rid), Reply::Refused(_), true) = (open.wanted.rid, &reply, once) {
            // Refused: it never ran, and may be asked for again.
            self.filings.by_id.remove(&rid);
        }
        self.tally(open.wanted.class, &reply);
        commands.push(Command::Reply(client, reply));
    }

    fn on_said(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        said: Said,
        note: Option<Note>,
        commands: &mut Vec<Command>,
    ) {
        let request = attempt.request;
        let live = self.out.contains_key(&attempt) && self.open.contains_key(&request);
        let mut work = None;
        let status = match said {
            Said::Absent => Status::Miss,
            Said::Full => Status::Full,
            Said::Failed | Said::Probed(_) => Status::Error,
            Said::Moot => Status::Moot,
            Said::Data(digest, body) => {
                work = Some(body.len() as f64 / self.flow).filter(|w| w.is_finite());
                if live {
                    self.reply(now, request, Reply::Good(digest, body), commands);
                }
                Status::Ok
            }
            Said::Unchanged(digest) => {
                if live {
                    self.reply(now, request, Reply::Unchanged(digest), commands);
                }
                Status::Ok
            }
        };
        // What is not to be told by the settings is not believed.
        let note = note.filter(|_| self.settings.notes != Notes::None);
        self.end(now, attempt, Ending { status, work, note }, commands);
    }

    /// An attempt has ended; later news of it is no news.
    fn end(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        ending: impl Into<Ending>,
        commands: &mut Vec<Command>,
    ) {
        let mind = self.out.get(&attempt).map(|o| o.mind);
        if let (Some(mind), Some(outcome)) = (mind, self.outcome(now, attempt, ending, commands)) {
            self.drive(now, mind, outcome, commands);
        }
    }

    fn outcome(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        ending: impl Into<Ending>,
        commands: &mut Vec<Command>,
    ) -> Option<Event> {
        let out = self.out.remove(&attempt)?;
        let Ending { status, work, note } = ending.into();
        if let Some(open) = self.open.get_mut(&attempt.request) {
            open.last = Some(status);
            if !status.never_ran() {
                open.ran = open.ran.or(Some(out.sent));
            }
        }
        let name = |id: HostId| self.members.get(&id).map(|m| m.0.clone());
        if let Some(host) = name(out.host).filter(|_| !out.named) {
            let (source, took) = (out.source.and_then(name), now.saturating_duration_since(out.sent));
            commands.push(Command::Tried(Tried { attempt, host, source, status, took }));
        }
        Some(Event::Outcome(Outcome {
            request: attempt.request,
            attempt: attempt.number,
            host: out.host,
            latency: now.saturating_duration_since(out.sent),
            status,
            ended: !self.open.contains_key(&attempt.request),
            note,
            work,
        }))
    }

    /// Hands an event to whoever decides and carries the actions out.
    fn drive(&mut self, now: Timestamp, mind: Mind, event: Event, commands: &mut Vec<Command>) {
        let mut actions = Vec::new();
        match (mind, &mut self.follow) {
            (Mind::Follow, Some(follow)) => follow.handle(now, event, &mut actions),
            _ => self.control.handle(now, event, &mut actions),
        }
        self.carry(now, mind, actions, commands);
    }

    /// Carries actions out, in order; their immediate ends are events again.
    fn carry(&mut self, now: Timestamp, mind: Mind, actions: Vec<Action>, commands: &mut Vec<Command>) {
        let ends: Vec<Event> = actions.into_iter().filter_map(|a| self.act(now, mind, a, commands)).collect();
        ends.into_iter().for_each(|event| self.drive(now, mind, event, commands));
        let wanted = self.follow.as_mut().map(|f| std::mem::take(&mut f.wanted)).unwrap_or_default();
        for id in wanted {
            if let Some(open) = self.open.get(&id) {
                commands.push(Command::Look(id, open.wanted.clone()));
            }
        }
    }

    fn act(
        &mut self,
        now: Timestamp,
        mind: Mind,
        action: Action,
        commands: &mut Vec<Command>,
    ) -> Option<Event> {
        match action {
            Action::Attempt { request, host, timeout, fill } => {
                return self.attempt(now, request, host, timeout, fill, commands);
            }
            Action::Cancel { request, attempt } => {
                let attempt = AttemptId { request, number: attempt };
                if self.out.get(&attempt)?.named {
                    return None;
                }
                commands.push(self.quit(attempt));
                return self.outcome(now, attempt, Status::Cancelled, commands);
            }
            Action::Refuse { request, retry_after } => {
                self.reply(now, request, Reply::Refused(whole_micros(retry_after).div_ceil(1_000)), commands)
            }
            Action::Fail { request } => self.reply(now, request, Reply::Failed, commands),
            Action::Timer { after, token } => {
                commands.push(Command::Wake(now + after, Wake::Mind(mind, token)));
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
        now: Timestamp,
        request: RequestId,
        host: HostId,
        timeout: Duration,
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
        let (mind, class) = (open.mind, open.wanted.class);
        let ask = open.from.as_ref().map(|(client, ask)| (*client, ask.clone()));
        // A tenth of the window is left for the way there, as in the decision.
        let keyed = &self.settings.classes[usize::from(class)];
        let keyed = Some(divide_to_micros(keyed.window, 10) * 9).filter(|_| keyed.effect == Effect::Keyed);
        let by = open.ran.zip(keyed).map(|(ran, window)| ran + window);
        self.out
            .insert(attempt, Out { mind, class, host, source: fill.source, sent: now, named: ask.is_none() });
        let Some(target) = self.target(host, fill) else {
            // It names what takes no work: it can't have run.
            return self.outcome(now, attempt, Status::Moot, commands);
        };
        if let Some(open) = self.open.get_mut(&request) {
            open.tried = (Some(target.uid.clone()), target.source.clone());
        }
        match ask {
            Some((client, ask)) => {
                self.counters.attempts += 1;
                commands.push(Command::Wake(now + timeout, Wake::Attempt(attempt)));
                commands.push(Command::Send(Order { attempt, target, timeout, class, ask, client, by }));
            }
            None => {
                if let Some(open) = self.open.remove(&request) {
                    commands.push(open.ended(request, now, Closed::Named, Why::Asked, 0));
                }
                let aim = self.settings.classes[usize::from(class)].aim;
                commands.push(Command::Wake(now + aim, Wake::Attempt(attempt)));
                self.found = Some(Found::Box(target));
            }
        }
        None
    }
}

/// A request that was answered without being opened; `budget` in milliseconds.
pub fn unopened(wanted: &Wanted, arrived: Timestamp, budget: u64, result: Closed, why: Why) -> Command {
    Command::Ended(Box::new(Ended {
        request: 0,
        wanted: wanted.clone(),
        arrived,
        budget: Duration::from_millis(budget),
        took: Duration::ZERO,
        result,
        why,
        bytes: 0,
        attempts: 0,
        host: None,
        source: None,
    }))
}

fn takes_work(member: &(Rc<str>, Member)) -> bool {
    member.1.entry.state == HostState::Ready
}
