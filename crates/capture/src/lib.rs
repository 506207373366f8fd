//! Recorded traffic: the requests a router closed, with their results, and the endpoint updates and
//! purges it received. It holds no bodies, request ids or client addresses.
//!
//! `docs/capture.md` has the format. A file is self-contained: a header that names the router and
//! its request classes, then blocks, each with a mark, a length and a checksum, so that damage
//! costs the blocks it touches and no more.
//!
//! - [`format`](mod@format): the types of a block, which are the format.
//! - [`RecordingWriter`] and [`Recorder`]: writing, by a thread of its own.
//! - [`read_blocks`] and [`load`]: reading one file, and merging several into a [`Recording`].

mod block_reader;
mod block_writer;
pub mod format;
mod recorder;
mod recording;
mod result;

pub use block_reader::{read_blocks, FileBlocks, Loss, ReadError};
pub use block_writer::RecordingWriter;
pub use format::{
    Block, EndpointUpdate, Entry, Micros, PurgeEntry, RecordedClass, RecordingHeader, RequestEntry,
};
pub use recorder::Recorder;
pub use recording::{load, load_files, FromRouter, LoadError, RecordedRequest, Recording};
pub use result::{RecordedReason, RecordedResult};
