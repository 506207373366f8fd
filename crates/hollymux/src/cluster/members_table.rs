//! Formats a router's view of its cluster as text.

use super::{elements_of, is_true, number_of, text_of};
use crate::output;
use serde_json::Value;

/// Formats the router's own state, warnings about its view, and a row for each other router.
pub fn render(status: &Value) -> String {
    let mut text = summary(status);
    if is_true(&status["deaf"]) {
        text += "nobody answers this router: what it says of others is old\n";
    }
    if !is_true(&status["heard"]) {
        text += "other routers are not heard: the address is not to be had, or another process has it\n";
    }
    let headings = ["router", "address", "office", "state", "for s", "answered s ago", "agrees"];
    let rows: Vec<_> = elements_of(&status["others"]).map(member_row).collect();
    text + &output::table(&headings, &rows)
}

fn summary(status: &Value) -> String {
    let own = &status["own"];
    let converged = if is_true(&status["settled"]) { "settled" } else { "NOT settled" };
    format!(
        "fleet {}, seen by {} at {}\n\
         {converged} for {:.1} s, digest {}; {} reachable, {} may be at work; \
         limits are divided by {}, here by {}\n",
        text_of(&status["fleet"]),
        text_of(&own["name"]),
        text_of(&own["address"]),
        number_of(&status["settled_or_not_for_s"]),
        text_of(&status["digest"]),
        status["reachable"],
        status["at_work_perhaps"],
        status["limits_divided_by"],
        status["limits_divided_here_by"],
    )
}

fn member_row(member: &Value) -> [String; 7] {
    let answered_ago = member["answered_s_ago"].as_f64();
    [
        text_of(&member["name"]),
        text_of(&member["address"]),
        text_of(&member["office"]),
        format!("{}, {}", text_of(&member["state"]), text_of(&member["doing"])),
        format!("{:.1}", number_of(&member["for_s"])),
        answered_ago.map_or("-".to_string(), |seconds| format!("{seconds:.1}")),
        if is_true(&member["agrees"]) { "yes" } else { "no" }.to_string(),
    ]
}
