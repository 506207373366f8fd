//! The clock for all timers and deadlines of the process.

use hollymux_decision::time::whole_micros;
use hollymux_decision::Timestamp;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The Unix time at the start of the process, advanced by the monotonic clock. A step of the system
/// clock must neither stop the timers nor expire all of them at once.
pub(crate) struct Clock {
    /// The Unix time at the start.
    started_at: Duration,
    /// The monotonic time at the start.
    started: Instant,
}

impl Clock {
    /// Starts the clock from the current Unix time.
    pub(crate) fn start() -> Clock {
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { started_at, started: Instant::now() }
    }

    /// The current Unix time, in microseconds.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::from_micros(whole_micros(self.started_at + self.started.elapsed()))
    }
}
