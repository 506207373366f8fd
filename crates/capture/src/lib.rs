//! Recordings of traffic: the requests that a router closed, with their results, and the endpoint
//! updates and purges that it received. A recording holds no bodies, request ids or client
//! addresses.
//!
//! `docs/capture.md` describes the format. Each file is self-contained. It starts with a header
//! that names the router and its request classes, followed by blocks. Each block has a mark, a
//! length and a checksum, so that damage loses only the blocks that it touches.
//!
//! - [`format`](mod@format): the types that a block is encoded from.
//! - [`RecordingWriter`] and [`Recorder`]: writing files, on a separate thread.
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
