//! Capacity planning from recorded traffic. The input is a recording and a description of the
//! fleet. The output lists the resources that saturate first, the number of edge caches that a goal
//! needs, and the effect of losing endpoints, with confidence intervals where the recording is long
//! enough for them.
//!
//! The crate does no I/O and reads no clock. It shares only file formats with the simulator that
//! its predictions are checked against. docs/capacity.md describes the model.

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
