//! What the core is told and what it does, in types of the test's own.

/// Who is owed an answer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Caller {
    pub connection: u64,
    pub tag: u64,
}

/// An attempt of a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptName {
    pub request: u32,
    pub number: u16,
}

/// What a client asks for.
pub struct Asked {
    pub id: u64,
    pub class: &'static str,
    pub object: u64,
    pub part: u32,
    pub group: u32,
    pub budget_ms: u64,
    pub holds_copy: bool,
    pub has_key: bool,
    pub body: usize,
}

/// What a host answers.
#[derive(Clone, Copy)]
pub enum Answer {
    Bytes { tagged: bool, length: usize },
    Unchanged,
    Absent,
    Full,
    Failed,
    Moot,
}

/// What an answer tells of its fill.
#[derive(Clone, Copy)]
pub enum FillNote {
    Hit,
    Filled,
    FilledByOrigin,
    Joined,
    Stale,
    SourceRefused,
    SourceUnreachable,
    SourceLacks,
    NoFillPlace,
    OriginFailed,
}

/// How an attempt ended with no answer.
#[derive(Clone, Copy)]
pub enum Loss {
    Refused,
    Unreached,
    Unsent,
    Broken,
}

/// Whether a host takes work.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

/// A line of the list of hosts; without a port it is a shorter record.
#[derive(Clone)]
pub struct HostLine {
    pub uid: String,
    pub cell: u16,
    pub zone: u16,
    pub kind: u16,
    pub weight: f64,
    pub state: Standing,
    pub started: u64,
    pub port: Option<u16>,
}

/// What a lookup at another router came to.
pub enum LookupAnswer {
    Host { uid: String, port: u16, source: Option<String>, keep: u8 },
    Refused,
    Failed,
}

/// What the core is told, or asked directly.
pub enum Stimulus {
    Ask(Caller, Asked),
    StopWaiting(Caller),
    Leave { connection: u64 },
    Answer { attempt: AttemptName, answer: Answer, note: Option<FillNote> },
    Lost { attempt: AttemptName, how: Loss },
    Probed { uid: String, well: Option<bool> },
    Found { request: u32, found: LookupAnswer },
    Wake { handle: usize },
    Hosts { all: bool, lines: Vec<HostLine> },
    Purge { object: Option<u64>, group: u32, at: u64 },
    Lookup { class: &'static str, object: u64, part: u32, group: u32, id: Option<u64> },
    Settings(&'static str),
    HandOver { last: Option<(Caller, Asked)> },
    End,
}

/// What the world does about an effect.
pub enum Reaction {
    Sent { attempt: AttemptName, uid: String },
    Replied(Caller),
    Wake { at: u64, handle: usize },
    LookUp { request: u32 },
    Probe { uid: String },
    Nothing,
}

/// One thing that the core did: what kind of thing, all its fields, and what follows from it.
pub struct Effect {
    pub kind: &'static str,
    pub line: String,
    pub reaction: Reaction,
}

impl Effect {
    pub fn new(kind: &'static str, line: String) -> Effect {
        Effect { kind, line, reaction: Reaction::Nothing }
    }

    pub fn reacting(self, reaction: Reaction) -> Effect {
        Effect { reaction, ..self }
    }
}
