//! Printed output: results on standard output, errors on standard error, and text tables.

use crate::error::CommandError;
use serde::Serialize;
use std::fmt::Write as _;
use std::io::{ErrorKind, Write};

/// Prints a result on standard output. A closed pipe is not an error, since the reader has what it
/// needs (for instance `head`).
pub fn print(text: &str) -> Result<(), CommandError> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(error.into()),
        _ => Ok(()),
    }
}

/// Prints a result on standard output as indented JSON.
pub fn print_json(result: &impl Serialize) -> Result<(), CommandError> {
    print(&(serde_json::to_string_pretty(result)? + "\n"))
}

/// Prints one line on standard error. A failed write is ignored, since there is no other place to
/// report it and it must not end the program.
pub fn print_error(line: &str) {
    let _lost = writeln!(std::io::stderr(), "hollymux: {}", line.replace('\n', " "));
}

/// Formats rows under their headings. Each column is as wide as its longest cell.
pub fn table<const COLUMNS: usize>(headings: &[&str; COLUMNS], rows: &[[String; COLUMNS]]) -> String {
    let headings = headings.map(str::to_string);
    let rows: Vec<&[String; COLUMNS]> = [&headings].into_iter().chain(rows).collect();
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: [usize; COLUMNS] = std::array::from_fn(width);
    let mut text = String::new();
    for row in &rows {
        let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        // Writing to a String can't fail.
        let _written = writeln!(text, "{}", line.trim_end());
    }
    text
}
