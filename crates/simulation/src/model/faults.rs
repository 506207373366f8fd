//! Effects of the scenario's faults on servers: starts, stops, drains, slow links and purges.

use super::fills::Fill;
use super::{ListedState, ModelEvent, ServerKind, ServerModel, ServerState, TimedEvent};
use crate::lru_cache::LruCache;
use crate::objects::Purge;
use crate::scenario::{FaultKind, FaultPhase};
use crate::time::from_seconds;
use crate::{Time, SEC};
use rand::Rng;

/// Time after which every cache has dropped the copies that a purge covers.
pub const PURGE_COMPLETION: Time = 6 * SEC;
/// Time for which a purge is remembered, to check answers and fills against it.
const PURGE_MEMORY: Time = 60 * SEC;
/// Smallest share of its rate that a slow server keeps: on a link with rate 0 no transfer would
/// ever end.
const MIN_SLOW_FACTOR: f64 = 0.001;

impl ServerModel {
    pub(super) fn on_fault(&mut self, index: usize, phase: FaultPhase) {
        let fault = self.scenario.faults[index].kind.clone();
        let Some(server) = fault.server().and_then(|name| self.server_by_name(name)) else { return };
        match (fault, phase) {
            (FaultKind::Crash { .. }, FaultPhase::Begin) => self.stop(server, ServerState::Down),
            (FaultKind::Crash { .. }, FaultPhase::End) => self.start(server),
            (FaultKind::Replace { .. }, FaultPhase::Begin) => self.replace(server, index),
            (FaultKind::Drain { .. }, FaultPhase::Begin) => {
                self.draining.insert(server, Time::MAX);
                self.publish(server, ListedState::Draining);
            }
            (FaultKind::Drain { .. }, FaultPhase::End) => {
                self.stop(server, ServerState::Down);
                self.publish(server, ListedState::Gone);
            }
            (FaultKind::Slow { rate_share, .. }, FaultPhase::Begin) => {
                self.slow_down(server, rate_share.max(MIN_SLOW_FACTOR));
            }
            (FaultKind::Slow { .. }, FaultPhase::End) => self.slow_down(server, 1.0),
            (FaultKind::Unreachable { .. }, FaultPhase::Begin) => {
                self.stop(server, ServerState::Unreachable);
            }
            (FaultKind::Unreachable { .. }, FaultPhase::End) => self.set_state(server, ServerState::Up),
            // A replacement has no end, and the other faults do not affect servers.
            _ => {}
        }
    }

    fn server_by_name(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|server| server.name == name)
    }

    fn set_state(&mut self, server: usize, state: ServerState) {
        self.servers[server].state = state;
        self.events.push(ModelEvent::StateChanged { server, state });
    }

    /// Reports a change of the server's entry in the endpoint list to the driver.
    fn publish(&mut self, server: usize, state: ListedState) {
        let listed = Box::new(self.servers[server].clone());
        self.events.push(ModelEvent::EndpointChanged { server, listed, state });
    }

    fn slow_down(&mut self, server: usize, factor: f64) {
        self.runtimes[server].slow_factor = factor;
        self.adjust_capacity(server);
    }

    /// Stops a server, or makes it unreachable.
    pub(super) fn stop(&mut self, server: usize, state: ServerState) {
        self.set_state(server, state);
        // An unreachable server continues to process the requests that it has accepted.
        if state != ServerState::Unreachable {
            self.drop_all_work(server);
        }
    }

    /// Drops everything that a server was doing, without answers.
    fn drop_all_work(&mut self, server: usize) {
        self.runtimes[server].incarnation += 1;
        // The ids are sorted because the order of a `HashMap` differs from run to run, and the same
        // seed must give the same run.
        let at_server = self.requests.iter().filter(|(_, request)| request.server == server);
        let mut requests: Vec<u64> = at_server.map(|(id, _)| *id).collect();
        requests.sort_unstable();
        for id in requests {
            if let Some(request) = self.requests.remove(&id) {
                self.release(request);
            }
        }
        let involved = |fill: &Fill| fill.involves(server);
        let mut fills: Vec<u64> =
            self.fills.iter().filter(|(_, fill)| involved(fill)).map(|(id, _)| *id).collect();
        fills.sort_unstable();
        fills.into_iter().for_each(|id| self.end_fill(id, false));
        let runtime = &mut self.runtimes[server];
        runtime.requests = 0;
        runtime.busy_workers = 0;
        runtime.queue.clear();
        runtime.warm_up_load.clear();
    }

    /// Starts a server with an empty cache; edge caches and parent caches then warm up.
    fn start(&mut self, server: usize) {
        let kind = self.servers[server].kind;
        let cache_bytes = match kind {
            ServerKind::EdgeCache(site) => self.scenario.sites[site].cache_bytes,
            ServerKind::ParentCache(parent) => self.scenario.parent_caches[parent].cache_bytes,
            ServerKind::Origin => 0,
        };
        self.runtimes[server].cache = LruCache::new(cache_bytes);
        if kind != ServerKind::Origin {
            self.servers[server].started = self.now;
        }
        self.draining.remove(&server);
        self.start_known_at.remove(&server);
        self.set_state(server, ServerState::Up);
        self.publish(server, ListedState::Ready);
        self.adjust_capacity(server);
    }

    /// Stops a server and starts another one at its address, under a uid that no earlier server
    /// had.
    fn replace(&mut self, server: usize, fault: usize) {
        self.stop(server, ServerState::Down);
        self.publish(server, ListedState::Gone);
        let replaced = &mut self.servers[server];
        replaced.uid = format!("{}+{fault}", replaced.uid);
        self.start(server);
    }

    /// Records that from `at` on every router knows a change of the server's entry in the endpoint
    /// list.
    pub fn endpoint_known_at(&mut self, server: usize, state: ListedState, at: Time) {
        match state {
            ListedState::Draining => {
                self.draining.entry(server).and_modify(|known_at| *known_at = at);
            }
            ListedState::Ready => {
                self.start_known_at.insert(server, at);
            }
            ListedState::Gone => {}
        }
    }

    /// Issues a purge of an object that was requested recently, and schedules the next purge.
    pub(super) fn order_purge(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.scenario.purges_per_s;
        self.schedule(self.now + from_seconds(gap), TimedEvent::OrderPurge);
        if self.recent_objects.is_empty() {
            return;
        }
        let chosen = self.rng.random_range(0..self.recent_objects.len());
        let recent = self.recent_objects[chosen];
        let now = self.now;
        let purge = Purge { at: now, object: Some(recent.object), group: recent.group };
        self.purges.push(purge);
        self.purges.retain(|purge| purge.at + PURGE_MEMORY > now);
        self.events.push(ModelEvent::Purged(purge));
        for server in 0..self.origin() {
            let delay = self.rng.random_range(0..PURGE_COMPLETION);
            self.schedule(now + delay, TimedEvent::PurgeArrives { server, purge });
        }
    }
}
