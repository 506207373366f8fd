//! The errors of the sub-commands, and their mapping to the exit codes that scripts check.

use crate::cluster::AdminError;
use std::process::ExitCode;

/// Exit code of a command that was started and failed.
const EXIT_FAILED: u8 = 1;
/// Exit code for invalid arguments and invalid input files.
const EXIT_INVALID_INPUT: u8 = 2;

/// An error of another package that is only printed, so its type doesn't matter here.
pub type Cause = Box<dyn std::error::Error + Send + Sync>;

/// Why a sub-command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// Reading a file, writing output or starting a server, thread or process failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A system call other than file or socket I/O failed.
    #[error(transparent)]
    System(#[from] rustix::io::Errno),
    /// A result could not be encoded as JSON, or a router's response is not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The admin endpoint of a router could not be reached or gave no usable response.
    #[error(transparent)]
    Admin(#[from] AdminError),
    /// The log output could not be set up.
    #[error(transparent)]
    Logging(#[from] tracing_subscriber::util::TryInitError),
    /// A simulation could not be run to its end.
    #[error("{0}")]
    Simulation(Cause),
    /// A chart of a report or a plan could not be drawn.
    #[error("{0}")]
    Chart(String),
    /// Recordings written by the simulation itself could not be read. Holds one line per error.
    #[error("{}", .0.join("; "))]
    OwnRecording(Vec<String>),
    /// A simulation ran to its end and found violations of its invariants. The printed report lists
    /// them.
    #[error("the simulation violated invariants; the report lists them")]
    RulesBroken,

    /// An input file has errors. Holds one line per error, with the file's name.
    #[error("{}", .0.join("; "))]
    InvalidFile(Vec<String>),
    /// The platform's configuration is given neither by `--config` nor in the environment.
    #[error("no configuration file: give one with --config or in NODE_CONFIG")]
    NoConfiguration,
    /// The platform's configuration is not usable.
    #[error(transparent)]
    InvalidConfiguration(#[from] hollymux_server::config::ConfigError),
    /// The recorded traffic, the cluster description and the options don't allow a plan.
    #[error("{0}")]
    InvalidPlan(Cause),
    /// An option of `simulate cluster` is out of range.
    #[error(
        "out of range: --routers takes 2 to 2000, --loss 0 up to but not including 1, --minutes 0 to 600"
    )]
    MeasurementOutOfRange,
}

impl CommandError {
    /// The lines to print on standard error: one, or one for each error of an input file.
    pub fn lines(&self) -> Vec<String> {
        match self {
            CommandError::InvalidFile(lines) => lines.clone(),
            error => vec![error.to_string()],
        }
    }

    /// The exit code of the program: 2 for invalid input, 1 for other failures.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Io(_)
            | CommandError::System(_)
            | CommandError::Json(_)
            | CommandError::Admin(_)
            | CommandError::Logging(_)
            | CommandError::Simulation(_)
            | CommandError::Chart(_)
            | CommandError::OwnRecording(_)
            | CommandError::RulesBroken => EXIT_FAILED,
            CommandError::InvalidFile(_)
            | CommandError::NoConfiguration
            | CommandError::InvalidConfiguration(_)
            | CommandError::InvalidPlan(_)
            | CommandError::MeasurementOutOfRange => EXIT_INVALID_INPUT,
        })
    }
}
