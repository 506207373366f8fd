//! `hollymux plan`: predictions from recorded traffic of a scenario in virtual time, compared with
//! further runs in virtual time; and errors in the input.

mod common;

use common::*;
use std::path::{Path, PathBuf};
use std::process::Stdio;

fn run(args: &[&str]) -> (i32, String, String) {
    let output = hollymux_command(Path::new(""), args).stdout(Stdio::piped()).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

fn scenario(rate: u32, faults: &str) -> PathBuf {
    let text = format!(
        "{{seconds: 90, warm_s: 10, rate_per_s: {rate}, purges_per_s: 1,
          offices: [{{name: 'cairo', hub: 'north', boxes: 3, routers: 2, link_in_flows: 14}},
                    {{name: 'luxor', hub: 'south', boxes: 2, routers: 1, link_in_flows: 10}}],
          hubs: [{{name: 'north', link_flows: 12}}, {{name: 'south', link_flows: 12}}], faults: [{faults}]}}"
    );
    temp_file("day.json5", &text)
}

fn simulate(scenario: &Path, seed: &str) -> serde_json::Value {
    let (_, stdout, stderr) =
        run(&["lab", "run", scenario.to_str().unwrap(), "--virtual", "--seed", seed, "--json"]);
    serde_json::from_str(&stdout).unwrap_or_else(|_| panic!("{stderr}"))
}

/// Records a scenario in virtual time and returns the paths of the recordings.
fn record(scenario: &Path) -> Vec<String> {
    let dir = scenario.parent().unwrap().join("load");
    let dir_text = dir.to_str().unwrap();
    let (code, _, stderr) =
        run(&["lab", "run", scenario.to_str().unwrap(), "--virtual", "--record", dir_text]);
    assert_eq!(code, 0, "{stderr}");
    let files = std::fs::read_dir(&dir).unwrap();
    files.map(|entry| entry.unwrap().path().to_str().unwrap().to_string()).collect()
}

fn fleet(edge_caches: usize) -> PathBuf {
    temp_file(
        "fleet.json5",
        &format!(
            "{{offices: [{{name: 'cairo', hub: 'north', boxes: {edge_caches}, link_in_flows: 14, keep_bytes: 4e6}},
                         {{name: 'luxor', hub: 'south', boxes: 2, link_in_flows: 10, keep_bytes: 4e6}}],
              hubs: [{{name: 'north', link_flows: 12, keep_bytes: 2e7}}, {{name: 'south', link_flows: 12, keep_bytes: 2e7}}],
              library: {{workers: 16, service_ms: 40, calls_per_s: 300, link_flows: 40}}}}"
        ),
    )
}

fn make_plan(load: &[String], fleet: &Path, more_args: &[&str]) -> serde_json::Value {
    // Simulated scenarios start with empty caches, so the plan must too.
    let mut args = vec!["plan", "--fleet", fleet.to_str().unwrap(), "--json", "--warm", "10", "--empty"];
    args.extend(more_args);
    args.push("--load");
    args.extend(load.iter().map(String::as_str));
    let (code, stdout, stderr) = run(&args);
    assert_eq!(code, 0, "{stderr}");
    serde_json::from_str(&stdout).unwrap()
}

#[test]
fn a_plan_predicts_simulated_scenarios_within_ten_percent() {
    let load = record(&scenario(80, ""));
    for (rate, scale) in [(80, "1"), (112, "1.4")] {
        let plan = make_plan(&load, &fleet(3), &["--scale", scale]);
        let predicted = plan["in_time"]["value"].as_f64().unwrap();
        let simulated: f64 = ["21", "22", "23"]
            .iter()
            .map(|seed| simulate(&scenario(rate, ""), seed)["in_time_worth"].as_f64().unwrap() / 3.0)
            .sum();
        assert!(
            (predicted / simulated - 1.0).abs() < 0.1,
            "{rate} requests per second: {predicted} predicted, {simulated} simulated"
        );
    }
}

#[test]
fn invalid_input_ends_with_code_2_and_a_line_for_each_error() {
    // A high rate gives the recording several blocks.
    let load = record(&scenario(240, ""));
    let fleet = fleet(3);
    let fleet = fleet.to_str().unwrap();
    let invalid_fleet = temp_file(
        "fleet.json5",
        "{offices: [{name: 'cairo', hub: 'nowhere', boxes: 0, link_in_flows: 3}], hubs: []}",
    );
    let not_a_recording = temp_file("load.hmxload", "this is no recording");
    let empty = temp_file("load.hmxload", "");
    let (not_a_recording, empty) = (not_a_recording.to_str().unwrap(), empty.to_str().unwrap());
    for (args, message) in [
        (vec!["plan", "--fleet", fleet, "--load", not_a_recording], "is not a traffic recording"),
        (vec!["plan", "--fleet", fleet, "--load", empty], "is not a traffic recording"),
        (
            vec!["plan", "--fleet", invalid_fleet.to_str().unwrap(), "--load", &load[0]],
            "offices[0].boxes: must lie between",
        ),
        (vec!["plan", "--fleet", fleet, "--goal", "101%", "--load", &load[0]], "below 100%"),
        (
            vec!["plan", "--fleet", fleet, "--lose", "giza-1", "--load", &load[0]],
            "giza-1 is no hub and no box",
        ),
        (vec!["plan", "--load", &load[0]], "--fleet"),
    ] {
        let (code, stdout, stderr) = run(&args);
        assert_eq!((code, stdout.as_str()), (2, ""), "{args:?}: {stderr}");
        assert!(stderr.contains(message) && !stderr.contains("panicked"), "{args:?}: {stderr}");
    }
    // A truncated recording is used, and the plan reports the loss.
    let bytes = std::fs::read(&load[0]).unwrap();
    let truncated = temp_file("cut.hmxload", "");
    std::fs::write(&truncated, &bytes[..bytes.len() * 2 / 3]).unwrap();
    let plan = make_plan(&[truncated.to_str().unwrap().to_string()], Path::new(fleet), &[]);
    assert!(plan["quality"]["doubts"].to_string().contains("lacks"), "{plan}");
    assert!(run(&["plan", "--schema"]).1.contains("link_in_flows"));
}

#[test]
fn the_example_files_are_valid_and_describe_one_cluster() {
    let example = |name: &str| format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
    let scenario: hollymux_simulation::scenario::Scenario =
        hollymux_config_file::load(Path::new(&example("day.json5"))).unwrap();
    let fleet: hollymux_capacity::Fleet =
        hollymux_config_file::load(Path::new(&example("fleet.json5"))).unwrap();
    // Both files must describe the same sites.
    for (simulated, planned) in scenario.sites.iter().zip(&fleet.sites) {
        assert_eq!(
            (&simulated.name, simulated.edge_caches, simulated.link_in_flows),
            (&planned.name, planned.edge_caches, planned.link_in_flows)
        );
    }
}
