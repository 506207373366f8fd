//! Every decision of the router: which endpoint, whether to retry, what to reject. Its types, settings,
//! events and actions are in `interface`, what it remembers and estimates in `state`.
//!
//! Ordinary path, after Plaxton and Rajaraman, "Fast Fault-Tolerant Concurrent Access to Shared Objects":
//! each part of an object has one hashed order of the zone's caches, cut into blocks of 1, 2, 4, ...; a
//! request goes to a cache drawn at random from blocks 0 to the object's level, and the level rises with the
//! object's share of this router's own requests. Parent caches are ordered by the same hash, over all of
//! them. What departs from that says so; `docs/design.md` has the list.
//!
//! A request: `attempts` (accepted, sent), by `endpoint_choice` (which endpoint) and `fill_source`; then
//! `outcomes` or `overdue`, which lead to a further attempt or to `final_answer`. These go by `hash_order`,
//! `replication`, `warm_up`, `origin_protection`, and by `health`, `error_attribution` and `fault_detection`.

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
