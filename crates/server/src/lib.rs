//! The server of the request router: event loop, connections, timers, signals, configuration, admin
//! endpoint and the handover between processes. Sockets are used only in this package. The wire
//! formats are defined in `hollymux-protocol`; every routing decision is made in `hollymux-router`.

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
mod read_progress;
mod recording;
mod server;
mod shutdown;
mod signals;
mod sockets;

pub use config::operator_file as operator;
pub use server::Server;
