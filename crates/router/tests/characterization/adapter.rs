//! The only file of this test that names the core's types. It converts a neutral stimulus to the
//! core's input, and the core's commands to neutral lines of text.

use super::neutral::*;
use hollymux_decision::time::whole_micros;
use hollymux_decision::{
    parse_settings, AttemptStatus, CacheStatus, EndpointEntry, EndpointId, EndpointState, Settings,
    SettingsMap, Timestamp,
};
use hollymux_router::buffers::{BufferChain, BufferPool};
use hollymux_router::*;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

const BUFFERS: usize = 4_000;
const MEMORY_MB: u64 = 64;
const FLOW_BYTES_PER_S: f64 = 400_000.0;
const ZONES: [&str; 2] = ["zone-0", "zone-1"];
const KINDS: [&str; 3] = ["cache", "parent", "origin"];

/// The router core under test, and the state that its driver keeps.
pub struct Core {
    router: Router,
    pool: BufferPool,
    follows: bool,
    seed: u64,
    /// The settings in force, as text.
    settings: String,
    classes: Vec<String>,
    /// The timers that were set, indexed by the handle in [`Reaction::Wake`].
    wakes: Vec<Wake>,
    /// The timers that the router has cancelled, by their index. The world returns them, but they
    /// are not passed on: the router must do the same without them. At a handover all timers count
    /// as set again, as the world returns those of the predecessor to its successor.
    cancelled_wakes: HashSet<usize>,
    names: BTreeMap<EndpointId, String>,
}

impl Core {
    pub fn new(settings: &str, classes: &[&str], seed: u64, follows: bool) -> Core {
        let classes: Vec<String> = classes.iter().map(|class| (*class).to_string()).collect();
        Core {
            router: router(parse(settings), &classes, seed, follows),
            pool: BufferPool::new(BUFFERS),
            follows,
            seed,
            settings: settings.to_string(),
            classes,
            wakes: Vec::new(),
            cancelled_wakes: HashSet::new(),
            names: BTreeMap::new(),
        }
    }

    /// Applies a stimulus at a time in microseconds and returns the core's effects.
    pub fn step(&mut self, now: u64, stimulus: Stimulus) -> Vec<Effect> {
        let now = Timestamp::from_micros(now);
        let mut commands = Vec::new();
        let mut effects = Vec::new();
        match stimulus {
            Stimulus::Wake { handle } if self.cancelled_wakes.contains(&handle) => {}
            Stimulus::Lookup { class, object, chunk, group, id } => {
                effects.push(self.lookup(now, class, (object, chunk, group, id), &mut commands));
            }
            Stimulus::Settings(text) => effects.push(self.reconfigure(text)),
            Stimulus::HandOver { last } => effects.extend(self.hand_over(now, last)),
            other => {
                let input = self.input(other);
                self.router.handle(now, input, &mut commands);
            }
        }
        effects.extend(commands.into_iter().filter_map(|command| self.effect(command)));
        sort_drops(&mut effects);
        effects
    }

    /// The core's counters at the end of a sequence.
    pub fn summary(&self) -> String {
        let counters = &self.router.counters;
        format!(
            "counted taken={} served={} refused={} failed={} lookups={} attempts={} broken={} idle={}",
            counters.received,
            counters.served,
            counters.rejected,
            counters.failed,
            counters.lookups,
            counters.attempts,
            counters.invariant_violations,
            self.router.is_idle()
        )
    }

    fn input(&mut self, stimulus: Stimulus) -> Input {
        match stimulus {
            Stimulus::Request(client, request) => {
                Input::Request(client_handle(client), self.client_request(request))
            }
            Stimulus::Cancel(client) => Input::Cancel(client_handle(client)),
            Stimulus::CloseConnection { connection } => Input::ClientClosed(connection),
            Stimulus::Response { attempt, response, fill_status } => {
                Input::Responded(attempt_id(attempt), self.response(response), fill_status.map(cache_status))
            }
            Stimulus::Failure { attempt, loss } => Input::Failed(attempt_id(attempt), attempt_failure(loss)),
            Stimulus::Probed { uid, healthy } => Input::Probed(endpoint_id(&uid), healthy),
            Stimulus::LookedUp { request, outcome } => Input::LookedUp(request, lookup_result(outcome)),
            Stimulus::Wake { handle } => Input::Wake(self.wakes[handle]),
            Stimulus::EndpointList { is_full_list, entries } => {
                Input::Feed(self.endpoint_update(is_full_list, entries))
            }
            Stimulus::Purge { object, group, at } => {
                Input::Feed(FeedEvent::Purge { object, group, at: Timestamp::from_micros(at) })
            }
            Stimulus::Shutdown => Input::Shutdown,
            Stimulus::Lookup { .. } | Stimulus::Settings(_) | Stimulus::HandOver { .. } => {
                unreachable!("lookups, settings and handovers are calls of the router, not inputs")
            }
        }
    }

    fn cancel_wakes(&mut self, request: u32) {
        let wakes = self.wakes.iter().enumerate();
        let cancelled = wakes.filter(|(_, wake)| wake.request() == Some(request));
        self.cancelled_wakes.extend(cancelled.map(|(handle, _)| handle));
    }

    fn chain(&self, length: usize) -> BufferChain {
        let mut chain = self.pool.chain();
        chain.extend(&vec![b'x'; length]).expect("buffer pool exhausted");
        chain
    }

    fn client_request(&self, request: RequestSpec) -> ClientRequest {
        let number = |value: u64| ReceivedNumber { text: format!("{value:016x}").into_bytes(), value };
        ClientRequest {
            request_id: number(request.id),
            class: request.class.into(),
            object: number(request.object),
            chunk: request.chunk,
            group: request.group,
            timeout_ms: request.budget_ms,
            if_none_match: request.holds_copy.then(|| b"held".to_vec()),
            idempotency_key: request.has_key.then(|| b"key".to_vec()),
            body: self.chain(request.body),
        }
    }

    fn response(&self, response: EndpointResponse) -> AttemptResponse {
        match response {
            EndpointResponse::Bytes { has_digest, length } => {
                AttemptResponse::Data(has_digest.then(|| b"tag".to_vec()), self.chain(length))
            }
            EndpointResponse::NotModified => AttemptResponse::NotModified(b"held".to_vec()),
            EndpointResponse::Absent => AttemptResponse::Absent,
            EndpointResponse::AtCapacity => AttemptResponse::AtCapacity,
            EndpointResponse::Failed => AttemptResponse::Failed,
            EndpointResponse::AlreadyCancelled => AttemptResponse::AlreadyCancelled,
        }
    }

    fn endpoint_update(&mut self, is_full_list: bool, entries: Vec<EndpointSpec>) -> FeedEvent {
        for entry in &entries {
            self.names.insert(endpoint_id(&entry.uid), entry.uid.clone());
        }
        FeedEvent::Endpoints { is_full_list, endpoints: entries.into_iter().map(listed_endpoint).collect() }
    }

    fn lookup(
        &mut self,
        now: Timestamp,
        class: &str,
        (object, chunk, group, id): (u64, u32, u32, Option<u64>),
        commands: &mut Vec<Command>,
    ) -> Effect {
        let class = self.router.classes().slot_of(class.as_bytes()).expect("lookup for an unknown class");
        let requested = RequestedObject { class, object, chunk, group, request_id: id };
        match self.router.lookup(now, requested, commands) {
            LookupResult::Endpoint(target) => Effect::new("lookup named", self.target_text(&target)),
            LookupResult::Rejected => Effect::new("lookup refused", String::new()),
            LookupResult::Failed => Effect::new("lookup failed", String::new()),
        }
    }

    fn reconfigure(&mut self, text: &str) -> Effect {
        let accepted = self.router.reconfigure(&parse(text), &self.classes).is_ok();
        if accepted {
            self.settings = text.to_string();
        }
        Effect::new("settings", format!("taken={accepted}"))
    }

    /// Replaces the core by a successor that restores its state. The request `last` is sent to the
    /// old core after its state was taken.
    fn hand_over(&mut self, now: Timestamp, last: Option<(ClientId, RequestSpec)>) -> Vec<Effect> {
        let mut state = self.router.handover_state();
        state.zones = ZONES.map(str::to_string).to_vec();
        state.kinds = KINDS.map(str::to_string).to_vec();
        let mut commands = Vec::new();
        if let Some((client, request)) = last {
            let input = Input::Request(client_handle(client), self.client_request(request));
            self.router.handle(now, input, &mut commands);
        }
        let later = self.router.take_new_pending_writes(handover_state::PeerProcess::Successor);
        self.router.handle(now, Input::Shutdown, &mut commands);
        let mut successor = router(parse(&self.settings), &self.classes, self.seed ^ 1, self.follows);
        let full_list = state.full_list_event(&state.zones, &state.kinds);
        successor.handle(now, Input::Feed(full_list), &mut commands);
        successor.restore(now, &state);
        successor.restore_pending_writes(now, &later, handover_state::PeerProcess::Predecessor);
        self.router = successor;
        let mut effects = vec![Effect::new("handed over", state_text(&state, &later))];
        effects.extend(commands.into_iter().filter_map(|command| self.effect(command)));
        self.cancelled_wakes.clear();
        effects
    }

    fn name(&self, endpoint: EndpointId) -> &str {
        self.names.get(&endpoint).map_or("unknown", |name| name)
    }

    fn target_text(&self, target: &Target) -> String {
        let fill = &target.fill;
        format!(
            "host={}/{} address={} source={}/{} keep={} max_age={} join={} renew={} shallow={}",
            target.uid,
            self.name(target.endpoint),
            target.addr,
            target.source.as_deref().unwrap_or("-"),
            fill.source.map_or("-", |source| self.name(source)),
            fill.retention,
            micros(fill.max_age),
            fill.coalesce,
            fill.stale_while_revalidate,
            fill.only_if_cached
        )
    }

    /// Converts a command to an effect. `None` for a log line, whose wording is not characterized.
    fn effect(&mut self, command: Command) -> Option<Effect> {
        let effect = match command {
            Command::SendAttempt(sent) => self.sent_effect(&sent),
            Command::CancelAttempt { attempt, may_retry } => {
                Effect::new("cancel", format!("{} again={may_retry}", attempt_text(attempt)))
            }
            Command::Reply(client, reply) => reply_effect(client, &reply),
            Command::Wake(at, wake) => self.wake_effect(at, wake),
            Command::Lookup(request, requested) => {
                Effect::new("look up", format!("request={request} {}", requested_text(&requested)))
                    .reacting(Reaction::LookUp { request })
            }
            Command::Probe(endpoint, address) => {
                let uid = self.name(endpoint).to_string();
                Effect::new("probe", format!("host={uid} address={address}"))
                    .reacting(Reaction::Probe { uid })
            }
            Command::CloseConnections(endpoint) => Effect::new("drop", self.name(endpoint).to_string()),
            Command::StopSending(endpoint) => Effect::new("hold", self.name(endpoint).to_string()),
            Command::AttemptEnded(ended) => attempt_ended_effect(&ended),
            Command::RequestEnded(ended) => request_ended_effect(&ended),
            Command::CancelTimers(request) => {
                self.cancel_wakes(request);
                return None;
            }
            Command::Log(_) => return None,
        };
        Some(effect)
    }

    fn sent_effect(&self, sent: &AttemptRequest) -> Effect {
        let line = format!(
            "{} {} timeout={} class={} id={} client={}/{} by={}",
            attempt_text(sent.attempt),
            self.target_text(&sent.target),
            whole_micros(sent.timeout),
            sent.class,
            sent.request.request_id.value,
            sent.client.conn,
            sent.client.tag,
            optional(sent.send_before.map(Timestamp::as_micros))
        );
        let kind = if sent.attempt.number > 0 { "send again" } else { "send" };
        let reaction =
            Reaction::Sent { attempt: attempt_key(sent.attempt), uid: sent.target.uid.to_string() };
        Effect::new(kind, line).reacting(reaction)
    }

    fn wake_effect(&mut self, at: Timestamp, wake: Wake) -> Effect {
        let at = at.as_micros();
        let what = match wake {
            Wake::Decision(RoutingMode::Decide, token) => format!("module token={token}"),
            Wake::Decision(RoutingMode::FollowHint, token) => format!("follower token={token}"),
            Wake::Attempt(attempt) => attempt_text(attempt),
        };
        self.wakes.push(wake);
        let handle = self.wakes.len() - 1;
        Effect::new("wake", format!("at={at} {what}")).reacting(Reaction::Wake { at, handle })
    }
}

/// Sorts each run of closed connections. Endpoints that a full list leaves out are closed in the
/// order of a hash table, which is arbitrary.
fn sort_drops(effects: &mut [Effect]) {
    for run in effects.chunk_by_mut(|a, b| a.kind == "drop" && b.kind == "drop") {
        run.sort_by(|a, b| a.line.cmp(&b.line));
    }
}

fn parse(text: &str) -> Settings {
    let pair = |line: &str| line.split_once('=').map(|(key, value)| (key.to_string(), value.to_string()));
    let pairs = text.lines().filter_map(pair).collect();
    parse_settings(&SettingsMap::new(pairs)).expect("test settings can't be parsed")
}

fn router(settings: Settings, classes: &[String], seed: u64, follows: bool) -> Router {
    let options = RouterOptions {
        settings,
        classes: classes.to_vec(),
        seed,
        memory_mb: MEMORY_MB,
        flow_bytes_per_s: FLOW_BYTES_PER_S,
    };
    Router::new(options, follows).expect("test settings are invalid")
}

fn client_handle(client: ClientId) -> ClientHandle {
    ClientHandle { conn: client.connection, tag: client.tag }
}

fn attempt_id(attempt: AttemptKey) -> AttemptId {
    AttemptId { request: attempt.request, number: attempt.number }
}

fn attempt_key(attempt: AttemptId) -> AttemptKey {
    AttemptKey { request: attempt.request, number: attempt.number }
}

fn cache_status(fill_status: FillStatus) -> CacheStatus {
    match fill_status {
        FillStatus::Hit => CacheStatus::Hit,
        FillStatus::Filled => CacheStatus::Filled,
        FillStatus::FilledByOrigin => CacheStatus::FilledByOrigin,
        FillStatus::Joined => CacheStatus::Joined,
        FillStatus::Stale => CacheStatus::Stale,
        FillStatus::SourceRefused => CacheStatus::SourceRefused,
        FillStatus::SourceUnreachable => CacheStatus::SourceUnreachable,
        FillStatus::SourceLacks => CacheStatus::SourceLacks,
        FillStatus::NoFillPlace => CacheStatus::NoFillPlace,
        FillStatus::OriginFailed => CacheStatus::OriginFailed,
    }
}

fn attempt_failure(loss: AttemptLoss) -> AttemptFailure {
    match loss {
        AttemptLoss::ConnectionRefused => AttemptFailure::ConnectionRefused,
        AttemptLoss::ConnectTimeout => AttemptFailure::ConnectTimeout,
        AttemptLoss::NotSent => AttemptFailure::NotSent,
        AttemptLoss::ConnectionLost => AttemptFailure::ConnectionLost,
    }
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn lookup_result(outcome: LookupOutcome) -> LookupResult<RoutingHint> {
    match outcome {
        LookupOutcome::Endpoint { uid, port, source, retention } => {
            let fill = FillHint { source, retention, coalesce: true, ..FillHint::default() };
            LookupResult::Endpoint(RoutingHint { uid, addr: address(port), fill })
        }
        LookupOutcome::Rejected => LookupResult::Rejected,
        LookupOutcome::Failed => LookupResult::Failed,
    }
}

fn listed_endpoint(spec: EndpointSpec) -> ListedEndpoint {
    let state = match spec.state {
        ListedState::Ready => EndpointState::Ready,
        ListedState::Draining => EndpointState::Draining,
        ListedState::Gone => EndpointState::Gone,
    };
    let entry = EndpointEntry {
        id: endpoint_id(&spec.uid),
        cell: spec.cell,
        zone: spec.zone,
        kind: spec.kind,
        weight: spec.weight,
        state,
        started: Timestamp::from_micros(spec.started),
        in_place_of: None,
    };
    ListedEndpoint { entry, uid: spec.uid, addr: spec.port.map(address) }
}

fn optional<T: std::fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_string(), |value| value.to_string())
}

fn micros(duration: Option<Duration>) -> String {
    optional(duration.map(whole_micros))
}

fn attempt_text(attempt: AttemptId) -> String {
    format!("request={} attempt={}", attempt.request, attempt.number)
}

fn requested_text(requested: &RequestedObject) -> String {
    let id = optional(requested.request_id);
    let RequestedObject { class, object, chunk, group, .. } = requested;
    format!("class={class} object={object} part={chunk} group={group} id={id}")
}

fn status_text(status: AttemptStatus) -> &'static str {
    match status {
        AttemptStatus::Ok => "ok",
        AttemptStatus::Miss => "miss",
        AttemptStatus::Error => "error",
        AttemptStatus::Full => "full",
        AttemptStatus::Timeout => "timeout",
        AttemptStatus::ConnectFailed => "connect-failed",
        AttemptStatus::Unreached => "unreached",
        AttemptStatus::Reset => "reset",
        AttemptStatus::Cancelled => "cancelled",
        AttemptStatus::Moot => "moot",
    }
}

fn reply_effect(client: ClientHandle, reply: &Reply) -> Effect {
    let digest_text = |digest: &[u8]| String::from_utf8_lossy(digest).into_owned();
    let (kind, what) = match reply {
        Reply::Served(digest, body) => {
            let digest = optional(digest.as_deref().map(digest_text));
            ("reply served", format!("copy={digest} bytes={}", body.len()))
        }
        Reply::NotModified(digest) => ("reply unchanged", format!("copy={}", digest_text(digest))),
        Reply::Rejected(retry_after_ms) => ("reply refused", format!("advice={retry_after_ms}")),
        Reply::Failed => ("reply failed", String::new()),
    };
    let client_id = ClientId { connection: client.conn, tag: client.tag };
    Effect::new(kind, format!("client={}/{} {what}", client.conn, client.tag))
        .reacting(Reaction::Replied(client_id))
}

fn attempt_ended_effect(ended: &AttemptSummary) -> Effect {
    let line = format!(
        "{} host={} source={} status={} took={}",
        attempt_text(ended.attempt),
        ended.endpoint,
        ended.source.as_deref().unwrap_or("-"),
        status_text(ended.status),
        whole_micros(ended.duration)
    );
    Effect::new("tried", line)
}

fn request_ended_effect(ended: &RequestSummary) -> Effect {
    let kind = match ended.result {
        RequestResult::Served => "ended served",
        RequestResult::NotModified => "ended unchanged",
        RequestResult::Rejected => "ended refused",
        RequestResult::Failed => "ended failed",
        RequestResult::Cancelled => "ended withdrawn",
        RequestResult::Named => "ended named",
    };
    let why = match ended.reason {
        ResultReason::Completed => "as-asked",
        ResultReason::TableFull => "no-room",
        ResultReason::InvalidRequest => "unusable",
        ResultReason::MayHaveRun => "may-have-run",
        ResultReason::NoEndpoint => "no-host",
        ResultReason::Attempt(status) => status_text(status),
        ResultReason::Overloaded => "crowded",
    };
    let line = format!(
        "request={} {} arrived={} budget={} took={} why={why} bytes={} attempts={} host={} source={}",
        ended.request,
        requested_text(&ended.requested),
        ended.arrived.as_micros(),
        whole_micros(ended.budget),
        whole_micros(ended.duration),
        ended.bytes,
        ended.attempts,
        ended.endpoint.as_deref().unwrap_or("-"),
        ended.source.as_deref().unwrap_or("-")
    );
    Effect::new(kind, line)
}

fn state_text(state: &handover_state::HandoverState, later: &[handover_state::PendingWrite]) -> String {
    let endpoint = |record: &handover_state::EndpointRecord| {
        let address = optional(record.addr);
        let location = format!("{}/{}/{}", record.zone, record.kind, record.cell);
        format!(
            "{} {address} {location} {} {} {}",
            record.uid,
            record.weight,
            record.draining,
            record.started.as_micros()
        )
    };
    let pending_write = |write: &handover_state::PendingWrite| {
        format!("{} {} {}", write.request_id, write.arrived.as_micros(), optional(write.endpoint))
    };
    let endpoints: Vec<String> = state.endpoints.iter().map(endpoint).collect();
    let pending_writes: Vec<String> = state.pending_writes.iter().map(pending_write).collect();
    let later: Vec<String> = later.iter().map(pending_write).collect();
    let classes = state.classes.join(",");
    format!(
        "classes={classes} hosts={} once={} later={}",
        endpoints.join(";"),
        pending_writes.join(";"),
        later.join(";")
    )
}
