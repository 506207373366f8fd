//! SIGHUP: the configuration file read again.

use super::*;
use config::ConfigError;

impl Server {
    /// Reads the configuration file again. Of a new file the settings and the feed's address apply; whatever is open,
    /// known or learnt is kept. All of it applies or nothing.
    pub(super) fn read_again(&mut self) {
        let new = Config::load(&self.path).and_then(|new| self.config.gives_way_to(&new).map(|()| new));
        let applied = new.and_then(|new| {
            let retuned = self.router.reconfigure(&new.settings, &new.names.classes);
            retuned.map(|()| new).map_err(ConfigError::from)
        });
        match applied {
            Ok(new) => {
                self.router.metrics.reloads_accepted += 1;
                info!("SIGHUP: {} classes; the control feed is at {}", new.names.classes.len(), new.feed);
                let here = &mut self.config;
                (here.feed, here.names) = (new.feed, new.names);
                (here.streams, here.idle, here.file) = (new.streams, new.idle, new.file);
                self.record_anew();
                self.call_feed_anew();
            }
            Err(e) => {
                self.router.metrics.reloads_rejected += 1;
                warn!("SIGHUP: the old configuration stays: {e}");
            }
        }
    }

    /// What is recorded has the classes in its head: other classes begin another file.
    pub(super) fn record_anew(&mut self) {
        if self.recorder.take().is_some() {
            match recorder(&self.operator, &self.config, &self.router) {
                Ok(recorder) => self.recorder = recorder,
                Err(e) => warn!("the load is not recorded any more: {e}"),
            }
        }
    }
}
