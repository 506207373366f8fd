//! Messages over TCP, each with a length of two bytes before it (RFC 1035, 4.2.2).

use super::MAX_QUERY_BYTES;

/// Bytes of a message's length.
const LENGTH_BYTES: usize = 2;

/// Takes queries out of a byte stream.
#[derive(Debug, Default)]
pub struct MessageFramer {
    buffer: Vec<u8>,
}

impl MessageFramer {
    /// Takes bytes; complete messages are appended to `messages`. False if one is longer than any
    /// query may be; the connection is of no further use then.
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
