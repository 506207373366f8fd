//! What this router knows of one endpoint: its list entry, health scores, load and warm-up state.

use crate::interface::{CacheStatusReporting, EndpointEntry, Settings};
use crate::state::fault_detector::FaultDetector;
use crate::state::open_request::AttemptId;
use crate::time::{ratio, secs, span_from_secs, Timestamp};
use std::cell::Cell;
use std::collections::VecDeque;
use std::time::Duration;

/// An ejected endpoint gets a recovery probe request after this long, doubled up to eight times as
/// much.
pub(crate) const EJECTION_TIME: Duration = Duration::from_millis(500);
/// Smoothing of the overdue score, of the error rate, and what a successful recovery probe request
/// makes of them.
const OVERDUE_SAMPLES: f64 = 24.0;
const EJECTED_OVERDUE_STEP: f64 = 0.25;
const ERROR_SAMPLES: f64 = 8.0;
const READMITTED_ERROR_FACTOR: f64 = 0.5;
const READMITTED_OVERDUE_FACTOR: f64 = 0.8;
/// Demand that a warm-up budget did not admit decays over about this long.
const UNMET_DEMAND_WINDOW: Duration = Duration::from_millis(1_500);
/// An endpoint's responses are counted over about this long, to estimate how many its silence
/// lacks.
pub(crate) const RESPONSE_COUNT_WINDOW: Duration = Duration::from_secs(10);
/// Weight of an overdue attempt as evidence of failure where no responses were to be expected.
const MIN_SILENCE_EVIDENCE: f64 = 0.4;
/// From this much evidence on, an endpoint's silence counts as failure: not for each large object.
pub(crate) const CERTAIN_SILENCE: f64 = 0.7;
/// Own load is averaged over this long to estimate that of other routers: long enough for several
/// requests, yet short against an overload.
pub(crate) const LOAD_WINDOW: Duration = Duration::from_secs(3);
/// The same at parent caches: what all routers start there in a second is more than they can serve.
pub(crate) const FILL_LOAD_WINDOW: Duration = Duration::from_millis(1_500);

/// What an endpoint is to this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EndpointRole {
    /// An edge cache of the router's own zone.
    #[default]
    LocalCache,
    /// An edge cache of another zone.
    RemoteCache,
    /// A parent cache, of any zone.
    Parent,
    /// The origin.
    Origin,
}

impl EndpointRole {
    /// The role that the settings give to a list entry.
    pub(crate) fn of(settings: &Settings, entry: &EndpointEntry) -> EndpointRole {
        match Some(entry.kind) {
            kind if kind == settings.parent_kind => EndpointRole::Parent,
            kind if kind == settings.origin_kind => EndpointRole::Origin,
            _ if entry.zone == settings.zone => EndpointRole::LocalCache,
            _ => EndpointRole::RemoteCache,
        }
    }
}

/// Evidence against an endpoint. Only a lost process comes back with an empty memory, so that it
/// has to warm up: a machine that was cut off goes on where it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// It is slow or returns errors.
    Slow,
    /// Nothing comes back from it.
    Unreachable,
    /// Its process has ended.
    ProcessLost,
}

impl HealthSignal {
    /// What a failed connection says. A refusal comes at once; a connection that was waited for
    /// until its timeout is no more than silence.
    pub(crate) fn from_failed_connect(settings: &Settings, latency: Duration) -> HealthSignal {
        if settings.connect_timeout > Duration::ZERO && latency >= settings.connect_timeout {
            HealthSignal::Unreachable
        } else {
            HealthSignal::ProcessLost
        }
    }
}

/// Work that was sent to an endpoint, or to the endpoint that would fill from it.
#[derive(Clone, Debug)]
pub(crate) struct AssignedWork {
    pub(crate) at: Timestamp,
    /// The attempt; none where another process sent it, whose outcomes do not arrive here.
    pub(crate) attempt: Option<AttemptId>,
    /// Expected sending time in seconds.
    pub(crate) work: f64,
}

/// Where an endpoint's admission slots stand while it warms up.
#[derive(Clone, Copy, Debug)]
struct WarmUpPhase {
    /// Part of the way to the next slot, 0 to 1.
    position: f64,
    updated_at: Timestamp,
}

/// Work in seconds that a warm-up budget did not admit, decaying.
#[derive(Clone, Copy, Debug, Default)]
struct UnmetDemand {
    updated_at: Timestamp,
    work: f64,
}

/// What is known of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) entry: EndpointEntry,
    pub(crate) role: EndpointRole,
    /// Since when it may be warming up: its start as listed, or its return as seen here.
    pub(crate) warm_up_started: Option<Timestamp>,
    /// Evidence of failure since its last response.
    pub(crate) error_score: f64,
    /// Part of its requests that met errors here and none elsewhere, smoothed.
    pub(crate) error_rate: f64,
    /// For a parent cache: part of the attempts that named it and stayed overdue, smoothed.
    pub(crate) overdue_score: f64,
    pub(crate) last_response: Timestamp,
    /// Responses over about the last [`RESPONSE_COUNT_WINDOW`], as of the last one.
    pub(crate) response_count: f64,
    /// No ordinary requests until this time; then one recovery probe request decides.
    pub(crate) ejected_until: Option<Timestamp>,
    pub(crate) ejection_backoff: Duration,
    /// A recovery probe request is in flight.
    pub(crate) recovery_probe_in_flight: bool,
    /// Its process was seen to end (connections fail or break): it comes back with an empty cache.
    pub(crate) process_lost: bool,
    /// Only active probes prove that it is alive; responses that name it do not.
    pub(crate) needs_probe: bool,
    pub(crate) fault_detector: FaultDetector,
    /// While it warms up: where its admission slots stand, and when the latest began.
    warm_up_phase: Option<WarmUpPhase>,
    pub(crate) admission_slot: Timestamp,
    /// Own attempts that it is working on, and their smoothed number when that last changed.
    pub(crate) in_flight: u32,
    pub(crate) load: f64,
    pub(crate) load_updated_at: Timestamp,
    /// Latency of its responses as a part of the latency objective, smoothed.
    pub(crate) lateness: f64,
    /// Work that was sent to it lately.
    pub(crate) load_history: VecDeque<AssignedWork>,
    unmet_demand: Cell<UnmetDemand>,
}

impl Endpoint {
    /// An endpoint of which nothing is known but its list entry.
    pub(crate) fn new(entry: EndpointEntry) -> Endpoint {
        Endpoint { entry, ..Endpoint::default() }
    }

    /// Own attempts in flight, averaged over about the window.
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

    /// Adds work to the average that is known only at its end: it was in flight for that long.
    pub(crate) fn add_past_load(&mut self, now: Timestamp, window: Duration, duration: Duration) {
        let load = self.average_load(now, window) + ratio(duration, window);
        self.load = load;
        self.load_updated_at = now;
    }

    fn update_load(&mut self, now: Timestamp, window: Duration) {
        self.load = self.average_load(now, window);
        self.load_updated_at = now;
    }

    /// Seconds of work that were sent to it after that time.
    pub(crate) fn work_since(&self, since: Timestamp) -> f64 {
        self.load_history.iter().filter(|sent| sent.at > since).map(|sent| sent.work).sum()
    }

    /// Records work that its warm-up budget did not admit, once a moment: one request may be
    /// checked several times.
    pub(crate) fn record_unmet_demand(&self, now: Timestamp, work: f64) {
        let unmet = self.unmet_demand.get();
        if now > unmet.updated_at {
            let work = unmet.work * unmet_decay(now.duration_since(unmet.updated_at)) + work;
            self.unmet_demand.set(UnmetDemand { updated_at: now, work });
        }
    }

    /// Seconds of work that its warm-up budget did not admit lately.
    pub(crate) fn unmet_demand(&self, now: Timestamp) -> f64 {
        let unmet = self.unmet_demand.get();
        unmet.work * unmet_decay(now.saturating_duration_since(unmet.updated_at))
    }

    /// It is alive: its error score is void, and if its process was lost it warms up from now on.
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

    /// For a parent cache: counts an attempt that named it, overdue or not. While it is ejected
    /// only recovery probe requests name it, and an overdue one weighs more.
    pub(crate) fn count_overdue(&mut self, is_overdue: bool) {
        let step =
            if is_overdue && !self.is_available() { EJECTED_OVERDUE_STEP } else { 1.0 / OVERDUE_SAMPLES };
        self.overdue_score += (f64::from(u8::from(is_overdue)) - self.overdue_score) * step;
    }

    /// Counts an error that other endpoints did not give.
    pub(crate) fn count_error(&mut self) {
        self.error_rate += (1.0 - self.error_rate) / ERROR_SAMPLES;
    }

    /// Reduces its error rate after a success, and further its scores after one of a recovery probe
    /// request.
    fn reduce_error_scores(&mut self) {
        if self.is_available() {
            self.error_rate *= 1.0 - 1.0 / ERROR_SAMPLES;
        } else {
            self.error_rate *= READMITTED_ERROR_FACTOR;
            self.overdue_score *= READMITTED_OVERDUE_FACTOR;
        }
    }

    /// Weight of the silence since then as evidence of failure, 0 to 1: small at an endpoint that
    /// rarely responds to this router. Several overdue attempts in a row still eject such an
    /// endpoint.
    pub(crate) fn silence_evidence(&self, now: Timestamp, since: Timestamp) -> f64 {
        let rate = self.response_count / secs(RESPONSE_COUNT_WINDOW);
        let expected = rate * secs(now.saturating_duration_since(since));
        1.0 - (1.0 - MIN_SILENCE_EVIDENCE) * (-expected).exp()
    }

    /// Whether it is not ejected.
    pub(crate) fn is_available(&self) -> bool {
        self.ejected_until.is_none()
    }

    /// Whether a recovery probe request may be sent to it now.
    pub(crate) fn readmission_due(&self, now: Timestamp) -> bool {
        let ejection_over = self.ejected_until.is_some_and(|until| now >= until);
        !self.recovery_probe_in_flight && !self.awaits_probe() && ejection_over
    }

    /// Its process is presumed lost, and only an active probe proves that it is back.
    pub(crate) fn awaits_probe(&self) -> bool {
        self.process_lost && self.needs_probe
    }

    /// Derives from the settings whether only probes prove that it is alive.
    pub(crate) fn assign_needs_probe(&mut self, settings: &Settings) {
        let hits_look_like_fills = settings.cache_status_reporting == CacheStatusReporting::None;
        self.needs_probe = settings.probes && hits_look_like_fills && self.role == EndpointRole::Parent;
    }

    /// Its process has started anew: it warms up, and what was held against the one before is void.
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

    /// Moves its admission slots to the present; their phase begins at `initial_position`.
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

    /// Forgets its admission slots; they begin anew with a phase of their own.
    pub(crate) fn reset_admission_slots(&mut self) {
        self.warm_up_phase = None;
        self.admission_slot = Timestamp::ZERO;
    }
}

fn unmet_decay(elapsed: Duration) -> f64 {
    (-ratio(elapsed, UNMET_DEMAND_WINDOW)).exp()
}
