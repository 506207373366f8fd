//! The endpoint feed's transport: one long HTTP/1.1 response that carries server-sent events.
//!
//! The request that opens the watch is encoded here, and the response decoded in pieces of any
//! size; what an event says is [`crate::feed_events`]'s to read.

use crate::resp::parse_decimal;

/// Most bytes held of an unfinished line and event, and the largest chunk. The list of all
/// endpoints comes in one event, so this bounds the list.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// Why the rest of a response can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FeedError {
    /// A line or an event is longer than any that is read.
    #[error("endpoint feed: line or event too long")]
    TooLong,
    /// The response's status is not 200.
    #[error("endpoint feed: response status is not 200")]
    UnexpectedStatus,
    /// The server ended the response; a watch has no end of its own.
    #[error("endpoint feed: response ended")]
    Ended,
    /// A chunk's size is no hexadecimal number or exceeds the bound.
    #[error("endpoint feed: invalid chunk size")]
    InvalidChunkSize,
}

/// What the next byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    StatusLine,
    HeaderLine,
    /// The body without chunks, up to the end of the connection.
    UnchunkedBody,
    ChunkSize,
    ChunkData {
        remaining: usize,
    },
    /// The line end behind a chunk's data.
    ChunkEnd,
}

/// Reads one response of the feed.
#[derive(Debug)]
pub struct EndpointFeedReader {
    step: Step,
    chunked: bool,
    /// The unfinished line, of the head or of an event.
    line: Vec<u8>,
    /// The data of the unfinished event.
    data: Vec<u8>,
}

/// The request that opens the watch for events after that number.
pub fn encode_request(host: &str, after: u64) -> Vec<u8> {
    format!(
        "GET /v1/events HTTP/1.1\r\n\
         Host: {host}\r\n\
         Accept: text/event-stream\r\n\
         Cache-Control: no-cache\r\n\
         Last-Event-ID: {after}\r\n\
         \r\n"
    )
    .into_bytes()
}

impl Default for EndpointFeedReader {
    fn default() -> Self {
        EndpointFeedReader { step: Step::StatusLine, chunked: false, line: Vec::new(), data: Vec::new() }
    }
}

impl EndpointFeedReader {
    /// Takes bytes; the data of each complete event is appended to `events`, also when an error
    /// follows it.
    ///
    /// # Errors
    /// The rest can't be read; the connection is of no further use.
    pub fn feed(&mut self, bytes: &[u8], events: &mut Vec<Vec<u8>>) -> Result<(), FeedError> {
        let mut input = bytes;
        while let Some((&byte, after_byte)) = input.split_first() {
            match self.step {
                Step::UnchunkedBody => {
                    self.read_events(input, events)?;
                    input = &[];
                }
                Step::ChunkData { remaining } => {
                    let (data, rest) = input.split_at(remaining.min(input.len()));
                    self.read_events(data, events)?;
                    self.step = step_after_data(remaining - data.len());
                    input = rest;
                }
                Step::StatusLine | Step::HeaderLine | Step::ChunkSize | Step::ChunkEnd => {
                    input = after_byte;
                    if let Some(line) = self.push(byte)? {
                        self.read_framing_line(&line)?;
                    }
                }
            }
        }
        Ok(())
    }

    /// Appends a byte to the unfinished line; the line without its end if that byte ends it.
    fn push(&mut self, byte: u8) -> Result<Option<Vec<u8>>, FeedError> {
        if byte == b'\n' {
            let mut line = std::mem::take(&mut self.line);
            line.pop_if(|last| *last == b'\r');
            return Ok(Some(line));
        }
        if self.line.len() + self.data.len() >= MAX_BUFFERED_BYTES {
            return Err(FeedError::TooLong);
        }
        self.line.push(byte);
        Ok(None)
    }

    /// Reads a line that is HTTP's, not an event's.
    fn read_framing_line(&mut self, line: &[u8]) -> Result<(), FeedError> {
        match self.step {
            Step::StatusLine => {
                check_status_line(line)?;
                self.step = Step::HeaderLine;
            }
            Step::HeaderLine if line.is_empty() => {
                self.step = if self.chunked { Step::ChunkSize } else { Step::UnchunkedBody };
            }
            Step::HeaderLine => self.chunked |= declares_chunks(line),
            Step::ChunkSize => self.step = Step::ChunkData { remaining: parse_chunk_size(line)? },
            Step::ChunkEnd => self.step = Step::ChunkSize,
            Step::UnchunkedBody | Step::ChunkData { .. } => {}
        }
        Ok(())
    }

    /// Reads bytes of the event stream: `data:` lines are joined, an empty line ends an event, and
    /// all other lines, such as the heartbeat's comments, are skipped.
    fn read_events(&mut self, bytes: &[u8], events: &mut Vec<Vec<u8>>) -> Result<(), FeedError> {
        for &byte in bytes {
            let Some(line) = self.push(byte)? else { continue };
            if line.is_empty() {
                if !self.data.is_empty() {
                    events.push(std::mem::take(&mut self.data));
                }
            } else if let Some(data) = line.strip_prefix(b"data:") {
                if !self.data.is_empty() {
                    self.data.push(b'\n');
                }
                self.data.extend_from_slice(data.strip_prefix(b" ").unwrap_or(data));
            }
        }
        Ok(())
    }
}

fn step_after_data(remaining: usize) -> Step {
    if remaining == 0 {
        Step::ChunkEnd
    } else {
        Step::ChunkData { remaining }
    }
}

fn check_status_line(line: &[u8]) -> Result<(), FeedError> {
    let status = line.split(|byte| *byte == b' ').nth(1).and_then(parse_decimal);
    if line.starts_with(b"HTTP/1.") && status == Some(200) {
        Ok(())
    } else {
        Err(FeedError::UnexpectedStatus)
    }
}

fn declares_chunks(header_line: &[u8]) -> bool {
    let line = header_line.to_ascii_lowercase();
    line.starts_with(b"transfer-encoding:") && line.ends_with(b"chunked")
}

/// The size of a chunk with data; the chunk of size 0 is the end of the response.
fn parse_chunk_size(line: &[u8]) -> Result<usize, FeedError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
    let digits = std::str::from_utf8(digits).map_err(|_| FeedError::InvalidChunkSize)?;
    match usize::from_str_radix(digits, 16) {
        Ok(0) => Err(FeedError::Ended),
        Ok(size) if size <= MAX_BUFFERED_BYTES => Ok(size),
        _ => Err(FeedError::InvalidChunkSize),
    }
}
