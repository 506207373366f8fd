//! The `hollymux` program: parses the command line, runs one sub-command, and ends with the exit
//! code of its error. The sub-commands are in their own modules.

mod arguments;
mod capture;
mod check;
mod cluster;
mod error;
mod logging;
mod output;
mod plan;
mod serve;
mod simulate;

use arguments::{Arguments, Command};
use clap::{CommandFactory, Parser};
use error::CommandError;
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error.lines().iter().for_each(|line| output::print_error(line));
            error.exit_code()
        }
    }
}

fn run(arguments: Arguments) -> Result<(), CommandError> {
    // The platform starts the program without a sub-command to serve requests.
    let command = arguments.command.unwrap_or_else(|| Command::Serve(serve::Options::default()));
    match command {
        Command::Serve(options) => {
            logging::start(&arguments.logging)?;
            serve::run(&options)
        }
        Command::Check(options) => check::run(&options),
        Command::Simulate { command } => simulate::run(command),
        Command::Plan(options) => plan::run(&options),
        Command::Cluster(options) => cluster::run(&options),
        Command::Capture { command } => capture::run(command),
        Command::Completions { shell } => print_completions(shell),
    }
}

fn print_completions(shell: clap_complete::Shell) -> Result<(), CommandError> {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Arguments::command(), "hollymux", &mut script);
    output::print(&String::from_utf8_lossy(&script))
}
