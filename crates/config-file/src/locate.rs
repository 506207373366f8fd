//! The position in the text of the value at a path.
//!
//! The parser keeps no positions, but says where it stood when deserializing failed. So the text is
//! deserialized by a visitor that follows the path and fails on purpose at its end.

use crate::fault::Fault;
use crate::field_path::Step;
use serde::de::{self, DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// A line and a column, both from 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Position {
    pub(crate) line: usize,
    pub(crate) column: usize,
}

impl Position {
    pub(crate) fn of_error(error: &json5::Error) -> Option<Position> {
        error.position().map(|at| Position { line: at.line + 1, column: at.column + 1 })
    }
}

impl Fault {
    pub(crate) fn at(position: Option<Position>, field: String, what: String) -> Fault {
        let (line, column) = position.map_or((0, 0), |position| (position.line, position.column));
        Fault { line, column, field, what }
    }
}

/// The position of the value at a path, or of the nearest value around it that is in the text.
pub(crate) fn nearest_position(text: &str, path: &[Step]) -> Option<Position> {
    (0..=path.len()).rev().find_map(|length| position_of(text, &path[..length]))
}

fn position_of(text: &str, path: &[Step]) -> Option<Position> {
    let mut arrived = false;
    let mut parser = json5::Deserializer::from_str(text);
    let follower = PathFollower { path, arrived: &mut arrived };
    let error = follower.deserialize(&mut parser).err()?;
    if arrived {
        Position::of_error(&error)
    } else {
        None
    }
}

/// Follows a path through the text and fails at its end, or where it leads nowhere.
struct PathFollower<'a> {
    path: &'a [Step],
    /// Set if the end of the path was reached.
    arrived: &'a mut bool,
}

impl PathFollower<'_> {
    fn stop<E: de::Error>(self) -> Result<(), E> {
        *self.arrived |= self.path.is_empty();
        Err(E::custom("stopped at the end of the path"))
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
                return map.next_value_seed(PathFollower { path: rest, arrived: self.arrived });
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
        match seq.next_element_seed(PathFollower { path: rest, arrived: self.arrived })? {
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
