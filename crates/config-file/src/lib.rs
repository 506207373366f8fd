//! Documents that an operator writes, in JSON5: the operator's file, a fleet, a day of the laboratory. A document
//! is read whole or not at all, and every fault in it is told at once, each with its line, column and field.
//!
//! serde stops at the first fault. So a faulty document is read again with the value at fault taken out, until
//! nothing is left to complain about; where a field stands in the text is found by walking the text to it.

use schemars::JsonSchema;
use serde::de::{self, DeserializeOwned, DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::Value;
use serde_path_to_error::{Path, Segment};
use std::fmt;

/// Faults told of one document at most; one that has more is wrong as a whole.
const FAULTS_MOST: usize = 50;

/// One thing that is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Its line, from 1; 0 where no place in the text is at fault.
    pub line: usize,
    /// Its column, from 1.
    pub column: usize,
    /// The field, as in `dns.listen` or `hubs[1].office`; empty for the document itself.
    pub field: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "{}:{}: ", self.line, self.column)?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.what)
    }
}

/// Faults as they are found by [`Check::check`], by field.
#[derive(Debug, Default)]
pub struct Faults(Vec<(String, String)>);

impl Faults {
    /// Tells of a fault of a field, written as in `hubs[1].office`.
    pub fn say(&mut self, field: impl Into<String>, what: impl Into<String>) {
        self.0.push((field.into(), what.into()));
    }

    /// Tells of a fault unless something holds.
    pub fn unless(&mut self, holds: bool, field: impl Into<String>, what: &str) {
        if !holds {
            self.say(field, what);
        }
    }
}

/// What a document's types can't say: ranges, and fields that must fit each other.
pub trait Check {
    /// Tells of each fault.
    fn check(&self, faults: &mut Faults);
}

/// Reads a document.
///
/// # Errors
/// All faults found, in the order of the text; at most fifty.
pub fn read<T: DeserializeOwned + Check>(text: &str) -> Result<T, Vec<Fault>> {
    let mut faults = match parse::<T>(text) {
        Ok(document) => {
            let mut found = Faults::default();
            document.check(&mut found);
            if found.0.is_empty() {
                return Ok(document);
            }
            let placed = |(field, what): (String, String)| fault(text, &steps(&field), field, what);
            found.0.into_iter().map(placed).collect()
        }
        Err(first) => misfits::<T>(text, first),
    };
    faults.sort_by_key(|f| (f.line, f.column));
    faults.truncate(FAULTS_MOST);
    Err(faults)
}

/// Reads a document from a file; what is wrong comes as lines of `FILE:LINE:COLUMN: FIELD: WHAT`.
///
/// # Errors
/// The file can't be read, or holds a faulty document.
pub fn load<T: DeserializeOwned + Check>(path: &std::path::Path) -> Result<T, Vec<String>> {
    let named = |what: &dyn fmt::Display| format!("{}:{what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| vec![named(&format!(" {e}"))])?;
    let line = |f: &Fault| if f.line > 0 { named(f) } else { named(&format!(" {f}")) };
    read(&text).map_err(|faults| faults.iter().map(line).collect())
}

/// The JSON Schema of a document, as text.
pub fn schema<T: JsonSchema>() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(T)).unwrap_or_default()
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, serde_path_to_error::Error<json5::Error>> {
    serde_path_to_error::deserialize(&mut json5::Deserializer::from_str(text))
}

/// All faults of types and fields, found by taking out what is at fault until the rest can be read.
fn misfits<T: DeserializeOwned + Check>(
    text: &str,
    first: serde_path_to_error::Error<json5::Error>,
) -> Vec<Fault> {
    let whole = |e: &json5::Error| {
        let (line, column) = e.position().map_or((0, 0), |p| (p.line + 1, p.column + 1));
        let what = e.code().map_or_else(|| e.to_string(), |c| c.to_string());
        vec![Fault { line, column, field: String::new(), what: without_place(&what).to_string() }]
    };
    let mut value: Value = match json5::from_str(text) {
        Ok(value) => value,
        // Not JSON5 at all: the parser's place is the best there is.
        Err(e) => return whole(&e),
    };
    let mut faults = Vec::new();
    let mut taken: Vec<Vec<Step>> = Vec::new();
    for _ in 0..2 * FAULTS_MOST {
        let e = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(rest) => {
                // What is left can be checked too, but for what the taken values belong to.
                let mut found = Faults::default();
                rest.check(&mut found);
                for (name, what) in found.0 {
                    let path = original(&steps(&name), &taken);
                    if !taken.iter().any(|t| t.starts_with(&path)) {
                        faults.push(fault(text, &path, field(&path), what));
                    }
                }
                break;
            }
            Err(e) => e,
        };
        let now = path_steps(e.path());
        let path = original(&now, &taken);
        let what = e.inner().to_string();
        let missing = what.strip_prefix("missing field `").and_then(|w| w.split('`').next());
        // What was taken out before is missing now; that is no fault of the text.
        let ours = missing.is_some_and(|name| {
            let whole: Vec<Step> = path.iter().cloned().chain([Step::Key(name.to_string())]).collect();
            taken.contains(&whole)
        });
        if !ours {
            faults.push(fault(text, &path, field(&path), what));
        }
        if !remove(&mut value, &now) {
            break;
        }
        taken.push(path);
    }
    if faults.is_empty() {
        // Only the text itself shows it, as a field that stands there twice.
        let path = path_steps(first.path());
        let mut only = whole(first.inner());
        only[0].field = field(&path);
        return only;
    }
    faults
}

/// A path in the document as it is now as one in the text: elements that were taken out stood before others.
fn original(now: &[Step], taken: &[Vec<Step>]) -> Vec<Step> {
    let mut path: Vec<Step> = Vec::with_capacity(now.len());
    for step in now {
        let Step::Index(mut index) = *step else {
            path.push(step.clone());
            continue;
        };
        let beside = |t: &Vec<Step>| match t.split_last() {
            Some((Step::Index(i), around)) if around == path => Some(*i),
            _ => None,
        };
        let mut gone: Vec<usize> = taken.iter().filter_map(beside).collect();
        gone.sort_unstable();
        for i in gone {
            index += usize::from(i <= index);
        }
        path.push(Step::Index(index));
    }
    path
}

/// A message of the parser without the place that it ends in: that is told apart.
fn without_place(what: &str) -> &str {
    what.rsplit_once(" at ").map_or(what, |(head, _)| head)
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Key(String),
    Index(usize),
}

fn path_steps(path: &Path) -> Vec<Step> {
    let step = |s: &Segment| match s {
        Segment::Seq { index } => Some(Step::Index(*index)),
        Segment::Map { key } => Some(Step::Key(key.clone())),
        Segment::Enum { .. } | Segment::Unknown => None,
    };
    path.iter().filter_map(step).collect()
}

/// The steps of a field that is written as in `hubs[1].office`.
fn steps(field: &str) -> Vec<Step> {
    let mut steps = Vec::new();
    for part in field.split('.').filter(|p| !p.is_empty()) {
        let mut pieces = part.split('[');
        steps.extend(pieces.next().filter(|k| !k.is_empty()).map(|k| Step::Key(k.to_string())));
        steps.extend(pieces.filter_map(|p| p.trim_end_matches(']').parse().ok()).map(Step::Index));
    }
    steps
}

fn field(steps: &[Step]) -> String {
    let mut text = String::new();
    for step in steps {
        match step {
            Step::Key(key) if text.is_empty() => text.push_str(key),
            Step::Key(key) => {
                text.push('.');
                text.push_str(key);
            }
            Step::Index(i) => text.push_str(&format!("[{i}]")),
        }
    }
    text
}

/// Takes the value at a path out; false if the path leads nowhere or is the whole document.
fn remove(value: &mut Value, path: &[Step]) -> bool {
    match (path, value) {
        ([Step::Key(key)], Value::Object(map)) => map.remove(key).is_some(),
        ([Step::Index(i)], Value::Array(items)) if *i < items.len() => {
            items.remove(*i);
            true
        }
        ([Step::Key(key), rest @ ..], Value::Object(map)) => {
            map.get_mut(key).is_some_and(|v| remove(v, rest))
        }
        ([Step::Index(i), rest @ ..], Value::Array(items)) => {
            items.get_mut(*i).is_some_and(|v| remove(v, rest))
        }
        _ => false,
    }
}

/// A fault with its place: that of the field, or of the nearest thing around it that stands in the text.
fn fault(text: &str, path: &[Step], field: String, what: String) -> Fault {
    let place = (0..=path.len()).rev().find_map(|n| place(text, &path[..n]));
    let (line, column) = place.unwrap_or((0, 0));
    Fault { line, column, field, what }
}

/// The line and column at which the value at a path starts: the parser says where it stood when a walk along the
/// path breaks off there.
fn place(text: &str, path: &[Step]) -> Option<(usize, usize)> {
    let mut arrived = false;
    let mut parser = json5::Deserializer::from_str(text);
    let walk = Walk { path, arrived: &mut arrived };
    let broken = walk.deserialize(&mut parser).err()?;
    broken.position().filter(|_| arrived).map(|p| (p.line + 1, p.column + 1))
}

struct Walk<'a> {
    path: &'a [Step],
    arrived: &'a mut bool,
}

impl<'de> DeserializeSeed<'de> for Walk<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl Walk<'_> {
    /// The end of the path, if this is it.
    fn here<E: de::Error>(self) -> Result<(), E> {
        *self.arrived |= self.path.is_empty();
        Err(E::custom("the walk ends here"))
    }
}

impl<'de> Visitor<'de> for Walk<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("anything")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((Step::Key(wanted), rest)) = self.path.split_first() else { return self.here() };
        while let Some(key) = map.next_key::<String>()? {
            if key == *wanted {
                return map.next_value_seed(Walk { path: rest, arrived: self.arrived });
            }
            map.next_value::<de::IgnoredAny>()?;
        }
        self.here()
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let Some((Step::Index(wanted), rest)) = self.path.split_first() else { return self.here() };
        for _ in 0..*wanted {
            if seq.next_element::<de::IgnoredAny>()?.is_none() {
                return self.here();
            }
        }
        match seq.next_element_seed(Walk { path: rest, arrived: self.arrived })? {
            Some(()) => Ok(()),
            None => self.here(),
        }
    }

    fn visit_bool<E: de::Error>(self, _: bool) -> Result<(), E> {
        self.here()
    }

    fn visit_i64<E: de::Error>(self, _: i64) -> Result<(), E> {
        self.here()
    }

    fn visit_u64<E: de::Error>(self, _: u64) -> Result<(), E> {
        self.here()
    }

    fn visit_f64<E: de::Error>(self, _: f64) -> Result<(), E> {
        self.here()
    }

    fn visit_str<E: de::Error>(self, _: &str) -> Result<(), E> {
        self.here()
    }

    fn visit_unit<E: de::Error>(self) -> Result<(), E> {
        self.here()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde::Deserialize;

    #[derive(Debug, Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Inner {
        cores: f64,
        #[serde(default)]
        name: String,
    }

    #[derive(Debug, Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Outer {
        boxes: Vec<Inner>,
        #[serde(default)]
        port: u16,
    }

    impl Check for Outer {
        fn check(&self, faults: &mut Faults) {
            for (i, b) in self.boxes.iter().enumerate() {
                faults.unless(b.cores > 0.0, format!("boxes[{i}].cores"), "must be above 0");
            }
        }
    }

    fn said(text: &str) -> Vec<String> {
        read::<Outer>(text).unwrap_err().iter().map(Fault::to_string).collect()
    }

    #[test]
    fn every_fault_is_told_with_its_place() {
        let text = "{\n  // two boxes\n  boxes: [{cores: 'four'}, {cores: 2, nmae: 'b'}],\n  port: 70000,\n  x: 1,\n}";
        let said = said(text);
        assert_eq!(said.len(), 4, "{said:?}");
        assert!(said[0].starts_with("3:19: boxes[0].cores: invalid type: string"), "{said:?}");
        // The first box was taken out before; the second is still the second.
        assert!(said[1].starts_with("3:45: boxes[1].nmae: unknown field"), "{said:?}");
        assert!(said.iter().any(|s| s.starts_with("4:9: port: invalid value")), "{said:?}");
        assert!(said.iter().any(|s| s.starts_with("5:6: x: unknown field")), "{said:?}");
    }

    #[test]
    fn what_the_types_allow_is_checked_and_placed_too() {
        let said = said("{boxes: [{cores: 1}, {cores: 0, name: 'b'},\n {cores: -1}]}");
        assert_eq!(said, ["1:30: boxes[1].cores: must be above 0", "2:10: boxes[2].cores: must be above 0"]);
    }

    #[test]
    fn text_that_is_no_json5_a_field_given_twice_and_a_missing_one_are_one_fault_each() {
        assert_eq!(said("{boxes: [}").len(), 1);
        assert_eq!(said("").len(), 1);
        let twice = said("{boxes: [], port: 1, port: 2}");
        assert_eq!(twice.len(), 1);
        assert!(twice[0].contains("duplicate field"), "{twice:?}");
        assert_eq!(said("{port: 1}"), ["1:1: missing field `boxes`"]);
        let read = read::<Outer>("{boxes: [{cores: 1.5, name: 'a'}], port: 7}").unwrap();
        assert_eq!((read.boxes[0].cores, read.boxes[0].name.as_str(), read.port), (1.5, "a", 7));
    }
}
