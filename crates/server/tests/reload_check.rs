//! A configuration file that lacks something, or changes what names mean, must not replace the one
//! in force.

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

/// Every place of a file at which a key could be missing.
fn collect_key_paths(path: &[String], value: &Value, all: &mut Vec<Vec<String>>) {
    let child = |key: String| path.iter().cloned().chain([key]).collect::<Vec<_>>();
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                all.push(child(key.clone()));
                collect_key_paths(&child(key.clone()), field, all);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                collect_key_paths(&child(index.to_string()), item, all);
            }
        }
        _ => {}
    }
}

/// Guards against a file that is accepted though it lacks something.
#[test]
fn a_file_that_lacks_any_key_is_rejected() {
    let old = file();
    let mut all = Vec::new();
    assert_eq!(check_replacement(&old, &old), Ok(()));
    collect_key_paths(&[], &old, &mut all);
    assert!(all.len() > 20);
    for path in all.iter().filter(|p| p.len() < 2 || p[0] != "known") {
        for null in [false, true] {
            let mut new = old.clone();
            let (last, above) = path.split_last().unwrap();
            let parent = new.pointer_mut(&above.iter().map(|k| format!("/{k}")).collect::<String>()).unwrap();
            if null {
                parent[last.as_str()] = Value::Null;
            } else {
                parent.as_object_mut().unwrap().remove(last);
            }
            assert!(check_replacement(&old, &new).is_err(), "without {path:?}");
        }
    }
}

/// Guards against deadlines and attempts that are no numbers above 0, and against names that change
/// their meaning.
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
        ("/settings/classes/1/name", json!("docs"), "stands twice"),
        ("/settings/classes", json!([]), "settings.classes is empty"),
        ("/settings/classes", json!({}), "settings.classes"),
        ("/settings/models", json!(["big", "std"]), "settings.models"),
        ("/settings/familyInfo", json!(7), "settings.familyInfo"),
    ];
    for (at, value, expected) in cases {
        let mut new = old.clone();
        *new.pointer_mut(at).unwrap() = value;
        let error = check_replacement(&old, &new).expect_err(at).to_string();
        assert!(error.contains(expected), "{error}");
    }
}

/// Guards against good files being rejected: classes are added, removed and changed, names are
/// added.
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
