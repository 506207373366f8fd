//! Transport of the endpoint feed: an HTTP/1.1 response without end that carries server-sent
//! events.
//!
//! This module encodes the request that opens the watch and decodes the response incrementally,
//! with or without chunked transfer coding. [`crate::feed_events`] parses the data of the events.

use crate::resp::parse_decimal;

/// Maximum number of buffered bytes of an incomplete line and its incomplete event, and maximum
/// size of a chunk. The full endpoint list arrives as one event, so this also limits its size.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// Maximum length of a line of the HTTP framing, in bytes.
const MAX_FRAMING_LINE_BYTES: usize = 16 << 10;

/// Error in the response of the endpoint feed. It is fatal for the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FeedError {
    /// An incomplete line together with the data of its event exceeds 4 MiB, or a line of the HTTP
    /// framing exceeds 16 KiB.
    #[error("endpoint feed: line or event too long")]
    TooLong,
    /// The status line is not that of an HTTP/1.x response with status 200.
    #[error("endpoint feed: response status is not 200")]
    UnexpectedStatus,
    /// The server sent the last chunk, which ends the response. A watch is expected never to end.
    #[error("endpoint feed: server ended the response")]
    Ended,
    /// The size of a chunk is not a hexadecimal number or exceeds 4 MiB.
    #[error("endpoint feed: invalid chunk size")]
    InvalidChunkSize,
}

/// State of the decoder: the part of the response that the next byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    StatusLine,
    HeaderLine,
    /// A body without chunked transfer coding, which extends to the end of the connection.
    UnchunkedBody,
    ChunkSize,
    ChunkData {
        /// Number of bytes of the chunk that have not been received yet.
        remaining: usize,
    },
    /// The line end after the data of a chunk.
    ChunkEnd,
}

/// Incremental decoder for one response of the endpoint feed.
#[derive(Debug)]
pub struct EndpointFeedReader {
    step: Step,
    /// Whether a header has declared chunked transfer coding.
    chunked: bool,
    /// Bytes received so far of an incomplete line of the HTTP framing.
    framing_line: Vec<u8>,
    /// Bytes received so far of an incomplete line of an event. A line may continue in the next
    /// chunk, so it is kept over the framing between them.
    line: Vec<u8>,
    /// Data received so far of an incomplete event.
    data: Vec<u8>,
    /// Whether a byte of the body has been received.
    body_begun: bool,
}

/// Encodes the request that opens a watch. The feed sends the events whose number is greater than
/// `after`.
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
        EndpointFeedReader {
            step: Step::StatusLine,
            chunked: false,
            framing_line: Vec::new(),
            line: Vec::new(),
            data: Vec::new(),
            body_begun: false,
        }
    }
}

impl EndpointFeedReader {
    /// Whether the server has begun the body: it sends an event or a heartbeat at once when it
    /// answers, but may send the head of its response long before.
    pub fn has_begun_body(&self) -> bool {
        self.body_begun
    }

    /// Decodes received bytes and appends the data of each completed event to `events`. Events that
    /// are complete before an error are appended too.
    ///
    /// # Errors
    /// Returns an error if the response is invalid, has ended, or exceeds a limit. The reader and
    /// its connection must not be used after an error.
    pub fn feed(&mut self, bytes: &[u8], events: &mut Vec<Vec<u8>>) -> Result<(), FeedError> {
        let mut input = bytes;
        while let Some((&byte, after_byte)) = input.split_first() {
            match self.step {
                Step::UnchunkedBody => {
                    self.body_begun = true;
                    self.read_events(input, events)?;
                    input = &[];
                }
                Step::ChunkData { remaining } => {
                    self.body_begun = true;
                    let (data, rest) = input.split_at(remaining.min(input.len()));
                    self.read_events(data, events)?;
                    self.step = step_after_data(remaining - data.len());
                    input = rest;
                }
                Step::StatusLine | Step::HeaderLine | Step::ChunkSize | Step::ChunkEnd => {
                    input = after_byte;
                    if let Some(line) = push(&mut self.framing_line, byte, MAX_FRAMING_LINE_BYTES)? {
                        self.read_framing_line(&line)?;
                    }
                }
            }
        }
        Ok(())
    }

    /// Processes a line of the HTTP framing: the status line, a header, the size of a chunk or the
    /// line end after a chunk.
    fn read_framing_line(&mut self, line: &[u8]) -> Result<(), FeedError> {
        match self.step {
            Step::StatusLine => {
                check_status_line(line)?;
                self.step = Step::HeaderLine;
            }
            Step::HeaderLine if line.is_empty() => {
                self.step = if self.chunked { Step::ChunkSize } else { Step::UnchunkedBody };
            }
            Step::HeaderLine => self.chunked |= declares_chunked_coding(line),
            Step::ChunkSize => self.step = Step::ChunkData { remaining: parse_chunk_size(line)? },
            Step::ChunkEnd => self.step = Step::ChunkSize,
            Step::UnchunkedBody | Step::ChunkData { .. } => {}
        }
        Ok(())
    }

    /// Decodes bytes of the event stream. The `data:` lines of an event are joined with line feeds,
    /// an empty line ends an event, and all other lines, such as heartbeat comments, are skipped.
    fn read_events(&mut self, bytes: &[u8], events: &mut Vec<Vec<u8>>) -> Result<(), FeedError> {
        for &byte in bytes {
            let max_bytes = MAX_BUFFERED_BYTES.saturating_sub(self.data.len());
            let Some(line) = push(&mut self.line, byte, max_bytes)? else { continue };
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

/// Appends a byte to an incomplete line of at most `max_bytes` bytes. If the byte is a line feed,
/// returns the complete line without its line end.
fn push(line: &mut Vec<u8>, byte: u8, max_bytes: usize) -> Result<Option<Vec<u8>>, FeedError> {
    if byte == b'\n' {
        let mut line = std::mem::take(line);
        line.pop_if(|last| *last == b'\r');
        return Ok(Some(line));
    }
    if line.len() >= max_bytes {
        return Err(FeedError::TooLong);
    }
    line.push(byte);
    Ok(None)
}

/// Returns the state inside a chunk of which `remaining` bytes have not been received yet.
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

fn declares_chunked_coding(header_line: &[u8]) -> bool {
    let line = header_line.to_ascii_lowercase();
    line.starts_with(b"transfer-encoding:") && line.ends_with(b"chunked")
}

/// Parses the size line of a chunk; chunk extensions are ignored. A size of 0 marks the end of the
/// response and is reported as [`FeedError::Ended`].
fn parse_chunk_size(line: &[u8]) -> Result<usize, FeedError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
    let digits = std::str::from_utf8(digits).map_err(|_| FeedError::InvalidChunkSize)?;
    match usize::from_str_radix(digits, 16) {
        Ok(0) => Err(FeedError::Ended),
        Ok(size) if size <= MAX_BUFFERED_BYTES => Ok(size),
        _ => Err(FeedError::InvalidChunkSize),
    }
}
