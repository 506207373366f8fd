//! Recorded load: what a router was asked, what became of it, and what it was told of members and purges.
//!
//! `docs/capture.md` has the format. A file stands for itself: a head that names the router and its classes, then
//! blocks, each with a mark, a length and a checksum, so that damage costs the blocks that it touches and no more.

mod read;
mod write;

pub use read::{load, read, Loss, ReadError, Recording, Row};
pub use write::{Recorder, Sink};

use hollymux_decision::time::whole_micros;
use hollymux_decision::{AttemptStatus, EndpointState, Idempotency, Settings};
use hollymux_router::{ListedEndpoint, RequestResult, RequestSummary, ResultReason};
use serde::{Deserialize, Serialize};

/// Microseconds: a point in time on the clock of whoever gives it, or a span of time.
pub type Time = u64;

/// The first bytes of a file.
pub const MAGIC: [u8; 8] = *b"hmxload\0";
/// The version of the format that is written, and the only one that is read.
pub const VERSION: u16 = 1;
/// The first bytes of a block.
pub const MARK: [u8; 4] = *b"hmxB";
/// A block holds at most so many bytes, as it stands and when it is unpacked.
pub const BLOCK_MOST: usize = 4 << 20;
/// See [`BLOCK_MOST`].
pub const UNPACKED_MOST: usize = 32 << 20;
/// Entries of a block.
pub const ENTRIES_MOST: usize = 2_048;

/// A class, as far as a plan needs it. Times in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassHead {
    /// Its name.
    pub name: String,
    /// Wanted within this...
    pub aim: Time,
    /// ...and this many times its own sending time.
    pub aim_stretch: f64,
    /// Given up after this.
    pub deadline: Time,
    /// What it is worth.
    pub worth: f64,
    /// The part of it that a late answer earns.
    pub late_worth: f64,
    /// It runs at the library and is never kept.
    pub write: bool,
    /// It may be repeated.
    pub repeats: bool,
    /// How long a copy is fresh; 0: until purged.
    pub fresh: Time,
    /// How much longer it may be served.
    pub grace: Time,
    /// The part of the worth that a copy past its fresh time earns.
    pub stale_worth: f64,
}

/// Who recorded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The router's name.
    pub router: String,
    /// Its office: the zone's name.
    pub office: String,
    /// Its classes.
    pub classes: Vec<ClassHead>,
    /// Names of kinds of member, by number; which of them are hubs and the library.
    pub kinds: Vec<String>,
    /// See `kinds`.
    pub hub_kind: Option<u16>,
    /// See `kinds`.
    pub library_kind: Option<u16>,
    /// Names of zones, by number.
    pub zones: Vec<String>,
    /// Bytes a second of one transfer to a client; 0: not known.
    pub flow_bytes_per_s: f64,
    /// Routers in all, as its settings say.
    pub routers: u32,
    /// When the recording began.
    pub began: Time,
}

impl Head {
    /// The head of a router's recording.
    pub fn new(router: &str, zones: &[String], kinds: &[String], classes: &[String], s: &Settings) -> Head {
        let class = |(name, c): (&String, &hollymux_decision::RequestClass)| ClassHead {
            name: name.clone(),
            aim: whole_micros(c.latency_objective),
            aim_stretch: c.latency_objective_stretch,
            deadline: whole_micros(c.deadline),
            worth: c.priority_weight,
            late_worth: c.late_weight,
            write: c.write,
            repeats: c.idempotency == Idempotency::Idempotent,
            fresh: whole_micros(c.fresh),
            grace: whole_micros(c.grace),
            stale_worth: c.stale_weight,
        };
        Head {
            router: router.to_string(),
            office: zones.get(usize::from(s.zone)).cloned().unwrap_or_default(),
            classes: classes.iter().zip(&s.classes).map(class).collect(),
            kinds: kinds.to_vec(),
            hub_kind: s.parent_kind,
            library_kind: s.origin_kind,
            zones: zones.to_vec(),
            flow_bytes_per_s: s.flow_kb_per_s * 1_000.0,
            routers: s.router_count,
            began: 0,
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum End {
    /// Served with bytes.
    Served,
    /// Served: the client's copy is the one.
    Unchanged,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// The client stopped waiting.
    Withdrawn,
    /// A lookup was answered with a box.
    Named,
}

/// Why a request that was not served ended like that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// It was served, or named.
    None,
    /// Too much was open at the router.
    NoRoom,
    /// It could not be used.
    Unusable,
    /// It may have run before.
    MayHaveRun,
    /// No box could be asked.
    NoHost,
    /// Its last attempt missed, was turned away, was never sent, was not connected.
    Missed,
    /// See `Missed`.
    Full,
    /// See `Missed`.
    Unsent,
    /// See `Missed`.
    Unreached,
    /// Its last attempt met an error, a silence, a break.
    Error,
    /// See `Error`.
    Silent,
    /// See `Error`.
    Broken,
    /// It was given up.
    GivenUp,
    /// The client's connection or the buffers held too much.
    Crowded,
}

/// A request that was closed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// When it came.
    pub arrived: Time,
    /// Its class.
    pub class: u16,
    /// The object.
    pub object: u64,
    /// The part.
    pub part: u32,
    /// The group.
    pub group: u32,
    /// How long the client would wait.
    pub budget: Time,
    /// How it ended.
    pub end: End,
    /// Why.
    pub reason: Reason,
    /// Bytes of the answer.
    pub bytes: u64,
    /// How long it was open.
    pub took: Time,
    /// Attempts.
    pub attempts: u16,
    /// The box asked last, as a name of the block.
    pub host: Option<u32>,
    /// The source named with it.
    pub source: Option<u32>,
}

impl Request {
    /// A closed request, with the names of its box and source as given.
    pub fn new(e: &RequestSummary, host: Option<u32>, source: Option<u32>) -> Request {
        let end = match e.result {
            RequestResult::Served => End::Served,
            RequestResult::NotModified => End::Unchanged,
            RequestResult::Rejected => End::Refused,
            RequestResult::Failed => End::Failed,
            RequestResult::Cancelled => End::Withdrawn,
            RequestResult::Named => End::Named,
        };
        let reason = match e.reason {
            ResultReason::Completed => Reason::None,
            ResultReason::TableFull => Reason::NoRoom,
            ResultReason::InvalidRequest => Reason::Unusable,
            ResultReason::MayHaveRun => Reason::MayHaveRun,
            ResultReason::NoEndpoint => Reason::NoHost,
            ResultReason::Overloaded => Reason::Crowded,
            ResultReason::Attempt(AttemptStatus::Miss) => Reason::Missed,
            ResultReason::Attempt(AttemptStatus::Full) => Reason::Full,
            ResultReason::Attempt(AttemptStatus::Moot) => Reason::Unsent,
            ResultReason::Attempt(AttemptStatus::ConnectFailed | AttemptStatus::Unreached) => {
                Reason::Unreached
            }
            ResultReason::Attempt(AttemptStatus::Error | AttemptStatus::Ok) => Reason::Error,
            ResultReason::Attempt(AttemptStatus::Timeout) => Reason::Silent,
            ResultReason::Attempt(AttemptStatus::Reset) => Reason::Broken,
            ResultReason::Attempt(AttemptStatus::Cancelled) => Reason::GivenUp,
        };
        Request {
            arrived: e.arrived.as_micros(),
            class: e.requested.class,
            object: e.requested.object,
            part: e.requested.chunk,
            group: e.requested.group,
            budget: whole_micros(e.budget),
            end,
            reason,
            bytes: e.bytes,
            took: whole_micros(e.duration),
            attempts: e.attempts,
            host,
            source,
        }
    }
}

/// A line of the member list, as it was told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberLine {
    /// When.
    pub at: Time,
    /// Its name, as a name of the block.
    pub name: u32,
    /// Its zone and kind, by number.
    pub zone: u16,
    /// See `zone`.
    pub kind: u16,
    /// Its listed size.
    pub weight: f64,
    /// When it started; 0: long past.
    pub started: Time,
    /// 0 ready, 1 draining, 2 gone.
    pub state: u8,
}

impl MemberLine {
    /// A line, with the name as given.
    pub fn new(at: Time, m: &ListedEndpoint, name: u32) -> MemberLine {
        let state = match m.entry.state {
            EndpointState::Ready => 0,
            EndpointState::Draining => 1,
            EndpointState::Gone => 2,
        };
        let e = &m.entry;
        MemberLine {
            at,
            name,
            zone: e.zone,
            kind: e.kind,
            weight: e.weight,
            started: e.started.as_micros(),
            state,
        }
    }
}

/// A purge, as it was told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PurgeLine {
    /// When it was told.
    pub at: Time,
    /// The object; none: the whole group.
    pub object: Option<u64>,
    /// The group.
    pub group: u32,
}

/// One thing recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A request was closed.
    Request(Request),
    /// A member was told.
    Member(MemberLine),
    /// A purge was told.
    Purge(PurgeLine),
}

/// What a block holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Block {
    /// Its number in the router's recording, from 0: a gap is a loss.
    pub number: u64,
    /// Entries that had to be dropped before it.
    pub dropped: u64,
    /// The head, in the first block of a file.
    pub head: Option<Head>,
    /// Names that its entries use, by number.
    pub names: Vec<String>,
    /// The entries.
    pub entries: Vec<Entry>,
}
