//! The request router on its sockets: event loop, connections, timers, signals, configuration,
//! admin endpoint and the handover between processes. This is the only package that touches
//! sockets. What bytes mean is defined in `hollymux-protocol`; every routing decision is made by
//! `hollymux-router`.

mod admin;
mod clients;
mod clock;
mod cluster;
pub mod config;
mod dns;
mod endpoints;
mod event_loop;
mod execute;
mod feed;
mod handover;
mod housekeeping;
mod recording;
mod server;
mod shutdown;
mod signals;
mod sockets;

pub use config::operator_file as operator;
pub use server::Server;
