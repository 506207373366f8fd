//! The types of a block. postcard writes fields in order and variants by number, so their order and
//! types are the format; names are free.

use crate::result::{RecordedReason, RecordedResult};
use hollymux_decision::time::whole_micros;
use hollymux_decision::{EndpointState, Idempotency, RequestClass, Settings};
use hollymux_router::{ListedEndpoint, RequestSummary};
use serde::{Deserialize, Serialize};

/// Microseconds: an instant on the clock of whoever gives it, or a duration.
pub type Micros = u64;

/// The first bytes of a file.
pub const MAGIC: [u8; 8] = *b"hmxload\0";
/// The version of the format that is written, and the only one that is read.
pub const VERSION: u16 = 1;
/// The first bytes of a block.
pub const BLOCK_MARK: [u8; 4] = *b"hmxB";
/// Largest block as it is in the file, in bytes.
pub const MAX_BLOCK_BYTES: usize = 4 << 20;
/// Largest block after decompression, in bytes.
pub const MAX_DECOMPRESSED_BYTES: usize = 32 << 20;
/// Most entries of a block.
pub const MAX_BLOCK_ENTRIES: usize = 2_048;

/// A request class, as far as a plan needs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedClass {
    /// Its name.
    pub name: String,
    /// The time within which a response is wanted, apart from the transfer of its bytes.
    pub latency_objective: Micros,
    /// Multiples of the transfer's own duration that are added to the objective.
    pub latency_objective_stretch: f64,
    /// Requests are given up after this.
    pub deadline: Micros,
    /// The weight of a response in time.
    pub priority_weight: f64,
    /// The share of the weight that a late response has.
    pub late_weight: f64,
    /// Requests run at the origin, and nothing is cached.
    pub is_write: bool,
    /// Requests may be retried.
    pub is_idempotent: bool,
    /// How long a cached copy is fresh; 0: until it is purged.
    pub fresh_for: Micros,
    /// How much longer it may be served stale.
    pub stale_for: Micros,
    /// The share of the weight that a stale response has.
    pub stale_weight: f64,
}

impl RecordedClass {
    fn new(name: &str, class: &RequestClass) -> RecordedClass {
        RecordedClass {
            name: name.to_string(),
            latency_objective: whole_micros(class.latency_objective),
            latency_objective_stretch: class.latency_objective_stretch,
            deadline: whole_micros(class.deadline),
            priority_weight: class.priority_weight,
            late_weight: class.late_weight,
            is_write: class.write,
            is_idempotent: class.idempotency == Idempotency::Idempotent,
            fresh_for: whole_micros(class.fresh),
            stale_for: whole_micros(class.grace),
            stale_weight: class.stale_weight,
        }
    }
}

/// Which router recorded, and the settings needed to read its entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecordingHeader {
    /// The router's name.
    pub router: String,
    /// The name of the router's zone.
    pub zone: String,
    /// The request classes, by number.
    pub classes: Vec<RecordedClass>,
    /// Names of kinds of endpoint, by number.
    pub kinds: Vec<String>,
    /// The kind that is a parent cache.
    pub parent_kind: Option<u16>,
    /// The kind that is the origin.
    pub origin_kind: Option<u16>,
    /// Names of zones, by number.
    pub zones: Vec<String>,
    /// The rate of one transfer to a client; 0 if it is not known.
    pub transfer_bytes_per_s: f64,
    /// Routers in all, as the settings say.
    pub router_count: u32,
    /// When this file was begun.
    pub started: Micros,
}

impl RecordingHeader {
    /// The header of a router's recordings; the writer sets when each file was begun.
    pub fn new(
        router: &str,
        zones: &[String],
        kinds: &[String],
        class_names: &[String],
        settings: &Settings,
    ) -> RecordingHeader {
        let classes = class_names.iter().zip(&settings.classes);
        RecordingHeader {
            router: router.to_string(),
            zone: zones.get(usize::from(settings.zone)).cloned().unwrap_or_default(),
            classes: classes.map(|(name, class)| RecordedClass::new(name, class)).collect(),
            kinds: kinds.to_vec(),
            parent_kind: settings.parent_kind,
            origin_kind: settings.origin_kind,
            zones: zones.to_vec(),
            transfer_bytes_per_s: settings.flow_kb_per_s * 1_000.0,
            router_count: settings.router_count,
            started: 0,
        }
    }
}

/// A request that was closed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestEntry {
    /// When it arrived.
    pub arrived: Micros,
    /// Its class, by number.
    pub class: u16,
    /// The object.
    pub object: u64,
    /// The chunk of the object.
    pub chunk: u32,
    /// The object's group.
    pub group: u32,
    /// How long the client was willing to wait.
    pub timeout: Micros,
    /// The result.
    pub result: RecordedResult,
    /// Why it has that result.
    pub reason: RecordedReason,
    /// Bytes of the response.
    pub bytes: u64,
    /// How long it was open.
    pub duration: Micros,
    /// Attempts at endpoints.
    pub attempts: u16,
    /// The endpoint of the last attempt, as an index of [`Block::names`].
    pub endpoint: Option<u32>,
    /// The fill source named in that attempt, as an index of [`Block::names`].
    pub source: Option<u32>,
}

impl RequestEntry {
    /// The entry of a closed request, whose endpoint and source have the given indices.
    pub fn new(summary: &RequestSummary, endpoint: Option<u32>, source: Option<u32>) -> RequestEntry {
        RequestEntry {
            arrived: summary.arrived.as_micros(),
            class: summary.requested.class,
            object: summary.requested.object,
            chunk: summary.requested.chunk,
            group: summary.requested.group,
            timeout: whole_micros(summary.budget),
            result: summary.result.into(),
            reason: summary.reason.into(),
            bytes: summary.bytes,
            duration: whole_micros(summary.duration),
            attempts: summary.attempts,
            endpoint,
            source,
        }
    }
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// When the router received it.
    pub at: Micros,
    /// The endpoint's name, as an index of [`Block::names`] or of [`crate::Recording::names`].
    pub name: u32,
    /// Its zone, by number.
    pub zone: u16,
    /// Its kind, by number.
    pub kind: u16,
    /// Its weight in the list.
    pub weight: f64,
    /// When it started; 0: long ago.
    pub started: Micros,
    /// One of the `STATE_` constants.
    pub state: u8,
}

impl EndpointUpdate {
    /// The endpoint takes requests.
    pub const STATE_READY: u8 = 0;
    /// The endpoint is draining.
    pub const STATE_DRAINING: u8 = 1;
    /// The endpoint has left the list.
    pub const STATE_GONE: u8 = 2;

    /// The entry of an update, whose endpoint's name has the given index.
    pub fn new(at: Micros, endpoint: &ListedEndpoint, name: u32) -> EndpointUpdate {
        let entry = &endpoint.entry;
        let state = match entry.state {
            EndpointState::Ready => EndpointUpdate::STATE_READY,
            EndpointState::Draining => EndpointUpdate::STATE_DRAINING,
            EndpointState::Gone => EndpointUpdate::STATE_GONE,
        };
        EndpointUpdate {
            at,
            name,
            zone: entry.zone,
            kind: entry.kind,
            weight: entry.weight,
            started: entry.started.as_micros(),
            state,
        }
    }
}

/// A purge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PurgeEntry {
    /// When the router received it.
    pub at: Micros,
    /// The object; none: the whole group.
    pub object: Option<u64>,
    /// The group.
    pub group: u32,
}

/// One thing recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A request was closed.
    Request(RequestEntry),
    /// The endpoint list changed.
    EndpointUpdate(EndpointUpdate),
    /// Something was purged.
    Purge(PurgeEntry),
}

/// The content of a block.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Block {
    /// Its number in the router's recording, from 0: a gap is a loss.
    pub number: u64,
    /// Entries that had to be dropped before it.
    pub dropped: u64,
    /// The header, in the first block of a file.
    pub header: Option<RecordingHeader>,
    /// The names that its entries refer to by index.
    pub names: Vec<String>,
    /// The entries.
    pub entries: Vec<Entry>,
}
