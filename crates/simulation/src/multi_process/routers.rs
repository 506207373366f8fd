//! The router processes of a run: their configuration, the faults that affect them, and their views
//! of each other.

use super::router_process::{cluster_status, RouterFiles, RouterProcess};
use super::{Driver, MultiProcessError};
use crate::cluster::DEFAULT_SEEDS;
use crate::cluster_report::FailureReport;
use crate::router_config::{router_config, router_slots};
use crate::router_faults::{last_router_fault_end, link_faults, router_indices};
use crate::scenario::{FaultKind, FaultPhase, FaultStep};
use crate::time::as_seconds;
use crate::{Time, MS};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Interval between two comparisons of the routers' views.
const VIEW_CHECK_INTERVAL: Time = 200 * MS;

impl Driver {
    /// Starts a router's process with its present configuration.
    pub(super) fn start_router(&self, index: usize) -> Result<RouterProcess, MultiProcessError> {
        let slot = router_slots(&self.scenario)[index];
        let feed = self.feed.addresses[index];
        let mut config = router_config(&self.scenario, &self.model, slot, self.seed, feed, &self.endpoints);
        if self.relay.is_some() {
            config["operator"] = "127.0.0.1:0".into();
        }
        let cluster_section = self.cluster_section(index);
        let files = RouterFiles { index, config: config.to_string(), cluster_section };
        let router = RouterProcess::start(&self.options, &files, self.failure_log.clone())?;
        if let (Some(relay), Some(address)) = (&self.relay, router.cluster) {
            relay.set_destination(index, address);
        }
        Ok(router)
    }

    /// The cluster section of a router's operator's file; null if the routers form no cluster.
    fn cluster_section(&self, index: usize) -> Value {
        let Some(relay) = &self.relay else { return Value::Null };
        let seeds: Vec<String> =
            relay.addresses.iter().take(DEFAULT_SEEDS).map(SocketAddr::to_string).collect();
        let advertised = relay.addresses[index].to_string();
        let mut section =
            json!({"name": "lab", "listen": "127.0.0.1:0", "seeds": seeds, "advertise": advertised});
        if self.scenario.leased_quotas {
            section["limits"] = json!({});
        }
        section
    }

    pub(super) fn apply_due_faults(&mut self) -> Result<(), MultiProcessError> {
        while let Some((_, step)) = self.faults.pop_due(self.now) {
            self.apply_fault(step)?;
        }
        Ok(())
    }

    fn apply_fault(&mut self, step: FaultStep) -> Result<(), MultiProcessError> {
        let kind = self.scenario.faults[step.index].kind.clone();
        let begins = step.phase == FaultPhase::Begin;
        if let Some(relay) = &self.relay {
            for group in link_faults(&self.scenario, &kind) {
                let fault = if begins { group.fault } else { Default::default() };
                relay.set_link_fault(&group.from, &group.to, fault);
            }
        }
        match (kind, step.phase) {
            (FaultKind::Kill { routers }, FaultPhase::Begin) => {
                for router in router_indices(&routers) {
                    self.routers[router].killed = true;
                    self.routers[router].signal(Signal::KILL);
                }
            }
            (FaultKind::Kill { routers }, FaultPhase::End) => {
                for router in router_indices(&routers) {
                    self.routers[router] = self.start_router(router)?;
                }
            }
            (FaultKind::Pause { routers }, FaultPhase::Begin) => self.signal(&routers, Signal::STOP),
            (FaultKind::Pause { routers }, FaultPhase::End) => self.signal(&routers, Signal::CONT),
            _ => {}
        }
        Ok(())
    }

    /// Sends a signal to the routers with these numbers in the scenario.
    fn signal(&self, routers: &[usize], signal: Signal) {
        router_indices(routers).into_iter().for_each(|router| self.routers[router].signal(signal));
    }

    /// Records when all running routers first hold the same view after the last fault.
    pub(super) fn check_convergence(&mut self) {
        let since_start_s = as_seconds(self.now - self.start);
        let faults_over = since_start_s > last_router_fault_end(&self.scenario);
        let check_pending = self.relay.is_some() && faults_over && self.views.converged_at_s.is_none();
        if !check_pending || self.now < self.views_checked + VIEW_CHECK_INTERVAL {
            return;
        }
        self.views_checked = self.now;
        if self.routers_agree() {
            self.views.converged_at_s = Some(since_start_s);
        }
    }

    /// Whether the admin endpoints of all running routers answer with the same view, in which as
    /// many routers as run are reachable.
    fn routers_agree(&self) -> bool {
        let running = self.routers.iter().filter(|router| !router.killed);
        let admins: Vec<SocketAddr> = running.filter_map(|router| router.admin).collect();
        let statuses: Option<Vec<Value>> = admins.iter().map(|admin| cluster_status(*admin)).collect();
        let Some(statuses) = statuses else { return false };
        let is_complete = |status: &Value| status["reachable"].as_u64() >= Some(admins.len() as u64);
        let same_view = |pair: &[Value]| pair[0]["digest"] == pair[1]["digest"];
        statuses.iter().all(is_complete) && statuses.windows(2).all(same_view)
    }

    /// Collects the failed routers that the logs report, and the bytes that the routers sent to
    /// each other.
    pub(super) fn collect_view_observations(&mut self) {
        let Some(relay) = &self.relay else { return };
        for line in self.failure_log.take() {
            let at_s = line.at.saturating_duration_since(self.started).as_secs_f64();
            let lost = relay.addresses.iter().position(|address| line.names(*address));
            self.views.failure_reports.extend(lost.map(|of| FailureReport { at_s, by: line.by, of }));
        }
        let routers = 0..self.scenario.router_count();
        self.views.bytes = routers.map(|router| relay.sent_by(router).bytes).sum();
    }
}
