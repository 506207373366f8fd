//! `hollymux capture`: reports on recorded traffic.

mod summary;
mod text;

use crate::error::CommandError;
use crate::output;
use std::path::PathBuf;
use summary::CaptureSummary;

/// The sub-commands of `capture`. Their comments are the help texts.
#[derive(clap::Subcommand)]
pub enum Command {
    /// Summarize recordings, and report the data that is missing from them
    Info {
        /// Recordings of one or several routers
        #[arg(value_name = "FILE", required = true)]
        files: Vec<PathBuf>,
        /// Print the summary as JSON
        #[arg(long)]
        json: bool,
    },
}

/// Reads the recordings and prints their summary.
pub fn run(command: Command) -> Result<(), CommandError> {
    let Command::Info { files, json } = command;
    let recording = hollymux_capture::load(&files).map_err(CommandError::InvalidFile)?;
    let summary = CaptureSummary::of(&recording);
    if json {
        output::print_json(&summary)
    } else {
        output::print(&text::render(&summary))
    }
}
