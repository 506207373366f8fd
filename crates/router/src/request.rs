//! Clients' requests and the replies to them, and the responses of endpoints. The codecs turn bytes
//! into these and back.

use crate::buffers::BufferChain;

/// A number in a client's request. Endpoints are sent the text, so that they see what the client
/// wrote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedNumber {
    /// The number as the client wrote it.
    pub text: Vec<u8>,
    /// Its value.
    pub value: u64,
}

/// A client's request.
#[derive(Debug)]
pub struct ClientRequest {
    /// The request's id, unique among the open requests of all clients.
    pub request_id: ReceivedNumber,
    /// The name of its class.
    pub class: Vec<u8>,
    /// The object.
    pub object: ReceivedNumber,
    /// The chunk of the object.
    pub chunk: u32,
    /// The object's group, which can be purged as a whole.
    pub group: u32,
    /// How long the client waits, in milliseconds.
    pub budget_ms: u64,
    /// The digest of the copy that the client holds: if that is current, the reply has no body.
    pub if_none_match: Option<Vec<u8>>,
    /// The idempotency key, if the class has one: endpoints recognise repeats by it. It is sent on
    /// unchanged.
    pub idempotency_key: Option<Vec<u8>>,
    /// The body of a write.
    pub body: BufferChain,
}

impl ClientRequest {
    /// The object that is asked for, with the class by number.
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

/// A chunk of an object that is asked for, by a request or a lookup.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestedObject {
    /// The class, by number.
    pub class: u16,
    /// The object.
    pub object: u64,
    /// The chunk of the object.
    pub chunk: u32,
    /// The object's group.
    pub group: u32,
    /// The request's id. A lookup has one only if its class is not idempotent.
    pub request_id: Option<u64>,
}

/// The final reply to a client.
#[derive(Debug)]
pub enum Reply {
    /// Served: the digest of the copy, except for a write, and the bytes.
    Served(Option<Vec<u8>>, BufferChain),
    /// The copy of that digest, which the client holds, is current.
    NotModified(Vec<u8>),
    /// Rejected: it never ran. The client is advised to wait for so many milliseconds; 0: no
    /// advice.
    Rejected(u64),
    /// Failed: it may have run.
    Failed,
}

/// The response of an endpoint.
#[derive(Debug)]
pub enum AttemptResponse {
    /// The digest of the copy, except for a write, and the bytes.
    Data(Option<Vec<u8>>, BufferChain),
    /// The client's copy, of that digest, is current.
    NotModified(Vec<u8>),
    /// A cache miss: it never ran.
    Absent,
    /// The endpoint is at capacity: it never ran.
    AtCapacity,
    /// An error: it may have run.
    Failed,
    /// It was cancelled before: it never ran.
    AlreadyCancelled,
    /// The response to a probe: whether the endpoint is healthy.
    ProbeResult(bool),
}
