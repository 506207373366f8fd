//! Formats the limits of the whole cluster as text: the bounds of each kind of limit, and the
//! shares of the limits that are in use.

use super::{elements_of, is_true, number_of};
use crate::output;
use serde_json::Value;

/// Formats the router's own share, the bounds of each kind of limit, and a row for each endpoint
/// that is warming up.
pub fn render(status: &Value) -> String {
    let summary = format!(
        "{}; the whole is divided by {}, here by {}\n\n",
        own_share(status),
        status["divided_by"],
        status["divided_here_by"]
    );
    [summary, bounds_table(status), "\n".to_string(), leases_table(status)].concat()
}

fn own_share(status: &Value) -> String {
    if is_true(&status["share_in_use"]) {
        return "this router's own share is in use".to_string();
    }
    let not_counted_by: Vec<String> = elements_of(&status["not_counted_by"]).map(Value::to_string).collect();
    let routers = not_counted_by.join(", ");
    format!("this router has NO share of its own: not counted yet by {routers}")
}

/// Formats the bounds of each kind of limit: the sum over all routers while they reach each other
/// and while they don't, and the time after which lost quota is available again.
fn bounds_table(status: &Value) -> String {
    let headings = [
        "limit",
        "protects",
        "granted by",
        "lease",
        "sum, links well",
        "sum, links failed",
        "cut off",
        "back after",
    ];
    let rows = [
        leased_row(status, "cold hub", "all routers"),
        leased_row(status, "cold box", "the office's routers"),
        local_row("cold box of another office", "a server that has just started", "not used while cold"),
        local_row("further attempts", "the fleet from retries", "a half of all first tries, and 40 a router"),
        local_row("fills at a warm hub", "a hub's link", "no bound: by own load and the number of routers"),
        local_row("probes and trials", "a server that is out", "no bound: each router its own"),
    ];
    output::table(&headings, &rows)
}

/// The row of a limit whose quota the routers lease from each other.
fn leased_row(status: &Value, limit: &str, shared_by: &str) -> [String; 8] {
    let bounds = &status["bounds"];
    let lease =
        format!("{:.1} s, passed on {:.1} s", number_of(&bounds["lease_s"]), number_of(&bounds["onward_s"]));
    let sum_when_links_failed = format!(
        "the whole; 1/{} more for each router beyond the configured number that starts cut off from all",
        status["divided_by"]
    );
    let back_after = format!(
        "{:.1} s; a lost router's share when it starts anew or has left",
        number_of(&bounds["lots_back_after_s"])
    );
    [
        limit.to_string(),
        "a server that has just started".to_string(),
        shared_by.to_string(),
        lease,
        "the whole".to_string(),
        sum_when_links_failed,
        "own share; nothing just after a start".to_string(),
        back_after,
    ]
}

/// The row of a limit that each router applies on its own. Its sum is the same whether the routers
/// reach each other or not.
fn local_row(limit: &str, protects: &str, sum: &str) -> [String; 8] {
    [limit, protects, "itself", "none", sum, sum, "as before", "-"].map(str::to_string)
}

/// Formats this router's quota of each limit in use, with a row for each endpoint that is warming
/// up.
fn leases_table(status: &Value) -> String {
    let rows: Vec<_> = elements_of(&status["limits"]).map(lease_row).collect();
    if rows.is_empty() {
        return "no server is cold\n".to_string();
    }
    let headings = ["server", "shared by", "share", "held", "lent", "may use", "used", "wanted", "broker"];
    output::table(&headings, &rows)
}

fn lease_row(limit: &Value) -> [String; 9] {
    let text = |key: &str| limit[key].as_str().unwrap_or("-").to_string();
    let share = |key: &str| format!("{:.3}", number_of(&limit[key]));
    [
        limit["server"].as_str().map_or_else(|| text("limit"), str::to_string),
        text("shared_by"),
        share("share"),
        share("held"),
        share("lent"),
        share("may_use"),
        share("used"),
        share("wanted"),
        text("broker"),
    ]
}
