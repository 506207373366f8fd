//! RESP arrays of bulk strings, the framing that clients and endpoints share: an incremental
//! decoder with bounds, and functions that append to an encoded message.
//!
//! No command is known here; [`crate::client`] and [`crate::endpoint`] interpret the words.

use hollymux_router::buffers::{BufferChain, BufferPool, Exhausted};

/// Longest word other than the body, in bytes.
const MAX_WORD_BYTES: usize = 1024;
/// Most digits of a length line. Nine can't overflow a `usize`, and the bounds are far below.
const MAX_LENGTH_DIGITS: usize = 9;
/// Bytes of a length line besides its digits: the marker and the line end.
const LENGTH_LINE_OVERHEAD: usize = 3;

/// Why a connection's bytes can't be read any further.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RespError {
    /// The bytes are not an array of bulk strings, or not a message of this protocol.
    #[error("malformed RESP message")]
    Malformed,
    /// A length exceeds its bound; nothing was allocated for it.
    #[error("length in RESP message exceeds the bound")]
    TooLong,
    /// The buffer pool has no buffer left for the body.
    #[error("buffer pool is exhausted")]
    Exhausted,
}

impl From<Exhausted> for RespError {
    fn from(_: Exhausted) -> Self {
        RespError::Exhausted
    }
}

/// One array of bulk strings.
#[derive(Debug)]
pub struct Frame {
    /// All words before the body.
    pub words: Vec<Vec<u8>>,
    /// The word in the body's position; empty if the array has none.
    pub body: BufferChain,
}

/// What the next byte belongs to.
#[derive(Debug)]
enum Step {
    ArrayLength,
    WordLength,
    WordBytes { remaining: usize },
    CarriageReturn,
    LineFeed,
}

/// Decodes arrays that arrive in pieces of any size.
///
/// Words before the body are small and are kept in vectors; the body goes to the buffer pool.
#[derive(Debug)]
pub struct Decoder {
    pool: BufferPool,
    body_index: usize,
    max_body_bytes: usize,
    step: Step,
    /// The length line read so far.
    line: Vec<u8>,
    remaining_words: usize,
    word_index: usize,
    words: Vec<Vec<u8>>,
    body: Option<BufferChain>,
}

impl Decoder {
    /// A decoder for arrays whose word at `body_index`, and the last one possible, is the body.
    pub fn new(pool: &BufferPool, body_index: usize, max_body_bytes: usize) -> Decoder {
        Decoder {
            pool: pool.clone(),
            body_index,
            max_body_bytes,
            step: Step::ArrayLength,
            line: Vec::new(),
            remaining_words: 0,
            word_index: 0,
            words: Vec::new(),
            body: None,
        }
    }

    /// Whether part of an array has been read.
    pub fn is_mid_frame(&self) -> bool {
        !matches!(self.step, Step::ArrayLength) || !self.line.is_empty()
    }

    /// Takes bytes off the front of `input` until an array is complete or the input is used up.
    ///
    /// # Errors
    /// The bytes can't be read; the decoder is of no further use then.
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
                Step::WordBytes { remaining } => self.read_word(input, remaining)?,
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

    /// Reads a line of `marker` and a decimal number; none until the line is complete.
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

    fn read_word(&mut self, input: &mut &[u8], remaining: usize) -> Result<(), RespError> {
        let (bytes, rest) = input.split_at(remaining.min(input.len()));
        *input = rest;
        if self.at_body() {
            self.body.get_or_insert_with(|| self.pool.chain()).extend(bytes)?;
        } else if let Some(word) = self.words.last_mut() {
            word.extend_from_slice(bytes);
        }
        self.step = step_after_bytes(remaining - bytes.len());
        Ok(())
    }

    /// Goes on to the next word; the frame if this was the last one.
    fn end_word(&mut self) -> Option<Frame> {
        self.remaining_words -= 1;
        self.word_index += 1;
        if self.remaining_words > 0 {
            self.step = Step::WordLength;
            return None;
        }
        self.step = Step::ArrayLength;
        let body = self.body.take().unwrap_or_else(|| self.pool.chain());
        Some(Frame { words: std::mem::take(&mut self.words), body })
    }

    fn at_body(&self) -> bool {
        self.word_index == self.body_index
    }
}

fn step_after_bytes(remaining: usize) -> Step {
    if remaining == 0 {
        Step::CarriageReturn
    } else {
        Step::WordBytes { remaining }
    }
}

/// Parses a number of decimal digits alone: no sign, no spaces, at least one digit.
pub fn parse_decimal(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// Parses a number of exactly 16 hexadecimal digits.
pub fn parse_hex_u64(digits: &[u8]) -> Option<u64> {
    if digits.len() != 16 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

/// Appends the head of an array of `word_count` words.
pub fn push_array_header(out: &mut Vec<u8>, word_count: usize) {
    out.extend_from_slice(format!("*{word_count}\r\n").as_bytes());
}

/// Appends a bulk string.
pub fn push_bulk_string(out: &mut Vec<u8>, word: &[u8]) {
    push_bulk_length(out, word.len());
    out.extend_from_slice(word);
    out.extend_from_slice(b"\r\n");
}

/// Appends the length line of a bulk string; its bytes and a line end have to follow.
pub fn push_bulk_length(out: &mut Vec<u8>, length: usize) {
    out.extend_from_slice(format!("${length}\r\n").as_bytes());
}

/// An array of bulk strings as a chain from the pool.
pub(crate) fn encode_words(pool: &BufferPool, words: &[&[u8]]) -> Result<BufferChain, Exhausted> {
    let mut bytes = Vec::new();
    push_array_header(&mut bytes, words.len());
    for word in words {
        push_bulk_string(&mut bytes, word);
    }
    let mut chain = pool.chain();
    chain.extend(&bytes)?;
    Ok(chain)
}

/// The value of the first field of that name in a list `name=value,name=value`.
pub fn find_field<'a>(list: &'a [u8], name: &str) -> Option<&'a [u8]> {
    list.split(|byte| *byte == b',').find_map(|field| field.strip_prefix(name.as_bytes())?.strip_prefix(b"="))
}

/// Builds a list `name=value,name=value`.
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
