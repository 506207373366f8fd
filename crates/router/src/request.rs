//! What a client asks for and is answered, and what a shelf says: the core's own words for them. The codecs turn
//! bytes into these and back.

use crate::buffers::BufferChain;

/// What a client asks for, as it came.
#[derive(Debug)]
pub struct ClientRequest {
    /// The id, as it came, to be passed on like that, and as a number.
    pub rid: (Vec<u8>, u64),
    /// The class by name.
    pub class: Vec<u8>,
    /// The object, as it came and as a number.
    pub object: (Vec<u8>, u64),
    /// The part.
    pub part: u32,
    /// The group.
    pub group: u32,
    /// How long the client waits, in milliseconds.
    pub budget: u64,
    /// The tag of the copy that the client holds.
    pub held: Option<Vec<u8>>,
    /// The idempotency key, where the class has one: endpoints tell repeats apart by it. It is passed on as it came.
    pub key: Option<Vec<u8>>,
    /// The body of a write.
    pub body: BufferChain,
}

impl ClientRequest {
    /// What is wanted, of that class by number.
    pub fn wanted(&self, class: u16) -> RequestedObject {
        let (object, part, group, rid) = (self.object.1, self.part, self.group, Some(self.rid.1));
        RequestedObject { class, object, part, group, rid }
    }
}

/// A part of an object that is asked for, by whichever front.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestedObject {
    /// The class, by number.
    pub class: u16,
    /// The object.
    pub object: u64,
    /// The part.
    pub part: u32,
    /// The group.
    pub group: u32,
    /// The request's id, where the class needs it.
    pub rid: Option<u64>,
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
