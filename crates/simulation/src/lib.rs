//! Simulation of a cache network around the request router: stand-in servers, load and faults. One
//! model of the servers ([`model`]) and one of the clients ([`load`]) are used by two drivers: one
//! on real sockets with real router processes ([`multi_process`]), one in virtual time with the
//! routers' sans-I/O cores ([`virtual_time`]). The package shares only file formats with the
//! capacity planner, no code.

pub mod cluster;
pub mod cluster_benchmark;
pub mod cluster_report;
pub mod endpoint_feed;
pub mod event_queue;
pub mod link_fault;
pub mod load;
pub mod lru_cache;
pub mod model;
pub mod multi_process;
pub mod objects;
pub mod relay;
pub mod report;
pub mod router_config;
pub mod router_faults;
pub mod run_result;
pub mod scenario;
pub mod shared_link;
pub mod statistics;
pub mod sweep;
pub mod time;
pub mod virtual_time;

pub use time::{Time, MS, SEC};
