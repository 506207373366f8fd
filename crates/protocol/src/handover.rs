//! Messages between a process and the one that replaces it: frames with a fixed header, so that
//! processes of different versions can still hand over the listening socket.
//!
//! A frame is `hmx`, the version, the kind, the body's length as four bytes in network byte order,
//! and the body in postcard's format. The order of the exchange, the sockets that travel along and
//! the timeouts are the server package's part.

use hollymux_router::handover_state::{HandoverState, PendingWrite};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// The version of the bodies' format. A body of another version is not read, only its kind is.
pub const VERSION: u8 = 1;
const MAGIC: [u8; 3] = *b"hmx";
/// Length of a frame's header, in bytes.
const HEADER_BYTES: usize = 9;
/// Longest body, in bytes: well above the state of the largest endpoint list.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The numbers that stand for the kinds of message.
mod kind {
    pub(super) const HELLO: u8 = 1;
    pub(super) const STATE: u8 = 2;
    pub(super) const TAKE_OVER: u8 = 3;
    pub(super) const RELEASED: u8 = 4;
    pub(super) const PENDING_WRITES: u8 = 5;
    pub(super) const DECLINED: u8 = 6;
    pub(super) const CLUSTER_INCARNATION: u8 = 7;
}

/// A message of a handover. The predecessor is the process that serves, the successor the one that
/// replaces it.
#[derive(Clone, Debug, PartialEq)]
pub enum HandoverMessage {
    /// The successor asks for a handover of the listener at this address of clients. Empty if the
    /// message is of another version.
    Hello(String),
    /// The predecessor's state; none if the message is of another version. The listening socket
    /// travels along with it.
    State(Option<Box<HandoverState>>),
    /// The successor is ready to accept connections.
    TakeOver,
    /// The predecessor accepts no more connections.
    Released,
    /// Non-idempotent requests that the predecessor took since its last message of this kind or
    /// since its state. None of them if the message is of another version.
    PendingWrites(Vec<PendingWrite>),
    /// The predecessor can't hand over now.
    Declined,
    /// The predecessor has left the cluster's gossip; the successor goes on under its identity.
    /// Zeros if the message is of another version.
    ClusterIncarnation {
        /// The number of the predecessor's start.
        start: u64,
        /// Its incarnation in that start.
        incarnation: u32,
    },
}

/// The peer's bytes are no message; nothing further on that connection can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed handover message")]
pub struct MalformedMessage;

impl HandoverMessage {
    /// The frame of a message.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            HandoverMessage::Hello(address) => encode_frame(kind::HELLO, address),
            HandoverMessage::State(state) => encode_frame(kind::STATE, state),
            HandoverMessage::TakeOver => encode_frame(kind::TAKE_OVER, &()),
            HandoverMessage::Released => encode_frame(kind::RELEASED, &()),
            HandoverMessage::PendingWrites(writes) => encode_frame(kind::PENDING_WRITES, writes),
            HandoverMessage::Declined => encode_frame(kind::DECLINED, &()),
            HandoverMessage::ClusterIncarnation { start, incarnation } => {
                encode_frame(kind::CLUSTER_INCARNATION, &(start, incarnation))
            }
        }
    }

    fn decode(version: u8, kind: u8, body: &[u8]) -> Result<HandoverMessage, MalformedMessage> {
        match kind {
            kind::HELLO => Ok(HandoverMessage::Hello(decode_body(version, body)?)),
            kind::STATE => Ok(HandoverMessage::State(decode_body(version, body)?)),
            kind::TAKE_OVER => Ok(HandoverMessage::TakeOver),
            kind::RELEASED => Ok(HandoverMessage::Released),
            kind::PENDING_WRITES => Ok(HandoverMessage::PendingWrites(decode_body(version, body)?)),
            kind::DECLINED => Ok(HandoverMessage::Declined),
            kind::CLUSTER_INCARNATION => {
                let (start, incarnation) = decode_body(version, body)?;
                Ok(HandoverMessage::ClusterIncarnation { start, incarnation })
            }
            _ => Err(MalformedMessage),
        }
    }
}

fn encode_frame<T: Serialize>(kind: u8, body: &T) -> Vec<u8> {
    // Serializing to a vector fails for no type that is sent here; an empty body would be rejected.
    let body = postcard::to_allocvec(body).unwrap_or_default();
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend(MAGIC);
    frame.extend([VERSION, kind]);
    frame.extend(length.to_be_bytes());
    frame.extend(body);
    frame
}

/// A body of this version, or the default for one of another.
fn decode_body<T: DeserializeOwned + Default>(version: u8, body: &[u8]) -> Result<T, MalformedMessage> {
    if version != VERSION {
        return Ok(T::default());
    }
    postcard::from_bytes(body).map_err(|_| MalformedMessage)
}

/// Takes messages out of a byte stream.
#[derive(Debug, Default)]
pub struct HandoverReader {
    buffer: Vec<u8>,
}

impl HandoverReader {
    /// Takes bytes, in pieces of any size.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next message; none until it is complete.
    ///
    /// # Errors
    /// The bytes are no message.
    pub fn next_message(&mut self) -> Result<Option<HandoverMessage>, MalformedMessage> {
        let magic_length = self.buffer.len().min(MAGIC.len());
        if self.buffer[..magic_length] != MAGIC[..magic_length] {
            return Err(MalformedMessage);
        }
        let Some(&[_, _, _, version, kind, length @ ..]) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let body_length = u32::from_be_bytes(length) as usize;
        // Rejected before any of the body is kept.
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
