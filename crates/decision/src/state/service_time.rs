//! How long requests of each class take to serve, estimated from their sizes and latencies; and
//! when an attempt is overdue.

use crate::interface::{AttemptOutcome, CacheStatus, CacheStatusReporting, Request, RequestClass};
use crate::module::DecisionModule;
use crate::time::{secs, span_from_secs};
use std::time::Duration;

/// A class's mean service time is that of so many of its last requests.
const SAMPLE_WINDOW: f64 = 50.0;
/// The least service time in seconds, against division by zero.
const MIN_SERVICE_TIME: f64 = 0.001;
/// Bounds of the latency quantile, as multiples of the expected latency.
const MIN_LATENCY_QUANTILE: f64 = 0.2;
pub(crate) const MAX_LATENCY_QUANTILE: f64 = 20.0;
const INITIAL_LATENCY_QUANTILE: f64 = 1.5;
/// Relative step of the latency quantile.
const QUANTILE_STEP: f64 = 0.1;
/// An attempt is overdue at this multiple of the latency quantile, and after so many seconds at the
/// earliest.
const OVERDUE_MARGIN: f64 = 1.1;
const MIN_OVERDUE_SECS: f64 = 0.1;

/// What is estimated of a class: its mean service time, and a high quantile of latency.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTimeEstimate {
    /// Mean work in seconds.
    pub(crate) work: f64,
    /// How many samples it is made from; and whether these were known sizes.
    pub(crate) samples: f64,
    pub(crate) from_known_sizes: bool,
    /// Mean sending time of the bytes that came. What may be sent to endpoints that warm up goes by
    /// `work` all the same: that holds the waits as well, so it errs on their side, while few
    /// responses miss most of a class's large objects.
    pub(crate) sending_time: Option<f64>,
    /// High quantile of latency, as a multiple of the expected latency.
    pub(crate) latency_quantile: f64,
}

impl ServiceTimeEstimate {
    /// Before anything is seen a class's work is assumed to be what its latency objective leaves
    /// time for.
    pub(crate) fn new(class: &RequestClass) -> ServiceTimeEstimate {
        ServiceTimeEstimate {
            work: secs(class.latency_objective),
            samples: 0.0,
            from_known_sizes: false,
            sending_time: None,
            latency_quantile: INITIAL_LATENCY_QUANTILE,
        }
    }

    /// The same under a class with another latency objective: where sizes are not known, latencies
    /// are measured by it.
    pub(crate) fn rescaled(&self, old: &RequestClass, new: &RequestClass) -> ServiceTimeEstimate {
        let objective = |class: &RequestClass| secs(class.latency_objective).max(MIN_SERVICE_TIME);
        let scale = objective(old) / objective(new);
        let latency_quantile = clamp_quantile(self.latency_quantile * scale);
        ServiceTimeEstimate { latency_quantile, ..self.clone() }
    }

    /// What a request of the class is assumed to cost an endpoint that warms up: where sizes are
    /// not known no less than its bytes. The mean that holds the waits is the smaller one where the
    /// load of an endpoint is taken for larger than it is, as not all that is in flight there is
    /// sent.
    pub(crate) fn mean(&self) -> f64 {
        self.work.max(self.sending_time.filter(|_| !self.from_known_sizes).unwrap_or(0.0))
    }

    /// Adds a request of known size.
    pub(crate) fn record_known_size(&mut self, work: f64) {
        self.from_known_sizes = true;
        self.record(work);
    }

    /// Adds a sample: the mean of the first ones, then of about the last [`SAMPLE_WINDOW`].
    pub(crate) fn record(&mut self, work: f64) {
        self.samples = (self.samples + 1.0).min(SAMPLE_WINDOW);
        self.work += (work - self.work) / self.samples;
    }

    /// Adds the sending time of a response's bytes.
    pub(crate) fn record_sending_time(&mut self, sent: f64) {
        let before = self.sending_time.unwrap_or(sent);
        self.sending_time = Some(before + (sent - before) / self.samples.clamp(1.0, SAMPLE_WINDOW));
    }

    /// Follows the quantile that leaves this tail: a step for each attempt answered, or moved when
    /// overdue. If only answers counted, moving attempts would shorten the time after which they
    /// are moved.
    pub(crate) fn adjust_latency_quantile(&mut self, above: bool, tail: f64) {
        let step = if above { 1.0 - tail } else { -tail };
        self.latency_quantile = clamp_quantile(self.latency_quantile * (QUANTILE_STEP * step).exp());
    }
}

/// Bounds the latency quantile.
pub(crate) fn clamp_quantile(quantile: f64) -> f64 {
    quantile.clamp(MIN_LATENCY_QUANTILE, MAX_LATENCY_QUANTILE)
}

impl DecisionModule {
    /// The mean service time of the request's class in seconds: what a warm-up budget counts an
    /// attempt as.
    pub(crate) fn mean_work(&self, request: &Request) -> f64 {
        self.service_times[usize::from(request.class)].mean()
    }

    /// The request's own sending time in seconds where its size is known, else its class's as far
    /// as responses show it.
    pub(crate) fn expected_work(&self, request: &Request) -> f64 {
        let sending_time = self.service_times[usize::from(request.class)].sending_time;
        let known = self.settings.known_work(request).or(sending_time);
        known.unwrap_or(self.mean_work(request)).max(MIN_SERVICE_TIME)
    }

    /// The largest mean service time of a class in seconds: the most that one request uses of a
    /// warm-up budget.
    pub(crate) fn max_mean_work(&self) -> f64 {
        self.service_times.iter().map(ServiceTimeEstimate::mean).fold(MIN_SERVICE_TIME, f64::max)
    }

    /// What a latency is measured by, in seconds: the sending time and a little, or the class's
    /// latency objective.
    fn expected_latency(&self, request: &Request) -> f64 {
        let objective = secs(self.settings.class(request).latency_objective).max(MIN_SERVICE_TIME);
        self.settings.known_work(request).map_or(objective, |work| work + 0.2 * objective)
    }

    /// Within this, in seconds, a request meets its latency objective.
    pub(crate) fn latency_objective(&self, request: &Request) -> f64 {
        let class = self.settings.class(request);
        secs(class.latency_objective) + class.latency_objective_stretch * self.expected_work(request)
    }

    /// When an attempt is overdue: it has taken longer than nearly all of its like.
    pub(crate) fn overdue_after(&self, request: &Request) -> Duration {
        let quantile = self.service_times[usize::from(request.class)].latency_quantile;
        let overdue = quantile * self.expected_latency(request) * OVERDUE_MARGIN;
        span_from_secs(overdue.max(MIN_OVERDUE_SECS))
    }

    /// Learns from a response: its latency, and the service time that it shows. `slowdown` is how
    /// far the load at the endpoint slowed it.
    pub(crate) fn record_service_time(&mut self, request: &Request, outcome: &AttemptOutcome, slowdown: f64) {
        let relative_latency = secs(outcome.latency) / self.expected_latency(request);
        let tail = self.lost_responses.latency_tail();
        let hits_unreported = self.settings.cache_status_reporting == CacheStatusReporting::None;
        let estimate = &mut self.service_times[usize::from(request.class)];
        estimate.adjust_latency_quantile(relative_latency > estimate.latency_quantile, tail);
        // Unknown sizes are learnt from hits, less what the load at the cache made of them.
        if request.size_kb.is_none() && (outcome.note == Some(CacheStatus::Hit) || hits_unreported) {
            estimate.record(secs(outcome.latency) / slowdown);
        }
        if let Some(sending_time) = outcome.work {
            estimate.record_sending_time(sending_time);
        }
    }
}
