//! Many routers to an endpoint, each of which sees a few requests a second: no bench, fixed seeds.

use hollymux_decision::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const START: Timestamp = Timestamp::from_micros(1_000_000_000);
const PARENT: u16 = 1;
const ORIGIN: u16 = 2;
const CACHES: std::ops::RangeInclusive<u64> = 1..=7;
const PARENTS: std::ops::RangeInclusive<u64> = 21..=28;

fn settings(here: u32, all: u32) -> Settings {
    let class = RequestClass {
        latency_objective: Duration::from_millis(500),
        latency_objective_stretch: 1.6,
        deadline: Duration::from_secs(5),
        idempotency: Idempotency::Idempotent,
        scope: DeduplicationScope::All,
        ..RequestClass::default()
    };
    Settings {
        classes: vec![class],
        router_count: all,
        router_count_by_zone: vec![here, all - here],
        parent_kind: Some(PARENT),
        origin_kind: Some(ORIGIN),
        coalesce_fills: true,
        sibling_caches: SiblingCaches::Location,
        cache_status_reporting: CacheStatusReporting::All,
        weights: ListedWeights::Size,
        flow_kb_per_s: 1_000.0,
        purge_done: Duration::from_secs(6),
        warm_up_floor: 0.22,
        warm_up_period: Duration::from_secs(18),
        overload_multiple: 4.0,
        overload_window: Duration::from_secs(1),
        parent_warm_up_floor: 0.07,
        parent_warm_up_period: Duration::from_secs(20),
        parent_overload_multiple: 2.0,
        max_attempts: 6,
        cancel: true,
        retry_after: true,
        max_retry_after: Duration::from_millis(400),
        connect_timeout: Duration::from_millis(400),
        ..Settings::default()
    }
}

fn line(id: u64, zone: u16, kind: u16, weight: f64) -> EndpointEntry {
    EndpointEntry { id: EndpointId(id), zone, kind, weight, ..EndpointEntry::default() }
}

/// Seven caches here, eight parents at two hubs (zones 2 and 3), an origin.
fn fleet() -> Vec<EndpointEntry> {
    let caches = CACHES.map(|i| line(i, 0, 0, 4.0));
    let parents = PARENTS.map(|i| line(i, if i < 25 { 2 } else { 3 }, PARENT, 40.0));
    caches.chain(parents).chain([line(31, 2, ORIGIN, 100.0)]).collect()
}

struct Bed {
    control: DecisionModule,
    now: Timestamp,
    next: RequestId,
}

#[derive(Clone, Debug)]
struct Sent {
    id: RequestId,
    attempt: u16,
    endpoint: u64,
    source: Option<u64>,
}

impl Bed {
    fn new(settings: Settings, seed: u64) -> Bed {
        let control = DecisionModule::new(settings, seed).unwrap();
        let mut bed = Bed { control, now: START, next: 0 };
        bed.event(Event::EndpointList { kind: ListKind::Cached, entries: fleet() });
        bed
    }

    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.control.handle(self.now, event, &mut actions);
        actions
    }

    /// A request of 0.2 s of sending.
    fn ask(&mut self, object: u64) -> Vec<Action> {
        self.next += 1;
        self.event(Event::Request(Request {
            id: self.next,
            object,
            size_kb: Some(200.0),
            deadline: self.now + Duration::from_secs(5),
            ..Request::default()
        }))
    }

    fn end(
        &mut self,
        s: &Sent,
        status: AttemptStatus,
        note: Option<CacheStatus>,
        latency: Duration,
    ) -> Vec<Action> {
        self.event(Event::AttemptOutcome(AttemptOutcome {
            request: s.id,
            attempt: s.attempt,
            endpoint: EndpointId(s.endpoint),
            latency,
            status,
            ended: status == AttemptStatus::Ok,
            note,
            work: None,
        }))
    }

    fn serve(&mut self, object: u64, note: CacheStatus) -> Option<Sent> {
        let s = sent(&self.ask(object), 0)?;
        self.end(&s, AttemptStatus::Ok, Some(note), Duration::from_millis(250));
        Some(s)
    }
}

fn attempts(actions: &[Action]) -> Vec<Sent> {
    let attempt = |a: &Action| match a {
        Action::Attempt { request, endpoint, fill, .. } => {
            Some(Sent { id: *request, attempt: 0, endpoint: endpoint.0, source: fill.source.map(|s| s.0) })
        }
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

fn sent(actions: &[Action], attempt: u16) -> Option<Sent> {
    attempts(actions).pop().map(|s| Sent { attempt, ..s })
}

/// What a router at seven requests a second did: attempts in order with the time, and calls off.
#[derive(Default)]
struct Seen {
    asked: usize,
    sent: Vec<(Timestamp, Sent)>,
    cancelled: usize,
}

/// Plays one router: a request every 140 ms; `fate` says after how long an attempt is answered; those that
/// are not time out.
fn play(bed: &mut Bed, span: Duration, mut fate: impl FnMut(usize, &Sent) -> Option<Duration>) -> Seen {
    let mut seen = Seen::default();
    let mut due: Vec<(Timestamp, u64)> = Vec::new();
    let mut open: Vec<(Timestamp, Timestamp, Sent)> = Vec::new();
    let mut tries: BTreeMap<RequestId, u16> = BTreeMap::new();
    let end = bed.now + span;
    while bed.now < end {
        bed.now += Duration::from_millis(10);
        let now = bed.now;
        let mut acts = Vec::new();
        if now.as_micros() % 140_000 < 10_000 {
            acts = bed.ask(seen.asked as u64);
            seen.asked += 1;
        }
        let (fire, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|t| t.0 <= now);
        due = later;
        acts.extend(fire.into_iter().flat_map(|(_, token)| bed.event(Event::Timer { token })));
        let (done, later): (Vec<_>, Vec<_>) = open.into_iter().partition(|o| o.0 <= now);
        open = later;
        for (_, began, s) in done {
            let ok = now < began + Duration::from_secs(5);
            let status = if ok { AttemptStatus::Ok } else { AttemptStatus::Timeout };
            acts.extend(bed.end(&s, status, ok.then_some(CacheStatus::Hit), now.duration_since(began)));
        }
        while !acts.is_empty() {
            due.extend(timers(&acts, now));
            for mut s in attempts(&acts) {
                s.attempt = *tries.entry(s.id).and_modify(|n| *n += 1).or_insert(0);
                let answer = now + fate(seen.sent.len(), &s).unwrap_or(Duration::from_secs(5));
                seen.sent.push((now, s.clone()));
                open.push((answer, now, s));
            }
            let mut more = Vec::new();
            for a in &acts {
                let Action::Cancel { request, attempt } = a else { continue };
                let called = |o: &(Timestamp, Timestamp, Sent)| o.2.id == *request && o.2.attempt == *attempt;
                if let Some(i) = open.iter().position(called) {
                    let (_, began, s) = open.swap_remove(i);
                    seen.cancelled += 1;
                    more.extend(bed.end(&s, AttemptStatus::Cancelled, None, now.duration_since(began)));
                }
            }
            acts = more;
        }
    }
    seen
}

fn timers(actions: &[Action], at: Timestamp) -> Vec<(Timestamp, u64)> {
    let timer = |a: &Action| match a {
        Action::Timer { after, token } if token & 0xffff != 0xffff => Some((at + *after, *token)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}

/// Random-looking numbers from a fixed start.
struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % sides
    }
}

/// Many instances against one cold endpoint, all misses, six requests a second each. Returns when it was asked.
fn asked_when_cold(
    beds: &mut [Bed],
    id: u64,
    start: EndpointEntry,
    span: Duration,
    dice: &mut Dice,
) -> Vec<Timestamp> {
    let mut asked = Vec::new();
    let began = beds[0].now;
    let mut at: Vec<Timestamp> =
        beds.iter().map(|_| began + Duration::from_micros(dice.roll(170_000))).collect();
    for bed in beds.iter_mut() {
        bed.event(Event::EndpointList { kind: ListKind::Delta, entries: vec![start.clone()] });
    }
    for step in 0..span.as_micros().div_ceil(2_000) as u32 {
        let now = began + step * Duration::from_millis(2);
        for (bed, at) in beds.iter_mut().zip(&mut at).filter(|(_, at)| **at <= now) {
            *at = now + 2 * Duration::from_micros(dice.roll(170_000));
            bed.now = now;
            let object = dice.roll(1 << 40);
            let Some(s) = bed.serve(object, CacheStatus::Filled) else { continue };
            if s.endpoint == id || s.source == Some(id) {
                asked.push(now);
            }
        }
    }
    asked
}

/// All routers together stay under what makes a cold endpoint fall, over every window, and yet it is used: a
/// cache shared by fourteen and a parent shared by three hundred, whose even shares are below one request.
#[test]
fn hundreds_share_a_cold_host_within_its_budget_and_use_it() {
    for (id, zone, kind, weight, router_count) in [(2, 0, 0, 4.0, 14), (22, 2, PARENT, 40.0, 300)] {
        for seed in [1, 2, 3] {
            let s = settings(14, 300);
            let parent = kind == PARENT;
            let (from, over) = if parent { (0.07, 20.0) } else { (0.22, 18.0) };
            let multiple = if parent { s.parent_overload_multiple } else { s.overload_multiple };
            let mut dice = Dice(seed);
            let mut beds: Vec<Bed> =
                (0..router_count).map(|i| Bed::new(s.clone(), seed * 1_000 + i)).collect();
            for bed in &mut beds {
                for i in 0..60 {
                    bed.serve(i, CacheStatus::Hit);
                }
            }
            let start = EndpointEntry { started: START, ..line(id, zone, kind, weight) };
            let asked = asked_when_cold(&mut beds, id, start, Duration::from_secs(12), &mut dice);
            let able = |t: Timestamp| {
                weight * (from + (1.0 - from) * t.duration_since(START).as_micros() as f64 / 1e6 / over)
            };
            let mut worst: f64 = 0.0;
            for (i, t) in asked.iter().enumerate() {
                let work =
                    asked[..=i].iter().filter(|x| **x + Duration::from_secs(1) > *t).count() as f64 * 0.2;
                worst = worst.max(work / able(*t));
            }
            assert!(worst < multiple, "{worst} times what host {id} could do, seed {seed}");
            let could: f64 = (0..12).map(|i| able(START + Duration::from_secs(i))).sum();
            let did = asked.len() as f64 * 0.2;
            assert!(did > 0.15 * could, "host {id} did {did} of {could}, seed {seed}");
        }
    }
}

/// One own request in hand is one, not a dozen; and what all are likely to have in hand is still shed in time.
#[test]
fn room_counts_ones_own_once_and_overload_is_still_shed() {
    let mut bed = Bed::new(settings(14, 300), 5);
    let mut refused = 0;
    for i in 0..200 {
        refused += usize::from(bed.serve(i, CacheStatus::Hit).is_none());
        bed.now += Duration::from_millis(150);
    }
    assert_eq!(refused, 0, "an idle location refuses nothing");
    // Each of fourteen is held to have as many in hand as this one: three at seven caches fill them.
    let (mut held, mut refused) = (Vec::new(), 0);
    for i in 0..60 {
        match sent(&bed.ask(1_000 + i), 0) {
            Some(s) => held.push(s),
            None => refused += 1,
        }
        bed.now += Duration::from_millis(300);
    }
    assert!(refused > 20 && held.len() < 40, "{refused} refused, {} in hand", held.len());
}

/// A cache that is asked once a second is not held to be dead because it has not answered for a second, nor
/// trusted for long when it answers nothing at all.
#[test]
fn health_follows_the_answers_to_be_expected() {
    let slow = |n: usize| {
        Some(if n.is_multiple_of(12) { Duration::from_millis(900) } else { Duration::from_millis(250) })
    };
    let mut bed = Bed::new(settings(14, 300), 5);
    let live = play(&mut bed, Duration::from_secs(40), |n, _| slow(n));
    let used = live.sent.iter().filter(|s| s.1.endpoint == 3).count();
    assert!(live.cancelled * 20 < live.asked && used > 20, "{} moved, {used} at cache 3", live.cancelled);
    let mut bed = Bed::new(settings(14, 300), 5);
    play(&mut bed, Duration::from_secs(10), |n, _| slow(n));
    let fell = bed.now;
    let silent = play(&mut bed, Duration::from_secs(20), |n, s| slow(n).filter(|_| s.endpoint != 3));
    let late =
        silent.sent.iter().filter(|s| s.1.endpoint == 3 && s.0 > fell + Duration::from_secs(8)).count();
    let early =
        silent.sent.iter().filter(|s| s.1.endpoint == 3 && s.0 <= fell + Duration::from_secs(8)).count();
    assert!(
        silent.cancelled > 0 && early <= 8 && late <= 6,
        "{early} sent to a silent cache at first, {late} later"
    );
}

/// At five requests a second an object that takes a good part of them widens; noise does not.
#[test]
fn levels_rise_with_a_true_share_of_few_requests_and_not_with_noise() {
    let mut bed = Bed::new(settings(14, 300), 5);
    let mut dice = Dice(9);
    let (mut endpoints, mut noise) = (BTreeSet::new(), BTreeMap::<u64, BTreeSet<u64>>::new());
    for i in 0..400 {
        let object = if i % 5 < 2 { 42 } else { 100 + dice.roll(40) };
        let s = bed.serve(object, CacheStatus::Hit).unwrap();
        if object == 42 {
            endpoints.insert(s.endpoint);
        } else {
            noise.entry(object).or_default().insert(s.endpoint);
        }
        bed.now += Duration::from_millis(200);
    }
    assert!(endpoints.len() >= 3, "the hot object is served by {endpoints:?}");
    assert!(noise.values().all(|h| h.len() == 1), "{noise:?}");
}

/// Answers of live caches get lost: once that shows, an overdue attempt is sent to the same cache again, by a
/// second copy or after cancelling; nothing is taken out, and there is no storm.
#[test]
fn lost_answers_are_asked_for_again_where_they_were_asked_for() {
    for hedging_allowed in [false, true] {
        let mut bed = Bed::new(Settings { hedging_allowed, ..settings(14, 300) }, 5);
        let seen = play(&mut bed, Duration::from_secs(60), |n, _| {
            Some(Duration::from_millis(250)).filter(|_| n % 4 != 0)
        });
        let mut homes: BTreeMap<RequestId, u64> = BTreeMap::new();
        let (mut again, mut elsewhere) = (0, 0);
        for (_, s) in &seen.sent {
            let home = *homes.entry(s.id).or_insert(s.endpoint);
            again += usize::from(s.attempt > 0 && s.endpoint == home);
            elsewhere += usize::from(s.attempt > 0 && s.endpoint != home);
        }
        let (asked, attempts) = (seen.asked, seen.sent.len());
        assert!(again > asked / 8, "{again} of {asked} asked for again");
        assert!(elsewhere < again / 2, "{elsewhere} moved elsewhere against {again}");
        assert!(attempts < asked * 8 / 5, "{attempts} attempts for {asked}");
    }
}

/// Guards against a jam that feeds itself: where hits are not told, fills that take long must not be called off and
/// begun anew at the same cache, over and over.
#[test]
fn slow_fills_are_not_begun_anew_where_hits_are_not_told() {
    let mut bed =
        Bed::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings(14, 300) }, 5);
    let seen = play(&mut bed, Duration::from_secs(60), |n, _| {
        Some(if n % 6 == 0 { Duration::from_millis(2_500) } else { Duration::from_millis(250) })
    });
    let mut homes: BTreeMap<RequestId, u64> = BTreeMap::new();
    let same = |s: &&(Timestamp, Sent)| {
        *homes.entry(s.1.id).or_insert(s.1.endpoint) == s.1.endpoint && s.1.attempt > 0
    };
    let again = seen.sent.iter().filter(same).count();
    assert!(again < seen.asked / 50, "{again} of {} fills begun anew", seen.asked);
}

/// Guards against a parent whose fills never come while hits at the caches that name it are taken for its signs of
/// life. Where all parents' fills stay away, what is behind them is at fault, and none is out.
#[test]
fn a_parent_whose_fills_stay_away_is_out_though_hits_name_it() {
    let share = |all: bool| {
        let mut bed =
            Bed::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings(14, 300) }, 5);
        let before = play(&mut bed, Duration::from_secs(30), |_, _| Some(Duration::from_millis(250)));
        let mut uses: BTreeMap<u64, usize> = BTreeMap::new();
        before.sent.iter().filter_map(|s| s.1.source).for_each(|p| *uses.entry(p).or_default() += 1);
        let (parent, _) = uses.into_iter().max_by_key(|u| u.1).unwrap();
        let sick = |s: &Sent| all || s.source == Some(parent);
        let fell = bed.now;
        let seen = play(&mut bed, Duration::from_secs(120), |n, s| {
            Some(Duration::from_millis(250)).filter(|_| n % 2 == 0 || !sick(s) || all && n % 8 != 1)
        });
        let filled = seen.sent.iter().filter(|s| s.1.source.is_some());
        let late: Vec<_> = filled.filter(|s| s.0 > fell + Duration::from_secs(60)).collect();
        (late.iter().filter(|s| s.1.source == Some(parent)).count() * 100, late.len())
    };
    let (one, of) = share(false);
    assert!(one < 11 * of, "named in {one} of {of} hundredths while its fills stay away");
    let (all, of) = share(true);
    assert!(all > 11 * of, "named in {all} of {of} hundredths while all fills stay away");
}

/// Two dead parents of a hub and all of it is held to be cold when it answers again; the other hub is not. Guards as well
/// against six tenths of all hubs standing idle for as long as a restart takes after a cut that lasted 6 s: parents that
/// were only silent come back as they were.
#[test]
fn a_hub_that_restarts_is_held_to_be_cold_as_a_whole_and_one_that_was_cut_off_is_not() {
    for (told_after, cold) in [(Duration::from_millis(5), true), (Duration::from_millis(400), false)] {
        let mut bed = Bed::new(settings(14, 300), 5);
        for i in 0..200 {
            bed.serve(i, CacheStatus::Hit);
        }
        // Refused fills, two of each parent: the first names it, the second takes it out.
        let mut failed: BTreeMap<u64, usize> = BTreeMap::new();
        for i in 1_000..3_000 {
            bed.now += Duration::from_millis(20);
            let s = sent(&bed.ask(i), 0).unwrap();
            match s.source {
                Some(p @ 21..=22) if failed.get(&p).is_none_or(|n| *n < 2) => {
                    *failed.entry(p).or_default() += 1;
                    bed.end(&s, AttemptStatus::Full, Some(CacheStatus::SourceUnreachable), told_after);
                }
                _ => drop(bed.end(&s, AttemptStatus::Ok, Some(CacheStatus::Hit), Duration::from_millis(250))),
            }
            if failed.values().sum::<usize>() == 4 || cold && failed.len() == 2 {
                break;
            }
        }
        assert_eq!(failed.len(), 2);
        let mut used: BTreeMap<u64, usize> = BTreeMap::new();
        // Fills of a twentieth of a second: three hundred as busy as this one leave the other hub's parents room.
        for i in 5_000..5_060 {
            bed.now += Duration::from_millis(200);
            let Some(s) = sent(&bed.ask(i), 0) else { continue };
            bed.end(&s, AttemptStatus::Ok, Some(CacheStatus::Filled), Duration::from_millis(50));
            s.source.into_iter().for_each(|p| *used.entry(p).or_default() += 1);
        }
        let hub = |r: std::ops::RangeInclusive<u64>| r.filter_map(|p| used.get(&p)).sum::<usize>();
        assert_eq!(hub(21..=24) < 8 && hub(25..=28) > 50, cold, "{used:?}");
        assert!(cold || hub(21..=24) > 12 && hub(21..=22) > 4, "back from its silence: {used:?}");
    }
}

/// A parent without room: the fill is not tried at parents that would have to fetch it; where homes elsewhere
/// may give it, they are asked.
#[test]
fn a_refused_fill_is_not_passed_from_parent_to_parent() {
    let refuse = |sibling_caches| {
        let mut bed = Bed::new(Settings { sibling_caches, ..settings(14, 300) }, 5);
        let entries = vec![line(11, 1, 0, 4.0), line(12, 1, 0, 4.0)];
        bed.event(Event::EndpointList { kind: ListKind::Delta, entries });
        let s = sent(&bed.ask(42), 0).unwrap();
        bed.end(&s, AttemptStatus::Full, Some(CacheStatus::SourceRefused), Duration::from_millis(60))
    };
    let acts = refuse(SiblingCaches::Location);
    assert!(sent(&acts, 1).is_none() && acts.iter().any(|a| matches!(a, Action::Refuse { .. })));
    assert!([11, 12].contains(&sent(&refuse(SiblingCaches::Any), 1).unwrap().source.unwrap()));
}

/// Successors for ever: what is remembered of endpoints that are gone stays bounded, and old starts are not walked.
#[test]
fn host_list_changes_for_ever_leave_no_trace() {
    let mut bed = Bed::new(settings(14, 300), 5);
    for i in 0..6_000_u64 {
        let new = EndpointEntry { started: bed.now, ..line(10_000 + i, 0, 0, 4.0) };
        let mut entries = vec![new];
        if i > 0 {
            entries.push(EndpointEntry { state: EndpointState::Gone, ..line(9_999 + i, 0, 0, 4.0) });
        }
        bed.event(Event::EndpointList { kind: ListKind::Delta, entries });
        bed.serve(i, CacheStatus::Filled);
        bed.now += Duration::from_millis(10);
    }
    let remembered = format!("{:?}", bed.control).matches("entry: HostEntry").count();
    assert!(remembered < 2_500, "{remembered} hosts remembered");
    let s = bed.serve(77, CacheStatus::Hit).unwrap();
    assert!(CACHES.contains(&s.endpoint) || s.endpoint == 15_999);
}

/// Guards against a few hundred routers that each have only two fills in hand at a parent, which then has hundreds
/// and sends none in time: what is held is asked for without a fill until the fills in hand are fewer. A pair of
/// routers with as many in hand is no crowd.
#[test]
fn a_parent_that_all_have_fills_at_gets_no_more_where_hits_are_not_told() {
    let unfilled = |router_count| {
        let mut bed = Bed::new(
            Settings { cache_status_reporting: CacheStatusReporting::None, ..settings(2, router_count) },
            5,
        );
        let slow = |n: usize, s: &Sent| n < 200 && n.is_multiple_of(2) && s.source.is_some();
        let seen = play(&mut bed, Duration::from_secs(60), |n, s| {
            Some(if slow(n, s) { Duration::from_secs(2) } else { Duration::from_millis(100) })
        });
        let share =
            |of: &[(Timestamp, Sent)]| of.iter().filter(|s| s.1.source.is_none()).count() * 100 / of.len();
        (share(&seen.sent[50..200]), share(&seen.sent[300..]))
    };
    let (jam, after) = unfilled(300);
    assert!(jam > 30 && after == 0, "{jam} in 100 without a fill in the jam, {after} after it");
    assert_eq!(unfilled(2), (0, 0));
}

/// Guards against fills that are known at their end only, where answers tell them: until then nobody counts them, and a
/// parent gets more than it can send.
#[test]
fn fills_are_counted_by_their_age_whether_they_are_told_or_not() {
    for notes in [CacheStatusReporting::None, CacheStatusReporting::Hit, CacheStatusReporting::All] {
        let mut bed = Bed::new(Settings { cache_status_reporting: notes, ..settings(14, 300) }, 5);
        let r =
            Request { id: 1, object: 1, deadline: bed.now + Duration::from_secs(5), ..Request::default() };
        let acts = bed.event(Event::Request(r));
        assert!(sent(&acts, 0).unwrap().source.is_some());
        let by_age = timers(&acts, Timestamp::ZERO).into_iter().filter(|t| t.1 & 0xffff == 0x8000).count();
        assert_eq!(by_age, 1, "{notes:?}");
    }
}

/// Guards against taking a jam for large objects: the bytes that came tell the sending time, whatever it took.
#[test]
fn a_jam_does_not_change_what_a_class_is_held_to_take() {
    let mut bed =
        Bed::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings(14, 300) }, 5);
    let mut held = Vec::new();
    for id in 1..=60 {
        let r = Request {
            id,
            object: u64::from(id),
            deadline: bed.now + Duration::from_secs(5),
            ..Request::default()
        };
        let acts = bed.event(Event::Request(r));
        let s = sent(&acts, 0).unwrap();
        let fills = |t: &(Timestamp, u64)| t.1 & 0xffff == 0x8000;
        held.extend(timers(&acts, Timestamp::ZERO).into_iter().find(fills).map(|t| t.0));
        bed.now += Duration::from_secs(2);
        bed.event(Event::AttemptOutcome(AttemptOutcome {
            request: s.id,
            attempt: 0,
            endpoint: EndpointId(s.endpoint),
            latency: Duration::from_secs(2),
            status: AttemptStatus::Ok,
            ended: true,
            note: None,
            work: Some(0.25),
        }));
    }
    assert_eq!(held.last(), Some(&Timestamp::from_micros(250_000)));
}
