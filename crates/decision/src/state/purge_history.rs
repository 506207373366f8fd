//! When which objects were purged last.

use crate::interface::{Purge, Request};
use crate::module::DecisionModule;
use crate::time::{Timestamp, MICROSECOND};
use std::collections::BTreeMap;
use std::time::Duration;

/// A copy must be younger than the purge of its object by this.
const MIN_AGE_MARGIN: Duration = Duration::from_millis(1);

/// What a purge names. The order decides which purges a full table drops first.
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

/// The time of the latest purge of each object and group, in a bounded table.
#[derive(Debug, Default)]
pub struct PurgeHistory {
    latest: BTreeMap<PurgeTarget, Timestamp>,
    /// Every object counts as purged then.
    floor: Timestamp,
}

impl PurgeHistory {
    /// Adds a purge. Beyond `max` entries the latest time of those dropped stands for every object:
    /// no purge is forgotten.
    pub fn add(&mut self, now: Timestamp, purge: &Purge, max: usize) {
        let purged_at = now.saturating_sub(purge.since);
        let latest = self.latest.entry(PurgeTarget::of(purge)).or_insert(purged_at);
        *latest = purged_at.max(*latest);
        self.trim(max);
    }

    /// The greatest age at which a copy may still be served now of what was purged at that time.
    pub fn oldest_copy(now: Timestamp, purged: Timestamp) -> Duration {
        now.saturating_duration_since(purged + MIN_AGE_MARGIN).max(MICROSECOND)
    }

    fn trim(&mut self, max: usize) {
        while self.latest.len() > max {
            let dropped = self.latest.pop_first().map_or(Timestamp::ZERO, |(_, at)| at);
            self.floor = self.floor.max(dropped);
        }
    }

    /// Drops purges at or before that time.
    pub fn forget(&mut self, before: Timestamp) {
        self.latest.retain(|_, at| *at > before);
    }

    /// The latest purge of a request's object; [`Timestamp::ZERO`] if none is known.
    pub fn latest(&self, request: &Request) -> Timestamp {
        let object = self.latest.get(&PurgeTarget::Object(request.object));
        let group = self.latest.get(&PurgeTarget::Group(u64::from(request.group)));
        *object.max(group).unwrap_or(&Timestamp::ZERO).max(&self.floor)
    }

    /// All purges known: whether of a group, of which object or group, and when; and when every
    /// object counts as purged.
    pub fn list(&self) -> (Vec<(bool, u64, Timestamp)>, Timestamp) {
        let entry = |(target, at): (&PurgeTarget, &Timestamp)| match target {
            PurgeTarget::Object(key) => (false, *key, *at),
            PurgeTarget::Group(key) => (true, *key, *at),
        };
        (self.latest.iter().map(entry).collect(), self.floor)
    }

    /// Adds what another history held; times in the future count as now.
    pub fn restore(
        &mut self,
        now: Timestamp,
        known: &[(bool, u64, Timestamp)],
        floor: Timestamp,
        max: usize,
    ) {
        for (is_group, key, at) in known {
            let target = PurgeTarget::from_entry(*is_group, *key);
            let latest = self.latest.entry(target).or_insert(Timestamp::ZERO);
            *latest = (*latest).max((*at).min(now));
        }
        self.floor = self.floor.max(floor.min(now));
        self.trim(max);
    }
}

impl DecisionModule {
    /// The greatest age of a copy that purges allow, until all older copies have gone by
    /// themselves.
    pub(crate) fn purge_max_age(&self, now: Timestamp, request: &Request) -> Option<Duration> {
        let purged_at = self.purges.latest(request);
        let is_recent = purged_at > Timestamp::ZERO && purged_at + self.settings.purge_life() > now;
        is_recent.then(|| PurgeHistory::oldest_copy(now, purged_at))
    }
}
