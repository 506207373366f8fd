//! `hollymux fleet`: what a router in service knows of the others.

use crate::{put, Fail};
use serde_json::Value;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A router answers its operators within a second.
const WAIT: Duration = Duration::from_secs(3);
/// Longer answers are none of this program's.
const ANSWER_MOST: u64 = 8 << 20;

#[derive(clap::Args)]
pub struct Options {
    /// The operators' address of the router
    #[arg(long, value_name = "ADDRESS")]
    door: SocketAddr,
    /// Print what the router says, as JSON
    #[arg(long)]
    json: bool,
}

pub fn run(options: &Options) -> Result<(), Fail> {
    let body = get(options.door, "/status/fleet").map_err(Fail::ran)?;
    let status: Value = serde_json::from_str(&body).map_err(Fail::ran)?;
    put(&if options.json { body + "\n" } else { table(&status) })
}

/// Calls a router's door.
fn get(door: SocketAddr, path: &str) -> Result<String, String> {
    let failed = |e: std::io::Error| format!("{door}: {e}");
    let mut socket = TcpStream::connect_timeout(&door, WAIT).map_err(failed)?;
    socket.set_read_timeout(Some(WAIT)).map_err(failed)?;
    write!(socket, "GET {path} HTTP/1.1\r\nHost: {door}\r\nConnection: close\r\n\r\n").map_err(failed)?;
    let mut bytes = Vec::new();
    socket.take(ANSWER_MOST).read_to_end(&mut bytes).map_err(failed)?;
    let mut headers = [httparse::EMPTY_HEADER; 16];
    let mut answer = httparse::Response::new(&mut headers);
    let read = answer.parse(&bytes).map_err(|e| format!("{door}: no answer of a router: {e}"))?;
    let httparse::Status::Complete(head) = read else { return Err(format!("{door}: the answer is cut off")) };
    let body = String::from_utf8_lossy(&bytes[head..]).into_owned();
    match answer.code {
        Some(200) => Ok(body),
        Some(404) => Err(format!("{door}: this router keeps no view of a fleet (its section fleet is off)")),
        code => Err(format!("{door}: {}", code.unwrap_or(0))),
    }
}

fn table(status: &Value) -> String {
    let word = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_string);
    let yes = |key: &str| status[key].as_bool() == Some(true);
    let own = &status["own"];
    let mut text = format!(
        "fleet {}, seen by {} at {}\n{} for {:.1} s, digest {}; {} reachable, {} may be at work; limits are divided by {}, here by {}\n",
        word(&status["fleet"]),
        word(&own["name"]),
        word(&own["address"]),
        if yes("settled") { "settled" } else { "NOT settled" },
        status["settled_or_not_for_s"].as_f64().unwrap_or(0.0),
        word(&status["digest"]),
        status["reachable"],
        status["at_work_perhaps"],
        status["limits_divided_by"],
        status["limits_divided_here_by"],
    );
    if yes("deaf") {
        text += "nobody answers this router: what it says of others is old\n";
    }
    if !yes("heard") {
        text += "other routers are not heard: the address is not to be had, or another process has it\n";
    }
    let none = Vec::new();
    let others = status["others"].as_array().unwrap_or(&none);
    let rows: Vec<[String; 7]> = others
        .iter()
        .map(|o| {
            let ago = o["answered_s_ago"].as_f64().map_or("-".to_string(), |s| format!("{s:.1}"));
            let agrees = if o["agrees"].as_bool() == Some(true) { "yes" } else { "no" };
            let long = format!("{:.1}", o["for_s"].as_f64().unwrap_or(0.0));
            let words = ["name", "address", "office", "state", "doing"].map(|k| word(&o[k]));
            let [name, address, office, state, doing] = words;
            [name, address, office, format!("{state}, {doing}"), long, ago, agrees.to_string()]
        })
        .collect();
    let heads =
        ["router", "address", "office", "state", "for s", "answered s ago", "agrees"].map(str::to_string);
    let wide = |i: usize| rows.iter().chain([&heads]).map(|r| r[i].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..heads.len()).map(wide).collect();
    for row in [&heads].into_iter().chain(&rows) {
        let line: Vec<String> = row.iter().zip(&widths).map(|(w, n)| format!("{w:<n$}")).collect();
        // A String takes whatever is written to it.
        let _written = writeln!(text, "{}", line.join("  ").trim_end());
    }
    text
}
