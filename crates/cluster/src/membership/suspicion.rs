//! Suspicions: how long one lasts, by how many routers confirm it (Lifeguard's dynamic suspicion
//! timeout).

use super::options::MembershipTimings;
use crate::Time;
use std::collections::BTreeSet;

/// Confirmations by other routers after which a suspicion is as short as it gets.
const MAX_CONFIRMATIONS: usize = 3;

/// That a router is suspected: since when, and by whom.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    raised_at: Time,
    suspectors: BTreeSet<u32>,
}

impl Suspicion {
    /// A suspicion that begins now, raised by the router with this identifier, if that is known.
    pub(super) fn new(now: Time, suspector: Option<u32>) -> Suspicion {
        Suspicion { raised_at: now, suspectors: suspector.into_iter().collect() }
    }

    /// Adds one more router that suspects; whether it is new and shortens the suspicion.
    pub(super) fn confirm(&mut self, suspector: u32) -> bool {
        self.suspectors.len() <= MAX_CONFIRMATIONS && self.suspectors.insert(suspector)
    }

    /// The identifiers of those who suspect.
    pub(super) fn suspectors(&self) -> impl Iterator<Item = u32> + '_ {
        self.suspectors.iter().copied()
    }

    /// Lets it last longer by a time in which the local process could not have received a
    /// refutation.
    pub(super) fn extend(&mut self, duration: Time) {
        self.raised_at += duration;
    }

    /// When the suspect counts as failed: the sooner, the more routers confirm, on a logarithmic
    /// scale.
    pub(super) fn expires_at(&self, timings: &MembershipTimings) -> Time {
        let confirmations = self.suspectors.len().saturating_sub(1).min(MAX_CONFIRMATIONS) as f64;
        let progress = (confirmations + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
        let range = timings.max_suspicion.saturating_sub(timings.min_suspicion) as f64;
        self.raised_at + timings.max_suspicion - (range * progress) as Time
    }
}
