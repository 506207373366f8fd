//! `hollymux check`: validates an operator's file and reports every error in it.

use crate::error::CommandError;
use crate::output;
use hollymux_server::operator::Operator;
use std::path::{Path, PathBuf};

/// Options of `check`. Their comments are the help texts.
#[derive(clap::Args)]
pub struct Options {
    /// Operator's file (JSON5)
    #[arg(value_name = "FILE", required_unless_present = "schema")]
    file: Option<PathBuf>,
    /// Print the JSON Schema of operator's files and check nothing
    #[arg(long, conflicts_with = "file")]
    schema: bool,
}

/// Prints the effective settings of a valid file, with all defaults, or the schema.
pub fn run(options: &Options) -> Result<(), CommandError> {
    match &options.file {
        Some(file) => output::print_json(&load_operator_file(file)?),
        None => output::print(&(hollymux_config_file::schema::<Operator>() + "\n")),
    }
}

/// Reads an operator's file. The error has one line for each mistake in the file.
pub fn load_operator_file(path: &Path) -> Result<Operator, CommandError> {
    hollymux_config_file::load(path).map_err(CommandError::InvalidFile)
}
