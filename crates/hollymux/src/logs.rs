//! The log: lines of text or JSON on standard error.

use crate::Fail;
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

#[derive(clap::Args)]
pub struct Options {
    /// What is logged: a level (error, warn, info, debug, trace), or a filter as in `info,hollymux_server=debug`
    #[arg(long, global = true, value_name = "FILTER", default_value = "info")]
    log: Targets,
    /// How it is written
    #[arg(long, global = true, value_name = "FORMAT", value_enum, default_value = "text")]
    log_format: Format,
}

/// Starts logging. A line that can't be written is lost: it must neither end the program nor be told of on the
/// same stream, which is why internal errors are not logged.
pub fn start(options: &Options) -> Result<(), Fail> {
    let lines = fmt::layer().with_writer(io::stderr).log_internal_errors(false).with_ansi(false);
    let layer = match options.log_format {
        Format::Text => lines.with_target(false).boxed(),
        Format::Json => lines.json().flatten_event(true).boxed(),
    };
    tracing_subscriber::registry().with(layer.with_filter(options.log.clone())).try_init().map_err(Fail::ran)
}
