//! The clients' side of the platform's protocol: requests in, answers out.

use crate::resp::{
    find_field, parse_decimal, push_array_header, push_bulk_length, push_bulk_string, Decoder, Frame,
    RespError,
};
use hollymux_router::buffers::{BufferChain, BufferPool, Exhausted};
use hollymux_router::{ClientRequest, Reply};

/// A write carries at most so many bytes.
pub const MAX_REQUEST_BODY_BYTES: usize = 48_000;
/// The place of the body in `DO TAG CLASS FIELDS BODY`.
const BODY_AT: usize = 4;
/// No client waits longer than this, in milliseconds; more is no usable field. The core knows its class's limit.
const BUDGET_MOST: u64 = 3_600_000;

/// A copy's tag or an idempotency key holds at most so many bytes.
const TAG_MOST: usize = 64;

/// A client's message.
#[derive(Debug)]
pub enum ClientCommand {
    /// `DO`: a request. Its answer carries the same tag.
    Request {
        /// Chosen by the client; unique on its connection.
        tag: u64,
        /// The request, or the error if its fields cannot be used.
        request: Result<ClientRequest, InvalidRequest>,
    },
    /// `UNDO`: the client no longer waits for the request of that tag.
    Cancel {
        /// The tag of the request.
        tag: u64,
    },
    /// `PING`: asks whether this router accepts requests.
    Ping {
        /// The answer carries the same tag.
        tag: u64,
    },
}

/// A request whose fields are missing or out of range; it is answered as failed.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("request with invalid fields")]
pub struct InvalidRequest {
    /// The name of the request's class as the client sent it.
    pub class: Vec<u8>,
}

/// Ranges of tags kept for one connection; a client that counts upwards needs one.
const RANGES: usize = 256;

/// The tags that a connection has used, as ranges in order.
#[derive(Debug, Default)]
pub struct UsedTags(Vec<(u64, u64)>);

impl UsedTags {
    /// Takes a tag; false if it was used before, or so many were left out that no more can be remembered.
    pub fn insert(&mut self, tag: u64) -> bool {
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
    Decoder::new(pool, BODY_AT, MAX_REQUEST_BODY_BYTES)
}

/// Reads a message; an error means that the connection can't be understood.
pub fn parse_command(frame: Frame) -> Result<ClientCommand, RespError> {
    let tag =
        frame.words.get(1).and_then(|w| parse_decimal(w)).filter(|t| *t > 0).ok_or(RespError::Malformed)?;
    match (frame.words[0].as_slice(), frame.words.len()) {
        (b"DO", 3..) => {
            let class = frame.words[2].clone();
            let request = parse_request(frame).ok_or(InvalidRequest { class });
            Ok(ClientCommand::Request { tag, request })
        }
        (b"UNDO", 2) => Ok(ClientCommand::Cancel { tag }),
        (b"PING", 2..=3) => Ok(ClientCommand::Ping { tag }),
        _ => Err(RespError::Malformed),
    }
}

/// A number of 16 hex digits.
pub fn parse_hex_u64(word: &[u8]) -> Option<u64> {
    let plain = word.len() == 16 && word.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(word).ok().filter(|_| plain).and_then(|w| u64::from_str_radix(w, 16).ok())
}

fn parse_request(mut frame: Frame) -> Option<ClientRequest> {
    let fields = frame.words.get(3).cloned().unwrap_or_default();
    let number = |name| find_field(&fields, name).and_then(parse_decimal);
    let rid = find_field(&fields, "rid")?;
    let object = find_field(&fields, "obj")?;
    // It is passed on as it came: a shelf must be able to read it.
    let usable = |v: &[u8]| v.len() <= TAG_MOST && v.iter().all(u8::is_ascii_alphanumeric);
    let tag = |name| find_field(&fields, name).filter(|v| !v.is_empty()).map(<[u8]>::to_vec);
    let (held, key) = (tag("ver"), tag("token"));
    if ![&held, &key].into_iter().flatten().all(|v| usable(v)) {
        return None;
    }
    Some(ClientRequest {
        rid: (rid.to_vec(), parse_hex_u64(rid)?),
        object: (object.to_vec(), parse_hex_u64(object)?),
        part: u32::try_from(number("piece")?).ok()?,
        group: u32::try_from(number("lot")?).ok().filter(|g| *g < 256)?,
        budget: number("budget").filter(|b| (1..=BUDGET_MOST).contains(b))?,
        held,
        key,
        class: std::mem::take(&mut frame.words[2]),
        body: frame.body,
    })
}

/// The bytes of an answer.
pub fn encode_reply(pool: &BufferPool, tag: u64, reply: Reply) -> Result<BufferChain, Exhausted> {
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
    push_array_header(&mut head, 4);
    push_bulk_string(&mut head, tag.to_string().as_bytes());
    push_bulk_string(&mut head, word);
    push_bulk_string(&mut head, &fields);
    push_bulk_length(&mut head, body.as_ref().map_or(0, BufferChain::len));
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
pub fn encode_ping_response(pool: &BufferPool, tag: u64, ready: bool) -> Result<BufferChain, Exhausted> {
    let mut head = Vec::new();
    push_array_header(&mut head, 2);
    push_bulk_string(&mut head, tag.to_string().as_bytes());
    push_bulk_string(&mut head, if ready { b"fit" } else { b"unfit" });
    let mut out = pool.chain();
    out.extend(&head)?;
    Ok(out)
}
