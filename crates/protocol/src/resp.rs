//! The framing that client and endpoint connections share: RESP arrays of bulk strings.
//!
//! A frame is `*COUNT\r\n` followed by `COUNT` words, each encoded as `$LENGTH\r\nBYTES\r\n`. The
//! last word may be a body, which is stored in buffers of the pool. [`Decoder`] decodes frames
//! incrementally and limits the length of each word; the `push_*` functions append encoded parts to
//! a vector. The meaning of the words belongs to [`crate::client`] and [`crate::endpoint`].

use hollymux_router::buffers::{BufferChain, BufferPool, BufferUse};

/// Maximum length of a word other than the body, in bytes.
const MAX_WORD_BYTES: usize = 1024;
/// Maximum number of digits in a length line. Nine digits cannot overflow a `usize`, and the limits
/// on word and body length need fewer.
const MAX_LENGTH_DIGITS: usize = 9;
/// Number of bytes in a length line besides its digits: the marker (`*` or `$`) and `\r\n`.
const LENGTH_LINE_OVERHEAD: usize = 3;

/// Error of the framing or of the message format, after which nothing more can be read from the
/// connection.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RespError {
    /// The bytes are not a RESP array of bulk strings, or the array is not a message of the
    /// protocol.
    #[error("malformed RESP message")]
    Malformed,
    /// A word count or word length exceeds its limit. Nothing was allocated for the word or array.
    #[error("length in RESP message exceeds the limit")]
    TooLong,
}

/// A decoded array of bulk strings.
#[derive(Debug)]
pub struct Frame {
    /// Words before the body; never empty.
    pub words: Vec<Vec<u8>>,
    /// Body of the frame; empty if the array is too short to have one, or if it was dropped.
    pub body: BufferChain,
    /// Whether the frame had a body that was dropped, because the pool had no buffer left for it or
    /// by [`Decoder::drop_body`].
    pub body_dropped: bool,
}

/// State of the decoder: the part of the frame that the next byte belongs to.
#[derive(Debug)]
enum Step {
    ArrayLength,
    WordLength,
    WordBytes {
        /// Number of bytes of the word that have not been received yet.
        remaining: usize,
    },
    /// The `\r` after the bytes of a word.
    CarriageReturn,
    /// The `\n` after the bytes of a word.
    LineFeed,
}

/// Incremental decoder for arrays of bulk strings.
///
/// Words before the body are stored in vectors, since their length is limited to 1 KiB. The body is
/// stored in buffers of the pool. If those are exhausted, the body is dropped and the rest of it is
/// skipped, so that the words of the frame are known even then.
#[derive(Debug)]
pub struct Decoder {
    pool: BufferPool,
    /// What the buffers of a body are used for until it is complete.
    body_use: BufferUse,
    /// Index of the body in an array, which is also the index of the last word allowed.
    body_index: usize,
    max_body_bytes: usize,
    step: Step,
    /// Bytes received so far of an incomplete length line.
    line: Vec<u8>,
    /// Number of words of the current array that are not complete yet.
    remaining_words: usize,
    /// Index of the current word in the current array.
    word_index: usize,
    /// Words received so far, the current one included, without the body.
    words: Vec<Vec<u8>>,
    body: Option<BufferChain>,
    /// Whether the body of the current array was dropped.
    body_dropped: bool,
}

impl Decoder {
    /// Creates a decoder for arrays of up to `body_index + 1` words. The word at `body_index` is
    /// the body: it may have up to `max_body_bytes` bytes and is stored in buffers of `pool`, which
    /// count as `body_use` until the body is complete.
    pub fn new(pool: &BufferPool, body_use: BufferUse, body_index: usize, max_body_bytes: usize) -> Decoder {
        Decoder {
            pool: pool.clone(),
            body_use,
            body_index,
            max_body_bytes,
            step: Step::ArrayLength,
            line: Vec::new(),
            remaining_words: 0,
            word_index: 0,
            words: Vec::new(),
            body: None,
            body_dropped: false,
        }
    }

    /// Returns true if the decoder stores the beginning of a body.
    pub fn holds_body(&self) -> bool {
        self.body.is_some()
    }

    /// Returns true if the next byte belongs to a body.
    pub fn is_in_body(&self) -> bool {
        self.at_body() && matches!(self.step, Step::WordBytes { .. })
    }

    /// Drops what is stored of an incomplete body. The rest of the body is skipped when it arrives,
    /// and its frame says that the body was dropped.
    pub fn drop_body(&mut self) {
        if self.body.take().is_some() {
            self.body_dropped = true;
        }
    }

    /// Returns true if the decoder has consumed a part of an array that is not complete yet.
    pub fn is_mid_frame(&self) -> bool {
        !matches!(self.step, Step::ArrayLength) || !self.line.is_empty()
    }

    /// Consumes bytes from the front of `input` until an array is complete or `input` is empty.
    /// Returns `None` if no array is complete yet. Bytes after a complete array remain in `input`.
    ///
    /// # Errors
    /// Returns an error if the bytes are not an array of bulk strings or if a length exceeds its
    /// limit. The decoder must not be used after an error.
    pub fn feed(&mut self, input: &mut &[u8]) -> Result<Option<Frame>, RespError> {
        while let Some(&next_byte) = input.first() {
            match self.step {
                Step::ArrayLength => {
                    if let Some(count) = self.read_length(input, b'*')? {
                        self.begin_array(count)?;
                    }
                }
                Step::WordLength => {
                    if let Some(length) = self.read_length(input, b'$')? {
                        self.begin_word(length)?;
                    }
                }
                Step::WordBytes { remaining } => self.read_word(input, remaining),
                Step::CarriageReturn if next_byte == b'\r' => {
                    *input = &input[1..];
                    self.step = Step::LineFeed;
                }
                Step::LineFeed if next_byte == b'\n' => {
                    *input = &input[1..];
                    if let Some(frame) = self.end_word() {
                        return Ok(Some(frame));
                    }
                }
                Step::CarriageReturn | Step::LineFeed => return Err(RespError::Malformed),
            }
        }
        Ok(None)
    }

    /// Reads a length line, which consists of `marker`, a decimal number and `\r\n`. Returns `None`
    /// if the line is not complete yet.
    fn read_length(&mut self, input: &mut &[u8], marker: u8) -> Result<Option<usize>, RespError> {
        while let Some((&byte, rest)) = input.split_first() {
            *input = rest;
            self.line.push(byte);
            let too_long = self.line.len() > MAX_LENGTH_DIGITS + LENGTH_LINE_OVERHEAD;
            if self.line[0] != marker || too_long {
                return Err(RespError::Malformed);
            }
            if byte == b'\n' {
                let digits = self.line[1..].strip_suffix(b"\r\n").ok_or(RespError::Malformed)?;
                let length = parse_decimal(digits).ok_or(RespError::Malformed)?;
                self.line.clear();
                return usize::try_from(length).map(Some).map_err(|_| RespError::TooLong);
            }
        }
        Ok(None)
    }

    fn begin_array(&mut self, word_count: usize) -> Result<(), RespError> {
        if word_count == 0 {
            return Err(RespError::Malformed);
        }
        if word_count > self.body_index + 1 {
            return Err(RespError::TooLong);
        }
        self.remaining_words = word_count;
        self.word_index = 0;
        self.step = Step::WordLength;
        Ok(())
    }

    fn begin_word(&mut self, length: usize) -> Result<(), RespError> {
        let max_length = if self.at_body() { self.max_body_bytes } else { MAX_WORD_BYTES };
        if length > max_length {
            return Err(RespError::TooLong);
        }
        if !self.at_body() {
            self.words.push(Vec::with_capacity(length));
        }
        self.step = step_after_bytes(length);
        Ok(())
    }

    fn read_word(&mut self, input: &mut &[u8], remaining: usize) {
        let (bytes, rest) = input.split_at(remaining.min(input.len()));
        *input = rest;
        if self.at_body() {
            self.store_body(bytes);
        } else if let Some(word) = self.words.last_mut() {
            word.extend_from_slice(bytes);
        }
        self.step = step_after_bytes(remaining - bytes.len());
    }

    fn store_body(&mut self, bytes: &[u8]) {
        if self.body_dropped {
            return;
        }
        let body = self.body.get_or_insert_with(|| self.pool.chain_for(self.body_use));
        if body.extend(bytes).is_err() {
            self.drop_body();
        }
    }

    /// Ends the current word. Returns the frame if that word was the last one of the array.
    fn end_word(&mut self) -> Option<Frame> {
        self.remaining_words -= 1;
        self.word_index += 1;
        if self.remaining_words > 0 {
            self.step = Step::WordLength;
            return None;
        }
        self.step = Step::ArrayLength;
        let mut body = self.body.take().unwrap_or_else(|| self.pool.chain());
        body.complete_request();
        let body_dropped = std::mem::take(&mut self.body_dropped);
        Some(Frame { words: std::mem::take(&mut self.words), body, body_dropped })
    }

    /// Returns true if the current word is the body.
    fn at_body(&self) -> bool {
        self.word_index == self.body_index
    }
}

/// Returns the state inside a word of which `remaining` bytes have not been received yet.
fn step_after_bytes(remaining: usize) -> Step {
    if remaining == 0 {
        Step::CarriageReturn
    } else {
        Step::WordBytes { remaining }
    }
}

/// Parses an unsigned decimal number. Returns `None` if the text is empty, contains anything other
/// than ASCII digits (such as a sign or a space), or if the number exceeds 64 bits.
pub fn parse_decimal(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// Parses a hexadecimal number. Returns `None` unless the text consists of exactly 16 digits.
pub fn parse_hex_u64(digits: &[u8]) -> Option<u64> {
    if digits.len() != 16 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

/// Appends the header of an array, which `word_count` bulk strings must follow.
pub fn push_array_header(out: &mut Vec<u8>, word_count: usize) {
    out.extend_from_slice(format!("*{word_count}\r\n").as_bytes());
}

/// Appends a complete bulk string: the length line, the bytes of `word` and `\r\n`.
pub fn push_bulk_string(out: &mut Vec<u8>, word: &[u8]) {
    push_bulk_length(out, word.len());
    out.extend_from_slice(word);
    out.extend_from_slice(b"\r\n");
}

/// Appends the length line of a bulk string, which `length` bytes and `\r\n` must follow.
pub fn push_bulk_length(out: &mut Vec<u8>, length: usize) {
    out.extend_from_slice(format!("${length}\r\n").as_bytes());
}

/// Encodes an array of bulk strings without a body.
pub(crate) fn encode_words(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::new();
    push_array_header(&mut bytes, words.len());
    for word in words {
        push_bulk_string(&mut bytes, word);
    }
    bytes
}

/// Returns the value of the first field with this name in a list `name=value,name=value`. Returns
/// `None` if the list has no such field.
pub fn find_field<'a>(list: &'a [u8], name: &str) -> Option<&'a [u8]> {
    list.split(|byte| *byte == b',').find_map(|field| field.strip_prefix(name.as_bytes())?.strip_prefix(b"="))
}

/// A list of fields, encoded as `name=value,name=value`. Names and values must not contain a comma,
/// since there is no escaping.
#[derive(Debug, Default)]
pub(crate) struct FieldList {
    bytes: Vec<u8>,
}

impl FieldList {
    pub(crate) fn push(&mut self, name: &str, value: &[u8]) {
        if !self.bytes.is_empty() {
            self.bytes.push(b',');
        }
        self.bytes.extend_from_slice(name.as_bytes());
        self.bytes.push(b'=');
        self.bytes.extend_from_slice(value);
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }
}
