//! The decision module's state as a whole. The rules are in `policy`, the parts of the state in
//! `state`, the types of settings, events and actions in `interface`.

use crate::interface::{EndpointId, RequestId, Settings, SettingsError};
use crate::state::{
    EndpointSet, LostResponses, OpenRequest, OriginLoad, PurgeHistory, RequestCounter, RetryBudget,
    ServiceTimeEstimate,
};
use crate::time::Timestamp;
use rand_core::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};

/// The decision module of one router.
#[derive(Debug)]
pub struct DecisionModule {
    pub(crate) settings: Settings,
    pub(crate) rng: rand_pcg::Pcg64Mcg,
    pub(crate) endpoints: EndpointSet,
    /// Endpoints that are or may be warming up.
    pub(crate) warming_up: BTreeSet<EndpointId>,
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    /// By class.
    pub(crate) service_times: Vec<ServiceTimeEstimate>,
    pub(crate) request_counter: RequestCounter,
    pub(crate) purges: PurgeHistory,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) lost_responses: LostResponses,
    /// Changes of the endpoint list were subscribed to.
    pub(crate) is_subscribed: bool,
    /// When ejected endpoints were logged last.
    pub(crate) last_log: Timestamp,
    pub(crate) origin_load: OriginLoad,
}

impl DecisionModule {
    /// A module for one router, or the setting that is impossible. The seed is that of its random
    /// draws.
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
