//! Reloading the configuration file on SIGHUP.

use super::reload_check::check_replacement;
use super::{Config, ConfigError};
use crate::Server;
use tracing::{info, warn};

impl Server {
    /// Reads the configuration file again and applies its settings and the address of the endpoint
    /// feed. Connections, requests and learnt state are kept. A file that can't be used or may not
    /// replace the one in force is rejected as a whole.
    pub(crate) fn reload_config(&mut self) {
        match self.load_replacement() {
            Ok(config) => self.apply_config(config),
            Err(error) => {
                self.router.metrics.reloads_rejected += 1;
                warn!(%error, "SIGHUP: configuration rejected, the old one stays in force");
            }
        }
    }

    /// Reads and checks the file, and passes its settings to the router.
    fn load_replacement(&mut self) -> Result<Config, ConfigError> {
        let config = Config::load(&self.config_path)?;
        check_replacement(&self.config.file, &config.file)?;
        self.router.reconfigure(&config.settings, &config.names.classes)?;
        Ok(config)
    }

    fn apply_config(&mut self, config: Config) {
        self.router.metrics.reloads_accepted += 1;
        info!(classes = config.names.classes.len(), feed = %config.feed, "SIGHUP: configuration applied");
        self.config.feed = config.feed;
        self.config.names = config.names;
        self.config.max_attempts_per_connection = config.max_attempts_per_connection;
        self.config.endpoint_idle_timeout = config.endpoint_idle_timeout;
        self.config.file = config.file;
        self.restart_recorder();
        self.reconnect_feed();
    }
}
