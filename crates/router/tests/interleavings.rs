//! The core under any order of events: what sockets can have cross, without sockets. Each order of asks, answers, late and
//! second answers, breaks, cancels, closes, drains, purges, stalls and the end has to leave every client that still waits
//! with exactly one final answer, and nothing may go out that a rule forbids.

use hollymux_decision::*;
use hollymux_router::buffers::BufferPool;
use hollymux_router::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const START: Timestamp = Timestamp::from_micros(1_000_000_000);
const PARENT: u16 = 1;
const ORIGIN: u16 = 2;
const WINDOW: Duration = Duration::from_millis(900);
/// What may be repeated, what endpoints tell apart for `WINDOW`, and what never runs twice.
const EFFECTS: [Idempotency; 3] = [Idempotency::Idempotent, Idempotency::WithKey, Idempotency::NotIdempotent];
const NAMES: [&str; 3] = ["read", "order", "filing"];
const UIDS: [&str; 6] = ["s-a", "s-b", "s-c", "s-p", "s-q", "s-o"];
const ATTEMPTS: u32 = 4;

fn settings() -> Settings {
    let class = |idempotency| RequestClass {
        latency_objective: Duration::from_millis(250),
        deadline: Duration::from_secs(2),
        idempotency,
        scope: DeduplicationScope::All,
        window: WINDOW,
        write: idempotency != Idempotency::Idempotent,
        ..RequestClass::default()
    };
    Settings {
        classes: EFFECTS.map(class).to_vec(),
        router_count: 2,
        parent_kind: Some(PARENT),
        origin_kind: Some(ORIGIN),
        bypass_edge_cache: true,
        weights: ListedWeights::Size,
        max_attempts: ATTEMPTS,
        cancel: true,
        retry_after: true,
        max_retry_after: Duration::from_secs(1),
        connect_timeout: Duration::from_millis(400),
        purge_done: Duration::from_secs(6),
        purge_slack: Duration::from_millis(300),
        drain_grace: Duration::from_millis(500),
        warm_up_floor: 0.2,
        warm_up_period: Duration::from_secs(10),
        overload_multiple: 2.5,
        overload_window: Duration::from_secs(1),
        ..Settings::default()
    }
}

fn member(i: usize, state: EndpointState) -> ListedEndpoint {
    let entry = EndpointEntry {
        id: endpoint_id(UIDS[i]),
        cell: 0,
        zone: u16::from(i > 2),
        kind: [0, 0, 0, PARENT, PARENT, ORIGIN][i],
        weight: 4.0,
        state,
        started: Timestamp::ZERO,
        in_place_of: None,
    };
    let addr = Some(([127, 0, 0, 1], 5_000 + i as u16).into());
    ListedEndpoint { entry, uid: UIDS[i].into(), addr }
}

/// What is known of a client's request.
#[derive(Default)]
struct Asked {
    class: usize,
    /// When the first attempt was sent that may have run.
    ran: Option<Timestamp>,
    attempts: u32,
}

struct World {
    router: Router,
    pool: BufferPool,
    now: Timestamp,
    wakes: BTreeMap<(Timestamp, usize), Wake>,
    serial: usize,
    /// Who is owed an answer.
    owed: BTreeMap<ClientHandle, Asked>,
    whose: BTreeMap<u32, ClientHandle>,
    /// Attempts that are out, and when they were sent.
    out: BTreeMap<AttemptId, Timestamp>,
    /// Attempts that were given up or answered: their shelfs may still speak.
    past: Vec<AttemptId>,
    ready: BTreeSet<EndpointId>,
    answered: usize,
}

impl World {
    fn new() -> World {
        let setup = RouterOptions {
            settings: settings(),
            classes: NAMES.map(str::to_string).to_vec(),
            seed: 7,
            memory_mb: 64,
            flow_bytes_per_s: 300_000.0,
        };
        let mut world = World {
            router: Router::new(setup, false).unwrap(),
            pool: BufferPool::new(1_000),
            now: START,
            wakes: BTreeMap::new(),
            serial: 0,
            owed: BTreeMap::new(),
            whose: BTreeMap::new(),
            out: BTreeMap::new(),
            past: Vec::new(),
            ready: UIDS.iter().map(|u| endpoint_id(u)).collect(),
            answered: 0,
        };
        let lines = (0..UIDS.len()).map(|i| member(i, EndpointState::Ready)).collect();
        world.feed(Input::Feed(FeedEvent::Endpoints { is_full_list: true, endpoints: lines }));
        world
    }

    fn feed(&mut self, input: Input) {
        let mut commands = Vec::new();
        self.router.handle(self.now, input, &mut commands);
        commands.into_iter().for_each(|c| self.check(c));
    }

    fn check(&mut self, command: Command) {
        match command {
            Command::SendAttempt(order) => {
                let asked = self.owed.get_mut(&order.client).expect("sent for a client that is owed nothing");
                let request = order.attempt.request;
                assert!(self.out.keys().all(|a| a.request != request), "two attempts out");
                assert!(self.ready.contains(&order.target.endpoint), "sent to one that takes no work");
                let source = order.target.fill.source;
                assert!(source.is_none_or(|s| self.ready.contains(&s)), "a source that takes no work");
                asked.attempts += 1;
                assert!(asked.attempts <= ATTEMPTS, "too many attempts");
                match (EFFECTS[asked.class], asked.ran) {
                    (Idempotency::NotIdempotent, ran) => assert_eq!(ran, None, "it may have run"),
                    (Idempotency::WithKey, Some(ran)) => {
                        let by = order.send_before.expect("a repeat has an end");
                        assert!(self.now <= by && by < ran + WINDOW, "a repeat after its window");
                    }
                    _ => assert_eq!(order.send_before, None),
                }
                self.whose.insert(request, order.client);
                self.out.insert(order.attempt, self.now);
            }
            // Written whole or not: it may have run.
            Command::CancelAttempt { attempt, may_retry: again } => {
                let client = self.whose[&attempt.request];
                assert_eq!(
                    again,
                    self.owed.contains_key(&client),
                    "it is known whether it may be sent again"
                );
                self.end(attempt, true);
            }
            Command::Reply(client, reply) => {
                let asked = self.owed.remove(&client).expect("an answer that nobody is owed");
                let ran = asked.ran.is_some() || self.out.keys().any(|a| self.whose[&a.request] == client);
                let refused = matches!(reply, Reply::Rejected(_));
                let harmless = EFFECTS[asked.class] != Idempotency::NotIdempotent || !ran;
                assert!(!refused || harmless, "refused, though it may have run");
                self.answered += 1;
            }
            Command::Wake(at, wake) => {
                self.serial += 1;
                self.wakes.insert((at, self.serial), wake);
            }
            _ => {}
        }
    }

    /// An attempt is no longer out.
    fn end(&mut self, attempt: AttemptId, may_have_run: bool) {
        let Some(sent) = self.out.remove(&attempt) else { return };
        self.past.push(attempt);
        let client = self.whose[&attempt.request];
        if let Some(asked) = self.owed.get_mut(&client).filter(|_| may_have_run) {
            asked.ran = asked.ran.or(Some(sent));
        }
    }

    fn ask(&mut self, conn: u64, class: usize, object: u64) {
        self.serial += 1;
        let tag = self.serial as u64;
        let word = |value: u64| ReceivedNumber { text: format!("{value:016x}").into_bytes(), value };
        let ask = ClientRequest {
            request_id: word(tag),
            class: NAMES[class].into(),
            object: word(object),
            chunk: 0,
            group: 1,
            budget_ms: 1_500,
            if_none_match: None,
            idempotency_key: None,
            body: self.pool.chain(),
        };
        let client = ClientHandle { conn, tag };
        self.owed.insert(client, Asked { class, ..Asked::default() });
        self.feed(Input::Request(client, ask));
    }

    /// A shelf says something, or a connection breaks; one time in four of what is over already.
    fn hear(&mut self, pick: usize, how: u8) {
        let live: Vec<AttemptId> = self.out.keys().copied().collect();
        let over = pick.is_multiple_of(4) && !self.past.is_empty();
        let from = if over { &self.past } else { &live };
        let Some(attempt) = from.get(pick % from.len().max(1)).copied() else { return };
        let (input, ran) = match how % 9 {
            0 | 1 => (
                Input::Responded(
                    attempt,
                    AttemptResponse::Data(Some(b"d1".to_vec()), self.pool.chain()),
                    None,
                ),
                true,
            ),
            2 => (Input::Responded(attempt, AttemptResponse::Absent, None), false),
            3 => (Input::Responded(attempt, AttemptResponse::AtCapacity, None), false),
            4 => (Input::Responded(attempt, AttemptResponse::Failed, None), true),
            5 => (Input::Responded(attempt, AttemptResponse::AlreadyCancelled, None), false),
            6 => (Input::Failed(attempt, AttemptFailure::ConnectionLost), true),
            7 if pick.is_multiple_of(3) => (Input::Failed(attempt, AttemptFailure::ConnectTimeout), false),
            7 => (Input::Failed(attempt, AttemptFailure::ConnectionRefused), false),
            _ => (Input::Failed(attempt, AttemptFailure::NotSent), false),
        };
        self.end(attempt, ran);
        self.feed(input);
    }

    /// Time passes; after a stall all timers that are due come at once, in order.
    fn pass(&mut self, long: Duration, stall: bool) {
        let until = self.now + long;
        if stall {
            self.now = until;
        }
        while let Some(entry) = self.wakes.first_entry().filter(|e| e.key().0 <= until) {
            let ((at, _), wake) = entry.remove_entry();
            self.now = self.now.max(at);
            self.feed(Input::Wake(wake));
        }
        self.now = until;
    }

    /// An endpoint drains, goes or is back.
    fn told(&mut self, i: usize, state: EndpointState) {
        let line = member(i, state);
        let id = line.entry.id;
        if state == EndpointState::Ready {
            self.ready.insert(id);
        } else {
            self.ready.remove(&id);
        }
        self.feed(Input::Feed(FeedEvent::Endpoints { is_full_list: false, endpoints: vec![line] }));
    }

    /// A client cancels its oldest request, or closes its connection.
    fn leave(&mut self, conn: u64, cancels: bool) {
        let of = self.owed.keys().copied().filter(|c| c.conn == conn);
        let gone: Vec<ClientHandle> = of.take(if cancels { 1 } else { usize::MAX }).collect();
        self.owed.retain(|c, _| !gone.contains(c));
        match gone.first().filter(|_| cancels) {
            Some(client) => self.feed(Input::Cancel(*client)),
            None => self.feed(Input::ClientClosed(conn)),
        }
    }
}

fn step(world: &mut World, (what, who, pick): (u8, u8, u16)) {
    let (conn, pick) = (u64::from(who % 3), usize::from(pick));
    match what % 16 {
        0..=4 => world.ask(conn, usize::from(who) % 3, pick as u64 % 5),
        5..=8 => world.hear(pick, who),
        9 | 10 => world.pass(Duration::from_millis(pick as u64 % 400), false),
        11 => world.pass(Duration::from_millis(pick as u64 % 1_200), true),
        12 => world.leave(conn, true),
        13 => world.leave(conn, false),
        14 => {
            let state =
                [EndpointState::Draining, EndpointState::Gone, EndpointState::Ready, EndpointState::Ready]
                    [pick % 4];
            world.told(usize::from(who) % UIDS.len(), state);
        }
        _ => {
            let object = pick.is_multiple_of(2).then_some(pick as u64 % 5);
            world.feed(Input::Feed(FeedEvent::Purge {
                object,
                group: 1,
                at: world.now - Duration::from_millis(10),
            }));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a second answer or none, work for one who has left, two attempts out, a filing that runs twice, and
    /// work for what drains, whatever crosses.
    #[test]
    fn whatever_crosses_each_client_gets_one_answer(
        steps in proptest::collection::vec((any::<u8>(), any::<u8>(), any::<u16>()), 1..120),
        cut in any::<bool>(),
    ) {
        let mut world = World::new();
        steps.into_iter().for_each(|s| step(&mut world, s));
        if cut {
            // The router's time is over: what is open is answered at once.
            world.feed(Input::Shutdown);
        } else {
            world.pass(Duration::from_secs(3), false);
        }
        prop_assert!(world.owed.is_empty(), "{} clients without an answer", world.owed.len());
        prop_assert!(world.out.is_empty(), "attempts out that nobody waits for");
        prop_assert!(world.router.idle());
        prop_assert_eq!(world.router.counters.invariant_violations, 0);
    }
}

/// Guards against a check that passes as it sees nothing: such orders do send, repeat and answer.
#[test]
fn the_orders_reach_further_attempts_and_answers() {
    let mut world = World::new();
    world.ask(1, 1, 3);
    world.hear(1, 6);
    assert_eq!((world.out.len(), world.owed.len()), (1, 1), "a repeat within its window");
    assert!(world.out.keys().all(|a| a.number == 1));
    world.ask(1, 2, 3);
    let filing = *world.out.keys().last().unwrap();
    world.end(filing, true);
    world.feed(Input::Failed(filing, AttemptFailure::ConnectionLost));
    assert_eq!((world.answered, world.out.len()), (1, 1), "a filing that may have run is failed");
    world.feed(Input::Shutdown);
    assert_eq!((world.answered, world.out.len()), (2, 0));
}
