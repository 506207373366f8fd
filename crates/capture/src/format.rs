//! The types of a block. postcard writes fields in order and variants by number, so the order and
//! the types of fields and variants are the format. Their names are not part of it.

use crate::result::{RecordedReason, RecordedResult};
use hollymux_decision::time::whole_micros;
use hollymux_decision::{EndpointState, Idempotency, RequestClass, Settings};
use hollymux_router::{ListedEndpoint, RequestSummary};
use serde::{Deserialize, Serialize};

/// Microseconds: a duration, or a time on the clock of the process that recorded it, which is Unix
/// time for a serving router.
pub type Micros = u64;

/// The bytes at the start of every file.
pub const MAGIC: [u8; 8] = *b"hmxload\0";
/// The version of the format that is written, and the only one that can be read.
pub const VERSION: u16 = 1;
/// The bytes at the start of every block.
pub const BLOCK_MARK: [u8; 4] = *b"hmxB";
/// Bytes of a block before its compressed content: the mark, the length and the checksum.
pub(crate) const BLOCK_HEADER_BYTES: usize = BLOCK_MARK.len() + 8;
/// Largest compressed content of a block, in bytes.
pub const MAX_BLOCK_BYTES: usize = 4 << 20;
/// Largest content of a block after decompression, in bytes.
pub const MAX_DECOMPRESSED_BYTES: usize = 32 << 20;
/// Most entries in a block.
pub const MAX_BLOCK_ENTRIES: usize = 2_048;

/// The settings of a request class that capacity planning needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedClass {
    /// The name by which clients and settings refer to the class.
    pub name: String,
    /// Latency objective, without the transfer time of the response's bytes.
    pub latency_objective: Micros,
    /// The multiple of the transfer time that is added to the latency objective.
    pub latency_objective_stretch: f64,
    /// Time after which a request of the class is given up.
    pub deadline: Micros,
    /// Priority weight of a response within the latency objective.
    pub priority_weight: f64,
    /// Share of the priority weight that a response has after the latency objective.
    pub late_weight: f64,
    /// Whether requests of the class are executed at the origin and their responses aren't cached.
    pub is_write: bool,
    /// Whether requests of the class are idempotent and may be retried.
    pub is_idempotent: bool,
    /// How long a cached copy is fresh; 0 if it is fresh until it is purged.
    pub fresh_for: Micros,
    /// How long after `fresh_for` a cached copy may be served stale.
    pub stale_for: Micros,
    /// Share of the priority weight that a stale response has.
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

/// The router that made a recording, and the settings needed to interpret its entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecordingHeader {
    /// The router's name.
    pub router: String,
    /// The name of the router's zone; empty if the zone number has no name.
    pub zone: String,
    /// The request classes. Entries refer to them by index.
    pub classes: Vec<RecordedClass>,
    /// The names of the endpoint kinds. Entries refer to them by index.
    pub kinds: Vec<String>,
    /// The index in `kinds` of parent caches; `None` if there are no parent caches.
    pub parent_kind: Option<u16>,
    /// The index in `kinds` of origins; `None` if no kind is an origin.
    pub origin_kind: Option<u16>,
    /// The names of the zones. Entries refer to them by index.
    pub zones: Vec<String>,
    /// Rate of one transfer to a client, in bytes per second; 0 if it is not known.
    pub transfer_bytes_per_s: f64,
    /// Number of routers in the cluster according to the settings.
    pub router_count: u32,
    /// When the file of this header was started, in Unix time.
    pub started: Micros,
}

impl RecordingHeader {
    /// Builds the header of a router's recording from its settings. The writer sets `started` for
    /// each file.
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

/// A request that the router closed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestEntry {
    /// When the router received the request.
    pub arrived: Micros,
    /// The index of the request's class in [`RecordingHeader::classes`].
    pub class: u16,
    /// The id that clients use for the requested object.
    pub object: u64,
    /// The number of the requested chunk within the object.
    pub chunk: u32,
    /// The number of the object's group.
    pub group: u32,
    /// How long the client was willing to wait.
    pub timeout: Micros,
    /// How the request ended.
    pub result: RecordedResult,
    /// The reason for `result`; [`RecordedReason::None`] for a request that was answered.
    pub reason: RecordedReason,
    /// Size of the response's body in bytes.
    pub bytes: u64,
    /// Time from the request's arrival until it was closed.
    pub duration: Micros,
    /// Number of attempts made at endpoints.
    pub attempts: u16,
    /// The endpoint of the last attempt, as an index into [`Block::names`]; `None` if there was no
    /// attempt or the name was dropped.
    pub endpoint: Option<u32>,
    /// The fill source given in the last attempt, as an index into [`Block::names`]; `None` if the
    /// attempt had no source or the name was dropped.
    pub source: Option<u32>,
}

impl RequestEntry {
    /// Builds the entry of a closed request. `endpoint` and `source` are the numbers of the names
    /// in the summary.
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

/// A change of one endpoint in the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// When the router received the change.
    pub at: Micros,
    /// The endpoint's name, as an index into [`Block::names`] or [`crate::Recording::names`].
    pub name: u32,
    /// The endpoint's zone, as an index into [`RecordingHeader::zones`].
    pub zone: u16,
    /// The endpoint's kind, as an index into [`RecordingHeader::kinds`].
    pub kind: u16,
    /// The endpoint's weight in the endpoint list.
    pub weight: f64,
    /// When the endpoint last started; 0 if that was too long ago to matter.
    pub started: Micros,
    /// The endpoint's state after the change: one of the `STATE_` constants.
    pub state: u8,
}

impl EndpointUpdate {
    /// State of an endpoint that takes requests.
    pub const STATE_READY: u8 = 0;
    /// State of an endpoint that takes no new requests and finishes those in flight.
    pub const STATE_DRAINING: u8 = 1;
    /// State of an endpoint that was removed from the endpoint list.
    pub const STATE_GONE: u8 = 2;

    /// Builds the entry of a change. `name` is the number of the endpoint's name.
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

/// A purge that the router received.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PurgeEntry {
    /// When the router received the purge.
    pub at: Micros,
    /// The purged object; `None` if the whole group was purged.
    pub object: Option<u64>,
    /// The number of the purged group, or of the purged object's group.
    pub group: u32,
}

/// One recorded event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// The router closed a request with the contained result.
    Request(RequestEntry),
    /// An endpoint in the endpoint list changed.
    EndpointUpdate(EndpointUpdate),
    /// The router received a purge of an object or of an object group.
    Purge(PurgeEntry),
}

/// The decoded content of a block.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Block {
    /// The block's number in the router's recording, from 0. A gap in the numbers shows lost
    /// blocks.
    pub number: u64,
    /// Entries dropped between the previous block and this one.
    pub dropped: u64,
    /// The header of the file; present only in the file's first block.
    pub header: Option<RecordingHeader>,
    /// The endpoint names to which the entries of this block refer by index.
    pub names: Vec<String>,
    /// The recorded events, in the order of recording.
    pub entries: Vec<Entry>,
}
