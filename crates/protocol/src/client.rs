//! Codec for client connections of the platform's protocol: decodes commands and encodes replies.
//!
//! A command is a RESP array of bulk strings:
//!
//! - `DO TAG CLASS FIELDS [BODY]` sends a request. `FIELDS` is a list `name=value,name=value`.
//! - `UNDO TAG` cancels a request.
//! - `PING TAG` asks whether this router accepts requests; an additional word is ignored.
//!
//! `TAG` is a positive decimal number that the client chooses. The reply to a request is the array
//! `TAG STATUS FIELDS BODY`, and the response to a ping is `TAG STATUS`.

use crate::resp::{
    encode_words, find_field, parse_decimal, parse_hex_u64, push_array_header, push_bulk_length,
    push_bulk_string, Decoder, FieldList, Frame, RespError,
};
use crate::{GROUP_COUNT, MAX_TAG_BYTES};
use hollymux_router::buffers::{BufferChain, BufferPool, BufferUse};
use hollymux_router::{ClientRequest, ReceivedNumber, Reply};
use std::collections::VecDeque;

/// Largest body of a request, in bytes. The platform sets this limit.
pub const MAX_REQUEST_BODY_BYTES: usize = 48_000;
/// Index of the body in the array `DO TAG CLASS FIELDS BODY`.
const BODY_INDEX: usize = 4;
/// Largest accepted `budget` field, in milliseconds. A request with a larger one is invalid. The
/// router package applies the lower limit of the request's class.
const MAX_TIMEOUT_MILLIS: u64 = 3_600_000;
/// Maximum number of ranges in [`UsedTags`]. A client that numbers its requests consecutively needs
/// only one; one that also numbers its pings needs one for each request.
const MAX_TAG_RANGES: usize = 256;

/// A command received from a client.
#[derive(Debug)]
#[allow(clippy::large_enum_variant, reason = "a command is handled at once and not stored")]
pub enum ClientCommand {
    /// `DO`: a request.
    Request {
        /// Tag chosen by the client, which the reply repeats. A client must not use a tag twice on
        /// one connection; [`UsedTags`] detects that.
        tag: u64,
        /// The request, or an error if its fields are missing or out of range.
        request: Result<ClientRequest, InvalidRequest>,
        /// Whether the request had a body that was dropped for lack of buffers, so that it can't be
        /// sent to an endpoint.
        body_dropped: bool,
    },
    /// `UNDO`: the client cancels the request with this tag.
    Cancel {
        /// Tag of the request to cancel.
        tag: u64,
    },
    /// `PING`: the client asks whether this router accepts requests.
    Ping {
        /// Tag chosen by the client, which the response repeats.
        tag: u64,
    },
}

/// Error for a request whose fields are missing or out of range. The client gets a reply that the
/// request failed.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("request has missing or invalid fields")]
pub struct InvalidRequest {
    /// Name of the request's class as the client sent it; the class may not exist.
    pub class: Vec<u8>,
}

/// An inclusive range of tags.
#[derive(Clone, Copy, Debug)]
struct TagRange {
    first: u64,
    last: u64,
}

impl TagRange {
    fn contains(&self, tag: u64) -> bool {
        (self.first..=self.last).contains(&tag)
    }

    /// Extends the range by another one if that is directly below or above it.
    fn join(&mut self, other: TagRange) -> bool {
        if other.last.checked_add(1) == Some(self.first) {
            self.first = other.first;
        } else if self.last.checked_add(1) == Some(other.first) {
            self.last = other.last;
        } else {
            return false;
        }
        true
    }
}

/// The tags that a client has used on its connection, as far as they can be remembered. The tags are
/// stored as disjoint, non-adjacent ranges. A client that skips tags may need any number of ranges;
/// beyond 256, the range that was extended longest ago is forgotten.
#[derive(Debug, Default)]
pub struct UsedTags {
    /// The ranges, the one extended last at the end.
    ranges: VecDeque<TagRange>,
}

impl UsedTags {
    /// Adds a tag. Returns false if the client is known to have used the tag before. The last 256
    /// tags are always known, and those before them as far as their ranges are remembered.
    pub fn insert(&mut self, tag: u64) -> bool {
        if self.ranges.iter().any(|range| range.contains(tag)) {
            return false;
        }
        let mut joined = TagRange { first: tag, last: tag };
        self.ranges.retain(|range| !joined.join(*range));
        if self.ranges.len() == MAX_TAG_RANGES {
            self.ranges.pop_front();
        }
        self.ranges.push_back(joined);
        true
    }
}

/// Returns a RESP decoder for a client connection, whose bodies are stored in buffers of `pool`.
pub fn decoder(pool: &BufferPool) -> Decoder {
    Decoder::new(pool, BufferUse::IncompleteRequest, BODY_INDEX, MAX_REQUEST_BODY_BYTES)
}

/// Parses a command from a frame.
///
/// # Errors
/// Returns [`RespError::Malformed`] if the command is unknown, its number of words is wrong, or its
/// tag is not a positive decimal number. A request with invalid fields is not an error of this
/// function, since its tag is known: the request can be answered and the connection stays usable.
pub fn parse_command(frame: Frame) -> Result<ClientCommand, RespError> {
    let tag_word = frame.words.get(1).ok_or(RespError::Malformed)?;
    let tag = parse_decimal(tag_word).filter(|tag| *tag > 0).ok_or(RespError::Malformed)?;
    match (frame.words[0].as_slice(), frame.words.len()) {
        (b"DO", 3..) => {
            let class = frame.words[2].clone();
            let body_dropped = frame.body_dropped;
            let request = parse_request(frame).ok_or(InvalidRequest { class });
            Ok(ClientCommand::Request { tag, request, body_dropped })
        }
        (b"UNDO", 2) => Ok(ClientCommand::Cancel { tag }),
        (b"PING", 2..=3) => Ok(ClientCommand::Ping { tag }),
        _ => Err(RespError::Malformed),
    }
}

/// Parses the class, fields and body of a `DO` command. Returns `None` if a mandatory field (`rid`,
/// `obj`, `budget`, `piece` or `lot`) is missing, or if any field is malformed or out of range.
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
        timeout_ms: timeout_millis,
        if_none_match: parse_optional_tag(&fields, "ver")?,
        idempotency_key: parse_optional_tag(&fields, "token")?,
        class: std::mem::take(&mut frame.words[2]),
        body: frame.body,
    })
}

/// Parses an optional field that is forwarded to endpoints unchanged. It must consist of 1 to
/// [`MAX_TAG_BYTES`] ASCII letters and digits, since endpoints accept nothing else.
///
/// Returns `Some(None)` if the field is absent or empty, and `None` if it is invalid.
fn parse_optional_tag(fields: &[u8], name: &str) -> Option<Option<Vec<u8>>> {
    let value = find_field(fields, name).unwrap_or_default();
    if value.is_empty() {
        return Some(None);
    }
    let valid = value.len() <= MAX_TAG_BYTES && value.iter().all(u8::is_ascii_alphanumeric);
    valid.then(|| Some(value.to_vec()))
}

/// The parts of a reply that follow its tag.
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

/// Encodes the reply to the request with this tag at the end of `output`. The buffers of the body
/// are moved, not copied; what is around it needs no buffer of the pool, so that every request can
/// be replied to.
pub fn encode_reply(output: &mut BufferChain, tag: u64, reply: Reply) {
    let reply = EncodedReply::from(reply);
    let mut head = Vec::with_capacity(96);
    push_array_header(&mut head, 4);
    push_bulk_string(&mut head, tag.to_string().as_bytes());
    push_bulk_string(&mut head, reply.status);
    push_bulk_string(&mut head, reply.fields.as_bytes());
    push_bulk_length(&mut head, reply.body.as_ref().map_or(0, BufferChain::len));
    output.extend_control(&head);
    if let Some(body) = reply.body {
        output.append(body);
    }
    output.extend_control(b"\r\n");
}

/// Encodes the response to a ping with this tag at the end of `output`. `ready` says whether this
/// router accepts requests.
pub fn encode_ping_response(output: &mut BufferChain, tag: u64, ready: bool) {
    let status: &[u8] = if ready { b"fit" } else { b"unfit" };
    output.extend_control(&encode_words(&[tag.to_string().as_bytes(), status]));
}
