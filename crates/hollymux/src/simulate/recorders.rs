//! Observers of a simulation's routers: recordings of their traffic as input for a plan, and counts
//! of the requests that were not served.

use crate::error::{Cause, CommandError};
use hollymux_capture::{
    RecordedReason, RecordedResult, Recorder, RecordingHeader, RecordingWriter, RequestEntry,
};
use hollymux_simulation::router_config::RouterSlot;
use hollymux_simulation::scenario::Scenario;
use hollymux_simulation::virtual_time::{self, RouterRecord};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Size limit of a recording file, in bytes. Scenarios in virtual time are short, so they reach
/// neither this limit nor [`MAX_FILES`].
const MAX_FILE_BYTES: u64 = 64 << 20;
/// Most recording files kept for each router.
const MAX_FILES: usize = 64;

/// Counts of the requests that were not served, by `CLASS RESULT REASON`.
pub struct UnservedRequests<'a> {
    scenario: &'a Scenario,
    counts: BTreeMap<String, u64>,
}

impl<'a> UnservedRequests<'a> {
    /// Creates empty counts. The scenario supplies the names of the classes.
    pub fn new(scenario: &'a Scenario) -> UnservedRequests<'a> {
        UnservedRequests { scenario, counts: BTreeMap::new() }
    }

    /// The counts in the form of the report.
    pub fn into_counts(self) -> BTreeMap<String, u64> {
        self.counts
    }

    fn count(&mut self, class: usize, result: RecordedResult, reason: RecordedReason) {
        if matches!(result, RecordedResult::Served | RecordedResult::NotModified | RecordedResult::Routed) {
            return;
        }
        let class = self.scenario.classes.get(class).map_or("", |class| class.name.as_str());
        let name = format!("{class} {} {}", result.name(), reason.name());
        *self.counts.entry(name).or_default() += 1;
    }

    /// Counts the requests that arrived since `start`, in microseconds of Unix time, according to
    /// the recordings in `dir`. Used for scenarios on sockets; the directory may also hold
    /// recordings of earlier ones.
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

/// Receives the events of the routers in virtual time, counts unserved requests and records traffic
/// if asked to.
pub struct VirtualRecorders<'a, 's> {
    unserved: &'a mut UnservedRequests<'s>,
    /// One recorder for each router, by router index; empty if nothing is recorded.
    recorders: Vec<Recorder>,
}

impl<'a, 's> VirtualRecorders<'a, 's> {
    /// Creates an observer that counts and records nothing.
    pub fn counting(unserved: &'a mut UnservedRequests<'s>) -> VirtualRecorders<'a, 's> {
        VirtualRecorders { unserved, recorders: Vec::new() }
    }

    /// Creates an observer that counts, and records each router's traffic into files of its own in
    /// `dir`.
    pub fn recording(
        unserved: &'a mut UnservedRequests<'s>,
        dir: &Path,
        seed: u64,
    ) -> Result<VirtualRecorders<'a, 's>, CommandError> {
        let failed = |cause: Cause| CommandError::Simulation(cause);
        let configs =
            virtual_time::router_configs(unserved.scenario, seed).map_err(|error| failed(error.into()))?;
        let mut recorders = Vec::new();
        for config in configs {
            let names = &config.names;
            let header = RecordingHeader::new(
                &config.name,
                &names.zones,
                &names.kinds,
                &names.classes,
                &config.settings,
            );
            let writer = RecordingWriter::new(dir, header, MAX_FILE_BYTES, MAX_FILES)?;
            recorders.push(Recorder::start_blocking(writer)?);
        }
        Ok(VirtualRecorders { unserved, recorders })
    }

    /// Counts and records one event of a router.
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
