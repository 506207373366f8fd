//! Faults of a document, before and after their positions are determined.

use std::fmt;

/// A fault of a document with its position in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line in the text, counted from 1; 0 if the position is unknown.
    pub line: usize,
    /// Column in the text, counted from 1; 0 if the position is unknown.
    pub column: usize,
    /// Path of the field, such as `dns.listen` or `routers[1].zone`; empty for the whole document.
    pub field: String,
    /// What is wrong with the field, as one line of text without position and path.
    pub message: String,
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
        formatter.write_str(&self.message)
    }
}

/// A fault that a [`crate::Check`] has reported, without its position.
#[derive(Debug)]
pub(crate) struct CheckFault {
    /// Path of the field; empty for the whole document.
    pub(crate) field: String,
    /// What is wrong with the field, as one line of text.
    pub(crate) message: String,
}

/// Collector for the faults that [`crate::Check::check`] reports.
#[derive(Debug, Default)]
pub struct Faults {
    reported: Vec<CheckFault>,
}

impl Faults {
    /// Reports a fault. `field` is the path of the field, such as `routers[1].zone`.
    pub fn report(&mut self, field: impl Into<String>, message: impl Into<String>) {
        self.reported.push(CheckFault { field: field.into(), message: message.into() });
    }

    /// Reports a fault if `holds` is false.
    pub fn require(&mut self, holds: bool, field: impl Into<String>, message: &str) {
        if !holds {
            self.report(field, message);
        }
    }

    pub(crate) fn into_reported(self) -> Vec<CheckFault> {
        self.reported
    }
}
