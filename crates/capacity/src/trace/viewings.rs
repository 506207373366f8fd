//! Grouping of requests into viewings: all requests of one site for one object that follow each
//! other closely. Load is scaled by viewings.

use std::collections::HashMap;

/// Requests belong to one viewing up to this gap.
const MAX_VIEWING_GAP_US: u64 = 5_000_000;

/// An object at a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SiteObject {
    site: u16,
    object: u64,
}

/// The latest viewing of an object at a site.
#[derive(Clone, Copy, Debug)]
struct LatestViewing {
    number: u32,
    last_request_us: u64,
}

/// Assigns requests to viewings, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct ViewingTracker {
    latest: HashMap<SiteObject, LatestViewing>,
    next_number: u32,
}

impl ViewingTracker {
    /// The number of the viewing that a request belongs to.
    pub(super) fn assign(&mut self, site: u16, object: u64, arrived_us: u64) -> u32 {
        let site_object = SiteObject { site, object };
        let continued = self
            .latest
            .get(&site_object)
            .filter(|latest| arrived_us <= latest.last_request_us + MAX_VIEWING_GAP_US);
        let number = match continued {
            Some(latest) => latest.number,
            None => self.take_number(),
        };
        let latest = LatestViewing { number, last_request_us: arrived_us };
        self.latest.insert(site_object, latest);
        number
    }

    fn take_number(&mut self) -> u32 {
        self.next_number += 1;
        self.next_number - 1
    }
}
