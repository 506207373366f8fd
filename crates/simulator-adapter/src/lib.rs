//! Decision modules of many routers on the simulator's protocol: frames of events in, frames of
//! actions out. This package translates only; the decisions are in `hollymux_decision`.

pub mod adapter;
pub mod protocol;
