//! Usual clients beside a disruption, and the requests that they lose.

use crate::common::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How much later than the client's budget an answer may come: half a second.
const LATE: Duration = Duration::from_millis(500);
/// A request that crosses the close of a resting connection within this time is sent again once.
const CROSSING: Duration = Duration::from_millis(50);

/// A usual client: one connection, up to four requests open on it, a request every 80 ms or so.
/// Returns how many of its requests have ended, and those that were lost.
pub fn usual_client(number: usize, address: SocketAddr, stop: &AtomicBool) -> (usize, Vec<String>) {
    let mut broken = Vec::new();
    let mut checked = 0;
    let mut connections: Vec<Connection> = Vec::new();
    let mut tag = 1;
    let mut round = number as u64;
    // Requests that crossed a close, to be sent once more.
    let mut again: Vec<(String, Request)> = Vec::new();
    let mut requests: Vec<(usize, u64, Request, bool)> = Vec::new();
    let mut settled = 0;
    let started = Instant::now();
    loop {
        let stopping = stop.load(Ordering::Relaxed);
        if connections.last().is_none_or(Connection::has_ended) {
            if let Some(ended) = connections.last_mut() {
                ended.close();
            }
            match Connection::open(address, &format!("client {number}, connection {}", connections.len() + 1))
            {
                Ok(connection) => connections.push(connection),
                Err(_) => {
                    // Nobody listens.
                    if stopping {
                        return (checked, broken);
                    }
                    std::thread::sleep(Duration::from_millis(20));
                    continue;
                }
            }
            tag = 1;
        }
        let current = connections.len() - 1;
        let connection = &mut connections[current];
        let next = again.pop().map(|(rid, request)| (rid, request, true));
        let next = next.or_else(|| {
            if stopping || connection.open_count() >= 4 {
                return None;
            }
            round += 1;
            let (class, budget, body) = match round % 10 {
                0 => ("cert-filing", 2_500, 3_000),
                1..=4 => ("training-video", 4_000, 0),
                _ => ("docs-pages", 2_000, 0),
            };
            let budget = Duration::from_millis(budget);
            let request = Request { class, object: 100 + round % 50, piece: 0, lot: 3, budget, body };
            Some((new_rid(), request, false))
        });
        if let Some((rid, request, is_repeat)) = next {
            match connection.request(tag, &rid, &request) {
                Ok(()) => requests.push((current, tag, request, is_repeat)),
                // Not written whole: the client sends it on a new connection.
                Err(_) => again.push((rid, request)),
            }
            tag += 1;
        }
        std::thread::sleep(Duration::from_millis(80));
        // Requests whose connection ended: those that crossed the close of a connection with
        // nothing else open are sent once more.
        while settled < requests.len() {
            let (index, tag, request, is_repeat) = &requests[settled];
            let sent = connections[*index].all().into_iter().find(|(other, _)| other == tag);
            let Some((_, sent)) = sent else { break };
            match &sent.end {
                None if sent.written.elapsed() < sent.budget + LATE => break,
                None => {
                    checked += 1;
                    broken.push(describe(&connections[*index], *tag, &sent, "no answer in time"));
                }
                Some(End::Answered { .. }) => checked += 1,
                Some(End::ConnectionEnded { after }) => {
                    let may_cross = sent.others_open == 0 && *after <= CROSSING;
                    if may_cross && !*is_repeat {
                        again.push((sent.rid.clone(), *request));
                    } else {
                        checked += 1;
                        let why =
                            format!("connection ended {after:?} after it was written, repeat: {is_repeat}");
                        broken.push(describe(&connections[*index], *tag, &sent, &why));
                    }
                }
                Some(End::Twice) => {
                    checked += 1;
                    broken.push(describe(&connections[*index], *tag, &sent, "two answers"));
                }
            }
            settled += 1;
        }
        let idle = settled == requests.len() && again.is_empty();
        if stopping && idle || started.elapsed() > Duration::from_secs(60) {
            return (checked, broken);
        }
    }
}

fn describe(connection: &Connection, tag: u64, sent: &Sent, why: &str) -> String {
    format!(
        "{}: request {tag} ({}, rid {}, {} others open): {why}",
        connection.name, sent.class, sent.rid, sent.others_open
    )
}
