//! The core of a request router. It owns the decision module, the open requests, the attempts in
//! flight and the endpoint table. Timed events go in, commands come out; it knows no wire format,
//! socket or clock.

mod admission;
mod attempts;
mod dispatch;
mod endpoint_feed;
mod handover;
mod lookups;
mod open_request;
mod reconfiguration;
mod replies;

use crate::classes::{Classes, NamedClass};
use crate::counters::Counters;
use crate::endpoint_table::EndpointTable;
use crate::hint_follower::{HintFollower, LookupResult};
use crate::messages::{AttemptId, ClientHandle, Command, Input, Target, Wake};
use crate::metrics::{CountedEvent, Metrics};
use crate::pending_writes::PendingWrites;
use attempts::InFlightAttempt;
use hollymux_decision::{
    DecisionModule, EndpointId, Event, QuotaShare, RequestId, Rotation, Settings, SettingsError, Timestamp,
    WarmUpDemand,
};
use open_request::OpenRequest;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Requests open at a time, and attempts that lookups may hold in flight; beyond them new ones are
/// rejected.
const MAX_OPEN_REQUESTS: usize = 4_096;

/// What a router is started with.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the classes, by number.
    pub classes: Vec<String>,
    /// The seed of random numbers.
    pub seed: u64,
    /// The memory limit in MB: it bounds the table of pending writes.
    pub memory_mb: u64,
    /// The throughput of a single transfer; 0: unknown, so that no transfer time follows from the
    /// size of a response.
    pub flow_bytes_per_s: f64,
}

/// The core of one request router.
#[derive(Debug)]
pub struct Router {
    decision: DecisionModule,
    /// Routes clients' requests where they follow lookups at another router.
    hint_follower: Option<HintFollower>,
    classes: Classes,
    settings: Settings,
    flow_bytes_per_s: f64,
    pending_writes: PendingWrites,
    /// The result of the lookup that is being answered.
    lookup_result: Option<LookupResult<Target>>,
    endpoints: EndpointTable,
    open_requests: HashMap<RequestId, OpenRequest>,
    by_client: BTreeMap<ClientHandle, RequestId>,
    /// The ids that clients gave their open requests.
    open_client_ids: HashSet<u64>,
    in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    next_request: RequestId,
    /// Totals since the start.
    pub counters: Counters,
    /// What operators are shown.
    pub metrics: Metrics,
    /// Where the counters of each class are in `metrics`.
    metric_indexes: Vec<usize>,
}

impl Router {
    /// A router with no endpoints yet. `follow`: clients' requests go where lookups at another
    /// router say, rather than where the decision module of this one does.
    pub fn new(setup: RouterOptions, follow: bool) -> Result<Router, SettingsError> {
        let mut metrics = Metrics::default();
        let mut classes = Classes::default();
        let named = named_classes(&setup.classes, &setup.settings);
        let table = classes.replace(named, &[], &BTreeSet::new());
        let settings = Settings { classes: table.classes, ..setup.settings };
        let metric_indexes = classes.names().map(|name| metrics.class_index(name)).collect();
        Ok(Router {
            decision: DecisionModule::new(settings.clone(), setup.seed)?,
            classes,
            hint_follower: follow.then(|| HintFollower::new(settings.clone())),
            settings,
            flow_bytes_per_s: setup.flow_bytes_per_s,
            pending_writes: PendingWrites::new(setup.memory_mb),
            lookup_result: None,
            endpoints: EndpointTable::default(),
            open_requests: HashMap::new(),
            by_client: BTreeMap::new(),
            open_client_ids: HashSet::new(),
            in_flight: BTreeMap::new(),
            next_request: 1,
            counters: Counters::default(),
            metrics,
            metric_indexes,
        })
    }

    /// Applies one input and appends what is to be done, in order.
    pub fn handle(&mut self, now: Timestamp, input: Input, commands: &mut Vec<Command>) {
        match input {
            Input::Request(client, request) => self.on_request(now, client, request, commands),
            Input::Cancel(client) => self.cancel_request(now, client, commands),
            Input::ClientClosed(connection) => self.on_client_closed(now, connection, commands),
            Input::Responded(attempt, response, cache_status) => {
                self.on_response(now, attempt, response, cache_status, commands);
            }
            Input::Failed(attempt, failure) => self.on_attempt_failure(now, attempt, failure, commands),
            Input::Probed(endpoint, healthy) => self.on_probe_result(now, endpoint, healthy, commands),
            Input::LookedUp(request, result) => self.on_lookup_result(now, request, result, commands),
            Input::Feed(event) => self.on_feed_event(now, event, commands),
            Input::Wake(Wake::Decision(mode, token)) => {
                self.decide(now, mode, Event::Timer { token }, commands);
            }
            Input::Wake(Wake::Attempt(attempt)) => self.on_attempt_timer(now, attempt, commands),
            Input::Shutdown => self.fail_open_requests(now, commands),
        }
    }

    /// The number of clients' requests without a final reply.
    pub fn open_request_count(&self) -> usize {
        self.by_client.len()
    }

    /// Whether no request is open, lookups included.
    pub fn is_idle(&self) -> bool {
        self.open_requests.is_empty()
    }

    /// How many endpoints are listed, and how many of them get no requests.
    pub fn rotation(&self) -> Rotation {
        self.decision.rotation()
    }

    /// The classes.
    pub fn classes(&self) -> &Classes {
        &self.classes
    }

    /// The settings in force. Their classes include those that take no new requests any more.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The name of an endpoint, if it is known.
    pub fn uid(&self, endpoint: EndpointId) -> Option<&str> {
        self.endpoints.uid(endpoint).map(|uid| &**uid)
    }

    /// Counts an event of a class in the metrics.
    pub fn count(&mut self, class: u16, event: CountedEvent) {
        if let Some(index) = self.metric_indexes.get(usize::from(class)) {
            self.metrics.record(*index, event);
        }
    }

    /// Sets how many routers may be active, in all and in this one's zone: limits are divided by
    /// that.
    pub fn count_routers(&mut self, all: u32, here: u32) {
        self.decision.count_routers(all, here);
    }

    /// Sets the leased shares of warm-up budgets: see [`DecisionModule::lease`].
    pub fn lease(&mut self, homes: (f64, f64), parts: BTreeMap<EndpointId, QuotaShare>) {
        self.decision.lease(homes, parts);
    }

    /// The requests that endpoints in warm-up get from this router.
    pub fn warm_up_demands(&self, now: Timestamp) -> Vec<WarmUpDemand> {
        self.decision.warm_up_demands(now)
    }

    /// Sets whether warm-up budgets are shared with another process that serves on this one's
    /// address.
    pub fn share(&mut self, with_another: bool) {
        self.decision.share(u32::from(with_another));
    }
}

/// The classes of settings with their names.
fn named_classes(names: &[String], settings: &Settings) -> Vec<NamedClass> {
    let classes = names.iter().cloned().zip(settings.classes.iter().cloned());
    classes.map(|(name, class)| NamedClass { name, class }).collect()
}
