//! The program: sub-commands, nothing else.

mod check;
mod fleet;
mod lab;
mod logs;
mod plan;
mod record;
mod serve;

use clap::{CommandFactory, Parser, Subcommand};
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

/// It ran and failed.
const FAILED: u8 = 1;
/// It was called wrongly, or given what can't be used.
const UNUSABLE: u8 = 2;

const EXAMPLES: &str = "\
Examples:
  NODE_CONFIG=config.json hollymux                        serve, as the platform starts it
  hollymux serve --operator deploy/operator.json5         serve, with what the operator switched on
  hollymux check deploy/operator.json5                    tell every fault of an operator's file
  hollymux lab run examples/day.json5 --report out        play a day on loopback, with a page of plots
  hollymux record info load/*.hmxload                     what a recording holds, and what is missing
  hollymux plan --load load/*.hmxload --fleet examples/fleet.json5 --scale 1.4
  hollymux fleet --door 127.0.0.1:5051                    what a router knows of the others
  hollymux completions bash > hollymux.bash               completions for a shell

Exit codes: 0 done, 1 ran and failed, 2 called wrongly or given what can't be used.";

/// A request router for edge caches.
#[derive(Parser)]
#[command(name = "hollymux", version, after_help = EXAMPLES)]
struct Line {
    #[command(flatten)]
    logs: logs::Options,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve: the platform's protocol, and what the operator's file switches on (also without a sub-command)
    Serve(serve::Options),
    /// Check an operator's file and tell every fault in it
    Check(check::Options),
    /// Play a day of stand-in servers, load and faults against real routers
    Lab {
        #[command(subcommand)]
        command: lab::Command,
    },
    /// Plan: what breaks first, how many boxes a goal needs, what losses do
    Plan(plan::Options),
    /// Print what a router in service knows of the other routers
    Fleet(fleet::Options),
    /// Read recorded load
    Record {
        #[command(subcommand)]
        command: record::Command,
    },
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

/// Why a command ended without doing what it was asked.
enum Fail {
    /// It ran and failed.
    Ran(String),
    /// What it was given can't be used: one line each.
    Unusable(Vec<String>),
}

impl Fail {
    /// What went wrong while it ran.
    fn ran(e: impl std::fmt::Display) -> Fail {
        Fail::Ran(e.to_string())
    }

    /// One thing that can't be used.
    fn unusable(e: impl std::fmt::Display) -> Fail {
        Fail::Unusable(vec![e.to_string()])
    }
}

/// Lines for whoever started the program. What can't be written is lost; it must end nothing.
fn tell(line: &str) {
    let _lost = writeln!(std::io::stderr(), "hollymux: {}", line.replace('\n', " "));
}

/// Puts out what a command was asked for; a reader that has gone is no failure.
fn put(text: &str) -> Result<(), Fail> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => Err(Fail::ran(e)),
        _ => Ok(()),
    }
}

fn main() -> ExitCode {
    let line = Line::parse();
    let done = match line.command.unwrap_or_else(|| Command::Serve(serve::Options::default())) {
        Command::Serve(options) => logs::start(&line.logs).and_then(|()| serve::run(&options)),
        Command::Check(options) => check::run(&options),
        Command::Lab { command } => lab::run(command),
        Command::Plan(options) => plan::run(&options),
        Command::Fleet(options) => fleet::run(&options),
        Command::Record { command } => record::run(command),
        Command::Completions { shell } => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Line::command(), "hollymux", &mut text);
            put(&String::from_utf8_lossy(&text))
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Fail::Ran(what)) => {
            tell(&what);
            ExitCode::from(FAILED)
        }
        Err(Fail::Unusable(lines)) => {
            lines.iter().for_each(|line| tell(line));
            ExitCode::from(UNUSABLE)
        }
    }
}

/// Reads an operator's file.
fn operator(path: &Path) -> Result<hollymux_server::operator::Operator, Fail> {
    hollymux_config_file::load(path).map_err(Fail::Unusable)
}
