//! The one file of this test that names the core's types: it turns a neutral stimulus into the core's input, and the
//! core's commands into neutral lines. A change of names is followed here and nowhere else in the test.

use super::neutral::*;
use hollymux_decision::time::whole_micros;
use hollymux_decision::{
    parse_settings, AttemptStatus, CacheStatus, EndpointEntry, EndpointId, EndpointState, Settings,
    SettingsMap, Timestamp,
};
use hollymux_router::buffers::{BufferChain, BufferPool};
use hollymux_router::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const BUFFERS: usize = 4_000;
const MEMORY_MB: u64 = 64;
const FLOW_BYTES_PER_S: f64 = 400_000.0;
const ZONES: [&str; 2] = ["zone-0", "zone-1"];
const KINDS: [&str; 3] = ["cache", "parent", "origin"];

/// A core, and what its driver has to remember for it.
pub struct Core {
    router: Router,
    pool: BufferPool,
    follows: bool,
    seed: u64,
    /// The settings in force.
    settings: String,
    classes: Vec<String>,
    /// What is due at each handle of an [`Reaction::Wake`].
    wakes: Vec<Wake>,
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
            names: BTreeMap::new(),
        }
    }

    /// Tells the core one thing; gives what it wants done.
    pub fn step(&mut self, now: u64, stimulus: Stimulus) -> Vec<Effect> {
        let now = Timestamp::from_micros(now);
        let mut commands = Vec::new();
        let mut effects = Vec::new();
        match stimulus {
            Stimulus::Lookup { class, object, part, group, id } => {
                effects.push(self.lookup(now, class, (object, part, group, id), &mut commands));
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

    /// What the core has counted, when all is over.
    pub fn summary(&self) -> String {
        let counted = &self.router.counters;
        format!(
            "counted taken={} served={} refused={} failed={} lookups={} attempts={} broken={} idle={}",
            counted.received,
            counted.served,
            counted.rejected,
            counted.failed,
            counted.lookups,
            counted.attempts,
            counted.invariant_violations,
            self.router.is_idle()
        )
    }

    fn input(&mut self, stimulus: Stimulus) -> Input {
        match stimulus {
            Stimulus::Ask(client, asked) => Input::Request(core_client(client), self.client_request(asked)),
            Stimulus::StopWaiting(client) => Input::Cancel(core_client(client)),
            Stimulus::Leave { connection } => Input::ClientClosed(connection),
            Stimulus::Answer { attempt, answer, note } => {
                Input::Responded(attempt_id(attempt), self.response(answer), note.map(core_note))
            }
            Stimulus::Lost { attempt, how } => Input::Failed(attempt_id(attempt), lost(how)),
            Stimulus::Probed { uid, well } => Input::Probed(endpoint_id(&uid), well),
            Stimulus::Found { request, found } => Input::LookedUp(request, core_found(found)),
            Stimulus::Wake { handle } => Input::Wake(self.wakes[handle]),
            Stimulus::Hosts { all, lines } => Input::Feed(self.endpoint_update(all, lines)),
            Stimulus::Purge { object, group, at } => {
                Input::Feed(FeedEvent::Purge { object, group, at: Timestamp::from_micros(at) })
            }
            Stimulus::End => Input::Shutdown,
            Stimulus::Lookup { .. } | Stimulus::Settings(_) | Stimulus::HandOver { .. } => {
                unreachable!("these are calls, not inputs")
            }
        }
    }

    fn chain(&self, length: usize) -> BufferChain {
        let mut chain = self.pool.chain();
        chain.extend(&vec![b'x'; length]).expect("buffers enough");
        chain
    }

    fn client_request(&self, asked: Asked) -> ClientRequest {
        let word = |value: u64| ReceivedNumber { text: format!("{value:016x}").into_bytes(), value };
        ClientRequest {
            request_id: word(asked.id),
            class: asked.class.into(),
            object: word(asked.object),
            chunk: asked.part,
            group: asked.group,
            budget_ms: asked.budget_ms,
            if_none_match: asked.holds_copy.then(|| b"held".to_vec()),
            idempotency_key: asked.has_key.then(|| b"key".to_vec()),
            body: self.chain(asked.body),
        }
    }

    fn response(&self, answer: Answer) -> AttemptResponse {
        match answer {
            Answer::Bytes { tagged, length } => {
                AttemptResponse::Data(tagged.then(|| b"tag".to_vec()), self.chain(length))
            }
            Answer::Unchanged => AttemptResponse::NotModified(b"held".to_vec()),
            Answer::Absent => AttemptResponse::Absent,
            Answer::Full => AttemptResponse::AtCapacity,
            Answer::Failed => AttemptResponse::Failed,
            Answer::Moot => AttemptResponse::AlreadyCancelled,
        }
    }

    fn endpoint_update(&mut self, all: bool, lines: Vec<HostLine>) -> FeedEvent {
        for line in &lines {
            self.names.insert(endpoint_id(&line.uid), line.uid.clone());
        }
        FeedEvent::Endpoints {
            is_full_list: all,
            endpoints: lines.into_iter().map(listed_endpoint).collect(),
        }
    }

    fn lookup(
        &mut self,
        now: Timestamp,
        class: &str,
        (object, part, group, id): (u64, u32, u32, Option<u64>),
        commands: &mut Vec<Command>,
    ) -> Effect {
        let class = self.router.classes().named(class.as_bytes()).expect("a class in use");
        let wanted = RequestedObject { class, object, chunk: part, group, request_id: id };
        match self.router.lookup(now, wanted, commands) {
            LookupResult::Endpoint(target) => Effect::new("lookup named", self.target_words(&target)),
            LookupResult::Rejected => Effect::new("lookup refused", String::new()),
            LookupResult::Failed => Effect::new("lookup failed", String::new()),
        }
    }

    fn reconfigure(&mut self, text: &str) -> Effect {
        let taken = self.router.reconfigure(&parse(text), &self.classes).is_ok();
        if taken {
            self.settings = text.to_string();
        }
        Effect::new("settings", format!("taken={taken}"))
    }

    /// Another core goes on in this one's place; `last` is asked of this one after it was handed over.
    fn hand_over(&mut self, now: Timestamp, last: Option<(Caller, Asked)>) -> Vec<Effect> {
        let mut legacy = self.router.handover_state();
        legacy.zones = ZONES.map(str::to_string).to_vec();
        legacy.kinds = KINDS.map(str::to_string).to_vec();
        let mut commands = Vec::new();
        if let Some((client, asked)) = last {
            let input = Input::Request(core_client(client), self.client_request(asked));
            self.router.handle(now, input, &mut commands);
        }
        let later = self.router.take_new_pending_writes();
        self.router.handle(now, Input::Shutdown, &mut commands);
        let mut successor = router(parse(&self.settings), &self.classes, self.seed ^ 1, self.follows);
        let told = legacy.full_list_event(&legacy.zones, &legacy.kinds);
        successor.handle(now, Input::Feed(told), &mut commands);
        successor.restore(now, &legacy);
        successor.restore_pending_writes(now, &later);
        self.router = successor;
        let mut effects = vec![Effect::new("handed over", legacy_words(&legacy, &later))];
        effects.extend(commands.into_iter().filter_map(|command| self.effect(command)));
        effects
    }

    fn name(&self, endpoint: EndpointId) -> &str {
        self.names.get(&endpoint).map_or("unknown", |name| name)
    }

    fn target_words(&self, target: &Target) -> String {
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

    /// A command in neutral words; none for a log line, whose wording is no decision.
    fn effect(&mut self, command: Command) -> Option<Effect> {
        let effect = match command {
            Command::SendAttempt(sent) => self.sent_effect(&sent),
            Command::CancelAttempt { attempt, may_retry: again } => {
                Effect::new("cancel", format!("{} again={again}", attempt_words(attempt)))
            }
            Command::Reply(client, reply) => reply_effect(client, &reply),
            Command::Wake(at, wake) => self.wake_effect(at, wake),
            Command::Lookup(request, wanted) => {
                Effect::new("look up", format!("request={request} {}", wanted_words(&wanted)))
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
            Command::Log(_) => return None,
        };
        Some(effect)
    }

    fn sent_effect(&self, sent: &AttemptRequest) -> Effect {
        let line = format!(
            "{} {} timeout={} class={} id={} client={}/{} by={}",
            attempt_words(sent.attempt),
            self.target_words(&sent.target),
            whole_micros(sent.timeout),
            sent.class,
            sent.request.request_id.value,
            sent.client.conn,
            sent.client.tag,
            optional(sent.send_before.map(Timestamp::as_micros))
        );
        let kind = if sent.attempt.number > 0 { "send again" } else { "send" };
        let reaction =
            Reaction::Sent { attempt: attempt_neutral(sent.attempt), uid: sent.target.uid.to_string() };
        Effect::new(kind, line).reacting(reaction)
    }

    fn wake_effect(&mut self, at: Timestamp, wake: Wake) -> Effect {
        let at = at.as_micros();
        let what = match wake {
            Wake::Decision(RoutingMode::Decide, token) => format!("module token={token}"),
            Wake::Decision(RoutingMode::FollowHint, token) => format!("follower token={token}"),
            Wake::Attempt(attempt) => attempt_words(attempt),
        };
        self.wakes.push(wake);
        let handle = self.wakes.len() - 1;
        Effect::new("wake", format!("at={at} {what}")).reacting(Reaction::Wake { at, handle })
    }
}

/// Endpoints that a whole list leaves out are dropped in the order of a hash table: that order means nothing, so each
/// run of drops is sorted.
fn sort_drops(effects: &mut [Effect]) {
    for run in effects.chunk_by_mut(|a, b| a.kind == "drop" && b.kind == "drop") {
        run.sort_by(|a, b| a.line.cmp(&b.line));
    }
}

fn parse(text: &str) -> Settings {
    let pair = |line: &str| line.split_once('=').map(|(key, value)| (key.to_string(), value.to_string()));
    let pairs = text.lines().filter_map(pair).collect();
    parse_settings(&SettingsMap::new(pairs)).expect("settings that can be read")
}

fn router(settings: Settings, classes: &[String], seed: u64, follows: bool) -> Router {
    let setup = RouterOptions {
        settings,
        classes: classes.to_vec(),
        seed,
        memory_mb: MEMORY_MB,
        flow_bytes_per_s: FLOW_BYTES_PER_S,
    };
    Router::new(setup, follows).expect("settings that can be worked under")
}

fn core_client(client: Caller) -> ClientHandle {
    ClientHandle { conn: client.connection, tag: client.tag }
}

fn attempt_id(attempt: AttemptName) -> AttemptId {
    AttemptId { request: attempt.request, number: attempt.number }
}

fn attempt_neutral(attempt: AttemptId) -> AttemptName {
    AttemptName { request: attempt.request, number: attempt.number }
}

fn core_note(note: FillNote) -> CacheStatus {
    match note {
        FillNote::Hit => CacheStatus::Hit,
        FillNote::Filled => CacheStatus::Filled,
        FillNote::FilledByOrigin => CacheStatus::FilledByOrigin,
        FillNote::Joined => CacheStatus::Joined,
        FillNote::Stale => CacheStatus::Stale,
        FillNote::SourceRefused => CacheStatus::SourceRefused,
        FillNote::SourceUnreachable => CacheStatus::SourceUnreachable,
        FillNote::SourceLacks => CacheStatus::SourceLacks,
        FillNote::NoFillPlace => CacheStatus::NoFillPlace,
        FillNote::OriginFailed => CacheStatus::OriginFailed,
    }
}

fn lost(how: Loss) -> AttemptFailure {
    match how {
        Loss::Refused => AttemptFailure::ConnectionRefused,
        Loss::Unreached => AttemptFailure::ConnectTimeout,
        Loss::Unsent => AttemptFailure::NotSent,
        Loss::Broken => AttemptFailure::ConnectionLost,
    }
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn core_found(found: LookupAnswer) -> LookupResult<RoutingHint> {
    match found {
        LookupAnswer::Host { uid, port, source, keep } => {
            let fill = FillHint { source, retention: keep, coalesce: true, ..FillHint::default() };
            LookupResult::Endpoint(RoutingHint { uid, addr: address(port), fill })
        }
        LookupAnswer::Refused => LookupResult::Rejected,
        LookupAnswer::Failed => LookupResult::Failed,
    }
}

fn listed_endpoint(line: HostLine) -> ListedEndpoint {
    let state = match line.state {
        Standing::Ready => EndpointState::Ready,
        Standing::Draining => EndpointState::Draining,
        Standing::Gone => EndpointState::Gone,
    };
    let entry = EndpointEntry {
        id: endpoint_id(&line.uid),
        cell: line.cell,
        zone: line.zone,
        kind: line.kind,
        weight: line.weight,
        state,
        started: Timestamp::from_micros(line.started),
        in_place_of: None,
    };
    ListedEndpoint { entry, uid: line.uid, addr: line.port.map(address) }
}

fn optional<T: std::fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_string(), |value| value.to_string())
}

fn micros(span: Option<Duration>) -> String {
    optional(span.map(whole_micros))
}

fn attempt_words(attempt: AttemptId) -> String {
    format!("request={} attempt={}", attempt.request, attempt.number)
}

fn wanted_words(wanted: &RequestedObject) -> String {
    let id = optional(wanted.request_id);
    let RequestedObject { class, object, chunk: part, group, .. } = wanted;
    format!("class={class} object={object} part={part} group={group} id={id}")
}

fn status_word(status: AttemptStatus) -> &'static str {
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
    let tag_words = |tag: &[u8]| String::from_utf8_lossy(tag).into_owned();
    let (kind, what) = match reply {
        Reply::Served(tag, body) => {
            let tag = optional(tag.as_deref().map(tag_words));
            ("reply served", format!("copy={tag} bytes={}", body.len()))
        }
        Reply::NotModified(tag) => ("reply unchanged", format!("copy={}", tag_words(tag))),
        Reply::Rejected(stay_away) => ("reply refused", format!("advice={stay_away}")),
        Reply::Failed => ("reply failed", String::new()),
    };
    let caller = Caller { connection: client.conn, tag: client.tag };
    Effect::new(kind, format!("client={}/{} {what}", client.conn, client.tag))
        .reacting(Reaction::Replied(caller))
}

fn attempt_ended_effect(ended: &AttemptSummary) -> Effect {
    let line = format!(
        "{} host={} source={} status={} took={}",
        attempt_words(ended.attempt),
        ended.endpoint,
        ended.source.as_deref().unwrap_or("-"),
        status_word(ended.status),
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
        ResultReason::Attempt(status) => status_word(status),
        ResultReason::Overloaded => "crowded",
    };
    let line = format!(
        "request={} {} arrived={} budget={} took={} why={why} bytes={} attempts={} host={} source={}",
        ended.request,
        wanted_words(&ended.requested),
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

fn legacy_words(legacy: &handover_state::HandoverState, later: &[handover_state::PendingWrite]) -> String {
    let member = |line: &handover_state::EndpointRecord| {
        let address = optional(line.addr);
        let place = format!("{}/{}/{}", line.zone, line.kind, line.cell);
        format!(
            "{} {address} {place} {} {} {}",
            line.uid,
            line.weight,
            line.draining,
            line.started.as_micros()
        )
    };
    let once = |filing: &handover_state::PendingWrite| {
        format!("{} {} {}", filing.request_id, filing.arrived.as_micros(), optional(filing.endpoint))
    };
    let members: Vec<String> = legacy.endpoints.iter().map(member).collect();
    let known: Vec<String> = legacy.pending_writes.iter().map(once).collect();
    let later: Vec<String> = later.iter().map(once).collect();
    let classes = legacy.classes.join(",");
    format!(
        "classes={classes} hosts={} once={} later={}",
        members.join(";"),
        known.join(";"),
        later.join(";")
    )
}
