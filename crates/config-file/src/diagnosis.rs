//! Search for all faults of a document.
//!
//! Deserialization stops at the first fault. Therefore the faulty value is removed from a copy of
//! the document and the rest is deserialized again, until that succeeds or no value can be removed.

use crate::fault::{Fault, Faults};
use crate::field_path::{format_field, original_path, parse_field, remove, steps_of, Step};
use crate::locate::{nearest_position, Position};
use crate::{Check, MAX_FAULTS};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Maximum number of values removed from one document. It exceeds the maximum number of faults,
/// since the removal of a mandatory field causes an error of its own that is not reported.
const MAX_REMOVALS: usize = 2 * MAX_FAULTS;

/// A parser error with the path to the faulty value.
pub(crate) type ParseError = serde_path_to_error::Error<json5::Error>;

/// Parses a document without checking it.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ParseError> {
    serde_path_to_error::deserialize(&mut json5::Deserializer::from_str(text))
}

/// Checks a parsed document and returns its faults with their positions.
pub(crate) fn locate_check_faults<T: Check>(text: &str, document: &T) -> Vec<Fault> {
    let mut faults = Faults::default();
    document.check(&mut faults);
    let locate = |fault: crate::fault::CheckFault| {
        let position = nearest_position(text, &parse_field(&fault.field));
        Fault::at(position, fault.field, fault.message)
    };
    faults.into_reported().into_iter().map(locate).collect()
}

/// Returns the faults of a document whose parsing failed with `first_error`.
pub(crate) fn find_faults<T: DeserializeOwned + Check>(text: &str, first_error: &ParseError) -> Vec<Fault> {
    let document: Value = match json5::from_str(text) {
        Ok(document) => document,
        Err(error) => return vec![parser_fault(&error, String::new())],
    };
    let mut search = Search { text, document, removed: Vec::new(), faults: Vec::new() };
    search.run::<T>();
    if search.faults.is_empty() {
        // The fault is in the text but not in the parsed value, such as a duplicate key of an
        // object.
        let field = format_field(&steps_of(first_error.path()));
        return vec![parser_fault(first_error.inner(), field)];
    }
    search.faults
}

/// Converts a parser error into a fault. The position is removed from the message, since it is part
/// of the fault.
fn parser_fault(error: &json5::Error, field: String) -> Fault {
    let full_message = error.code().map_or_else(|| error.to_string(), |code| code.to_string());
    let message = full_message.rsplit_once(" at ").map_or(full_message.as_str(), |(head, _position)| head);
    Fault::at(Position::of_error(error), field, message.to_string())
}

/// State of the search for faults of one document.
struct Search<'a> {
    text: &'a str,
    /// Document without the values removed so far.
    document: Value,
    /// Paths of the removed values in the original document.
    removed: Vec<Vec<Step>>,
    /// Faults found so far.
    faults: Vec<Fault>,
}

impl Search<'_> {
    /// Deserializes the document repeatedly and removes the faulty value each time. Checks the rest
    /// as soon as it can be deserialized.
    fn run<T: DeserializeOwned + Check>(&mut self) {
        for _ in 0..MAX_REMOVALS {
            match serde_path_to_error::deserialize::<_, T>(&self.document) {
                Ok(document) => return self.check(&document),
                Err(error) => {
                    let path = steps_of(error.path());
                    self.report_type_fault(&path, error.inner().to_string());
                    if !self.remove(&path) {
                        return;
                    }
                }
            }
        }
    }

    /// Checks the remaining document. Faults of a field are not reported if the field or a value in
    /// it was removed.
    fn check<T: Check>(&mut self, document: &T) {
        let mut faults = Faults::default();
        document.check(&mut faults);
        for fault in faults.into_reported() {
            let path = original_path(&parse_field(&fault.field), &self.removed);
            let is_incomplete = self.removed.iter().any(|removed| removed.starts_with(&path));
            if !is_incomplete {
                self.report(&path, fault.message);
            }
        }
    }

    /// Reports a deserialization error at a path of the remaining document, unless the error
    /// results from the removal of a value.
    fn report_type_fault(&mut self, path: &[Step], message: String) {
        let path = original_path(path, &self.removed);
        if !self.is_removed_field(&path, &message) {
            self.report(&path, message);
        }
    }

    /// Returns true if the message reports a missing field that was removed from this object
    /// before. `object` is the path of the object in the original document.
    fn is_removed_field(&self, object: &[Step], message: &str) -> bool {
        let Some(rest) = message.strip_prefix("missing field `") else { return false };
        let name = rest.split('`').next().unwrap_or(rest);
        let mut path = object.to_vec();
        path.push(Step::Key(name.to_string()));
        self.removed.contains(&path)
    }

    /// Adds a fault. `path` is a path in the original document.
    fn report(&mut self, path: &[Step], message: String) {
        let position = nearest_position(self.text, path);
        self.faults.push(Fault::at(position, format_field(path), message));
    }

    /// Removes the value at a path of the remaining document. Returns false if there is no such
    /// value.
    fn remove(&mut self, path: &[Step]) -> bool {
        let original = original_path(path, &self.removed);
        let is_removed = remove(&mut self.document, path);
        if is_removed {
            self.removed.push(original);
        }
        is_removed
    }
}
