//! The one file of this test that names the core's types: it turns a neutral stimulus into the core's input, and the
//! core's commands into neutral lines. A change of names is followed here and nowhere else in the test.

use super::neutral::*;
use hollymux_core::chain::{Chain, Pool};
use hollymux_core::*;
use hollymux_decide::time::whole_micros;
use hollymux_decide::{
    settings_from, HostEntry, HostId, HostState, Note, Pairs, Settings, Status, Timestamp,
};
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
    pool: Pool,
    follows: bool,
    seed: u64,
    /// The settings in force.
    settings: String,
    classes: Vec<String>,
    /// What is due at each handle of an [`Reaction::Wake`].
    wakes: Vec<Wake>,
    names: BTreeMap<HostId, String>,
}

impl Core {
    pub fn new(settings: &str, classes: &[&str], seed: u64, follows: bool) -> Core {
        let classes: Vec<String> = classes.iter().map(|class| (*class).to_string()).collect();
        Core {
            router: router(parse(settings), &classes, seed, follows),
            pool: Pool::new(BUFFERS),
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
            Stimulus::Settings(text) => effects.push(self.retune(text)),
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
            counted.taken,
            counted.served,
            counted.refused,
            counted.failed,
            counted.lookups,
            counted.attempts,
            counted.broken,
            self.router.idle()
        )
    }

    fn input(&mut self, stimulus: Stimulus) -> Input {
        match stimulus {
            Stimulus::Ask(client, asked) => Input::Ask(core_client(client), self.ask(asked)),
            Stimulus::StopWaiting(client) => Input::Undo(core_client(client)),
            Stimulus::Leave { connection } => Input::Left(connection),
            Stimulus::Answer { attempt, answer, note } => {
                Input::Said(attempt_id(attempt), self.said(answer), note.map(core_note))
            }
            Stimulus::Lost { attempt, how } => Input::Lost(attempt_id(attempt), lost(how)),
            Stimulus::Probed { uid, well } => Input::Probed(host_id(&uid), well),
            Stimulus::Found { request, found } => Input::Found(request, core_found(found)),
            Stimulus::Wake { handle } => Input::Wake(self.wakes[handle]),
            Stimulus::Hosts { all, lines } => Input::Told(self.members(all, lines)),
            Stimulus::Purge { object, group, at } => {
                Input::Told(Told::Purge { object, group, at: Timestamp::from_micros(at) })
            }
            Stimulus::End => Input::End,
            Stimulus::Lookup { .. } | Stimulus::Settings(_) | Stimulus::HandOver { .. } => {
                unreachable!("these are calls, not inputs")
            }
        }
    }

    fn chain(&self, length: usize) -> Chain {
        let mut chain = self.pool.chain();
        chain.extend(&vec![b'x'; length]).expect("buffers enough");
        chain
    }

    fn ask(&self, asked: Asked) -> Ask {
        let word = |number: u64| (format!("{number:016x}").into_bytes(), number);
        Ask {
            rid: word(asked.id),
            class: asked.class.into(),
            object: word(asked.object),
            part: asked.part,
            group: asked.group,
            budget: asked.budget_ms,
            held: asked.holds_copy.then(|| b"held".to_vec()),
            key: asked.has_key.then(|| b"key".to_vec()),
            body: self.chain(asked.body),
        }
    }

    fn said(&self, answer: Answer) -> Said {
        match answer {
            Answer::Bytes { tagged, length } => {
                Said::Data(tagged.then(|| b"tag".to_vec()), self.chain(length))
            }
            Answer::Unchanged => Said::Unchanged(b"held".to_vec()),
            Answer::Absent => Said::Absent,
            Answer::Full => Said::Full,
            Answer::Failed => Said::Failed,
            Answer::Moot => Said::Moot,
        }
    }

    fn members(&mut self, all: bool, lines: Vec<HostLine>) -> Told {
        for line in &lines {
            self.names.insert(host_id(&line.uid), line.uid.clone());
        }
        Told::Members { all, lines: lines.into_iter().map(member).collect() }
    }

    fn lookup(
        &mut self,
        now: Timestamp,
        class: &str,
        (object, part, group, id): (u64, u32, u32, Option<u64>),
        commands: &mut Vec<Command>,
    ) -> Effect {
        let class = self.router.classes().named(class.as_bytes()).expect("a class in use");
        let wanted = Wanted { class, object, part, group, rid: id };
        match self.router.lookup(now, wanted, commands) {
            Found::Box(target) => Effect::new("lookup named", self.target_words(&target)),
            Found::Refused => Effect::new("lookup refused", String::new()),
            Found::Failed => Effect::new("lookup failed", String::new()),
        }
    }

    fn retune(&mut self, text: &str) -> Effect {
        let taken = self.router.retune(&parse(text), &self.classes).is_ok();
        if taken {
            self.settings = text.to_string();
        }
        Effect::new("settings", format!("taken={taken}"))
    }

    /// Another core goes on in this one's place; `last` is asked of this one after it was handed over.
    fn hand_over(&mut self, now: Timestamp, last: Option<(Caller, Asked)>) -> Vec<Effect> {
        let mut legacy = self.router.legacy();
        legacy.zones = ZONES.map(str::to_string).to_vec();
        legacy.kinds = KINDS.map(str::to_string).to_vec();
        let mut commands = Vec::new();
        if let Some((client, asked)) = last {
            let input = Input::Ask(core_client(client), self.ask(asked));
            self.router.handle(now, input, &mut commands);
        }
        let later = self.router.new_filings();
        self.router.handle(now, Input::End, &mut commands);
        let mut successor = router(parse(&self.settings), &self.classes, self.seed ^ 1, self.follows);
        let told = legacy.told(&legacy.zones, &legacy.kinds);
        successor.handle(now, Input::Told(told), &mut commands);
        successor.recall(now, &legacy);
        successor.recall_filings(now, &later);
        self.router = successor;
        let mut effects = vec![Effect::new("handed over", legacy_words(&legacy, &later))];
        effects.extend(commands.into_iter().filter_map(|command| self.effect(command)));
        effects
    }

    fn name(&self, host: HostId) -> &str {
        self.names.get(&host).map_or("unknown", |name| name)
    }

    fn target_words(&self, target: &Target) -> String {
        let fill = &target.fill;
        format!(
            "host={}/{} address={} source={}/{} keep={} max_age={} join={} renew={} shallow={}",
            target.uid,
            self.name(target.host),
            target.addr,
            target.source.as_deref().unwrap_or("-"),
            fill.source.map_or("-", |source| self.name(source)),
            fill.keep,
            micros(fill.max_age),
            fill.join,
            fill.renew,
            fill.shallow
        )
    }

    /// A command in neutral words; none for a log line, whose wording is no decision.
    fn effect(&mut self, command: Command) -> Option<Effect> {
        let effect = match command {
            Command::Send(order) => self.send(&order),
            Command::Quit { attempt, again } => {
                Effect::new("cancel", format!("{} again={again}", attempt_words(attempt)))
            }
            Command::Reply(client, reply) => reply_effect(client, &reply),
            Command::Wake(at, wake) => self.wake(at, wake),
            Command::Look(request, wanted) => {
                Effect::new("look up", format!("request={request} {}", wanted_words(&wanted)))
                    .reacting(Reaction::LookUp { request })
            }
            Command::Probe(host, address) => {
                let uid = self.name(host).to_string();
                Effect::new("probe", format!("host={uid} address={address}"))
                    .reacting(Reaction::Probe { uid })
            }
            Command::Drop(host) => Effect::new("drop", self.name(host).to_string()),
            Command::Hold(host) => Effect::new("hold", self.name(host).to_string()),
            Command::Tried(tried) => tried_effect(&tried),
            Command::Ended(ended) => ended_effect(&ended),
            Command::Log(_) => return None,
        };
        Some(effect)
    }

    fn send(&self, order: &Order) -> Effect {
        let line = format!(
            "{} {} timeout={} class={} id={} client={}/{} by={}",
            attempt_words(order.attempt),
            self.target_words(&order.target),
            whole_micros(order.timeout),
            order.class,
            order.ask.rid.1,
            order.client.conn,
            order.client.tag,
            optional(order.by.map(Timestamp::as_micros))
        );
        let kind = if order.attempt.number > 0 { "send again" } else { "send" };
        let sent =
            Reaction::Sent { attempt: attempt_neutral(order.attempt), uid: order.target.uid.to_string() };
        Effect::new(kind, line).reacting(sent)
    }

    fn wake(&mut self, at: Timestamp, wake: Wake) -> Effect {
        let at = at.as_micros();
        let what = match wake {
            Wake::Mind(Mind::Module, token) => format!("module token={token}"),
            Wake::Mind(Mind::Follow, token) => format!("follower token={token}"),
            Wake::Attempt(attempt) => attempt_words(attempt),
        };
        self.wakes.push(wake);
        let handle = self.wakes.len() - 1;
        Effect::new("wake", format!("at={at} {what}")).reacting(Reaction::Wake { at, handle })
    }
}

/// Hosts that a whole list leaves out are dropped in the order of a hash table: that order means nothing, so each
/// run of drops is sorted.
fn sort_drops(effects: &mut [Effect]) {
    for run in effects.chunk_by_mut(|a, b| a.kind == "drop" && b.kind == "drop") {
        run.sort_by(|a, b| a.line.cmp(&b.line));
    }
}

fn parse(text: &str) -> Settings {
    let pair = |line: &str| line.split_once('=').map(|(key, value)| (key.to_string(), value.to_string()));
    let pairs = text.lines().filter_map(pair).collect();
    settings_from(&Pairs::new(pairs)).expect("settings that can be read")
}

fn router(settings: Settings, classes: &[String], seed: u64, follows: bool) -> Router {
    let setup = Setup {
        settings,
        classes: classes.to_vec(),
        seed,
        memory_mb: MEMORY_MB,
        flow_bytes_per_s: FLOW_BYTES_PER_S,
    };
    Router::new(setup, follows).expect("settings that can be worked under")
}

fn core_client(client: Caller) -> Client {
    Client { conn: client.connection, tag: client.tag }
}

fn attempt_id(attempt: AttemptName) -> AttemptId {
    AttemptId { request: attempt.request, number: attempt.number }
}

fn attempt_neutral(attempt: AttemptId) -> AttemptName {
    AttemptName { request: attempt.request, number: attempt.number }
}

fn core_note(note: FillNote) -> Note {
    match note {
        FillNote::Hit => Note::Hit,
        FillNote::Filled => Note::Filled,
        FillNote::FilledByOrigin => Note::FilledByOrigin,
        FillNote::Joined => Note::Joined,
        FillNote::Stale => Note::Stale,
        FillNote::SourceRefused => Note::SourceRefused,
        FillNote::SourceUnreachable => Note::SourceUnreachable,
        FillNote::SourceLacks => Note::SourceLacks,
        FillNote::NoFillPlace => Note::NoFillPlace,
        FillNote::OriginFailed => Note::OriginFailed,
    }
}

fn lost(how: Loss) -> Lost {
    match how {
        Loss::Refused => Lost::Refused,
        Loss::Unreached => Lost::Late,
        Loss::Unsent => Lost::Unsent,
        Loss::Broken => Lost::Broken,
    }
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn core_found(found: LookupAnswer) -> Found<Hint> {
    match found {
        LookupAnswer::Host { uid, port, source, keep } => {
            let fill = FillHint { source, keep, join: true, ..FillHint::default() };
            Found::Box(Hint { uid, addr: address(port), fill })
        }
        LookupAnswer::Refused => Found::Refused,
        LookupAnswer::Failed => Found::Failed,
    }
}

fn member(line: HostLine) -> Member {
    let state = match line.state {
        Standing::Ready => HostState::Ready,
        Standing::Draining => HostState::Draining,
        Standing::Gone => HostState::Gone,
    };
    let entry = HostEntry {
        id: host_id(&line.uid),
        cell: line.cell,
        zone: line.zone,
        kind: line.kind,
        weight: line.weight,
        state,
        started: Timestamp::from_micros(line.started),
        in_place_of: None,
    };
    Member { entry, uid: line.uid, addr: line.port.map(address) }
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

fn wanted_words(wanted: &Wanted) -> String {
    let id = optional(wanted.rid);
    let Wanted { class, object, part, group, .. } = wanted;
    format!("class={class} object={object} part={part} group={group} id={id}")
}

fn status_word(status: Status) -> &'static str {
    match status {
        Status::Ok => "ok",
        Status::Miss => "miss",
        Status::Error => "error",
        Status::Full => "full",
        Status::Timeout => "timeout",
        Status::ConnectFailed => "connect-failed",
        Status::Unreached => "unreached",
        Status::Reset => "reset",
        Status::Cancelled => "cancelled",
        Status::Moot => "moot",
    }
}

fn reply_effect(client: Client, reply: &Reply) -> Effect {
    let tag_words = |tag: &[u8]| String::from_utf8_lossy(tag).into_owned();
    let (kind, what) = match reply {
        Reply::Good(tag, body) => {
            let tag = optional(tag.as_deref().map(tag_words));
            ("reply served", format!("copy={tag} bytes={}", body.len()))
        }
        Reply::Unchanged(tag) => ("reply unchanged", format!("copy={}", tag_words(tag))),
        Reply::Refused(stay_away) => ("reply refused", format!("advice={stay_away}")),
        Reply::Failed => ("reply failed", String::new()),
    };
    let caller = Caller { connection: client.conn, tag: client.tag };
    Effect::new(kind, format!("client={}/{} {what}", client.conn, client.tag))
        .reacting(Reaction::Replied(caller))
}

fn tried_effect(tried: &Tried) -> Effect {
    let line = format!(
        "{} host={} source={} status={} took={}",
        attempt_words(tried.attempt),
        tried.host,
        tried.source.as_deref().unwrap_or("-"),
        status_word(tried.status),
        whole_micros(tried.took)
    );
    Effect::new("tried", line)
}

fn ended_effect(ended: &Ended) -> Effect {
    let kind = match ended.result {
        Closed::Served => "ended served",
        Closed::Unchanged => "ended unchanged",
        Closed::Refused => "ended refused",
        Closed::Failed => "ended failed",
        Closed::Withdrawn => "ended withdrawn",
        Closed::Named => "ended named",
    };
    let why = match ended.why {
        Why::Asked => "as-asked",
        Why::NoRoom => "no-room",
        Why::Unusable => "unusable",
        Why::MayHaveRun => "may-have-run",
        Why::NoHost => "no-host",
        Why::Host(status) => status_word(status),
        Why::Crowded => "crowded",
    };
    let line = format!(
        "request={} {} arrived={} budget={} took={} why={why} bytes={} attempts={} host={} source={}",
        ended.request,
        wanted_words(&ended.wanted),
        ended.arrived.as_micros(),
        whole_micros(ended.budget),
        whole_micros(ended.took),
        ended.bytes,
        ended.attempts,
        ended.host.as_deref().unwrap_or("-"),
        ended.source.as_deref().unwrap_or("-")
    );
    Effect::new(kind, line)
}

fn legacy_words(legacy: &legacy::Legacy, later: &[legacy::Filing]) -> String {
    let member = |line: &legacy::Line| {
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
    let once =
        |filing: &legacy::Filing| format!("{} {} {}", filing.0, filing.1.as_micros(), optional(filing.2));
    let members: Vec<String> = legacy.members.iter().map(member).collect();
    let known: Vec<String> = legacy.filings.iter().map(once).collect();
    let later: Vec<String> = later.iter().map(once).collect();
    let classes = legacy.classes.join(",");
    format!(
        "classes={classes} hosts={} once={} later={}",
        members.join(";"),
        known.join(";"),
        later.join(";")
    )
}
