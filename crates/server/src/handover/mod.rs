//! Replacement of this process by another one.
//!
//! A new process connects to the one that serves the address at a socket in `$TMPDIR`. It is given
//! the listening socket itself, and the state that safety rules depend on. It catches up with the
//! endpoint feed, sends `TakeOver`, and accepts clients once the old process has sent `Released`. Whatever
//! fails on the way leaves the old process serving, or the new one starting without inherited
//! state.

mod call_predecessor;
mod peer;
mod serve_successor;
mod take_over;

use crate::event_loop::ConnectionToken;
use crate::server::max_buffers;
use crate::Server;
pub(crate) use call_predecessor::{call_predecessor, InheritedSockets};
use hollymux_router::handover_state::HandoverState;
pub(crate) use peer::HandoverPeer;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Processes that share the limits of descriptors and buffers during a handover.
const PROCESSES_IN_HANDOVER: usize = 2;

/// The state of a handover.
#[derive(Default)]
pub(crate) struct Handover {
    /// The socket that a successor connects to.
    pub(crate) rendezvous: Option<ConnectionToken>,
    /// The process that replaces this one.
    pub(crate) successor: Option<ConnectionToken>,
    /// The process that this one replaces.
    pub(crate) predecessor: Option<ConnectionToken>,
    /// What the predecessor handed over, until this process serves.
    pub(crate) inherited_state: Option<Box<HandoverState>>,
    /// The limits are shared with one of them.
    pub(crate) limits_shared: bool,
}

/// The socket at which processes that serve the same address find each other; `None` if there is
/// none.
pub(crate) fn rendezvous_path(listen: SocketAddr) -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty())?;
    if listen.port() == 0 {
        return None;
    }
    let file_name = format!("hollymux-{}-{}.sock", listen.ip(), listen.port());
    Some(PathBuf::from(directory).join(file_name))
}

impl Server {
    /// Applies the limits that hold while both processes run, or those of one process alone.
    fn update_shared_limits(&mut self) {
        let shared = self.handover.successor.is_some() || self.handover.predecessor.is_some();
        self.handover.limits_shared = shared;
        self.router.share(shared);
        let processes = if shared { PROCESSES_IN_HANDOVER } else { 1 };
        self.buffers.limit(max_buffers(&self.config) / processes);
    }

    /// The number of descriptors that this process may use.
    pub(crate) fn max_descriptors(&self) -> usize {
        if self.handover.limits_shared {
            self.config.sockets / PROCESSES_IN_HANDOVER
        } else {
            self.config.sockets
        }
    }
}
