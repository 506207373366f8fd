//! Every decision of the router. Its types, settings, events and actions are in `interface.rs`, the records
//! that it keeps in `state.rs`, what it makes of them in `estimates.rs`.
//!
//! Ordinary path, after Plaxton and Rajaraman, "Fast Fault-Tolerant Concurrent Access to Shared
//! Objects": each part of an object has one hashed order of the location's caches, cut into blocks of
//! 1, 2, 4, ...; a request goes to a cache drawn at random from blocks 0 to the object's level, and the
//! level rises with the object's share of this router's own requests. Parents are ordered by the
//! same hash, over all of them. What departs from that says so; `docs/design.md` has the list.
//!
//! Each uses those before it: order, widening; cold, health, doubt, relief; fills, choice; refusals,
//! attempts, outcomes.

pub(crate) mod attempts;
pub(crate) mod choice;
pub(crate) mod cold;
pub(crate) mod doubt;
pub(crate) mod fills;
pub(crate) mod health;
pub(crate) mod order;
pub(crate) mod outcomes;
pub(crate) mod refusals;
pub(crate) mod relief;
pub(crate) mod widening;
