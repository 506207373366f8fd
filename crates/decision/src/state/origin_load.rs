//! Estimate of the load that the origin can take: the share of requests that may cause fetches
//! behind the parent caches. Late responses cut it, and it recovers exponentially. Which requests
//! are shed is decided in `policy`.

use crate::interface::EndpointId;
use crate::time::{micros_f64, Timestamp};
use std::time::Duration;

/// The share of late responses is smoothed over about this many responses.
const LATE_SAMPLE_WINDOW: f64 = 16.0;
/// Time constant of the decay of the share of late responses.
const LATE_DECAY: Duration = Duration::from_secs(3);
/// Share of late responses above which each further late response cuts the allowed share.
/// Overloaded caches alone make about 0.1 of the responses late (in the simulator's overload
/// scenarios), stalled sources all misses.
const LATE_THRESHOLD: f64 = 0.2;
/// Factor by which a late response cuts the allowed share. The cut is large because requests that
/// already wait at the sources will be late in any case.
const CUT_FACTOR: f64 = 0.67;
/// Time in which the allowed share grows by a factor of e. The growth is slow because all routers
/// recover at the same time.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Minimum allowed share. The remaining requests show when the sources have recovered.
const MIN_ALLOWED_SHARE: f64 = 0.03;
/// Number of cuts that a late write makes at once.
const WRITE_CUTS: f64 = 2.0;

/// Share of requests that may cause fetches from the origin, and the evidence that the origin can't
/// keep up.
#[derive(Debug)]
pub(crate) struct OriginLoad {
    /// Share of requests whose fills may have a parent cache fetch, as of `updated_at`.
    pub(crate) allowed_share: f64,
    /// Smoothed share of late responses, as of `updated_at`.
    pub(crate) late_share: f64,
    pub(crate) updated_at: Timestamp,
    /// Time of the last write that the origin answered in time; [`Timestamp::ZERO`] if there was
    /// none or a write was late since.
    pub(crate) last_in_time: Timestamp,
    /// The latest refusal of an attempt; `None` before the first one.
    pub(crate) last_refusal: Option<Refusal>,
}

/// The endpoint that refused an attempt, and the source that the attempt named.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) endpoint: EndpointId,
    pub(crate) source: EndpointId,
}

impl Default for OriginLoad {
    fn default() -> Self {
        OriginLoad {
            allowed_share: 1.0,
            late_share: 0.0,
            updated_at: Timestamp::ZERO,
            last_in_time: Timestamp::ZERO,
            last_refusal: None,
        }
    }
}

impl OriginLoad {
    /// Share of requests that may cause fetches at `now`. It begins to grow once the share of late
    /// responses has decayed to the threshold.
    pub(crate) fn allowed_share(&self, now: Timestamp) -> f64 {
        let elapsed = micros_f64(now.saturating_duration_since(self.updated_at));
        let decay_time = (self.late_share / LATE_THRESHOLD).max(1.0).ln() * micros_f64(LATE_DECAY);
        let recovery = (elapsed - decay_time).max(0.0) / micros_f64(RECOVERY_TIME);
        (self.allowed_share * recovery.exp()).min(1.0)
    }

    /// Share of late responses, decayed to `now`.
    fn decayed_late_share(&self, now: Timestamp) -> f64 {
        let elapsed = micros_f64(now.saturating_duration_since(self.updated_at));
        self.late_share * (-elapsed / micros_f64(LATE_DECAY)).exp()
    }

    /// Brings both shares up to `now`.
    fn advance(&mut self, now: Timestamp) {
        let allowed_share = self.allowed_share(now);
        self.late_share = self.decayed_late_share(now);
        self.allowed_share = allowed_share;
        self.updated_at = now;
    }

    /// Adds a response to the smoothed share of late responses: `late` is 1 if it was late, else 0.
    fn add_sample(&mut self, late: f64, weight: f64) {
        self.late_share += (late - self.late_share) * weight / LATE_SAMPLE_WINDOW;
    }

    /// Records a response in time that may have come from the origin.
    pub(crate) fn record_in_time(&mut self, now: Timestamp) {
        self.advance(now);
        self.add_sample(0.0, 1.0);
    }

    /// Records evidence of overload: late responses that may have come from the origin. `weight` is
    /// the number of late responses that it counts as.
    pub(crate) fn record_late(&mut self, now: Timestamp, weight: f64) {
        self.advance(now);
        self.add_sample(1.0, weight);
        if self.late_share > LATE_THRESHOLD {
            self.allowed_share = (self.allowed_share * CUT_FACTOR).max(MIN_ALLOWED_SHARE);
        }
    }

    /// Records a late write. One is enough to cut the allowed share, because writes are never cache
    /// hits.
    pub(crate) fn record_late_write(&mut self, now: Timestamp) {
        self.advance(now);
        self.last_in_time = Timestamp::ZERO;
        self.late_share = self.late_share.max(LATE_THRESHOLD * std::f64::consts::E);
        self.allowed_share = (self.allowed_share * CUT_FACTOR.powf(WRITE_CUTS)).max(MIN_ALLOWED_SHARE);
    }
}
