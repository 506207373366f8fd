//! The roster's guards: no order of signs and commands leads to a state that they forbid, and each says why.

use hollymux_decision::EndpointState;
use hollymux_registry::membership::*;
use hollymux_registry::{Time, MS, SEC};
use proptest::prelude::*;

const WARM: Time = 17 * SEC;
const PURGED: Time = 6 * SEC;

fn spec(uid: &str, port: u16, role: Role) -> Spec {
    Spec { uid: uid.into(), addr: ([127, 0, 0, 1], port).into(), role }
}

fn office() -> Membership {
    let mut m = Membership::new(WARM, PURGED);
    for (i, (uid, role)) in
        [("a", Role::Box), ("b", Role::Box), ("h", Role::Hub), ("l", Role::Library)].iter().enumerate()
    {
        m.command(0, Command::Add(spec(uid, i as u16 + 1, *role)), i as u64, false).unwrap();
        m.heard(1, uid, Sign::Well);
    }
    m
}

fn no(m: &mut Membership, now: Time, c: Command, even_so: bool) -> String {
    let at = m.revision();
    let refused = m.command(now, c, at, even_so).unwrap_err().to_string();
    assert_eq!(m.revision(), at, "a refusal changes nothing");
    refused
}

fn yes(m: &mut Membership, now: Time, c: Command, even_so: bool) -> String {
    m.command(now, c, m.revision(), even_so).unwrap()
}

fn drain(uid: &str) -> Command {
    Command::Drain(uid.into())
}

#[test]
fn the_last_box_the_only_hub_and_the_library_are_drained_only_even_so() {
    let mut m = office();
    m.work("h", true, false);
    assert!(no(&mut m, 9, drain("h"), false).contains("the only hub, with 1 fills out"));
    assert!(no(&mut m, 9, drain("l"), false).contains("filings would be refused"));
    yes(&mut m, 10, drain("a"), false);
    assert!(no(&mut m, 11, drain("b"), false).contains("b is the last box that takes work"));
    assert!(no(&mut m, 11, drain("a"), true).contains("has been draining for"));
    yes(&mut m, 12, drain("b"), true);
    assert_eq!(m.member("b").unwrap().listed(), EndpointState::Draining);
    yes(&mut m, 13, Command::Undrain("a".into()), false);
    // Undrained, it is cold: nobody knows what it did meanwhile.
    assert_eq!(m.member("a").unwrap().state, State::Cold(13));
}

#[test]
fn two_consoles_cant_drain_both_boxes_in_the_same_second() {
    let mut m = office();
    let seen = m.revision();
    m.command(5, drain("a"), seen, false).unwrap();
    let late = m.command(5, drain("b"), seen, true).unwrap_err().to_string();
    assert!(late.contains("based on revision 4, the roster is at 5: a drains"), "{late}");
    assert!(m.member("b").unwrap().live());
}

#[test]
fn what_may_have_run_is_never_lost_sight_of() {
    let mut m = office();
    m.work("a", true, true);
    assert!(no(&mut m, 5, Command::Remove("a".into()), true).contains("1 filings are out at a"));
    assert!(no(&mut m, 5, Command::Add(spec("c", 1, Role::Box)), true).contains("1 filings out"));
    m.work("a", false, true);
    m.work("a", true, false);
    assert!(
        no(&mut m, 5, Command::Remove("a".into()), false).contains("has not drained and has 1 attempts out")
    );
    yes(&mut m, 5, drain("a"), false);
    assert!(no(&mut m, 6, Command::Remove("a".into()), true).contains("may still be on its way for 499 ms"));
    yes(&mut m, 5 + DRAIN, Command::Remove("a".into()), true);
    // Its id is not another's while it is remembered.
    let again = Command::Add(spec("a", 9, Role::Box));
    assert!(no(&mut m, 6 * SEC, again.clone(), true).contains("needs a new id"));
    m.tick(5 + DRAIN + GONE_KEPT);
    yes(&mut m, 2 * GONE_KEPT, again, false);
}

#[test]
fn a_box_that_flaps_is_tried_ever_later_and_comes_back_cold() {
    let mut m = office();
    m.tick(WARM + 1);
    assert_eq!(m.member("a").unwrap().state, State::Ready);
    let mut now = WARM + 2;
    let mut waits = Vec::new();
    for _ in 0..8 {
        m.heard(now, "a", Sign::Refused);
        let State::Out(again) = m.member("a").unwrap().state else { panic!("it is out") };
        waits.push((again - now) / SEC);
        m.heard(now + SEC, "a", Sign::Well);
        assert_eq!(m.member("a").unwrap().state, State::Cold(now + SEC));
        now += 2 * SEC;
        m.tick(now);
    }
    assert_eq!(waits, [1, 2, 4, 8, 16, 32, 32, 32]);
    // Silence has to repeat itself, and one answer clears it.
    for sign in [Sign::Ill, Sign::Ill, Sign::Well, Sign::Ill, Sign::Ill] {
        m.heard(now, "b", sign);
    }
    assert_eq!(m.member("b").unwrap().state, State::Suspect(2));
    m.heard(now, "b", Sign::Ill);
    assert!(matches!(m.member("b").unwrap().state, State::Out(_)));
}

#[test]
fn a_second_purge_that_an_open_one_covers_is_refused_until_that_is_done() {
    let mut m = office();
    yes(&mut m, SEC, Command::Purge(Purged::Group(7)), false);
    let object = Command::Purge(Purged::Object(1, 7));
    assert!(no(&mut m, 2 * SEC, object.clone(), false)
        .contains("told 1000 ms ago covers it and is done in 5000 ms"));
    yes(&mut m, 2 * SEC, object.clone(), true);
    yes(&mut m, 2 * SEC, Command::Purge(Purged::Object(1, 8)), true);
    m.tick(2 * SEC + PURGED);
    assert!(m.purges().is_empty());
    yes(&mut m, 9 * SEC, object, false);
}

#[derive(Clone, Debug)]
enum Step {
    Command(Command, bool, bool),
    Heard(String, Sign),
    Work(String, bool, bool),
    Tick(Time),
}

fn steps() -> impl Strategy<Value = Step> {
    let uid = || (0..6u8).prop_map(|n| format!("m{n}"));
    let role = prop_oneof![Just(Role::Box), Just(Role::Hub), Just(Role::Library)];
    let command = prop_oneof![
        (uid(), 1..5u16, role).prop_map(|(uid, port, role)| Command::Add(spec(&uid, port, role))),
        uid().prop_map(Command::Drain),
        uid().prop_map(Command::Undrain),
        uid().prop_map(Command::Remove),
        (0..3u64, 0..2u32).prop_map(|(o, g)| Command::Purge(Purged::Object(o, g))),
        (0..2u32).prop_map(|g| Command::Purge(Purged::Group(g))),
    ];
    let sign = prop_oneof![Just(Sign::Well), Just(Sign::Ill), Just(Sign::Refused)];
    prop_oneof![
        4 => (command, any::<bool>(), proptest::bool::weighted(0.9)).prop_map(|(c, e, f)| Step::Command(c, e, f)),
        3 => (uid(), sign).prop_map(|(u, s)| Step::Heard(u, s)),
        2 => (uid(), any::<bool>(), any::<bool>()).prop_map(|(u, b, f)| Step::Work(u, b, f)),
        1 => (0..40 * SEC).prop_map(Step::Tick),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_reachable_state_breaks_a_guard(all in proptest::collection::vec(steps(), 1..120)) {
        let mut m = Membership::new(WARM, PURGED);
        let mut now = 0;
        for step in all {
            now += 50 * MS;
            let before = m.clone();
            let live = |m: &Membership, role| m.members().filter(|x| x.live() && x.spec.role == role).count();
            match step {
                Step::Command(command, even_so, fresh) => {
                    let based = if fresh { m.revision() } else { m.revision() + 1 };
                    let foretold = m.guard(now, &command);
                    let done = m.command(now, command.clone(), based, even_so);
                    prop_assert_eq!(m.revision(), before.revision() + u64::from(done.is_ok()));
                    prop_assert!(fresh || done.is_err(), "based on what is not the roster");
                    // What the guard said is what happens, but for harm that the operator takes on.
                    if fresh {
                        let taken = even_so && matches!(foretold, Err(Refusal::Harm(_)));
                        prop_assert_eq!(done.is_ok(), foretold.is_ok() || taken);
                    }
                    if done.is_err() {
                        prop_assert!(m.members().eq(before.members()), "a refusal changes nothing");
                    }
                    for role in [Role::Box, Role::Hub, Role::Library] {
                        let lost = live(&before, role) > 0 && live(&m, role) == 0;
                        prop_assert!(!lost || even_so, "the last of its role was lost unasked by {:?}", command);
                    }
                }
                Step::Heard(uid, sign) => m.heard(now, &uid, sign),
                Step::Work(uid, begins, filing) => m.work(&uid, begins, filing),
                Step::Tick(after) => {
                    now += after;
                    m.tick(now);
                }
            }
            for x in m.members() {
                let was = before.member(&x.spec.uid);
                // Nobody takes work again after a drain but by a command, and nobody comes back from being gone.
                if let Some(was) = was.filter(|_| m.revision() == before.revision()) {
                    prop_assert!(!matches!(was.state, State::Draining(_) | State::Gone(_)) || was.state == x.state);
                }
                if let Some(was) = was.filter(|w| matches!(x.state, State::Gone(_)) && w.state != x.state) {
                    prop_assert_eq!(was.filings, 0, "filings were lost sight of");
                }
                prop_assert!(x.live() <= (x.listed() == EndpointState::Ready));
            }
            let standing: Vec<_> = m.members().filter(|x| x.listed() != EndpointState::Gone).collect();
            for (i, x) in standing.iter().enumerate() {
                prop_assert!(standing[..i].iter().all(|y| y.spec.addr != x.spec.addr), "two at one address");
            }
            prop_assert!(m.members().count() <= MEMBERS_MOST && m.purges().len() <= PURGES_MOST);
        }
    }
}
