//! Parser for JSON5 documents that operators write, such as the operator's file, the description of
//! a cluster for capacity planning, or a simulation scenario.
//!
//! A document is accepted as a whole or rejected. All faults of a rejected document are reported
//! together, each with its line, column and field.
//!
//! The packages that declare the types of the documents define the meaning of the fields. They
//! implement [`Check`] to validate what the types cannot express.

mod diagnosis;
mod fault;
mod field_path;
mod locate;

pub use fault::{Fault, Faults};

use diagnosis::{find_faults, locate_check_faults};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};

/// Maximum number of faults reported for one document. With more faults, rewriting the document is
/// easier than correcting it.
const MAX_FAULTS: usize = 50;

/// Validation of a document beyond its types, such as ranges of values and consistency of fields.
pub trait Check {
    /// Adds every fault of the document to `faults`.
    fn check(&self, faults: &mut Faults);
}

/// Parses and checks a document.
///
/// # Errors
/// Returns the faults of the document in the order of their positions, limited to the first 50.
pub fn read<T: DeserializeOwned + Check>(text: &str) -> Result<T, Vec<Fault>> {
    let mut faults = match diagnosis::parse::<T>(text) {
        Ok(document) => {
            let faults = locate_check_faults(text, &document);
            if faults.is_empty() {
                return Ok(document);
            }
            faults
        }
        Err(first_error) => find_faults::<T>(text, &first_error),
    };
    faults.sort_by_key(|fault| (fault.line, fault.column));
    faults.truncate(MAX_FAULTS);
    Err(faults)
}

/// Error when a document is loaded from a file.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the file that cannot be read.
        path: PathBuf,
        /// Error of the operating system, or of the conversion from UTF-8.
        source: std::io::Error,
    },
    /// The document in the file has faults.
    #[error("{} has {} faults", path.display(), faults.len())]
    Faulty {
        /// Path of the file that was read and rejected.
        path: PathBuf,
        /// Faults of the document in the order of their positions, limited to the first 50.
        faults: Vec<Fault>,
    },
}

impl LoadError {
    /// Formats the error as lines for an operator. There is one line per fault, of the form
    /// `FILE:LINE:COLUMN: FIELD: FAULT`, or a single line if the file cannot be read.
    pub fn lines(&self) -> Vec<String> {
        match self {
            LoadError::Read { .. } => vec![self.to_string()],
            LoadError::Faulty { path, faults } => {
                faults.iter().map(|fault| fault_line(path, fault)).collect()
            }
        }
    }
}

fn fault_line(path: &Path, fault: &Fault) -> String {
    let path = path.display();
    if fault.has_position() {
        format!("{path}:{fault}")
    } else {
        format!("{path}: {fault}")
    }
}

/// Parses and checks the document in a file.
///
/// # Errors
/// Returns an error if the file cannot be read or its document has faults.
pub fn load_document<T: DeserializeOwned + Check>(path: &Path) -> Result<T, LoadError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| LoadError::Read { path: path.to_path_buf(), source })?;
    read(&text).map_err(|faults| LoadError::Faulty { path: path.to_path_buf(), faults })
}

/// Parses and checks the document in a file like [`load_document`], for callers that print errors.
///
/// # Errors
/// Returns the lines of [`LoadError::lines`].
pub fn load<T: DeserializeOwned + Check>(path: &Path) -> Result<T, Vec<String>> {
    load_document(path).map_err(|error| error.lines())
}

/// Returns the JSON Schema of a document type as formatted JSON text.
pub fn schema<T: JsonSchema>() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(T)).unwrap_or_default()
}
