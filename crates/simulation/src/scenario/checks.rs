//! Checks of a scenario that go beyond the types of its fields. Errors name fields by their keys in
//! the file.

use super::{Fault, FaultKind, ParentCache, RequestClass, Scenario, Site, ORIGIN_NAME};
use hollymux_config_file::{Check, Faults};
use std::collections::BTreeSet;

/// Longest run, in seconds; it also limits runs on sockets, which take real time.
const MAX_SECONDS: f64 = 3_600.0;
/// Highest rate of first attempts per second; a test machine can't offer more.
const MAX_RATE_PER_S: f64 = 20_000.0;
/// Longest delay of the endpoint feed or of datagrams between routers, in milliseconds.
const MAX_DELAY_MS: f64 = 60_000.0;
/// Most edge caches that one site may have.
const MAX_EDGE_CACHES: usize = 200;
/// Most routers that one site may have.
pub(crate) const MAX_ROUTERS_PER_SITE: usize = 50;

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

fn is_share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

impl Check for Scenario {
    fn check(&self, faults: &mut Faults) {
        self.check_load(faults);
        faults.require(!self.sites.is_empty(), "offices", "there is none");
        faults.require(!self.parent_caches.is_empty(), "hubs", "there is none");
        // The names of servers and sites must be unique; the origin's name is taken.
        let mut names = BTreeSet::from([ORIGIN_NAME]);
        for (index, parent) in self.parent_caches.iter().enumerate() {
            check_parent_cache(index, parent, &mut names, faults);
        }
        for (index, site) in self.sites.iter().enumerate() {
            self.check_site(index, site, &mut names, faults);
        }
        for (index, class) in self.classes.iter().enumerate() {
            check_class(index, class, faults);
        }
        for (index, fault) in self.faults.iter().enumerate() {
            self.check_fault(index, fault, faults);
        }
    }
}

fn check_parent_cache<'a>(
    index: usize,
    parent: &'a ParentCache,
    names: &mut BTreeSet<&'a str>,
    faults: &mut Faults,
) {
    faults.require(names.insert(&parent.name), format!("hubs[{index}].name"), "stands twice");
    let field = format!("hubs[{index}].link_flows");
    faults.require(is_positive(parent.link_flows), field, "must be above 0");
}

fn check_class(index: usize, class: &RequestClass, faults: &mut Faults) {
    let field = |name: &str| format!("classes[{index}].{name}");
    faults.require(is_positive(class.load_weight), field("part"), "must be above 0");
    let bytes = (1.0..=100_000.0).contains(&class.mean_bytes);
    faults.require(bytes, field("bytes"), "must lie between 1 and 100000");
    let sigma = (0.0..=3.0).contains(&class.size_sigma);
    faults.require(sigma, field("sigma"), "must lie between 0 and 3");
    let chunks = (1..=1_000).contains(&class.chunks);
    faults.require(chunks, field("parts"), "must lie between 1 and 1000");
    faults.require(class.objects > 0, field("objects"), "must be above 0");
    let zipf = (0.0..=5.0).contains(&class.zipf_exponent);
    faults.require(zipf, field("zipf"), "must lie between 0 and 5");
    let (local, once) = (class.local_share, class.single_use_share);
    let shares = is_share(local) && is_share(once) && local + once <= 1.0;
    faults.require(shares, field("local"), "local and once are parts of one whole");
    faults.require(is_positive(class.latency_objective_ms), field("aim_ms"), "must be above 0");
    let timeout = class.timeout_ms >= class.latency_objective_ms;
    faults.require(timeout, field("deadline_ms"), "must not be less than aim_ms");
}

impl Scenario {
    fn check_load(&self, faults: &mut Faults) {
        let seconds = self.seconds > 0.0 && self.seconds <= MAX_SECONDS;
        faults.require(seconds, "seconds", "must lie between 0 and 3600");
        let warm_up = self.warm_up_s >= 0.0 && self.warm_up_s < self.seconds;
        faults.require(warm_up, "warm_s", "must be less than seconds");
        faults.require(is_positive(self.flow_bytes_per_s), "flow_bytes_per_s", "must be above 0");
        let rate = is_positive(self.rate_per_s) && self.rate_per_s <= MAX_RATE_PER_S;
        faults.require(rate, "rate_per_s", "must lie between 0 and 20000");
        faults.require(is_share(self.burstiness), "burst", "must lie between 0 and 1");
        let purges = (0.0..=100.0).contains(&self.purges_per_s);
        faults.require(purges, "purges_per_s", "must lie between 0 and 100");
        faults.require(self.clustered || !self.leased_quotas, "limits", "needs fleet");
        let skew = (1.0..=100.0).contains(&self.router_skew);
        faults.require(skew, "uneven", "must lie between 1 and 100");
        let delay = (0.0..=MAX_DELAY_MS).contains(&self.endpoint_feed_delay_ms);
        faults.require(delay, "roster_lag_ms", "must lie between 0 and 60000");
    }

    fn check_site<'a>(
        &'a self,
        index: usize,
        site: &'a Site,
        names: &mut BTreeSet<&'a str>,
        faults: &mut Faults,
    ) {
        let field = |name: &str| format!("offices[{index}].{name}");
        faults.require(names.insert(&site.name), field("name"), "stands twice");
        let has_parent = self.parent_caches.iter().any(|parent| parent.name == site.parent);
        faults.require(has_parent, field("hub"), "is no hub of this day");
        let edge_caches = (1..=MAX_EDGE_CACHES).contains(&site.edge_caches);
        faults.require(edge_caches, field("boxes"), "must lie between 1 and 200");
        let routers = (1..=MAX_ROUTERS_PER_SITE).contains(&site.routers);
        faults.require(routers, field("routers"), "must lie between 1 and 50");
        faults.require(is_positive(site.link_in_flows), field("link_in_flows"), "must be above 0");
        faults.require(is_positive(site.cache_cores), field("cores"), "must be above 0");
        faults.require(is_positive(site.cache_link_flows), field("link_flows"), "must be above 0");
        let local = site.local_share.is_none_or(is_share);
        faults.require(local, field("local"), "must lie between 0 and 1");
    }

    fn check_fault(&self, index: usize, fault: &Fault, faults: &mut Faults) {
        let field = |name: &str| format!("faults[{index}].{name}");
        faults.require(fault.at_s >= 0.0, field("at_s"), "must not be below 0");
        let duration = fault.for_s.is_none_or(|seconds| seconds > 0.0);
        faults.require(duration, field("for_s"), "must be above 0");
        match &fault.kind {
            FaultKind::Replace { server } | FaultKind::Drain { server } => {
                faults.require(self.is_edge_cache(server), field("who"), "is no box of this day");
            }
            FaultKind::Crash { server }
            | FaultKind::Unreachable { server }
            | FaultKind::Slow { server, .. } => {
                faults.require(self.is_server(server), field("who"), "is no server of this day");
            }
            FaultKind::FeedDelay { by_ms } => {
                faults.require(*by_ms >= 0.0, field("by_ms"), "must not be below 0");
            }
            FaultKind::HotObjects { share, objects } => {
                let fits = is_share(*share) && *objects > 0;
                faults.require(fits, field("part"), "a part of 0 to 1, of 1 object or more");
            }
            FaultKind::LargeObjects { class, share, size_factor } => {
                faults.require(
                    self.is_cached_class(class),
                    field("class"),
                    "is no class of this day that is kept",
                );
                let fits = is_share(*share) && (1.0..=50.0).contains(size_factor);
                faults.require(fits, field("part"), "a part of 0 to 1, of 1 to 50 times the size");
            }
            FaultKind::Surge { factor } => {
                faults.require(is_positive(*factor), field("times"), "must be above 0");
            }
            FaultKind::Partition { routers } | FaultKind::Kill { routers } | FaultKind::Pause { routers } => {
                faults.require(self.are_routers(routers), field("routers"), "are no routers of this day");
            }
            FaultKind::RouterLink { .. } => self.check_router_link(&fault.kind, field, faults),
        }
    }

    fn check_router_link(&self, kind: &FaultKind, field: impl Fn(&str) -> String, faults: &mut Faults) {
        let FaultKind::RouterLink { from, to, loss, duplication, corruption, delay_ms, jitter_ms, .. } = kind
        else {
            return;
        };
        let known = self.are_routers(from) && self.are_routers(to);
        faults.require(known, field("from"), "from and to are no routers of this day");
        let shares = [*loss, *duplication, *corruption].into_iter().all(is_share);
        faults.require(shares, field("loss"), "loss, twice and flipped are parts of 0 to 1");
        let delays = [delay_ms, jitter_ms].into_iter().all(|delay| (0.0..=MAX_DELAY_MS).contains(delay));
        faults.require(delays, field("late_ms"), "late_ms and jitter_ms lie between 0 and 60000");
    }

    /// Whether the list has entries and all of them are numbers of routers, which start at 1.
    fn are_routers(&self, numbers: &[usize]) -> bool {
        !numbers.is_empty() && numbers.iter().all(|number| (1..=self.router_count()).contains(number))
    }

    fn is_edge_cache(&self, name: &str) -> bool {
        (0..self.sites.len()).any(|site| self.edge_cache_names(site).any(|edge_cache| edge_cache == name))
    }

    fn is_server(&self, name: &str) -> bool {
        let is_parent = self.parent_caches.iter().any(|parent| parent.name == name);
        name == ORIGIN_NAME || is_parent || self.is_edge_cache(name)
    }

    fn is_cached_class(&self, name: &str) -> bool {
        self.classes.iter().any(|class| class.name == name && !class.non_idempotent)
    }
}
