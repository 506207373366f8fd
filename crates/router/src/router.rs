//! The core of a request router. It owns the decision module, the open requests, the attempts in
//! flight and the endpoint table. The caller passes timed inputs to [`Router::handle`] and executes
//! the commands that it returns. The core knows no wire format, socket or clock.

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

/// Maximum number of open requests; further requests are rejected. A lookup is rejected if this
/// many attempts are in flight.
const MAX_OPEN_REQUESTS: usize = 4_096;

/// The options with which a router is created.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// The settings of the decision module, including the request classes.
    pub settings: Settings,
    /// The name of each class in `settings`, in the same order. A class without a name is dropped.
    pub classes: Vec<String>,
    /// The seed of the decision module's random number generator.
    pub seed: u64,
    /// The memory limit of the process in MB. It bounds the table of pending writes.
    pub memory_mb: u64,
    /// The throughput of a single transfer in bytes per second, by which the size of a response is
    /// converted to its transfer time. At 0 the throughput is unknown and no transfer time is
    /// derived.
    pub flow_bytes_per_s: f64,
}

/// The core of one request router.
#[derive(Debug)]
pub struct Router {
    decision: DecisionModule,
    /// Routes client requests by lookups at another router; `None` if the decision module routes
    /// them.
    hint_follower: Option<HintFollower>,
    classes: Classes,
    settings: Settings,
    flow_bytes_per_s: f64,
    pending_writes: PendingWrites,
    /// The result of the lookup that [`Router::lookup`] is executing; `None` at any other time.
    lookup_result: Option<LookupResult<Target>>,
    endpoints: EndpointTable,
    open_requests: HashMap<RequestId, OpenRequest>,
    /// The open request of each client that waits for a reply.
    by_client: BTreeMap<ClientHandle, RequestId>,
    /// The request ids that clients gave their open requests.
    open_client_ids: HashSet<u64>,
    /// Attempts that have not ended, including those that were only named to the caller of a
    /// lookup.
    in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    /// The id of the next request to be opened. Ids wrap around and skip 0.
    next_request: RequestId,
    /// Totals of requests, lookups and attempts since the router was created.
    pub counters: Counters,
    /// The metrics by class that are shown to operators.
    pub metrics: Metrics,
    /// The index of each class's counters in `metrics`, by class slot.
    metric_indexes: Vec<usize>,
}

impl Router {
    /// Creates a router with an empty endpoint table. If `follow` is set, client requests are sent
    /// to the endpoints that lookups at another router name; otherwise the decision module of this
    /// router chooses. Returns an error if the settings are invalid.
    pub fn new(options: RouterOptions, follow: bool) -> Result<Router, SettingsError> {
        let mut metrics = Metrics::default();
        let mut classes = Classes::default();
        let named = named_classes(&options.classes, &options.settings);
        let table = classes.replace(named, &[], &BTreeSet::new());
        let settings = Settings { classes: table.classes, ..options.settings };
        let metric_indexes = classes.names().map(|name| metrics.class_index(name)).collect();
        Ok(Router {
            decision: DecisionModule::new(settings.clone(), options.seed)?,
            classes,
            hint_follower: follow.then(|| HintFollower::new(settings.clone())),
            settings,
            flow_bytes_per_s: options.flow_bytes_per_s,
            pending_writes: PendingWrites::new(options.memory_mb),
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

    /// Applies one input and appends the resulting commands, which the caller executes in order.
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

    /// The number of client requests without a final reply. Lookups are not counted.
    pub fn open_request_count(&self) -> usize {
        self.by_client.len()
    }

    /// Whether no request of a client or of a lookup is open.
    pub fn is_idle(&self) -> bool {
        self.open_requests.is_empty()
    }

    /// The number of endpoints in the endpoint list, and the number of those that get no requests
    /// because they are draining or ejected.
    pub fn rotation(&self) -> Rotation {
        self.decision.rotation()
    }

    /// The request classes by slot. They include retired classes, which accept no new requests.
    pub fn classes(&self) -> &Classes {
        &self.classes
    }

    /// The settings in force. Their classes are indexed by slot and include retired classes, which
    /// accept no new requests.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The name of an endpoint in the endpoint protocol, or `None` if the endpoint is unknown.
    pub fn uid(&self, endpoint: EndpointId) -> Option<&str> {
        self.endpoints.uid(endpoint).map(|uid| &**uid)
    }

    /// Counts an event in the metrics of a class. A class number without a slot is ignored.
    pub fn count_event(&mut self, class: u16, event: CountedEvent) {
        if let Some(index) = self.metric_indexes.get(usize::from(class)) {
            self.metrics.record(*index, event);
        }
    }

    /// Sets the number of possibly active routers in the whole cluster (`all`) and in this router's
    /// zone (`own_zone`). Limits that routers share are divided by these numbers.
    pub fn set_active_router_counts(&mut self, all: u32, own_zone: u32) {
        self.decision.set_active_router_counts(all, own_zone);
    }

    /// Sets this router's leased shares of warm-up budgets. `default_shares` holds the share for
    /// endpoints that all routers use, and the share for endpoints that only this router's zone
    /// uses; `by_endpoint` holds the endpoints with another share. See
    /// [`DecisionModule::set_leased_shares`].
    pub fn set_leased_shares(
        &mut self,
        default_shares: (f64, f64),
        by_endpoint: BTreeMap<EndpointId, QuotaShare>,
    ) {
        self.decision.set_leased_shares(default_shares, by_endpoint);
    }

    /// This router's demand for the warm-up budget of each endpoint that is warming up. Routers
    /// agree on leased shares by these demands.
    pub fn warm_up_demands(&self, now: Timestamp) -> Vec<WarmUpDemand> {
        self.decision.warm_up_demands(now)
    }

    /// Sets whether another process serves the same address, as during a handover. While it does,
    /// limits are divided by one more router.
    pub fn set_additional_routers(&mut self, with_another: bool) {
        self.decision.set_additional_routers(u32::from(with_another));
    }
}

/// The classes of the settings with their names. A class without a name is dropped.
fn named_classes(names: &[String], settings: &Settings) -> Vec<NamedClass> {
    let classes = names.iter().cloned().zip(settings.classes.iter().cloned());
    classes.map(|(name, class)| NamedClass { name, class }).collect()
}
