//! The shelfs' side of the platform's protocol: attempts out, answers in.

use crate::resp::{
    find_field, push_array_header, push_bulk_length, push_bulk_string, Decoder, Frame, RespError,
};
use hollymux_decision::CacheStatus;
use hollymux_router::buffers::{BufferChain, BufferPool, Exhausted};
use hollymux_router::{AttemptRequest, AttemptResponse, Target};

/// An object holds at most so many bytes.
pub const MAX_OBJECT_BYTES: usize = 240_000;
/// The place of the body in `ID WORD FIELDS BODY`.
const BODY_AT: usize = 3;

/// A copy's tag holds at most so many bytes.
const TAG_MOST: usize = 64;

/// The decoder for a shelf's connection.
pub fn decoder(pool: &BufferPool) -> Decoder {
    Decoder::new(pool, BODY_AT, MAX_OBJECT_BYTES)
}

/// What an answer may say of its fill, in the order of the simulator's numbers.
const CACHE_STATUS_WORDS: [(&[u8], CacheStatus); 10] = [
    (b"TCP_HIT", CacheStatus::Hit),
    (b"TCP_MISS", CacheStatus::Filled),
    (b"TCP_MISS_ROOT", CacheStatus::FilledByOrigin),
    (b"TCP_JOIN", CacheStatus::Joined),
    (b"TCP_STALE", CacheStatus::Stale),
    (b"PEER_DENY", CacheStatus::SourceRefused),
    (b"PEER_DEAD", CacheStatus::SourceUnreachable),
    (b"PEER_MISS", CacheStatus::SourceLacks),
    (b"FILL_FULL", CacheStatus::NoFillPlace),
    (b"ROOT_FAIL", CacheStatus::OriginFailed),
];

/// A response to an attempt or a probe.
#[derive(Debug)]
pub struct EndpointResponse {
    /// The id under which the attempt or probe was sent.
    pub id: Vec<u8>,
    /// The result.
    pub response: AttemptResponse,
    /// How the endpoint's cache served it, where the response says so.
    pub cache_status: Option<CacheStatus>,
}

/// Parses a response.
pub fn parse_response(mut frame: Frame) -> Result<EndpointResponse, RespError> {
    if frame.words.len() < 2 {
        return Err(RespError::Malformed);
    }
    let fields = frame.words.get(2).map_or(&[][..], Vec::as_slice);
    let plain = |t: &&[u8]| (1..=TAG_MOST).contains(&t.len()) && t.iter().all(u8::is_ascii_graphic);
    let digest = || find_field(fields, "digest").filter(plain).map(<[u8]>::to_vec);
    let said = match frame.words[1].as_slice() {
        b"data" => AttemptResponse::Data(digest(), frame.body),
        b"unchanged" if frame.body.is_empty() => {
            AttemptResponse::NotModified(digest().ok_or(RespError::Malformed)?)
        }
        b"absent" => AttemptResponse::Absent,
        b"full" => AttemptResponse::AtCapacity,
        b"failed" => AttemptResponse::Failed,
        b"moot" => AttemptResponse::AlreadyCancelled,
        b"well" => AttemptResponse::ProbeResult(true),
        b"ill" => AttemptResponse::ProbeResult(false),
        _ => return Err(RespError::Malformed),
    };
    let remark = find_field(fields, "remark");
    let note = CACHE_STATUS_WORDS.iter().find(|(word, _)| remark == Some(word)).map(|(_, note)| *note);
    Ok(EndpointResponse { id: std::mem::take(&mut frame.words[0]), response: said, cache_status: note })
}

/// Whether that may be said of such a request: bytes of a copy come with its tag, only a copy that was asked about
/// can be unchanged, and no request is answered as a probe is.
pub fn response_allowed(said: &AttemptResponse, held: Option<&[u8]>, writes: bool) -> bool {
    match said {
        AttemptResponse::Data(digest, _) => writes || digest.is_some(),
        AttemptResponse::NotModified(digest) => held == Some(digest.as_slice()),
        AttemptResponse::ProbeResult(_) => false,
        AttemptResponse::Absent
        | AttemptResponse::AtCapacity
        | AttemptResponse::Failed
        | AttemptResponse::AlreadyCancelled => true,
    }
}

/// The fill as fields of a request to a shelf.
pub fn fill_hint_fields(target: &Target) -> Vec<(&'static str, String)> {
    let f = &target.fill;
    let hints =
        [(f.coalesce, "coalesce"), (f.only_if_cached, "shallow"), (f.stale_while_revalidate, "freshen")];
    let hints: Vec<&str> = hints.iter().filter(|h| h.0).map(|h| h.1).collect();
    let parent = target.source.as_ref().map(|s| ("parent", s.to_string()));
    let shelf = (f.retention > 0).then(|| ("shelf", f.retention.to_string()));
    let accept = f.max_age.map(|a| ("accept", a.as_millis().max(1).to_string()));
    let hints = (!hints.is_empty()).then(|| ("hints", hints.join("+")));
    [parent, shelf, accept, hints].into_iter().flatten().collect()
}

/// The bytes of an attempt.
pub fn encode_attempt(pool: &BufferPool, order: &AttemptRequest) -> Result<BufferChain, Exhausted> {
    let ask = &order.ask;
    let mut fields = Vec::with_capacity(128);
    let mut put = |name: &str, value: &[u8]| {
        if !fields.is_empty() {
            fields.push(b',');
        }
        fields.extend_from_slice(name.as_bytes());
        fields.push(b'=');
        fields.extend_from_slice(value);
    };
    put("profile", &ask.class);
    put("thing", &ask.object.0);
    put("nth", ask.part.to_string().as_bytes());
    put("max", order.timeout.as_millis().max(1).to_string().as_bytes());
    for (name, value) in fill_hint_fields(&order.target) {
        put(name, value.as_bytes());
    }
    if let Some(held) = &ask.held {
        put("got", held);
    }
    if let Some(key) = &ask.key {
        put("replay", key);
    }
    let mut head = Vec::with_capacity(256);
    push_array_header(&mut head, 4);
    push_bulk_string(&mut head, b"ASK");
    push_bulk_string(&mut head, &ask.rid.0);
    push_bulk_string(&mut head, &fields);
    push_bulk_length(&mut head, ask.body.len());
    let mut out = pool.chain();
    out.extend(&head)?;
    for run in ask.body.runs() {
        out.extend(run)?;
    }
    out.extend(b"\r\n")?;
    Ok(out)
}

/// The bytes that call an attempt off.
pub fn encode_cancel(pool: &BufferPool, rid: &[u8]) -> Result<BufferChain, Exhausted> {
    words(pool, b"QUIT", rid)
}

/// The bytes of a probe.
pub fn encode_probe(pool: &BufferPool, tag: &[u8]) -> Result<BufferChain, Exhausted> {
    words(pool, b"NOOP", tag)
}

fn words(pool: &BufferPool, verb: &[u8], id: &[u8]) -> Result<BufferChain, Exhausted> {
    let mut head = Vec::new();
    push_array_header(&mut head, 2);
    push_bulk_string(&mut head, verb);
    push_bulk_string(&mut head, id);
    let mut out = pool.chain();
    out.extend(&head)?;
    Ok(out)
}
