//! Plans for loads made by hand: what must hold of them, and what is refused.

use hollymux_decide::{
    Action, Class, Control, Event, HostEntry, HostId, HostState, ListKind, Request, Settings, Weights,
};
use hollymux_capacity::place::{identity, order, seed};
use hollymux_capacity::trace::{Ask, Key, Trace};
use hollymux_capacity::{plan, Answer, Fleet, PlanError, Question};
use hollymux_record::{ClassHead, Recording};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn class(name: &str, aim_ms: u64, write: bool) -> ClassHead {
    ClassHead {
        name: name.into(),
        aim: aim_ms * 1_000,
        aim_stretch: 1.6,
        deadline: 5_000_000,
        worth: if write { 3.0 } else { 1.0 },
        late_worth: 0.1,
        write,
        repeats: !write,
        fresh: 0,
        grace: 0,
        stale_worth: 0.5,
    }
}

/// Load of so many requests a second for so many seconds: `shared` objects that every office asks for, `own` ones
/// of the first office alone, as a part of its requests.
fn load(seconds: u64, per_s: u64, shared: u64, own: f64) -> Trace {
    let mut rng = Pcg64Mcg::seed_from_u64(17);
    let mut t = Trace {
        classes: vec![class("docs", 300, false), class("filing", 800, true)],
        offices: vec!["cairo".into(), "luxor".into()],
        routers: 2,
        flow: 20_000.0,
        span: seconds * 1_000_000,
        ..Trace::default()
    };
    for object in 0..2 * shared {
        let (part, group, bytes) = (0, (object % 256) as u8, 3_000.0 + (object % 7) as f32 * 300.0);
        t.keys.push(Key { object, part, group, class: 0, bytes, large: false });
    }
    for n in 0..seconds * per_s {
        let office = (n % 2) as u16;
        let local = office == 0 && rng.random::<f64>() < own;
        let rank = (shared as f64).powf(rng.random::<f64>()) as u64 - 1;
        let mut key = (rank + if local { shared } else { 0 }) as u32;
        if n % 40 == 0 {
            t.keys.push(Key { object: 1 << 40 | n, part: 0, group: 0, class: 1, bytes: 200.0, large: false });
            key = t.keys.len() as u32 - 1;
        }
        let at = n * 1_000_000 / per_s + rng.random_range(0..1_000);
        t.asks.push(Ask { at, key, office, router: office, viewing: n as u32, budget: 2_500_000, took: 0 });
    }
    t.asks.sort_by_key(|a| a.at);
    t
}

fn fleet(boxes: usize, link_in: f64, hub: f64) -> Fleet {
    let text = format!(
        "{{offices: [{{name: 'cairo', hub: 'h', boxes: {boxes}, link_in_flows: {link_in}, link_flows: 6, keep_bytes: 2e5}},
           {{name: 'luxor', hub: 'h', boxes: {boxes}, link_in_flows: {link_in}, link_flows: 6, keep_bytes: 2e5}}],
          hubs: [{{name: 'h', link_flows: {hub}, keep_bytes: 1e7}}], library: {{calls_per_s: 500}}}}"
    );
    hollymux_settings::read(&text).expect("a fleet")
}

fn asked(t: &Trace, f: &Fleet, q: &Question) -> Answer {
    let a = plan(t, f, q).expect("a plan");
    let text = a.text() + &a.plot().expect("a plot");
    assert!(!text.contains("NaN") && !text.contains("inf"), "{text}");
    a
}

fn value(f: Option<hollymux_capacity::sure::Figure>) -> f64 {
    f.expect("a figure").value
}

#[test]
fn placement_is_the_modules_own() {
    // The planner draws orders by itself: a request that the module places must go to the same box and hub.
    let c = Class {
        aim: 400_000,
        deadline: 2_500_000,
        effect: hollymux_decide::Effect::Safe,
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![c],
        parent_kind: Some(1),
        origin_kind: Some(2),
        weights: Weights::Size,
        max_attempts: 4,
        ..Settings::default()
    };
    let names = ["s-a", "s-b", "s-c", "s-d"];
    let sizes = [4.0, 8.0, 2.0, 8.0];
    let hubs = ["s-h1", "s-h2", "s-h3"];
    let line = |uid: &str, kind, weight| HostEntry {
        id: HostId(identity(uid)),
        cell: 0,
        zone: if kind == 0 { 0 } else { 1 },
        kind,
        weight,
        state: HostState::Ready,
        started: 0,
        in_place_of: None,
    };
    let mut entries: Vec<HostEntry> = names.iter().zip(sizes).map(|(n, w)| line(n, 0, w)).collect();
    entries.extend(hubs.iter().map(|n| line(n, 1, 9.0)));
    entries.push(line("s-o", 2, 9.0));
    let boxes: Vec<(u64, f64)> = names.iter().zip(sizes).map(|(n, w)| (identity(n), w)).collect();
    let parents: Vec<(u64, f64)> = hubs.iter().map(|n| (identity(n), 9.0)).collect();
    for object in 0..200u64 {
        let mut control = Control::new(settings.clone(), 1).unwrap();
        let mut actions = Vec::new();
        control.handle(1, Event::Hosts { kind: ListKind::Full, entries: entries.clone() }, &mut actions);
        let part = (object % 5) as u32;
        let r = Request { id: 1, object, part, deadline: 2_500_000, ..Request::default() };
        actions.clear();
        control.handle(2, Event::Request(r), &mut actions);
        let sent = actions.iter().find_map(|a| match a {
            Action::Attempt { host, fill, .. } => Some((host.0, fill.source.map(|s| s.0))),
            _ => None,
        });
        let drawn = seed(object, part);
        let home = boxes[usize::from(order(&boxes, drawn)[0])].0;
        let hub = parents[usize::from(order(&parents, drawn)[0])].0;
        assert_eq!(sent, Some((home, Some(hub))), "object {object}");
    }
}

#[test]
fn more_load_serves_less_and_more_boxes_serve_more() {
    let t = load(120, 60, 400, 0.1);
    let a = asked(&t, &fleet(2, 12.0, 12.0), &Question::default());
    assert!(value(a.in_time) > 0.95, "{}", a.text());
    let loads: Vec<f64> = a.multiples.iter().map(|m| value(m.in_time)).collect();
    assert!(loads[0] > loads[5] + 0.1, "{loads:?}");
    let b = asked(&t, &fleet(1, 12.0, 12.0), &Question { scale: 2.0, ..Question::default() });
    assert!(value(b.in_time) < 0.9, "{}", b.text());
    let needs: usize = b.mix.boxes.as_ref().map_or(0, |m| m.iter().map(|o| o.1).sum());
    assert!(needs > 2 && value(b.mix.reaches) >= 0.95, "{:?}", b.mix);
    // The same question has the same answer.
    let again = asked(&t, &fleet(1, 12.0, 12.0), &Question { scale: 2.0, ..Question::default() });
    assert_eq!(again.text(), b.text());
}

#[test]
fn what_is_short_breaks_first_and_boxes_dont_help_a_short_link_in() {
    let t = load(120, 60, 2_000, 0.1);
    let a = asked(&t, &fleet(6, 1.5, 20.0), &Question::default());
    assert!(a.breaks[0].resource.ends_with("link in"), "{}", a.text());
    assert!(a.mix.boxes.is_none() && a.mix.each.iter().any(|e| e.1.is_none()), "{:?}", a.mix);
    let a = asked(&t, &fleet(6, 30.0, 2.0), &Question::default());
    assert_eq!(a.breaks[0].resource, "h link out", "{}", a.text());
}

#[test]
fn a_fleet_that_starts_empty_is_no_better_off_than_a_warm_one() {
    // Two stable states: at a load that a warm fleet just carries, one that starts empty never gets there.
    let t = load(120, 60, 1_000, 0.1);
    let f = fleet(4, 6.0, 5.0);
    let warm = asked(&t, &f, &Question { scale: 1.6, ..Question::default() });
    let empty = asked(&t, &f, &Question { scale: 1.6, empty: true, ..Question::default() });
    assert!(value(warm.in_time) >= value(empty.in_time) - 0.01, "{} {}", warm.text(), empty.text());
}

#[test]
fn a_lost_hub_costs_more_than_a_lost_box_and_is_back_later() {
    let t = load(160, 60, 1_500, 0.1);
    let q = Question { lose: vec![vec!["h".into(), "cairo-1".into()]], ..Question::default() };
    let a = asked(&t, &fleet(4, 12.0, 10.0), &q);
    let of = |names: &[&str]| a.losses.iter().find(|l| l.servers == names).expect("judged");
    let (hub, one) = (of(&["h"]), of(&["cairo-1"]));
    assert!(value(hub.during) < value(one.during) - 0.05, "{}", a.text());
    assert!(value(hub.without) > 0.95 && hub.back_after_s.is_some());
    assert!(value(of(&["h", "cairo-1"]).during) <= value(hub.during) + 0.02);
}

#[test]
fn an_offices_own_objects_are_seen_and_gain_nothing_from_other_offices() {
    let t = load(120, 60, 400, 0.8);
    let a = asked(&t, &fleet(3, 12.0, 12.0), &Question::default());
    assert!(a.offices[0].local_part > 0.6 && a.offices[1].local_part < 0.6, "{:?}", a.offices);
    // Twice the load asks twice as often for the same objects, and for as many more that were asked for once.
    let objects = |t: &Trace| {
        let mut all: Vec<u64> = t.asks.iter().map(|a| t.keys[a.key as usize].object).collect();
        all.sort_unstable();
        all.dedup();
        all.len()
    };
    let twice = t.scaled(2.0, 3);
    assert_eq!(twice.asks.len(), 2 * t.asks.len());
    let mut asked_for: Vec<u64> = t.asks.iter().map(|a| t.keys[a.key as usize].object).collect();
    asked_for.sort_unstable();
    let once = asked_for.chunk_by(|a, b| a == b).filter(|c| c.len() == 1).count();
    // What was asked for once is another object the second time.
    assert!(once > 100);
    assert_eq!(objects(&twice), objects(&t) + once);
    let half = t.scaled(0.5, 3).asks.len() as f64 / t.asks.len() as f64;
    assert!((half - 0.5).abs() < 0.03, "{half}");
}

#[test]
fn what_the_recording_cant_support_is_said_and_withheld() {
    let a = asked(&load(20, 3, 50, 0.0), &fleet(3, 12.0, 12.0), &Question::default());
    let doubts = a.quality.doubts.join("\n");
    assert!(doubts.contains("only 15 s") && doubts.contains("calm recording"), "{doubts}");
    assert!(
        doubts.contains("filing: 1 requests are too few") || doubts.contains("filing: 0 requests"),
        "{doubts}"
    );
    assert!(a.classes[1].1.is_none() && a.losses.is_empty() && a.cold_hubs.is_none());
}

#[test]
fn what_cant_be_planned_is_refused_in_one_line() {
    let (t, f) = (load(30, 20, 50, 0.0), fleet(2, 12.0, 12.0));
    let no = |t: &Trace, q: Question| plan(t, &f, &q).unwrap_err().to_string();
    assert!(no(&t, Question { goal: 1.0, ..Question::default() }).contains("below 100%"));
    assert!(no(&t, Question { goal: f64::NAN, ..Question::default() }).contains("goal"));
    assert!(no(&t, Question { scale: 0.0, ..Question::default() }).contains("scale"));
    assert!(no(&t, Question { scale: f64::INFINITY, ..Question::default() }).contains("scale"));
    assert!(no(&t, Question { warm_s: Some(31.0), ..Question::default() }).contains("warm-up"));
    assert!(no(&t, Question { lose: vec![vec!["giza-1".into()]], ..Question::default() }).contains("giza-1"));
    assert_eq!(plan(&Trace::default(), &f, &Question::default()).unwrap_err(), PlanError::Empty);
    assert_eq!(Trace::new(&Recording::default()).unwrap_err(), PlanError::Empty);
    let mut lost = t.clone();
    lost.offices[0] = "giza".into();
    assert!(no(&lost, Question::default()).contains("giza"));
}

#[test]
fn a_fleet_that_cant_be_is_refused_field_by_field() {
    let text = "{offices: [{name: 'a', hub: 'x', boxes: 0, link_in_flows: 0, cores: 0}, {name: 'a', hub: 'h', boxes: 1,
        link_in_flows: 1e999}], hubs: [{name: 'h', link_flows: -1}], clients: {tries: 99}}";
    let faults = hollymux_settings::read::<Fleet>(text).unwrap_err();
    let fields: Vec<&str> = faults.iter().map(|f| f.field.as_str()).collect();
    for field in [
        "offices[0].hub",
        "offices[0].boxes",
        "offices[0].link_in_flows",
        "offices[0].cores",
        "offices[1].name",
        "offices[1].link_in_flows",
        "hubs[0].link_flows",
        "clients.tries",
    ] {
        assert!(fields.contains(&field), "{field} of {faults:?}");
    }
}
