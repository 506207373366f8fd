//! Documents that an operator writes in JSON5: the operator's file, a cluster to plan, a simulated
//! scenario. A document is read whole or not at all, and all faults in it are reported at once,
//! each with its line, column and field.
//!
//! What the fields mean is the business of the packages that declare the documents' types; they
//! say by [`Check`] what the types can't.

mod diagnosis;
mod fault;
mod field_path;
mod locate;

pub use fault::{Fault, Faults};

use diagnosis::{find_faults, locate_check_faults};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};

/// Most faults reported of one document. One with more is better written anew than mended.
const MAX_FAULTS: usize = 50;

/// What a document's types can't say: ranges, and fields that must fit each other.
pub trait Check {
    /// Reports each fault.
    fn check(&self, faults: &mut Faults);
}

/// Reads a document.
///
/// # Errors
/// All faults found, in the order of the text; at most fifty.
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

/// Why a document can't be loaded from a file.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The operating system's reason.
        source: std::io::Error,
    },
    /// The document is faulty.
    #[error("{} has {} faults", path.display(), faults.len())]
    Faulty {
        /// The file.
        path: PathBuf,
        /// The faults, in the order of the text.
        faults: Vec<Fault>,
    },
}

impl LoadError {
    /// The error as lines to print, of the form `FILE:LINE:COLUMN: FIELD: FAULT`.
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

/// Reads a document from a file.
///
/// # Errors
/// The file can't be read, or holds a faulty document.
pub fn load_document<T: DeserializeOwned + Check>(path: &Path) -> Result<T, LoadError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| LoadError::Read { path: path.to_path_buf(), source })?;
    read(&text).map_err(|faults| LoadError::Faulty { path: path.to_path_buf(), faults })
}

/// Reads a document from a file, as [`load_document`] does, for callers that print the error.
///
/// # Errors
/// The [`LoadError::lines`].
pub fn load<T: DeserializeOwned + Check>(path: &Path) -> Result<T, Vec<String>> {
    load_document(path).map_err(|error| error.lines())
}

/// The JSON Schema of a document, as text.
pub fn schema<T: JsonSchema>() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(T)).unwrap_or_default()
}
