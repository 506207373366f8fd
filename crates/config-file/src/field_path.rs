//! Paths to values in a document: their textual form, removal of the value at a path, and the
//! mapping of paths to the document before such removals.

use serde_json::Value;
use serde_path_to_error::{Path, Segment};

/// A component of a path: from an object to one of its members, or from an array to an element.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Key(String),
    Index(usize),
}

/// Converts a path that serde reports. Enum variants and unknown segments are omitted, since they
/// do not correspond to a position in the text.
pub(crate) fn steps_of(path: &Path) -> Vec<Step> {
    let step = |segment: &Segment| match segment {
        Segment::Seq { index } => Some(Step::Index(*index)),
        Segment::Map { key } => Some(Step::Key(key.clone())),
        Segment::Enum { .. } | Segment::Unknown => None,
    };
    path.iter().filter_map(step).collect()
}

/// Parses the textual form of a path, such as `routers[1].zone`.
pub(crate) fn parse_field(field: &str) -> Vec<Step> {
    let mut steps = Vec::new();
    for part in field.split('.').filter(|part| !part.is_empty()) {
        let mut pieces = part.split('[');
        if let Some(key) = pieces.next().filter(|key| !key.is_empty()) {
            steps.push(Step::Key(key.to_string()));
        }
        let indices = pieces.filter_map(|piece| piece.trim_end_matches(']').parse().ok());
        steps.extend(indices.map(Step::Index));
    }
    steps
}

/// Formats a path, for example as `routers[1].zone`.
pub(crate) fn format_field(steps: &[Step]) -> String {
    let mut text = String::new();
    for step in steps {
        match step {
            Step::Key(key) => {
                if !text.is_empty() {
                    text.push('.');
                }
                text.push_str(key);
            }
            Step::Index(index) => text.push_str(&format!("[{index}]")),
        }
    }
    text
}

/// Removes the value at a path. Returns false if there is no such value or the path is empty, since
/// the whole document cannot be removed.
pub(crate) fn remove(value: &mut Value, path: &[Step]) -> bool {
    let Some((step, rest)) = path.split_first() else { return false };
    match (step, value) {
        (Step::Key(key), Value::Object(map)) if rest.is_empty() => map.remove(key).is_some(),
        (Step::Key(key), Value::Object(map)) => map.get_mut(key).is_some_and(|inner| remove(inner, rest)),
        (Step::Index(index), Value::Array(items)) if rest.is_empty() => {
            if *index >= items.len() {
                return false;
            }
            items.remove(*index);
            true
        }
        (Step::Index(index), Value::Array(items)) => {
            items.get_mut(*index).is_some_and(|inner| remove(inner, rest))
        }
        _ => false,
    }
}

/// Maps a path in a document from which values were removed to a path in the original document.
/// Only indices change: the removal of an array element shifts the elements after it. `removed`
/// holds the paths of the removed values in the original document.
pub(crate) fn original_path(path: &[Step], removed: &[Vec<Step>]) -> Vec<Step> {
    let mut original: Vec<Step> = Vec::with_capacity(path.len());
    for step in path {
        let step = match step {
            Step::Key(key) => Step::Key(key.clone()),
            Step::Index(index) => Step::Index(original_index(*index, &original, removed)),
        };
        original.push(step);
    }
    original
}

/// Maps an index in an array from which elements were removed to the index in the original array.
/// `array` is the path of the array in the original document.
fn original_index(index: usize, array: &[Step], removed: &[Vec<Step>]) -> usize {
    let removed_index = |path: &Vec<Step>| match path.split_last() {
        Some((Step::Index(index), parent)) if parent == array => Some(*index),
        _ => None,
    };
    let mut removed_indices: Vec<usize> = removed.iter().filter_map(removed_index).collect();
    removed_indices.sort_unstable();
    let mut original = index;
    for removed_index in removed_indices {
        if removed_index <= original {
            original += 1;
        }
    }
    original
}
