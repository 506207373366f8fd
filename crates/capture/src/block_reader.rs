//! Decodes the blocks of one file. Damaged parts are skipped, and what they held is counted as
//! lost.

use crate::format::{
    Block, BLOCK_HEADER_BYTES, BLOCK_MARK, MAGIC, MAX_BLOCK_BYTES, MAX_DECOMPRESSED_BYTES, VERSION,
};

/// Why a file can't be read at all.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ReadError {
    /// Opening or reading the file failed with this error message.
    #[error("{0}")]
    Io(String),
    /// The file does not start with [`MAGIC`] and a version.
    #[error("is not a traffic recording")]
    NotARecording,
    /// The file has this version of the format, which differs from [`VERSION`].
    #[error("has format version {0}, but this program reads only version {VERSION}")]
    UnknownVersion(u16),
    /// No readable block of the file carries a [`RecordingHeader`](crate::RecordingHeader).
    #[error("contains no readable block with a header")]
    NoHeader,
}

/// The amount of data that is missing from a recording.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loss {
    /// Bytes of the files that could not be decoded.
    pub bytes: u64,
    /// Blocks missing between readable ones, which show as gaps in the block numbers.
    pub blocks: u64,
    /// Entries that the router dropped since its queue was full or a block could not be written.
    pub dropped: u64,
}

impl Loss {
    /// Whether no loss is known.
    pub fn is_empty(&self) -> bool {
        *self == Loss::default()
    }

    /// Adds the loss of another file.
    pub fn add(&mut self, other: Loss) {
        self.bytes += other.bytes;
        self.blocks += other.blocks;
        self.dropped += other.dropped;
    }
}

/// The blocks that could be decoded from one file, and the loss.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FileBlocks {
    /// The readable blocks, in the order of the file.
    pub blocks: Vec<Block>,
    /// The data of the file that is missing.
    pub loss: Loss,
}

/// Decodes the bytes of one file.
///
/// # Errors
/// The file is not a recording, or has another version of the format. Damage after the file header
/// is not an error: it is counted in the [`Loss`].
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

/// Checks the magic bytes and the version of a file, and returns the bytes after them.
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

/// The number of bytes from the start of an unreadable block to the next block mark, or to the end
/// of the file.
fn distance_to_next_mark(bytes: &[u8]) -> usize {
    let mut windows = bytes.windows(BLOCK_MARK.len()).enumerate().skip(1);
    let next_mark = windows.find(|(_, window)| *window == BLOCK_MARK);
    next_mark.map_or(bytes.len(), |(position, _)| position)
}

/// A decoded block, and the number of bytes that it takes in the file.
struct ReadBlock {
    block: Block,
    length: usize,
}

/// Decodes the block at the start of `bytes`; `None` if it is damaged or incomplete.
fn read_block(bytes: &[u8]) -> Option<ReadBlock> {
    let rest = bytes.strip_prefix(&BLOCK_MARK)?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
    // A length beyond the limit is damage; rejecting it here avoids a large allocation.
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
