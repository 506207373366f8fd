//! The trial load: an excerpt that is short enough to be replayed many times, to evaluate other
//! numbers of edge caches and losses of endpoints.

use super::{PlanInput, PlanOptions};
use crate::network::Network;
use crate::replay::{replay, Outage, ReplayOptions, ReplayResult};
use crate::trace::Trace;

/// Maximum number of first attempts of the trial load. Of a longer load, the busiest excerpt is
/// used.
const MAX_TRIAL_REQUESTS: usize = 40_000;

/// The trial load, with the network and the options of the plan.
pub(super) struct TrialLoad<'a> {
    pub(super) options: &'a PlanOptions,
    pub(super) network: &'a Network,
    pub(super) trace: Trace,
    /// End of the warm-up, in microseconds from the start of the trace; counting begins there.
    pub(super) counted_from_us: u64,
}

impl<'a> TrialLoad<'a> {
    pub(super) fn new(input: &'a PlanInput, requested: &Trace) -> TrialLoad<'a> {
        let excerpt = requested.busiest_excerpt(MAX_TRIAL_REQUESTS);
        let is_whole = excerpt.trace.requests.len() == requested.requests.len();
        TrialLoad {
            options: input.options,
            network: &input.network,
            trace: excerpt.trace,
            counted_from_us: if is_whole { input.counted_from_us } else { excerpt.warm_up_ends_us },
        }
    }

    /// Replays the load over the plan's network.
    pub(super) fn replay(&self) -> ReplayResult {
        self.replay_over(self.network)
    }

    /// Replays the load over another network.
    pub(super) fn replay_over(&self, network: &Network) -> ReplayResult {
        replay(&self.trace, network, &self.replay_options())
    }

    /// Replays the load over the plan's network with an outage.
    pub(super) fn replay_with_outage(&self, outage: Outage) -> ReplayResult {
        let options = ReplayOptions { outage: Some(outage), ..self.replay_options() };
        replay(&self.trace, self.network, &options)
    }

    /// Returns the first second that is counted.
    pub(super) fn counted_from_second(&self) -> usize {
        (self.counted_from_us / 1_000_000) as usize
    }

    fn replay_options(&self) -> ReplayOptions {
        self.options.replay_options(self.counted_from_us)
    }
}
