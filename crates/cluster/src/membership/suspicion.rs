//! Suspicion of a member and its timeout, which shrinks as more routers confirm the suspicion
//! (Lifeguard's dynamic suspicion timeout).

use super::options::MembershipTimings;
use crate::Time;
use std::collections::BTreeSet;

/// Number of confirmations by further routers at which the suspicion timeout reaches its minimum.
const MAX_CONFIRMATIONS: usize = 3;

/// The current suspicion of one member.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    /// Instant on the local clock from which the timeout runs.
    raised_at: Time,
    /// Identifiers ([`super::message::suspector_id`]) of the routers that suspect the member.
    suspectors: BTreeSet<u32>,
}

impl Suspicion {
    /// Creates a suspicion whose timeout starts now. `suspector` identifies the router that raised
    /// it; `None` if that router is unknown.
    pub(super) fn new(now: Time, suspector: Option<u32>) -> Suspicion {
        Suspicion { raised_at: now, suspectors: suspector.into_iter().collect() }
    }

    /// Adds a router that also suspects the member. Returns whether it was new and shortens the
    /// timeout; returns `false` once the timeout has reached its minimum.
    pub(super) fn confirm(&mut self, suspector: u32) -> bool {
        self.suspectors.len() <= MAX_CONFIRMATIONS && self.suspectors.insert(suspector)
    }

    /// The identifiers of the routers that suspect the member.
    pub(super) fn suspectors(&self) -> impl Iterator<Item = u32> + '_ {
        self.suspectors.iter().copied()
    }

    /// Postpones the expiry by `duration`, during which the local process could not receive a
    /// refutation.
    pub(super) fn extend(&mut self, duration: Time) {
        self.raised_at += duration;
    }

    /// The instant on the local clock at which the suspect is declared failed. The timeout falls
    /// from `max_suspicion` to `min_suspicion` with the logarithm of the number of confirmations.
    pub(super) fn expires_at(&self, timings: &MembershipTimings) -> Time {
        let confirmations = self.suspectors.len().saturating_sub(1).min(MAX_CONFIRMATIONS) as f64;
        let progress = (confirmations + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
        let range = timings.max_suspicion.saturating_sub(timings.min_suspicion) as f64;
        self.raised_at + timings.max_suspicion - (range * progress) as Time
    }
}
