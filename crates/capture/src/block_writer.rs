//! Encodes blocks and appends them to the files of a directory, of which the oldest are removed.

use crate::format::{
    Block, Entry, Micros, RecordingHeader, BLOCK_HEADER_BYTES, BLOCK_MARK, MAGIC, MAX_BLOCK_BYTES, VERSION,
};
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The zstd compression level of blocks. Level 1 is the fastest one that compresses well.
const COMPRESSION_LEVEL: i32 = 1;
/// The extension of recording file names.
const FILE_EXTENSION: &str = "hmxload";

/// Writes a router's recording to a directory, as files of bounded number and size.
#[derive(Debug)]
pub struct RecordingWriter {
    directory: PathBuf,
    header: RecordingHeader,
    max_file_bytes: u64,
    max_files: usize,
    open_file: Option<OpenFile>,
    /// The router's files in the directory, oldest first.
    paths: Vec<PathBuf>,
    next_block_number: u64,
}

#[derive(Debug)]
struct OpenFile {
    file: File,
    /// Bytes of the blocks written to the file, without the file header.
    size: u64,
}

impl RecordingWriter {
    /// Creates a writer for a directory, which is created if it doesn't exist. A file ends with the
    /// block that reaches `max_file_bytes`. At most `max_files` are kept, files of earlier runs of
    /// the same router included.
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
        // The names contain the start time in a fixed width, so sorting by name is sorting by time.
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

    /// Writes a block. After an error, the next block starts a new file.
    ///
    /// # Errors
    /// The block can't be encoded or written, for instance to a full disk. Its entries are lost.
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
            // The removal fails if the file is already gone, which has the wanted effect.
            let _removed = std::fs::remove_file(self.paths.remove(0));
        }
        let prefix = file_name_prefix(&self.header.router);
        let millis = now / 1_000;
        // The block number makes the names of two files started in the same millisecond differ.
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

    /// The router's files in the directory, oldest first.
    pub fn files(&self) -> &[PathBuf] {
        &self.paths
    }
}

/// The common start of the names of a router's files. Other characters than ASCII letters and
/// digits are replaced, since the router's name may contain path separators.
fn file_name_prefix(router: &str) -> String {
    let safe = |char: char| if char.is_ascii_alphanumeric() { char } else { '_' };
    let router: String = router.chars().map(safe).collect();
    format!("{router}-")
}

/// Encodes a block, preceded by its mark, length and checksum.
fn encode_block(block: &Block) -> io::Result<Vec<u8>> {
    let encoded = postcard::to_stdvec(block).map_err(io::Error::other)?;
    let compressed = zstd::bulk::compress(&encoded, COMPRESSION_LEVEL)?;
    if compressed.len() > MAX_BLOCK_BYTES {
        return Err(io::Error::other(format!(
            "block has {} bytes after compression, the limit is {MAX_BLOCK_BYTES}",
            compressed.len()
        )));
    }
    let length = compressed.len() as u32;
    let checksum = crc32c::crc32c(&compressed);
    let mut bytes = Vec::with_capacity(BLOCK_HEADER_BYTES + compressed.len());
    bytes.extend_from_slice(&BLOCK_MARK);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(&compressed);
    Ok(bytes)
}
