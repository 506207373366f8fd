//! The clock that all timers and deadlines of the process run on.

use hollymux_decision::time::whole_micros;
use hollymux_decision::Timestamp;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The Unix clock as it stood when the process started, advanced by the monotonic clock from then
/// on: a step of the system's clock must neither stop the timers nor expire all of them at once.
pub(crate) struct Clock {
    started_at: Duration,
    started: Instant,
}

impl Clock {
    /// Reads both clocks.
    pub(crate) fn start() -> Clock {
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { started_at, started: Instant::now() }
    }

    /// The present time in microseconds.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::from_micros(whole_micros(self.started_at + self.started.elapsed()))
    }
}
