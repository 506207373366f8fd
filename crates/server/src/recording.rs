//! Starting and restarting the recording of traffic.

use crate::config::operator_file::Operator;
use crate::config::Config;
use crate::Server;
use hollymux_capture::{Recorder, RecordingHeader, RecordingWriter};
use hollymux_router::Router;
use std::io;
use tracing::warn;

/// Starts recording, if the operator's file has a section for it.
pub(crate) fn start_recorder(
    operator: &Operator,
    config: &Config,
    router: &Router,
) -> io::Result<Option<Recorder>> {
    let Some(section) = &operator.record else { return Ok(None) };
    let names = &config.names;
    let classes: Vec<String> = router.classes().names().map(str::to_string).collect();
    let head = RecordingHeader::new(&config.name, &names.zones, &names.kinds, &classes, router.settings());
    let bytes_per_file = section.file_mb << 20;
    let sink = RecordingWriter::new(&section.dir, head, bytes_per_file, section.files)?;
    Recorder::start(sink, section.queue).map(Some)
}

impl Server {
    /// Begins another file: a file has the classes in its head, which may have changed.
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
