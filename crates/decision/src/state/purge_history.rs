//! History of purges: the time of the latest purge of each object and group.

use crate::interface::{Purge, Request};
use crate::module::DecisionModule;
use crate::time::{Timestamp, MICROSECOND};
use std::collections::BTreeMap;
use std::time::Duration;

/// Margin by which a copy must be younger than the purge of its object.
const MIN_AGE_MARGIN: Duration = Duration::from_millis(1);

/// Target of a purge. A full table drops purges in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PurgeTarget {
    Object(u64),
    Group(u64),
}

impl PurgeTarget {
    fn of(purge: &Purge) -> PurgeTarget {
        match purge.object {
            Some(object) => PurgeTarget::Object(object),
            None => PurgeTarget::Group(u64::from(purge.group)),
        }
    }

    fn from_entry(is_group: bool, key: u64) -> PurgeTarget {
        if is_group {
            PurgeTarget::Group(key)
        } else {
            PurgeTarget::Object(key)
        }
    }
}

/// The latest purge of each object and group, in a bounded table.
#[derive(Debug, Default)]
pub struct PurgeHistory {
    latest: BTreeMap<PurgeTarget, Timestamp>,
    /// Every object counts as purged at this time; [`Timestamp::ZERO`] if no purge was dropped yet.
    floor: Timestamp,
}

impl PurgeHistory {
    /// Adds a purge. If the table has more than `max` entries, some are dropped, and every object
    /// counts as purged at the latest time of the dropped ones. So no purge loses its effect.
    pub fn add(&mut self, now: Timestamp, purge: &Purge, max: usize) {
        let purged_at = now.saturating_sub(purge.since);
        let latest = self.latest.entry(PurgeTarget::of(purge)).or_insert(purged_at);
        *latest = purged_at.max(*latest);
        self.trim(max);
    }

    /// Maximum age of a copy that may still be served at `now`, if its object was purged at
    /// `purged`. Never zero, since an age of zero would stand for no bound.
    pub fn oldest_copy(now: Timestamp, purged: Timestamp) -> Duration {
        now.saturating_duration_since(purged + MIN_AGE_MARGIN).max(MICROSECOND)
    }

    /// Drops entries until the table has at most `max`.
    fn trim(&mut self, max: usize) {
        while self.latest.len() > max {
            let dropped = self.latest.pop_first().map_or(Timestamp::ZERO, |(_, at)| at);
            self.floor = self.floor.max(dropped);
        }
    }

    /// Drops purges at or before the time `before`.
    pub fn forget(&mut self, before: Timestamp) {
        self.latest.retain(|_, at| *at > before);
    }

    /// Time of the latest purge of the request's object or group; [`Timestamp::ZERO`] if none is
    /// known.
    pub fn latest(&self, request: &Request) -> Timestamp {
        let object = self.latest.get(&PurgeTarget::Object(request.object));
        let group = self.latest.get(&PurgeTarget::Group(u64::from(request.group)));
        *object.max(group).unwrap_or(&Timestamp::ZERO).max(&self.floor)
    }

    /// All purges for a snapshot, and the time at which every object counts as purged. A purge
    /// consists of whether it names a group, the number of the group or object, and its time.
    pub fn list(&self) -> (Vec<(bool, u64, Timestamp)>, Timestamp) {
        let entry = |(target, at): (&PurgeTarget, &Timestamp)| match target {
            PurgeTarget::Object(key) => (false, *key, *at),
            PurgeTarget::Group(key) => (true, *key, *at),
        };
        (self.latest.iter().map(entry).collect(), self.floor)
    }

    /// Adds the purges of another history, in the form of [`PurgeHistory::list`]. Times in the
    /// future count as `now`.
    pub fn restore(
        &mut self,
        now: Timestamp,
        purges: &[(bool, u64, Timestamp)],
        floor: Timestamp,
        max: usize,
    ) {
        for (is_group, key, at) in purges {
            let target = PurgeTarget::from_entry(*is_group, *key);
            let latest = self.latest.entry(target).or_insert(Timestamp::ZERO);
            *latest = (*latest).max((*at).min(now));
        }
        self.floor = self.floor.max(floor.min(now));
        self.trim(max);
    }
}

impl DecisionModule {
    /// Maximum age of a copy of the request's object by its latest purge. `None` if there was no
    /// purge, or if all endpoints have dropped older copies since.
    pub(crate) fn purge_max_age(&self, now: Timestamp, request: &Request) -> Option<Duration> {
        let purged_at = self.purges.latest(request);
        let is_recent = purged_at > Timestamp::ZERO && purged_at + self.settings.purge_life() > now;
        is_recent.then(|| PurgeHistory::oldest_copy(now, purged_at))
    }
}
