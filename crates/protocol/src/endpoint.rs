//! The shelfs' side of the platform's protocol: attempts out, answers in.

use crate::resp::{array, bulk, bulk_head, field, Decoder, Frame, RespError};
use hollymux_decision::CacheStatus;
use hollymux_router::buffers::{BufferChain, BufferPool, Exhausted};
use hollymux_router::{AttemptRequest, AttemptResponse, Target};

/// An object holds at most so many bytes.
pub const OBJECT_MOST: usize = 240_000;
/// The place of the body in `ID WORD FIELDS BODY`.
const BODY_AT: usize = 3;

/// A copy's tag holds at most so many bytes.
const TAG_MOST: usize = 64;

/// The decoder for a shelf's connection.
pub fn decoder(pool: &BufferPool) -> Decoder {
    Decoder::new(pool, BODY_AT, OBJECT_MOST)
}

/// What an answer may say of its fill, in the order of the simulator's numbers.
const NOTES: [(&[u8], CacheStatus); 10] = [
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

/// Reads an answer: the id, what is said of it, and what of its fill, where that is told.
pub fn said(mut frame: Frame) -> Result<(Vec<u8>, AttemptResponse, Option<CacheStatus>), RespError> {
    if frame.words.len() < 2 {
        return Err(RespError::Malformed);
    }
    let fields = frame.words.get(2).map_or(&[][..], Vec::as_slice);
    let plain = |t: &&[u8]| (1..=TAG_MOST).contains(&t.len()) && t.iter().all(u8::is_ascii_graphic);
    let digest = || field(fields, "digest").filter(plain).map(<[u8]>::to_vec);
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
    let remark = field(fields, "remark");
    let note = NOTES.iter().find(|(word, _)| remark == Some(word)).map(|(_, note)| *note);
    Ok((std::mem::take(&mut frame.words[0]), said, note))
}

/// Whether that may be said of such a request: bytes of a copy come with its tag, only a copy that was asked about
/// can be unchanged, and no request is answered as a probe is.
pub fn fits(said: &AttemptResponse, held: Option<&[u8]>, writes: bool) -> bool {
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
pub fn fill_fields(target: &Target) -> Vec<(&'static str, String)> {
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
pub fn ask(pool: &BufferPool, order: &AttemptRequest) -> Result<BufferChain, Exhausted> {
    let ask = &order.request;
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
    put("thing", &ask.object.text);
    put("nth", ask.chunk.to_string().as_bytes());
    put("max", order.timeout.as_millis().max(1).to_string().as_bytes());
    for (name, value) in fill_fields(&order.target) {
        put(name, value.as_bytes());
    }
    if let Some(held) = &ask.if_none_match {
        put("got", held);
    }
    if let Some(key) = &ask.idempotency_key {
        put("replay", key);
    }
    let mut head = Vec::with_capacity(256);
    array(&mut head, 4);
    bulk(&mut head, b"ASK");
    bulk(&mut head, &ask.request_id.text);
    bulk(&mut head, &fields);
    bulk_head(&mut head, ask.body.len());
    let mut out = pool.chain();
    out.extend(&head)?;
    for run in ask.body.runs() {
        out.extend(run)?;
    }
    out.extend(b"\r\n")?;
    Ok(out)
}

/// The bytes that call an attempt off.
pub fn quit(pool: &BufferPool, rid: &[u8]) -> Result<BufferChain, Exhausted> {
    words(pool, b"QUIT", rid)
}

/// The bytes of a probe.
pub fn probe(pool: &BufferPool, tag: &[u8]) -> Result<BufferChain, Exhausted> {
    words(pool, b"NOOP", tag)
}

fn words(pool: &BufferPool, verb: &[u8], id: &[u8]) -> Result<BufferChain, Exhausted> {
    let mut head = Vec::new();
    array(&mut head, 2);
    bulk(&mut head, verb);
    bulk(&mut head, id);
    let mut out = pool.chain();
    out.extend(&head)?;
    Ok(out)
}
