//! The conditions under which a new configuration file may replace the one in force: every key of
//! the old file is still present, all deadlines and the attempt limit are positive numbers, class
//! names are unique, and known names keep their positions in their lists.

use super::flatten::child_path;
use super::{Config, ConfigError};
use serde_json::Value;
use std::collections::BTreeSet;

/// Why a file may not replace the one in force. The text of an error starts with the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplacementError {
    /// The new file lacks this key, which the file in force has.
    #[error("{0} is missing")]
    MissingKey(String),
    /// This deadline, latency objective or attempt limit is not a positive number.
    #[error("{0} must be a number greater than 0")]
    NotPositive(String),
    /// The key `settings.classes` is absent or not a list.
    #[error("settings.classes must be a list")]
    NoClassList,
    /// The list of classes is empty.
    #[error("settings.classes is empty")]
    NoClasses,
    /// A class has no name, or an empty one.
    #[error("settings.classes.{index}.name must be a non-empty string")]
    UnnamedClass {
        /// The index of the class in the list.
        index: usize,
    },
    /// A class has the same name as an earlier one.
    #[error("settings.classes.{index}.name: {name:?} is the name of two classes")]
    DuplicateClass {
        /// The index of the class in the list.
        index: usize,
        /// The name that both classes have.
        name: String,
    },
    /// A name was removed from the list or moved. Endpoint events refer to the names by index.
    #[error("settings.{key}: known names must keep their positions")]
    MovedNames {
        /// The key of the list of names within `settings`.
        key: &'static str,
    },
}

impl Config {
    /// Checks whether another configuration may replace this one.
    ///
    /// # Errors
    ///
    /// If `new` may not replace it; the error is the first reason found.
    pub fn check_replacement(&self, new: &Config) -> Result<(), ConfigError> {
        Ok(check_replacement(&self.file, &new.file)?)
    }
}

/// Checks whether the configuration file `new` may replace `old`.
///
/// # Errors
///
/// If it may not; the error is the first reason found.
pub fn check_replacement(old: &Value, new: &Value) -> Result<(), ReplacementError> {
    if let Some(key) = first_missing_key("", old, new) {
        return Err(ReplacementError::MissingKey(key));
    }
    check_positive_numbers(new)?;
    check_class_names(new)?;
    check_names_keep_positions(old, new, "failureDomains")?;
    check_names_keep_positions(old, new, "models")
}

/// The path of the first key that `old` has and `new` lacks; `None` if there is none. A key whose
/// value is null counts as absent.
fn first_missing_key(path: &str, old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            let present = old.iter().filter(|(_, value)| !value.is_null());
            present.into_iter().find_map(|(key, old_value)| {
                match new.get(key).filter(|value| !value.is_null()) {
                    None => Some(child_path(path, key)),
                    // The section `known` differs from file to file, so its contents are not
                    // compared.
                    Some(_) if path.is_empty() && key == "known" => None,
                    Some(new_value) => first_missing_key(&child_path(path, key), old_value, new_value),
                }
            })
        }
        (Value::Array(old), Value::Array(new)) if old.iter().any(Value::is_object) => {
            first_missing_item_key(path, old, new)
        }
        (Value::Array(_), Value::Array(_)) => None,
        (Value::Object(_) | Value::Array(_), _) => Some(path.to_string()),
        _ => None,
    }
}

/// The path of the first missing key in a list of objects, which are matched by name. Every new
/// object needs the keys that all old objects have, and an object that also exists in the old list
/// needs all keys that it had there.
fn first_missing_item_key(path: &str, old: &[Value], new: &[Value]) -> Option<String> {
    let common = old.iter().map(present_keys).reduce(|left, right| &left & &right).unwrap_or_default();
    new.iter().enumerate().find_map(|(index, item)| {
        let name = item.get("name");
        let predecessor = old.iter().find(|other| name.is_some() && other.get("name") == name);
        let own = predecessor.map(present_keys).unwrap_or_default();
        let present = present_keys(item);
        let missing = common.union(&own).find(|key| !present.contains(*key))?;
        Some(format!("{path}.{index}.{missing}"))
    })
}

/// The keys of an object whose values are not null.
fn present_keys(value: &Value) -> BTreeSet<String> {
    let Some(fields) = value.as_object() else { return BTreeSet::new() };
    let present = fields.iter().filter(|(_, field)| !field.is_null());
    present.map(|(key, _)| key.clone()).collect()
}

/// Checks that the attempt limit, and the latency objective and deadline of every class, are
/// positive numbers.
fn check_positive_numbers(new: &Value) -> Result<(), ReplacementError> {
    let Some(settings) = new.get("settings") else { return Ok(()) };
    let max_attempts = settings.get("limits").and_then(|limits| limits.get("sendCap"));
    if !is_positive(max_attempts) {
        return Err(ReplacementError::NotPositive("settings.limits.sendCap".into()));
    }
    let classes = settings.get("classes").and_then(Value::as_array);
    for (index, class) in classes.into_iter().flatten().enumerate() {
        for key in ["onTime", "hardLimit"] {
            if !is_positive(class.get(key)) {
                return Err(ReplacementError::NotPositive(format!("settings.classes.{index}.{key}")));
            }
        }
    }
    Ok(())
}

fn is_positive(value: Option<&Value>) -> bool {
    let number = value.and_then(Value::as_f64);
    number.is_some_and(|number| number > 0.0 && number.is_finite())
}

/// Checks that the list of classes is not empty and that every class has a unique name.
fn check_class_names(new: &Value) -> Result<(), ReplacementError> {
    let classes = new.get("settings").and_then(|settings| settings.get("classes"));
    let Some(classes) = classes.and_then(Value::as_array) else { return Err(ReplacementError::NoClassList) };
    if classes.is_empty() {
        return Err(ReplacementError::NoClasses);
    }
    let mut seen = BTreeSet::new();
    for (index, class) in classes.iter().enumerate() {
        let name = class.get("name").and_then(Value::as_str).filter(|name| !name.is_empty());
        let Some(name) = name else { return Err(ReplacementError::UnnamedClass { index }) };
        if !seen.insert(name) {
            return Err(ReplacementError::DuplicateClass { index, name: name.to_string() });
        }
    }
    Ok(())
}

/// Checks that the new list of names starts with the old one: events of the endpoint feed refer to
/// the names by index.
fn check_names_keep_positions(old: &Value, new: &Value, key: &'static str) -> Result<(), ReplacementError> {
    let Some(old_names) = names(old, key) else { return Ok(()) };
    let new_names = names(new, key).unwrap_or_default();
    if new_names.starts_with(old_names) {
        Ok(())
    } else {
        Err(ReplacementError::MovedNames { key })
    }
}

/// The list of names under a key of `settings`; `None` if it is absent or not a list.
fn names<'a>(file: &'a Value, key: &str) -> Option<&'a [Value]> {
    Some(file.get("settings")?.get(key)?.as_array()?.as_slice())
}
