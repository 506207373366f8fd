//! Codec for the messages between a predecessor process and the successor that replaces it.
//!
//! A frame consists of a header of 9 bytes and a body in postcard format. The header is the magic
//! `hmx`, the version (1 byte), the kind of message (1 byte) and the length of the body (4 bytes,
//! big-endian). The header is the same in all versions, so that processes of different versions can
//! still hand over the listening socket.
//!
//! The order of the messages, the transfer of sockets and the timeouts belong to the server
//! package.

use hollymux_router::handover_state::{HandoverState, PendingWrite};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Version of the body format. Of a message with another version, only the kind is decoded and the
/// body is ignored.
pub const VERSION: u8 = 1;
const MAGIC: [u8; 3] = *b"hmx";
/// Length of the frame header, in bytes.
const HEADER_BYTES: usize = 9;
/// Maximum length of a body, in bytes. The state of the largest endpoint list is well below it.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Values of the kind byte in the frame header.
mod kind {
    pub(super) const HELLO: u8 = 1;
    pub(super) const STATE: u8 = 2;
    pub(super) const TAKE_OVER: u8 = 3;
    pub(super) const RELEASED: u8 = 4;
    pub(super) const PENDING_WRITES: u8 = 5;
    pub(super) const DECLINED: u8 = 6;
    pub(super) const CLUSTER_INCARNATION: u8 = 7;
    pub(super) const RESOURCES: u8 = 8;
}

/// A handover message. The predecessor is the process that serves clients; the successor is the
/// process that replaces it.
#[derive(Clone, Debug, PartialEq)]
pub enum HandoverMessage {
    /// The successor requests the handover of the listener that accepts clients at an address.
    Hello {
        /// The address; empty if the message has another version.
        address: String,
        /// Whether the successor wants to be told of the resources that the predecessor uses. False if
        /// the message has another version, or comes from a build that does not say so.
        accepts_resources: bool,
    },
    /// The predecessor sends its state, together with the listening socket.
    State {
        /// The state; `None` if the message has another version.
        state: Option<Box<HandoverState>>,
        /// The number of the last event of the endpoint feed that the state includes. `None` if the
        /// message has another version, or comes from a build that does not send it.
        feed_position: Option<u64>,
        /// Whether the predecessor wants to be told of the successor's pending writes. False for the
        /// reasons above.
        accepts_pending_writes: bool,
    },
    /// The successor is ready to accept connections.
    TakeOver,
    /// The predecessor no longer accepts connections.
    Released,
    /// The pending writes that were added since the predecessor's state or the sender's last message
    /// of this kind. The successor sends them only to a predecessor that accepts them. The list is
    /// empty if the message has another version.
    PendingWrites(Vec<PendingWrite>),
    /// The predecessor refuses the handover because it cannot hand over now.
    Declined,
    /// The predecessor keeps these resources of those that both processes share; the successor may use
    /// the others. The predecessor sends it only to a successor that accepts it, and never takes back
    /// what it has left. `None` if the message has another version.
    Resources(Option<ResourceUse>),
    /// The predecessor has stopped gossiping, and the successor continues as the same member of the
    /// cluster. Both numbers are 0 if the message has another version.
    ClusterIncarnation {
        /// Generation of the predecessor's membership, which the successor continues.
        start: u64,
        /// Incarnation of the predecessor within that generation.
        incarnation: u32,
    },
}

/// The part of the shared resources that the predecessor keeps, with what a predecessor of its own
/// keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceUse {
    /// Number of descriptors.
    pub descriptors: u32,
    /// Number of buffers.
    pub buffers: u32,
}

impl ResourceUse {
    /// Half of these resources.
    pub fn half(self) -> ResourceUse {
        ResourceUse { descriptors: self.descriptors / 2, buffers: self.buffers / 2 }
    }

    /// What is left of these resources without others.
    pub fn without(self, others: ResourceUse) -> ResourceUse {
        ResourceUse {
            descriptors: self.descriptors.saturating_sub(others.descriptors),
            buffers: self.buffers.saturating_sub(others.buffers),
        }
    }

    /// These resources and others.
    pub fn with(self, others: ResourceUse) -> ResourceUse {
        ResourceUse {
            descriptors: self.descriptors.saturating_add(others.descriptors),
            buffers: self.buffers.saturating_add(others.buffers),
        }
    }

    /// The higher number of each resource.
    pub fn at_least(self, others: ResourceUse) -> ResourceUse {
        ResourceUse {
            descriptors: self.descriptors.max(others.descriptors),
            buffers: self.buffers.max(others.buffers),
        }
    }

    /// The lower number of each resource.
    pub fn at_most(self, others: ResourceUse) -> ResourceUse {
        ResourceUse {
            descriptors: self.descriptors.min(others.descriptors),
            buffers: self.buffers.min(others.buffers),
        }
    }
}

/// Error for bytes that are not a handover message. It is fatal for the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed handover message")]
pub struct MalformedMessage;

impl HandoverMessage {
    /// Encodes the message as a frame.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            // A receiver that does not know of what follows the address ignores it.
            HandoverMessage::Hello { address, accepts_resources: false } => {
                encode_frame(kind::HELLO, address)
            }
            HandoverMessage::Hello { address, accepts_resources } => {
                encode_frame(kind::HELLO, &(address, accepts_resources))
            }
            HandoverMessage::State { state, feed_position: None, .. } => encode_frame(kind::STATE, state),
            // A receiver that does not know of what follows the state, or the position, ignores it.
            HandoverMessage::State {
                state,
                feed_position: Some(position),
                accepts_pending_writes: false,
            } => encode_frame(kind::STATE, &(state, position)),
            HandoverMessage::State { state, feed_position: Some(position), accepts_pending_writes } => {
                encode_frame(kind::STATE, &(state, position, accepts_pending_writes))
            }
            HandoverMessage::TakeOver => encode_frame(kind::TAKE_OVER, &()),
            HandoverMessage::Released => encode_frame(kind::RELEASED, &()),
            HandoverMessage::PendingWrites(writes) => encode_frame(kind::PENDING_WRITES, writes),
            HandoverMessage::Declined => encode_frame(kind::DECLINED, &()),
            HandoverMessage::Resources(resources) => encode_frame(kind::RESOURCES, resources),
            HandoverMessage::ClusterIncarnation { start, incarnation } => {
                encode_frame(kind::CLUSTER_INCARNATION, &(start, incarnation))
            }
        }
    }

    /// Decodes a message from the fields of its frame. An unknown kind is an error in any version.
    fn decode(version: u8, kind: u8, body: &[u8]) -> Result<HandoverMessage, MalformedMessage> {
        match kind {
            kind::HELLO => decode_hello(version, body),
            kind::STATE => decode_state(version, body),
            kind::TAKE_OVER => Ok(HandoverMessage::TakeOver),
            kind::RELEASED => Ok(HandoverMessage::Released),
            kind::PENDING_WRITES => Ok(HandoverMessage::PendingWrites(decode_body(version, body)?)),
            kind::DECLINED => Ok(HandoverMessage::Declined),
            kind::RESOURCES => Ok(HandoverMessage::Resources(decode_body(version, body)?)),
            kind::CLUSTER_INCARNATION => {
                let (start, incarnation) = decode_body(version, body)?;
                Ok(HandoverMessage::ClusterIncarnation { start, incarnation })
            }
            _ => Err(MalformedMessage),
        }
    }
}

fn encode_frame<T: Serialize>(kind: u8, body: &T) -> Vec<u8> {
    // Serialization into a vector does not fail for the types of these messages. If it did, the
    // receiver would reject the empty body.
    let body = postcard::to_allocvec(body).unwrap_or_default();
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend(MAGIC);
    frame.extend([VERSION, kind]);
    frame.extend(length.to_be_bytes());
    frame.extend(body);
    frame
}

fn decode_hello(version: u8, body: &[u8]) -> Result<HandoverMessage, MalformedMessage> {
    if version != VERSION {
        return Ok(HandoverMessage::Hello { address: String::new(), accepts_resources: false });
    }
    let (address, rest) = postcard::take_from_bytes(body).map_err(|_| MalformedMessage)?;
    let (accepts_resources, _) = take_optional(rest)?;
    Ok(HandoverMessage::Hello { address, accepts_resources: accepts_resources.unwrap_or(false) })
}

fn decode_state(version: u8, body: &[u8]) -> Result<HandoverMessage, MalformedMessage> {
    if version != VERSION {
        return Ok(HandoverMessage::State {
            state: None,
            feed_position: None,
            accepts_pending_writes: false,
        });
    }
    let (state, rest) = postcard::take_from_bytes(body).map_err(|_| MalformedMessage)?;
    let (feed_position, rest) = take_optional(rest)?;
    let (accepts_pending_writes, _) = take_optional(rest)?;
    let accepts_pending_writes = accepts_pending_writes.unwrap_or(false);
    Ok(HandoverMessage::State { state, feed_position, accepts_pending_writes })
}

/// Takes a value from the front of the bytes; `None` if there are none left.
fn take_optional<T: DeserializeOwned>(bytes: &[u8]) -> Result<(Option<T>, &[u8]), MalformedMessage> {
    if bytes.is_empty() {
        return Ok((None, bytes));
    }
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(|_| MalformedMessage)?;
    Ok((Some(value), rest))
}

/// Decodes a body, or returns the default value if the message has another version.
fn decode_body<T: DeserializeOwned + Default>(version: u8, body: &[u8]) -> Result<T, MalformedMessage> {
    if version != VERSION {
        return Ok(T::default());
    }
    postcard::from_bytes(body).map_err(|_| MalformedMessage)
}

/// Incremental decoder for the messages in a byte stream.
#[derive(Debug, Default)]
pub struct HandoverReader {
    buffer: Vec<u8>,
}

impl HandoverReader {
    /// Appends received bytes to the buffer, which [`HandoverReader::next_message`] decodes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the next message. Returns `None` if it is not complete yet.
    ///
    /// # Errors
    /// Returns [`MalformedMessage`] if the magic is wrong, the length of the body exceeds 16 MiB,
    /// the kind is unknown, or the body cannot be deserialized.
    pub fn next_message(&mut self) -> Result<Option<HandoverMessage>, MalformedMessage> {
        let magic_length = self.buffer.len().min(MAGIC.len());
        if self.buffer[..magic_length] != MAGIC[..magic_length] {
            return Err(MalformedMessage);
        }
        let Some(&[_, _, _, version, kind, length @ ..]) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let body_length = u32::from_be_bytes(length) as usize;
        // Checked before the body arrives, so that no oversized body is buffered.
        if body_length > MAX_BODY_BYTES {
            return Err(MalformedMessage);
        }
        let frame_length = HEADER_BYTES + body_length;
        let Some(body) = self.buffer.get(HEADER_BYTES..frame_length) else { return Ok(None) };
        let message = HandoverMessage::decode(version, kind, body)?;
        self.buffer.drain(..frame_length);
        Ok(Some(message))
    }
}
