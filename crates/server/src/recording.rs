//! Starting and restarting the traffic recording.

use crate::config::operator_file::Operator;
use crate::config::Config;
use crate::Server;
use hollymux_capture::{Recorder, RecordingHeader, RecordingWriter};
use hollymux_router::Router;
use std::io;
use tracing::warn;

/// Starts the recording. Returns `None` if the operator's file does not configure one, and an error
/// if the directory can't be used or the writer thread can't be started.
pub(crate) fn start_recorder(
    operator: &Operator,
    config: &Config,
    router: &Router,
) -> io::Result<Option<Recorder>> {
    let Some(section) = &operator.recording else { return Ok(None) };
    let names = &config.names;
    let classes: Vec<String> = router.classes().names().map(str::to_string).collect();
    let header = RecordingHeader::new(&config.name, &names.zones, &names.kinds, &classes, router.settings());
    let bytes_per_file = section.max_file_mb << 20;
    let writer = RecordingWriter::new(&section.directory, header, bytes_per_file, section.max_files)?;
    Recorder::start(writer, section.max_queued_entries).map(Some)
}

impl Server {
    /// Restarts the recording with a new file after a reload: the file header contains the classes,
    /// which may have changed. Stops recording if that fails.
    pub(crate) fn restart_recorder(&mut self) {
        if self.recorder.take().is_none() {
            return;
        }
        match start_recorder(&self.operator, &self.config, &self.router) {
            Ok(recorder) => self.recorder = recorder,
            Err(error) => warn!(%error, "traffic recording stopped"),
        }
    }
}
