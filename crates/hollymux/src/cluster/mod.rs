//! `hollymux cluster`: requests a running router's view of its cluster from its admin endpoint, and
//! prints it.

mod admin_client;
mod members_table;
mod quota_table;

pub use admin_client::AdminError;

use crate::error::CommandError;
use crate::output;
use serde_json::Value;
use std::net::SocketAddr;

/// Options of `cluster`. Their comments are the help texts.
#[derive(clap::Args)]
pub struct Options {
    /// Address of the router's admin endpoint
    #[arg(long, alias = "door", value_name = "ADDRESS")]
    admin: SocketAddr,
    /// Print the router's JSON response unchanged
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    report: Option<Report>,
}

#[derive(Clone, Copy, clap::Subcommand)]
enum Report {
    /// Show the limits of the whole cluster: their bounds, and which router holds which quota lease
    Limits,
}

/// Requests one report from the router and prints it.
pub fn run(options: &Options) -> Result<(), CommandError> {
    let path = match options.report {
        None => "/status/fleet",
        Some(Report::Limits) => "/status/fleet/limits",
    };
    let body = admin_client::get(options.admin, path)?;
    // Parsed for --json too, so that a response that isn't JSON is an error and not passed on.
    let status: Value = serde_json::from_str(&body)?;
    if options.json {
        return output::print(&(body + "\n"));
    }
    output::print(&match options.report {
        None => members_table::render(&status),
        Some(Report::Limits) => quota_table::render(&status),
    })
}

/// The text of a string field without quotes, or the JSON of any other value.
fn text_of(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

fn is_true(value: &Value) -> bool {
    value.as_bool() == Some(true)
}

/// The value of a number field; 0 if it is absent or not a number.
fn number_of(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

/// The elements of a list field; none if it is absent or not a list.
fn elements_of(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}
