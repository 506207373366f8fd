//! Adapter that runs decision modules under the simulator's binary protocol.
//!
//! The simulator sends batches of events for any number of routers (instances), and the adapter
//! replies with the actions of their decision modules. This package only translates between the
//! protocol and the types of `hollymux_decision`, which makes the decisions.

pub mod adapter;
pub mod protocol;
