//! Paths to values inside a document.

use serde_json::Value;
use serde_path_to_error::{Path, Segment};

/// One step from a value to one inside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Key(String),
    Index(usize),
}

/// The steps of a path as serde reports it. Steps that name no place in the text are left out.
pub(crate) fn steps_of(path: &Path) -> Vec<Step> {
    let step = |segment: &Segment| match segment {
        Segment::Seq { index } => Some(Step::Index(*index)),
        Segment::Map { key } => Some(Step::Key(key.clone())),
        Segment::Enum { .. } | Segment::Unknown => None,
    };
    path.iter().filter_map(step).collect()
}

/// The steps of a field that is written as in `routers[1].zone`.
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

/// A field written as in `routers[1].zone`.
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

/// Removes the value at a path; false if there is none, or if it is the whole document.
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

/// Turns a path in a document from which values were removed into one in the original document.
/// Removing an element moves those behind it forwards.
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

/// The original index of an element of the array at the path `array`.
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
