//! Support for the model checks: a network that delivers datagrams in any order, the search itself,
//! and equality of states by their debug output.

use crate::common::router_address;
use hollymux_cluster::Transmit;
use stateright::{Checker, Model};
use std::fmt::Debug;
use std::hash::Hash;

/// Number of routers in a model.
pub const ROUTERS: usize = 3;
/// Number of threads that search a model.
const SEARCH_THREADS: usize = 4;
/// Maximum number of datagrams in flight; when there are more, the oldest ones are lost.
const MAX_IN_FLIGHT: usize = 6;

/// A datagram in flight between two routers, which are identified by number.
#[derive(Clone, Debug)]
pub struct Datagram {
    from: usize,
    /// The number of the receiving router.
    pub to: usize,
    /// The bytes to pass to the receiving router.
    pub payload: Vec<u8>,
}

/// Whether a datagram stays in flight when it is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The datagram is removed.
    Single,
    /// The datagram stays in flight, so that it can be delivered again.
    Duplicated,
}

/// The network between the routers of a model.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Datagrams in the order in which they were sent.
    in_flight: Vec<Datagram>,
    /// The number of a router whose links to all others are down; `None` if all links work.
    pub partitioned: Option<usize>,
}

impl Network {
    /// Puts the datagrams of router `from` in flight. Datagrams to unknown addresses or to the
    /// router itself are lost.
    pub fn send(&mut self, from: usize, transmits: Vec<Transmit>) {
        for Transmit { destination, payload } in transmits {
            let receiver = (0..ROUTERS).find(|to| router_address(*to) == destination && *to != from);
            self.in_flight.extend(receiver.map(|to| Datagram { from, to, payload }));
        }
        let excess = self.in_flight.len().saturating_sub(MAX_IN_FLIGHT);
        self.in_flight.drain(..excess);
    }

    /// Number of datagrams in flight.
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Delivers the datagram at `index`; `None` if it is lost because its sender or receiver is
    /// partitioned.
    pub fn deliver(&mut self, index: usize, delivery: Delivery) -> Option<Datagram> {
        let datagram = match delivery {
            Delivery::Single => self.in_flight.remove(index),
            Delivery::Duplicated => self.in_flight[index].clone(),
        };
        let is_blocked =
            self.partitioned.is_some_and(|router| router == datagram.from || router == datagram.to);
        (!is_blocked).then_some(datagram)
    }
}

/// Bounds of the search of a model.
pub struct SearchBounds {
    /// Maximum depth of the search, counted from the initial states.
    pub max_depth: usize,
    /// Number of states after which the search ends.
    pub target_states: usize,
    /// The check fails unless the search has visited more unique states than this.
    pub min_states: usize,
}

/// Searches a model breadth first, and asserts all of its properties and that the search was large
/// enough.
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
    assert!(states > bounds.min_states, "only {states} unique states were searched");
}

/// Implements `PartialEq` and `Hash` of a model's state by its debug output, because the state
/// machines of the cluster package implement neither.
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
