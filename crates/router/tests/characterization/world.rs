//! A small closed world around one core: clients, hosts, purges, lookups, changes of the list of hosts and of the
//! settings, and a successor, all drawn from one seed.

use super::adapter::Core;
use super::neutral::*;
use std::collections::{BTreeMap, BTreeSet};

const MS: u64 = 1_000;
const START: u64 = 1_000_000 * MS;
const OBJECTS: u64 = 12;
/// The longest time between two arrivals, in milliseconds: in most worlds, and in crowded ones.
const USUAL_GAP: u64 = 70;
const CROWDED_GAP: u64 = 8;
const GROUPS: u64 = 3;
const CONNECTIONS: u64 = 4;
const PARENT: u16 = 1;
const ORIGIN: u16 = 2;
const FIRST_PORT: u16 = 5_000;

/// A class of requests as the clients of a world use it.
pub struct ClassUse {
    pub name: &'static str,
    pub budget_ms: u64,
    pub has_key: bool,
    pub once: bool,
    pub writes: bool,
}

/// Settings, those that follow them in service, and what the clients have to know of them.
pub struct Deployment {
    pub settings: &'static str,
    pub settings_later: &'static str,
    pub classes: &'static [ClassUse],
}

/// An FNV-1a digest of 64 bits over all lines, and how often each kind of effect occurred.
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
    line: HostLine,
    health: Health,
    generation: u32,
}

enum Due {
    Arrival,
    Change,
    Purge,
    Tell(Stimulus),
}

/// One sequence of events.
pub struct World<'a> {
    core: Core,
    deployment: &'a Deployment,
    record: &'a mut Record,
    random: Random,
    now: u64,
    hosts: Vec<Host>,
    owed: BTreeSet<Caller>,
    past_ids: Vec<u64>,
    due: BTreeMap<(u64, u64), Due>,
    serial: u64,
    burst: u64,
    /// The longest time between two arrivals, in milliseconds.
    longest_gap: u64,
    /// Until then most attempts fail at once, wherever they go.
    storm_until: u64,
}

impl<'a> World<'a> {
    pub fn new(deployment: &'a Deployment, record: &'a mut Record, seed: u64) -> World<'a> {
        let mut random = Random(seed);
        let names: Vec<&str> = deployment.classes.iter().map(|class| class.name).collect();
        let longest_gap = if random.percent(20) { CROWDED_GAP } else { USUAL_GAP };
        let follows = random.percent(15);
        let core = Core::new(deployment.settings, &names, seed, follows);
        World {
            core,
            deployment,
            record,
            random,
            now: START,
            hosts: hosts(),
            owed: BTreeSet::new(),
            past_ids: Vec::new(),
            due: BTreeMap::new(),
            serial: 0,
            burst: 0,
            longest_gap,
            storm_until: 0,
        }
    }

    /// Plays so many events, then ends the core.
    pub fn play(mut self, events: usize) {
        self.tell_all_hosts();
        self.schedule(MS, Due::Arrival);
        self.schedule(60 * MS, Due::Change);
        self.schedule(150 * MS, Due::Purge);
        for _ in 0..events {
            let Some(((at, _), due)) = self.due.pop_first() else { break };
            self.now = self.now.max(at);
            match due {
                Due::Arrival => self.arrive(),
                Due::Change => self.change(),
                Due::Purge => self.purge(),
                Due::Tell(stimulus) => self.tell(stimulus),
            }
        }
        self.tell(Stimulus::End);
        assert!(self.owed.is_empty(), "clients without an answer at the end");
        let summary = self.core.summary();
        self.record.add(&summary);
    }

    fn schedule(&mut self, after: u64, due: Due) {
        self.schedule_at(self.now + after, due);
    }

    fn schedule_at(&mut self, at: u64, due: Due) {
        self.serial += 1;
        self.due.insert((at, self.serial), due);
    }

    fn tell(&mut self, stimulus: Stimulus) {
        match &stimulus {
            Stimulus::StopWaiting(caller) => self.owed.retain(|owed| owed != caller),
            Stimulus::Leave { connection } => self.owed.retain(|owed| owed.connection != *connection),
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
            Reaction::Replied(caller) => {
                self.owed.remove(&caller);
            }
            Reaction::Wake { at, handle } => self.schedule_at(at, Due::Tell(Stimulus::Wake { handle })),
            Reaction::LookUp { request } => self.answer_lookup(request),
            Reaction::Probe { uid } => self.answer_probe(uid),
            // What a cancelled attempt brings is on its way already; it is heard late.
            Reaction::Nothing => {}
        }
    }

    fn arrive(&mut self) {
        let (caller, asked) = self.draw_request();
        if self.random.percent(15) {
            self.look_up(&asked);
        }
        self.owed.insert(caller);
        let leaves_after = self.random.below(asked.budget_ms.min(2_000)) * MS;
        match self.random.below(100) {
            0..6 => self.schedule(leaves_after, Due::Tell(Stimulus::StopWaiting(caller))),
            6 | 7 => {
                let leave = Stimulus::Leave { connection: caller.connection };
                self.schedule(leaves_after, Due::Tell(leave));
            }
            _ => {}
        }
        self.tell(Stimulus::Ask(caller, asked));
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

    fn draw_request(&mut self) -> (Caller, Asked) {
        self.serial += 1;
        let caller = Caller { connection: self.random.below(CONNECTIONS), tag: self.serial };
        let place = self.random.below(self.deployment.classes.len() as u64) as usize;
        let class = &self.deployment.classes[place];
        let object = 1 + self.random.below(OBJECTS).min(self.random.below(OBJECTS));
        let chance = self.random.below(100);
        let id = match self.past_ids.last() {
            // A client asks once more under an id that was used.
            Some(last) if chance < 5 => *last,
            _ => 1_000 + self.serial,
        };
        self.past_ids.push(id);
        // Now and then a budget that is beyond what the class allows, or a class that there is not.
        let budget_ms = match chance {
            97 => class.budget_ms * 5,
            _ => class.budget_ms / 2 + self.random.below(class.budget_ms / 2),
        };
        let name = if chance == 98 { "unheard-of" } else { class.name };
        let asked = Asked {
            id,
            class: name,
            object,
            part: self.random.below(2) as u32,
            group: (object % GROUPS) as u32,
            budget_ms,
            holds_copy: !class.writes && self.random.percent(15),
            has_key: class.has_key,
            body: if class.writes { 64 } else { 0 },
        };
        (caller, asked)
    }

    /// Somebody who will go there himself asks where to go.
    fn look_up(&mut self, like: &Asked) {
        let Some(class) = self.deployment.classes.iter().find(|class| class.name == like.class) else {
            return;
        };
        let again = self.random.percent(50);
        let id = class.once.then_some(if again { like.id } else { like.id + 1_000_000 });
        let Asked { object, part, group, .. } = *like;
        self.tell(Stimulus::Lookup { class: class.name, object, part, group, id });
    }

    /// A host does what its health allows; the core may have given the attempt up by then.
    fn serve(&mut self, attempt: AttemptName, uid: &str) {
        let host = self.hosts.iter().find(|host| host.line.uid == uid);
        let (health, kind) = host.map_or((Health::Dead, 0), |host| (host.health, host.line.kind));
        let chance = self.random.below(100);
        let after = self.service_time(kind, health);
        let storm = self.now < self.storm_until;
        let (after, stimulus) = match (health, chance) {
            // Errors tell against a host, misses don't.
            (_, 30..55) if storm => (3 * MS, self.answer(attempt, Answer::Failed)),
            (_, 55..) if storm => (3 * MS, self.answer(attempt, Answer::Absent)),
            (Health::Dead, 0..40) => (MS, self.lost(attempt, Loss::Refused)),
            (Health::Dead, 40..70) => (200 * MS, self.lost(attempt, Loss::Unreached)),
            (Health::Dead, _) => return,
            (Health::Full, 0..70) => (2 * MS, self.refusal(attempt)),
            (Health::Failing, 0..40) => (after, self.answer(attempt, Answer::Failed)),
            (Health::Failing, 40..65) | (_, 0..3) => (after, self.lost(attempt, Loss::Broken)),
            (_, 3) => (MS, self.lost(attempt, Loss::Unsent)),
            (_, 4) => (MS, self.answer(attempt, Answer::Moot)),
            (_, 5..8) => (after, self.answer(attempt, Answer::Failed)),
            (_, 8..16) if kind == 0 => (after, self.miss(attempt)),
            (_, 16..22) if kind == 0 => (after, self.refusal(attempt)),
            (_, 22..25) => return,
            _ => (after, self.success(attempt)),
        };
        if self.random.percent(3) {
            let second = self.success(attempt);
            self.schedule(after + 5 * MS, Due::Tell(second));
        }
        self.schedule(after, Due::Tell(stimulus));
    }

    fn service_time(&mut self, kind: u16, health: Health) -> u64 {
        let base = match kind {
            ORIGIN => self.random.between(50, 180),
            PARENT => self.random.between(15, 60),
            _ => self.random.between(4, 40),
        };
        base * MS * if health == Health::Slow { 12 } else { 1 }
    }

    fn lost(&self, attempt: AttemptName, how: Loss) -> Stimulus {
        Stimulus::Lost { attempt, how }
    }

    fn answer(&self, attempt: AttemptName, answer: Answer) -> Stimulus {
        Stimulus::Answer { attempt, answer, note: None }
    }

    fn miss(&mut self, attempt: AttemptName) -> Stimulus {
        let notes = [None, Some(FillNote::Joined), Some(FillNote::SourceLacks)];
        let note = notes[self.random.below(notes.len() as u64) as usize];
        Stimulus::Answer { attempt, answer: Answer::Absent, note }
    }

    fn refusal(&mut self, attempt: AttemptName) -> Stimulus {
        let notes = [
            None,
            Some(FillNote::SourceRefused),
            Some(FillNote::SourceUnreachable),
            Some(FillNote::NoFillPlace),
            Some(FillNote::OriginFailed),
        ];
        let note = notes[self.random.below(notes.len() as u64) as usize];
        Stimulus::Answer { attempt, answer: Answer::Full, note }
    }

    fn success(&mut self, attempt: AttemptName) -> Stimulus {
        let notes = [
            None,
            Some(FillNote::Hit),
            Some(FillNote::Hit),
            Some(FillNote::Filled),
            Some(FillNote::FilledByOrigin),
            Some(FillNote::Joined),
            Some(FillNote::Stale),
        ];
        let note = notes[self.random.below(notes.len() as u64) as usize];
        let length = self.random.between(100, 20_000) as usize;
        let answer = match self.random.below(10) {
            0 => Answer::Unchanged,
            1 | 2 => Answer::Bytes { tagged: false, length },
            _ => Answer::Bytes { tagged: true, length },
        };
        Stimulus::Answer { attempt, answer, note }
    }

    fn answer_lookup(&mut self, request: u32) {
        let place = self.random.below(self.hosts.len() as u64) as usize;
        let line = &self.hosts[place].line;
        let (uid, port) = (line.uid.to_uppercase(), FIRST_PORT + place as u16);
        let source = self.random.percent(60).then(|| self.hosts.last().map(|host| host.line.uid.clone()));
        let found = match self.random.below(20) {
            0 | 1 => LookupAnswer::Refused,
            2 | 3 => LookupAnswer::Failed,
            // An address that is another's.
            4 => LookupAnswer::Host { uid, port: port + 1, source: None, keep: 0 },
            _ => LookupAnswer::Host { uid, port, source: source.flatten(), keep: 2 },
        };
        let after = self.random.between(1, 20) * MS;
        self.schedule(after, Due::Tell(Stimulus::Found { request, found }));
    }

    fn answer_probe(&mut self, uid: String) {
        let health = self.hosts.iter().find(|host| host.line.uid == uid).map(|host| host.health);
        let well = match health {
            Some(Health::Good | Health::Slow) => Some(true),
            Some(Health::Failing | Health::Full) => Some(false),
            Some(Health::Dead) | None => None,
        };
        let after = self.random.between(2, 60) * MS;
        self.schedule(after, Due::Tell(Stimulus::Probed { uid, well }));
    }

    fn purge(&mut self) {
        let object = 1 + self.random.below(OBJECTS);
        let group = (object % GROUPS) as u32;
        let object = (!self.random.percent(25)).then_some(object);
        let at = self.now - self.random.below(80 * MS);
        self.tell(Stimulus::Purge { object, group, at });
        let after = self.random.between(80, 600) * MS;
        self.schedule(after, Due::Purge);
    }

    /// One host's health or line changes, or the settings, or the process.
    fn change(&mut self) {
        let place = self.random.below(self.hosts.len() as u64) as usize;
        match self.random.below(28) {
            0..=4 => self.hosts[place].health = Health::Good,
            5..=7 => self.hosts[place].health = Health::Slow,
            8..=10 => self.hosts[place].health = Health::Failing,
            11..=13 => self.hosts[place].health = Health::Dead,
            14 => self.hosts[place].health = Health::Full,
            15 => self.relist(place, Standing::Draining),
            16 => self.relist(place, Standing::Gone),
            17 | 18 => self.relist(place, Standing::Ready),
            19 => self.restart(place),
            20 => self.replace(place),
            21 => self.tell_shorter(place),
            22 | 23 => self.tell_all_hosts(),
            24 => self.change_settings(),
            25 => self.storm_until = self.now + self.random.between(1_000, 4_000) * MS,
            _ => self.hand_over(),
        }
        let after = self.random.between(20, 160) * MS;
        self.schedule(after, Due::Change);
    }

    fn relist(&mut self, place: usize, state: Standing) {
        self.hosts[place].line.state = state;
        self.tell_line(place);
    }

    fn restart(&mut self, place: usize) {
        let now = self.now;
        let host = &mut self.hosts[place];
        host.health = Health::Good;
        host.line.state = Standing::Ready;
        host.line.started = now;
        self.tell_line(place);
    }

    /// Another host takes the address over; nobody tells that the earlier one has gone.
    fn replace(&mut self, place: usize) {
        let host = &mut self.hosts[place];
        host.generation += 1;
        host.line.uid = format!("host-{place}-{}", host.generation);
        self.restart(place);
    }

    fn tell_line(&mut self, place: usize) {
        let lines = vec![self.hosts[place].line.clone()];
        self.tell(Stimulus::Hosts { all: false, lines });
    }

    fn tell_shorter(&mut self, place: usize) {
        let line = HostLine { port: None, ..self.hosts[place].line.clone() };
        self.tell(Stimulus::Hosts { all: false, lines: vec![line] });
    }

    /// The whole list; what has gone is not in it, and sometimes more is left out.
    fn tell_all_hosts(&mut self) {
        let left_out = self.random.below(3 * self.hosts.len() as u64) as usize;
        let there = self.hosts.iter().enumerate().filter(|(place, host)| {
            host.line.state != Standing::Gone && *place != left_out && *place + 1 != left_out
        });
        let lines = there.map(|(_, host)| host.line.clone()).collect();
        self.tell(Stimulus::Hosts { all: true, lines });
    }

    fn change_settings(&mut self) {
        let later = self.random.percent(50);
        let Deployment { settings, settings_later, .. } = self.deployment;
        self.tell(Stimulus::Settings(if later { settings_later } else { settings }));
    }

    /// Another core goes on in this one's place. What was under way ends with the earlier one.
    fn hand_over(&mut self) {
        let kept = |due: &Due| matches!(due, Due::Arrival | Due::Change | Due::Purge);
        self.due.retain(|_, due| kept(due));
        let (caller, asked) = self.draw_request();
        let last = self.random.percent(70).then_some((caller, asked));
        self.tell(Stimulus::HandOver { last });
        assert!(self.owed.is_empty(), "clients without an answer at the handing over");
    }
}

/// Three caches in each of two zones, a parent in each, and an origin.
fn hosts() -> Vec<Host> {
    let host = |place: usize| {
        let line = HostLine {
            uid: format!("host-{place}-0"),
            cell: (place % 2) as u16,
            zone: [0, 0, 0, 1, 1, 1, 0, 1, 0][place],
            kind: [0, 0, 0, 0, 0, 0, PARENT, PARENT, ORIGIN][place],
            weight: [3.0, 4.0, 6.0, 4.0, 4.0, 5.0, 12.0, 12.0, 20.0][place],
            state: Standing::Ready,
            started: 0,
            port: Some(FIRST_PORT + place as u16),
        };
        Host { line, health: Health::Good, generation: 0 }
    };
    (0..9).map(host).collect()
}
