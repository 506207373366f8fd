//! The interface of the decision module: settings, events and actions, as plain types.
//!
//! Nothing here decides anything.

use crate::time::Timestamp;
use std::time::Duration;

/// A purge counts for this much longer than endpoints say that they need to drop purged copies.
const PURGE_MARGIN: Duration = Duration::from_secs(1);

/// Identifies a request while it is open; never seen twice by one router.
pub type RequestId = u32;

/// An opaque endpoint identity, the same at every router. It may be hashed and tells nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// How far a class may be repeated once an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeat and refuse at will.
    Idempotent,
    /// Repeats are dropped by the endpoints of one scope, for a limited time.
    WithKey,
    /// Never again once it may have run.
    NotIdempotent,
}

/// Which endpoints drop the repeats of a keyed request together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Any endpoint.
    All,
    /// Endpoints of the same zone.
    Zone,
    /// Endpoints of the same cell.
    Cell,
}

/// Which other caches may be named as the source of a fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiblingCaches {
    /// None.
    None,
    /// Caches of the router's own location.
    Location,
    /// Caches of any location.
    Any,
}

/// Which notes come with outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatusReporting {
    /// None: a hit can't be told from a fill.
    None,
    /// Hits, fills and stale copies are told apart; failures carry no cause.
    Hit,
    /// Everything is told, the cause of a failed fill too.
    All,
}

/// How changes of the endpoint list arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Unasked.
    Push,
    /// Only when asked for.
    Ask,
}

/// What the list's weights say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedWeights {
    /// Nothing.
    None,
    /// An endpoint's size, exactly or roughly, the same in every list.
    Size,
    /// A size that changes with load from one list to the next.
    Live,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Full worth is earned within this time...
    pub latency_objective: Duration,
    /// ...plus this multiple of the request's own sending time.
    pub latency_objective_stretch: f64,
    /// The client's whole patience.
    pub deadline: Duration,
    /// What a request is worth.
    pub priority_weight: f64,
    /// Share of the worth that a late answer earns.
    pub late_weight: f64,
    /// How far it may be repeated.
    pub idempotency: Idempotency,
    /// For keyed classes: who drops repeats...
    pub scope: DeduplicationScope,
    /// ...and for how long after the first send that may have run.
    pub window: Duration,
    /// Answers are streamed.
    pub stream: bool,
    /// Requests run at the origin and leave no copy.
    pub write: bool,
    /// How long a copy is fresh; zero: until purged.
    pub fresh: Duration,
    /// How much older a copy may be if asked for.
    pub grace: Duration,
    /// Share of the worth that a stale copy earns.
    pub stale_weight: f64,
}

impl Default for RequestClass {
    fn default() -> Self {
        RequestClass {
            latency_objective: Duration::ZERO,
            latency_objective_stretch: 0.0,
            deadline: Duration::ZERO,
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency: Idempotency::NotIdempotent,
            scope: DeduplicationScope::Cell,
            window: Duration::ZERO,
            stream: false,
            write: false,
            fresh: Duration::ZERO,
            grace: Duration::ZERO,
            stale_weight: 1.0,
        }
    }
}

/// What a router is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes, by index.
    pub classes: Vec<RequestClass>,
    /// The zone of this router.
    pub zone: u16,
    /// Dispatchers in all.
    pub router_count: u32,
    /// Dispatchers by zone; may be empty if not told.
    pub router_count_by_zone: Vec<u32>,
    /// Kind of endpoint that is a parent, if there are parents.
    pub parent_kind: Option<u16>,
    /// Kind of endpoint that is the origin.
    pub origin_kind: Option<u16>,
    /// Requests may go straight to a parent or the origin.
    pub bypass_edge_cache: bool,
    /// A request may join a fill under way.
    pub coalesce_fills: bool,
    /// Which caches may supply a fill.
    pub sibling_caches: SiblingCaches,
    /// Which notes outcomes carry.
    pub cache_status_reporting: CacheStatusReporting,
    /// KB per second of one transfer to a client at most; 0: not told.
    pub flow_kb_per_s: f64,
    /// What the weights of the list say.
    pub weights: ListedWeights,
    /// How the endpoint list arrives.
    pub discovery: Discovery,
    /// With [`Discovery::Ask`]: silence beyond this counts as having been told.
    pub list_silence_timeout: Duration,
    /// From this long after a purge was told, no older copy may answer.
    pub purge_slack: Duration,
    /// After this long endpoints have dropped purged copies themselves.
    pub purge_done: Duration,
    /// Sends to a draining or gone endpoint must have ceased after this long.
    pub drain_grace: Duration,
    /// A final answer counts until this long after the client's deadline.
    pub answer_slack: Duration,
    /// A cache starts at this share of its capacity or more...
    pub warm_up_floor: f64,
    /// ...and is warm after this long at the latest.
    pub warm_up_period: Duration,
    /// It falls over at this multiple of its present capacity...
    pub overload_multiple: f64,
    /// ...borne for this long (caches and parents).
    pub overload_window: Duration,
    /// A parent starts at this share of its link or more...
    pub parent_warm_up_floor: f64,
    /// ...and is warm after this long at the latest.
    pub parent_warm_up_period: Duration,
    /// A cold parent falls over at this multiple.
    pub parent_overload_multiple: f64,
    /// The origin stops for a while at this multiple of what it can do; 0: it never does.
    pub origin_overload_multiple: f64,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be out at once.
    pub hedging_allowed: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Endpoints may be probed.
    pub probes: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// The longest such advice that clients honour.
    pub max_retry_after: Duration,
    /// A connection not made within this time has failed.
    pub connect_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            zone: 0,
            router_count: 1,
            router_count_by_zone: Vec::new(),
            parent_kind: None,
            origin_kind: None,
            bypass_edge_cache: false,
            coalesce_fills: false,
            sibling_caches: SiblingCaches::None,
            cache_status_reporting: CacheStatusReporting::None,
            flow_kb_per_s: 0.0,
            weights: ListedWeights::None,
            discovery: Discovery::Push,
            list_silence_timeout: Duration::ZERO,
            purge_slack: Duration::ZERO,
            purge_done: Duration::ZERO,
            drain_grace: Duration::ZERO,
            answer_slack: Duration::ZERO,
            warm_up_floor: 1.0,
            warm_up_period: Duration::ZERO,
            overload_multiple: 0.0,
            overload_window: Duration::ZERO,
            parent_warm_up_floor: 1.0,
            parent_warm_up_period: Duration::ZERO,
            parent_overload_multiple: 0.0,
            origin_overload_multiple: 0.0,
            max_attempts: 1,
            hedging_allowed: false,
            cancel: false,
            probes: false,
            retry_after: false,
            max_retry_after: Duration::ZERO,
            connect_timeout: Duration::ZERO,
        }
    }
}

impl Settings {
    /// Whether a router could work under these settings at all; names the first field that rules it
    /// out.
    pub fn check(&self) -> Result<(), SettingsError> {
        let test = |ok: bool, field: &str, why| {
            let field = field.to_string();
            ok.then_some(()).ok_or(SettingsError::Invalid { field, why })
        };
        let number = |v: f64| v.is_finite() && v >= 0.0;
        let (some, share) = ("must be at least 1", "a share lies between 0 and 1");
        let zero = "must be a number of 0 or more";
        test(self.router_count > 0, "dispatchers", some)?;
        test(self.max_attempts > 0, "max_attempts", some)?;
        test((0.0..=1.0).contains(&self.warm_up_floor), "cold_from", share)?;
        let from = self.parent_warm_up_floor;
        test((0.0..=1.0).contains(&from), "parent_cold_from", share)?;
        test(number(self.overload_multiple), "fall_multiple", zero)?;
        let multiple = self.parent_overload_multiple;
        test(number(multiple), "parent_fall_multiple", zero)?;
        test(number(self.flow_kb_per_s), "flow_kb_per_s", zero)?;
        for (i, c) in self.classes.iter().enumerate() {
            test(number(c.priority_weight), &format!("classes[{i}].worth"), zero)?;
            let field = format!("classes[{i}].aim_stretch");
            test(number(c.latency_objective_stretch), &field, zero)?;
        }
        Ok(())
    }
}

impl Settings {
    /// The class of a request whose class number is one of them.
    pub fn class(&self, r: &Request) -> &RequestClass {
        &self.classes[usize::from(r.class)]
    }

    /// How long a purge counts: until endpoints have dropped purged copies themselves, and a little
    /// more.
    pub fn purge_life(&self) -> Duration {
        self.purge_done + PURGE_MARGIN
    }

    /// The sending time of a request in seconds, where its size is told.
    pub(crate) fn known_work(&self, r: &Request) -> Option<f64> {
        let kb = r.size_kb.filter(|_| self.flow_kb_per_s > 0.0)?;
        Some(kb / self.flow_kb_per_s)
    }

    /// How many routers share an endpoint: those of its zone if only they use it and it is told,
    /// else all.
    pub(crate) fn sharing(&self, zone_only: bool, zone: u16) -> u32 {
        let here = self.router_count_by_zone.get(usize::from(zone)).copied();
        here.filter(|n| *n > 0 && zone_only).unwrap_or(self.router_count)
    }
}

/// Settings that no router could work under.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A field holds a value outside of what it can mean.
    #[error("setting {field}: {why}")]
    Invalid {
        /// The field's name, with its index where it is one of several.
        field: String,
        /// What is wrong with it.
        why: &'static str,
    },
}

/// Whether an endpoint takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes what it has; nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// Its identity.
    pub id: EndpointId,
    /// Its cell.
    pub cell: u16,
    /// Its zone.
    pub zone: u16,
    /// Its kind.
    pub kind: u16,
    /// Its weight, comparable across endpoints.
    pub weight: f64,
    /// Whether it takes work.
    pub state: EndpointState,
    /// When it last started; [`Timestamp::ZERO`]: long past.
    pub started: Timestamp,
    /// The endpoint whose address it took: what was sent there since it started reached this one.
    pub in_place_of: Option<EndpointId>,
}

/// Which part of the truth a list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Delta,
    /// Everything; an endpoint not in it has gone.
    Full,
    /// Everything as this router last had it, perhaps stale.
    Cached,
}

/// A client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, by index.
    pub class: u16,
    /// The object asked for.
    pub object: u64,
    /// The part of it.
    pub part: u32,
    /// The object's group, as purges may name it.
    pub group: u32,
    /// The part's size in KB, where told.
    pub size_kb: Option<f64>,
    /// When the client gives this try up.
    pub deadline: Timestamp,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// It writes.
    pub write: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// Served.
    Ok,
    /// No copy that will do, and none was filled; did not run.
    Miss,
    /// The endpoint returned an error; may have run.
    Error,
    /// Turned away unseen, or its source refused or was not reached; did not run.
    Full,
    /// No answer in time; may have run.
    Timeout,
    /// No connection; did not run.
    ConnectFailed,
    /// No connection came up while one was waited for; did not run. It may yet come up.
    Unreached,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl AttemptStatus {
    /// Whether this outcome proves that the attempt did not run.
    pub fn never_ran(self) -> bool {
        use AttemptStatus::{ConnectFailed, Full, Miss, Moot, Unreached};
        matches!(self, Miss | Full | ConnectFailed | Unreached | Moot)
    }
}

/// What an outcome says of its fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// Found where it was asked for.
    Hit,
    /// Filled from the source's copy.
    Filled,
    /// Filled by way of the origin.
    FilledByOrigin,
    /// Joined a fill under way; on a miss: there is one.
    Joined,
    /// A copy past its fresh time.
    Stale,
    /// The source refused.
    SourceRefused,
    /// The source was not reached, broke off or was too slow.
    SourceUnreachable,
    /// The source lacks it.
    SourceLacks,
    /// All places for fills are taken at the cache.
    NoFillPlace,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, from 0 in the order of sending.
    pub attempt: u16,
    /// The endpoint it went to.
    pub endpoint: EndpointId,
    /// Time since it was sent.
    pub latency: Duration,
    /// How it ended.
    pub status: AttemptStatus,
    /// The request is finished, by this or an earlier outcome.
    pub ended: bool,
    /// What is told of the fill.
    pub note: Option<CacheStatus>,
    /// Its own sending time in seconds, where what came back shows it.
    pub work: Option<f64>,
}

/// A purge that this router hears of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Purge {
    /// How long ago it happened.
    pub since: Duration,
    /// The object with all parts, or `None`: the whole group.
    pub object: Option<u64>,
    /// The group.
    pub group: u32,
}

/// What a router is told while it runs.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Lines of the endpoint list.
    EndpointList {
        /// Which part of the truth they are.
        kind: ListKind,
        /// The lines.
        entries: Vec<EndpointEntry>,
    },
    /// A call for the endpoint list failed; the old one holds.
    EndpointListFailed,
    /// A client asks.
    Request(Request),
    /// A streamed answer has begun; the client owns the attempt.
    Started {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// An attempt ended.
    AttemptOutcome(AttemptOutcome),
    /// The client has left; nothing more is owed.
    Withdrawn {
        /// The request.
        request: RequestId,
    },
    /// A timer set by this router is due.
    Timer {
        /// Its token.
        token: u64,
    },
    /// A purge.
    Purged(Purge),
    /// A probe came back.
    Probed {
        /// The endpoint probed.
        endpoint: EndpointId,
        /// How the probe ended.
        status: AttemptStatus,
    },
}

/// How an attempt is to be filled and kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheFill {
    /// Where a miss is filled from; `None`: no fill.
    pub source: Option<EndpointId>,
    /// Rank at which the copy is kept, 1 to 3, lowest dropped first; 0: passed through.
    pub retention: u8,
    /// The oldest copy that will do; `None`: fresh ones.
    pub max_age: Option<Duration>,
    /// Join a fill under way.
    pub coalesce: bool,
    /// Serve an ageing copy and fetch it anew behind.
    pub stale_while_revalidate: bool,
    /// The source gives only what it holds, and fetches nothing.
    pub only_if_cached: bool,
}

/// What a router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; numbered from 0 per request in the order of sending.
    Attempt {
        /// The request.
        request: RequestId,
        /// The endpoint to ask.
        endpoint: EndpointId,
        /// Its time-out.
        timeout: Duration,
        /// Fill and keep.
        fill: CacheFill,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long to stay away; zero: no advice.
        retry_after: Duration,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Wake me.
    Timer {
        /// After this long.
        after: Duration,
        /// With this token.
        token: u64,
    },
    /// Ask for changes of the endpoint list from now on.
    Subscribe,
    /// Ask for the whole endpoint list once.
    FetchHosts,
    /// Probe an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A line for the operator.
    Log(String),
}

impl Action {
    /// An [`Action::Timer`].
    pub fn timer(after: Duration, token: u64) -> Action {
        Action::Timer { after, token }
    }

    /// An [`Action::Cancel`].
    pub fn cancel(request: RequestId, attempt: usize) -> Action {
        let attempt = u16::try_from(attempt).unwrap_or(u16::MAX);
        Action::Cancel { request, attempt }
    }

    /// An [`Action::Refuse`].
    pub fn refuse(request: RequestId, retry_after: Duration) -> Action {
        Action::Refuse { request, retry_after }
    }
}
