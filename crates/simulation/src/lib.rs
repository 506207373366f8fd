//! The laboratory: stand-in fleets, load and faults for the request router. One fleet model is played in two ways:
//! on real sockets against real router processes ([`multi_process`]), and in virtual time round the routers' cores
//! ([`virtual_time`]). It shares nothing with the planner but file formats.

pub mod cluster;
pub mod cluster_benchmark;
pub mod cluster_report;
pub mod load;
pub mod lru_cache;
pub mod model;
pub mod multi_process;
pub mod relay;
pub mod report;
pub mod router_config;
pub mod scenario;
pub mod shared_link;
pub mod sweep;
pub mod virtual_time;

use model::secs;
use scenario::{FaultKind, Scenario};

/// Microseconds: a point in time on the clock of whoever gives it, or a span of time.
pub type Time = u64;
/// A millisecond as a [`Time`].
pub const MS: Time = 1_000;
/// A second as a [`Time`].
pub const SEC: Time = 1_000_000;

/// How long news of members takes now, so long after the day's start.
fn news_lag(day: &Scenario, since: Time) -> Time {
    let late =
        day.faults_at(since as f64 / 1e6)
            .map(|f| if let FaultKind::Late { by_ms } = f { *by_ms } else { 0.0 });
    secs((day.roster_lag_ms + late.sum::<f64>()) / 1e3)
}

/// An event of the control feed that tells of a purge.
fn purge_event(n: u64, object: Option<u64>, group: u32, at: Time) -> String {
    let key = object.map(|o| format!("\"key\":\"{o:016x}\",")).unwrap_or_default();
    format!("{{\"n\":{n},\"purge\":{{{key}\"group\":{group},\"at\":{}}}}}", at / 1_000)
}
