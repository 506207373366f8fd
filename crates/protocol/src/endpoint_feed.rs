//! The control feed: an HTTP answer that carries server-sent events, fed in any pieces.

use crate::resp::parse_decimal;

/// A line of the head or of an event holds at most so many bytes.
const LINE: usize = 4 << 20;

/// The feed sent something that can't be read.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("control feed: {0}")]
pub struct FeedError(&'static str);

#[derive(Debug, PartialEq)]
enum Step {
    AttemptStatus,
    Header,
    Plain,
    ChunkSize,
    Chunk(usize),
    ChunkEnd,
}

/// Reads one answer of the feed.
#[derive(Debug)]
pub struct EndpointFeedReader {
    step: Step,
    chunked: bool,
    line: Vec<u8>,
    data: Vec<u8>,
}

/// The call that opens the feed after the event of that number.
pub fn encode_request(host: &str, after: u64) -> Vec<u8> {
    let head = "Accept: text/event-stream\r\nCache-Control: no-cache";
    format!("GET /v1/events HTTP/1.1\r\nHost: {host}\r\n{head}\r\nLast-Event-ID: {after}\r\n\r\n")
        .into_bytes()
}

impl Default for EndpointFeedReader {
    fn default() -> Self {
        EndpointFeedReader { step: Step::AttemptStatus, chunked: false, line: Vec::new(), data: Vec::new() }
    }
}

impl EndpointFeedReader {
    /// Takes bytes; the data of each whole event goes to `events`.
    pub fn feed(&mut self, input: &[u8], events: &mut Vec<Vec<u8>>) -> Result<(), FeedError> {
        let mut input = input;
        while let Some(&b) = input.first() {
            match self.step {
                Step::Plain => {
                    self.body(input, events)?;
                    input = &[];
                }
                Step::Chunk(n) => {
                    let (now, rest) = input.split_at(n.min(input.len()));
                    self.body(now, events)?;
                    input = rest;
                    self.step = if n == now.len() { Step::ChunkEnd } else { Step::Chunk(n - now.len()) };
                }
                Step::AttemptStatus | Step::Header | Step::ChunkSize | Step::ChunkEnd => {
                    input = &input[1..];
                    if b != b'\n' {
                        self.push(b)?;
                        continue;
                    }
                    let mut line = std::mem::take(&mut self.line);
                    line.pop_if(|b| *b == b'\r');
                    self.head(&line)?;
                }
            }
        }
        Ok(())
    }

    fn push(&mut self, b: u8) -> Result<(), FeedError> {
        if self.line.len() + self.data.len() >= LINE {
            return Err(FeedError("a line over the bound"));
        }
        self.line.push(b);
        Ok(())
    }

    fn head(&mut self, line: &[u8]) -> Result<(), FeedError> {
        match self.step {
            Step::AttemptStatus => {
                let code = line.split(|b| *b == b' ').nth(1).and_then(parse_decimal);
                if !line.starts_with(b"HTTP/1.") || code != Some(200) {
                    return Err(FeedError("the answer is not 200"));
                }
                self.step = Step::Header;
            }
            Step::Header if line.is_empty() => {
                self.step = if self.chunked { Step::ChunkSize } else { Step::Plain };
            }
            Step::Header => {
                let line = line.to_ascii_lowercase();
                self.chunked |= line.starts_with(b"transfer-encoding:") && line.ends_with(b"chunked");
            }
            Step::ChunkSize => {
                let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
                let size = std::str::from_utf8(digits).ok().and_then(|d| usize::from_str_radix(d, 16).ok());
                match size.filter(|n| *n <= LINE) {
                    Some(0) => return Err(FeedError("the answer has ended")),
                    Some(n) => self.step = Step::Chunk(n),
                    None => return Err(FeedError("a chunk's size can't be read")),
                }
            }
            Step::ChunkEnd => self.step = Step::ChunkSize,
            Step::Plain | Step::Chunk(_) => {}
        }
        Ok(())
    }

    fn body(&mut self, input: &[u8], events: &mut Vec<Vec<u8>>) -> Result<(), FeedError> {
        for &b in input {
            if b != b'\n' {
                self.push(b)?;
                continue;
            }
            let mut line = std::mem::take(&mut self.line);
            line.pop_if(|b| *b == b'\r');
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
