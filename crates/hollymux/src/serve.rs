//! `hollymux serve`: runs one request router until it stops.

use crate::check::load_operator_file;
use crate::error::CommandError;
use hollymux_server::config::Config;
use hollymux_server::operator::Operator;
use hollymux_server::Server;
use std::path::PathBuf;
use tracing::info;

/// The environment variable with the path of the platform's configuration, used without `--config`.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";

/// Options of `serve`. Their comments are the help texts.
#[derive(clap::Args, Default)]
pub struct Options {
    /// Operator's file (JSON5) with features beyond the platform's protocol
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Platform's configuration (JSON)
    #[arg(long, value_name = "FILE", env = CONFIG_VARIABLE)]
    config: Option<PathBuf>,
    /// Exit when the parent process exits
    #[arg(long, hide = true)]
    with_parent: bool,
}

impl Options {
    /// Returns the path of the platform's configuration, or an error if none was given.
    fn config_path(&self) -> Result<PathBuf, CommandError> {
        // Without a sub-command clap doesn't parse these options, so the variable has to be read
        // here.
        let from_environment = || std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from);
        self.config.clone().or_else(from_environment).ok_or(CommandError::NoConfiguration)
    }

    fn operator_settings(&self) -> Result<Operator, CommandError> {
        self.operator.as_deref().map_or(Ok(Operator::default()), load_operator_file)
    }
}

/// Runs the router until a signal stops it or another process takes over from it.
pub fn run(options: &Options) -> Result<(), CommandError> {
    let operator = options.operator_settings()?;
    let config_path = options.config_path()?;
    if options.with_parent {
        exit_with_parent()?;
    }
    let config = Config::load(&config_path)?;
    let mut server = Server::new(config, config_path, operator)?;
    info!("listening on {}", server.local_address()?);
    server.run()?;
    info!("{}", server.summary());
    Ok(())
}

fn exit_with_parent() -> Result<(), CommandError> {
    let signal = rustix::process::Signal::KILL;
    rustix::process::set_parent_process_death_signal(Some(signal))?;
    Ok(())
}
