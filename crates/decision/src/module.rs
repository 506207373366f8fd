//! The decision module as a whole: its settings and its state. The rules are in `policy`, the parts
//! of the state in `state`, and the types of settings, events and actions in `interface`.

use crate::interface::{EndpointId, RequestId, Settings, SettingsError};
use crate::state::{
    EndpointSet, LostResponses, OpenRequest, OriginLoad, PurgeHistory, RequestCounter, RetryBudget,
    ServiceTimeEstimate,
};
use crate::time::Timestamp;
use rand_core::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};

/// The decision module of one router: takes events and returns the actions that the router
/// executes. It has no clock of its own; the time is passed with each event.
#[derive(Debug)]
pub struct DecisionModule {
    pub(crate) settings: Settings,
    pub(crate) rng: rand_pcg::Pcg64Mcg,
    pub(crate) endpoints: EndpointSet,
    /// Endpoints that are warming up, or whose process is presumed lost.
    pub(crate) warming_up: BTreeSet<EndpointId>,
    /// Open requests, finished ones with attempts in flight included.
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    /// Estimates by class number.
    pub(crate) service_times: Vec<ServiceTimeEstimate>,
    pub(crate) request_counter: RequestCounter,
    pub(crate) purges: PurgeHistory,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) lost_responses: LostResponses,
    /// Whether the module has subscribed to changes of the endpoint list.
    pub(crate) is_subscribed: bool,
    /// Time at which ejected endpoints were last logged; [`Timestamp::ZERO`] before the first time.
    pub(crate) last_log: Timestamp,
    pub(crate) origin_load: OriginLoad,
}

impl DecisionModule {
    /// Creates the module of one router. `seed` initializes its random number generator. Returns an
    /// error if a setting is invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<DecisionModule, SettingsError> {
        settings.check()?;
        Ok(DecisionModule {
            service_times: settings.classes.iter().map(ServiceTimeEstimate::new).collect(),
            settings,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            endpoints: EndpointSet::default(),
            warming_up: BTreeSet::new(),
            requests: BTreeMap::new(),
            request_counter: RequestCounter::default(),
            purges: PurgeHistory::default(),
            retry_budget: RetryBudget::default(),
            lost_responses: LostResponses::default(),
            is_subscribed: false,
            last_log: Timestamp::ZERO,
            origin_load: OriginLoad::default(),
        })
    }
}
