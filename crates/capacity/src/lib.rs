//! Capacity planning: recorded load and a description of the fleet in, out comes what breaks first, how many boxes a
//! goal needs, and what losses do, with how sure each figure is. No I/O, no clock; nothing here comes from the
//! laboratory, whose fleets its predictions are checked on.

pub mod answer;
pub mod fit;
pub mod fleet;
pub mod keep;
pub mod link;
pub mod net;
pub mod place;
pub mod plan;
pub mod replay;
pub mod reuse;
pub mod sure;
pub mod trace;

pub use answer::Answer;
pub use fleet::Fleet;
pub use plan::{plan, Question};

/// Why there is no plan. One line each.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// Nothing was recorded.
    #[error("the recording holds no request")]
    Empty,
    /// The rate of a flow is not in it.
    #[error("the recording says nothing of the rate of a transfer, which sizes of links are measured by")]
    Flow,
    /// Something that can't be.
    #[error("{0}")]
    Contradiction(String),
    /// Something that nobody told.
    #[error("{0}")]
    Unknown(String),
    /// A question that can't be asked.
    #[error("{0}")]
    Question(String),
}
