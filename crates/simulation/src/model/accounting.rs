//! Use of the model's resources between the end of the warm-up and the end of the load.

use super::{ServerKind, ServerModel, ServerRuntime};
use crate::scenario::Site;
use crate::time::as_seconds;
use crate::Time;

/// How much of one resource was used.
#[derive(Clone, Debug)]
pub struct ResourceUse {
    /// The name of the resource, which starts with that of its server or site.
    pub name: String,
    /// The share of its capacity that was used while accounting ran, usually from 0 to 1. For fills
    /// it is the peak number of concurrent fills over the maximum number.
    pub share: f64,
    /// The bytes that a link carried; `None` for other resources.
    pub bytes: Option<f64>,
}

/// The figures at the end of accounting.
#[derive(Debug)]
pub(super) struct FinalUse {
    resources: Vec<ResourceUse>,
    filled_bytes: f64,
}

impl ServerModel {
    /// Starts accounting: what was used before `now` is left out of all figures.
    pub fn start_accounting(&mut self, now: Time) {
        self.accounting_since = now;
        self.advance_links();
        for runtime in &mut self.runtimes {
            runtime.outgoing_link.carried_before_accounting = runtime.outgoing_link.link.carried();
            runtime.work_before_accounting = runtime.work_done;
        }
        for site_link in &mut self.site_links {
            site_link.carried_before_accounting = site_link.link.carried();
        }
    }

    /// Ends accounting and keeps its figures: what is used from now on is left out.
    pub fn stop_accounting(&mut self) {
        self.advance_links();
        let resources = self.resource_use();
        let filled_bytes = self.filled_bytes();
        self.final_use = Some(FinalUse { resources, filled_bytes });
    }

    /// Adds resources that were measured outside the model, such as the routers' processor cores.
    /// Has no effect before accounting has ended.
    pub fn add_resource_use(&mut self, more: Vec<ResourceUse>) {
        if let Some(final_use) = &mut self.final_use {
            final_use.resources.extend(more);
        }
    }

    /// The use of each resource from the start of accounting until its end, or until now if it
    /// still runs.
    pub fn resource_use(&self) -> Vec<ResourceUse> {
        if let Some(final_use) = &self.final_use {
            return final_use.resources.clone();
        }
        let seconds = as_seconds(self.now.saturating_sub(self.accounting_since).max(1));
        let mut resources = Vec::new();
        for (server, runtime) in self.servers.iter().zip(&self.runtimes) {
            let bytes = runtime.outgoing_link.carried();
            let share = bytes / (runtime.bytes_per_s * seconds);
            let name = format!("{} link out", server.name);
            resources.push(ResourceUse { name, share, bytes: Some(bytes) });
            resources.extend(worker_use(&server.name, server.kind, runtime, seconds));
            resources.extend(fill_use(&server.name, runtime));
        }
        let site_links = self.scenario.sites.iter().zip(&self.site_links);
        resources.extend(site_links.map(|(site, link)| self.site_link_use(site, link.carried(), seconds)));
        resources
    }

    fn site_link_use(&self, site: &Site, bytes: f64, seconds: f64) -> ResourceUse {
        let rate = site.link_in_flows * self.scenario.flow_bytes_per_s;
        let name = format!("{} link in", site.name);
        ResourceUse { name, share: bytes / (rate * seconds), bytes: Some(bytes) }
    }

    /// Bytes that the incoming links of all sites carried since accounting started.
    pub fn filled_bytes(&self) -> f64 {
        match &self.final_use {
            Some(final_use) => final_use.filled_bytes,
            None => self.site_links.iter().map(|link| link.carried()).sum(),
        }
    }

    /// The number of requests that each server rejected since the start of the run; servers that
    /// rejected none are left out.
    pub fn rejected_by_server(&self) -> Vec<(String, u64)> {
        let all = self.servers.iter().zip(&self.runtimes);
        let rejecting = all.filter(|(_, runtime)| runtime.rejected > 0);
        rejecting.map(|(server, runtime)| (server.name.clone(), runtime.rejected)).collect()
    }

    /// Updates the byte counts of all links to the present.
    fn advance_links(&mut self) {
        let outgoing = self.runtimes.iter_mut().map(|runtime| &mut runtime.outgoing_link);
        outgoing.chain(&mut self.site_links).for_each(|link| link.link.advance(self.now));
    }
}

/// The use of an edge cache's cores or of the origin's workers; `None` for parent caches, whose
/// cores are never the bottleneck.
fn worker_use(name: &str, kind: ServerKind, runtime: &ServerRuntime, seconds: f64) -> Option<ResourceUse> {
    let resource = match kind {
        ServerKind::EdgeCache(_) => "cores",
        ServerKind::Origin => "workers",
        ServerKind::ParentCache(_) => return None,
    };
    let busy_seconds = (runtime.work_done - runtime.work_before_accounting) / 1e6;
    let share = busy_seconds / (runtime.workers as f64 * seconds);
    Some(ResourceUse { name: format!("{name} {resource}"), share, bytes: None })
}

/// The peak number of concurrent fills over the maximum number; `None` for the origin, which fills
/// nothing.
fn fill_use(name: &str, runtime: &ServerRuntime) -> Option<ResourceUse> {
    if runtime.max_fills == 0 {
        return None;
    }
    let share = runtime.peak_fills as f64 / runtime.max_fills as f64;
    Some(ResourceUse { name: format!("{name} fill places (most)"), share, bytes: None })
}
