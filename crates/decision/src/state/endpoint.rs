//! What this router knows of one endpoint: its list entry, health scores, load and warm-up state.

use crate::interface::{CacheStatusReporting, EndpointEntry, Settings};
use crate::state::fault_detector::FaultDetector;
use crate::state::open_request::AttemptId;
use crate::time::{ratio, secs, span_from_secs, Timestamp};
use std::cell::Cell;
use std::collections::VecDeque;
use std::time::Duration;

/// Initial ejection time: an ejected endpoint is due for a recovery probe after this. Failed
/// recovery probes double it up to eight times this value.
pub(crate) const EJECTION_TIME: Duration = Duration::from_millis(500);
/// The overdue score is smoothed over about this many attempts.
const OVERDUE_SAMPLES: f64 = 24.0;
/// Smoothing factor of the overdue score for an overdue attempt at an ejected endpoint.
const EJECTED_OVERDUE_STEP: f64 = 0.25;
/// The error rate is smoothed over about this many requests.
const ERROR_SAMPLES: f64 = 8.0;
/// A successful recovery probe multiplies the error rate by this.
const READMITTED_ERROR_FACTOR: f64 = 0.5;
/// A successful recovery probe multiplies the overdue score by this.
const READMITTED_OVERDUE_FACTOR: f64 = 0.8;
/// Time constant of the exponential decay of unmet demand.
const UNMET_DEMAND_WINDOW: Duration = Duration::from_millis(1_500);
/// Time constant of the decay of an endpoint's response count, from which the number of responses
/// that its silence lacks is estimated.
pub(crate) const RESPONSE_COUNT_WINDOW: Duration = Duration::from_secs(10);
/// Weight of an overdue attempt as evidence of a failure of an endpoint from which no response was
/// expected in the meantime.
const MIN_SILENCE_EVIDENCE: f64 = 0.4;
/// Evidence, 0 to 1, from which on an endpoint's silence counts as a failure. It is above
/// [`MIN_SILENCE_EVIDENCE`] so that a single wait for a large object does not count.
pub(crate) const CERTAIN_SILENCE: f64 = 0.7;
/// Time constant of the average of this router's own load at an edge cache, from which the load of
/// other routers is estimated. It is long enough to cover several requests, and short compared with
/// the duration of an overload.
pub(crate) const LOAD_WINDOW: Duration = Duration::from_secs(3);
/// Time constant of the same average at parent caches. It is shorter because all routers together
/// start more fills at a parent within a second than it can serve.
pub(crate) const FILL_LOAD_WINDOW: Duration = Duration::from_millis(1_500);

/// Role of an endpoint from this router's point of view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EndpointRole {
    /// An edge cache of the router's own zone.
    #[default]
    LocalCache,
    /// An edge cache of another zone.
    RemoteCache,
    /// A parent cache, of any zone.
    Parent,
    /// The origin, which parent caches fill from.
    Origin,
}

impl EndpointRole {
    /// The role of a list entry: by its kind as the settings define it, and by its zone. An entry
    /// of any other kind is an edge cache.
    pub(crate) fn of(settings: &Settings, entry: &EndpointEntry) -> EndpointRole {
        match Some(entry.kind) {
            kind if kind == settings.parent_kind => EndpointRole::Parent,
            kind if kind == settings.origin_kind => EndpointRole::Origin,
            _ if entry.zone == settings.zone => EndpointRole::LocalCache,
            _ => EndpointRole::RemoteCache,
        }
    }
}

/// Kind of evidence that an endpoint has failed. Only an endpoint whose process has ended returns
/// with an empty cache and has to warm up; one that was only cut off resumes with its cache intact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// The endpoint is slow or returns errors.
    Slow,
    /// The endpoint does not answer connection attempts.
    Unreachable,
    /// The endpoint's process has ended.
    ProcessLost,
}

impl HealthSignal {
    /// The evidence that a failed connection attempt gives, by its latency. A refused connection
    /// fails at once and shows that the process has ended. One that failed after the connect
    /// timeout or later shows only that the endpoint does not answer.
    pub(crate) fn from_failed_connect(settings: &Settings, latency: Duration) -> HealthSignal {
        if settings.connect_timeout > Duration::ZERO && latency >= settings.connect_timeout {
            HealthSignal::Unreachable
        } else {
            HealthSignal::ProcessLost
        }
    }
}

/// Work of one attempt that was sent to an endpoint, or to a cache that may fill from it.
#[derive(Clone, Debug)]
pub(crate) struct AssignedWork {
    /// Time at which the attempt was sent.
    pub(crate) at: Timestamp,
    /// The attempt. `None` if another process sent it; its outcome does not reach this module.
    pub(crate) attempt: Option<AttemptId>,
    /// Expected sending time in seconds.
    pub(crate) work: f64,
}

/// Progress of an endpoint's admission slots during its warm-up.
#[derive(Clone, Copy, Debug)]
struct WarmUpPhase {
    /// Elapsed fraction of the interval to the next slot, 0 to 1.
    position: f64,
    updated_at: Timestamp,
}

/// Demand that a warm-up budget did not admit, as a decaying sum.
#[derive(Clone, Copy, Debug, Default)]
struct UnmetDemand {
    updated_at: Timestamp,
    /// Seconds of work as of `updated_at`.
    work: f64,
}

/// State of one endpoint, listed or remembered.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    /// The latest entry of the endpoint list.
    pub(crate) entry: EndpointEntry,
    pub(crate) role: EndpointRole,
    /// Start of the warm-up: the listed start, or the first response after the process was presumed
    /// lost. `None` if the endpoint was warm when it was first listed.
    pub(crate) warm_up_started: Option<Timestamp>,
    /// Sum of the weights of failures since the last response; see `EJECTION_SCORE`.
    pub(crate) error_score: f64,
    /// Smoothed share of requests, 0 to 1, that returned errors here although another endpoint
    /// could serve them.
    pub(crate) error_rate: f64,
    /// For a parent cache: smoothed share of overdue attempts, 0 to 1, among the attempts that
    /// named it.
    pub(crate) overdue_score: f64,
    /// Time of the last response; [`Timestamp::ZERO`] if there was none.
    pub(crate) last_response: Timestamp,
    /// Decaying count of responses as of `last_response`, with [`RESPONSE_COUNT_WINDOW`] as its
    /// time constant.
    pub(crate) response_count: f64,
    /// End of the ejection: until then requests go to other endpoints if there are any, and
    /// afterwards recovery probes are sent until one succeeds. `None` if it is not ejected.
    pub(crate) ejected_until: Option<Timestamp>,
    /// Duration of the next ejection; failed recovery probes double it.
    pub(crate) ejection_backoff: Duration,
    /// Whether an attempt that decides on the endpoint's readmission is in flight.
    pub(crate) recovery_probe_in_flight: bool,
    /// Whether its process is presumed to have ended, by its own failures or because its zone
    /// restarted. It will return with an empty cache.
    pub(crate) process_lost: bool,
    /// Whether only an active probe proves that it is alive. Responses to attempts that name it do
    /// not prove it, since hits look like fills.
    pub(crate) needs_probe: bool,
    pub(crate) fault_detector: FaultDetector,
    /// Progress of its admission slots; `None` until they are first advanced.
    warm_up_phase: Option<WarmUpPhase>,
    /// Beginning of the latest admission slot; [`Timestamp::ZERO`] if there was none.
    pub(crate) admission_slot: Timestamp,
    /// Number of this router's attempts in flight at the endpoint; at a parent cache, fills
    /// included.
    pub(crate) in_flight: u32,
    /// Smoothed value of `in_flight` as of `load_updated_at`.
    pub(crate) load: f64,
    pub(crate) load_updated_at: Timestamp,
    /// Smoothed ratio of the latency of its responses to the latency objective.
    pub(crate) lateness: f64,
    /// Work sent to the endpoint within about the last overload window, oldest first.
    pub(crate) load_history: VecDeque<AssignedWork>,
    /// In a cell because the check of the budget, which takes `&self`, records it.
    unmet_demand: Cell<UnmetDemand>,
}

impl Endpoint {
    /// An available endpoint with empty statistics.
    pub(crate) fn new(entry: EndpointEntry) -> Endpoint {
        Endpoint { entry, ..Endpoint::default() }
    }

    /// Number of this router's attempts in flight, averaged exponentially with the time constant
    /// `window`.
    pub(crate) fn average_load(&self, now: Timestamp, window: Duration) -> f64 {
        let decay = (-ratio(now.saturating_duration_since(self.load_updated_at), window)).exp();
        f64::from(self.in_flight) + (self.load - f64::from(self.in_flight)) * decay
    }

    /// Counts one more attempt in flight.
    pub(crate) fn increment_in_flight(&mut self, now: Timestamp, window: Duration) {
        self.update_load(now, window);
        self.in_flight += 1;
    }

    /// Counts one attempt less in flight.
    pub(crate) fn decrement_in_flight(&mut self, now: Timestamp, window: Duration) {
        self.update_load(now, window);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Adds an attempt to the average load that was not counted while it was in flight for
    /// `duration`.
    pub(crate) fn add_past_load(&mut self, now: Timestamp, window: Duration, duration: Duration) {
        let load = self.average_load(now, window) + ratio(duration, window);
        self.load = load;
        self.load_updated_at = now;
    }

    fn update_load(&mut self, now: Timestamp, window: Duration) {
        self.load = self.average_load(now, window);
        self.load_updated_at = now;
    }

    /// Seconds of work that were sent to the endpoint after `since`.
    pub(crate) fn work_since(&self, since: Timestamp) -> f64 {
        self.load_history.iter().filter(|sent| sent.at > since).map(|sent| sent.work).sum()
    }

    /// Adds `work` seconds to the unmet demand. Only the first call at a given time counts, because
    /// the budget is checked several times for one request.
    pub(crate) fn record_unmet_demand(&self, now: Timestamp, work: f64) {
        let unmet = self.unmet_demand.get();
        if now > unmet.updated_at {
            let work = unmet.work * unmet_decay(now.duration_since(unmet.updated_at)) + work;
            self.unmet_demand.set(UnmetDemand { updated_at: now, work });
        }
    }

    /// Seconds of work that the warm-up budget did not admit lately, decayed to `now`.
    pub(crate) fn unmet_demand(&self, now: Timestamp) -> f64 {
        let unmet = self.unmet_demand.get();
        unmet.work * unmet_decay(now.saturating_duration_since(unmet.updated_at))
    }

    /// Records a proof that the endpoint is alive: counts a response and resets the error score. If
    /// its process was presumed lost, it warms up from now on.
    pub(crate) fn mark_alive(&mut self, now: Timestamp) {
        self.count_response(now);
        self.error_score = 0.0;
        self.recovery_probe_in_flight = false;
        if self.process_lost {
            self.process_lost = false;
            self.warm_up_started = self.warm_up_started.max(Some(now));
        }
        self.reduce_error_scores();
    }

    fn count_response(&mut self, now: Timestamp) {
        let idle = now.saturating_duration_since(self.last_response);
        self.response_count = 1.0 + self.response_count * (-secs(idle) / secs(RESPONSE_COUNT_WINDOW)).exp();
        self.last_response = now;
    }

    /// For a parent cache: adds an attempt that named it to the overdue score. While the parent is
    /// ejected only recovery probes name it, and an overdue one has a greater weight.
    pub(crate) fn count_overdue(&mut self, is_overdue: bool) {
        let step =
            if is_overdue && !self.is_available() { EJECTED_OVERDUE_STEP } else { 1.0 / OVERDUE_SAMPLES };
        self.overdue_score += (f64::from(u8::from(is_overdue)) - self.overdue_score) * step;
    }

    /// Adds to the error rate an error that no other endpoint returned for the request.
    pub(crate) fn count_error(&mut self) {
        self.error_rate += (1.0 - self.error_rate) / ERROR_SAMPLES;
    }

    /// Lowers the error rate after a response. The success of a recovery probe lowers it further,
    /// and the overdue score too.
    fn reduce_error_scores(&mut self) {
        if self.is_available() {
            self.error_rate *= 1.0 - 1.0 / ERROR_SAMPLES;
        } else {
            self.error_rate *= READMITTED_ERROR_FACTOR;
            self.overdue_score *= READMITTED_OVERDUE_FACTOR;
        }
    }

    /// How strongly the lack of responses since `since` indicates a failure, from
    /// [`MIN_SILENCE_EVIDENCE`] to 1. The value is low for an endpoint that rarely responds to this
    /// router; several overdue attempts in a row still eject such an endpoint.
    pub(crate) fn silence_evidence(&self, now: Timestamp, since: Timestamp) -> f64 {
        let rate = self.response_count / secs(RESPONSE_COUNT_WINDOW);
        let expected = rate * secs(now.saturating_duration_since(since));
        1.0 - (1.0 - MIN_SILENCE_EVIDENCE) * (-expected).exp()
    }

    /// Whether the endpoint is not ejected. It may still be draining or removed.
    pub(crate) fn is_available(&self) -> bool {
        self.ejected_until.is_none()
    }

    /// Whether a recovery probe may be sent to the endpoint: its ejection time is over, no recovery
    /// probe is in flight, and it does not have to be probed actively.
    pub(crate) fn readmission_due(&self, now: Timestamp) -> bool {
        let ejection_over = self.ejected_until.is_some_and(|until| now >= until);
        !self.recovery_probe_in_flight && !self.awaits_probe() && ejection_over
    }

    /// Whether the process is presumed lost and only an active probe can readmit the endpoint.
    pub(crate) fn awaits_probe(&self) -> bool {
        self.process_lost && self.needs_probe
    }

    /// Sets `needs_probe`: for a parent cache, if probes are allowed and outcomes do not
    /// distinguish hits from fills.
    pub(crate) fn assign_needs_probe(&mut self, settings: &Settings) {
        let hits_look_like_fills = settings.cache_status_reporting == CacheStatusReporting::None;
        self.needs_probe = settings.probes && hits_look_like_fills && self.role == EndpointRole::Parent;
    }

    /// Resets the state for a newly started process: clears the evidence against the previous one
    /// and begins the warm-up at the listed start.
    pub(crate) fn reset_after_start(&mut self) {
        let listed_start = (self.entry.started > Timestamp::ZERO).then_some(self.entry.started);
        self.warm_up_started = self.warm_up_started.max(listed_start);
        self.error_score = 0.0;
        self.ejected_until = None;
        self.ejection_backoff = EJECTION_TIME;
        self.recovery_probe_in_flight = false;
        self.process_lost = false;
        self.reset_admission_slots();
    }

    /// Advances the admission slots to `now`, and notes the beginning of the latest slot.
    /// `initial_position` is the position in the first interval, 0 to 1.
    pub(crate) fn advance_admission_slots(
        &mut self,
        now: Timestamp,
        slots_per_second: f64,
        initial_position: f64,
    ) {
        let initial = WarmUpPhase { position: initial_position, updated_at: now };
        let phase = self.warm_up_phase.unwrap_or(initial);
        let position = phase.position + slots_per_second * secs(now.duration_since(phase.updated_at));
        if position >= 1.0 {
            let age = span_from_secs(position.fract() / slots_per_second);
            self.admission_slot = now.saturating_sub(age);
        }
        self.warm_up_phase = Some(WarmUpPhase { position: position.fract(), updated_at: now });
    }

    /// Discards the admission slots; the next ones begin at a new random position.
    pub(crate) fn reset_admission_slots(&mut self) {
        self.warm_up_phase = None;
        self.admission_slot = Timestamp::ZERO;
    }
}

/// Factor by which unmet demand decays within `elapsed`.
fn unmet_decay(elapsed: Duration) -> f64 {
    (-ratio(elapsed, UNMET_DEMAND_WINDOW)).exp()
}
