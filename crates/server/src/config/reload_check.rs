//! What another configuration file must contain before it may replace the one in force: it is
//! complete, with every key that there is now, its deadlines and attempts are numbers above 0, and
//! names go on meaning the same.

use super::flatten::child_path;
use super::{Config, ConfigError};
use serde_json::Value;
use std::collections::BTreeSet;

/// Why a file may not replace the one in force; the field comes first.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplacementError {
    /// The file in force has this key.
    #[error("{0} is missing")]
    MissingKey(String),
    /// A deadline, or a number of attempts.
    #[error("{0} is no number above 0")]
    NotPositive(String),
    /// The classes are no list.
    #[error("settings.classes is no list")]
    NoClassList,
    /// There are no classes.
    #[error("settings.classes is empty")]
    NoClasses,
    /// A class without a name.
    #[error("settings.classes.{index}.name is no name")]
    UnnamedClass {
        /// Its place in the list.
        index: usize,
    },
    /// A class that can't be told apart from another one.
    #[error("settings.classes.{index}.name: {name:?} stands twice")]
    DuplicateClass {
        /// Its place in the list.
        index: usize,
        /// The name of both.
        name: String,
    },
    /// Endpoint events refer to these names by their places.
    #[error("settings.{key}: names that are known must keep their places")]
    MovedNames {
        /// The list of names.
        key: &'static str,
    },
}

impl Config {
    /// Whether another configuration may replace this one.
    ///
    /// # Errors
    ///
    /// The first reason why it may not.
    pub fn check_replacement(&self, new: &Config) -> Result<(), ConfigError> {
        Ok(check_replacement(&self.file, &new.file)?)
    }
}

/// Whether a file may replace the one in force.
///
/// # Errors
///
/// The first reason why it may not.
pub fn check_replacement(old: &Value, new: &Value) -> Result<(), ReplacementError> {
    if let Some(key) = first_missing_key("", old, new) {
        return Err(ReplacementError::MissingKey(key));
    }
    check_positive_numbers(new)?;
    check_class_names(new)?;
    check_names_keep_places(old, new, "failureDomains")?;
    check_names_keep_places(old, new, "models")
}

/// The first key that `old` has and `new` lacks. A key whose value is null counts as absent.
fn first_missing_key(path: &str, old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            let present = old.iter().filter(|(_, value)| !value.is_null());
            present.into_iter().find_map(|(key, old_value)| {
                match new.get(key).filter(|value| !value.is_null()) {
                    None => Some(child_path(path, key)),
                    // The endpoint events that are known differ from file to file.
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

/// In a list of objects that come and go, by name: each needs the keys that all of them have now,
/// and one that stays the keys that it has.
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

fn present_keys(value: &Value) -> BTreeSet<String> {
    let Some(fields) = value.as_object() else { return BTreeSet::new() };
    let present = fields.iter().filter(|(_, field)| !field.is_null());
    present.map(|(key, _)| key.clone()).collect()
}

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

/// Classes must exist, and must differ in their names.
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

/// Names stand for numbers in the endpoint list: those that are known keep their places.
fn check_names_keep_places(old: &Value, new: &Value, key: &'static str) -> Result<(), ReplacementError> {
    let Some(old_names) = names(old, key) else { return Ok(()) };
    let new_names = names(new, key).unwrap_or_default();
    if new_names.starts_with(old_names) {
        Ok(())
    } else {
        Err(ReplacementError::MovedNames { key })
    }
}

fn names<'a>(file: &'a Value, key: &str) -> Option<&'a [Value]> {
    Some(file.get("settings")?.get(key)?.as_array()?.as_slice())
}
