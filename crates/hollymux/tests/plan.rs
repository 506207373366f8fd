//! A plan from the command line: traffic recorded by a scenario in virtual time, predictions
//! compared with other such scenarios, and what is refused.

mod common;

use common::*;
use std::path::{Path, PathBuf};
use std::process::Stdio;

fn run(args: &[&str]) -> (i32, String, String) {
    let out = hollymux_command(Path::new(""), args).stdout(Stdio::piped()).output().unwrap();
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    (out.status.code().unwrap(), text(out.stdout), text(out.stderr))
}

fn day(rate: u32, faults: &str) -> PathBuf {
    let text = format!(
        "{{seconds: 90, warm_s: 10, rate_per_s: {rate}, purges_per_s: 1,
          offices: [{{name: 'cairo', hub: 'north', boxes: 3, routers: 2, link_in_flows: 14}},
                    {{name: 'luxor', hub: 'south', boxes: 2, routers: 1, link_in_flows: 10}}],
          hubs: [{{name: 'north', link_flows: 12}}, {{name: 'south', link_flows: 12}}], faults: [{faults}]}}"
    );
    temp_file("day.json5", &text)
}

fn seen(day: &Path, seed: &str) -> serde_json::Value {
    let (_, out, err) = run(&["lab", "run", day.to_str().unwrap(), "--virtual", "--seed", seed, "--json"]);
    serde_json::from_str(&out).unwrap_or_else(|_| panic!("{err}"))
}

/// The recording of a scenario, as arguments.
fn recorded(day: &Path) -> Vec<String> {
    let dir = day.parent().unwrap().join("load");
    let dir_text = dir.to_str().unwrap();
    let (code, _, err) = run(&["lab", "run", day.to_str().unwrap(), "--virtual", "--record", dir_text]);
    assert_eq!(code, 0, "{err}");
    let files = std::fs::read_dir(&dir).unwrap();
    files.map(|e| e.unwrap().path().to_str().unwrap().to_string()).collect()
}

fn fleet(boxes: usize) -> PathBuf {
    temp_file(
        "fleet.json5",
        &format!(
            "{{offices: [{{name: 'cairo', hub: 'north', boxes: {boxes}, link_in_flows: 14, keep_bytes: 4e6}},
                         {{name: 'luxor', hub: 'south', boxes: 2, link_in_flows: 10, keep_bytes: 4e6}}],
              hubs: [{{name: 'north', link_flows: 12, keep_bytes: 2e7}}, {{name: 'south', link_flows: 12, keep_bytes: 2e7}}],
              library: {{workers: 16, service_ms: 40, calls_per_s: 300, link_flows: 40}}}}"
        ),
    )
}

fn planned(load: &[String], fleet: &Path, more: &[&str]) -> serde_json::Value {
    // Simulated scenarios begin with empty caches.
    let mut args = vec!["plan", "--fleet", fleet.to_str().unwrap(), "--json", "--warm", "10", "--empty"];
    args.extend(more);
    args.push("--load");
    args.extend(load.iter().map(String::as_str));
    let (code, out, err) = run(&args);
    assert_eq!(code, 0, "{err}");
    serde_json::from_str(&out).unwrap()
}

#[test]
fn a_plan_predicts_simulated_days_within_ten_percent() {
    let load = recorded(&day(80, ""));
    for (rate, scale) in [(80, "1"), (112, "1.4")] {
        let plan = planned(&load, &fleet(3), &["--scale", scale]);
        let foretold = plan["in_time"]["value"].as_f64().unwrap();
        let seen: f64 = ["21", "22", "23"]
            .iter()
            .map(|s| seen(&day(rate, ""), s)["in_time_worth"].as_f64().unwrap() / 3.0)
            .sum();
        assert!((foretold / seen - 1.0).abs() < 0.1, "{rate} a second: {foretold} foretold, {seen} seen");
    }
}

#[test]
fn invalid_input_ends_with_code_2_and_a_line_for_each_error() {
    // Enough requests for several blocks.
    let load = recorded(&day(240, ""));
    let fleet = fleet(3);
    let fleet = fleet.to_str().unwrap();
    let bad = temp_file(
        "fleet.json5",
        "{offices: [{name: 'cairo', hub: 'nowhere', boxes: 0, link_in_flows: 3}], hubs: []}",
    );
    let text = temp_file("load.hmxload", "this is no recording");
    let empty = temp_file("load.hmxload", "");
    let (text, empty) = (text.to_str().unwrap(), empty.to_str().unwrap());
    for (args, says) in [
        (vec!["plan", "--fleet", fleet, "--load", text], "is not a traffic recording"),
        (vec!["plan", "--fleet", fleet, "--load", empty], "is not a traffic recording"),
        (
            vec!["plan", "--fleet", bad.to_str().unwrap(), "--load", &load[0]],
            "offices[0].boxes: must lie between",
        ),
        (vec!["plan", "--fleet", fleet, "--goal", "101%", "--load", &load[0]], "below 100%"),
        (
            vec!["plan", "--fleet", fleet, "--lose", "giza-1", "--load", &load[0]],
            "giza-1 is no hub and no box",
        ),
        (vec!["plan", "--load", &load[0]], "--fleet"),
    ] {
        let (code, out, err) = run(&args);
        assert_eq!((code, out.as_str()), (2, ""), "{args:?}: {err}");
        assert!(err.contains(says) && !err.contains("panicked"), "{args:?}: {err}");
    }
    // A recording that was cut off is used, and the loss is reported.
    let bytes = std::fs::read(&load[0]).unwrap();
    let cut = temp_file("cut.hmxload", "");
    std::fs::write(&cut, &bytes[..bytes.len() * 2 / 3]).unwrap();
    let plan = planned(&[cut.to_str().unwrap().to_string()], Path::new(fleet), &[]);
    assert!(plan["quality"]["doubts"].to_string().contains("lacks"), "{plan}");
    assert!(run(&["plan", "--schema"]).1.contains("link_in_flows"));
}

#[test]
fn the_example_files_are_valid_and_describe_one_cluster() {
    let example = |name: &str| format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
    let day: hollymux_simulation::scenario::Scenario =
        hollymux_config_file::load(Path::new(&example("day.json5"))).unwrap();
    let fleet: hollymux_capacity::Fleet =
        hollymux_config_file::load(Path::new(&example("fleet.json5"))).unwrap();
    // Both describe the same cluster.
    for (simulated, planned) in day.sites.iter().zip(&fleet.sites) {
        assert_eq!(
            (&simulated.name, simulated.edge_caches, simulated.link_in_flows),
            (&planned.name, planned.edge_caches, planned.link_in_flows)
        );
    }
}
