//! The command line: the sub-commands, and the options that all of them accept.
//!
//! Earlier names of sub-commands and options (`lab`, `fleet`, `record`, `--door`) are kept as
//! hidden aliases, since scripts use them.

use crate::{capture, check, cluster, logging, plan, serve, simulate};
use clap::{Parser, Subcommand};

const EXAMPLES: &str = "\
Examples:
  NODE_CONFIG=config.json hollymux                   serve, as the platform starts it
  hollymux serve --operator deploy/operator.json5    serve, with the operator's features
  hollymux check deploy/operator.json5               report every error in an operator's file
  hollymux simulate run examples/day.json5 --report out
                                                     run a scenario on loopback and plot the results
  hollymux capture info load/*.hmxload               summarize recorded traffic
  hollymux plan --load load/*.hmxload --fleet examples/fleet.json5 --scale 1.4
  hollymux cluster --admin 127.0.0.1:5051            show a router's view of the other routers
  hollymux completions bash > hollymux.bash          print completions for a shell

Exit codes: 0 success, 1 the command ran and failed, 2 invalid arguments or invalid input.";

/// Request router for edge caches
#[derive(Parser)]
#[command(name = "hollymux", version, after_help = EXAMPLES)]
pub struct Arguments {
    /// Logging options.
    #[command(flatten)]
    pub logging: logging::Options,
    /// The sub-command; `None` means [`Command::Serve`] with its defaults.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The sub-commands. Their comments are the help texts.
#[derive(Subcommand)]
pub enum Command {
    /// Route requests: the platform's protocol, and what the operator's file enables (the default
    /// command)
    Serve(serve::Options),
    /// Check an operator's file and report every error in it
    Check(check::Options),
    /// Run scenarios of load and faults against real routers with simulated endpoints
    #[command(alias = "lab")]
    Simulate {
        /// The kind of simulation.
        #[command(subcommand)]
        command: simulate::Command,
    },
    /// Plan capacity: find the first bottleneck, the number of edge caches for a goal, and the
    /// effect of outages
    Plan(plan::Options),
    /// Show a running router's view of the other routers
    #[command(alias = "fleet")]
    Cluster(cluster::Options),
    /// Summarize recorded traffic
    #[command(alias = "record")]
    Capture {
        /// The report on the recordings.
        #[command(subcommand)]
        command: capture::Command,
    },
    /// Print a completion script for a shell
    Completions {
        /// Shell to print the script for
        shell: clap_complete::Shell,
    },
}
