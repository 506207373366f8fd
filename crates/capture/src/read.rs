//! Reading: up to and past damage, and what was lost is said.

use crate::{
    Block, Entry, Head, MemberLine, PurgeLine, Request, BLOCK_MOST, MAGIC, MARK, UNPACKED_MOST, VERSION,
};
use std::collections::HashMap;
use std::path::Path;

/// Why a file can't be read at all.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ReadError {
    /// It can't be opened.
    #[error("{0}")]
    Io(String),
    /// It is something else.
    #[error("is no recording of load")]
    Other,
    /// It is of another version.
    #[error("is of version {0} of the format; this program reads version {VERSION}")]
    Version(u16),
    /// Nothing in it can be read, its head least of all.
    #[error("holds no block that can be read")]
    Nothing,
}

/// What is missing from a recording.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loss {
    /// Bytes that could not be read.
    pub bytes: u64,
    /// Blocks missing, as far as their numbers show.
    pub blocks: u64,
    /// Entries that the router had to drop.
    pub dropped: u64,
}

impl Loss {
    /// Whether nothing is missing.
    pub fn none(&self) -> bool {
        *self == Loss::default()
    }

    /// Adds another's.
    pub fn add(&mut self, other: Loss) {
        self.bytes += other.bytes;
        self.blocks += other.blocks;
        self.dropped += other.dropped;
    }
}

/// A request as a recording holds it: small, as there may be millions. Box and source by their place in
/// [`Recording::names`]; the router by its place in [`Recording::heads`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// When it came, in microseconds.
    pub arrived: u64,
    /// The object.
    pub object: u64,
    /// The part.
    pub part: u32,
    /// How long it was open, and how long the client would wait, in microseconds; capped at 71 minutes.
    pub took: u32,
    /// See `took`.
    pub budget: u32,
    /// Bytes of the answer.
    pub bytes: u32,
    /// Box and source; `u16::MAX`: none.
    pub host: u16,
    /// See `host`.
    pub source: u16,
    /// The router.
    pub router: u16,
    /// Its class.
    pub class: u8,
    /// The group.
    pub group: u8,
    /// Attempts.
    pub attempts: u8,
    /// How it ended.
    pub end: crate::End,
    /// Why.
    pub reason: crate::Reason,
}

/// Recorded load of one router or several.
#[derive(Clone, Debug, Default)]
pub struct Recording {
    /// Who recorded.
    pub heads: Vec<Head>,
    /// Names of members.
    pub names: Vec<String>,
    /// Requests, in the order in which they came.
    pub rows: Vec<Row>,
    /// Members as they were told, with the router's number.
    pub members: Vec<(u16, MemberLine)>,
    /// Purges as they were told, with the router's number.
    pub purges: Vec<(u16, PurgeLine)>,
    /// What is missing.
    pub loss: Loss,
    index: HashMap<String, u32>,
}

impl Recording {
    fn name(&mut self, name: &str) -> u32 {
        if let Some(n) = self.index.get(name) {
            return *n;
        }
        let n = self.names.len() as u32;
        self.names.push(name.to_string());
        self.index.insert(name.to_string(), n);
        n
    }

    /// A member's name.
    pub fn member(&self, name: u32) -> &str {
        self.names.get(name as usize).map_or("", String::as_str)
    }

    fn take(&mut self, router: u16, block: Block) {
        let names: Vec<u32> = block.names.iter().map(|n| self.name(n)).collect();
        let place = |n: Option<u32>| {
            let n = n.and_then(|n| names.get(n as usize));
            n.and_then(|n| u16::try_from(*n).ok()).unwrap_or(u16::MAX)
        };
        for entry in block.entries {
            match entry {
                Entry::Request(r) => self.rows.push(row(router, &r, place(r.host), place(r.source))),
                Entry::Member(m) => {
                    let name = names.get(m.name as usize).copied().unwrap_or(u32::MAX);
                    self.members.push((router, MemberLine { name, ..m }));
                }
                Entry::Purge(p) => self.purges.push((router, p)),
            }
        }
    }

    fn sort(&mut self) {
        self.rows.sort_by_key(|r| r.arrived);
        self.members.sort_by_key(|m| m.1.at);
        self.purges.sort_by_key(|p| p.1.at);
    }
}

fn row(router: u16, r: &Request, host: u16, source: u16) -> Row {
    let small = |t: u64| u32::try_from(t).unwrap_or(u32::MAX);
    Row {
        arrived: r.arrived,
        object: r.object,
        part: r.part,
        took: small(r.took),
        budget: small(r.budget),
        bytes: small(r.bytes),
        host,
        source,
        router,
        class: u8::try_from(r.class).unwrap_or(u8::MAX),
        group: (r.group & 0xff) as u8,
        attempts: u8::try_from(r.attempts).unwrap_or(u8::MAX),
        end: r.end,
        reason: r.reason,
    }
}

/// Reads one file's bytes: its blocks as far as they can be read, and what is missing.
///
/// # Errors
/// It is no recording, or of another version.
pub fn read(bytes: &[u8]) -> Result<(Vec<Block>, Loss), ReadError> {
    let rest = bytes.strip_prefix(&MAGIC).ok_or(ReadError::Other)?;
    let (version, mut rest) = rest.split_first_chunk::<2>().ok_or(ReadError::Other)?;
    let version = u16::from_le_bytes(*version);
    if version != VERSION {
        return Err(ReadError::Version(version));
    }
    let (mut blocks, mut loss): (Vec<Block>, Loss) = (Vec::new(), Loss::default());
    while !rest.is_empty() {
        match block(rest) {
            Some((block, len)) => {
                if let Some(last) = blocks.last() {
                    loss.blocks += block.number.saturating_sub(last.number + 1);
                }
                loss.dropped = loss.dropped.saturating_add(block.dropped);
                blocks.push(block);
                rest = &rest[len..];
            }
            None => {
                // On to the next mark; what stands before it is lost.
                let next =
                    rest.windows(MARK.len()).skip(1).position(|w| w == MARK).map_or(rest.len(), |i| i + 1);
                loss.bytes += next as u64;
                rest = &rest[next..];
            }
        }
    }
    Ok((blocks, loss))
}

/// The block that stands at the front, with its length; none if it is not whole.
fn block(bytes: &[u8]) -> Option<(Block, usize)> {
    let rest = bytes.strip_prefix(&MARK)?;
    let (len, rest) = rest.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    // Refused before anything is allocated for it.
    let len = usize::try_from(u32::from_le_bytes(*len)).ok().filter(|l| *l <= BLOCK_MOST)?;
    let packed = rest.get(..len)?;
    if crc32c::crc32c(packed) != u32::from_le_bytes(*sum) {
        return None;
    }
    let plain = zstd::bulk::decompress(packed, UNPACKED_MOST).ok()?;
    let block = postcard::from_bytes(&plain).ok()?;
    Some((block, MARK.len() + 8 + len))
}

/// Reads files into one recording, in any order.
///
/// # Errors
/// One line for each file that can't be read at all; damage inside a file is no error but a [`Loss`].
pub fn load(paths: &[impl AsRef<Path>]) -> Result<Recording, Vec<String>> {
    let mut all = Recording::default();
    let mut wrong = Vec::new();
    let mut files = Vec::new();
    for path in paths {
        let path = path.as_ref();
        let bytes = std::fs::read(path).map_err(|e| ReadError::Io(e.to_string()));
        match bytes.and_then(|b| read(&b)) {
            Ok((blocks, loss)) => files.push((path.display().to_string(), blocks, loss)),
            Err(e) => wrong.push(format!("{}: {e}", path.display())),
        }
    }
    for (path, blocks, loss) in files {
        all.loss.add(loss);
        // Without a head nobody knows whose numbers these are.
        let Some(head) = blocks.iter().find_map(|b| b.head.clone()) else {
            wrong.push(format!("{path}: {}", ReadError::Nothing));
            continue;
        };
        let known = all.heads.iter().position(|h| h.router == head.router);
        if let Some(h) = known.map(|k| &all.heads[k]).filter(|h| h.classes != head.classes) {
            wrong.push(format!("{path}: the classes of {} are not those of another file", h.router));
            continue;
        }
        let router = known.unwrap_or_else(|| {
            all.heads.push(head);
            all.heads.len() - 1
        });
        blocks.into_iter().for_each(|b| all.take(router as u16, b));
    }
    if let Some(other) = all.heads.iter().find(|h| h.classes != all.heads[0].classes) {
        wrong.push(format!("{} and {} have different classes", all.heads[0].router, other.router));
    }
    if !wrong.is_empty() {
        return Err(wrong);
    }
    all.sort();
    Ok(all)
}
