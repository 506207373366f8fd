//! `hollymux cluster`: shows what a running router knows of the other routers, as its admin
//! endpoint reports it.

mod admin_client;
mod members_table;
mod quota_table;

pub use admin_client::AdminError;

use crate::error::CommandError;
use crate::output;
use serde_json::Value;
use std::net::SocketAddr;

/// Options of the sub-command.
#[derive(clap::Args)]
pub struct Options {
    /// Address of the router's admin endpoint
    #[arg(long, alias = "door", value_name = "ADDRESS")]
    admin: SocketAddr,
    /// Print the router's answer as it is, in JSON
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    report: Option<Report>,
}

#[derive(Clone, Copy, clap::Subcommand)]
enum Report {
    /// The cluster's limits: their bounds, and who holds which quota lease
    Limits,
}

/// Prints one report of the router.
pub fn run(options: &Options) -> Result<(), CommandError> {
    let path = match options.report {
        None => "/status/fleet",
        Some(Report::Limits) => "/status/fleet/limits",
    };
    let body = admin_client::get(options.admin, path)?;
    // Also for --json: a router's answer that is no JSON must not be passed on as if it were.
    let status: Value = serde_json::from_str(&body)?;
    if options.json {
        return output::print(&(body + "\n"));
    }
    output::print(&match options.report {
        None => members_table::render(&status),
        Some(Report::Limits) => quota_table::render(&status),
    })
}

/// A field's text without quotes; of other values their JSON.
fn text_of(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

fn is_true(value: &Value) -> bool {
    value.as_bool() == Some(true)
}

/// A field's number, 0 if there is none.
fn number_of(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

/// A field's elements, none if it is no list.
fn elements_of(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}
