//! Formats of files that operators and routers keep: later versions must read, validate and print a
//! recording, an operator's file and the JSON Schemas like the version that wrote the fixtures.

mod common;

use common::*;
use serde_json::{Map, Value};
use std::path::{Path, PathBuf};
use std::process::Stdio;

/// Keys of a schema whose values are texts for readers and not part of the format.
const TEXT_KEYS: [&str; 2] = ["description", "title"];

struct Outcome {
    code: i32,
    stdout: String,
    stderr: String,
}

/// Runs the program in the directory of the fixtures.
fn run(args: &[&str]) -> Outcome {
    let folder: PathBuf = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures");
    let mut program = hollymux_command(Path::new(""), args);
    let output = program.current_dir(folder).stdout(Stdio::piped()).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    Outcome { code: output.status.code().unwrap(), stdout: text(output.stdout), stderr: text(output.stderr) }
}

/// Runs the program, expects success and returns its standard output.
fn printed(args: &[&str]) -> String {
    let outcome = run(args);
    assert_eq!(outcome.code, 0, "{args:?}: {}", outcome.stderr);
    outcome.stdout
}

#[test]
fn a_recording_of_an_earlier_version_has_the_same_summary() {
    insta::assert_snapshot!("record_info", printed(&["record", "info", "load.hmxload"]));
    insta::assert_snapshot!("record_info_json", printed(&["record", "info", "--json", "load.hmxload"]));
}

#[test]
fn a_plan_from_a_recording_of_an_earlier_version_is_the_same() {
    let args = ["plan", "--fleet", "fleet.json5", "--warm", "6", "--empty", "--load", "load.hmxload"];
    insta::assert_snapshot!("plan", printed(&args));
    insta::assert_snapshot!("plan_json", printed(&[&args[..], &["--json"]].concat()));
}

#[test]
fn an_operators_file_with_every_section_is_accepted() {
    insta::assert_snapshot!("check_accepted", printed(&["check", "operator.json5"]));
}

#[test]
fn errors_in_an_operators_file_are_reported_with_their_positions() {
    for file in ["operator-faulty", "operator-misfits"] {
        let outcome = run(&["check", &format!("{file}.json5")]);
        assert_eq!((outcome.code, outcome.stdout.as_str()), (2, ""));
        insta::assert_snapshot!(file, outcome.stderr);
    }
}

/// Reduces a schema to keys, types, defaults and bounds: removes the texts for readers, and
/// replaces references by the definitions.
fn structure(schema: &Value, definitions: &Map<String, Value>) -> Value {
    match schema {
        Value::Array(elements) => elements.iter().map(|element| structure(element, definitions)).collect(),
        Value::Object(members) => Value::Object(structure_of_object(members, definitions)),
        plain => plain.clone(),
    }
}

fn structure_of_object(members: &Map<String, Value>, definitions: &Map<String, Value>) -> Map<String, Value> {
    let mut reduced = Map::new();
    for (key, value) in members {
        match key.as_str() {
            "$defs" => {}
            "$ref" => {
                let name = value.as_str().unwrap().trim_start_matches("#/$defs/");
                let definition = definitions[name].as_object().unwrap();
                reduced.extend(structure_of_object(definition, definitions));
            }
            "properties" => {
                let properties = value.as_object().unwrap().iter();
                let each = properties.map(|(name, schema)| (name.clone(), structure(schema, definitions)));
                reduced.insert(key.clone(), Value::Object(each.collect()));
            }
            // These hold values, not schemas.
            "default" | "const" | "enum" => drop(reduced.insert(key.clone(), value.clone())),
            key if TEXT_KEYS.contains(&key) => {}
            _ => drop(reduced.insert(key.clone(), structure(value, definitions))),
        }
    }
    reduced
}

#[test]
fn schemas_keep_their_keys_types_defaults_and_bounds() {
    let commands: [(&str, &[&str]); 3] = [
        ("schema_of_operators_files", &["check", "--schema"]),
        ("schema_of_days", &["lab", "schema"]),
        ("schema_of_fleets", &["plan", "--schema"]),
    ];
    for (name, args) in commands {
        let schema: Value = serde_json::from_str(&printed(args)).unwrap();
        let definitions = schema.get("$defs").and_then(Value::as_object).cloned().unwrap_or_default();
        let structure = structure(&schema, &definitions);
        insta::assert_snapshot!(name, serde_json::to_string_pretty(&structure).unwrap());
    }
}
