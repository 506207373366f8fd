//! Signals, which reach the event loop through a pipe: SIGHUP reloads the configuration, SIGTERM
//! ends the process.

use crate::event_loop::{ConnectionAction, ConnectionKind};
use crate::Server;
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

impl Server {
    /// Registers the signals that the server reacts to.
    pub(crate) fn register_signals(&mut self) -> io::Result<()> {
        for signal in [SIGTERM, SIGHUP] {
            let (pipe, sender) = UnixStream::pair()?;
            pipe.set_nonblocking(true)?;
            signal_hook::low_level::pipe::register(signal, sender)?;
            self.insert(ConnectionKind::Signal { pipe, signal })?;
        }
        Ok(())
    }

    /// A signal has come.
    pub(crate) fn on_signal(&mut self, pipe: &mut UnixStream, signal: i32) -> ConnectionAction {
        let mut bytes = [0; 16];
        // How often it came does not matter.
        let _drained = pipe.read(&mut bytes);
        if signal == SIGHUP {
            self.reload_config();
        } else {
            self.begin_shutdown();
        }
        ConnectionAction::Keep
    }
}
