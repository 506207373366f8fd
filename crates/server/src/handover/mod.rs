//! Handover: the replacement of this process by a new one that serves the same address.
//!
//! A new process connects to the serving one through a Unix socket in `$TMPDIR`. It receives the
//! listening socket itself and the state that safety rules depend on. It then catches up with the
//! endpoint feed, sends `TakeOver`, and accepts clients once the old process has sent `Released`.
//! If any step fails, the old process goes on serving, or the new one starts without inherited
//! state.

mod call_predecessor;
mod peer;
mod serve_successor;
mod shared_limits;
mod take_over;

use crate::event_loop::ConnectionToken;
pub(crate) use call_predecessor::{call_predecessor, InheritedSockets};
use hollymux_router::handover_state::HandoverState;
pub(crate) use peer::HandoverPeer;
use shared_limits::SharedLimits;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The connections and the inherited state of a handover.
#[derive(Default)]
pub(crate) struct Handover {
    /// The socket to which a successor connects; `None` if [`rendezvous_path`] has no path, or
    /// binding has failed.
    pub(crate) rendezvous: Option<ConnectionToken>,
    /// The connection to the process that replaces this one, while it is open.
    pub(crate) successor: Option<ConnectionToken>,
    /// The connection to the process that this one replaces, while it is open.
    pub(crate) predecessor: Option<ConnectionToken>,
    /// The state received from the predecessor; taken when this process begins to serve.
    pub(crate) inherited_state: Option<Box<HandoverState>>,
    /// Whether the feed may replay events that are older than the inherited endpoint list: the
    /// predecessor has not said where its feed stood.
    pub(crate) list_may_be_undone: bool,
    /// Whether this process shares its limits of descriptors and buffers with a successor or
    /// predecessor.
    pub(crate) limits_shared: bool,
    shared_limits: SharedLimits,
}

/// The path of the Unix socket for handovers between processes that serve the same address; `None`
/// if `$TMPDIR` is not set or the port is assigned by the system.
pub(crate) fn rendezvous_path(listen: SocketAddr) -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty())?;
    if listen.port() == 0 {
        return None;
    }
    let file_name = format!("hollymux-{}-{}.sock", listen.ip(), listen.port());
    Some(PathBuf::from(directory).join(file_name))
}
