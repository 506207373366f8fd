//! The metrics that operators are shown. Each event is counted once, where it happens: the end of a
//! request when its reply is determined, a lookup when it is answered, and an attempt when it has
//! been written completely.

use std::fmt::Write;

/// Maximum number of classes with counters of their own. The events of all further classes are
/// counted together.
const MAX_CLASSES: usize = 256;
/// The printed name of the counters of further classes. It differs from every printed class name,
/// in which `%` is followed by two hex digits.
const OTHER_CLASSES: &str = "%";

/// The counters of a class, printed as `fulfilled`, `throttled`, `faulted` and `relayed`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Requests and lookups that were served. Printed as `fulfilled`.
    pub served: u64,
    /// Requests and lookups that were rejected. Printed as `throttled`.
    pub rejected: u64,
    /// Requests and lookups that failed. Printed as `faulted`.
    pub failed: u64,
    /// Attempts that were written completely to endpoints. Printed as `relayed`.
    pub attempts_sent: u64,
}

/// An event that is counted by class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedEvent {
    /// A request or a lookup was served.
    Served,
    /// A request or a lookup was rejected.
    Rejected,
    /// A request or a lookup failed.
    Failed,
    /// An attempt was written completely to its endpoint.
    AttemptSent,
}

/// Values that are read from the router's state when the metrics are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Client requests without a final reply. Printed as `open_requests`.
    pub open_requests: usize,
    /// Endpoints of the endpoint list, including parent caches and the origin. Printed as
    /// `registry_entries`.
    pub listed_endpoints: usize,
    /// Listed endpoints that get no requests because they are draining or ejected. Printed as
    /// `out_of_rotation`.
    pub unavailable_endpoints: usize,
}

/// The counters of a class with its printed name.
#[derive(Clone, Debug)]
struct NamedCounters {
    /// The class name as it is printed; see [`printed_name`].
    name: String,
    counters: ClassCounters,
}

/// The counters since the process started.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    classes: Vec<NamedCounters>,
    /// Configurations that were accepted at SIGHUP. Printed as `cfg_accepted`.
    pub reloads_accepted: u64,
    /// Configurations that were rejected at SIGHUP. Printed as `cfg_invalid`.
    pub reloads_rejected: u64,
}

impl Metrics {
    /// The index of a class's counters, which are added if the class has none. A class that was
    /// removed from the settings and is added again continues with its old counters.
    pub fn class_index(&mut self, name: &str) -> usize {
        let printed = printed_name(name);
        if let Some(index) = self.classes.iter().position(|class| class.name == printed) {
            return index;
        }
        if self.classes.len() < MAX_CLASSES {
            self.add_class(printed);
        } else if self.classes.len() == MAX_CLASSES {
            self.add_class(OTHER_CLASSES.to_string());
        }
        self.classes.len() - 1
    }

    /// Counts an event of the class at an index. An index without counters is ignored.
    pub fn record(&mut self, class_index: usize, event: CountedEvent) {
        let Some(class) = self.classes.get_mut(class_index) else { return };
        let counter = match event {
            CountedEvent::Served => &mut class.counters.served,
            CountedEvent::Rejected => &mut class.counters.rejected,
            CountedEvent::Failed => &mut class.counters.failed,
            CountedEvent::AttemptSent => &mut class.counters.attempts_sent,
        };
        *counter += 1;
    }

    /// The metrics as text, with a line `svc.NAME=VALUE` for each.
    pub fn lines(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            // Writing to a String never fails.
            let _written = writeln!(text, "svc.{name}={value}");
        };
        for NamedCounters { name, counters } in &self.classes {
            line(&format!("operations.{name}.fulfilled"), counters.served);
            line(&format!("operations.{name}.throttled"), counters.rejected);
            line(&format!("operations.{name}.faulted"), counters.failed);
            line(&format!("operations.{name}.relayed"), counters.attempts_sent);
        }
        line("relayed", self.classes.iter().map(|class| class.counters.attempts_sent).sum());
        line("open_requests", gauges.open_requests as u64);
        line("registry_entries", gauges.listed_endpoints as u64);
        line("out_of_rotation", gauges.unavailable_endpoints as u64);
        line("cfg_accepted", self.reloads_accepted);
        line("cfg_invalid", self.reloads_rejected);
        text
    }

    fn add_class(&mut self, name: String) {
        self.classes.push(NamedCounters { name, counters: ClassCounters::default() });
    }
}

/// The name of a class as a part of a metric's name. Bytes that could end the name or the line are
/// printed as `%XX`.
fn printed_name(name: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let printed = |byte: u8| {
        if is_plain(byte) {
            char::from(byte).to_string()
        } else {
            format!("%{byte:02X}")
        }
    };
    name.bytes().map(printed).collect()
}
