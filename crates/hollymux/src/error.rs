//! Why a command failed, and the exit code that scripts go by. This is the only place that maps one
//! to the other.

use crate::cluster::AdminError;
use std::process::ExitCode;

/// Exit code of a command that ran and failed.
const EXIT_FAILED: u8 = 1;
/// Exit code for invalid arguments or invalid input.
const EXIT_INVALID_INPUT: u8 = 2;

/// An error of another package, of which only the text is needed here.
pub type Cause = Box<dyn std::error::Error + Send + Sync>;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// Reading, writing or starting something failed while the command ran.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A system call other than reading or writing failed.
    #[error(transparent)]
    System(#[from] rustix::io::Errno),
    /// The result can't be written as JSON, or an answer is no JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The admin endpoint of a router gave no usable answer.
    #[error(transparent)]
    Admin(#[from] AdminError),
    /// Logging could not be started.
    #[error(transparent)]
    Logging(#[from] tracing_subscriber::util::TryInitError),
    /// A simulation could not be run to its end.
    #[error("{0}")]
    Simulation(Cause),
    /// A chart could not be drawn.
    #[error("{0}")]
    Chart(String),
    /// Recordings that the program itself has just made can't be read: a line each.
    #[error("{}", .0.join("; "))]
    OwnRecording(Vec<String>),
    /// A simulation ran to its end, and rules that must always hold were broken; its report names
    /// them.
    #[error("rules were broken")]
    RulesBroken,

    /// A file that was given has errors: a line each.
    #[error("{}", .0.join("; "))]
    InvalidFile(Vec<String>),
    /// Neither `--config` nor the environment names the platform's configuration.
    #[error("NODE_CONFIG names no configuration")]
    NoConfiguration,
    /// The platform's configuration can't be used.
    #[error(transparent)]
    InvalidConfiguration(#[from] hollymux_server::config::ConfigError),
    /// No plan can be made from the recorded traffic, the cluster and the question.
    #[error("{0}")]
    InvalidPlan(Cause),
    /// Options of a measurement are out of range.
    #[error("2 to 2000 routers, a loss of 0 to 1 and 0 to 600 minutes can be measured")]
    MeasurementOutOfRange,
}

impl CommandError {
    /// What to print: one line, or a line for each error of a file.
    pub fn lines(&self) -> Vec<String> {
        match self {
            CommandError::InvalidFile(lines) => lines.clone(),
            error => vec![error.to_string()],
        }
    }

    /// The exit code that scripts go by.
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
