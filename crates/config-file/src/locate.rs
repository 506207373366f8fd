//! Determines the position in the text of the value at a path.
//!
//! The parser does not keep the positions of values, but its errors contain the position at which
//! deserialization failed. Therefore the text is deserialized with a visitor that follows the path
//! and fails deliberately at the end of the path.

use crate::fault::Fault;
use crate::field_path::Step;
use serde::de::{self, DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// A position in the text as line and column, both counted from 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Position {
    pub(crate) line: usize,
    pub(crate) column: usize,
}

impl Position {
    /// Returns the position of a parser error, whose line and column are counted from 0.
    pub(crate) fn of_error(error: &json5::Error) -> Option<Position> {
        error.position().map(|start| Position { line: start.line + 1, column: start.column + 1 })
    }
}

impl Fault {
    /// Creates a fault. Without a position, line and column are 0.
    pub(crate) fn at(position: Option<Position>, field: String, message: String) -> Fault {
        let (line, column) = position.map_or((0, 0), |position| (position.line, position.column));
        Fault { line, column, field, message }
    }
}

/// Returns the position of the value at a path. If the text has no value there, returns the
/// position of the innermost enclosing value that it has.
pub(crate) fn nearest_position(text: &str, path: &[Step]) -> Option<Position> {
    (0..=path.len()).rev().find_map(|length| position_of(text, &path[..length]))
}

/// Returns the position of the value at a path, or `None` if the text has no value there.
fn position_of(text: &str, path: &[Step]) -> Option<Position> {
    let mut reached_end = false;
    let mut parser = json5::Deserializer::from_str(text);
    let follower = PathFollower { path, reached_end: &mut reached_end };
    let error = follower.deserialize(&mut parser).err()?;
    if reached_end {
        Position::of_error(&error)
    } else {
        None
    }
}

/// Visitor that follows a path through the text. It fails at the end of the path, or at the value
/// in which the text lacks the next step of the path.
struct PathFollower<'a> {
    /// Steps of the path that have not been followed yet.
    path: &'a [Step],
    /// Set to true if the visitor has failed at the end of the path.
    reached_end: &'a mut bool,
}

impl PathFollower<'_> {
    /// Fails at the current value. The error message is never shown.
    fn stop<E: de::Error>(self) -> Result<(), E> {
        *self.reached_end |= self.path.is_empty();
        Err(E::custom("stopped while locating a value"))
    }
}

impl<'de> DeserializeSeed<'de> for PathFollower<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for PathFollower<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("any value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((Step::Key(wanted), rest)) = self.path.split_first() else { return self.stop() };
        while let Some(key) = map.next_key::<String>()? {
            if key == *wanted {
                return map.next_value_seed(PathFollower { path: rest, reached_end: self.reached_end });
            }
            map.next_value::<de::IgnoredAny>()?;
        }
        self.stop()
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let Some((Step::Index(wanted), rest)) = self.path.split_first() else { return self.stop() };
        for _ in 0..*wanted {
            if seq.next_element::<de::IgnoredAny>()?.is_none() {
                return self.stop();
            }
        }
        match seq.next_element_seed(PathFollower { path: rest, reached_end: self.reached_end })? {
            Some(()) => Ok(()),
            None => self.stop(),
        }
    }

    fn visit_bool<E: de::Error>(self, _: bool) -> Result<(), E> {
        self.stop()
    }

    fn visit_i64<E: de::Error>(self, _: i64) -> Result<(), E> {
        self.stop()
    }

    fn visit_u64<E: de::Error>(self, _: u64) -> Result<(), E> {
        self.stop()
    }

    fn visit_f64<E: de::Error>(self, _: f64) -> Result<(), E> {
        self.stop()
    }

    fn visit_str<E: de::Error>(self, _: &str) -> Result<(), E> {
        self.stop()
    }

    fn visit_unit<E: de::Error>(self) -> Result<(), E> {
        self.stop()
    }
}
