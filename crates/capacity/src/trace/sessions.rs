//! Grouping of requests into sessions: all requests of one site for one object that follow each
//! other closely, such as those for its consecutive chunks. Load is scaled in units of sessions.

use std::collections::HashMap;

/// Maximum time between two consecutive requests of one session, in microseconds.
const MAX_SESSION_GAP_US: u64 = 5_000_000;

/// An object as requested at one site; the key of the latest sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SiteObject {
    site: u16,
    object: u64,
}

/// The latest session of an object at a site.
#[derive(Clone, Copy, Debug)]
struct LatestSession {
    number: u32,
    last_request_us: u64,
}

/// Assigns requests to sessions. Requests must be passed in order of arrival.
#[derive(Debug, Default)]
pub(super) struct SessionTracker {
    latest: HashMap<SiteObject, LatestSession>,
    next_number: u32,
}

impl SessionTracker {
    /// Returns the number of the session that a request belongs to: the latest one of the object at
    /// the site, or a new one if there is none or its last request is too long ago.
    pub(super) fn assign(&mut self, site: u16, object: u64, arrived_us: u64) -> u32 {
        let site_object = SiteObject { site, object };
        let continued = self
            .latest
            .get(&site_object)
            .filter(|latest| arrived_us <= latest.last_request_us + MAX_SESSION_GAP_US);
        let number = match continued {
            Some(latest) => latest.number,
            None => self.allocate_number(),
        };
        let latest = LatestSession { number, last_request_us: arrived_us };
        self.latest.insert(site_object, latest);
        number
    }

    fn allocate_number(&mut self) -> u32 {
        self.next_number += 1;
        self.next_number - 1
    }
}
