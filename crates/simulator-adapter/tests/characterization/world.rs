//! A small closed world around one instance of the decision module: clients, hosts, purges and the list of hosts,
//! all drawn from one seed.

use super::frames::{Action, Adapter, AttemptFields, Batch, ListedHost, OutcomeFields, RequestFields};
use std::collections::{BTreeMap, BTreeSet};

const MS: u64 = 1_000;
const START: u64 = 1_000_000 * MS;
const OBJECTS: u64 = 12;
/// The longest time between two arrivals, in milliseconds: in most worlds, and in crowded ones.
const USUAL_GAP: u64 = 70;
const CROWDED_GAP: u64 = 8;
const GROUPS: u64 = 3;
const PARENT: u16 = 1;
const ORIGIN: u16 = 2;
/// The connection time-out of all settings.
pub const CONNECT_TIMEOUT: u64 = 200 * MS;

const OK: u8 = 0;
const MISS: u8 = 1;
const MOOT: u8 = 249;
const CANCELLED: u8 = 250;
const RESET: u8 = 251;
const CONNECT_FAILED: u8 = 252;
const TIMEOUT: u8 = 253;
const FULL: u8 = 254;
const ERROR: u8 = 255;

const NOTE_NONE: u8 = 0;
const NOTE_HIT: u8 = 1;
const NOTE_FILLED: u8 = 2;
const NOTE_FILLED_BY_ORIGIN: u8 = 3;
const NOTE_JOINED: u8 = 4;
const NOTE_STALE: u8 = 5;
const NOTE_SOURCE_REFUSED: u8 = 6;
const NOTE_SOURCE_UNREACHABLE: u8 = 7;
const NOTE_SOURCE_LACKS: u8 = 8;
const NOTE_NO_FILL_PLACE: u8 = 9;
const NOTE_ORIGIN_FAILED: u8 = 10;

const GONE: u8 = 0;
const READY: u8 = 1;
const DRAINING: u8 = 2;

const LIST_CHANGES: u8 = 0;
const LIST_ALL: u8 = 1;
const LIST_REMEMBERED: u8 = 2;

/// Which notes the outcomes of a deployment carry.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Notes {
    Nothing,
    Hits,
    All,
}

/// A class of requests as the clients of a world use it.
pub struct ClassUse {
    pub patience: u64,
    pub writes: bool,
    pub streams: bool,
}

/// Settings, and what the world has to know of them.
pub struct Deployment {
    pub settings: &'static str,
    pub classes: &'static [ClassUse],
    pub notes: Notes,
    pub sizes_told: bool,
}

/// How often the module was seen to do, and was told, what the digest has to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub attempts: u32,
    pub retries: u32,
    pub with_source: u32,
    pub hedges: u32,
    pub bounded_age: u32,
    pub cancels: u32,
    pub probes: u32,
    pub subscriptions: u32,
    pub refusals: u32,
    pub failures: u32,
    pub timers: u32,
    pub purges_told: u32,
    pub drains_told: u32,
    pub restarts_told: u32,
}

/// SplitMix64.
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
    Full,
}

struct Host {
    listed: ListedHost,
    health: Health,
    outstanding: u64,
}

struct Attempt {
    fields: AttemptFields,
    sent: u64,
}

struct Open {
    class: usize,
    object: u64,
    part: u64,
    attempts: u16,
    closed: bool,
    out: BTreeMap<u16, Attempt>,
}

/// How an attempt will end, if nothing comes in between.
struct Ending {
    after: u64,
    status: u8,
    note: u8,
}

impl Ending {
    fn new(after: u64, status: u8, note: u8) -> Ending {
        Ending { after, status, note }
    }
}

#[derive(Clone, Copy)]
enum Due {
    Arrival,
    Change,
    Purge,
    Timer(u64),
    Probed(u64),
    Started { request: u32, attempt: u16 },
    Outcome { request: u32, attempt: u16, status: u8, note: u8 },
    Withdrawal(u32),
    List,
}

/// One sequence of events.
pub struct World<'a> {
    adapter: &'a mut Adapter,
    deployment: &'a Deployment,
    counts: &'a mut Counts,
    random: Random,
    instance: u16,
    now: u64,
    hosts: Vec<Host>,
    copies: BTreeSet<(u64, u64, u64)>,
    open: BTreeMap<u32, Open>,
    due: BTreeMap<(u64, u64), Due>,
    serial: u64,
    next_request: u32,
    burst: u64,
    /// The longest time between two arrivals, in milliseconds.
    longest_gap: u64,
    /// Until then most attempts fail at once, wherever they go.
    storm_until: u64,
}

impl<'a> World<'a> {
    pub fn new(
        adapter: &'a mut Adapter,
        deployment: &'a Deployment,
        counts: &'a mut Counts,
        instance: u16,
        seed: u64,
    ) -> World<'a> {
        let mut random = Random(seed);
        let mut world = World {
            adapter,
            deployment,
            counts,
            instance,
            now: START,
            hosts: hosts(),
            copies: BTreeSet::new(),
            open: BTreeMap::new(),
            due: BTreeMap::new(),
            serial: 0,
            next_request: 1,
            burst: 0,
            longest_gap: if random.percent(20) { CROWDED_GAP } else { USUAL_GAP },
            storm_until: 0,
            random,
        };
        world.begin(seed);
        world
    }

    fn begin(&mut self, seed: u64) {
        let mut batch = Batch::default();
        batch.create(self.instance, seed, self.deployment.settings);
        let how = if self.random.percent(20) { LIST_REMEMBERED } else { LIST_ALL };
        let listed: Vec<ListedHost> = self.hosts.iter().map(|host| host.listed).collect();
        batch.hosts(self.instance, how, &listed);
        self.tell(&batch);
        self.schedule(MS, Due::Arrival);
        self.schedule(60 * MS, Due::Change);
        self.schedule(150 * MS, Due::Purge);
    }

    /// Plays so many events, then ends the instance.
    pub fn play(mut self, events: usize) {
        for _ in 0..events {
            let Some(((at, _), due)) = self.due.pop_first() else { break };
            self.now = self.now.max(at);
            self.happen(due);
        }
        let mut batch = Batch::default();
        batch.power_off(self.instance);
        self.tell(&batch);
    }

    fn schedule(&mut self, after: u64, due: Due) {
        self.serial += 1;
        self.due.insert((self.now + after, self.serial), due);
    }

    fn tell(&mut self, batch: &Batch) {
        for action in self.adapter.exchange(self.now, batch) {
            self.obey(action);
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrival => self.arrive(),
            Due::Change => self.change(),
            Due::Purge => self.purge(),
            Due::Timer(token) => {
                let mut batch = Batch::default();
                batch.timer(self.instance, token);
                self.tell(&batch);
            }
            Due::Probed(host) => self.probed(host),
            Due::Started { request, attempt } => self.started(request, attempt),
            Due::Outcome { request, attempt, status, note } => self.outcome(request, attempt, status, note),
            Due::Withdrawal(request) => self.withdraw(request),
            Due::List => self.list(),
        }
    }

    fn obey(&mut self, action: Action) {
        match action {
            Action::Attempt(fields) => self.send(fields),
            Action::Cancel { request, attempt } => {
                self.counts.cancels += 1;
                let due = Due::Outcome { request, attempt, status: CANCELLED, note: NOTE_NONE };
                self.schedule(0, due);
            }
            Action::Refuse { request } => {
                self.counts.refusals += 1;
                self.close(request);
            }
            Action::Fail { request } => {
                self.counts.failures += 1;
                self.close(request);
            }
            Action::Timer { after, token } => {
                self.counts.timers += 1;
                self.schedule(u64::from(after), Due::Timer(token));
            }
            Action::FetchHosts => self.schedule(20 * MS, Due::List),
            Action::Subscribe => {
                self.counts.subscriptions += 1;
                self.schedule(20 * MS, Due::List);
            }
            Action::Probe { host } => {
                self.counts.probes += 1;
                let after = self.random.between(2, 60) * MS;
                self.schedule(after, Due::Probed(host));
            }
            Action::Other => {}
        }
    }

    fn close(&mut self, request: u32) {
        if let Some(open) = self.open.get_mut(&request) {
            open.closed = true;
        }
    }

    fn arrive(&mut self) {
        let id = self.next_request;
        self.next_request += 1;
        let class = self.random.below(self.deployment.classes.len() as u64) as usize;
        let usage = &self.deployment.classes[class];
        // Two draws, the smaller one taken: some objects are asked for more often than others.
        let object = 1 + self.random.below(OBJECTS).min(self.random.below(OBJECTS));
        let part = self.random.below(2);
        let patience = usage.patience / 2 + self.random.below(usage.patience / 2);
        let size_kb = if self.deployment.sizes_told { self.random.between(4, 400) as f32 } else { 0.0 };
        let repeat = self.random.percent(5);
        let fields = RequestFields {
            id,
            size_kb,
            part: part as f32,
            class: class as u16,
            object,
            deadline: self.now + patience,
            group: (object % GROUPS) as f32,
            flags: u8::from(repeat) << 1 | u8::from(usage.writes) << 2,
        };
        let open = Open { class, object, part, attempts: 0, closed: false, out: BTreeMap::new() };
        self.open.insert(id, open);
        if self.random.percent(8) {
            let after = self.random.below(patience);
            self.schedule(after, Due::Withdrawal(id));
        }
        let mut batch = Batch::default();
        batch.request(self.instance, &fields);
        self.tell(&batch);
        self.schedule_arrival();
    }

    fn schedule_arrival(&mut self) {
        if self.burst == 0 && self.random.percent(4) {
            self.burst = self.random.between(6, 60);
        }
        self.burst = self.burst.saturating_sub(1);
        let gap = if self.burst > 0 { 400 } else { self.random.between(1, self.longest_gap) * MS };
        self.schedule(gap, Due::Arrival);
    }

    fn send(&mut self, fields: AttemptFields) {
        let request = fields.request;
        let open = self.open.get_mut(&request).expect("an attempt of a known request");
        self.counts.attempts += 1;
        self.counts.retries += u32::from(open.attempts > 0);
        self.counts.hedges += u32::from(!open.out.is_empty());
        self.counts.with_source += u32::from(fields.source != fields.host);
        self.counts.bounded_age += u32::from(fields.max_age != 0);
        let attempt = open.attempts;
        open.attempts += 1;
        open.out.insert(attempt, Attempt { fields: fields.clone(), sent: self.now });
        let (class, object, part) = (open.class, open.object, open.part);
        let ending = self.ending(&fields, class, object, part);
        if let Some(host) = self.host(fields.host) {
            host.outstanding += 1;
        }
        if self.deployment.classes[class].streams && ending.status == OK {
            self.schedule(ending.after / 2, Due::Started { request, attempt });
        }
        let due = Due::Outcome { request, attempt, status: ending.status, note: ending.note };
        self.schedule(ending.after, due);
    }

    fn host(&mut self, id: u64) -> Option<&mut Host> {
        self.hosts.iter_mut().find(|host| host.listed.id == id)
    }

    fn ending(&mut self, fields: &AttemptFields, class: usize, object: u64, part: u64) -> Ending {
        let timeout = u64::from(fields.timeout);
        let ending = self.answer(fields, class, object, part);
        if ending.after > timeout {
            return Ending::new(timeout, TIMEOUT, NOTE_NONE);
        }
        let note = match self.deployment.notes {
            Notes::Nothing => NOTE_NONE,
            Notes::Hits if ending.note > NOTE_STALE => NOTE_NONE,
            _ => ending.note,
        };
        Ending { note, ..ending }
    }

    fn answer(&mut self, fields: &AttemptFields, class: usize, object: u64, part: u64) -> Ending {
        let Some(host) = self.host(fields.host) else { return Ending::new(MS, CONNECT_FAILED, NOTE_NONE) };
        let (health, kind, outstanding) = (host.health, host.listed.kind, host.outstanding);
        let (state, room) = (host.listed.state, 2 * host.listed.weight as u64 + 4);
        let chance = self.random.below(100);
        let after = self.service_time(kind, health, outstanding);
        if self.now < self.storm_until && chance >= 30 {
            // Errors tell against a host, misses don't.
            return Ending::new(3 * MS, if chance < 55 { ERROR } else { MISS }, NOTE_NONE);
        }
        if state == GONE || health == Health::Dead {
            let after = if chance < 50 { MS } else { CONNECT_TIMEOUT };
            return Ending::new(after, CONNECT_FAILED, NOTE_NONE);
        }
        if health == Health::Full && chance < 70 || outstanding > room {
            return Ending::new(2 * MS, FULL, NOTE_NONE);
        }
        match (health, chance) {
            (Health::Failing, 0..45) | (_, 0..2) => return Ending::new(after, ERROR, NOTE_NONE),
            (Health::Failing, 45..65) | (_, 2..4) => return Ending::new(after, RESET, NOTE_NONE),
            (_, 4) => return Ending::new(MS, MOOT, NOTE_NONE),
            (_, 5..7) => return Ending::new(u64::from(fields.timeout) + 1, TIMEOUT, NOTE_NONE),
            _ => {}
        }
        if self.deployment.classes[class].writes || kind != 0 {
            return Ending::new(after, OK, NOTE_NONE);
        }
        if self.copies.contains(&(fields.host, object, part)) {
            let stale = fields.max_age != 0 && chance < 40;
            return Ending::new(after, OK, if stale { NOTE_STALE } else { NOTE_HIT });
        }
        self.fill(fields, object, part, after, chance)
    }

    fn service_time(&mut self, kind: u16, health: Health, outstanding: u64) -> u64 {
        let base = match kind {
            ORIGIN => self.random.between(50, 180),
            PARENT => self.random.between(15, 60),
            _ => self.random.between(4, 25),
        };
        let slow = if health == Health::Slow { 15 } else { 1 };
        base * MS * slow * (4 + outstanding) / 4
    }

    /// A cache that has no copy fills from its source, if it was named one.
    fn fill(&mut self, fields: &AttemptFields, object: u64, part: u64, after: u64, chance: u64) -> Ending {
        if fields.source == fields.host {
            let note = if chance < 30 { NOTE_JOINED } else { NOTE_NONE };
            return Ending::new(after, MISS, note);
        }
        if chance < 10 {
            return Ending::new(after, FULL, NOTE_NO_FILL_PLACE);
        }
        let Some(source) = self.host(fields.source) else {
            return Ending::new(after, FULL, NOTE_SOURCE_UNREACHABLE);
        };
        let (health, kind, outstanding) = (source.health, source.listed.kind, source.outstanding);
        let shallow = fields.flags & 2 != 0;
        let lacks = !self.copies.contains(&(fields.source, object, part)) && kind != ORIGIN;
        let after = after + self.service_time(kind, health, outstanding);
        match health {
            Health::Dead => return Ending::new(after, FULL, NOTE_SOURCE_UNREACHABLE),
            Health::Full => return Ending::new(after, FULL, NOTE_SOURCE_REFUSED),
            Health::Failing => return Ending::new(after, ERROR, NOTE_ORIGIN_FAILED),
            Health::Good | Health::Slow => {}
        }
        if lacks && (shallow || kind == 0) {
            return Ending::new(after, MISS, NOTE_SOURCE_LACKS);
        }
        if fields.keep > 0 {
            self.copies.insert((fields.host, object, part));
        }
        if kind == PARENT {
            self.copies.insert((fields.source, object, part));
        }
        let joined = fields.flags & 1 != 0 && chance < 30;
        let note = match (joined, lacks || kind == ORIGIN) {
            (true, _) => NOTE_JOINED,
            (false, true) => NOTE_FILLED_BY_ORIGIN,
            (false, false) => NOTE_FILLED,
        };
        Ending::new(after, OK, note)
    }

    fn started(&mut self, request: u32, attempt: u16) {
        let out = self.open.get(&request).filter(|open| !open.closed && open.out.contains_key(&attempt));
        if out.is_some() {
            let mut batch = Batch::default();
            batch.started(self.instance, request, attempt);
            self.tell(&batch);
        }
    }

    fn outcome(&mut self, request: u32, attempt: u16, status: u8, note: u8) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(ended) = open.out.remove(&attempt) else { return };
        open.closed |= status == OK;
        let fields = OutcomeFields {
            request,
            host: ended.fields.host,
            latency: (self.now - ended.sent) as u32,
            attempt,
            status,
            ended: open.closed,
            note,
        };
        if let Some(host) = self.host(ended.fields.host) {
            host.outstanding = host.outstanding.saturating_sub(1);
        }
        let mut batch = Batch::default();
        batch.outcome(self.instance, &fields);
        self.tell(&batch);
    }

    fn withdraw(&mut self, request: u32) {
        let Some(open) = self.open.get_mut(&request).filter(|open| !open.closed) else { return };
        open.closed = true;
        let mut batch = Batch::default();
        batch.withdrawn(self.instance, request);
        self.tell(&batch);
    }

    fn probed(&mut self, id: u64) {
        let status = match self.host(id).map(|host| host.health) {
            Some(Health::Good | Health::Slow) => OK,
            Some(Health::Full) => FULL,
            Some(Health::Failing) => ERROR,
            Some(Health::Dead) | None => TIMEOUT,
        };
        let mut batch = Batch::default();
        batch.probed(self.instance, id, status);
        self.tell(&batch);
    }

    fn purge(&mut self) {
        self.counts.purges_told += 1;
        let object = 1 + self.random.below(OBJECTS);
        let group = object % GROUPS;
        let whole_group = self.random.percent(25);
        self.copies.retain(|copy| if whole_group { copy.1 % GROUPS != group } else { copy.1 != object });
        let since = self.random.below(80 * MS) as u32;
        let mut batch = Batch::default();
        batch.purge(self.instance, since, group as u16, if whole_group { 0 } else { object });
        self.tell(&batch);
        let after = self.random.between(80, 600) * MS;
        self.schedule(after, Due::Purge);
    }

    fn list(&mut self) {
        let mut batch = Batch::default();
        if self.random.percent(15) {
            batch.hosts_failed(self.instance);
        } else {
            let all = self.hosts.iter().map(|host| host.listed);
            let there: Vec<ListedHost> = all.filter(|listed| listed.state != GONE).collect();
            batch.hosts(self.instance, LIST_ALL, &there);
        }
        self.tell(&batch);
    }

    /// One host's health or its line in the list changes.
    fn change(&mut self) {
        let place = self.random.below(self.hosts.len() as u64) as usize;
        match self.random.below(30) {
            0..=4 => self.hosts[place].health = Health::Good,
            5..=10 => self.hosts[place].health = Health::Slow,
            11..=13 => self.hosts[place].health = Health::Failing,
            14..=16 => self.hosts[place].health = Health::Dead,
            17 => self.hosts[place].health = Health::Full,
            18 | 19 => self.relist(place, DRAINING),
            20 => self.relist(place, GONE),
            21..=23 => self.relist(place, READY),
            24..=26 => self.restart(place),
            27 => self.storm_until = self.now + self.random.between(1_000, 3_000) * MS,
            _ => self.list(),
        }
        let after = self.random.between(20, 160) * MS;
        self.schedule(after, Due::Change);
    }

    fn relist(&mut self, place: usize, state: u8) {
        self.counts.drains_told += u32::from(state == DRAINING);
        self.hosts[place].listed.state = state;
        self.tell_line(place);
    }

    /// A host starts anew: it is empty, and what it was asked for is lost.
    fn restart(&mut self, place: usize) {
        self.counts.restarts_told += 1;
        let now = self.now;
        let host = &mut self.hosts[place];
        host.health = Health::Good;
        host.listed.state = READY;
        host.listed.started = now;
        let id = host.listed.id;
        self.copies.retain(|copy| copy.0 != id);
        let mut lost = Vec::new();
        for (request, open) in &self.open {
            let here = open.out.iter().filter(|(_, attempt)| attempt.fields.host == id);
            lost.extend(here.map(|(number, _)| (*request, *number)));
        }
        for (request, attempt) in lost {
            self.schedule(MS, Due::Outcome { request, attempt, status: RESET, note: NOTE_NONE });
        }
        self.tell_line(place);
    }

    fn tell_line(&mut self, place: usize) {
        let mut batch = Batch::default();
        batch.hosts(self.instance, LIST_CHANGES, &[self.hosts[place].listed]);
        self.tell(&batch);
    }
}

/// Three caches in each of two zones, a parent in each, and an origin.
fn hosts() -> Vec<Host> {
    let host = |place: u64| {
        let kind = [0, 0, 0, 0, 0, 0, PARENT, PARENT, ORIGIN][place as usize];
        let listed = ListedHost {
            id: Random(place).next() >> 16,
            cell: (place % 2) as u16,
            zone: [0, 0, 0, 1, 1, 1, 0, 1, 0][place as usize],
            kind,
            weight: [3.0, 4.0, 6.0, 4.0, 4.0, 5.0, 12.0, 12.0, 20.0][place as usize],
            state: READY,
            started: 0,
        };
        Host { listed, health: Health::Good, outstanding: 0 }
    };
    (0..9).map(host).collect()
}
