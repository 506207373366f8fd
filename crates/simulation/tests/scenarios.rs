//! Scenarios in virtual time: the same seed gives the same report, the rules hold under every
//! fault, and an invalid scenario is rejected field by field.

use hollymux_config_file::Fault;
use hollymux_simulation::report::Report;
use hollymux_simulation::scenario::Scenario;
use hollymux_simulation::sweep::{self, Sweep};
use hollymux_simulation::virtual_time;

const SERVERS: &str = r#"
 seconds: 40, warm_s: 8, rate_per_s: 110, purges_per_s: 1,
 offices: [{name: "cairo", hub: "north", boxes: 4, routers: 2, link_in_flows: 18},
           {name: "luxor", hub: "south", boxes: 3, routers: 1, link_in_flows: 14}],
 hubs: [{name: "north", link_flows: 16}, {name: "south", link_flows: 16}],"#;

fn scenario(faults: &str) -> Scenario {
    hollymux_config_file::read(&format!("{{{SERVERS} faults: [{faults}]}}")).expect("the scenario is valid")
}

fn report_of(scenario: &Scenario, seed: u64) -> Report {
    let run = virtual_time::run(scenario, seed, &mut |_, _| {}).expect("the scenario runs in virtual time");
    assert!(run.completed.len() > 3_000, "{} requests", run.completed.len());
    Report::new(scenario, &run)
}

#[test]
fn the_same_seed_gives_the_same_report_to_the_byte() {
    let scenario = scenario("{at_s: 15, for_s: 8, what: {crash: {who: 'cairo-2'}}}");
    let first = report_of(&scenario, 7).json();
    assert_eq!(first, report_of(&scenario, 7).json());
    assert_ne!(first, report_of(&scenario, 8).json());
}

/// Guards against attempts at a killed router being lost in an order that differs from run to run.
#[test]
fn a_scenario_in_which_routers_are_killed_gives_the_same_report_to_the_byte() {
    let scenario = scenario("{at_s: 15, for_s: 3, what: {kill: {routers: [1, 2]}}}");
    let scenario = Scenario { clustered: true, rate_per_s: 250.0, ..scenario };
    assert_eq!(report_of(&scenario, 7).json(), report_of(&scenario, 7).json());
}

#[test]
fn no_rule_is_violated_whatever_fails() {
    let faults = [
        "",
        "{at_s: 12, for_s: 10, what: {crash: {who: 'north'}}}",
        "{at_s: 12, what: {replace: {who: 'luxor-1'}}}",
        "{at_s: 12, for_s: 12, what: {drain: {who: 'cairo-1'}}}, {at_s: 10, for_s: 10, what: {late: {by_ms: 4000}}}",
        "{at_s: 12, for_s: 10, what: {cut: {who: 'cairo-3'}}}, {at_s: 20, for_s: 6, what: {slow: {who: 'south', part: 0.3}}}",
        "{at_s: 10, for_s: 12, what: {crowd: {part: 0.3, objects: 2}}}",
        "{at_s: 10, for_s: 12, what: {large: {class: 'training-video', part: 0.02, times: 20}}}",
        "{at_s: 10, for_s: 20, what: {surge: {times: 2.5}}}",
        "{at_s: 12, for_s: 6, what: {crash: {who: 'library'}}}",
    ];
    for (i, fault) in faults.iter().enumerate() {
        let report = report_of(&scenario(fault), 3);
        assert!(report.violations.is_empty(), "{fault}: {:?}", report.violations);
        // Only the faults may reduce the earned share: without one, nearly everything is served.
        assert!(i > 0 || report.earned_share > 0.97, "without a fault: {}", report.earned_share);
    }
}

/// A scenario with sites of six and four edge caches, parent caches of 30 flows, and the given
/// numbers of routers at the two sites.
fn outage(rate: u32, routers: (u32, u32), faults: &str) -> Scenario {
    let text = format!(
        r#"{{seconds: 45, warm_s: 8, rate_per_s: {rate},
 offices: [{{name: "cairo", hub: "north", boxes: 6, routers: {}, link_in_flows: 40}},
           {{name: "luxor", hub: "south", boxes: 4, routers: {}, link_in_flows: 25}}],
 hubs: [{{name: "north", link_flows: 30}}, {{name: "south", link_flows: 30}}], faults: [{faults}]}}"#,
        routers.0, routers.1
    );
    hollymux_config_file::read(&text).expect("the scenario is valid")
}

/// Guards against routers that keep a failed parent cache as fill source because cache hits that
/// name it look like its own answers, and that overload it together when it returns; also against
/// the same overload of edge caches whose start is not known yet.
#[test]
fn no_server_is_overloaded_while_warming_up_when_parents_return_or_edge_caches_are_replaced() {
    let one = "{at_s: 20, for_s: 8, what: {crash: {who: 'north'}}}";
    let both = "{at_s: 20, for_s: 2, what: {crash: {who: 'north'}}}, {at_s: 20, for_s: 2, what: {crash: {who: 'south'}}}";
    let replaced: Vec<String> = (1..=6)
        .map(|i| format!("{{at_s: {}, what: {{replace: {{who: 'cairo-{i}'}}}}}}", 17 + 3 * i))
        .collect();
    let scenarios = [outage(300, (5, 2), one), outage(300, (1, 1), one), outage(250, (4, 3), both)];
    for (i, scenario) in scenarios.iter().enumerate() {
        for seed in [1, 3] {
            let report = report_of(scenario, seed);
            assert!(
                report.violations.is_empty() && report.overloads_before_known == 0,
                "scenario {i}, seed {seed}: {:?} {}",
                report.violations,
                report.overloads_before_known
            );
        }
    }
    // An edge cache that is overloaded before any router knows of its start violates no rule.
    let scenario = outage(130, (5, 2), &replaced.join(", "));
    for seed in [1, 3] {
        let report = report_of(&scenario, seed);
        assert!(report.violations.is_empty(), "seed {seed}: {:?}", report.violations);
    }
}

fn example(name: &str) -> Scenario {
    let path = format!("{}/../../examples/fleet/{name}.json5", env!("CARGO_MANIFEST_DIR"));
    hollymux_config_file::load(std::path::Path::new(&path)).expect("the scenario is valid")
}

/// Guards against views that report healthy routers failed, miss failed ones, or do not converge
/// again under load; also against clustering changing decisions while all routers are active.
#[test]
fn clustered_routers_converge_and_decide_like_unclustered_ones_while_all_may_be_active() {
    for name in ["partition", "crash", "join"] {
        let scenario = example(name);
        let clustered = report_of(&scenario, 1);
        let cluster = clustered.cluster.expect("the routers form a cluster");
        assert!(cluster.converged_s.is_some_and(|s| s < 5.0), "{name}: {cluster:?}");
        assert_eq!((cluster.false_positives, cluster.missed), (0, 0), "{name}");
        assert!(cluster.bytes_per_router_s < 3_000.0, "{name}: {cluster:?}");
        assert!(
            clustered.violations.is_empty() && clustered.overloads_before_known == 0,
            "{name}: {:?}",
            clustered.violations
        );
        // No router is killed in this scenario, so the number of possibly active routers is always
        // the configured one.
        if name == "partition" {
            let unclustered = report_of(&Scenario { clustered: false, ..scenario }, 1);
            assert_eq!(unclustered.cluster, None);
            assert_eq!(Report { cluster: None, ..clustered }.json(), unclustered.json());
        }
    }
}

#[test]
fn more_load_and_fewer_parent_caches_lower_the_earned_share() {
    let without_fault = report_of(&scenario(""), 5).earned_share;
    let surge = report_of(&scenario("{at_s: 9, what: {surge: {times: 3}}}"), 5).earned_share;
    let outage = report_of(&scenario("{at_s: 9, what: {crash: {who: 'north'}}}"), 5).earned_share;
    assert!(
        surge < without_fault - 0.1 && outage < without_fault,
        "no fault {without_fault}, surge {surge}, outage {outage}"
    );
}

#[test]
fn an_invalid_scenario_is_rejected_field_by_field() {
    let text = r#"{seconds: 10, warm_s: 20, offices: [{name: "a", hub: "x", link_in_flows: 0, boxes: 0}],
 hubs: [{name: "library", link_flows: 1}], faults: [{at_s: 1, what: {drain: {who: "a-9"}}}]}"#;
    let faults = hollymux_config_file::read::<Scenario>(text).unwrap_err();
    let fields: Vec<&str> = faults.iter().map(|f: &Fault| f.field.as_str()).collect();
    assert_eq!(
        fields,
        [
            "warm_s",
            "offices[0].hub",
            "offices[0].link_in_flows",
            "offices[0].boxes",
            "hubs[0].name",
            "faults[0].who"
        ]
    );
}

/// A small part of the sweep of `examples/fleet/outages.json5`: every outage but that of one edge
/// cache, with few and many routers and an uneven load.
#[test]
fn no_rule_is_violated_in_a_sweep_over_outages() {
    let text = r#"{
        day: { seconds: 34, warm_s: 6, rate_per_s: 150,
          offices: [{ name: "cairo", hub: "north-hub", boxes: 6, link_in_flows: 40 },
                    { name: "luxor", hub: "south-hub", boxes: 4, link_in_flows: 25 }],
          hubs: [{ name: "north-hub", link_flows: 30 }, { name: "south-hub", link_flows: 30 }] },
        at_s: 10, lost: ["hub", "hubs", "half_office", "office", "library", "replaced"], for_s: [3], loads: [1, 3],
        routers: [3, 28], uneven: [3], news_ms: [1000] }"#;
    let sweep_file: Sweep = hollymux_config_file::read(text).expect("the sweep is valid");
    let rows = sweep::run(&sweep_file).expect("all scenarios run in virtual time");
    assert_eq!(rows.len(), 24);
    for row in &rows {
        assert!(row.violations.is_empty(), "{row:?}");
    }
    // The outages show in the results, and service recovers from them.
    assert!(
        rows.iter().any(|row| row.earned_share < 0.9)
            && rows.iter().filter(|row| row.recovery_s.is_some()).count() > 12
    );
    let table = sweep::table(&rows);
    assert_eq!(table.lines().count(), 2 + 12, "{table}");
}

/// Guards against a mean work of a class that is estimated too low while parent caches are
/// congested: a site whose edge caches all returned at once was overloaded by its only router,
/// which took a video to cost a third of its bytes.
#[test]
fn a_site_whose_caches_return_together_is_not_overloaded() {
    for (duration_s, seeds) in [(3, [1, 2]), (20, [2, 4])] {
        let crash_of = |number: u32| {
            format!("{{at_s: 14, for_s: {duration_s}, what: {{crash: {{who: 'cairo-{number}'}}}}}}")
        };
        let text = format!(
            r#"{{seconds: 50, warm_s: 8, rate_per_s: 150,
 offices: [{{name: "cairo", hub: "north-hub", boxes: 6, link_in_flows: 40}}],
 hubs: [{{name: "north-hub", link_flows: 30}}, {{name: "south-hub", link_flows: 30}}],
 faults: [{}]}}"#,
            (1..=6).map(crash_of).collect::<Vec<_>>().join(",")
        );
        let scenario: Scenario = hollymux_config_file::read(&text).expect("the scenario is valid");
        for seed in seeds {
            let report = report_of(&scenario, seed);
            assert!(report.violations.is_empty(), "{duration_s} s, seed {seed}: {:?}", report.violations);
            assert!(
                report.warm_up_quotas["cold box"].arrived_peak < 1.3,
                "{duration_s} s, seed {seed}: {:?}",
                report.warm_up_quotas
            );
        }
    }
}

/// Guards against routers that together keep the origin down: fills that were rejected or dropped
/// were retried at once, the origin stopped nine times in this scenario, and only 0.06 of the
/// non-idempotent requests were served in time.
#[test]
fn an_origin_that_rejects_is_not_overloaded_until_it_stops() {
    let site = |name: &str, hub: &str, boxes: usize, link: usize| {
        format!("{{name: '{name}', hub: '{hub}', boxes: {boxes}, routers: 10, link_in_flows: {link}}}")
    };
    let text = format!(
        "{{seconds: 40, warm_s: 8, rate_per_s: 420, offices: [{}, {}, {}, {}],
          hubs: [{{name: 'north', link_flows: 60}}, {{name: 'south', link_flows: 60}}],
          library: {{link_flows: 60, workers: 8, service_ms: 25, turn_away_per_s: 120}},
          faults: [{{at_s: 14, for_s: 3, what: {{crash: {{who: 'north'}}}}}}]}}",
        site("cairo", "north", 5, 40),
        site("luxor", "south", 5, 40),
        site("giza", "north", 4, 36),
        site("aswan", "south", 4, 36),
    );
    let scenario: Scenario = hollymux_config_file::read(&text).expect("the scenario is valid");
    let report = report_of(&scenario, 1);
    assert!(report.origin_stops <= 1, "the origin stopped {} times", report.origin_stops);
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert!(report.earned_share > 0.7, "{}", report.earned_share);
    let filings = report
        .classes
        .iter()
        .find(|c| c.name == "cert-filing")
        .expect("the default classes include cert-filing");
    assert!(filings.in_time * 100 > filings.requests * 70, "{} of {}", filings.in_time, filings.requests);
}
