//! Estimates whether a peer has read what was written to its connection. A peer notices the end of a
//! connection only after it has read everything before it, and goes on sending until then.

use crate::sockets::NO_WAIT;
use hollymux_decision::Timestamp;
use rustix::event::{poll, PollFd, PollFlags};
use socket2::SockRef;
use std::cell::Cell;
use std::net::TcpStream;
use std::time::Duration;

/// The slowest reading of a peer that is provided for, in bytes per second.
const SLOWEST_READ_BYTES_PER_SECOND: u64 = 1_000_000;
/// The most that the peer's kernel holds for it, in bytes: the default receive buffer of Linux.
const MAX_RECEIVE_QUEUE_BYTES: u64 = 128 << 10;

/// The most that the kernel holds of unsent bytes: the largest send buffer of Linux by default.
const MAX_SEND_QUEUE_BYTES: u64 = 4 << 20;

/// What is known of a peer's reading.
pub(crate) struct ReadProgress {
    /// When bytes were last passed to the kernel.
    written_at: Cell<Timestamp>,
    /// Whether the kernel may hold written bytes that it has not sent yet, as the peer's receive
    /// buffer was full.
    may_have_unsent: Cell<bool>,
    /// The time by which the peer has read what its kernel holds for it.
    read_by: Cell<Timestamp>,
}

impl ReadProgress {
    /// The progress on a connection on which nothing was written yet.
    pub(crate) fn new(now: Timestamp) -> ReadProgress {
        ReadProgress {
            written_at: Cell::new(now),
            may_have_unsent: Cell::new(false),
            read_by: Cell::new(now),
        }
    }

    /// Records that bytes were passed to the kernel.
    pub(crate) fn on_written(&self, now: Timestamp, bytes: usize) {
        let begins = self.read_by.get().max(now);
        let latest = now + read_duration(MAX_RECEIVE_QUEUE_BYTES);
        self.read_by.set((begins + read_duration(bytes as u64)).min(latest));
        self.may_have_unsent.set(true);
        self.written_at.set(now);
    }

    /// The time by which a peer has read what was written, by what is known at `now`. A peer that does
    /// not read is not waited for beyond the time that the slowest one needs.
    pub(crate) fn read_by(&self, now: Timestamp, socket: &TcpStream) -> Timestamp {
        if self.may_have_unsent.get() {
            if has_unsent_bytes(socket) {
                let latest =
                    self.written_at.get() + read_duration(MAX_SEND_QUEUE_BYTES + MAX_RECEIVE_QUEUE_BYTES);
                self.read_by.set((now + read_duration(MAX_RECEIVE_QUEUE_BYTES)).min(latest));
            } else {
                self.may_have_unsent.set(false);
            }
        }
        self.read_by.get()
    }
}

/// How long the slowest peer needs to read this many bytes.
fn read_duration(bytes: u64) -> Duration {
    Duration::from_micros(bytes * 1_000_000 / SLOWEST_READ_BYTES_PER_SECOND)
}

/// Whether the kernel holds written bytes that it has not sent. False if the kernel doesn't say.
fn has_unsent_bytes(socket: &TcpStream) -> bool {
    let options = SockRef::from(socket);
    // With a limit of one byte, the socket is writable only if no byte is unsent.
    if options.set_tcp_notsent_lowat(1).is_err() {
        return false;
    }
    let mut descriptors = [PollFd::new(socket, PollFlags::OUT)];
    let is_unsent = poll(&mut descriptors, Some(&NO_WAIT)) == Ok(0);
    // 0 stands for the default of the system.
    let _restored = options.set_tcp_notsent_lowat(0);
    is_unsent
}
