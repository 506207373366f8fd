//! Errors of runs on sockets.

use std::io;

/// The error of a scenario that can't be run on sockets.
#[derive(Debug, thiserror::Error)]
pub enum MultiProcessError {
    /// A system call failed.
    #[error("could not {operation}: {source}")]
    System {
        /// The operation that failed, as a verb phrase such as "wait for sockets".
        operation: &'static str,
        /// The error of the system call.
        source: io::Error,
    },
    /// A router's process could not be started.
    #[error("could not start the process of router {router}: {source}")]
    RouterStart {
        /// The name of the router whose process could not be started.
        router: String,
        /// The error of the system call.
        source: io::Error,
    },
    /// A router did not log its listening address in time.
    #[error("router {router} did not log its listening address in time")]
    RouterStartTimeout {
        /// The name of the router whose log has no listening address.
        router: String,
    },
}

/// Adds the name of the failed operation to an I/O error.
pub(super) trait Operation<T> {
    fn during(self, operation: &'static str) -> Result<T, MultiProcessError>;
}

impl<T> Operation<T> for io::Result<T> {
    fn during(self, operation: &'static str) -> Result<T, MultiProcessError> {
        self.map_err(|source| MultiProcessError::System { operation, source })
    }
}
