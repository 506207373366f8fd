//! Signal handling. Each signal reaches the event loop through a pipe: SIGHUP reloads the
//! configuration, SIGTERM starts the shutdown.

use crate::event_loop::{ConnectionAction, ConnectionKind};
use crate::Server;
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

impl Server {
    /// Registers a pipe for each signal that the server handles.
    pub(crate) fn register_signals(&mut self) -> io::Result<()> {
        for signal in [SIGTERM, SIGHUP] {
            let (pipe, sender) = UnixStream::pair()?;
            pipe.set_nonblocking(true)?;
            signal_hook::low_level::pipe::register(signal, sender)?;
            self.insert(ConnectionKind::Signal { pipe, signal })?;
        }
        Ok(())
    }

    /// Reloads the configuration on SIGHUP, and starts the shutdown on any other registered signal.
    pub(crate) fn on_signal(&mut self, pipe: &mut UnixStream, signal: i32) -> ConnectionAction {
        let mut bytes = [0; 16];
        // Several signals of one kind are handled as one.
        let _drained = pipe.read(&mut bytes);
        if signal == SIGHUP {
            self.reload_config();
        } else {
            self.begin_shutdown();
        }
        ConnectionAction::Keep
    }
}
