//! Codec for endpoint connections of the platform's protocol: encodes attempts, cancellations and
//! health probes, and decodes responses.
//!
//! The router sends RESP arrays of bulk strings: `ASK ID FIELDS BODY` for an attempt, `QUIT ID` to
//! cancel one, and `NOOP ID` for a health probe. An endpoint responds with
//! `ID STATUS [FIELDS [BODY]]`. `FIELDS` is a list `name=value,name=value`.

use crate::resp::{
    encode_words, find_field, push_array_header, push_bulk_length, push_bulk_string, Decoder, FieldList,
    Frame, RespError,
};
use crate::MAX_TAG_BYTES;
use hollymux_decision::CacheStatus;
use hollymux_router::buffers::{BufferChain, BufferPool, BufferUse, Exhausted};
use hollymux_router::{AttemptRequest, AttemptResponse, Target};

/// Largest body of a response, in bytes. The platform sets this limit.
pub const MAX_OBJECT_BYTES: usize = 240_000;
/// Index of the body in the array `ID STATUS FIELDS BODY`.
const BODY_INDEX: usize = 3;

/// Returns a RESP decoder for an endpoint connection, whose bodies are stored in buffers of `pool`.
pub fn decoder(pool: &BufferPool) -> Decoder {
    Decoder::new(pool, BufferUse::Message, BODY_INDEX, MAX_OBJECT_BYTES)
}

/// A response to an attempt or a health probe.
#[derive(Debug)]
pub struct EndpointResponse {
    /// Id of the attempt or probe that the endpoint responds to, as the router sent it.
    pub id: Vec<u8>,
    /// Status of the response, with the version tag and the body where the status has them.
    pub response: AttemptResponse,
    /// Cache status from the `remark` field; `None` if the field is absent or its value is unknown.
    pub cache_status: Option<CacheStatus>,
    /// Whether the response had a body that was dropped for lack of buffers.
    pub body_dropped: bool,
}

/// Parses a response from a frame. The caller checks with [`is_valid_response`] whether the response
/// is valid for the attempt.
///
/// # Errors
/// Returns [`RespError::Malformed`] if the frame has fewer than two words, if the status is
/// unknown, or if the status `unchanged` comes with a body or without a valid `digest` field.
pub fn parse_response(mut frame: Frame) -> Result<EndpointResponse, RespError> {
    if frame.words.len() < 2 {
        return Err(RespError::Malformed);
    }
    let id = std::mem::take(&mut frame.words[0]);
    let fields = frame.words.get(2).map_or(&[][..], Vec::as_slice);
    let cache_status = find_field(fields, "remark").and_then(parse_cache_status);
    let digest = parse_digest(fields);
    let response = match frame.words[1].as_slice() {
        b"data" => AttemptResponse::Data(digest, frame.body),
        b"unchanged" if frame.body.is_empty() && !frame.body_dropped => {
            AttemptResponse::NotModified(digest.ok_or(RespError::Malformed)?)
        }
        b"absent" => AttemptResponse::Absent,
        b"full" => AttemptResponse::AtCapacity,
        b"failed" => AttemptResponse::Failed,
        b"moot" => AttemptResponse::AlreadyCancelled,
        b"well" => AttemptResponse::ProbeResult(true),
        b"ill" => AttemptResponse::ProbeResult(false),
        _ => return Err(RespError::Malformed),
    };
    Ok(EndpointResponse { id, response, cache_status, body_dropped: frame.body_dropped })
}

/// Returns the version tag of the copy from the `digest` field. Returns `None` if the field is
/// absent, is empty, is longer than [`MAX_TAG_BYTES`], or contains a byte other than a printable
/// ASCII character without space.
fn parse_digest(fields: &[u8]) -> Option<Vec<u8>> {
    let digest = find_field(fields, "digest")?;
    let valid = (1..=MAX_TAG_BYTES).contains(&digest.len()) && digest.iter().all(u8::is_ascii_graphic);
    valid.then(|| digest.to_vec())
}

fn parse_cache_status(word: &[u8]) -> Option<CacheStatus> {
    match word {
        b"TCP_HIT" => Some(CacheStatus::Hit),
        b"TCP_MISS" => Some(CacheStatus::Filled),
        b"TCP_MISS_ROOT" => Some(CacheStatus::FilledByOrigin),
        b"TCP_JOIN" => Some(CacheStatus::Joined),
        b"TCP_STALE" => Some(CacheStatus::Stale),
        b"PEER_DENY" => Some(CacheStatus::SourceRefused),
        b"PEER_DEAD" => Some(CacheStatus::SourceUnreachable),
        b"PEER_MISS" => Some(CacheStatus::SourceLacks),
        b"FILL_FULL" => Some(CacheStatus::NoFillPlace),
        b"ROOT_FAIL" => Some(CacheStatus::OriginFailed),
        _ => None,
    }
}

/// Returns whether a response is valid for an attempt.
///
/// `held` is the version tag that the attempt sent for revalidation, if any. A response with data
/// must carry the version tag of the copy, unless the request is a write, whose result has none.
/// `unchanged` must carry the version tag that the attempt sent. The result of a health probe is
/// never a valid response to an attempt.
pub fn is_valid_response(response: &AttemptResponse, held: Option<&[u8]>, is_write: bool) -> bool {
    match response {
        AttemptResponse::Data(digest, _) => is_write || digest.is_some(),
        AttemptResponse::NotModified(digest) => held == Some(digest.as_slice()),
        AttemptResponse::ProbeResult(_) | AttemptResponse::Undeliverable { .. } => false,
        AttemptResponse::Absent
        | AttemptResponse::AtCapacity
        | AttemptResponse::Failed
        | AttemptResponse::AlreadyCancelled => true,
    }
}

/// A `name=value` field of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Field name on the wire.
    pub name: &'static str,
    /// Field value as text.
    pub value: String,
}

impl Field {
    fn new(name: &'static str, value: impl ToString) -> Field {
        Field { name, value: value.to_string() }
    }
}

/// Returns the fields that tell an endpoint how to fill a cache miss and how to retain the copy.
///
/// They are used in attempts and, as TXT records, in DNS responses. Fields without a value are
/// omitted: `parent` (name of the fill source), `shelf` (retention priority, if above 0), `accept`
/// (greatest age of a copy that may be served, in milliseconds) and `hints` (the flags `coalesce`,
/// `shallow` for only-if-cached and `freshen` for stale-while-revalidate, joined by `+`).
pub fn fill_hint_fields(target: &Target) -> Vec<Field> {
    let fill = &target.fill;
    let mut fields = Vec::new();
    if let Some(source) = &target.source {
        fields.push(Field::new("parent", source));
    }
    if fill.retention > 0 {
        fields.push(Field::new("shelf", fill.retention));
    }
    if let Some(max_age) = fill.max_age {
        // Rounded up to 1 ms, so that a maximum age below 1 ms is not sent as 0.
        fields.push(Field::new("accept", max_age.as_millis().max(1)));
    }
    let mut flags = Vec::new();
    if fill.coalesce {
        flags.push("coalesce");
    }
    if fill.only_if_cached {
        flags.push("shallow");
    }
    if fill.stale_while_revalidate {
        flags.push("freshen");
    }
    if !flags.is_empty() {
        fields.push(Field::new("hints", flags.join("+")));
    }
    fields
}

/// Encodes an attempt. The body of the request is copied, since a retry may need it again.
///
/// # Errors
/// Returns [`Exhausted`] if the pool has too few buffers left for the body.
pub fn encode_attempt(pool: &BufferPool, attempt: &AttemptRequest) -> Result<BufferChain, Exhausted> {
    let request = &attempt.request;
    let mut head = Vec::with_capacity(256);
    push_array_header(&mut head, 4);
    push_bulk_string(&mut head, b"ASK");
    push_bulk_string(&mut head, &request.request_id.text);
    push_bulk_string(&mut head, attempt_fields(attempt).as_bytes());
    push_bulk_length(&mut head, request.body.len());
    let mut chain = pool.chain();
    chain.extend_control(&head);
    for run in request.body.segments() {
        chain.extend(run)?;
    }
    chain.extend_control(b"\r\n");
    Ok(chain)
}

fn attempt_fields(attempt: &AttemptRequest) -> FieldList {
    let request = &attempt.request;
    // Rounded up to 1 ms, so that a timeout below 1 ms is not sent as 0.
    let timeout_millis = attempt.timeout.as_millis().max(1);
    let mut fields = FieldList::default();
    fields.push("profile", &request.class);
    fields.push("thing", &request.object.text);
    fields.push("nth", request.chunk.to_string().as_bytes());
    fields.push("max", timeout_millis.to_string().as_bytes());
    for field in fill_hint_fields(&attempt.target) {
        fields.push(field.name, field.value.as_bytes());
    }
    if let Some(held) = &request.if_none_match {
        fields.push("got", held);
    }
    if let Some(key) = &request.idempotency_key {
        fields.push("replay", key);
    }
    fields
}

/// Encodes the cancellation of the attempt that was sent with this id.
pub fn encode_cancel(id: &[u8]) -> Vec<u8> {
    encode_words(&[b"QUIT", id])
}

/// Encodes a health probe, whose response repeats this id.
pub fn encode_probe(id: &[u8]) -> Vec<u8> {
    encode_words(&[b"NOOP", id])
}
