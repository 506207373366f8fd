//! What a simulation records: each router's traffic as input for a plan, and why requests were not
//! served.

use crate::error::{Cause, CommandError};
use hollymux_capture::{
    RecordedReason, RecordedResult, Recorder, RecordingHeader, RecordingWriter, RequestEntry,
};
use hollymux_simulation::router_config::RouterSlot;
use hollymux_simulation::scenario::Scenario;
use hollymux_simulation::virtual_time::{self, RouterRecord};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Size of one recording's file, in bytes. A scenario in virtual time is short, so that no limit
/// here is reached.
const MAX_FILE_BYTES: u64 = 64 << 20;
/// Files of each router; the oldest is removed for a further one.
const MAX_FILES: usize = 64;

/// Requests that were not served, counted by `CLASS RESULT REASON`.
pub struct UnservedRequests<'a> {
    day: &'a Scenario,
    counts: BTreeMap<String, u64>,
}

impl<'a> UnservedRequests<'a> {
    /// Counts for a scenario, none so far.
    pub fn new(day: &'a Scenario) -> UnservedRequests<'a> {
        UnservedRequests { day, counts: BTreeMap::new() }
    }

    /// The counts, as they stand in the report.
    pub fn into_counts(self) -> BTreeMap<String, u64> {
        self.counts
    }

    fn count(&mut self, class: usize, result: RecordedResult, reason: RecordedReason) {
        if matches!(result, RecordedResult::Served | RecordedResult::NotModified | RecordedResult::Routed) {
            return;
        }
        let class = self.day.classes.get(class).map_or("", |class| class.name.as_str());
        let name = format!("{class} {} {}", result.name(), reason.name());
        *self.counts.entry(name).or_default() += 1;
    }

    /// Counts what the routers of a scenario on sockets recorded in `dir` since `start`, in
    /// microseconds of Unix time. The directory may hold recordings of earlier scenarios.
    pub fn count_recorded(&mut self, dir: &Path, start: u64) -> Result<(), CommandError> {
        let entries = std::fs::read_dir(dir)?.filter_map(Result::ok);
        let files: Vec<PathBuf> = entries.map(|entry| entry.path()).collect();
        let recording = hollymux_capture::load(&files).map_err(CommandError::OwnRecording)?;
        for request in recording.requests.iter().filter(|request| request.arrived >= start) {
            self.count(usize::from(request.class), request.result, request.reason);
        }
        Ok(())
    }
}

/// Listens to the routers of a scenario in virtual time, and records what they do if that is
/// wanted.
pub struct VirtualRecorders<'a, 'd> {
    unserved: &'a mut UnservedRequests<'d>,
    /// One for each router in the order of their numbers, or none at all.
    recorders: Vec<Recorder>,
}

impl<'a, 'd> VirtualRecorders<'a, 'd> {
    /// Counts only; nothing is recorded.
    pub fn counting(unserved: &'a mut UnservedRequests<'d>) -> VirtualRecorders<'a, 'd> {
        VirtualRecorders { unserved, recorders: Vec::new() }
    }

    /// Records each router's traffic in a file of its own in `dir`, beside counting.
    pub fn recording(
        unserved: &'a mut UnservedRequests<'d>,
        dir: &Path,
        seed: u64,
    ) -> Result<VirtualRecorders<'a, 'd>, CommandError> {
        let failed = |cause: Cause| CommandError::Simulation(cause);
        let configs =
            virtual_time::router_configs(unserved.day, seed).map_err(|error| failed(error.into()))?;
        let mut recorders = Vec::new();
        for config in configs {
            let names = &config.names;
            let head = RecordingHeader::new(
                &config.name,
                &names.zones,
                &names.kinds,
                &names.classes,
                &config.settings,
            );
            let writer = RecordingWriter::new(dir, head, MAX_FILE_BYTES, MAX_FILES)?;
            recorders.push(Recorder::start_blocking(writer)?);
        }
        Ok(VirtualRecorders { unserved, recorders })
    }

    /// Takes what a router did.
    pub fn on_event(&mut self, router: RouterSlot, event: &RouterRecord<'_>) {
        if let RouterRecord::RequestEnded(summary) = event {
            let request = RequestEntry::new(summary, None, None);
            self.unserved.count(usize::from(request.class), request.result, request.reason);
        }
        let Some(recorder) = self.recorders.get_mut(router.index) else { return };
        match event {
            RouterRecord::RequestEnded(summary) => recorder.request(summary),
            RouterRecord::EndpointsChanged { at, lines } => recorder.endpoint_updates(*at, lines),
            RouterRecord::Purged { at, object, group } => recorder.purge(*at, *object, *group),
        }
    }
}
