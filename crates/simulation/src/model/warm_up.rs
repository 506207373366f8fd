//! Servers that have just started: their reduced capacity, how much load reaches them, and what
//! overloads them.

use super::{ServerKind, ServerModel, ServerState, TimedEvent};
use crate::statistics::Samples;
use crate::{Time, MS};
use std::collections::VecDeque;

/// How servers of one kind warm up after a start.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// The share of its capacity that a server has when it starts.
    pub initial_share: f64,
    /// The time until it has all of it; the share grows linearly.
    pub duration: Time,
    /// Load above this multiple of its present capacity makes it fall over.
    pub overload_multiple: f64,
}

/// The warm-up of edge caches.
pub const EDGE_CACHE_WARM_UP: WarmUp =
    WarmUp { initial_share: 0.18, duration: 17_000 * MS, overload_multiple: 2.5 };
/// The warm-up of parent caches.
pub const PARENT_CACHE_WARM_UP: WarmUp =
    WarmUp { initial_share: 0.07, duration: 18_000 * MS, overload_multiple: 2.0 };
/// The window over which load on a server that warms up is added up.
pub const OVERLOAD_WINDOW: Time = 1_500 * MS;
/// What all routers together may send to a server that warms up, as a multiple of its present
/// capacity (docs/design.md).
const BUDGET_MULTIPLE: f64 = 1.2;
/// The routers are to blame for a fall if this part of the load came from after they all knew of
/// the start.
const BLAMED_PART: f64 = 2.0 / 3.0;
/// The capacity of a server that warms up is adjusted this often.
const WARM_UP_STEP: Time = 250 * MS;
/// So many requests of the mean size are never an overload by themselves.
const TOLERATED_REQUESTS: f64 = 2.0;

/// Caches by the level they stand at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheTier {
    /// Edge caches.
    Edge,
    /// Parent caches.
    Parent,
}

/// One value for each tier of caches.
#[derive(Clone, Copy, Debug, Default)]
pub struct PerTier<T> {
    /// That of edge caches.
    pub edge: T,
    /// That of parent caches.
    pub parent: T,
}

impl<T> PerTier<T> {
    /// The value of one tier.
    pub fn get_mut(&mut self, tier: CacheTier) -> &mut T {
        match tier {
            CacheTier::Edge => &mut self.edge,
            CacheTier::Parent => &mut self.parent,
        }
    }
}

/// Load that reached a server while it warmed up.
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
    /// Adds an arrival and forgets those that have left the window.
    fn add(&mut self, now: Time, bytes: f64) {
        self.arrivals.push_back(LoadArrival { at: now, bytes });
        while self.arrivals.front().is_some_and(|arrival| arrival.at + OVERLOAD_WINDOW < now) {
            self.arrivals.pop_front();
        }
    }

    /// Bytes that arrived at that time or later.
    fn since(&self, from: Time) -> f64 {
        self.arrivals.iter().filter(|arrival| arrival.at >= from).map(|arrival| arrival.bytes).sum()
    }

    /// Bytes that arrived within the window.
    fn lately(&self, now: Time) -> f64 {
        let within = |arrival: &&LoadArrival| arrival.at + OVERLOAD_WINDOW >= now;
        self.arrivals.iter().filter(within).map(|arrival| arrival.bytes).sum()
    }

    /// Forgets everything, as at a new start.
    pub(super) fn clear(&mut self) {
        self.arrivals.clear();
    }
}

/// A server's present warm-up.
#[derive(Clone, Copy, Debug)]
pub(super) struct WarmUpProgress {
    /// The share of its capacity that it has now.
    share: f64,
    overload_multiple: f64,
    tier: CacheTier,
}

/// Bytes within a window that all routers together may send to a server of that capacity.
fn window_budget(share: f64, bytes_per_s: f64) -> f64 {
    window_bytes(BUDGET_MULTIPLE * share, bytes_per_s)
}

/// Bytes within a window at that multiple of a rate.
fn window_bytes(multiple: f64, bytes_per_s: f64) -> f64 {
    multiple * bytes_per_s * OVERLOAD_WINDOW as f64 / 1e6
}

impl ServerModel {
    /// How far a server has warmed up; none if it is warm.
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

    /// Counts a request that reaches a server; too many make one that warms up fall over.
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
        let bearable = window_bytes(progress.overload_multiple * progress.share, capacity);
        let relative_load = load / window_budget(progress.share, capacity);
        self.warm_up_use.get_mut(progress.tier).raise_peak(relative_load);
        if load > bearable + TOLERATED_REQUESTS * request_bytes {
            self.overload_fall(server, load);
        }
    }

    /// A server that warms up falls over under so much load.
    fn overload_fall(&mut self, server: usize, load: f64) {
        let known_from = self.start_known_at.get(&server).copied().unwrap_or(Time::MAX);
        let load_of_knowing = self.runtimes[server].warm_up_load.since(known_from);
        if load_of_knowing >= BLAMED_PART * load {
            self.violate("cold server pushed over");
        } else {
            self.falls_before_known += 1;
        }
        self.stop(server, ServerState::Down);
    }

    /// Adjusts a server's capacity to its warm-up and slowness.
    pub(super) fn adjust_capacity(&mut self, server: usize) {
        let share = self.warm_up_progress(server).map_or(1.0, |progress| progress.share);
        let now = self.now;
        let runtime = &mut self.runtimes[server];
        let capacity = runtime.bytes_per_s * runtime.slow_factor * share;
        runtime.out.link.set_capacity(now, capacity);
        self.reschedule_link(super::LinkId::ServerOut(server));
        if share < 1.0 {
            self.sample_warm_up_load(server, share);
            self.schedule(self.now + WARM_UP_STEP, TimedEvent::WarmUpStep(server));
        }
    }

    /// Takes a sample of how much of its budget is sent to a server that warms up.
    fn sample_warm_up_load(&mut self, server: usize, share: f64) {
        let runtime = &self.runtimes[server];
        let budget = window_budget(share, runtime.bytes_per_s);
        let relative_load = runtime.warm_up_load.lately(self.now) / budget;
        let tier = match self.servers[server].kind {
            ServerKind::ParentCache(_) => CacheTier::Parent,
            ServerKind::EdgeCache(_) | ServerKind::Origin => CacheTier::Edge,
        };
        let samples: &mut Samples = self.warm_up_use.get_mut(tier);
        samples.add(relative_load);
    }
}
