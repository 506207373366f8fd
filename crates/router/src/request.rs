//! Client requests, the replies to them, and the responses of endpoints, independent of wire
//! formats: codecs convert them from and to bytes.

use crate::buffers::BufferChain;

/// A number in a client's request. Endpoints are sent its text, so that they see what the client
/// wrote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedNumber {
    /// The number as the client wrote it.
    pub text: Vec<u8>,
    /// The number's value.
    pub value: u64,
}

/// A request as a client sent it.
#[derive(Debug)]
pub struct ClientRequest {
    /// The request's id, unique among the open requests of all clients.
    pub request_id: ReceivedNumber,
    /// The name of the request's class.
    pub class: Vec<u8>,
    /// The id of the requested object, with the text in which the client wrote it.
    pub object: ReceivedNumber,
    /// The number of the requested chunk of the object.
    pub chunk: u32,
    /// The group of the object, which can be purged as a whole.
    pub group: u32,
    /// How long the client waits for the reply, in milliseconds.
    pub timeout_ms: u64,
    /// The digest of the copy that the client holds. If that copy is current, the reply has no
    /// body.
    pub if_none_match: Option<Vec<u8>>,
    /// The idempotency key by which endpoints recognise repeats, if the class uses one. It is
    /// forwarded unchanged.
    pub idempotency_key: Option<Vec<u8>>,
    /// The body of a write; empty for a read.
    pub body: BufferChain,
}

impl ClientRequest {
    /// The object that the request asks for. `class` is the class slot.
    pub fn requested_object(&self, class: u16) -> RequestedObject {
        RequestedObject {
            class,
            object: self.object.value,
            chunk: self.chunk,
            group: self.group,
            request_id: Some(self.request_id.value),
        }
    }
}

/// The chunk of an object that a request or a lookup asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestedObject {
    /// The slot of the request's class in [`Classes`](crate::classes::Classes).
    pub class: u16,
    /// The id that clients use for the object.
    pub object: u64,
    /// The number of the chunk within the object.
    pub chunk: u32,
    /// The number of the object group, which can be purged as a whole.
    pub group: u32,
    /// The request id that the client chose. A lookup has one only if its class is not idempotent.
    pub request_id: Option<u64>,
}

/// The final reply to a client.
#[derive(Debug)]
pub enum Reply {
    /// The request was served, with the body and the digest of the copy. A write has no digest.
    Served(Option<Vec<u8>>, BufferChain),
    /// The client's copy, which has this digest, is current.
    NotModified(Vec<u8>),
    /// The request was rejected and may be sent again without harm. The value advises the client
    /// how many milliseconds to wait before that; 0 gives no advice.
    Rejected(u64),
    /// The request failed. It may have run.
    Failed,
}

impl Reply {
    /// The size of the reply's body in bytes.
    pub fn body_bytes(&self) -> usize {
        match self {
            Reply::Served(_, body) => body.len(),
            Reply::NotModified(_) | Reply::Rejected(_) | Reply::Failed => 0,
        }
    }
}

/// The response of an endpoint to an attempt or to a probe.
#[derive(Debug)]
pub enum AttemptResponse {
    /// The attempt was served, with the body and the digest of the copy. A write has no digest.
    Data(Option<Vec<u8>>, BufferChain),
    /// The attempt was served, but its body was dropped, as the client already has too much to read.
    Undeliverable {
        /// The size of the body in bytes.
        bytes: usize,
    },
    /// The client's copy, which has this digest, is current.
    NotModified(Vec<u8>),
    /// The endpoint has no usable copy and filled none, so the attempt never ran.
    Absent,
    /// The endpoint is at capacity, so the attempt never ran.
    AtCapacity,
    /// The endpoint reported an error. The attempt may have run.
    Failed,
    /// The attempt was cancelled before the endpoint began it, so it never ran.
    AlreadyCancelled,
    /// The response to a probe, with whether the endpoint is healthy.
    ProbeResult(bool),
}
