//! State of the decision module: scores, counts, estimates and budgets, one file for each concern.
//! Nothing here chooses an endpoint, retries or rejects; the rules that do are in `policy`.

mod capacity;
mod endpoint;
mod endpoint_set;
mod fault_detector;
mod learning;
mod lost_responses;
mod open_request;
mod origin_load;
mod origin_observation;
mod purge_history;
mod request_counter;
mod retry_budget;
mod route;
mod service_time;
mod snapshot;
mod timer_token;
mod warm_up_budget;

pub(crate) use capacity::WarmUpCapacity;
pub(crate) use endpoint::{Endpoint, EndpointRole, HealthSignal};
pub(crate) use endpoint::{CERTAIN_SILENCE, EJECTION_TIME};
pub(crate) use endpoint_set::EndpointSet;
pub(crate) use learning::OverdueFinding;
pub(crate) use lost_responses::LostResponses;
pub(crate) use open_request::{Attempt, AttemptId, EndedAttempt, OpenRequest};
pub(crate) use origin_load::OriginLoad;
pub use purge_history::PurgeHistory;
pub(crate) use request_counter::{
    replica_count, ClosedInterval, ReplicationLevel, RequestCounter, MAX_LEVEL,
};
pub(crate) use retry_budget::RetryBudget;
pub(crate) use route::{BypassDecision, CandidateCaches, RouteDecision};
pub(crate) use route::{LOW_RETENTION, MIDDLE_RETENTION, PASS_THROUGH};
pub(crate) use service_time::ServiceTimeEstimate;
pub use snapshot::{ClassSnapshot, DecisionSnapshot, EndpointSnapshot};
pub use timer_token::request_of_timer;
pub(crate) use timer_token::TimerToken;
pub(crate) use warm_up_budget::{warm_up_budget, MAX_WARM_UP_USE};
pub use warm_up_budget::{QuotaScope, QuotaShare, WarmUpDemand};

/// Maximum number of entries of each table that is keyed by objects; 20,000 entries take a few MB.
/// A full table accepts no new objects or drops old ones.
pub(crate) const MAX_TRACKED_OBJECTS: usize = 20_000;
/// Number of known endpoints, removed ones included, above which removed ones are dropped.
pub(crate) const MAX_REMEMBERED_ENDPOINTS: usize = 2_000;
