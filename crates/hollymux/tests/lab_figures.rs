//! Guards the laboratory's figures: days in virtual time must come to the same report, figure by figure, whatever
//! becomes of the code. The days' files, with every key among them, must stay readable.

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

/// The exit code and the printed report of a day in virtual time.
fn played(day: &str, seed: &str, more: &[&str]) -> (i32, String) {
    let mut program = hollymux_command(Path::new(""), &["lab", "run", day, "--virtual", "--seed", seed]);
    let output = program.args(more).current_dir(fixtures()).stdout(Stdio::piped()).output().unwrap();
    assert!(!output.stdout.is_empty(), "{}", String::from_utf8_lossy(&output.stderr));
    (output.status.code().unwrap(), String::from_utf8(output.stdout).unwrap())
}

/// The numbers of each line, as they are printed: words may be put differently, figures and their order may not.
fn printed_figures(text: &str) -> String {
    let figures = |line: &str| {
        let words = line.split(|c: char| !c.is_ascii_digit() && c != '.');
        words.map(|word| word.trim_matches('.')).filter(|word| !word.is_empty()).collect::<Vec<_>>().join(" ")
    };
    text.lines().map(figures).collect::<Vec<_>>().join("\n")
}

/// Plays a day under both seeds and compares the report as JSON, and the figures of the printed one.
fn assert_figures(day: &str) {
    for seed in SEEDS {
        let (code, json) = played(day, seed, &["--json"]);
        let (code_of_text, text) = played(day, seed, &[]);
        assert_eq!(code, code_of_text, "{day} with seed {seed}");
        let name = format!("{}_seed_{seed}", day.trim_end_matches(".json5"));
        insta::assert_snapshot!(format!("{name}_report"), format!("exit code {code}\n{json}"));
        insta::assert_snapshot!(format!("{name}_printed"), printed_figures(&text));
    }
}

#[test]
fn a_day_with_outages_and_cold_returns_comes_to_the_same_figures() {
    assert_figures("day-outage.json5");
}

#[test]
fn a_day_with_drains_and_purges_comes_to_the_same_figures() {
    assert_figures("day-drains.json5");
}

#[test]
fn a_day_with_limits_on_lease_comes_to_the_same_figures() {
    assert_figures("day-limits.json5");
}

#[test]
fn a_day_with_every_key_comes_to_the_same_figures() {
    assert_figures("day-every-key.json5");
}

/// All names of properties in a schema.
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

/// Guards against a key that the fixture does not try.
#[test]
fn the_day_with_every_key_has_every_key() {
    let mut program = hollymux_command(Path::new(""), &["lab", "schema"]);
    let output = program.stdout(Stdio::piped()).output().unwrap();
    let mut names = BTreeSet::new();
    property_names(&serde_json::from_slice(&output.stdout).unwrap(), &mut names);
    let day = std::fs::read_to_string(fixtures().join("day-every-key.json5")).unwrap();
    let missing: Vec<&String> = names.iter().filter(|name| !day.contains(&format!("{name}:"))).collect();
    assert!(names.len() > 40 && missing.is_empty(), "{missing:?} of {}", names.len());
}
