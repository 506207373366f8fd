//! The client side of the platform's protocol: commands in, replies out.

use crate::resp::{
    encode_words, find_field, parse_decimal, parse_hex_u64, push_array_header, push_bulk_length,
    push_bulk_string, Decoder, FieldList, Frame, RespError,
};
use crate::{GROUP_COUNT, MAX_TAG_BYTES};
use hollymux_router::buffers::{BufferChain, BufferPool, Exhausted};
use hollymux_router::{ClientRequest, ReceivedNumber, Reply};

/// Largest body of a request, in bytes: the platform's limit.
pub const MAX_REQUEST_BODY_BYTES: usize = 48_000;
/// Position of the body in `DO TAG CLASS FIELDS BODY`.
const BODY_INDEX: usize = 4;
/// Longest time a client may ask to wait, in milliseconds. More is an invalid field; the limit of
/// the request's class is the router's to apply.
const MAX_TIMEOUT_MILLIS: u64 = 3_600_000;
/// Most ranges kept in [`UsedTags`]; a client that counts upwards needs one.
const MAX_TAG_RANGES: usize = 256;

/// A command of a client.
#[derive(Debug)]
pub enum ClientCommand {
    /// `DO`: a request. Its reply carries the same tag.
    Request {
        /// Chosen by the client; unique on its connection.
        tag: u64,
        /// The request, or the error if its fields can't be used.
        request: Result<ClientRequest, InvalidRequest>,
    },
    /// `UNDO`: the client no longer waits for the request of that tag.
    Cancel {
        /// The tag of the request.
        tag: u64,
    },
    /// `PING`: asks whether this router accepts requests.
    Ping {
        /// The response carries the same tag.
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

/// Consecutive tags, both ends included.
#[derive(Clone, Copy, Debug)]
struct TagRange {
    first: u64,
    last: u64,
}

/// The tags that a connection has used: disjoint ranges in ascending order, none adjacent.
#[derive(Debug, Default)]
pub struct UsedTags {
    ranges: Vec<TagRange>,
}

impl UsedTags {
    /// Marks a tag as used. False if it was used before, or if the connection skipped so many tags
    /// that no further range can be kept.
    pub fn insert(&mut self, tag: u64) -> bool {
        let next = self.ranges.partition_point(|range| range.last < tag);
        if self.ranges.get(next).is_some_and(|range| range.first <= tag) {
            return false;
        }
        let extends_previous = next > 0 && self.ranges[next - 1].last + 1 == tag;
        let extends_next = self.ranges.get(next).is_some_and(|range| range.first - 1 == tag);
        match (extends_previous, extends_next) {
            (true, true) => self.ranges[next - 1].last = self.ranges.remove(next).last,
            (true, false) => self.ranges[next - 1].last = tag,
            (false, true) => self.ranges[next].first = tag,
            (false, false) if self.ranges.len() >= MAX_TAG_RANGES => return false,
            (false, false) => self.ranges.insert(next, TagRange { first: tag, last: tag }),
        }
        true
    }
}

/// The decoder for a client's connection.
pub fn decoder(pool: &BufferPool) -> Decoder {
    Decoder::new(pool, BODY_INDEX, MAX_REQUEST_BODY_BYTES)
}

/// Parses a command.
///
/// # Errors
/// The frame is no command. A request with unusable fields is no such error: its tag is known, so
/// it can be answered, and the connection stays usable.
pub fn parse_command(frame: Frame) -> Result<ClientCommand, RespError> {
    let tag_word = frame.words.get(1).ok_or(RespError::Malformed)?;
    let tag = parse_decimal(tag_word).filter(|tag| *tag > 0).ok_or(RespError::Malformed)?;
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

fn parse_request(mut frame: Frame) -> Option<ClientRequest> {
    let fields = frame.words.get(3).cloned().unwrap_or_default();
    let number = |name| find_field(&fields, name).and_then(parse_decimal);
    let request_id = find_field(&fields, "rid")?;
    let object = find_field(&fields, "obj")?;
    let timeout_millis = number("budget")?;
    if !(1..=MAX_TIMEOUT_MILLIS).contains(&timeout_millis) {
        return None;
    }
    Some(ClientRequest {
        request_id: ReceivedNumber { text: request_id.to_vec(), value: parse_hex_u64(request_id)? },
        object: ReceivedNumber { text: object.to_vec(), value: parse_hex_u64(object)? },
        chunk: u32::try_from(number("piece")?).ok()?,
        group: u32::try_from(number("lot")?).ok().filter(|group| *group < GROUP_COUNT)?,
        budget_ms: timeout_millis,
        if_none_match: parse_optional_tag(&fields, "ver")?,
        idempotency_key: parse_optional_tag(&fields, "token")?,
        class: std::mem::take(&mut frame.words[2]),
        body: frame.body,
    })
}

/// A field that is sent on to endpoints unchanged, so it must consist of what they can read. The
/// inner option is none if the field is absent or empty, the outer one if it is invalid.
fn parse_optional_tag(fields: &[u8], name: &str) -> Option<Option<Vec<u8>>> {
    let value = find_field(fields, name).unwrap_or_default();
    if value.is_empty() {
        return Some(None);
    }
    let valid = value.len() <= MAX_TAG_BYTES && value.iter().all(u8::is_ascii_alphanumeric);
    valid.then(|| Some(value.to_vec()))
}

/// A reply in the protocol's words.
struct EncodedReply {
    status: &'static [u8],
    fields: FieldList,
    body: Option<BufferChain>,
}

impl From<Reply> for EncodedReply {
    fn from(reply: Reply) -> Self {
        let mut fields = FieldList::default();
        let (status, body): (&[u8], _) = match reply {
            Reply::Served(digest, body) => {
                if let Some(digest) = digest {
                    fields.push("ver", &digest);
                }
                (b"good", Some(body))
            }
            Reply::NotModified(digest) => {
                fields.push("unchanged", b"1");
                fields.push("ver", &digest);
                (b"good", None)
            }
            Reply::Rejected(retry_after_millis) => {
                if retry_after_millis > 0 {
                    fields.push("backoff", retry_after_millis.to_string().as_bytes());
                }
                (b"refused", None)
            }
            Reply::Failed => (b"broken", None),
        };
        EncodedReply { status, fields, body }
    }
}

/// Encodes the reply to the request of that tag. The body's buffers are moved, not copied.
///
/// # Errors
/// The pool has no buffer for the head.
pub fn encode_reply(pool: &BufferPool, tag: u64, reply: Reply) -> Result<BufferChain, Exhausted> {
    let reply = EncodedReply::from(reply);
    let mut head = Vec::with_capacity(96);
    push_array_header(&mut head, 4);
    push_bulk_string(&mut head, tag.to_string().as_bytes());
    push_bulk_string(&mut head, reply.status);
    push_bulk_string(&mut head, reply.fields.as_bytes());
    push_bulk_length(&mut head, reply.body.as_ref().map_or(0, BufferChain::len));
    let mut chain = pool.chain();
    chain.extend(&head)?;
    if let Some(body) = reply.body {
        chain.append(body);
    }
    chain.extend(b"\r\n")?;
    Ok(chain)
}

/// Encodes the response to a ping: whether this router accepts requests.
///
/// # Errors
/// The pool has no buffer for it.
pub fn encode_ping_response(pool: &BufferPool, tag: u64, ready: bool) -> Result<BufferChain, Exhausted> {
    let status: &[u8] = if ready { b"fit" } else { b"unfit" };
    encode_words(pool, &[tag.to_string().as_bytes(), status])
}
