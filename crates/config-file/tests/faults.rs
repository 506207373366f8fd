//! Tests that all faults of a document are reported together, each with its position and field.

use hollymux_config_file::{read, Check, Fault, Faults};
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Machine {
    cores: f64,
    #[serde(default)]
    name: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    boxes: Vec<Machine>,
    #[serde(default)]
    port: u16,
}

impl Check for Document {
    fn check(&self, faults: &mut Faults) {
        for (index, machine) in self.boxes.iter().enumerate() {
            faults.require(machine.cores > 0.0, format!("boxes[{index}].cores"), "must be above 0");
        }
    }
}

/// Returns the faults of an invalid document as formatted lines.
fn faults_of(text: &str) -> Vec<String> {
    read::<Document>(text).unwrap_err().iter().map(Fault::to_string).collect()
}

/// Guards against wrong positions: the search for faults removes faulty values, which shifts the
/// indices of later array elements.
#[test]
fn every_fault_is_reported_with_its_position() {
    let text = "{\n  // two boxes\n  boxes: [{cores: 'four'}, {cores: 2, nmae: 'b'}],\n  \
                port: 70000,\n  x: 1,\n}";
    let faults = faults_of(text);
    assert_eq!(faults.len(), 4, "{faults:?}");
    assert!(faults[0].starts_with("3:19: boxes[0].cores: invalid type: string"), "{faults:?}");
    // A value of the first element was removed before, but the index is that of the original array.
    assert!(faults[1].starts_with("3:45: boxes[1].nmae: unknown field"), "{faults:?}");
    assert!(faults.iter().any(|fault| fault.starts_with("4:9: port: invalid value")), "{faults:?}");
    assert!(faults.iter().any(|fault| fault.starts_with("5:6: x: unknown field")), "{faults:?}");
}

#[test]
fn faults_of_the_check_are_reported_with_their_positions() {
    let faults = faults_of("{boxes: [{cores: 1}, {cores: 0, name: 'b'},\n {cores: -1}]}");
    assert_eq!(faults, ["1:30: boxes[1].cores: must be above 0", "2:10: boxes[2].cores: must be above 0"]);
}

#[test]
fn invalid_json5_a_duplicate_field_and_a_missing_field_are_reported_as_one_fault_each() {
    assert_eq!(faults_of("{boxes: [}").len(), 1);
    assert_eq!(faults_of("").len(), 1);
    let duplicate = faults_of("{boxes: [], port: 1, port: 2}");
    assert_eq!(duplicate.len(), 1);
    assert!(duplicate[0].contains("duplicate field"), "{duplicate:?}");
    assert_eq!(faults_of("{port: 1}"), ["1:1: missing field `boxes`"]);
    let document = read::<Document>("{boxes: [{cores: 1.5, name: 'a'}], port: 7}").unwrap();
    let machine = &document.boxes[0];
    assert_eq!((machine.cores, machine.name.as_str(), document.port), (1.5, "a", 7));
}
