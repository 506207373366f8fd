//! The command line: sub-commands, and the options that hold for all of them.
//!
//! Earlier names of sub-commands and options (`lab`, `fleet`, `record`, `--door`) stay valid as
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
  hollymux capture info load/*.hmxload               summarise recorded traffic
  hollymux plan --load load/*.hmxload --fleet examples/fleet.json5 --scale 1.4
  hollymux cluster --admin 127.0.0.1:5051            show a router's view of the other routers
  hollymux completions bash > hollymux.bash          print completions for a shell

Exit codes: 0 success, 1 the command ran and failed, 2 invalid arguments or invalid input.";

/// A request router for edge caches.
#[derive(Parser)]
#[command(name = "hollymux", version, after_help = EXAMPLES)]
pub struct Arguments {
    /// Options of the log, which every sub-command accepts.
    #[command(flatten)]
    pub logging: logging::Options,
    /// Without one the program serves.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The sub-commands.
#[derive(Subcommand)]
pub enum Command {
    /// Route requests: the platform's protocol, and what the operator's file enables (the default
    /// command)
    Serve(serve::Options),
    /// Check an operator's file and report every error in it
    Check(check::Options),
    /// Run scenarios of load and faults against real routers, with simulated endpoints
    #[command(alias = "lab")]
    Simulate {
        /// What to run.
        #[command(subcommand)]
        command: simulate::Command,
    },
    /// Capacity planning: what saturates first, how many edge caches a goal needs, the effect of
    /// losses
    Plan(plan::Options),
    /// Show a running router's view of the other routers
    #[command(alias = "fleet")]
    Cluster(cluster::Options),
    /// Read recorded traffic
    #[command(alias = "record")]
    Capture {
        /// What to read from it.
        #[command(subcommand)]
        command: capture::Command,
    },
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}
