//! The decisions of the router: to which endpoint a request is sent, from where a miss is filled,
//! whether an attempt is retried, and which requests are rejected. Settings, events and actions are
//! defined in `interface`; `state` holds what the module remembers and estimates.
//!
//! Endpoints are chosen after Plaxton and Rajaraman, "Fast Fault-Tolerant Concurrent Access to
//! Shared Objects". For each part of an object, the edge caches of the zone have one hash order,
//! divided into blocks of 1, 2, 4, ... caches. A request goes to a cache drawn at random from the
//! blocks 0 to the object's replication level. The level rises with the object's share of the
//! requests that this router receives. Parent caches of all zones are ordered by the same hash.
//! Rules that depart from the paper say so in their comments, and `docs/design.md` lists them.
//!
//! A request passes through these modules:
//!
//! 1. `attempts` accepts it and sends its attempts; `endpoint_choice` chooses the endpoint, and
//!    `fill_source` where a miss is filled from.
//! 2. `outcomes` handles the end of an attempt, and `overdue` an attempt without a response. Either
//!    sends a further attempt, or gives the final answer by way of `final_answer`.
//!
//! The other modules decide what these depend on: `hash_order`, `replication`, `warm_up`,
//! `origin_protection`, `health`, `error_attribution` and `fault_detection`.

mod attempts;
mod endpoint_choice;
mod error_attribution;
mod fault_detection;
mod fill_source;
mod final_answer;
mod hash_order;
mod health;
mod origin_protection;
mod outcomes;
mod overdue;
mod replication;
mod warm_up;
