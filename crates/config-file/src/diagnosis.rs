//! Finding all faults of a document.
//!
//! serde stops at the first fault. So the value at fault is removed from a copy of the document and
//! the rest is read again, until it can be read or nothing is left to remove.

use crate::fault::{Fault, Faults};
use crate::field_path::{format_field, original_path, parse_field, remove, steps_of, Step};
use crate::locate::{nearest_position, Position};
use crate::{Check, MAX_FAULTS};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Most values removed from one document. Some removals find no fault of their own, since a field
/// that was removed is reported as missing.
const MAX_REMOVALS: usize = 2 * MAX_FAULTS;

/// An error of the parser with the path to the value at fault.
pub(crate) type ParseError = serde_path_to_error::Error<json5::Error>;

pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ParseError> {
    serde_path_to_error::deserialize(&mut json5::Deserializer::from_str(text))
}

/// The faults that the check of a document finds, with their positions.
pub(crate) fn locate_check_faults<T: Check>(text: &str, document: &T) -> Vec<Fault> {
    let mut found = Faults::default();
    document.check(&mut found);
    let locate = |fault: crate::fault::CheckFault| {
        let position = nearest_position(text, &parse_field(&fault.field));
        Fault::at(position, fault.field, fault.what)
    };
    found.into_reported().into_iter().map(locate).collect()
}

/// All faults of a document that can't be parsed.
pub(crate) fn find_faults<T: DeserializeOwned + Check>(text: &str, first_error: &ParseError) -> Vec<Fault> {
    let document: Value = match json5::from_str(text) {
        Ok(document) => document,
        Err(error) => return vec![parser_fault(&error, String::new())],
    };
    let mut search = Search { text, document, removed: Vec::new(), faults: Vec::new() };
    search.run::<T>();
    if search.faults.is_empty() {
        // The fault is in the text only, such as a key that stands twice in an object.
        let field = format_field(&steps_of(first_error.path()));
        return vec![parser_fault(first_error.inner(), field)];
    }
    search.faults
}

/// A fault at the position that the parser gives.
fn parser_fault(error: &json5::Error, field: String) -> Fault {
    let message = error.code().map_or_else(|| error.to_string(), |code| code.to_string());
    let what = message.rsplit_once(" at ").map_or(message.as_str(), |(head, _position)| head);
    Fault::at(Position::of_error(error), field, what.to_string())
}

struct Search<'a> {
    text: &'a str,
    /// The document without the values that were removed.
    document: Value,
    /// The values removed, by their paths in the original document.
    removed: Vec<Vec<Step>>,
    faults: Vec<Fault>,
}

impl Search<'_> {
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

    /// Checks what is left. Faults of a field from which something was removed are not reported.
    fn check<T: Check>(&mut self, document: &T) {
        let mut found = Faults::default();
        document.check(&mut found);
        for fault in found.into_reported() {
            let path = original_path(&parse_field(&fault.field), &self.removed);
            let is_incomplete = self.removed.iter().any(|removed| removed.starts_with(&path));
            if !is_incomplete {
                self.report(&path, fault.what);
            }
        }
    }

    fn report_type_fault(&mut self, path: &[Step], what: String) {
        let path = original_path(path, &self.removed);
        if !self.is_removed_field(&path, &what) {
            self.report(&path, what);
        }
    }

    /// Whether a message says only that a field is missing that was removed before.
    fn is_removed_field(&self, object: &[Step], message: &str) -> bool {
        let Some(rest) = message.strip_prefix("missing field `") else { return false };
        let name = rest.split('`').next().unwrap_or(rest);
        let mut path = object.to_vec();
        path.push(Step::Key(name.to_string()));
        self.removed.contains(&path)
    }

    fn report(&mut self, path: &[Step], what: String) {
        let position = nearest_position(self.text, path);
        self.faults.push(Fault::at(position, format_field(path), what));
    }

    /// Removes the value at a path in the document as it is now; false if there is none.
    fn remove(&mut self, path: &[Step]) -> bool {
        let original = original_path(path, &self.removed);
        let is_removed = remove(&mut self.document, path);
        if is_removed {
            self.removed.push(original);
        }
        is_removed
    }
}
