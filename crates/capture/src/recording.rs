//! The in-memory form of a recording, merged from the files of one or several routers.

use crate::block_reader::{read_blocks, FileBlocks, Loss, ReadError};
use crate::format::{Block, EndpointUpdate, Entry, PurgeEntry, RecordingHeader, RequestEntry};
use crate::result::{RecordedReason, RecordedResult};
use std::collections::HashMap;
use std::path::{Path, PathBuf};

/// Why files can't be loaded into one recording.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// One file can't be read.
    #[error("{}: {error}", path.display())]
    File {
        /// The path of the recording file that can't be read.
        path: PathBuf,
        /// Why the file can't be read.
        error: ReadError,
    },
    /// Two files of the same router have different request classes.
    #[error("{}: the request classes of {router} differ from those in its other files", path.display())]
    ClassesChanged {
        /// The path of the file that was read second.
        path: PathBuf,
        /// The name of the router that recorded both files.
        router: String,
    },
    /// Files of two routers have different request classes.
    #[error("{first} and {second} have different request classes")]
    ClassesDiffer {
        /// The name of the router of the first file.
        first: String,
        /// The name of the first router whose classes differ from those of `first`.
        second: String,
    },
}

/// An entry together with the router that recorded it.
#[derive(Clone, Debug, PartialEq)]
pub struct FromRouter<T> {
    /// The index in [`Recording::headers`] of the router that recorded the entry.
    pub router: u16,
    /// The entry, without its router: a request, an endpoint update or a purge.
    pub entry: T,
}

/// A recorded request in memory. Its fields are small, since a recording may hold millions of
/// requests; values that don't fit are capped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecordedRequest {
    /// When the router received the request, in microseconds.
    pub arrived: u64,
    /// The id that clients use for the requested object.
    pub object: u64,
    /// The number of the requested chunk within the object.
    pub chunk: u32,
    /// Time from the request's arrival until it was closed, in microseconds; capped at 71 minutes.
    pub duration: u32,
    /// How long the client was willing to wait, in microseconds; capped at 71 minutes.
    pub timeout: u32,
    /// Size of the response's body in bytes, capped at 4 GiB.
    pub bytes: u32,
    /// The endpoint of the last attempt, as an index into [`Recording::names`], or
    /// [`RecordedRequest::NO_NAME`].
    pub endpoint: u16,
    /// The fill source given in the last attempt, as an index into [`Recording::names`], or
    /// [`RecordedRequest::NO_NAME`].
    pub source: u16,
    /// The index in [`Recording::headers`] of the router that recorded the request.
    pub router: u16,
    /// The index of the request's class in [`RecordingHeader::classes`].
    pub class: u8,
    /// The lowest 8 bits of the number of the object's group.
    pub group: u8,
    /// Number of attempts made at endpoints.
    pub attempts: u8,
    /// How the request ended.
    pub result: RecordedResult,
    /// The reason for `result`; [`RecordedReason::None`] for a request that was answered.
    pub reason: RecordedReason,
}

impl RecordedRequest {
    /// The index that is used where there is no name.
    pub const NO_NAME: u16 = u16::MAX;

    /// Converts an entry. `endpoint` and `source` are the indices of its names in the recording.
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

/// Recorded traffic of one or several routers.
#[derive(Clone, Debug, Default)]
pub struct Recording {
    /// One header per router, taken from the first of its files.
    pub headers: Vec<RecordingHeader>,
    /// The endpoint names to which requests and endpoint updates refer by index.
    pub names: Vec<String>,
    /// The requests of all routers, in the order of arrival.
    pub requests: Vec<RecordedRequest>,
    /// The changes of the endpoint lists of all routers, in the order of time.
    pub endpoint_updates: Vec<FromRouter<EndpointUpdate>>,
    /// The purges that the routers received, in the order of time.
    pub purges: Vec<FromRouter<PurgeEntry>>,
    /// The data that is missing from the files.
    pub loss: Loss,
    /// The index in `names` of each name.
    name_indices: HashMap<String, u32>,
}

impl Recording {
    /// The name of an endpoint; empty if [`Recording::names`] has no such index.
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

    /// Adds the entries and the loss of one file.
    fn add_file(&mut self, path: &Path, file: FileBlocks) -> Result<(), LoadError> {
        self.loss.add(file.loss);
        // The class, zone and kind numbers in the entries have no meaning without a header.
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

    /// Adds the header of a router that is not known yet. Returns the router's index in `headers`.
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

/// Loads files into one recording. The order of the paths does not matter.
///
/// # Errors
/// One error for each file that can't be read at all, and for request classes that differ. Damage
/// inside a file is not an error: it is counted in the [`Loss`].
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

/// Loads files into one recording like [`load_files`], for callers that print the errors.
///
/// # Errors
/// The errors of [`load_files`], formatted as one line each.
pub fn load(paths: &[impl AsRef<Path>]) -> Result<Recording, Vec<String>> {
    load_files(paths).map_err(|errors| errors.iter().map(LoadError::to_string).collect())
}
