//! What a process and the one that replaces it say to each other: frames with a fixed head, so that processes of
//! different versions can still agree on the listening socket.

use hollymux_router::handover_state::{HandoverState, PendingWrite};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// The form of the bodies; another one's bodies are passed over.
pub const VERSION: u8 = 1;
const MAGIC: [u8; 3] = *b"hmx";
const HEAD: usize = 9;
/// A body may hold so many bytes.
const BODY_MOST: usize = 16 << 20;

/// What is said.
#[derive(Clone, Debug, PartialEq)]
pub enum HandoverMessage {
    /// The new one calls, and says for which address of clients.
    Hello(String),
    /// The old one's legacy; none that can be read from another version. The listening socket comes with it.
    State(Option<Box<HandoverState>>),
    /// The new one is ready to take new connections.
    TakeOver,
    /// The old one takes none any more.
    Released,
    /// Requests that may not be repeated and came to the old one since.
    PendingWrites(Vec<PendingWrite>),
    /// The old one can't hand over now.
    Declined,
    /// The old one is not heard by other routers any more; its start's number and incarnation among them.
    ClusterIncarnation {
        /// The number of its start.
        start: u64,
        /// Its incarnation at that start.
        incarnation: u32,
    },
}

/// What is no message; nothing further on that connection can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a message of a replacement that can't be read")]
pub struct MalformedMessage;

fn frame<T: Serialize>(kind: u8, body: &T) -> Vec<u8> {
    let body = postcard::to_allocvec(body).unwrap_or_default();
    let mut bytes = MAGIC.to_vec();
    bytes.extend([VERSION, kind]);
    bytes.extend(u32::try_from(body.len()).unwrap_or(u32::MAX).to_be_bytes());
    bytes.extend(body);
    bytes
}

impl HandoverMessage {
    /// The bytes of a message.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            HandoverMessage::Hello(listen) => frame(1, listen),
            HandoverMessage::State(legacy) => frame(2, legacy),
            HandoverMessage::TakeOver => frame(3, &()),
            HandoverMessage::Released => frame(4, &()),
            HandoverMessage::PendingWrites(filings) => frame(5, filings),
            HandoverMessage::Declined => frame(6, &()),
            HandoverMessage::ClusterIncarnation { start, incarnation } => frame(7, &(start, incarnation)),
        }
    }

    fn read(version: u8, kind: u8, body: &[u8]) -> Result<HandoverMessage, MalformedMessage> {
        let known = version == VERSION;
        match kind {
            1 => Ok(HandoverMessage::Hello(if known { parsed(body)? } else { String::new() })),
            2 => Ok(HandoverMessage::State(if known { parsed(body)? } else { None })),
            3 => Ok(HandoverMessage::TakeOver),
            4 => Ok(HandoverMessage::Released),
            5 => Ok(HandoverMessage::PendingWrites(if known { parsed(body)? } else { Vec::new() })),
            6 => Ok(HandoverMessage::Declined),
            7 => {
                let (start, incarnation) = if known { parsed(body)? } else { (0, 0) };
                Ok(HandoverMessage::ClusterIncarnation { start, incarnation })
            }
            _ => Err(MalformedMessage),
        }
    }
}

fn parsed<T: DeserializeOwned>(body: &[u8]) -> Result<T, MalformedMessage> {
    postcard::from_bytes(body).map_err(|_| MalformedMessage)
}

/// Takes bytes in pieces of any size and gives messages.
#[derive(Debug, Default)]
pub struct HandoverReader {
    bytes: Vec<u8>,
}

impl HandoverReader {
    /// Takes bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message; none: there is more to come.
    pub fn next_message(&mut self) -> Result<Option<HandoverMessage>, MalformedMessage> {
        let start = self.bytes.len().min(MAGIC.len());
        if self.bytes[..start] != MAGIC[..start] {
            return Err(MalformedMessage);
        }
        let Some(&[_, _, _, version, kind, a, b, c, d]) = self.bytes.first_chunk::<HEAD>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes([a, b, c, d]) as usize;
        // Refused before anything is kept for it.
        if length > BODY_MOST {
            return Err(MalformedMessage);
        }
        if self.bytes.len() < HEAD + length {
            return Ok(None);
        }
        let message = HandoverMessage::read(version, kind, &self.bytes[HEAD..HEAD + length])?;
        self.bytes.drain(..HEAD + length);
        Ok(Some(message))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use hollymux_decision::Timestamp;
    use hollymux_router::handover_state::EndpointRecord;
    use proptest::prelude::*;

    fn all() -> Vec<HandoverMessage> {
        let line = EndpointRecord {
            uid: "s-a".into(),
            addr: "127.0.0.1:5".parse().ok(),
            zone: 1,
            kind: 0,
            cell: 2,
            weight: 4.0,
            draining: true,
            started: Timestamp::from_micros(7),
        };
        let legacy = HandoverState {
            members: vec![line],
            filings: vec![(1, Timestamp::from_micros(2), Some(3))],
            ..HandoverState::default()
        };
        vec![
            HandoverMessage::Hello("127.0.0.1:5050".into()),
            HandoverMessage::State(Some(Box::new(legacy))),
            HandoverMessage::TakeOver,
            HandoverMessage::Released,
            HandoverMessage::PendingWrites(vec![(4, Timestamp::from_micros(5), None)]),
            HandoverMessage::Declined,
        ]
    }

    #[test]
    fn messages_are_the_same_in_pieces_of_one_byte() {
        let bytes: Vec<u8> = all().iter().flat_map(HandoverMessage::encode).collect();
        let (mut reader, mut read) = (HandoverReader::default(), Vec::new());
        for byte in bytes {
            reader.feed(&[byte]);
            read.extend(reader.next_message().unwrap());
        }
        assert_eq!(read, all());
    }

    /// Guards against a process of another version that is not understood at all, and against lengths that nobody
    /// could send.
    #[test]
    fn other_versions_agree_on_the_socket_and_lengths_are_bounded() {
        for message in all() {
            let mut bytes = message.encode();
            bytes[3] = VERSION + 1;
            let mut reader = HandoverReader::default();
            reader.feed(&bytes);
            let read = reader.next_message().unwrap().unwrap();
            let same = std::mem::discriminant(&read) == std::mem::discriminant(&message);
            assert!(same, "{message:?} is read as {read:?}");
            assert_ne!(read, all()[1]);
        }
        let mut reader = HandoverReader::default();
        reader.feed(&[b'h', b'm', b'x', VERSION, 2, 0xff, 0, 0, 0]);
        assert_eq!(reader.next_message(), Err(MalformedMessage));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

        /// Guards against bytes that panic the reader: any, and any after a good head.
        #[test]
        fn any_bytes_are_read_without_panic(kind in 0u8..8, body in proptest::collection::vec(any::<u8>(), 0..300)) {
            let mut bytes = frame(kind, &());
            bytes[HEAD - 4..].copy_from_slice(&(body.len() as u32).to_be_bytes());
            bytes.extend(&body);
            for bytes in [bytes, body] {
                let mut reader = HandoverReader::default();
                reader.feed(&bytes);
                while let Ok(Some(message)) = reader.next_message() {
                    if let HandoverMessage::State(Some(legacy)) = message {
                        let _told = legacy.told(&[], &[]);
                    }
                }
            }
        }
    }
}
