//! Property tests of the router under any order of events, without sockets. Requests, responses,
//! late and duplicate responses, lost connections, cancellations, closed connections, drains,
//! purges, stalls and the shutdown are applied in any order in which they can arrive on sockets.
//! Every client that still waits must get exactly one final reply, and no command may break a rule
//! of sending.

use hollymux_decision::{
    DeduplicationScope, EndpointEntry, EndpointId, EndpointState, Idempotency, ListedWeights, RequestClass,
    Settings, Timestamp,
};
use hollymux_router::buffers::BufferPool;
use hollymux_router::{
    endpoint_id, AttemptFailure, AttemptId, AttemptRequest, AttemptResponse, ClientHandle, ClientRequest,
    Command, FeedEvent, Input, ListedEndpoint, ReceivedNumber, Reply, Router, RouterOptions, Wake,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const START: Timestamp = Timestamp::from_micros(1_000_000_000);
const PARENT: u16 = 1;
const ORIGIN: u16 = 2;
const IDEMPOTENCY_WINDOW: Duration = Duration::from_millis(900);
/// The idempotency of each class, by index. Endpoints recognise repeats of the class with an
/// idempotency key for [`IDEMPOTENCY_WINDOW`].
const IDEMPOTENCY: [Idempotency; 3] =
    [Idempotency::Idempotent, Idempotency::WithKey, Idempotency::NotIdempotent];
const CLASS_NAMES: [&str; 3] = ["read", "order", "write"];
const UIDS: [&str; 6] = ["s-a", "s-b", "s-c", "s-p", "s-q", "s-o"];
const MAX_ATTEMPTS: u32 = 4;

fn settings() -> Settings {
    let class = |idempotency| RequestClass {
        latency_objective: Duration::from_millis(250),
        deadline: Duration::from_secs(2),
        idempotency,
        scope: DeduplicationScope::All,
        window: IDEMPOTENCY_WINDOW,
        write: idempotency != Idempotency::Idempotent,
        ..RequestClass::default()
    };
    Settings {
        classes: IDEMPOTENCY.map(class).to_vec(),
        router_count: 2,
        parent_kind: Some(PARENT),
        origin_kind: Some(ORIGIN),
        bypass_edge_cache: true,
        weights: ListedWeights::Size,
        max_attempts: MAX_ATTEMPTS,
        cancel: true,
        retry_after: true,
        max_retry_after: Duration::from_secs(1),
        connect_timeout: Duration::from_millis(400),
        purge_completion_time: Duration::from_secs(6),
        purge_slack: Duration::from_millis(300),
        drain_grace: Duration::from_millis(500),
        warm_up_floor: 0.2,
        warm_up_period: Duration::from_secs(10),
        overload_multiple: 2.5,
        overload_window: Duration::from_secs(1),
        ..Settings::default()
    }
}

fn listed_endpoint(index: usize, state: EndpointState) -> ListedEndpoint {
    let entry = EndpointEntry {
        id: endpoint_id(UIDS[index]),
        cell: 0,
        zone: u16::from(index > 2),
        kind: [0, 0, 0, PARENT, PARENT, ORIGIN][index],
        weight: 4.0,
        state,
        started: Timestamp::ZERO,
        in_place_of: None,
    };
    let addr = Some(([127, 0, 0, 1], 5_000 + index as u16).into());
    ListedEndpoint { entry, uid: UIDS[index].into(), addr }
}

/// What the test knows of a client's open request.
#[derive(Default)]
struct OpenRequest {
    class: usize,
    /// The send time of the first attempt that may have run; `None` if none may have.
    may_have_run_since: Option<Timestamp>,
    attempts: u32,
}

/// The router under test, and the clients, endpoints and timers around it.
struct World {
    router: Router,
    pool: BufferPool,
    now: Timestamp,
    /// Timers in order of expiry. The serial number keeps timers of the same time in the order in
    /// which they were set.
    timers: BTreeMap<(Timestamp, usize), Wake>,
    serial: usize,
    /// The open request of each client that waits for a reply.
    waiting: BTreeMap<ClientHandle, OpenRequest>,
    /// The client of each request that an attempt was sent for.
    client_of: BTreeMap<u32, ClientHandle>,
    /// The send time of each attempt in flight.
    in_flight: BTreeMap<AttemptId, Timestamp>,
    /// Attempts that were cancelled or have ended. Their endpoints may still respond.
    ended: Vec<AttemptId>,
    ready: BTreeSet<EndpointId>,
    replies: usize,
}

impl World {
    fn new() -> World {
        World::with_memory(64)
    }

    fn with_memory(memory_mb: u64) -> World {
        let options = RouterOptions {
            settings: settings(),
            classes: CLASS_NAMES.map(str::to_string).to_vec(),
            seed: 7,
            memory_mb,
            flow_bytes_per_s: 300_000.0,
        };
        let mut world = World {
            router: Router::new(options, false).unwrap(),
            pool: BufferPool::new(1_000),
            now: START,
            timers: BTreeMap::new(),
            serial: 0,
            waiting: BTreeMap::new(),
            client_of: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            ended: Vec::new(),
            ready: UIDS.iter().map(|uid| endpoint_id(uid)).collect(),
            replies: 0,
        };
        let endpoints = (0..UIDS.len()).map(|index| listed_endpoint(index, EndpointState::Ready)).collect();
        world.apply_input(Input::Feed(FeedEvent::Endpoints { is_full_list: true, endpoints }));
        world
    }

    /// Passes an input to the router and checks the resulting commands.
    fn apply_input(&mut self, input: Input) {
        let mut commands = Vec::new();
        self.router.handle(self.now, input, &mut commands);
        for command in commands {
            self.check_command(command);
        }
        if self.waiting.is_empty() && self.in_flight.is_empty() {
            assert!(self.timers.is_empty(), "timers outlive their requests: {:?}", self.timers);
        }
    }

    fn check_command(&mut self, command: Command) {
        match command {
            Command::SendAttempt(attempt) => self.check_attempt(&attempt),
            Command::CancelAttempt { attempt, may_retry } => {
                let client = self.client_of[&attempt.request];
                let is_waiting = self.waiting.contains_key(&client);
                assert_eq!(may_retry, is_waiting, "may_retry differs from whether the client still waits");
                // The attempt may have been written completely, so it may have run.
                self.record_attempt_end(attempt, true);
            }
            Command::Reply(client, reply) => self.check_reply(client, &reply),
            Command::Wake(at, wake) => {
                self.serial += 1;
                self.timers.insert((at, self.serial), wake);
            }
            Command::CancelTimers(request) => {
                self.timers.retain(|_, wake| wake.request() != Some(request));
            }
            _ => {}
        }
    }

    fn check_attempt(&mut self, sent: &AttemptRequest) {
        let open = self
            .waiting
            .get_mut(&sent.client)
            .expect("attempt sent for a client that does not wait for a reply");
        let request = sent.attempt.request;
        assert!(
            self.in_flight.keys().all(|attempt| attempt.request != request),
            "request has two attempts in flight"
        );
        assert!(self.ready.contains(&sent.target.endpoint), "attempt sent to an endpoint that is not ready");
        let source = sent.target.fill.source;
        assert!(
            source.is_none_or(|source| self.ready.contains(&source)),
            "attempt with a fill source that is not ready"
        );
        open.attempts += 1;
        assert!(open.attempts <= MAX_ATTEMPTS, "more than {MAX_ATTEMPTS} attempts of a request");
        match (IDEMPOTENCY[open.class], open.may_have_run_since) {
            (Idempotency::NotIdempotent, since) => {
                assert_eq!(since, None, "retry of a non-idempotent request that may have run")
            }
            (Idempotency::WithKey, Some(since)) => {
                let send_before =
                    sent.send_before.expect("retry with an idempotency key without a latest send time");
                let window_end = since + IDEMPOTENCY_WINDOW;
                assert!(
                    self.now <= send_before && send_before < window_end,
                    "retry may be sent after its idempotency window"
                );
            }
            _ => assert_eq!(sent.send_before, None),
        }
        self.client_of.insert(request, sent.client);
        self.in_flight.insert(sent.attempt, self.now);
    }

    fn check_reply(&mut self, client: ClientHandle, reply: &Reply) {
        let open = self.waiting.remove(&client).expect("reply to a client that does not wait for one");
        let has_attempt_in_flight =
            self.in_flight.keys().any(|attempt| self.client_of[&attempt.request] == client);
        let may_have_run = open.may_have_run_since.is_some() || has_attempt_in_flight;
        let is_rejected = matches!(reply, Reply::Rejected(_));
        let is_safe = IDEMPOTENCY[open.class] != Idempotency::NotIdempotent || !may_have_run;
        assert!(!is_rejected || is_safe, "non-idempotent request rejected though it may have run");
        self.replies += 1;
    }

    /// Records that an attempt is no longer in flight.
    fn record_attempt_end(&mut self, attempt: AttemptId, may_have_run: bool) {
        let Some(sent) = self.in_flight.remove(&attempt) else { return };
        self.ended.push(attempt);
        let client = self.client_of[&attempt.request];
        if let Some(open) = self.waiting.get_mut(&client).filter(|_| may_have_run) {
            open.may_have_run_since = open.may_have_run_since.or(Some(sent));
        }
    }

    /// Sends a request of a client, with an id of its own.
    fn send_request(&mut self, connection: u64, class: usize, object: u64) {
        self.send_request_with_id(connection, class, object, self.serial as u64 + 1);
    }

    /// Sends a request of a client with this id.
    fn send_request_with_id(&mut self, connection: u64, class: usize, object: u64, id: u64) {
        self.serial += 1;
        let tag = self.serial as u64;
        let number = |value: u64| ReceivedNumber { text: format!("{value:016x}").into_bytes(), value };
        let request = ClientRequest {
            request_id: number(id),
            class: CLASS_NAMES[class].into(),
            object: number(object),
            chunk: 0,
            group: 1,
            timeout_ms: 1_500,
            if_none_match: None,
            idempotency_key: None,
            body: self.pool.chain(),
        };
        let client = ClientHandle { conn: connection, tag };
        self.waiting.insert(client, OpenRequest { class, ..OpenRequest::default() });
        self.apply_input(Input::Request(client, request));
    }

    /// Ends the attempt selected by `pick` with a response or a failure selected by `how`. One time
    /// in four the attempt has ended already, so that the event is late.
    fn end_some_attempt(&mut self, pick: usize, how: u8) {
        let in_flight: Vec<AttemptId> = self.in_flight.keys().copied().collect();
        let is_late = pick.is_multiple_of(4) && !self.ended.is_empty();
        let candidates = if is_late { &self.ended } else { &in_flight };
        let Some(attempt) = candidates.get(pick % candidates.len().max(1)).copied() else { return };
        let responded = |response: AttemptResponse| Input::Responded(attempt, response, None);
        let data = || AttemptResponse::Data(Some(b"d1".to_vec()), self.pool.chain());
        let (input, may_have_run) = match how % 9 {
            0 if pick.is_multiple_of(3) => (responded(AttemptResponse::Undeliverable { bytes: 9 }), true),
            0 | 1 => (responded(data()), true),
            2 => (responded(AttemptResponse::Absent), false),
            3 => (responded(AttemptResponse::AtCapacity), false),
            4 => (responded(AttemptResponse::Failed), true),
            5 => (responded(AttemptResponse::AlreadyCancelled), false),
            6 if pick.is_multiple_of(3) => (Input::Failed(attempt, AttemptFailure::ResponseDropped), true),
            6 => (Input::Failed(attempt, AttemptFailure::ConnectionLost), true),
            7 if pick.is_multiple_of(3) => (Input::Failed(attempt, AttemptFailure::ConnectTimeout), false),
            7 => (Input::Failed(attempt, AttemptFailure::ConnectionRefused), false),
            _ => (Input::Failed(attempt, AttemptFailure::NotSent), false),
        };
        self.record_attempt_end(attempt, may_have_run);
        self.apply_input(input);
    }

    /// Lets time pass and fires the timers that are due. After a stall, all of them fire at its
    /// end, in order.
    fn advance(&mut self, duration: Duration, is_stall: bool) {
        let until = self.now + duration;
        if is_stall {
            self.now = until;
        }
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), wake) = entry.remove_entry();
            self.now = self.now.max(at);
            self.apply_input(Input::Wake(wake));
        }
        self.now = until;
    }

    /// Sends an update of the endpoint list in which an endpoint is draining, gone or ready.
    fn update_endpoint(&mut self, index: usize, state: EndpointState) {
        let endpoint = listed_endpoint(index, state);
        let id = endpoint.entry.id;
        if state == EndpointState::Ready {
            self.ready.insert(id);
        } else {
            self.ready.remove(&id);
        }
        self.apply_input(Input::Feed(FeedEvent::Endpoints {
            is_full_list: false,
            endpoints: vec![endpoint],
        }));
    }

    /// Cancels the oldest request of a connection, or closes the connection if it has no open
    /// request.
    fn cancel_oldest(&mut self, connection: u64) {
        let oldest = self.waiting.keys().copied().find(|client| client.conn == connection);
        match oldest {
            Some(client) => {
                self.waiting.remove(&client);
                self.apply_input(Input::Cancel(client));
            }
            None => self.close_client(connection),
        }
    }

    /// Closes a client's connection.
    fn close_client(&mut self, connection: u64) {
        self.waiting.retain(|client, _| client.conn != connection);
        self.apply_input(Input::ClientClosed(connection));
    }

    fn purge(&mut self, object: Option<u64>) {
        let at = self.now - Duration::from_millis(10);
        self.apply_input(Input::Feed(FeedEvent::Purge { object, group: 1, at }));
    }
}

/// One step of a generated sequence of events. `event` selects its kind, `subject` and `pick` its
/// parameters.
#[derive(Clone, Copy, Debug)]
struct Step {
    event: u8,
    subject: u8,
    pick: u16,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (any::<u8>(), any::<u8>(), any::<u16>()).prop_map(|(event, subject, pick)| Step {
        event,
        subject,
        pick,
    });
    proptest::collection::vec(step, 1..120)
}

fn apply(world: &mut World, step: Step) {
    let connection = u64::from(step.subject % 3);
    let pick = usize::from(step.pick);
    let pick_ms = u64::from(step.pick);
    match step.event % 16 {
        0..=4 => world.send_request(connection, usize::from(step.subject) % 3, u64::from(step.pick) % 5),
        5..=8 => world.end_some_attempt(pick, step.subject),
        9 | 10 => world.advance(Duration::from_millis(pick_ms % 400), false),
        11 => world.advance(Duration::from_millis(pick_ms % 1_200), true),
        12 => world.cancel_oldest(connection),
        13 => world.close_client(connection),
        14 => {
            let states =
                [EndpointState::Draining, EndpointState::Gone, EndpointState::Ready, EndpointState::Ready];
            world.update_endpoint(usize::from(step.subject) % UIDS.len(), states[pick % 4]);
        }
        _ => world.purge(pick.is_multiple_of(2).then_some(u64::from(step.pick) % 5)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards, for any order of events, against a client with no reply or two, attempts for a
    /// client that has left, two attempts of a request in flight, a non-idempotent request that
    /// runs twice, attempts at a draining endpoint, and timers that outlive their requests.
    #[test]
    fn each_client_gets_one_reply_in_any_order_of_events(steps in steps(), is_shut_down in any::<bool>()) {
        let mut world = World::new();
        for step in steps {
            apply(&mut world, step);
        }
        if is_shut_down {
            // The shutdown must answer all open requests at once.
            world.apply_input(Input::Shutdown);
        } else {
            world.advance(Duration::from_secs(3), false);
        }
        prop_assert!(world.waiting.is_empty(), "{} clients without a reply", world.waiting.len());
        prop_assert!(world.in_flight.is_empty(), "{} attempts still in flight", world.in_flight.len());
        prop_assert!(world.router.is_idle());
        prop_assert_eq!(world.router.counters.invariant_violations, 0);
    }
}

/// Guards against an id that runs a second time when it comes again after its client has left, at
/// another endpoint or after the window in which endpoints recognise it.
#[test]
fn an_id_that_may_have_run_does_not_run_again_after_its_client_has_left() {
    for class in [1, 2] {
        for pause in [Duration::from_millis(10), 2 * IDEMPOTENCY_WINDOW] {
            let mut world = World::new();
            world.send_request_with_id(1, class, 3, 700);
            assert_eq!(world.in_flight.len(), 1, "an attempt");
            world.close_client(1);
            world.advance(pause, false);
            world.send_request_with_id(2, class, 3, 700);
            assert_eq!((world.in_flight.len(), world.replies), (0, 1), "class {class}, after {pause:?}");
        }
    }
    // One that never ran may come again.
    let mut world = World::new();
    world.send_request_with_id(1, 1, 3, 700);
    for _ in 0..MAX_ATTEMPTS {
        if let Some(attempt) = world.in_flight.keys().next().copied() {
            world.record_attempt_end(attempt, false);
            world.apply_input(Input::Responded(attempt, AttemptResponse::AtCapacity, None));
        }
    }
    assert_eq!(world.replies, 1, "rejected");
    world.advance(Duration::from_secs(20), false);
    world.send_request_with_id(1, 1, 3, 700);
    assert_eq!(world.in_flight.len(), 1, "an id that never ran");
}

/// Guards against a flood of writes after which all others are rejected for an hour, and against
/// forgetting writes that came shortly before.
#[test]
fn a_full_table_of_writes_forgets_those_older_than_a_minute() {
    let mut world = World::with_memory(1);
    let write = |world: &mut World, id: u64| {
        world.send_request_with_id(1, 2, 3, id);
        let attempt = world.in_flight.keys().next().copied();
        if let Some(attempt) = attempt {
            world.record_attempt_end(attempt, true);
            let served = AttemptResponse::Data(None, world.pool.chain());
            world.apply_input(Input::Responded(attempt, served, None));
        }
        attempt.is_some()
    };
    // The table has 1,000 entries.
    assert!((0..1_000).all(|id| write(&mut world, 1 + id)));
    assert!(!write(&mut world, 5_000), "a write beyond the table");
    world.advance(Duration::from_secs(50), false);
    assert!(!write(&mut world, 5_000), "a write beyond the table, which holds none of a minute ago");
    world.advance(Duration::from_secs(11), false);
    assert!(
        (0..50).all(|id| write(&mut world, 5_000 + id)),
        "writes rejected though old ones may be forgotten"
    );
    assert!(!write(&mut world, 1_000) && !write(&mut world, 5_049), "a write that has run is sent again");
}

/// Guards against refusing a write that has run because its client reads slowly, and against failing a
/// read that may be repeated.
#[test]
fn an_undeliverable_read_is_rejected_and_an_undeliverable_write_failed() {
    for (class, is_rejected) in [(0, true), (1, false), (2, false)] {
        let mut world = World::new();
        world.send_request(1, class, 3);
        let attempt = *world.in_flight.keys().last().expect("an attempt");
        let response = AttemptResponse::Undeliverable { bytes: 240_000 };
        let mut commands = Vec::new();
        world.router.handle(world.now, Input::Responded(attempt, response, None), &mut commands);
        let reply = commands.iter().find_map(|command| match command {
            Command::Reply(_, reply) => Some(reply),
            _ => None,
        });
        match reply {
            Some(Reply::Rejected(retry_after_millis)) => assert!(is_rejected && *retry_after_millis == 1_000),
            reply => assert!(!is_rejected && matches!(reply, Some(Reply::Failed)), "{class}: {reply:?}"),
        }
    }
}

/// Guards against a property test that passes because its worlds send, retry and answer nothing.
#[test]
fn orders_of_events_reach_retries_and_replies() {
    let mut world = World::new();
    world.send_request(1, 1, 3);
    world.end_some_attempt(1, 6);
    assert_eq!((world.in_flight.len(), world.waiting.len()), (1, 1), "retry within its idempotency window");
    assert!(world.in_flight.keys().all(|attempt| attempt.number == 1));
    world.send_request(1, 2, 3);
    let write = *world.in_flight.keys().last().unwrap();
    world.record_attempt_end(write, true);
    world.apply_input(Input::Failed(write, AttemptFailure::ConnectionLost));
    assert_eq!((world.replies, world.in_flight.len()), (1, 1), "write that may have run is not failed");
    world.apply_input(Input::Shutdown);
    assert_eq!((world.replies, world.in_flight.len()), (2, 0));
}
