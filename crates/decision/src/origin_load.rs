//! How freely what is behind the parents may be asked: the share of requests that may have something fetched there,
//! cut by late answers and recovered slowly (multiplicative decrease, exponential recovery). What is done with it is
//! in `policy`.

use crate::interface::*;
use crate::state::Relief;

/// Lateness is that of about so many of the last answers, and of the last FADE.
const LAST: f64 = 16.0;
const FADE: Duration = Duration::from_secs(3);
/// From this share of late answers on each further one has less asked for. Crowded endpoints alone have a tenth
/// late (the simulator's overloaded days), sources that stand still all misses.
const LATE: f64 = 0.2;
/// By so much each time: large, as what waits at the sources is late whatever is done...
const CUT: f64 = 0.67;
/// ...and the way back is slow, e-fold in this time: all routers come back at once.
const BACK: Duration = Duration::from_secs(3);
/// This share goes on being asked for: it tells when the sources are well again.
const LEAST: f64 = 0.03;
/// A late write cuts the share by so many steps at once.
const WRITE: f64 = 2.0;

impl Relief {
    /// The share that may be asked for, and the lateness, as of now: the one grows once the other has faded.
    pub(crate) fn now(&self, now: Timestamp) -> (f64, f64) {
        let past = micros_f64(now.saturating_duration_since(self.at));
        let faded = (self.late / LATE).max(1.0).ln() * micros_f64(FADE);
        let open = self.open * ((past - faded).max(0.0) / micros_f64(BACK)).exp();
        (open.min(1.0), self.late * (-past / micros_f64(FADE)).exp())
    }

    pub(crate) fn advance(&mut self, now: Timestamp) {
        ((self.open, self.late), self.at) = (self.now(now), now);
    }

    /// An answer that may have come from afar, in time or late.
    pub(crate) fn learn(&mut self, now: Timestamp, late: bool, weight: f64) {
        self.advance(now);
        self.late += (f64::from(u8::from(late)) - self.late) * weight / LAST;
        if late && self.late > LATE {
            self.open = (self.open * CUT).max(LEAST);
        }
    }

    /// A write that was late: no hit is among those, so that one is enough.
    pub(crate) fn late_write(&mut self, now: Timestamp) {
        self.advance(now);
        (self.well, self.late) = (Timestamp::ZERO, self.late.max(LATE * std::f64::consts::E));
        self.open = (self.open * CUT.powf(WRITE)).max(LEAST);
    }
}
