//! Writing blocks into the files of a directory, of which the oldest are removed.

use crate::format::{Block, Entry, Micros, RecordingHeader, BLOCK_MARK, MAGIC, MAX_BLOCK_BYTES, VERSION};
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The zstd level of blocks: the fastest one that compresses well.
const COMPRESSION_LEVEL: i32 = 1;
/// The extension of the files' names.
const FILE_EXTENSION: &str = "hmxload";

/// Writes a router's recording as files of bounded number and size in a directory.
#[derive(Debug)]
pub struct RecordingWriter {
    directory: PathBuf,
    header: RecordingHeader,
    max_file_bytes: u64,
    max_files: usize,
    open_file: Option<OpenFile>,
    /// The files there are, the oldest first.
    paths: Vec<PathBuf>,
    next_block_number: u64,
}

#[derive(Debug)]
struct OpenFile {
    file: File,
    /// Bytes of the blocks written.
    size: u64,
}

impl RecordingWriter {
    /// A writer for a directory, which is created if need be. A file ends with the block that
    /// reaches `max_file_bytes`. Files of earlier runs of the same router count to `max_files`.
    ///
    /// # Errors
    /// The directory can't be created or read.
    pub fn new(
        directory: &Path,
        header: RecordingHeader,
        max_file_bytes: u64,
        max_files: usize,
    ) -> io::Result<RecordingWriter> {
        std::fs::create_dir_all(directory)?;
        let prefix = file_name_prefix(&header.router);
        let is_ours = |path: &PathBuf| {
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
            name.starts_with(&prefix) && name.ends_with(FILE_EXTENSION)
        };
        let entries = std::fs::read_dir(directory)?.filter_map(Result::ok);
        let mut paths: Vec<PathBuf> = entries.map(|entry| entry.path()).filter(is_ours).collect();
        // The time in the name has a fixed width, so this is the order of time.
        paths.sort();
        Ok(RecordingWriter {
            directory: directory.to_path_buf(),
            header,
            max_file_bytes,
            max_files,
            open_file: None,
            paths,
            next_block_number: 0,
        })
    }

    /// Writes a block. After an error the next one begins a new file.
    ///
    /// # Errors
    /// The disk does not take it; the entries are lost.
    pub fn write_block(
        &mut self,
        now: Micros,
        names: Vec<String>,
        entries: Vec<Entry>,
        dropped: u64,
    ) -> io::Result<()> {
        let number = self.next_block_number;
        self.next_block_number += 1;
        let begins_file = self.open_file.as_ref().is_none_or(|open| open.size >= self.max_file_bytes);
        let header = begins_file.then(|| RecordingHeader { started: now, ..self.header.clone() });
        let written = encode_block(&Block { number, dropped, header, names, entries })
            .and_then(|bytes| self.append(&bytes, begins_file, now));
        if written.is_err() {
            self.open_file = None;
        }
        written
    }

    fn append(&mut self, bytes: &[u8], begins_file: bool, now: Micros) -> io::Result<()> {
        if begins_file {
            self.begin_file(now)?;
        }
        let Some(open) = &mut self.open_file else { return Err(io::ErrorKind::NotFound.into()) };
        open.size += bytes.len() as u64;
        open.file.write_all(bytes)
    }

    fn begin_file(&mut self, now: Micros) -> io::Result<()> {
        while self.paths.len() >= self.max_files.max(1) {
            // A file that somebody else has removed needs no removal.
            let _removed = std::fs::remove_file(self.paths.remove(0));
        }
        let prefix = file_name_prefix(&self.header.router);
        let millis = now / 1_000;
        // The number keeps two files of one millisecond apart.
        let next_block = self.next_block_number;
        let name = format!("{prefix}{millis:016}-{next_block:06}.{FILE_EXTENSION}");
        let path = self.directory.join(name);
        let mut file = File::create(&path)?;
        file.write_all(&MAGIC)?;
        file.write_all(&VERSION.to_le_bytes())?;
        self.paths.push(path);
        self.open_file = Some(OpenFile { file, size: 0 });
        Ok(())
    }

    /// The files there are, the oldest first.
    pub fn files(&self) -> &[PathBuf] {
        &self.paths
    }
}

/// What all files of a router begin their names with.
fn file_name_prefix(router: &str) -> String {
    let safe = |char: char| if char.is_ascii_alphanumeric() { char } else { '_' };
    let router: String = router.chars().map(safe).collect();
    format!("{router}-")
}

/// A block with its mark, length and checksum.
fn encode_block(block: &Block) -> io::Result<Vec<u8>> {
    let encoded = postcard::to_stdvec(block).map_err(io::Error::other)?;
    let compressed = zstd::bulk::compress(&encoded, COMPRESSION_LEVEL)?;
    if compressed.len() > MAX_BLOCK_BYTES {
        return Err(io::Error::other("block exceeds the format's bound"));
    }
    let length = compressed.len() as u32;
    let checksum = crc32c::crc32c(&compressed);
    let mut bytes = Vec::with_capacity(BLOCK_MARK.len() + 8 + compressed.len());
    bytes.extend_from_slice(&BLOCK_MARK);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(&compressed);
    Ok(bytes)
}
