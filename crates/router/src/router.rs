//! The core of a request router. It owns the decision module, the open requests and attempts, and the member
//! list. Timed events go in, commands come out; it knows no wire, no socket and no clock.

mod feed_events;
mod handover;
mod lookups;

use crate::classes::{ClassTable, Classes};
use crate::endpoint_list::{FeedEvent, ListedEndpoint};
use crate::handover_state::{EndpointRecord, HandoverState, PendingWrite};
use crate::hint_follower::{HintFollower, LookupResult};
use crate::messages::*;
use crate::metrics::{CountedEvent, Metrics};
use crate::pending_writes::PendingWrites;
use crate::request::{AttemptResponse, ClientRequest, Reply, RequestedObject};
use hollymux_decision::time::{divide_to_micros, whole_micros};
use hollymux_decision::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Requests open at a time; beyond them new ones are refused.
const OPEN_MOST: usize = 4_096;
/// Addresses whose last endpoint is remembered beyond those that are listed.
const TENANTS: usize = 4_096;
/// A budget above this multiple of its class's deadline is no usable one.
const PATIENCE: u32 = 2;

#[derive(Debug)]
struct Open {
    mind: RoutingMode,
    wanted: RequestedObject,
    /// Who is owed an answer and what was asked; none: a lookup.
    from: Option<(ClientHandle, Rc<ClientRequest>)>,
    attempts: u16,
    arrived: Timestamp,
    deadline: Timestamp,
    /// The last box asked and its source, by name, and how that ended.
    tried: (Option<Rc<str>>, Option<Rc<str>>),
    last: Option<AttemptStatus>,
    /// When the first attempt was sent that may have run.
    ran: Option<Timestamp>,
}

impl Open {
    fn ended(
        &self,
        request: RequestId,
        now: Timestamp,
        result: RequestResult,
        why: ResultReason,
        bytes: usize,
    ) -> Command {
        Command::RequestEnded(Box::new(RequestSummary {
            request,
            requested: self.wanted.clone(),
            arrived: self.arrived,
            budget: self.deadline.saturating_duration_since(self.arrived),
            duration: now.saturating_duration_since(self.arrived),
            result,
            reason: why,
            bytes: bytes as u64,
            attempts: self.attempts,
            endpoint: self.tried.0.clone(),
            source: self.tried.1.clone(),
        }))
    }

    /// Why it could not be served: how its last attempt ended, or that none could be made.
    fn why(&self) -> ResultReason {
        // An attempt that is still out when the time is over was silent.
        let silent = if self.attempts > 0 {
            ResultReason::Attempt(AttemptStatus::Timeout)
        } else {
            ResultReason::NoEndpoint
        };
        self.last.map_or(silent, ResultReason::Attempt)
    }
}

#[derive(Debug)]
struct Out {
    mind: RoutingMode,
    class: u16,
    endpoint: EndpointId,
    source: Option<EndpointId>,
    sent: Timestamp,
    /// Only named to somebody: it is held to be out for a while, and nothing will be heard of it.
    named: bool,
}

/// How an attempt ended, and what its answer tells beside that.
struct AttemptEnd {
    status: AttemptStatus,
    /// The sending time of what came back, in seconds.
    work: Option<f64>,
    note: Option<CacheStatus>,
}

impl From<AttemptStatus> for AttemptEnd {
    fn from(status: AttemptStatus) -> AttemptEnd {
        AttemptEnd { status, work: None, note: None }
    }
}

/// Counters for the operator; the last must stay 0.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Requests taken.
    pub received: u64,
    /// Answered with what was asked for.
    pub served: u64,
    /// Refused.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Refused before they were opened: too much on their connection, in the buffers, or the router empties.
    pub shed: u64,
    /// Lookups answered.
    pub lookups: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Commands to something that has ended or may not be sent: never carried out.
    pub invariant_violations: u64,
}

/// What the core is started with.
#[derive(Clone, Debug)]
pub struct RouterOptions {
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
    control: DecisionModule,
    follow: Option<HintFollower>,
    classes: Classes,
    settings: Settings,
    flow: f64,
    filings: PendingWrites,
    /// What the lookup that is under way came to.
    found: Option<LookupResult<Target>>,
    members: HashMap<EndpointId, (Rc<str>, ListedEndpoint)>,
    /// Who was listed last at an address, also after it has gone.
    tenants: HashMap<SocketAddr, EndpointId>,
    open: HashMap<RequestId, Open>,
    by_client: BTreeMap<ClientHandle, RequestId>,
    /// The ids of clients' open requests.
    open_ids: HashSet<u64>,
    out: BTreeMap<AttemptId, Out>,
    next: RequestId,
    /// What has been counted so far.
    pub counters: Counters,
    /// What operators are shown.
    pub metrics: Metrics,
    /// The places of the classes' numbers there, by class.
    places: Vec<usize>,
}

impl Router {
    /// The core under a setup; clients' requests are decided here, or followed by lookups.
    pub fn new(setup: RouterOptions, follow: bool) -> Result<Router, SettingsError> {
        let RouterOptions { settings, classes, seed, memory_mb, flow_bytes_per_s: flow } = setup;
        let (mut figures, mut by_name) = (Metrics::default(), Classes::default());
        let named = classes.into_iter().zip(settings.classes.iter().cloned()).collect();
        let settings = Settings { classes: by_name.change(named, &[], &BTreeSet::new()).classes, ..settings };
        let places = by_name.names().map(|name| figures.place(name)).collect();
        Ok(Router {
            control: DecisionModule::new(settings.clone(), seed)?,
            classes: by_name,
            follow: follow.then(|| HintFollower::new(settings.clone())),
            settings,
            flow,
            filings: PendingWrites::new(memory_mb),
            found: None,
            members: HashMap::new(),
            tenants: HashMap::new(),
            open: HashMap::new(),
            by_client: BTreeMap::new(),
            open_ids: HashSet::new(),
            out: BTreeMap::new(),
            next: 1,
            counters: Counters::default(),
            metrics: figures,
            places,
        })
    }

    /// Requests that were taken and have not ended.
    pub fn owed(&self) -> usize {
        self.by_client.len()
    }

    /// How many endpoints are listed and avoided.
    pub fn rotation(&self) -> Rotation {
        self.control.rotation()
    }

    /// Counts an end of a request of a class, or an attempt.
    pub fn count(&mut self, class: u16, end: CountedEvent) {
        if let Some(place) = self.places.get(usize::from(class)) {
            self.metrics.count(*place, end);
        }
    }

    /// A request that is refused before it is opened; what there is to say of it.
    pub fn reject_unopened(&mut self, now: Timestamp, ask: &ClientRequest) -> Option<Command> {
        self.counters.shed += 1;
        let class = self.classes.named(&ask.class)?;
        self.count(class, CountedEvent::Rejected);
        Some(unopened(
            &ask.wanted(class),
            now,
            ask.budget_ms,
            RequestResult::Rejected,
            ResultReason::Overloaded,
        ))
    }

    /// A request whose fields can't be used: it is failed.
    pub fn spoilt(&mut self, class: &[u8]) {
        if let Some(class) = self.classes.named(class) {
            self.count(class, CountedEvent::Failed);
        }
    }

    /// So many routers may be at work, in all and in this one's zone: limits are divided by that.
    pub fn count_routers(&mut self, all: u32, here: u32) {
        self.control.count_routers(all, here);
    }

    /// Parts of cold budgets are agreed with other routers: see [`DecisionModule::lease`].
    pub fn lease(&mut self, homes: (f64, f64), parts: BTreeMap<EndpointId, QuotaShare>) {
        self.control.lease(homes, parts);
    }

    /// What members call an endpoint, if it is one.
    pub fn uid(&self, endpoint: EndpointId) -> Option<&str> {
        self.members.get(&endpoint).map(|(uid, _)| &**uid)
    }

    /// What cold endpoints are asked for here.
    pub fn warm_up_demands(&self, now: Timestamp) -> Vec<WarmUpDemand> {
        self.control.warm_up_demands(now)
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

    /// An endpoint and a source as they are on the sockets; none if one of them takes no work.
    fn target(&self, endpoint: EndpointId, fill: CacheFill) -> Option<Target> {
        let ready = |id| self.members.get(&id).filter(|m| takes_work(m));
        let (uid, member) = ready(endpoint)?;
        // On the sockets an endpoint that fills from itself names no source.
        let source = match fill.source.filter(|s| *s != endpoint) {
            Some(source) => Some(ready(source)?.0.clone()),
            None => None,
        };
        Some(Target { endpoint, uid: uid.clone(), addr: member.addr?, source, fill })
    }

    /// Takes one input and appends what is to be done, in order.
    pub fn handle(&mut self, now: Timestamp, input: Input, commands: &mut Vec<Command>) {
        match input {
            Input::Request(client, ask) => self.on_ask(now, client, ask, commands),
            Input::Cancel(client) => self.withdraw(now, client, commands),
            Input::ClientClosed(conn) => {
                let all = ClientHandle { conn, tag: 0 }..=ClientHandle { conn, tag: u64::MAX };
                let left: Vec<ClientHandle> = self.by_client.range(all).map(|(c, _)| *c).collect();
                left.into_iter().for_each(|c| self.withdraw(now, c, commands));
            }
            Input::Responded(attempt, said, note) => self.on_said(now, attempt, said, note, commands),
            Input::Failed(attempt, AttemptFailure::ConnectionRefused) => {
                self.end(now, attempt, AttemptStatus::ConnectFailed, commands)
            }
            Input::Failed(attempt, AttemptFailure::ConnectTimeout) => {
                self.end(now, attempt, AttemptStatus::Unreached, commands)
            }
            Input::Failed(attempt, AttemptFailure::NotSent) => {
                self.end(now, attempt, AttemptStatus::Moot, commands)
            }
            Input::Failed(attempt, AttemptFailure::ConnectionLost) => {
                self.end(now, attempt, AttemptStatus::Reset, commands)
            }
            Input::Probed(endpoint, well) => {
                let status = match well {
                    Some(true) => AttemptStatus::Ok,
                    Some(false) => AttemptStatus::Error,
                    None => AttemptStatus::Timeout,
                };
                self.drive(now, RoutingMode::Decide, Event::Probed { endpoint, status }, commands);
            }
            Input::Feed(told) => self.on_told(now, told, commands),
            Input::Wake(Wake::Decision(mind, token)) => {
                self.drive(now, mind, Event::Timer { token }, commands)
            }
            Input::LookedUp(request, found) => self.on_found(now, request, found, commands),
            Input::Wake(Wake::Attempt(attempt)) => {
                let named = self.out.get(&attempt).map(|o| o.named);
                if named == Some(false) {
                    commands.push(self.quit(attempt));
                }
                let status =
                    if named == Some(true) { AttemptStatus::Cancelled } else { AttemptStatus::Timeout };
                self.end(now, attempt, status, commands);
            }
            Input::Shutdown => self.end_all(now, commands),
        }
    }

    fn quit(&self, attempt: AttemptId) -> Command {
        Command::CancelAttempt { attempt, may_retry: self.open.contains_key(&attempt.request) }
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

    fn on_ask(
        &mut self,
        now: Timestamp,
        client: ClientHandle,
        ask: ClientRequest,
        commands: &mut Vec<Command>,
    ) {
        self.counters.received += 1;
        let Some(class) = self.classes.named(&ask.class) else {
            self.counters.failed += 1;
            return commands.push(Command::Reply(client, Reply::Failed));
        };
        let wanted = ask.wanted(class);
        // An id that is open can't be told from the first one at a shelf; nobody waits for longer than his class.
        let limit = self.settings.classes[usize::from(class)].deadline * PATIENCE;
        let rid = ask.request_id.value;
        if self.open_ids.contains(&rid) || !limit.is_zero() && Duration::from_millis(ask.budget_ms) > limit {
            self.tally(class, &Reply::Failed);
            commands.push(unopened(
                &wanted,
                now,
                ask.budget_ms,
                RequestResult::Failed,
                ResultReason::InvalidRequest,
            ));
            return commands.push(Command::Reply(client, Reply::Failed));
        }
        let once =
            wanted.request_id.filter(|_| self.classes.idempotency(class) == Idempotency::NotIdempotent);
        if once.is_some_and(|rid| self.filings.by_id.contains_key(&rid)) {
            // It was taken before, or somebody was told where to go with it: it may have run.
            self.tally(class, &Reply::Failed);
            commands.push(unopened(
                &wanted,
                now,
                ask.budget_ms,
                RequestResult::Failed,
                ResultReason::MayHaveRun,
            ));
            return commands.push(Command::Reply(client, Reply::Failed));
        }
        let room = self.open.len() < OPEN_MOST && once.is_none_or(|rid| self.filings.add(now, rid, None));
        if !room {
            let refused = Reply::Rejected(whole_micros(self.settings.max_retry_after) / 1_000);
            self.tally(class, &refused);
            commands.push(unopened(
                &wanted,
                now,
                ask.budget_ms,
                RequestResult::Rejected,
                ResultReason::TableFull,
            ));
            return commands.push(Command::Reply(client, refused));
        }
        let mind = if self.follow.is_some() { RoutingMode::FollowHint } else { RoutingMode::Decide };
        let deadline = now + Duration::from_millis(ask.budget_ms);
        self.begin(now, deadline, mind, wanted, Some((client, Rc::new(ask))), commands);
    }

    /// Counts a final answer.
    fn tally(&mut self, class: u16, reply: &Reply) {
        let (counter, end) = match reply {
            Reply::Served(..) | Reply::NotModified(_) => (&mut self.counters.served, CountedEvent::Served),
            Reply::Rejected(_) => (&mut self.counters.rejected, CountedEvent::Rejected),
            Reply::Failed => (&mut self.counters.failed, CountedEvent::Failed),
        };
        *counter += 1;
        self.count(class, end);
    }

    /// Opens a request.
    fn begin(
        &mut self,
        now: Timestamp,
        deadline: Timestamp,
        mind: RoutingMode,
        wanted: RequestedObject,
        from: Option<(ClientHandle, Rc<ClientRequest>)>,
        commands: &mut Vec<Command>,
    ) -> RequestId {
        let id = self.next;
        self.next = self.next.wrapping_add(1).max(1);
        let RequestedObject { class, object, chunk: part, group, .. } = wanted;
        let request = Request { id, class, object, part, group, deadline, ..Request::default() };
        if let Some((client, _)) = &from {
            self.by_client.insert(*client, id);
            self.open_ids.extend(wanted.request_id);
        }
        let (arrived, tried, last, ran) = (now, (None, None), None, None);
        self.open.insert(id, Open { mind, wanted, from, attempts: 0, arrived, deadline, tried, last, ran });
        self.drive(now, mind, Event::Request(request), commands);
        id
    }

    fn withdraw(&mut self, now: Timestamp, client: ClientHandle, commands: &mut Vec<Command>) {
        if let Some(request) = self.by_client.remove(&client) {
            if let Some(open) = self.open.remove(&request) {
                open.wanted.request_id.map(|rid| self.open_ids.remove(&rid));
                commands.push(open.ended(request, now, RequestResult::Cancelled, open.why(), 0));
                self.drive(now, open.mind, Event::Withdrawn { request }, commands);
            }
        }
    }

    /// The one final answer of a request; it is closed by it.
    fn reply(&mut self, now: Timestamp, request: RequestId, reply: Reply, commands: &mut Vec<Command>) {
        let Some(open) = self.open.remove(&request) else {
            // A second final answer would leave the client with an answer to nothing.
            self.counters.invariant_violations += 1;
            debug_assert!(false, "a final answer after the end of request {request}");
            return;
        };
        let (result, why, bytes) = match &reply {
            Reply::Served(_, body) => (RequestResult::Served, ResultReason::Completed, body.len()),
            Reply::NotModified(_) => (RequestResult::NotModified, ResultReason::Completed, 0),
            Reply::Rejected(_) => (RequestResult::Rejected, open.why(), 0),
            Reply::Failed => (RequestResult::Failed, open.why(), 0),
        };
        commands.push(open.ended(request, now, result, why, bytes));
        let Some((client, _)) = open.from else {
            let refused = matches!(reply, Reply::Rejected(_));
            self.found = Some(if refused { LookupResult::Rejected } else { LookupResult::Failed });
            return;
        };
        self.by_client.remove(&client);
        open.wanted.request_id.map(|rid| self.open_ids.remove(&rid));
        let once = self.classes.idempotency(open.wanted.class) == Idempotency::NotIdempotent;
        if let (Some(rid), Reply::Rejected(_), true) = (open.wanted.request_id, &reply, once) {
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
        said: AttemptResponse,
        note: Option<CacheStatus>,
        commands: &mut Vec<Command>,
    ) {
        let request = attempt.request;
        let live = self.out.contains_key(&attempt) && self.open.contains_key(&request);
        let mut work = None;
        let status = match said {
            AttemptResponse::Absent => AttemptStatus::Miss,
            AttemptResponse::AtCapacity => AttemptStatus::Full,
            AttemptResponse::Failed | AttemptResponse::ProbeResult(_) => AttemptStatus::Error,
            AttemptResponse::AlreadyCancelled => AttemptStatus::Moot,
            AttemptResponse::Data(digest, body) => {
                work = Some(body.len() as f64 / self.flow).filter(|w| w.is_finite());
                if live {
                    self.reply(now, request, Reply::Served(digest, body), commands);
                }
                AttemptStatus::Ok
            }
            AttemptResponse::NotModified(digest) => {
                if live {
                    self.reply(now, request, Reply::NotModified(digest), commands);
                }
                AttemptStatus::Ok
            }
        };
        // What is not to be told by the settings is not believed.
        let note = note.filter(|_| self.settings.cache_status_reporting != CacheStatusReporting::None);
        self.end(now, attempt, AttemptEnd { status, work, note }, commands);
    }

    /// An attempt has ended; later news of it is no news.
    fn end(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        ending: impl Into<AttemptEnd>,
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
        ending: impl Into<AttemptEnd>,
        commands: &mut Vec<Command>,
    ) -> Option<Event> {
        let out = self.out.remove(&attempt)?;
        let AttemptEnd { status, work, note } = ending.into();
        if let Some(open) = self.open.get_mut(&attempt.request) {
            open.last = Some(status);
            if !status.never_ran() {
                open.ran = open.ran.or(Some(out.sent));
            }
        }
        let name = |id: EndpointId| self.members.get(&id).map(|m| m.0.clone());
        if let Some(endpoint) = name(out.endpoint).filter(|_| !out.named) {
            let (source, took) = (out.source.and_then(name), now.saturating_duration_since(out.sent));
            commands.push(Command::AttemptEnded(AttemptSummary {
                attempt,
                endpoint,
                source,
                status,
                duration: took,
            }));
        }
        Some(Event::AttemptOutcome(AttemptOutcome {
            request: attempt.request,
            attempt: attempt.number,
            endpoint: out.endpoint,
            latency: now.saturating_duration_since(out.sent),
            status,
            ended: !self.open.contains_key(&attempt.request),
            note,
            work,
        }))
    }

    /// Hands an event to whoever decides and carries the actions out.
    fn drive(&mut self, now: Timestamp, mind: RoutingMode, event: Event, commands: &mut Vec<Command>) {
        let mut actions = Vec::new();
        match (mind, &mut self.follow) {
            (RoutingMode::FollowHint, Some(follow)) => follow.handle(now, event, &mut actions),
            _ => self.control.handle(now, event, &mut actions),
        }
        self.carry(now, mind, actions, commands);
    }

    /// Carries actions out, in order; their immediate ends are events again.
    fn carry(
        &mut self,
        now: Timestamp,
        mind: RoutingMode,
        actions: Vec<Action>,
        commands: &mut Vec<Command>,
    ) {
        let ends: Vec<Event> = actions.into_iter().filter_map(|a| self.act(now, mind, a, commands)).collect();
        ends.into_iter().for_each(|event| self.drive(now, mind, event, commands));
        let wanted = self.follow.as_mut().map(|f| std::mem::take(&mut f.wanted)).unwrap_or_default();
        for id in wanted {
            if let Some(open) = self.open.get(&id) {
                commands.push(Command::Lookup(id, open.wanted.clone()));
            }
        }
    }

    fn act(
        &mut self,
        now: Timestamp,
        mind: RoutingMode,
        action: Action,
        commands: &mut Vec<Command>,
    ) -> Option<Event> {
        match action {
            Action::Attempt { request, endpoint, timeout, fill } => {
                return self.attempt(now, request, endpoint, timeout, fill, commands);
            }
            Action::Cancel { request, attempt } => {
                let attempt = AttemptId { request, number: attempt };
                if self.out.get(&attempt)?.named {
                    return None;
                }
                commands.push(self.quit(attempt));
                return self.outcome(now, attempt, AttemptStatus::Cancelled, commands);
            }
            Action::Refuse { request, retry_after } => {
                self.reply(now, request, Reply::Rejected(whole_micros(retry_after).div_ceil(1_000)), commands)
            }
            Action::Fail { request } => self.reply(now, request, Reply::Failed, commands),
            Action::Timer { after, token } => {
                commands.push(Command::Wake(now + after, Wake::Decision(mind, token)));
            }
            Action::Probe { endpoint } => {
                let addr = self.members.get(&endpoint).and_then(|m| m.1.addr)?;
                commands.push(Command::Probe(endpoint, addr));
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
        endpoint: EndpointId,
        timeout: Duration,
        fill: CacheFill,
        commands: &mut Vec<Command>,
    ) -> Option<Event> {
        let all = AttemptId { request, number: 0 }..=AttemptId { request, number: u16::MAX };
        let outstanding = self.out.range(all).next().is_some();
        let Some(open) = self.open.get_mut(&request).filter(|_| !outstanding) else {
            self.counters.invariant_violations += 1;
            debug_assert!(false, "an attempt of request {request} that has ended or has one out");
            return None;
        };
        let attempt = AttemptId { request, number: open.attempts };
        open.attempts += 1;
        let (mind, class) = (open.mind, open.wanted.class);
        let ask = open.from.as_ref().map(|(client, ask)| (*client, ask.clone()));
        // A tenth of the window is left for the way there, as in the decision.
        let keyed = &self.settings.classes[usize::from(class)];
        let keyed = Some(divide_to_micros(keyed.window, 10) * 9)
            .filter(|_| keyed.idempotency == Idempotency::WithKey);
        let by = open.ran.zip(keyed).map(|(ran, window)| ran + window);
        self.out.insert(
            attempt,
            Out { mind, class, endpoint, source: fill.source, sent: now, named: ask.is_none() },
        );
        let Some(target) = self.target(endpoint, fill) else {
            // It names what takes no work: it can't have run.
            return self.outcome(now, attempt, AttemptStatus::Moot, commands);
        };
        if let Some(open) = self.open.get_mut(&request) {
            open.tried = (Some(target.uid.clone()), target.source.clone());
        }
        match ask {
            Some((client, ask)) => {
                self.counters.attempts += 1;
                commands.push(Command::Wake(now + timeout, Wake::Attempt(attempt)));
                commands.push(Command::SendAttempt(AttemptRequest {
                    attempt,
                    target,
                    timeout,
                    class,
                    request: ask,
                    client,
                    send_before: by,
                }));
            }
            None => {
                if let Some(open) = self.open.remove(&request) {
                    commands.push(open.ended(request, now, RequestResult::Named, ResultReason::Completed, 0));
                }
                let latency_objective = self.settings.classes[usize::from(class)].latency_objective;
                commands.push(Command::Wake(now + latency_objective, Wake::Attempt(attempt)));
                self.found = Some(LookupResult::Endpoint(target));
            }
        }
        None
    }
}

/// A request that was answered without being opened; `budget` in milliseconds.
pub fn unopened(
    wanted: &RequestedObject,
    arrived: Timestamp,
    budget: u64,
    result: RequestResult,
    why: ResultReason,
) -> Command {
    Command::RequestEnded(Box::new(RequestSummary {
        request: 0,
        requested: wanted.clone(),
        arrived,
        budget: Duration::from_millis(budget),
        duration: Duration::ZERO,
        result,
        reason: why,
        bytes: 0,
        attempts: 0,
        endpoint: None,
        source: None,
    }))
}

fn takes_work(member: &(Rc<str>, ListedEndpoint)) -> bool {
    member.1.entry.state == EndpointState::Ready
}
