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
pub enum Message {
    /// The new one calls, and says for which address of clients.
    Hello(String),
    /// The old one's legacy; none that can be read from another version. The listening socket comes with it.
    HandoverState(Option<Box<HandoverState>>),
    /// The new one is ready to take new connections.
    Take,
    /// The old one takes none any more.
    Yours,
    /// Requests that may not be repeated and came to the old one since.
    Filings(Vec<PendingWrite>),
    /// The old one can't hand over now.
    No,
    /// The old one is not heard by other routers any more; its start's number and incarnation among them.
    Fleet(u64, u32),
}

/// What is no message; nothing further on that connection can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a message of a replacement that can't be read")]
pub struct Unreadable;

fn frame<T: Serialize>(kind: u8, body: &T) -> Vec<u8> {
    let body = postcard::to_allocvec(body).unwrap_or_default();
    let mut bytes = MAGIC.to_vec();
    bytes.extend([VERSION, kind]);
    bytes.extend(u32::try_from(body.len()).unwrap_or(u32::MAX).to_be_bytes());
    bytes.extend(body);
    bytes
}

impl Message {
    /// The bytes of a message.
    pub fn bytes(&self) -> Vec<u8> {
        match self {
            Message::Hello(listen) => frame(1, listen),
            Message::HandoverState(legacy) => frame(2, legacy),
            Message::Take => frame(3, &()),
            Message::Yours => frame(4, &()),
            Message::Filings(filings) => frame(5, filings),
            Message::No => frame(6, &()),
            Message::Fleet(start, incarnation) => frame(7, &(start, incarnation)),
        }
    }

    fn read(version: u8, kind: u8, body: &[u8]) -> Result<Message, Unreadable> {
        let known = version == VERSION;
        match kind {
            1 => Ok(Message::Hello(if known { parsed(body)? } else { String::new() })),
            2 => Ok(Message::HandoverState(if known { parsed(body)? } else { None })),
            3 => Ok(Message::Take),
            4 => Ok(Message::Yours),
            5 => Ok(Message::Filings(if known { parsed(body)? } else { Vec::new() })),
            6 => Ok(Message::No),
            7 => {
                let (start, incarnation) = if known { parsed(body)? } else { (0, 0) };
                Ok(Message::Fleet(start, incarnation))
            }
            _ => Err(Unreadable),
        }
    }
}

fn parsed<T: DeserializeOwned>(body: &[u8]) -> Result<T, Unreadable> {
    postcard::from_bytes(body).map_err(|_| Unreadable)
}

/// Takes bytes in pieces of any size and gives messages.
#[derive(Debug, Default)]
pub struct Reader {
    bytes: Vec<u8>,
}

impl Reader {
    /// Takes bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message; none: there is more to come.
    pub fn message(&mut self) -> Result<Option<Message>, Unreadable> {
        let start = self.bytes.len().min(MAGIC.len());
        if self.bytes[..start] != MAGIC[..start] {
            return Err(Unreadable);
        }
        let Some(&[_, _, _, version, kind, a, b, c, d]) = self.bytes.first_chunk::<HEAD>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes([a, b, c, d]) as usize;
        // Refused before anything is kept for it.
        if length > BODY_MOST {
            return Err(Unreadable);
        }
        if self.bytes.len() < HEAD + length {
            return Ok(None);
        }
        let message = Message::read(version, kind, &self.bytes[HEAD..HEAD + length])?;
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

    fn all() -> Vec<Message> {
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
            endpoints: vec![line],
            pending_writes: vec![PendingWrite {
                request_id: 1,
                arrived: Timestamp::from_micros(2),
                endpoint: Some(3),
            }],
            ..HandoverState::default()
        };
        vec![
            Message::Hello("127.0.0.1:5050".into()),
            Message::HandoverState(Some(Box::new(legacy))),
            Message::Take,
            Message::Yours,
            Message::Filings(vec![PendingWrite {
                request_id: 4,
                arrived: Timestamp::from_micros(5),
                endpoint: None,
            }]),
            Message::No,
        ]
    }

    #[test]
    fn messages_are_the_same_in_pieces_of_one_byte() {
        let bytes: Vec<u8> = all().iter().flat_map(Message::bytes).collect();
        let (mut reader, mut read) = (Reader::default(), Vec::new());
        for byte in bytes {
            reader.feed(&[byte]);
            read.extend(reader.message().unwrap());
        }
        assert_eq!(read, all());
    }

    /// Guards against a process of another version that is not understood at all, and against lengths that nobody
    /// could send.
    #[test]
    fn other_versions_agree_on_the_socket_and_lengths_are_bounded() {
        for message in all() {
            let mut bytes = message.bytes();
            bytes[3] = VERSION + 1;
            let mut reader = Reader::default();
            reader.feed(&bytes);
            let read = reader.message().unwrap().unwrap();
            let same = std::mem::discriminant(&read) == std::mem::discriminant(&message);
            assert!(same, "{message:?} is read as {read:?}");
            assert_ne!(read, all()[1]);
        }
        let mut reader = Reader::default();
        reader.feed(&[b'h', b'm', b'x', VERSION, 2, 0xff, 0, 0, 0]);
        assert_eq!(reader.message(), Err(Unreadable));
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
                let mut reader = Reader::default();
                reader.feed(&bytes);
                while let Ok(Some(message)) = reader.message() {
                    if let Message::HandoverState(Some(legacy)) = message {
                        let _told = legacy.told(&[], &[]);
                    }
                }
            }
        }
    }
}
