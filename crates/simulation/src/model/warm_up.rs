//! The warm-up of servers that have just started: their reduced capacity, the load that reaches
//! them, and their overload.

use super::{ServerKind, ServerModel, ServerState, TimedEvent};
use crate::statistics::Samples;
use crate::{Time, MS};
use std::collections::VecDeque;

/// How the capacity of a tier of caches recovers after a start.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// The share of its full capacity that a server has right after its start.
    pub initial_share: f64,
    /// The time after which the server has its full capacity; until then the share grows linearly.
    pub duration: Time,
    /// A server stops when its load exceeds this multiple of its present capacity.
    pub overload_multiple: f64,
}

/// How an edge cache recovers its capacity after a start.
pub const EDGE_CACHE_WARM_UP: WarmUp =
    WarmUp { initial_share: 0.18, duration: 17_000 * MS, overload_multiple: 2.5 };
/// How a parent cache recovers its capacity after a start, from a smaller share than an edge cache.
pub const PARENT_CACHE_WARM_UP: WarmUp =
    WarmUp { initial_share: 0.07, duration: 18_000 * MS, overload_multiple: 2.0 };
/// Window over which the load on a server that warms up is summed.
pub const OVERLOAD_WINDOW: Time = 1_500 * MS;
/// Load that all routers together may put on a server that warms up, as a multiple of its present
/// capacity (docs/design.md).
const BUDGET_MULTIPLE: f64 = 1.2;
/// An overload counts as a violation by the routers if at least this share of the load arrived
/// after all routers knew of the server's start.
const BLAMED_SHARE: f64 = 2.0 / 3.0;
/// Interval at which the capacity of a server that warms up is recalculated.
const WARM_UP_STEP: Time = 250 * MS;
/// Requests of the mean size that a server tolerates above its overload threshold: a few requests
/// alone are never an overload, however small its capacity is.
const TOLERATED_REQUESTS: f64 = 2.0;

/// The tier of a cache: it serves routers' requests or fills other caches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheTier {
    /// Edge caches, to which routers send attempts.
    Edge,
    /// Parent caches, from which edge caches fill their misses.
    Parent,
}

/// One value for edge caches and one for parent caches.
#[derive(Clone, Copy, Debug, Default)]
pub struct PerTier<T> {
    /// The value for edge caches.
    pub edge: T,
    /// The value for parent caches.
    pub parent: T,
}

impl<T> PerTier<T> {
    /// Returns the value that belongs to `tier`, for modification.
    pub fn get_mut(&mut self, tier: CacheTier) -> &mut T {
        match tier {
            CacheTier::Edge => &mut self.edge,
            CacheTier::Parent => &mut self.parent,
        }
    }
}

/// The recent load on a server that warms up.
#[derive(Debug, Default)]
pub(super) struct WarmUpLoad {
    arrivals: VecDeque<LoadArrival>,
}

#[derive(Debug)]
struct LoadArrival {
    at: Time,
    bytes: f64,
}

impl WarmUpLoad {
    /// Records an arrival and drops those that are older than the window.
    fn add(&mut self, now: Time, bytes: f64) {
        self.arrivals.push_back(LoadArrival { at: now, bytes });
        while self.arrivals.front().is_some_and(|arrival| arrival.at + OVERLOAD_WINDOW < now) {
            self.arrivals.pop_front();
        }
    }

    /// Bytes that arrived at `from` or later.
    fn since(&self, from: Time) -> f64 {
        self.arrivals.iter().filter(|arrival| arrival.at >= from).map(|arrival| arrival.bytes).sum()
    }

    /// Bytes that arrived within the window that ends now.
    fn within_window(&self, now: Time) -> f64 {
        let within = |arrival: &&LoadArrival| arrival.at + OVERLOAD_WINDOW >= now;
        self.arrivals.iter().filter(within).map(|arrival| arrival.bytes).sum()
    }

    /// Drops all arrivals, as at a new start.
    pub(super) fn clear(&mut self) {
        self.arrivals.clear();
    }
}

/// The state of a server's warm-up at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct WarmUpProgress {
    /// The share of its full capacity that the server has now.
    share: f64,
    overload_multiple: f64,
    tier: CacheTier,
}

/// Bytes that all routers together may send within one window to a server with this share of its
/// capacity.
fn window_budget(share: f64, bytes_per_s: f64) -> f64 {
    window_bytes(BUDGET_MULTIPLE * share, bytes_per_s)
}

/// Bytes within one window at a multiple of a rate.
fn window_bytes(multiple: f64, bytes_per_s: f64) -> f64 {
    multiple * bytes_per_s * OVERLOAD_WINDOW as f64 / 1e6
}

impl ServerModel {
    /// The state of a server's warm-up; `None` if it is warm. The origin is always warm.
    fn warm_up_progress(&self, server: usize) -> Option<WarmUpProgress> {
        let listed = &self.servers[server];
        let (warm_up, tier) = match listed.kind {
            ServerKind::EdgeCache(_) => (EDGE_CACHE_WARM_UP, CacheTier::Edge),
            ServerKind::ParentCache(_) => (PARENT_CACHE_WARM_UP, CacheTier::Parent),
            ServerKind::Origin => return None,
        };
        let age = self.now.saturating_sub(listed.started);
        if listed.started == 0 || age >= warm_up.duration {
            return None;
        }
        let initial = warm_up.initial_share;
        let share = initial + (1.0 - initial) * age as f64 / warm_up.duration as f64;
        Some(WarmUpProgress { share, overload_multiple: warm_up.overload_multiple, tier })
    }

    /// Adds a request to the load of a server that warms up, and stops the server if that overloads
    /// it.
    pub(super) fn add_warm_up_load(&mut self, server: usize, class: usize) {
        let Some(progress) = self.warm_up_progress(server) else { return };
        if self.servers[server].state != ServerState::Up {
            return;
        }
        let request_bytes = self.scenario.classes[class].mean_bytes;
        let now = self.now;
        let runtime = &mut self.runtimes[server];
        runtime.warm_up_load.add(now, request_bytes);
        let load = runtime.warm_up_load.since(0);
        let capacity = runtime.bytes_per_s;
        let overload_threshold = window_bytes(progress.overload_multiple * progress.share, capacity);
        let relative_load = load / window_budget(progress.share, capacity);
        self.warm_up_use.get_mut(progress.tier).raise_peak(relative_load);
        if load > overload_threshold + TOLERATED_REQUESTS * request_bytes {
            self.stop_overloaded(server, load);
        }
    }

    /// Stops a server that was overloaded while it warmed up, and records whether the routers
    /// caused it.
    fn stop_overloaded(&mut self, server: usize, load: f64) {
        let known_from = self.start_known_at.get(&server).copied().unwrap_or(Time::MAX);
        let load_after_known = self.runtimes[server].warm_up_load.since(known_from);
        if load_after_known >= BLAMED_SHARE * load {
            self.violate("cold server pushed over");
        } else {
            self.overloads_before_known += 1;
        }
        self.stop(server, ServerState::Down);
    }

    /// Sets the rate of a server's outgoing link by its warm-up and by `slow` faults.
    pub(super) fn adjust_capacity(&mut self, server: usize) {
        let share = self.warm_up_progress(server).map_or(1.0, |progress| progress.share);
        let now = self.now;
        let runtime = &mut self.runtimes[server];
        let capacity = runtime.bytes_per_s * runtime.slow_factor * share;
        runtime.outgoing_link.link.set_capacity(now, capacity);
        self.reschedule_link(super::LinkId::ServerOut(server));
        if share < 1.0 {
            self.sample_warm_up_load(server, share);
            self.schedule(self.now + WARM_UP_STEP, TimedEvent::WarmUpStep(server));
        }
    }

    /// Samples the load on a server that warms up, relative to its budget.
    fn sample_warm_up_load(&mut self, server: usize, share: f64) {
        let runtime = &self.runtimes[server];
        let budget = window_budget(share, runtime.bytes_per_s);
        let relative_load = runtime.warm_up_load.within_window(self.now) / budget;
        let tier = match self.servers[server].kind {
            ServerKind::ParentCache(_) => CacheTier::Parent,
            ServerKind::EdgeCache(_) | ServerKind::Origin => CacheTier::Edge,
        };
        let samples: &mut Samples = self.warm_up_use.get_mut(tier);
        samples.add(relative_load);
    }
}
