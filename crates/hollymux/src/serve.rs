//! `hollymux serve`: one request router.

use crate::{operator, Fail};
use hollymux_server::config::Config;
use hollymux_server::operator::Operator;
use hollymux_server::Server;
use std::path::PathBuf;
use tracing::info;

#[derive(clap::Args, Default)]
pub struct Options {
    /// The operator's file (JSON5): what is on beyond the platform's protocol
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// The platform's configuration (JSON)
    #[arg(long, value_name = "FILE", env = "NODE_CONFIG")]
    config: Option<PathBuf>,
    /// End when the process that started this one ends
    #[arg(long, hide = true)]
    with_parent: bool,
}

pub fn run(options: &Options) -> Result<(), Fail> {
    let operator = options.operator.as_deref().map_or(Ok(Operator::default()), operator)?;
    // Without a sub-command the platform's variable is all there is.
    let path = options.config.clone().or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from));
    let path = path.ok_or_else(|| Fail::unusable("NODE_CONFIG names no configuration"))?;
    if options.with_parent {
        let signal = rustix::process::Signal::KILL;
        rustix::process::set_parent_process_death_signal(Some(signal)).map_err(Fail::ran)?;
    }
    let config = Config::load(&path).map_err(Fail::unusable)?;
    let mut driver = Server::new(config, path, operator).map_err(Fail::ran)?;
    info!("listening on {}", driver.listens_at().map_err(Fail::ran)?);
    driver.run().map_err(Fail::ran)?;
    info!("{}", driver.summary());
    Ok(())
}
