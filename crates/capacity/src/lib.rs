//! Capacity planning from recorded traffic. Input: a recording and a description of the fleet.
//! Output: what breaks first, how many edge caches a goal needs, and what losses of endpoints do,
//! with a confidence interval for each figure.
//!
//! The crate has no I/O and no clock, and shares nothing but file formats with the simulated fleets
//! that its predictions are checked on. docs/capacity.md describes the model.

pub mod calibration;
pub mod confidence;
pub mod error;
pub mod eviction;
pub mod fleet;
pub mod network;
pub mod placement;
pub mod plan;
pub mod queueing_theory;
pub mod replay;
pub mod replication;
pub mod report;
pub mod reuse_distance;
pub mod shared_link;
pub mod trace;
pub mod worker_pool;

pub use error::PlanError;
pub use fleet::Fleet;
pub use plan::{plan, PlanOptions};
pub use report::CapacityPlan;
