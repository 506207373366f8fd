//! What another configuration file has to hold before it may take the place of the one in force: whole, with every
//! key that there is now, deadlines and attempts that are numbers above 0, and names that go on meaning the same.

use crate::config::below;
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// Why a file can't take the place of the one in force: the field, and what is wrong with it.
pub(crate) fn fault(old: &Value, new: &Value) -> Option<String> {
    lacking("", old, new)
        .map(|key| format!("{key} is missing"))
        .or_else(|| numbers(new))
        .or_else(|| classes(new))
        .or_else(|| kept(old, new, "failureDomains").or_else(|| kept(old, new, "models")))
}

/// The first key that one has and the other lacks; what stands there without a value is no key.
fn lacking(path: &str, old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        // The events known at a start differ from file to file.
        (Value::Object(old), Value::Object(new)) => {
            old.iter().filter(|(_, v)| !v.is_null()).find_map(|(k, v)| {
                match new.get(k).filter(|v| !v.is_null()) {
                    None => Some(below(path, k)),
                    Some(_) if path.is_empty() && k == "known" => None,
                    Some(there) => lacking(&below(path, k), v, there),
                }
            })
        }
        (Value::Object(_), _) => Some(path.to_string()),
        (Value::Array(old), Value::Array(new)) if old.iter().any(Value::is_object) => each(path, old, new),
        (Value::Array(_), Value::Array(_)) => None,
        (Value::Array(_), _) => Some(path.to_string()),
        _ => None,
    }
}

/// A list of objects that come and go, by name: each needs what all of them have now, and one that stays what it has.
fn each(path: &str, old: &[Value], new: &[Value]) -> Option<String> {
    let name = |v: &Value| v.get("name").cloned();
    let keys = |v: &Value| -> BTreeSet<String> {
        let present =
            |o: &Map<String, Value>| o.iter().filter(|e| !e.1.is_null()).map(|e| e.0.clone()).collect();
        v.as_object().map(present).unwrap_or_default()
    };
    let common = old.iter().map(keys).reduce(|a, b| &a & &b).unwrap_or_default();
    new.iter().enumerate().find_map(|(i, item)| {
        let own =
            old.iter().find(|o| name(o).is_some() && name(o) == name(item)).map(keys).unwrap_or_default();
        let there = keys(item);
        let gap = common.union(&own).find(|k| !there.contains(*k)).cloned();
        gap.map(|key| format!("{path}.{i}.{key}"))
    })
}

/// A deadline or a number of attempts that is no number above 0.
fn numbers(new: &Value) -> Option<String> {
    let above = |v: Option<&Value>| v.and_then(Value::as_f64).is_some_and(|n| n > 0.0 && n.is_finite());
    let settings = new.get("settings")?;
    let limits = settings.get("limits");
    if !above(limits.and_then(|l| l.get("sendCap"))) {
        return Some("settings.limits.sendCap is no number above 0".into());
    }
    let classes = settings.get("classes").and_then(Value::as_array)?;
    classes.iter().enumerate().find_map(|(i, class)| {
        let bad = ["onTime", "hardLimit"].into_iter().find(|k| !above(class.get(k)));
        bad.map(|key| format!("settings.classes.{i}.{key} is no number above 0"))
    })
}

/// Classes that can't be told apart, or none at all.
fn classes(new: &Value) -> Option<String> {
    let Some(classes) = new.get("settings").and_then(|s| s.get("classes")).and_then(Value::as_array) else {
        return Some("settings.classes is no list".into());
    };
    if classes.is_empty() {
        return Some("settings.classes is empty".into());
    }
    let mut seen = BTreeSet::new();
    classes.iter().enumerate().find_map(|(i, class)| {
        let name = class.get("name").and_then(Value::as_str).filter(|n| !n.is_empty());
        match name {
            None => Some(format!("settings.classes.{i}.name is no name")),
            Some(name) if !seen.insert(name) => {
                Some(format!("settings.classes.{i}.name: {name:?} stands twice"))
            }
            Some(_) => None,
        }
    })
}

/// Names that stand for numbers in the list of members: those that are known keep their places.
fn kept(old: &Value, new: &Value, key: &str) -> Option<String> {
    let list = |v: &Value| v.get("settings").and_then(|s| s.get(key)).and_then(Value::as_array).cloned();
    let (old, new) = (list(old)?, list(new).unwrap_or_default());
    let same = new.len() >= old.len() && old.iter().zip(&new).all(|(a, b)| a == b);
    (!same).then(|| format!("settings.{key}: names that are known must keep their places"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

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
    fn keys(path: &[String], v: &Value, all: &mut Vec<Vec<String>>) {
        let below = |k: String| path.iter().cloned().chain([k]).collect::<Vec<_>>();
        match v {
            Value::Object(o) => o.iter().for_each(|(k, v)| {
                all.push(below(k.clone()));
                keys(&below(k.clone()), v, all);
            }),
            Value::Array(a) => a.iter().enumerate().for_each(|(i, v)| keys(&below(i.to_string()), v, all)),
            _ => {}
        }
    }

    /// Guards against a file that is taken though it lacks something.
    #[test]
    fn a_file_that_lacks_any_key_is_turned_down() {
        let (old, mut all) = (file(), Vec::new());
        assert_eq!(fault(&old, &old), None);
        keys(&[], &old, &mut all);
        assert!(all.len() > 20);
        for path in all.iter().filter(|p| p.len() < 2 || p[0] != "known") {
            for null in [false, true] {
                let mut new = old.clone();
                let (last, above) = path.split_last().unwrap();
                let parent =
                    new.pointer_mut(&above.iter().map(|k| format!("/{k}")).collect::<String>()).unwrap();
                if null {
                    parent[last.as_str()] = Value::Null;
                } else {
                    parent.as_object_mut().unwrap().remove(last);
                }
                assert!(fault(&old, &new).is_some(), "without {path:?}");
            }
        }
    }

    /// Guards against deadlines and attempts that are none, and against names that change their meaning.
    #[test]
    fn what_cannot_be_is_turned_down_by_its_name() {
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
        for (at, value, said) in cases {
            let mut new = old.clone();
            *new.pointer_mut(at).unwrap() = value;
            let fault = fault(&old, &new).unwrap_or_else(|| panic!("{at} is taken"));
            assert!(fault.contains(said), "{fault}");
        }
    }

    /// Guards against good files being turned down: classes come, go and change, names are added.
    #[test]
    fn classes_come_and_go() {
        let old = file();
        let mut new = old.clone();
        new["settings"]["classes"] = json!([
            {"name": "maps", "onTime": 1.5, "hardLimit": 2, "effect": "fragile", "more": 1},
            {"name": "docs", "onTime": 1, "hardLimit": 9, "effect": "fragile"}]);
        new["settings"]["models"] = json!(["std", "big"]);
        new["known"] = json!({"n": 9, "events": [{"n": 9}]});
        assert_eq!(fault(&old, &new), None);
    }
}
