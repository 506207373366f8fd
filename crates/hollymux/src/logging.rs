//! Log output: lines of text or JSON on standard error.

use crate::error::CommandError;
use std::io;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, Layer};

#[derive(Clone, Copy, clap::ValueEnum)]
enum Format {
    Text,
    Json,
}

/// Logging options. Their comments are the help texts.
#[derive(clap::Args)]
pub struct Options {
    /// Log level (error, warn, info, debug, trace), or a filter such as
    /// `info,hollymux_server=debug`
    #[arg(long, global = true, value_name = "FILTER", default_value = "info")]
    log: Targets,
    /// Log format
    #[arg(long, global = true, value_name = "FORMAT", value_enum, default_value = "text")]
    log_format: Format,
}

/// Sets up log output. Lines that can't be written are dropped: a failed write must not end the
/// program. Internal errors of the logger are not logged, since they would go to the same stream.
pub fn start(options: &Options) -> Result<(), CommandError> {
    let output = fmt::layer().with_writer(io::stderr).log_internal_errors(false).with_ansi(false);
    let layer = match options.log_format {
        Format::Text => output.with_target(false).boxed(),
        Format::Json => output.json().flatten_event(true).boxed(),
    };
    let filtered = layer.with_filter(options.log.clone());
    tracing_subscriber::registry().with(filtered).try_init()?;
    Ok(())
}
