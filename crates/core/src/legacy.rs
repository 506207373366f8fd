//! What a router hands to the one that takes its place: the list of members, what rules rest on, what was learnt.
//! Names stand where numbers could mean something else there.

use crate::members::Member;
use crate::{host_id, Told};
use hollymux_decide::{HostEntry, HostState, Memory, Timestamp};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Members that are taken over at most; filings have the bound of their table.
const MEMBERS: usize = 20_000;
/// No name on the sockets is longer.
const NAME_MOST: usize = 256;

/// A member as it is handed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Its name on the sockets.
    pub uid: String,
    /// Where it listens.
    pub addr: Option<SocketAddr>,
    /// Its zone and kind, as places in the lists of names.
    pub zone: u16,
    /// See `zone`.
    pub kind: u16,
    /// Its cell.
    pub cell: u16,
    /// Its weight.
    pub weight: f64,
    /// It finishes what it has; nothing new.
    pub draining: bool,
    /// When it started, if late.
    pub started: Timestamp,
}

/// A request that may not be repeated: its id, when it came, and where a lookup sent it.
pub type Filing = (u64, Timestamp, Option<u64>);

/// Everything that is handed over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Legacy {
    /// The names of zones and kinds, by the numbers that stand here.
    pub zones: Vec<String>,
    /// See `zones`.
    pub kinds: Vec<String>,
    /// The names of the classes in `memory`, by number.
    pub classes: Vec<String>,
    /// The members.
    pub members: Vec<Line>,
    /// Requests that may not be repeated.
    pub filings: Vec<Filing>,
    /// What the decision module knows.
    pub memory: Memory,
}

impl Legacy {
    /// The list of members under the names of the router that takes over.
    pub fn told(&self, zones: &[String], kinds: &[String]) -> Told {
        let lines = self.lines(zones, kinds);
        Told::Members { all: true, lines }
    }

    /// The members that drain: whatever an older list said, they take nothing new.
    pub fn drained(&self, zones: &[String], kinds: &[String]) -> Told {
        let mut lines = self.lines(zones, kinds);
        lines.retain(|l| l.entry.state == HostState::Draining);
        Told::Members { all: false, lines }
    }

    fn lines(&self, zones: &[String], kinds: &[String]) -> Vec<Member> {
        let place = |old: &[String], at: u16, new: &[String]| {
            let name = old.get(usize::from(at));
            let place = name.and_then(|n| new.iter().position(|m| m == n));
            place.and_then(|p| u16::try_from(p).ok()).unwrap_or(u16::MAX)
        };
        let usable = |l: &&Line| !l.uid.is_empty() && l.uid.len() <= NAME_MOST && l.weight.is_finite();
        let line = |l: &Line| Member {
            entry: HostEntry {
                id: host_id(&l.uid),
                cell: l.cell,
                zone: place(&self.zones, l.zone, zones),
                kind: place(&self.kinds, l.kind, kinds),
                weight: l.weight,
                state: if l.draining { HostState::Draining } else { HostState::Ready },
                started: l.started,
                in_place_of: None,
            },
            uid: l.uid.clone(),
            addr: l.addr,
        };
        self.members.iter().take(MEMBERS).filter(usable).map(line).collect()
    }
}
