//! Conversion of nested JSON to a map from paths to values.

use serde_json::Value;
use std::collections::BTreeMap;

/// Integers below this magnitude are represented exactly by a double.
const MAX_EXACT_WHOLE: f64 = 1e15;

/// The path of the field `key` in the object at `path`.
pub(super) fn child_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}

/// Adds a value and everything nested in it to `entries`, under the names of the decision module's
/// settings. For a list of objects, its length is added under `count`; any other list becomes one
/// comma-separated value.
pub(super) fn flatten(path: &str, value: &Value, entries: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                flatten(&child_path(path, key), field, entries);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            entries.insert(child_path(path, "count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(&child_path(path, &index.to_string()), item, entries);
            }
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().map(scalar_text).collect();
            entries.insert(path.to_string(), texts.join(","));
        }
        Value::Null => {}
        scalar => {
            entries.insert(path.to_string(), scalar_text(scalar));
        }
    }
}

/// The text of a scalar value; a string is added without its quotes.
fn scalar_text(value: &Value) -> String {
    match value.as_str() {
        Some(text) => text.to_string(),
        None => whole_number_text(value).unwrap_or_else(|| value.to_string()),
    }
}

/// The digits of an integer, so that `5e6` and `5000000` give the same text. `None` for a value
/// that is no integer or too large to be exact.
fn whole_number_text(value: &Value) -> Option<String> {
    let number = value.as_f64()?;
    let is_whole = number.fract() == 0.0 && number.abs() < MAX_EXACT_WHOLE;
    is_whole.then(|| format!("{number:.0}"))
}
