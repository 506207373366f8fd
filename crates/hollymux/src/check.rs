//! `hollymux check`: an operator's file, fault by fault.

use crate::{operator, put, Fail};
use hollymux_server::operator::Operator;
use std::path::PathBuf;

#[derive(clap::Args)]
pub struct Options {
    /// The operator's file (JSON5)
    #[arg(value_name = "FILE", required_unless_present = "schema")]
    file: Option<PathBuf>,
    /// Print the JSON Schema of operator's files instead
    #[arg(long, conflicts_with = "file")]
    schema: bool,
}

pub fn run(options: &Options) -> Result<(), Fail> {
    let Some(file) = &options.file else {
        return put(&(hollymux_config_file::schema::<Operator>() + "\n"));
    };
    let read = operator(file)?;
    // What is on, with every default written out.
    put(&(serde_json::to_string_pretty(&read).map_err(Fail::ran)? + "\n"))
}
