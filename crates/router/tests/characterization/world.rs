//! A small simulated world around one router core. Clients, endpoints, purges, lookups, handovers,
//! and changes of the endpoint list and the settings are all drawn from one seed.

use super::adapter::Core;
use super::neutral::*;
use std::collections::{BTreeMap, BTreeSet};

const MICROS_PER_MS: u64 = 1_000;
const START_US: u64 = 1_000_000 * MICROS_PER_MS;
const OBJECTS: u64 = 12;
/// Maximum time between two arrivals in most worlds.
const USUAL_MAX_GAP_MS: u64 = 70;
/// Maximum time between two arrivals in crowded worlds.
const CROWDED_MAX_GAP_MS: u64 = 8;
const GROUPS: u64 = 3;
const CONNECTIONS: u64 = 4;
const PARENT: u16 = 1;
const ORIGIN: u16 = 2;
const FIRST_PORT: u16 = 5_000;

/// How the clients of a world use a request class.
pub struct ClassUse {
    pub name: &'static str,
    pub budget_ms: u64,
    pub has_key: bool,
    pub non_idempotent: bool,
    pub is_write: bool,
}

/// The settings of a world, the settings that may replace them at run time, and what the clients
/// know of the classes.
pub struct Deployment {
    pub settings: &'static str,
    pub settings_later: &'static str,
    pub classes: &'static [ClassUse],
}

/// A 64-bit FNV-1a digest over all lines, and the number of effects of each kind.
pub struct Record {
    pub digest: u64,
    pub counts: BTreeMap<&'static str, u32>,
}

impl Default for Record {
    fn default() -> Record {
        Record { digest: 0xcbf2_9ce4_8422_2325, counts: BTreeMap::new() }
    }
}

impl Record {
    fn add(&mut self, text: &str) {
        for byte in text.bytes().chain([b'\n']) {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }
}

/// The SplitMix64 random number generator.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
    fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low)
    }
    fn percent(&mut self, chance: u64) -> bool {
        self.below(100) < chance
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Health {
    Good,
    Slow,
    Failing,
    Dead,
    AtCapacity,
}

struct TestEndpoint {
    listed: EndpointSpec,
    health: Health,
    generation: u32,
}

enum ScheduledEvent {
    Arrival,
    Change,
    Purge,
    Apply(Stimulus),
}

/// A world that plays one sequence of events. Times are in microseconds.
pub struct World<'a> {
    core: Core,
    deployment: &'a Deployment,
    record: &'a mut Record,
    random: Random,
    now: u64,
    endpoints: Vec<TestEndpoint>,
    waiting: BTreeSet<ClientId>,
    past_ids: Vec<u64>,
    scheduled: BTreeMap<(u64, u64), ScheduledEvent>,
    serial: u64,
    burst: u64,
    /// Maximum time between two arrivals, in milliseconds.
    max_gap_ms: u64,
    /// Until this time most attempts fail at once, at any endpoint.
    error_burst_until: u64,
}

impl<'a> World<'a> {
    pub fn new(deployment: &'a Deployment, record: &'a mut Record, seed: u64) -> World<'a> {
        let mut random = Random(seed);
        let names: Vec<&str> = deployment.classes.iter().map(|class| class.name).collect();
        let max_gap_ms = if random.percent(20) { CROWDED_MAX_GAP_MS } else { USUAL_MAX_GAP_MS };
        let follows = random.percent(15);
        let core = Core::new(deployment.settings, &names, seed, follows);
        World {
            core,
            deployment,
            record,
            random,
            now: START_US,
            endpoints: endpoints(),
            waiting: BTreeSet::new(),
            past_ids: Vec::new(),
            scheduled: BTreeMap::new(),
            serial: 0,
            burst: 0,
            max_gap_ms,
            error_burst_until: 0,
        }
    }

    /// Plays this many events, then shuts the core down.
    pub fn play(mut self, events: usize) {
        self.send_full_list();
        self.schedule(MICROS_PER_MS, ScheduledEvent::Arrival);
        self.schedule(60 * MICROS_PER_MS, ScheduledEvent::Change);
        self.schedule(150 * MICROS_PER_MS, ScheduledEvent::Purge);
        for _ in 0..events {
            let Some(((at, _), event)) = self.scheduled.pop_first() else { break };
            self.now = self.now.max(at);
            match event {
                ScheduledEvent::Arrival => self.send_request(),
                ScheduledEvent::Change => self.apply_change(),
                ScheduledEvent::Purge => self.send_purge(),
                ScheduledEvent::Apply(stimulus) => self.apply(stimulus),
            }
        }
        self.apply(Stimulus::Shutdown);
        assert!(self.waiting.is_empty(), "{} clients without a reply after the shutdown", self.waiting.len());
        let summary = self.core.summary();
        self.record.add(&summary);
    }

    fn schedule(&mut self, delay: u64, event: ScheduledEvent) {
        self.schedule_at(self.now + delay, event);
    }

    fn schedule_at(&mut self, at: u64, event: ScheduledEvent) {
        self.serial += 1;
        self.scheduled.insert((at, self.serial), event);
    }

    fn apply(&mut self, stimulus: Stimulus) {
        match &stimulus {
            Stimulus::Cancel(client) => self.waiting.retain(|waiting| waiting != client),
            Stimulus::CloseConnection { connection } => {
                self.waiting.retain(|waiting| waiting.connection != *connection)
            }
            _ => {}
        }
        for effect in self.core.step(self.now, stimulus) {
            self.record.count(effect.kind);
            self.record.add(&format!("{} {} {}", self.now, effect.kind, effect.line));
            self.react(effect.reaction);
        }
    }

    fn react(&mut self, reaction: Reaction) {
        match reaction {
            Reaction::Sent { attempt, uid } => self.serve(attempt, &uid),
            Reaction::Replied(client) => {
                self.waiting.remove(&client);
            }
            Reaction::Wake { at, handle } => {
                self.schedule_at(at, ScheduledEvent::Apply(Stimulus::Wake { handle }))
            }
            Reaction::LookUp { request } => self.answer_lookup(request),
            Reaction::Probe { uid } => self.answer_probe(uid),
            // The response to a cancelled attempt is already scheduled and arrives late.
            Reaction::Nothing => {}
        }
    }

    fn send_request(&mut self) {
        let (client, request) = self.draw_request();
        if self.random.percent(15) {
            self.look_up(&request);
        }
        self.waiting.insert(client);
        let leaves_after = self.random.below(request.budget_ms.min(2_000)) * MICROS_PER_MS;
        match self.random.below(100) {
            0..6 => self.schedule(leaves_after, ScheduledEvent::Apply(Stimulus::Cancel(client))),
            6 | 7 => {
                let leave = Stimulus::CloseConnection { connection: client.connection };
                self.schedule(leaves_after, ScheduledEvent::Apply(leave));
            }
            _ => {}
        }
        self.apply(Stimulus::Request(client, request));
        self.schedule_arrival();
    }

    fn schedule_arrival(&mut self) {
        if self.burst == 0 && self.random.percent(4) {
            self.burst = self.random.between(6, 60);
        }
        self.burst = self.burst.saturating_sub(1);
        let gap = if self.burst > 0 { 400 } else { self.random.between(1, self.max_gap_ms) * MICROS_PER_MS };
        self.schedule(gap, ScheduledEvent::Arrival);
    }

    fn draw_request(&mut self) -> (ClientId, RequestSpec) {
        self.serial += 1;
        let client = ClientId { connection: self.random.below(CONNECTIONS), tag: self.serial };
        let index = self.random.below(self.deployment.classes.len() as u64) as usize;
        let class = &self.deployment.classes[index];
        let object = 1 + self.random.below(OBJECTS).min(self.random.below(OBJECTS));
        let chance = self.random.below(100);
        let id = match self.past_ids.last() {
            // A client reuses the id of an earlier request.
            Some(last) if chance < 5 => *last,
            _ => 1_000 + self.serial,
        };
        self.past_ids.push(id);
        // Some requests have a budget longer than their class allows, or an unknown class.
        let budget_ms = match chance {
            97 => class.budget_ms * 5,
            _ => class.budget_ms / 2 + self.random.below(class.budget_ms / 2),
        };
        let name = if chance == 98 { "unheard-of" } else { class.name };
        let request = RequestSpec {
            id,
            class: name,
            object,
            chunk: self.random.below(2) as u32,
            group: (object % GROUPS) as u32,
            budget_ms,
            holds_copy: !class.is_write && self.random.percent(15),
            has_key: class.has_key,
            body: if class.is_write { 64 } else { 0 },
        };
        (client, request)
    }

    /// Looks up the endpoint of a request, as a caller that sends the request itself does.
    fn look_up(&mut self, template: &RequestSpec) {
        let Some(class) = self.deployment.classes.iter().find(|class| class.name == template.class) else {
            return;
        };
        let repeats_id = self.random.percent(50);
        let id =
            class.non_idempotent.then_some(if repeats_id { template.id } else { template.id + 1_000_000 });
        let RequestSpec { object, chunk, group, .. } = *template;
        self.apply(Stimulus::Lookup { class: class.name, object, chunk, group, id });
    }

    /// Schedules what an endpoint does with an attempt, by its health. The core may have given the
    /// attempt up by then.
    fn serve(&mut self, attempt: AttemptKey, uid: &str) {
        let endpoint = self.endpoints.iter().find(|endpoint| endpoint.listed.uid == uid);
        let (health, kind) =
            endpoint.map_or((Health::Dead, 0), |endpoint| (endpoint.health, endpoint.listed.kind));
        let chance = self.random.below(100);
        let delay = self.service_time(kind, health);
        let in_error_burst = self.now < self.error_burst_until;
        let (delay, stimulus) = match (health, chance) {
            // Errors count against an endpoint, misses don't.
            (_, 30..55) if in_error_burst => {
                (3 * MICROS_PER_MS, self.response(attempt, EndpointResponse::Failed))
            }
            (_, 55..) if in_error_burst => {
                (3 * MICROS_PER_MS, self.response(attempt, EndpointResponse::Absent))
            }
            (Health::Dead, 0..40) => (MICROS_PER_MS, self.failure(attempt, AttemptLoss::ConnectionRefused)),
            (Health::Dead, 40..70) => {
                (200 * MICROS_PER_MS, self.failure(attempt, AttemptLoss::ConnectTimeout))
            }
            (Health::Dead, _) => return,
            (Health::AtCapacity, 0..70) => (2 * MICROS_PER_MS, self.refusal(attempt)),
            (Health::Failing, 0..40) => (delay, self.response(attempt, EndpointResponse::Failed)),
            (Health::Failing, 40..65) | (_, 0..3) => {
                (delay, self.failure(attempt, AttemptLoss::ConnectionLost))
            }
            (_, 3) => (MICROS_PER_MS, self.failure(attempt, AttemptLoss::NotSent)),
            (_, 4) => (MICROS_PER_MS, self.response(attempt, EndpointResponse::AlreadyCancelled)),
            (_, 5..8) => (delay, self.response(attempt, EndpointResponse::Failed)),
            (_, 8..16) if kind == 0 => (delay, self.miss(attempt)),
            (_, 16..22) if kind == 0 => (delay, self.refusal(attempt)),
            (_, 22..25) => return,
            _ => (delay, self.success(attempt)),
        };
        if self.random.percent(3) {
            let second = self.success(attempt);
            self.schedule(delay + 5 * MICROS_PER_MS, ScheduledEvent::Apply(second));
        }
        self.schedule(delay, ScheduledEvent::Apply(stimulus));
    }

    fn service_time(&mut self, kind: u16, health: Health) -> u64 {
        let base = match kind {
            ORIGIN => self.random.between(50, 180),
            PARENT => self.random.between(15, 60),
            _ => self.random.between(4, 40),
        };
        base * MICROS_PER_MS * if health == Health::Slow { 12 } else { 1 }
    }

    fn failure(&self, attempt: AttemptKey, loss: AttemptLoss) -> Stimulus {
        Stimulus::Failure { attempt, loss }
    }

    fn response(&self, attempt: AttemptKey, response: EndpointResponse) -> Stimulus {
        Stimulus::Response { attempt, response, fill_status: None }
    }

    fn miss(&mut self, attempt: AttemptKey) -> Stimulus {
        let fill_statuses = [None, Some(FillStatus::Joined), Some(FillStatus::SourceLacks)];
        let fill_status = fill_statuses[self.random.below(fill_statuses.len() as u64) as usize];
        Stimulus::Response { attempt, response: EndpointResponse::Absent, fill_status }
    }

    fn refusal(&mut self, attempt: AttemptKey) -> Stimulus {
        let fill_statuses = [
            None,
            Some(FillStatus::SourceRefused),
            Some(FillStatus::SourceUnreachable),
            Some(FillStatus::NoFillPlace),
            Some(FillStatus::OriginFailed),
        ];
        let fill_status = fill_statuses[self.random.below(fill_statuses.len() as u64) as usize];
        Stimulus::Response { attempt, response: EndpointResponse::AtCapacity, fill_status }
    }

    fn success(&mut self, attempt: AttemptKey) -> Stimulus {
        let fill_statuses = [
            None,
            Some(FillStatus::Hit),
            Some(FillStatus::Hit),
            Some(FillStatus::Filled),
            Some(FillStatus::FilledByOrigin),
            Some(FillStatus::Joined),
            Some(FillStatus::Stale),
        ];
        let fill_status = fill_statuses[self.random.below(fill_statuses.len() as u64) as usize];
        let length = self.random.between(100, 20_000) as usize;
        let response = match self.random.below(10) {
            0 => EndpointResponse::NotModified,
            1 | 2 => EndpointResponse::Bytes { has_digest: false, length },
            _ => EndpointResponse::Bytes { has_digest: true, length },
        };
        Stimulus::Response { attempt, response, fill_status }
    }

    fn answer_lookup(&mut self, request: u32) {
        let index = self.random.below(self.endpoints.len() as u64) as usize;
        let listed = &self.endpoints[index].listed;
        let (uid, port) = (listed.uid.to_uppercase(), FIRST_PORT + index as u16);
        let source = self
            .random
            .percent(60)
            .then(|| self.endpoints.last().map(|endpoint| endpoint.listed.uid.clone()));
        let outcome = match self.random.below(20) {
            0 | 1 => LookupOutcome::Rejected,
            2 | 3 => LookupOutcome::Failed,
            // The address of another endpoint.
            4 => LookupOutcome::Endpoint { uid, port: port + 1, source: None, retention: 0 },
            _ => LookupOutcome::Endpoint { uid, port, source: source.flatten(), retention: 2 },
        };
        let delay = self.random.between(1, 20) * MICROS_PER_MS;
        self.schedule(delay, ScheduledEvent::Apply(Stimulus::LookedUp { request, outcome }));
    }

    fn answer_probe(&mut self, uid: String) {
        let health =
            self.endpoints.iter().find(|endpoint| endpoint.listed.uid == uid).map(|endpoint| endpoint.health);
        let healthy = match health {
            Some(Health::Good | Health::Slow) => Some(true),
            Some(Health::Failing | Health::AtCapacity) => Some(false),
            Some(Health::Dead) | None => None,
        };
        let delay = self.random.between(2, 60) * MICROS_PER_MS;
        self.schedule(delay, ScheduledEvent::Apply(Stimulus::Probed { uid, healthy }));
    }

    fn send_purge(&mut self) {
        let object = 1 + self.random.below(OBJECTS);
        let group = (object % GROUPS) as u32;
        let object = (!self.random.percent(25)).then_some(object);
        let at = self.now - self.random.below(80 * MICROS_PER_MS);
        self.apply(Stimulus::Purge { object, group, at });
        let delay = self.random.between(80, 600) * MICROS_PER_MS;
        self.schedule(delay, ScheduledEvent::Purge);
    }

    /// Changes the health or the list entry of an endpoint, the settings, or the process.
    fn apply_change(&mut self) {
        let index = self.random.below(self.endpoints.len() as u64) as usize;
        match self.random.below(28) {
            0..=4 => self.endpoints[index].health = Health::Good,
            5..=7 => self.endpoints[index].health = Health::Slow,
            8..=10 => self.endpoints[index].health = Health::Failing,
            11..=13 => self.endpoints[index].health = Health::Dead,
            14 => self.endpoints[index].health = Health::AtCapacity,
            15 => self.set_listed_state(index, ListedState::Draining),
            16 => self.set_listed_state(index, ListedState::Gone),
            17 | 18 => self.set_listed_state(index, ListedState::Ready),
            19 => self.restart(index),
            20 => self.replace(index),
            21 => self.send_entry_without_address(index),
            22 | 23 => self.send_full_list(),
            24 => self.change_settings(),
            25 => self.error_burst_until = self.now + self.random.between(1_000, 4_000) * MICROS_PER_MS,
            _ => self.hand_over(),
        }
        let delay = self.random.between(20, 160) * MICROS_PER_MS;
        self.schedule(delay, ScheduledEvent::Change);
    }

    fn set_listed_state(&mut self, index: usize, state: ListedState) {
        self.endpoints[index].listed.state = state;
        self.send_entry(index);
    }

    fn restart(&mut self, index: usize) {
        let now = self.now;
        let endpoint = &mut self.endpoints[index];
        endpoint.health = Health::Good;
        endpoint.listed.state = ListedState::Ready;
        endpoint.listed.started = now;
        self.send_entry(index);
    }

    /// Lets another endpoint take over an address; no update says that the earlier one is gone.
    fn replace(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.generation += 1;
        endpoint.listed.uid = format!("host-{index}-{}", endpoint.generation);
        self.restart(index);
    }

    fn send_entry(&mut self, index: usize) {
        let entries = vec![self.endpoints[index].listed.clone()];
        self.apply(Stimulus::EndpointList { is_full_list: false, entries });
    }

    fn send_entry_without_address(&mut self, index: usize) {
        let listed = EndpointSpec { port: None, ..self.endpoints[index].listed.clone() };
        self.apply(Stimulus::EndpointList { is_full_list: false, entries: vec![listed] });
    }

    /// Sends the full endpoint list without the endpoints that are gone, and sometimes without one
    /// or two more.
    fn send_full_list(&mut self) {
        let left_out = self.random.below(3 * self.endpoints.len() as u64) as usize;
        let listed_endpoints = self.endpoints.iter().enumerate().filter(|(index, endpoint)| {
            endpoint.listed.state != ListedState::Gone && *index != left_out && *index + 1 != left_out
        });
        let entries = listed_endpoints.map(|(_, endpoint)| endpoint.listed.clone()).collect();
        self.apply(Stimulus::EndpointList { is_full_list: true, entries });
    }

    fn change_settings(&mut self) {
        let later = self.random.percent(50);
        let Deployment { settings, settings_later, .. } = self.deployment;
        self.apply(Stimulus::Settings(if later { settings_later } else { settings }));
    }

    /// Hands over to another core. Attempts and timers of the earlier core end with it.
    fn hand_over(&mut self) {
        let is_kept = |event: &ScheduledEvent| {
            matches!(event, ScheduledEvent::Arrival | ScheduledEvent::Change | ScheduledEvent::Purge)
        };
        self.scheduled.retain(|_, event| is_kept(event));
        let (client, request) = self.draw_request();
        let last = self.random.percent(70).then_some((client, request));
        self.apply(Stimulus::HandOver { last });
        assert!(self.waiting.is_empty(), "{} clients without a reply after the handover", self.waiting.len());
    }
}

/// Three edge caches and a parent cache in each of two zones, and an origin.
fn endpoints() -> Vec<TestEndpoint> {
    let endpoint = |index: usize| {
        let listed = EndpointSpec {
            uid: format!("host-{index}-0"),
            cell: (index % 2) as u16,
            zone: [0, 0, 0, 1, 1, 1, 0, 1, 0][index],
            kind: [0, 0, 0, 0, 0, 0, PARENT, PARENT, ORIGIN][index],
            weight: [3.0, 4.0, 6.0, 4.0, 4.0, 5.0, 12.0, 12.0, 20.0][index],
            state: ListedState::Ready,
            started: 0,
            port: Some(FIRST_PORT + index as u16),
        };
        TestEndpoint { listed, health: Health::Good, generation: 0 }
    };
    (0..9).map(endpoint).collect()
}
