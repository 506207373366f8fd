//! Nested JSON as paths and values.

use serde_json::Value;
use std::collections::BTreeMap;

/// Numbers below this are whole in a double exactly.
const MAX_EXACT_WHOLE: f64 = 1e15;

/// The path of a field below another one.
pub(super) fn child_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}

/// Adds a value and all below it to `entries`, as the decision module's settings are named. A list
/// of objects has its length under `count`; any other list is one value with commas.
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

fn scalar_text(value: &Value) -> String {
    match value.as_str() {
        Some(text) => text.to_string(),
        None => whole_number_text(value).unwrap_or_else(|| value.to_string()),
    }
}

/// A whole number reads the same however it is written: `5e6` as `5000000`.
fn whole_number_text(value: &Value) -> Option<String> {
    let number = value.as_f64()?;
    let is_whole = number.fract() == 0.0 && number.abs() < MAX_EXACT_WHOLE;
    is_whole.then(|| format!("{number:.0}"))
}
