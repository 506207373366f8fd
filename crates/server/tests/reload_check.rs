//! Tests that a configuration file does not replace the one in force if it lacks a key or changes
//! the meaning of a name.

use hollymux_server::config::reload_check::check_replacement;
use serde_json::{json, Value};

fn file() -> Value {
    json!({"name": "n1", "feed": "a", "known": {"n": 3, "events": []}, "settings": {
        "failureDomains": ["a", "b"], "models": ["std"],
        "limits": {"sendCap": 6, "cancel": true},
        "familyInfo": {"maxAge": [0, 1]},
        "classes": [
            {"name": "docs", "onTime": 1, "hardLimit": 2, "effect": "retryable"},
            {"name": "filing", "onTime": 1, "hardLimit": 2, "effect": "dedup", "keyTtl": 4}]}})
}

/// Collects the paths of all keys in a file, nested ones included.
fn collect_key_paths(path: &[String], value: &Value, paths: &mut Vec<Vec<String>>) {
    let child = |key: String| path.iter().cloned().chain([key]).collect::<Vec<_>>();
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                paths.push(child(key.clone()));
                collect_key_paths(&child(key.clone()), field, paths);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                collect_key_paths(&child(index.to_string()), item, paths);
            }
        }
        _ => {}
    }
}

/// Guards against a file being accepted although a key is missing or null.
#[test]
fn a_file_without_any_one_key_is_rejected() {
    let old = file();
    let mut paths = Vec::new();
    assert_eq!(check_replacement(&old, &old), Ok(()));
    collect_key_paths(&[], &old, &mut paths);
    assert!(paths.len() > 20);
    for path in paths.iter().filter(|p| p.len() < 2 || p[0] != "known") {
        for is_null in [false, true] {
            let mut new = old.clone();
            let (key, parent_path) = path.split_last().unwrap();
            let parent =
                new.pointer_mut(&parent_path.iter().map(|k| format!("/{k}")).collect::<String>()).unwrap();
            if is_null {
                parent[key.as_str()] = Value::Null;
            } else {
                parent.as_object_mut().unwrap().remove(key);
            }
            assert!(check_replacement(&old, &new).is_err(), "a file without {path:?} is accepted");
        }
    }
}

/// Guards against deadlines and attempt limits that are not positive numbers, and against names
/// that change their meaning. The error must name the key.
#[test]
fn an_invalid_value_is_rejected_by_its_key() {
    let old = file();
    let cases = [
        ("/settings/limits/sendCap", json!(0), "settings.limits.sendCap"),
        ("/settings/limits/sendCap", json!("6"), "settings.limits.sendCap"),
        ("/settings/limits/sendCap", json!(-1), "settings.limits.sendCap"),
        ("/settings/classes/1/hardLimit", json!(0), "settings.classes.1.hardLimit"),
        ("/settings/classes/0/hardLimit", json!("soon"), "settings.classes.0.hardLimit"),
        ("/settings/classes/0/onTime", json!(-0.5), "settings.classes.0.onTime"),
        ("/settings/classes/1/name", json!("docs"), "\"docs\" is the name of two classes"),
        ("/settings/classes", json!([]), "settings.classes is empty"),
        ("/settings/classes", json!({}), "settings.classes"),
        ("/settings/models", json!(["big", "std"]), "settings.models"),
        ("/settings/familyInfo", json!(7), "settings.familyInfo"),
    ];
    for (pointer, value, expected) in cases {
        let mut new = old.clone();
        *new.pointer_mut(pointer).unwrap() = value;
        let error = check_replacement(&old, &new).expect_err(pointer).to_string();
        assert!(error.contains(expected), "{error}");
    }
}

/// Guards against valid files being rejected: classes may be added, removed and changed, and names
/// may be added.
#[test]
fn classes_may_be_added_removed_and_changed() {
    let old = file();
    let mut new = old.clone();
    new["settings"]["classes"] = json!([
        {"name": "maps", "onTime": 1.5, "hardLimit": 2, "effect": "fragile", "more": 1},
        {"name": "docs", "onTime": 1, "hardLimit": 9, "effect": "fragile"}]);
    new["settings"]["models"] = json!(["std", "big"]);
    new["known"] = json!({"n": 9, "events": [{"n": 9}]});
    assert_eq!(check_replacement(&old, &new), Ok(()));
}
