//! Framing of DNS messages over TCP: a length of two bytes precedes each message (RFC 1035, 4.2.2).

use super::MAX_QUERY_BYTES;

/// Size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 2;

/// Incremental decoder that splits a byte stream into messages.
#[derive(Debug, Default)]
pub struct MessageFramer {
    /// Bytes of the message that is not complete yet, with its length prefix.
    buffer: Vec<u8>,
}

impl MessageFramer {
    /// Appends the messages that the received bytes complete to `messages`. Returns false if the
    /// length of a message exceeds [`MAX_QUERY_BYTES`]; the caller must then close the connection.
    pub fn feed(&mut self, bytes: &[u8], messages: &mut Vec<Vec<u8>>) -> bool {
        self.buffer.extend_from_slice(bytes);
        let mut rest = self.buffer.as_slice();
        while let Some((length, after_length)) = rest.split_first_chunk::<LENGTH_BYTES>() {
            let length = usize::from(u16::from_be_bytes(*length));
            if length > MAX_QUERY_BYTES {
                return false;
            }
            let Some((message, after_message)) = after_length.split_at_checked(length) else { break };
            messages.push(message.to_vec());
            rest = after_message;
        }
        let consumed = self.buffer.len() - rest.len();
        self.buffer.drain(..consumed);
        true
    }
}
