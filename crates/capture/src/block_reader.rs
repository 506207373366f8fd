//! Reading the blocks of one file: up to and past damage, with a count of what was lost.

use crate::format::{Block, BLOCK_MARK, MAGIC, MAX_BLOCK_BYTES, MAX_DECOMPRESSED_BYTES, VERSION};

/// Bytes of a block before its content: the mark, the length and the checksum.
const BLOCK_HEADER_BYTES: usize = BLOCK_MARK.len() + 8;

/// Why a file can't be read at all.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ReadError {
    /// It can't be opened.
    #[error("{0}")]
    Io(String),
    /// It is something else.
    #[error("is no recording of load")]
    NotARecording,
    /// It is of another version.
    #[error("is of version {0} of the format; this program reads version {VERSION}")]
    UnknownVersion(u16),
    /// No block with a header can be read.
    #[error("holds no block that can be read")]
    NoHeader,
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
    pub fn is_empty(&self) -> bool {
        *self == Loss::default()
    }

    /// Adds what is missing from another file.
    pub fn add(&mut self, other: Loss) {
        self.bytes += other.bytes;
        self.blocks += other.blocks;
        self.dropped += other.dropped;
    }
}

/// The readable content of one file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FileBlocks {
    /// The blocks that could be read, in the order of the file.
    pub blocks: Vec<Block>,
    /// What is missing.
    pub loss: Loss,
}

/// Reads the bytes of one file.
///
/// # Errors
/// It is no recording, or of another version. Damage inside is no error but a [`Loss`].
pub fn read_blocks(bytes: &[u8]) -> Result<FileBlocks, ReadError> {
    let mut rest = check_file_header(bytes)?;
    let mut file = FileBlocks::default();
    while !rest.is_empty() {
        let consumed = match read_block(rest) {
            Some(read) => {
                file.add(read.block);
                read.length
            }
            None => {
                let skipped = distance_to_next_mark(rest);
                file.loss.bytes += skipped as u64;
                skipped
            }
        };
        rest = &rest[consumed..];
    }
    Ok(file)
}

/// Returns what follows a file's header.
fn check_file_header(bytes: &[u8]) -> Result<&[u8], ReadError> {
    let rest = bytes.strip_prefix(&MAGIC).ok_or(ReadError::NotARecording)?;
    let (version, blocks) = rest.split_first_chunk::<2>().ok_or(ReadError::NotARecording)?;
    let version = u16::from_le_bytes(*version);
    if version != VERSION {
        return Err(ReadError::UnknownVersion(version));
    }
    Ok(blocks)
}

impl FileBlocks {
    fn add(&mut self, block: Block) {
        if let Some(previous) = self.blocks.last() {
            self.loss.blocks += block.number.saturating_sub(previous.number + 1);
        }
        self.loss.dropped = self.loss.dropped.saturating_add(block.dropped);
        self.blocks.push(block);
    }
}

/// The length from an unreadable block to the next mark, or to the end.
fn distance_to_next_mark(bytes: &[u8]) -> usize {
    let mut windows = bytes.windows(BLOCK_MARK.len()).enumerate().skip(1);
    let next_mark = windows.find(|(_, window)| *window == BLOCK_MARK);
    next_mark.map_or(bytes.len(), |(position, _)| position)
}

/// A block with its length in the file.
struct ReadBlock {
    block: Block,
    length: usize,
}

/// Reads the block at the front; none if it is damaged.
fn read_block(bytes: &[u8]) -> Option<ReadBlock> {
    let rest = bytes.strip_prefix(&BLOCK_MARK)?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
    // Rejected before anything is allocated for it.
    if length > MAX_BLOCK_BYTES {
        return None;
    }
    let compressed = rest.get(..length)?;
    if crc32c::crc32c(compressed) != u32::from_le_bytes(*checksum) {
        return None;
    }
    let encoded = zstd::bulk::decompress(compressed, MAX_DECOMPRESSED_BYTES).ok()?;
    let block = postcard::from_bytes(&encoded).ok()?;
    Some(ReadBlock { block, length: BLOCK_HEADER_BYTES + length })
}
