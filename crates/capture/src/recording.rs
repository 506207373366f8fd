//! A recording in memory, merged from the files of one router or several.

use crate::block_reader::{read_blocks, FileBlocks, Loss, ReadError};
use crate::format::{Block, EndpointUpdate, Entry, PurgeEntry, RecordingHeader, RequestEntry};
use crate::result::{RecordedReason, RecordedResult};
use std::collections::HashMap;
use std::path::{Path, PathBuf};

/// Why recordings can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A file can't be read.
    #[error("{}: {error}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        error: ReadError,
    },
    /// Two files of one router have different request classes.
    #[error("{}: the classes of {router} are not those of another file", path.display())]
    ClassesChanged {
        /// The second of the files.
        path: PathBuf,
        /// The router.
        router: String,
    },
    /// Two routers have different request classes.
    #[error("{first} and {second} have different classes")]
    ClassesDiffer {
        /// The router of the first file.
        first: String,
        /// The first router with other classes.
        second: String,
    },
}

/// An entry and the router that recorded it.
#[derive(Clone, Debug, PartialEq)]
pub struct FromRouter<T> {
    /// The router, as an index of [`Recording::headers`].
    pub router: u16,
    /// The entry.
    pub entry: T,
}

/// A request as a recording holds it in memory: small, as there may be millions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecordedRequest {
    /// When it arrived, in microseconds.
    pub arrived: u64,
    /// The object.
    pub object: u64,
    /// The chunk of the object.
    pub chunk: u32,
    /// How long it was open, in microseconds; at most 71 minutes.
    pub duration: u32,
    /// How long the client was willing to wait, in microseconds; at most 71 minutes.
    pub timeout: u32,
    /// Bytes of the response.
    pub bytes: u32,
    /// The endpoint of the last attempt, as an index of [`Recording::names`], or
    /// [`RecordedRequest::NO_NAME`].
    pub endpoint: u16,
    /// The fill source named in that attempt, as an index of [`Recording::names`], or
    /// [`RecordedRequest::NO_NAME`].
    pub source: u16,
    /// The router, as an index of [`Recording::headers`].
    pub router: u16,
    /// Its class, by number.
    pub class: u8,
    /// The object's group.
    pub group: u8,
    /// Attempts at endpoints.
    pub attempts: u8,
    /// The result.
    pub result: RecordedResult,
    /// Why it has that result.
    pub reason: RecordedReason,
}

impl RecordedRequest {
    /// The index that stands for no name.
    pub const NO_NAME: u16 = u16::MAX;

    /// Values too large for their fields are capped.
    fn new(router: u16, entry: &RequestEntry, endpoint: u16, source: u16) -> RecordedRequest {
        RecordedRequest {
            arrived: entry.arrived,
            object: entry.object,
            chunk: entry.chunk,
            duration: saturate_u32(entry.duration),
            timeout: saturate_u32(entry.timeout),
            bytes: saturate_u32(entry.bytes),
            endpoint,
            source,
            router,
            class: u8::try_from(entry.class).unwrap_or(u8::MAX),
            group: (entry.group & 0xff) as u8,
            attempts: u8::try_from(entry.attempts).unwrap_or(u8::MAX),
            result: entry.result,
            reason: entry.reason,
        }
    }
}

fn saturate_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

/// Recorded traffic of one router or several.
#[derive(Clone, Debug, Default)]
pub struct Recording {
    /// The headers, one of each router.
    pub headers: Vec<RecordingHeader>,
    /// Names of endpoints.
    pub names: Vec<String>,
    /// Requests, in the order of arrival.
    pub requests: Vec<RecordedRequest>,
    /// Changes of the endpoint list, in the order of time.
    pub endpoint_updates: Vec<FromRouter<EndpointUpdate>>,
    /// Purges, in the order of time.
    pub purges: Vec<FromRouter<PurgeEntry>>,
    /// What is missing.
    pub loss: Loss,
    /// The indices of `names`.
    name_indices: HashMap<String, u32>,
}

impl Recording {
    /// The name of an endpoint; empty if the index is none of [`Recording::names`].
    pub fn endpoint_name(&self, index: u32) -> &str {
        self.names.get(index as usize).map_or("", String::as_str)
    }

    fn name_index(&mut self, name: &str) -> u32 {
        if let Some(index) = self.name_indices.get(name) {
            return *index;
        }
        let index = self.names.len() as u32;
        self.names.push(name.to_string());
        self.name_indices.insert(name.to_string(), index);
        index
    }

    /// Adds the content of one file.
    fn add_file(&mut self, path: &Path, file: FileBlocks) -> Result<(), LoadError> {
        self.loss.add(file.loss);
        // Without a header it is not known whose numbers these are.
        let header = file.blocks.iter().find_map(|block| block.header.clone());
        let Some(header) = header else {
            return Err(LoadError::File { path: path.to_path_buf(), error: ReadError::NoHeader });
        };
        let router = self.add_header(path, header)?;
        for block in file.blocks {
            self.add_block(router, block);
        }
        Ok(())
    }

    /// Returns the index of the header's router.
    fn add_header(&mut self, path: &Path, header: RecordingHeader) -> Result<u16, LoadError> {
        let known = self.headers.iter().position(|known| known.router == header.router);
        let Some(index) = known else {
            self.headers.push(header);
            return Ok((self.headers.len() - 1) as u16);
        };
        if self.headers[index].classes != header.classes {
            let path = path.to_path_buf();
            return Err(LoadError::ClassesChanged { path, router: header.router });
        }
        Ok(index as u16)
    }

    fn add_block(&mut self, router: u16, block: Block) {
        let names: Vec<u32> = block.names.iter().map(|name| self.name_index(name)).collect();
        let index_of = |name: u32| names.get(name as usize).copied();
        let short_index_of = |name: Option<u32>| {
            let index = name.and_then(index_of).and_then(|index| u16::try_from(index).ok());
            index.unwrap_or(RecordedRequest::NO_NAME)
        };
        for entry in block.entries {
            match entry {
                Entry::Request(request) => {
                    let endpoint = short_index_of(request.endpoint);
                    let source = short_index_of(request.source);
                    let request = RecordedRequest::new(router, &request, endpoint, source);
                    self.requests.push(request);
                }
                Entry::EndpointUpdate(update) => {
                    let name = index_of(update.name).unwrap_or(u32::MAX);
                    let entry = EndpointUpdate { name, ..update };
                    self.endpoint_updates.push(FromRouter { router, entry });
                }
                Entry::Purge(entry) => self.purges.push(FromRouter { router, entry }),
            }
        }
    }

    fn check_classes_agree(&self) -> Result<(), LoadError> {
        let Some(first) = self.headers.first() else { return Ok(()) };
        match self.headers.iter().find(|other| other.classes != first.classes) {
            None => Ok(()),
            Some(other) => {
                Err(LoadError::ClassesDiffer { first: first.router.clone(), second: other.router.clone() })
            }
        }
    }

    fn sort_by_time(&mut self) {
        self.requests.sort_by_key(|request| request.arrived);
        self.endpoint_updates.sort_by_key(|update| update.entry.at);
        self.purges.sort_by_key(|purge| purge.entry.at);
    }
}

/// Loads files into one recording, in any order.
///
/// # Errors
/// One for each file that can't be read at all, and for classes that differ. Damage inside a file
/// is no error but a [`Loss`].
pub fn load_files(paths: &[impl AsRef<Path>]) -> Result<Recording, Vec<LoadError>> {
    let mut recording = Recording::default();
    let mut errors = Vec::new();
    let mut files = Vec::new();
    for path in paths {
        let path = path.as_ref();
        match read_file(path) {
            Ok(file) => files.push((path, file)),
            Err(error) => errors.push(LoadError::File { path: path.to_path_buf(), error }),
        }
    }
    for (path, file) in files {
        errors.extend(recording.add_file(path, file).err());
    }
    errors.extend(recording.check_classes_agree().err());
    if !errors.is_empty() {
        return Err(errors);
    }
    recording.sort_by_time();
    Ok(recording)
}

fn read_file(path: &Path) -> Result<FileBlocks, ReadError> {
    let bytes = std::fs::read(path).map_err(|error| ReadError::Io(error.to_string()))?;
    read_blocks(&bytes)
}

/// Loads files into one recording, as [`load_files`] does, for callers that print the errors.
///
/// # Errors
/// The errors of [`load_files`], one line each.
pub fn load(paths: &[impl AsRef<Path>]) -> Result<Recording, Vec<String>> {
    load_files(paths).map_err(|errors| errors.iter().map(LoadError::to_string).collect())
}
