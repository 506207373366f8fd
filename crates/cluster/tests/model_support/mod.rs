//! What the model checks share: datagrams that are delivered in any order, and states that are told
//! apart by all that they hold.

use crate::common::router_address;
use hollymux_cluster::Transmit;
use stateright::{Checker, Model};
use std::fmt::Debug;
use std::hash::Hash;

/// Routers in a model.
pub const ROUTERS: usize = 3;
/// Threads that search a model.
const SEARCH_THREADS: usize = 4;
/// Datagrams in flight at most; the oldest ones beyond are lost.
const MAX_IN_FLIGHT: usize = 6;

/// A datagram in flight.
#[derive(Clone, Debug)]
pub struct Datagram {
    from: usize,
    /// The router that receives it.
    pub to: usize,
    /// Its bytes.
    pub payload: Vec<u8>,
}

/// What becomes of a datagram when it is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It is no longer in flight.
    Single,
    /// A second copy stays in flight.
    Duplicated,
}

/// The links between the routers of a model.
#[derive(Clone, Debug, Default)]
pub struct Network {
    in_flight: Vec<Datagram>,
    /// A router that is cut off from all others.
    pub cut_off: Option<usize>,
}

impl Network {
    /// Sends a router's datagrams.
    pub fn send(&mut self, from: usize, transmits: Vec<Transmit>) {
        for Transmit { destination, payload } in transmits {
            let receiver = (0..ROUTERS).find(|to| router_address(*to) == destination && *to != from);
            self.in_flight.extend(receiver.map(|to| Datagram { from, to, payload }));
        }
        let excess = self.in_flight.len().saturating_sub(MAX_IN_FLIGHT);
        self.in_flight.drain(..excess);
    }

    /// How many datagrams are in flight.
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Takes a datagram out of flight; none if the cut swallows it.
    pub fn deliver(&mut self, index: usize, delivery: Delivery) -> Option<Datagram> {
        let datagram = match delivery {
            Delivery::Single => self.in_flight.remove(index),
            Delivery::Duplicated => self.in_flight[index].clone(),
        };
        let is_cut = self.cut_off.is_some_and(|cut| cut == datagram.from || cut == datagram.to);
        (!is_cut).then_some(datagram)
    }
}

/// How far a model is searched.
pub struct SearchBounds {
    /// Steps from an initial state at most.
    pub max_depth: usize,
    /// States after which the search ends.
    pub target_states: usize,
    /// A search that has seen no more states than this has not covered enough.
    pub min_states: usize,
}

/// Searches a model breadth first and asserts all of its properties.
pub fn assert_properties_hold<M>(model: M, bounds: &SearchBounds)
where
    M: Model + Send + Sync + 'static,
    M::State: Clone + Debug + PartialEq + Hash + Send + Sync + 'static,
    M::Action: Clone + Debug + PartialEq + Send + Sync + 'static,
{
    let checker = model
        .checker()
        .threads(SEARCH_THREADS)
        .target_max_depth(bounds.max_depth)
        .target_state_count(bounds.target_states)
        .spawn_bfs()
        .join();
    checker.assert_properties();
    let states = checker.unique_state_count();
    assert!(states > bounds.min_states, "{states} states");
}

/// Two states are equal if their debug output is: the state machines implement neither comparison
/// nor hashing.
macro_rules! identify_by_debug_output {
    ($state:ty) => {
        impl PartialEq for $state {
            fn eq(&self, other: &$state) -> bool {
                format!("{self:?}") == format!("{other:?}")
            }
        }
        impl std::hash::Hash for $state {
            fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
                format!("{self:?}").hash(hasher);
            }
        }
    };
}
pub(crate) use identify_by_debug_output;
