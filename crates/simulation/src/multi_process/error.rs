//! Why a scenario can't be played on sockets.

use std::io;

/// Why a scenario can't be played on sockets.
#[derive(Debug, thiserror::Error)]
pub enum MultiProcessError {
    /// The system refused an operation.
    #[error("could not {operation}: {source}")]
    System {
        /// What was tried.
        operation: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// A router's process could not be started.
    #[error("could not start the process of router {router}: {source}")]
    RouterStart {
        /// The router's name.
        router: String,
        /// The system's error.
        source: io::Error,
    },
    /// A router did not say in time where it listens.
    #[error("router {router} did not start")]
    RouterSilent {
        /// The router's name.
        router: String,
    },
}

/// Names the operation of an I/O error.
pub(super) trait Operation<T> {
    fn during(self, operation: &'static str) -> Result<T, MultiProcessError>;
}

impl<T> Operation<T> for io::Result<T> {
    fn during(self, operation: &'static str) -> Result<T, MultiProcessError> {
        self.map_err(|source| MultiProcessError::System { operation, source })
    }
}
