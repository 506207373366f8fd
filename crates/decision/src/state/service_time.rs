//! Estimates of how long requests of each class take to serve, from their sizes and latencies, and
//! the time after which an attempt is overdue.

use crate::interface::{AttemptOutcome, CacheStatus, CacheStatusReporting, Request, RequestClass};
use crate::module::DecisionModule;
use crate::time::{secs, span_from_secs};
use std::time::Duration;

/// Number of recent requests over which a class's mean service time is averaged.
const SAMPLE_WINDOW: f64 = 50.0;
/// Minimum service time in seconds, to avoid divisions by zero.
const MIN_SERVICE_TIME: f64 = 0.001;
/// Bounds and initial value of the latency quantile, as multiples of the expected latency.
const MIN_LATENCY_QUANTILE: f64 = 0.2;
pub(crate) const MAX_LATENCY_QUANTILE: f64 = 20.0;
const INITIAL_LATENCY_QUANTILE: f64 = 1.5;
/// Relative step by which the latency quantile is adjusted.
const QUANTILE_STEP: f64 = 0.1;
/// An attempt is overdue at this multiple of the latency quantile.
const OVERDUE_MARGIN: f64 = 1.1;
/// Minimum time in seconds after which an attempt is overdue.
const MIN_OVERDUE_SECS: f64 = 0.1;
/// Fraction of the latency objective that a transfer of known size is expected to take in addition
/// to its sending time.
const KNOWN_SIZE_OBJECTIVE_SHARE: f64 = 0.2;

/// Estimate for one class: its mean service time and a high quantile of its latency.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTimeEstimate {
    /// Mean service time in seconds.
    pub(crate) work: f64,
    /// Number of samples in `work`, at most [`SAMPLE_WINDOW`].
    pub(crate) samples: f64,
    /// Whether `work` was computed from known sizes.
    pub(crate) from_known_sizes: bool,
    /// Mean sending time of the bytes of responses, in seconds; `None` before the first one.
    /// Warm-up budgets do not rely on it alone, because few responses miss most of a class's large
    /// objects. `work` includes waiting times and so errs on the safe side.
    pub(crate) sending_time: Option<f64>,
    /// High quantile of the latency, as a multiple of the expected latency.
    pub(crate) latency_quantile: f64,
}

impl ServiceTimeEstimate {
    /// Initial estimate: the service time is the class's latency objective.
    pub(crate) fn new(class: &RequestClass) -> ServiceTimeEstimate {
        ServiceTimeEstimate {
            work: secs(class.latency_objective),
            samples: 0.0,
            from_known_sizes: false,
            sending_time: None,
            latency_quantile: INITIAL_LATENCY_QUANTILE,
        }
    }

    /// The same estimate for a class whose latency objective has changed. The latency quantile is
    /// rescaled, because it is relative to the objective where sizes are not known.
    pub(crate) fn rescaled(&self, old: &RequestClass, new: &RequestClass) -> ServiceTimeEstimate {
        let objective = |class: &RequestClass| secs(class.latency_objective).max(MIN_SERVICE_TIME);
        let scale = objective(old) / objective(new);
        let latency_quantile = clamp_quantile(self.latency_quantile * scale);
        ServiceTimeEstimate { latency_quantile, ..self.clone() }
    }

    /// Service time in seconds that a request of the class is assumed to cost an endpoint that
    /// warms up. Where sizes are not known, it is at least the mean sending time. `work` is too low
    /// where the load of an endpoint is overestimated, which happens because not every attempt in
    /// flight there is being sent.
    pub(crate) fn mean(&self) -> f64 {
        self.work.max(self.sending_time.filter(|_| !self.from_known_sizes).unwrap_or(0.0))
    }

    /// Adds the service time of a request of known size, in seconds.
    pub(crate) fn record_known_size(&mut self, work: f64) {
        self.from_known_sizes = true;
        self.record(work);
    }

    /// Adds a service time in seconds: to the mean of all samples at first, then to an average over
    /// about the last [`SAMPLE_WINDOW`].
    pub(crate) fn record(&mut self, work: f64) {
        self.samples = (self.samples + 1.0).min(SAMPLE_WINDOW);
        self.work += (work - self.work) / self.samples;
    }

    /// Adds the sending time of a response's bytes, in seconds.
    pub(crate) fn record_sending_time(&mut self, sent: f64) {
        let before = self.sending_time.unwrap_or(sent);
        self.sending_time = Some(before + (sent - before) / self.samples.clamp(1.0, SAMPLE_WINDOW));
    }

    /// Moves the quantile towards the one that a share `tail` of the latencies exceed; `above` says
    /// that this latency exceeds it. Called for each attempt that was answered, or that was sent
    /// again because it was overdue. If only answers counted, sending attempts again would shorten
    /// the time after which they are sent again.
    pub(crate) fn adjust_latency_quantile(&mut self, above: bool, tail: f64) {
        let step = if above { 1.0 - tail } else { -tail };
        self.latency_quantile = clamp_quantile(self.latency_quantile * (QUANTILE_STEP * step).exp());
    }
}

/// Limits the latency quantile to its bounds.
pub(crate) fn clamp_quantile(quantile: f64) -> f64 {
    quantile.clamp(MIN_LATENCY_QUANTILE, MAX_LATENCY_QUANTILE)
}

impl DecisionModule {
    /// Service time of the request's class in seconds, as which a warm-up budget counts one
    /// attempt.
    pub(crate) fn mean_work(&self, request: &Request) -> f64 {
        self.service_times[usize::from(request.class)].mean()
    }

    /// Sending time of the request in seconds: its own if its size is known, otherwise the mean of
    /// its class's responses, otherwise the class's service time.
    pub(crate) fn expected_work(&self, request: &Request) -> f64 {
        let sending_time = self.service_times[usize::from(request.class)].sending_time;
        let known = self.settings.known_work(request).or(sending_time);
        known.unwrap_or(self.mean_work(request)).max(MIN_SERVICE_TIME)
    }

    /// The longest service time of any class in seconds: the maximum work that one request takes
    /// from a warm-up budget.
    pub(crate) fn max_mean_work(&self) -> f64 {
        self.service_times.iter().map(ServiceTimeEstimate::mean).fold(MIN_SERVICE_TIME, f64::max)
    }

    /// Expected latency of the request in seconds, the unit of the latency quantile: the sending
    /// time plus a fraction of the latency objective, or the latency objective where the size is
    /// not known.
    fn expected_latency(&self, request: &Request) -> f64 {
        let objective = secs(self.settings.class(request).latency_objective).max(MIN_SERVICE_TIME);
        self.settings
            .known_work(request)
            .map_or(objective, |work| work + KNOWN_SIZE_OBJECTIVE_SHARE * objective)
    }

    /// Latency in seconds within which the request meets its latency objective, including the
    /// stretch by its sending time.
    pub(crate) fn latency_objective(&self, request: &Request) -> f64 {
        let class = self.settings.class(request);
        secs(class.latency_objective) + class.latency_objective_stretch * self.expected_work(request)
    }

    /// Time after which an attempt of the request is overdue: nearly all responses of its class
    /// come sooner.
    pub(crate) fn overdue_after(&self, request: &Request) -> Duration {
        let quantile = self.service_times[usize::from(request.class)].latency_quantile;
        let overdue = quantile * self.expected_latency(request) * OVERDUE_MARGIN;
        span_from_secs(overdue.max(MIN_OVERDUE_SECS))
    }

    /// Updates the class's estimate by a response. `slowdown` is the factor by which the load of
    /// the endpoint slowed the transfer.
    pub(crate) fn record_service_time(&mut self, request: &Request, outcome: &AttemptOutcome, slowdown: f64) {
        let relative_latency = secs(outcome.latency) / self.expected_latency(request);
        let tail = self.lost_responses.latency_tail();
        let hits_unreported = self.settings.cache_status_reporting == CacheStatusReporting::None;
        let estimate = &mut self.service_times[usize::from(request.class)];
        estimate.adjust_latency_quantile(relative_latency > estimate.latency_quantile, tail);
        // Unknown sizes are estimated from the latencies of hits, without the slowdown by other
        // transfers.
        if request.size_kb.is_none() && (outcome.cache_status == Some(CacheStatus::Hit) || hits_unreported) {
            estimate.record(secs(outcome.latency) / slowdown);
        }
        if let Some(sending_time) = outcome.work {
            estimate.record_sending_time(sending_time);
        }
    }
}
