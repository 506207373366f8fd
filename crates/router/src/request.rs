//! What a client asks for and is answered, and what a shelf says: the core's own words for them. The codecs turn
//! bytes into these and back.

use crate::buffers::BufferChain;

/// A number of a client's request. Endpoints are sent the text, so that they see what the client sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedNumber {
    /// The number as the client wrote it.
    pub text: Vec<u8>,
    /// What the text means.
    pub value: u64,
}

/// What a client asks for, as it came.
#[derive(Debug)]
pub struct ClientRequest {
    /// The request's id, unique among the open requests of all clients.
    pub request_id: ReceivedNumber,
    /// The class by name.
    pub class: Vec<u8>,
    /// The object.
    pub object: ReceivedNumber,
    /// The chunk of the object.
    pub chunk: u32,
    /// The group.
    pub group: u32,
    /// How long the client waits, in milliseconds.
    pub budget_ms: u64,
    /// The digest of the copy that the client holds: an unchanged object needs no bytes.
    pub if_none_match: Option<Vec<u8>>,
    /// The idempotency key, where the class has one: endpoints tell repeats apart by it. It is passed on as it came.
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

/// A part of an object that is asked for, by whichever front.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestedObject {
    /// The class, by number.
    pub class: u16,
    /// The object.
    pub object: u64,
    /// The chunk of the object.
    pub chunk: u32,
    /// The group.
    pub group: u32,
    /// The request's id, where the class needs it.
    pub request_id: Option<u64>,
}

/// A final answer.
#[derive(Debug)]
pub enum Reply {
    /// Served: the tag of the copy, if it is one, and its bytes.
    Served(Option<Vec<u8>>, BufferChain),
    /// The copy that the client holds is the one.
    NotModified(Vec<u8>),
    /// Refused, with the milliseconds to stay away; 0: no advice.
    Rejected(u64),
    /// Failed.
    Failed,
}

/// What a shelf says.
#[derive(Debug)]
pub enum AttemptResponse {
    /// The bytes and their tag; what was written has none.
    Data(Option<Vec<u8>>, BufferChain),
    /// The client's copy, of that tag, is the one.
    NotModified(Vec<u8>),
    /// A miss: it never ran.
    Absent,
    /// Full: it never ran.
    AtCapacity,
    /// An error: it may have run.
    Failed,
    /// Over already: it never ran.
    AlreadyCancelled,
    /// A probe's answer: well or not.
    ProbeResult(bool),
}
