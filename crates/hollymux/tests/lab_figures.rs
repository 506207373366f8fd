//! Figures of simulations: scenarios in virtual time must produce the same report after every
//! change of the code. The scenario files, of which one uses every key, must stay readable.

mod common;

use common::*;
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Stdio;

const SEEDS: [&str; 2] = ["1", "2"];

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

/// Runs a scenario in virtual time, and returns the exit code and the printed report.
fn run_scenario(scenario: &str, seed: &str, more_args: &[&str]) -> (i32, String) {
    let mut program = hollymux_command(Path::new(""), &["lab", "run", scenario, "--virtual", "--seed", seed]);
    let output = program.args(more_args).current_dir(fixtures()).stdout(Stdio::piped()).output().unwrap();
    assert!(!output.stdout.is_empty(), "{}", String::from_utf8_lossy(&output.stderr));
    (output.status.code().unwrap(), String::from_utf8(output.stdout).unwrap())
}

/// The numbers of each line of a printed report. The texts of the report may change, its figures
/// and their order may not.
fn printed_figures(text: &str) -> String {
    let figures = |line: &str| {
        let numbers = line.split(|letter: char| !letter.is_ascii_digit() && letter != '.');
        numbers
            .map(|number| number.trim_matches('.'))
            .filter(|number| !number.is_empty())
            .collect::<Vec<_>>()
            .join(" ")
    };
    text.lines().map(figures).collect::<Vec<_>>().join("\n")
}

/// Runs a scenario with each seed, and compares the JSON report and the figures of the printed one
/// with the snapshots.
fn assert_figures(scenario: &str) {
    for seed in SEEDS {
        let (code, json) = run_scenario(scenario, seed, &["--json"]);
        let (code_with_text, text) = run_scenario(scenario, seed, &[]);
        assert_eq!(code, code_with_text, "{scenario} with seed {seed}");
        let name = format!("{}_seed_{seed}", scenario.trim_end_matches(".json5"));
        insta::assert_snapshot!(format!("{name}_report"), format!("exit code {code}\n{json}"));
        insta::assert_snapshot!(format!("{name}_printed"), printed_figures(&text));
    }
}

#[test]
fn outages_with_cold_restarts_give_the_same_figures() {
    assert_figures("day-outage.json5");
}

#[test]
fn drains_and_purges_give_the_same_figures() {
    assert_figures("day-drains.json5");
}

#[test]
fn leased_quotas_give_the_same_figures() {
    assert_figures("day-limits.json5");
}

#[test]
fn a_scenario_with_every_key_gives_the_same_figures() {
    assert_figures("day-every-key.json5");
}

/// Collects the names of all properties in a schema.
fn property_names(schema: &Value, names: &mut BTreeSet<String>) {
    if let Some(properties) = schema.get("properties").and_then(Value::as_object) {
        names.extend(properties.keys().cloned());
    }
    match schema {
        Value::Object(members) => members.values().for_each(|value| property_names(value, names)),
        Value::Array(elements) => elements.iter().for_each(|value| property_names(value, names)),
        _ => {}
    }
}

/// Guards against a key of scenarios that the fixture does not use.
#[test]
fn the_scenario_with_every_key_has_every_key() {
    let mut program = hollymux_command(Path::new(""), &["lab", "schema"]);
    let output = program.stdout(Stdio::piped()).output().unwrap();
    let mut names = BTreeSet::new();
    property_names(&serde_json::from_slice(&output.stdout).unwrap(), &mut names);
    let scenario = std::fs::read_to_string(fixtures().join("day-every-key.json5")).unwrap();
    let missing: Vec<&String> = names.iter().filter(|name| !scenario.contains(&format!("{name}:"))).collect();
    assert!(names.len() > 40 && missing.is_empty(), "the fixture lacks {missing:?} of {} keys", names.len());
}
