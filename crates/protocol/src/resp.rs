//! RESP arrays of bulk strings: an incremental decoder with bounds, and an encoder.

use hollymux_router::buffers::{BufferChain, BufferPool, Exhausted};

/// A word that is not the body holds at most so many bytes.
const WORD: usize = 1024;
/// A length line holds at most so many digits.
const DIGITS: usize = 9;

/// Why a connection's bytes can't be read any further.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RespError {
    /// Not an array of bulk strings.
    #[error("malformed RESP")]
    Malformed,
    /// A length over the bound; nothing was allocated for it.
    #[error("a length over the bound")]
    TooLong,
    /// No buffers left.
    #[error("no buffers left")]
    Exhausted,
}

impl From<Exhausted> for RespError {
    fn from(_: Exhausted) -> Self {
        RespError::Exhausted
    }
}

/// One array: its words, and the word in the place of the body.
#[derive(Debug)]
pub struct Frame {
    /// All words before the body.
    pub words: Vec<Vec<u8>>,
    /// The body; empty if it was empty or absent.
    pub body: BufferChain,
}

#[derive(Debug)]
enum Step {
    Count,
    Length,
    Bytes(usize),
    End(u8),
}

/// Reads arrays of at most `body_at` words and a body after them.
#[derive(Debug)]
pub struct Decoder {
    pool: BufferPool,
    body_at: usize,
    body_most: usize,
    step: Step,
    line: Vec<u8>,
    left: usize,
    words: Vec<Vec<u8>>,
    at: usize,
    body: Option<BufferChain>,
}

impl Decoder {
    /// A decoder whose arrays have their body in that place, of that many bytes at most.
    pub fn new(pool: &BufferPool, body_at: usize, body_most: usize) -> Decoder {
        let (pool, line, words) = (pool.clone(), Vec::new(), Vec::new());
        Decoder { pool, body_at, body_most, step: Step::Count, line, left: 0, words, at: 0, body: None }
    }

    /// Whether it stands inside an array.
    pub fn is_mid_frame(&self) -> bool {
        !matches!(self.step, Step::Count) || !self.line.is_empty()
    }

    /// Takes bytes off the front of the input until an array is whole or the input is used up.
    pub fn feed(&mut self, input: &mut &[u8]) -> Result<Option<Frame>, RespError> {
        while let Some(&first) = input.first() {
            match self.step {
                Step::Count => {
                    if let Some(n) = self.number(input, b'*')? {
                        if n == 0 {
                            return Err(RespError::Malformed);
                        }
                        if n > self.body_at + 1 {
                            return Err(RespError::TooLong);
                        }
                        (self.left, self.at, self.step) = (n, 0, Step::Length);
                    }
                }
                Step::Length => {
                    if let Some(n) = self.number(input, b'$')? {
                        let most = if self.at == self.body_at { self.body_most } else { WORD };
                        if n > most {
                            return Err(RespError::TooLong);
                        }
                        if self.at < self.body_at {
                            self.words.push(Vec::with_capacity(n));
                        }
                        self.step = if n == 0 { Step::End(b'\r') } else { Step::Bytes(n) };
                    }
                }
                Step::Bytes(want) => {
                    let (now, rest) = input.split_at(want.min(input.len()));
                    *input = rest;
                    if self.at == self.body_at {
                        self.body.get_or_insert_with(|| self.pool.chain()).extend(now)?;
                    } else if let Some(word) = self.words.last_mut() {
                        word.extend_from_slice(now);
                    }
                    let want = want - now.len();
                    self.step = if want == 0 { Step::End(b'\r') } else { Step::Bytes(want) };
                }
                Step::End(byte) => {
                    if first != byte {
                        return Err(RespError::Malformed);
                    }
                    *input = &input[1..];
                    if byte == b'\r' {
                        self.step = Step::End(b'\n');
                        continue;
                    }
                    (self.left, self.at) = (self.left - 1, self.at + 1);
                    if self.left > 0 {
                        self.step = Step::Length;
                        continue;
                    }
                    self.step = Step::Count;
                    let body = self.body.take().unwrap_or_else(|| self.pool.chain());
                    return Ok(Some(Frame { words: std::mem::take(&mut self.words), body }));
                }
            }
        }
        Ok(None)
    }

    /// A line of a mark and a number, once it is whole.
    fn number(&mut self, input: &mut &[u8], mark: u8) -> Result<Option<usize>, RespError> {
        while let Some((&b, rest)) = input.split_first() {
            *input = rest;
            self.line.push(b);
            if self.line[0] != mark || self.line.len() > DIGITS + 3 {
                return Err(RespError::Malformed);
            }
            if b == b'\n' {
                let digits = self.line[1..].strip_suffix(b"\r\n").filter(|d| !d.is_empty());
                let number = digits.and_then(parse_decimal).ok_or(RespError::Malformed)?;
                self.line.clear();
                return usize::try_from(number).map(Some).map_err(|_| RespError::TooLong);
            }
        }
        Ok(None)
    }
}

/// A number of parse_decimal digits alone.
pub fn parse_decimal(digits: &[u8]) -> Option<u64> {
    let plain = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(digits).ok().filter(|_| plain)?.parse().ok()
}

/// Appends the head of an array of so many words.
pub fn push_array_header(out: &mut Vec<u8>, words: usize) {
    out.extend_from_slice(format!("*{words}\r\n").as_bytes());
}

/// Appends a bulk string.
pub fn push_bulk_string(out: &mut Vec<u8>, word: &[u8]) {
    push_bulk_length(out, word.len());
    out.extend_from_slice(word);
    out.extend_from_slice(b"\r\n");
}

/// Appends the length line of a bulk string; its bytes and a line end follow.
pub fn push_bulk_length(out: &mut Vec<u8>, len: usize) {
    out.extend_from_slice(format!("${len}\r\n").as_bytes());
}

/// The value of a name in a list `name=value,name=value`.
pub fn find_field<'a>(list: &'a [u8], name: &str) -> Option<&'a [u8]> {
    list.split(|b| *b == b',').find_map(|f| f.strip_prefix(name.as_bytes())?.strip_prefix(b"="))
}
