//! Guards the files that operators and routers leave behind: a recording, an operator's file and the JSON Schemas must
//! be read, judged and printed by every later version as by the one that wrote the fixtures.

mod common;

use common::*;
use serde_json::{Map, Value};
use std::path::{Path, PathBuf};
use std::process::Stdio;

/// Keys of a schema whose values are words for readers; the rest is the format.
const WORDS: [&str; 2] = ["description", "title"];

struct Outcome {
    code: i32,
    out: String,
    err: String,
}

/// Runs the program in the folder of the fixtures.
fn run(args: &[&str]) -> Outcome {
    let folder: PathBuf = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures");
    let mut program = hollymux_command(Path::new(""), args);
    let output = program.current_dir(folder).stdout(Stdio::piped()).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    Outcome { code: output.status.code().unwrap(), out: text(output.stdout), err: text(output.stderr) }
}

/// What the program prints if it accepts its arguments.
fn printed(args: &[&str]) -> String {
    let outcome = run(args);
    assert_eq!(outcome.code, 0, "{args:?}: {}", outcome.err);
    outcome.out
}

#[test]
fn a_recording_of_an_earlier_version_holds_the_same() {
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
fn faults_of_an_operators_file_are_told_with_their_places() {
    for file in ["operator-faulty", "operator-misfits"] {
        let outcome = run(&["check", &format!("{file}.json5")]);
        assert_eq!((outcome.code, outcome.out.as_str()), (2, ""));
        insta::assert_snapshot!(file, outcome.err);
    }
}

/// A schema without words for readers, and with definitions in the places that refer to them: what is left are keys,
/// types, defaults and bounds.
fn structure(schema: &Value, definitions: &Map<String, Value>) -> Value {
    match schema {
        Value::Array(elements) => elements.iter().map(|element| structure(element, definitions)).collect(),
        Value::Object(members) => Value::Object(structure_of_object(members, definitions)),
        plain => plain.clone(),
    }
}

fn structure_of_object(members: &Map<String, Value>, definitions: &Map<String, Value>) -> Map<String, Value> {
    let mut out = Map::new();
    for (key, value) in members {
        match key.as_str() {
            "$defs" => {}
            "$ref" => {
                let name = value.as_str().unwrap().trim_start_matches("#/$defs/");
                let definition = definitions[name].as_object().unwrap();
                out.extend(structure_of_object(definition, definitions));
            }
            "properties" => {
                let properties = value.as_object().unwrap().iter();
                let each = properties.map(|(name, schema)| (name.clone(), structure(schema, definitions)));
                out.insert(key.clone(), Value::Object(each.collect()));
            }
            // Values, not schemas.
            "default" | "const" | "enum" => drop(out.insert(key.clone(), value.clone())),
            word if WORDS.contains(&word) => {}
            _ => drop(out.insert(key.clone(), structure(value, definitions))),
        }
    }
    out
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
