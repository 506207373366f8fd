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
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    of: Option<Of>,
}

#[derive(clap::Subcommand)]
enum Of {
    /// What cold servers bear, who holds which part of it, and the bounds
    Limits,
}

pub fn run(options: &Options) -> Result<(), Fail> {
    let (path, shown): (&str, fn(&Value) -> String) = match options.of {
        None => ("/status/fleet", table),
        Some(Of::Limits) => ("/status/fleet/limits", limits),
    };
    let body = get(options.door, path).map_err(Fail::ran)?;
    let status: Value = serde_json::from_str(&body).map_err(Fail::ran)?;
    put(&if options.json { body + "\n" } else { shown(&status) })
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
        Some(404) => Err(format!("{door}: {}", body.trim())),
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
    text + &columns(&heads, &rows)
}

/// Rows under their heads, each column as wide as it must be.
fn columns<const N: usize>(heads: &[String; N], rows: &[[String; N]]) -> String {
    let mut text = String::new();
    let wide = |i: usize| rows.iter().chain([heads]).map(|r| r[i].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..N).map(wide).collect();
    for row in [heads].into_iter().chain(rows) {
        let line: Vec<String> = row.iter().zip(&widths).map(|(w, n)| format!("{w:<n$}")).collect();
        // A String takes whatever is written to it.
        let _written = writeln!(text, "{}", line.join("  ").trim_end());
    }
    text
}

/// Limits, their bounds, and who holds what.
fn limits(status: &Value) -> String {
    let number = |v: &Value| v.as_f64().unwrap_or(0.0);
    let bounds = &status["bounds"];
    let share = match status["share_in_use"].as_bool() == Some(true) {
        true => "this router's own share is in use".to_string(),
        false => {
            let not: Vec<String> =
                status["not_counted_by"].as_array().into_iter().flatten().map(Value::to_string).collect();
            format!("this router has NO share of its own: not counted yet by {}", not.join(", "))
        }
    };
    let mut text = format!(
        "{share}; the whole is divided by {}, here by {}\n\n",
        status["divided_by"], status["divided_here_by"]
    );
    let back = format!(
        "{:.1} s; a lost router's share when it starts anew or has left",
        number(&bounds["lots_back_after_s"])
    );
    let whole = format!(
        "the whole; 1/{} more for each router beyond the configured number that starts cut off from all",
        status["divided_by"]
    );
    let heads = [
        "limit",
        "protects",
        "granted by",
        "lease",
        "sum, links well",
        "sum, links failed",
        "cut off",
        "back after",
    ];
    let cold = |name: &str, who: &str| {
        [
            name,
            "a server that has just started",
            who,
            &format!("{:.1} s, passed on {:.1} s", number(&bounds["lease_s"]), number(&bounds["onward_s"])),
            "the whole",
            &whole,
            "own share; nothing just after a start",
            &back,
        ]
        .map(str::to_string)
    };
    let own = |name: &str, protects: &str, sum: &str| {
        [name, protects, "itself", "none", sum, sum, "as before", "-"].map(str::to_string)
    };
    let rows = [
        cold("cold hub", "all routers"),
        cold("cold box", "the office's routers"),
        own("cold box of another office", "a server that has just started", "not used while cold"),
        own("further attempts", "the fleet from retries", "a half of all first tries, and 40 a router"),
        own("fills at a warm hub", "a hub's link", "no bound: by own load and the number of routers"),
        own("probes and trials", "a server that is out", "no bound: each router its own"),
    ];
    text += &columns(&heads.map(str::to_string), &rows);
    text += "\n";
    let part = |v: &Value| format!("{:.3}", number(v));
    let none = Vec::new();
    let rows: Vec<[String; 9]> = status["limits"]
        .as_array()
        .unwrap_or(&none)
        .iter()
        .map(|l| {
            let word = |k: &str| l[k].as_str().unwrap_or("-").to_string();
            let server = l["server"].as_str().map_or(word("limit"), str::to_string);
            let parts = ["share", "held", "lent", "may_use", "used", "wanted"].map(|k| part(&l[k]));
            let [share, held, lent, may, used, wanted] = parts;
            [server, word("shared_by"), share, held, lent, may, used, wanted, word("broker")]
        })
        .collect();
    if rows.is_empty() {
        return text + "no server is cold\n";
    }
    let heads = ["server", "shared by", "share", "held", "lent", "may use", "used", "wanted", "broker"];
    text + &columns(&heads.map(str::to_string), &rows)
}
