//! The clients' side of the platform's protocol: requests in, answers out.

use crate::resp::{array, bulk, bulk_head, decimal, field, Decoder, Frame, RespError};
use hollymux_router::buffers::{BufferChain, BufferPool, Exhausted};
use hollymux_router::{ClientRequest, ReceivedNumber, Reply};

/// A write carries at most so many bytes.
pub const WRITE_MOST: usize = 48_000;
/// The place of the body in `DO TAG CLASS FIELDS BODY`.
const BODY_AT: usize = 4;
/// No client waits longer than this, in milliseconds; more is no usable field. The core knows its class's limit.
const BUDGET_MOST: u64 = 3_600_000;

/// A copy's tag or an idempotency key holds at most so many bytes.
const TAG_MOST: usize = 64;

/// A client's message.
#[derive(Debug)]
pub enum Call {
    /// A request under a tag, or the name of its class if its fields can't be used.
    Do(u64, Result<ClientRequest, Vec<u8>>),
    /// The client stops waiting.
    Undo(u64),
    /// A check.
    Ping(u64),
}

/// Ranges of tags kept for one connection; a client that counts upwards needs one.
const RANGES: usize = 256;

/// The tags that a connection has used, as ranges in order.
#[derive(Debug, Default)]
pub struct Tags(Vec<(u64, u64)>);

impl Tags {
    /// Takes a tag; false if it was used before, or so many were left out that no more can be remembered.
    pub fn take(&mut self, tag: u64) -> bool {
        let at = self.0.partition_point(|r| r.1 < tag);
        if self.0.get(at).is_some_and(|r| r.0 <= tag) {
            return false;
        }
        let after = at > 0 && self.0[at - 1].1 + 1 == tag;
        let before = self.0.get(at).is_some_and(|r| r.0 - 1 == tag);
        match (after, before) {
            (true, true) => self.0[at - 1].1 = self.0.remove(at).1,
            (true, false) => self.0[at - 1].1 = tag,
            (false, true) => self.0[at].0 = tag,
            (false, false) if self.0.len() >= RANGES => return false,
            (false, false) => self.0.insert(at, (tag, tag)),
        }
        true
    }
}

/// The decoder for a client's connection.
pub fn decoder(pool: &BufferPool) -> Decoder {
    Decoder::new(pool, BODY_AT, WRITE_MOST)
}

/// Reads a message; an error means that the connection can't be understood.
pub fn call(frame: Frame) -> Result<Call, RespError> {
    let tag = frame.words.get(1).and_then(|w| decimal(w)).filter(|t| *t > 0).ok_or(RespError::Malformed)?;
    match (frame.words[0].as_slice(), frame.words.len()) {
        (b"DO", 3..) => {
            let class = frame.words[2].clone();
            Ok(Call::Do(tag, ask(frame).ok_or(class)))
        }
        (b"UNDO", 2) => Ok(Call::Undo(tag)),
        (b"PING", 2..=3) => Ok(Call::Ping(tag)),
        _ => Err(RespError::Malformed),
    }
}

/// A number of 16 hex digits.
pub fn hex16(word: &[u8]) -> Option<u64> {
    let plain = word.len() == 16 && word.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(word).ok().filter(|_| plain).and_then(|w| u64::from_str_radix(w, 16).ok())
}

fn ask(mut frame: Frame) -> Option<ClientRequest> {
    let fields = frame.words.get(3).cloned().unwrap_or_default();
    let number = |name| field(&fields, name).and_then(decimal);
    let rid = field(&fields, "rid")?;
    let object = field(&fields, "obj")?;
    // It is passed on as it came: a shelf must be able to read it.
    let usable = |v: &[u8]| v.len() <= TAG_MOST && v.iter().all(u8::is_ascii_alphanumeric);
    let tag = |name| field(&fields, name).filter(|v| !v.is_empty()).map(<[u8]>::to_vec);
    let (held, key) = (tag("ver"), tag("token"));
    if ![&held, &key].into_iter().flatten().all(|v| usable(v)) {
        return None;
    }
    Some(ClientRequest {
        request_id: ReceivedNumber { text: rid.to_vec(), value: hex16(rid)? },
        object: ReceivedNumber { text: object.to_vec(), value: hex16(object)? },
        chunk: u32::try_from(number("piece")?).ok()?,
        group: u32::try_from(number("lot")?).ok().filter(|g| *g < 256)?,
        budget_ms: number("budget").filter(|b| (1..=BUDGET_MOST).contains(b))?,
        if_none_match: held,
        idempotency_key: key,
        class: std::mem::take(&mut frame.words[2]),
        body: frame.body,
    })
}

/// The bytes of an answer.
pub fn reply(pool: &BufferPool, tag: u64, reply: Reply) -> Result<BufferChain, Exhausted> {
    let (word, fields, body): (&[u8], _, _) = match reply {
        Reply::Served(digest, body) => {
            (b"good", digest.map(|d| name(b"ver=", &d)).unwrap_or_default(), Some(body))
        }
        Reply::NotModified(digest) => {
            let mut fields = b"unchanged=1,".to_vec();
            fields.extend(name(b"ver=", &digest));
            (b"good", fields, None)
        }
        Reply::Rejected(0) => (b"refused", Vec::new(), None),
        Reply::Rejected(wait) => (b"refused", format!("backoff={wait}").into_bytes(), None),
        Reply::Failed => (b"broken", Vec::new(), None),
    };
    let mut head = Vec::with_capacity(96);
    array(&mut head, 4);
    bulk(&mut head, tag.to_string().as_bytes());
    bulk(&mut head, word);
    bulk(&mut head, &fields);
    bulk_head(&mut head, body.as_ref().map_or(0, BufferChain::len));
    let mut out = pool.chain();
    out.extend(&head)?;
    if let Some(body) = body {
        out.append(body);
    }
    out.extend(b"\r\n")?;
    Ok(out)
}

fn name(name: &[u8], value: &[u8]) -> Vec<u8> {
    [name, value].concat()
}

/// The answer to a check: whether the router may be sent work.
pub fn fit(pool: &BufferPool, tag: u64, fit: bool) -> Result<BufferChain, Exhausted> {
    let mut head = Vec::new();
    array(&mut head, 2);
    bulk(&mut head, tag.to_string().as_bytes());
    bulk(&mut head, if fit { b"fit" } else { b"unfit" });
    let mut out = pool.chain();
    out.extend(&head)?;
    Ok(out)
}
