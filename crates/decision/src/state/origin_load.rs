//! How much may be requested of what is behind the parent caches: the share of requests that may
//! have something fetched there, cut by late responses and recovered slowly (multiplicative
//! decrease, exponential recovery). What is done with it is in `policy`.

use crate::interface::EndpointId;
use crate::time::{micros_f64, Timestamp};
use std::time::Duration;

/// Lateness is that of about so many of the last responses, and decays over this long.
const LATE_SAMPLE_WINDOW: f64 = 16.0;
const LATE_DECAY: Duration = Duration::from_secs(3);
/// From this share of late responses on each further one cuts the load. Overloaded endpoints alone
/// have a tenth late (the simulator's overloaded days), sources that stand still all misses.
const LATE_THRESHOLD: f64 = 0.2;
/// By so much each time: large, as what waits at the sources is late whatever is done...
const CUT_FACTOR: f64 = 0.67;
/// ...and the recovery is slow, e-fold in this time: all routers recover at once.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// This share is always allowed: it shows when the sources are well again.
const MIN_ALLOWED_SHARE: f64 = 0.03;
/// A late write cuts the share by so many steps at once.
const WRITE_CUTS: f64 = 2.0;

/// How much may be requested of the origin, and the evidence that it can't keep up.
#[derive(Debug)]
pub(crate) struct OriginLoad {
    /// The share of requests whose fills may have a parent cache fetch, as of `updated_at`.
    pub(crate) allowed_share: f64,
    /// Share of late responses among the last of them, as of `updated_at`.
    pub(crate) late_share: f64,
    pub(crate) updated_at: Timestamp,
    /// When the origin itself last responded in time.
    pub(crate) last_in_time: Timestamp,
    /// The last attempt that was refused.
    pub(crate) last_refusal: Option<Refusal>,
}

/// An attempt that was refused: where it went, and where its fill was to come from.
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
    /// The share of requests that may have something fetched now. It grows once the lateness has
    /// decayed.
    pub(crate) fn allowed_share(&self, now: Timestamp) -> f64 {
        let elapsed = micros_f64(now.saturating_duration_since(self.updated_at));
        let decay_time = (self.late_share / LATE_THRESHOLD).max(1.0).ln() * micros_f64(LATE_DECAY);
        let recovery = (elapsed - decay_time).max(0.0) / micros_f64(RECOVERY_TIME);
        (self.allowed_share * recovery.exp()).min(1.0)
    }

    fn late_share(&self, now: Timestamp) -> f64 {
        let elapsed = micros_f64(now.saturating_duration_since(self.updated_at));
        self.late_share * (-elapsed / micros_f64(LATE_DECAY)).exp()
    }

    fn advance(&mut self, now: Timestamp) {
        let allowed_share = self.allowed_share(now);
        self.late_share = self.late_share(now);
        self.allowed_share = allowed_share;
        self.updated_at = now;
    }

    fn add_sample(&mut self, late: f64, weight: f64) {
        self.late_share += (late - self.late_share) * weight / LATE_SAMPLE_WINDOW;
    }

    /// Adds a response in time that may have come from the origin.
    pub(crate) fn record_in_time(&mut self, now: Timestamp) {
        self.advance(now);
        self.add_sample(0.0, 1.0);
    }

    /// Adds a late response that may have come from the origin, or what counts as so many of them.
    pub(crate) fn record_late(&mut self, now: Timestamp, weight: f64) {
        self.advance(now);
        self.add_sample(1.0, weight);
        if self.late_share > LATE_THRESHOLD {
            self.allowed_share = (self.allowed_share * CUT_FACTOR).max(MIN_ALLOWED_SHARE);
        }
    }

    /// Adds a write that was late: no hit is among those, so that one is enough.
    pub(crate) fn record_late_write(&mut self, now: Timestamp) {
        self.advance(now);
        self.last_in_time = Timestamp::ZERO;
        self.late_share = self.late_share.max(LATE_THRESHOLD * std::f64::consts::E);
        self.allowed_share = (self.allowed_share * CUT_FACTOR.powf(WRITE_CUTS)).max(MIN_ALLOWED_SHARE);
    }
}
