//! What is wrong with a document, as found and as reported.

use std::fmt;

/// One thing that is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Its line, from 1; 0 if no position in the text can be given.
    pub line: usize,
    /// Its column, from 1; 0 if no position in the text can be given.
    pub column: usize,
    /// The field, as in `dns.listen` or `routers[1].zone`; empty for the document itself.
    pub field: String,
    /// What is wrong.
    pub what: String,
}

impl Fault {
    pub(crate) fn has_position(&self) -> bool {
        self.line > 0
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.has_position() {
            write!(formatter, "{}:{}: ", self.line, self.column)?;
        }
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        formatter.write_str(&self.what)
    }
}

/// A fault that a check reports, before its position is known.
#[derive(Debug)]
pub(crate) struct CheckFault {
    pub(crate) field: String,
    pub(crate) what: String,
}

/// Collects the faults that [`crate::Check::check`] reports.
#[derive(Debug, Default)]
pub struct Faults {
    reported: Vec<CheckFault>,
}

impl Faults {
    /// Reports a fault of a field, which is written as in `routers[1].zone`.
    pub fn say(&mut self, field: impl Into<String>, what: impl Into<String>) {
        self.reported.push(CheckFault { field: field.into(), what: what.into() });
    }

    /// Reports a fault unless the condition holds.
    pub fn unless(&mut self, holds: bool, field: impl Into<String>, what: &str) {
        if !holds {
            self.say(field, what);
        }
    }

    pub(crate) fn into_reported(self) -> Vec<CheckFault> {
        self.reported
    }
}
