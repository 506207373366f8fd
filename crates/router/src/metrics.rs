//! The numbers that operators are shown. Each is counted where it happens: an end when a request is closed, by the
//! word that its client gets; an attempt when it has been written whole. Nothing is counted twice or taken back.

use std::fmt::Write;

/// Names of classes that are told apart; what is counted under further ones is summed up.
const NAMES: usize = 256;
/// Stands for those. No name of a class is written like that.
const FURTHER: &str = "%";

/// What became of requests of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Served.
    pub served: u64,
    /// Refused.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Attempts written whole to shelfs.
    pub attempts_sent: u64,
}

/// One of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedEvent {
    /// Served.
    Served,
    /// Refused.
    Rejected,
    /// Failed.
    Failed,
    /// An attempt was written whole.
    AttemptSent,
}

/// The present state, read when the numbers are asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests taken and not ended.
    pub open_requests: usize,
    /// Shelfs in the list, with parents and origin.
    pub listed_endpoints: usize,
    /// Those among them that get no work now: they drain or are held to be out.
    pub unavailable_endpoints: usize,
}

/// The numbers since the process started.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    classes: Vec<(String, ClassCounters)>,
    /// Files taken at SIGHUP.
    pub reloads_accepted: u64,
    /// Files turned down at SIGHUP.
    pub reloads_rejected: u64,
}

impl Metrics {
    /// The place of a class's numbers, by its name. A class that comes back finds what it had.
    pub fn class_index(&mut self, name: &str) -> usize {
        let shown = shown(name);
        if let Some(at) = self.classes.iter().position(|c| c.0 == shown) {
            return at;
        }
        if self.classes.len() < NAMES {
            self.classes.push((shown, ClassCounters::default()));
        } else if self.classes.len() == NAMES {
            self.classes.push((FURTHER.into(), ClassCounters::default()));
        }
        self.classes.len() - 1
    }

    /// Counts one.
    pub fn record(&mut self, place: usize, end: CountedEvent) {
        let Some((_, ends)) = self.classes.get_mut(place) else { return };
        *match end {
            CountedEvent::Served => &mut ends.served,
            CountedEvent::Rejected => &mut ends.rejected,
            CountedEvent::Failed => &mut ends.failed,
            CountedEvent::AttemptSent => &mut ends.attempts_sent,
        } += 1;
    }

    /// The numbers as lines, `svc.NAME=VALUE`.
    pub fn lines(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            // A String takes whatever is written to it.
            let _written = writeln!(text, "svc.{name}={value}");
        };
        let mut relayed = 0;
        for (name, ends) in &self.classes {
            line(&format!("operations.{name}.fulfilled"), ends.served);
            line(&format!("operations.{name}.throttled"), ends.rejected);
            line(&format!("operations.{name}.faulted"), ends.failed);
            line(&format!("operations.{name}.relayed"), ends.attempts_sent);
            relayed += ends.attempts_sent;
        }
        line("relayed", relayed);
        line("open_requests", gauges.open_requests as u64);
        line("registry_entries", gauges.listed_endpoints as u64);
        line("out_of_rotation", gauges.unavailable_endpoints as u64);
        line("cfg_accepted", self.reloads_accepted);
        line("cfg_invalid", self.reloads_rejected);
        text
    }
}

/// A class's name as a part of a line's name: what could end the name or the line is written as %XX.
fn shown(name: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    let each = |b: u8| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") };
    name.bytes().map(each).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a class whose name forges a line or takes another's, and against names without end.
    #[test]
    fn names_forge_no_lines_and_are_bounded() {
        let mut figures = Metrics::default();
        let bad = figures.class_index("a=1\nsvc.open_requests");
        figures.record(bad, CountedEvent::Failed);
        let docs = figures.class_index("docs-pages");
        figures.record(docs, CountedEvent::Served);
        figures.record(docs, CountedEvent::AttemptSent);
        for i in 0..2 * NAMES {
            let place = figures.class_index(&format!("class{i}"));
            figures.record(place, CountedEvent::Rejected);
        }
        // One that has vanished and comes back goes on counting.
        assert_eq!(figures.class_index("docs-pages"), docs);
        let text = figures.lines(Gauges { open_requests: 3, listed_endpoints: 9, unavailable_endpoints: 1 });
        let value = |name: &str| {
            let mut named = text.lines().filter_map(|l| l.split_once('=')).filter(|l| l.0 == name);
            let value = named.next().unwrap_or_else(|| panic!("no {name}")).1.parse::<u64>().unwrap();
            assert!(named.next().is_none(), "{name} twice");
            value
        };
        assert_eq!(value("svc.open_requests"), 3);
        assert_eq!(value("svc.operations.a%3D1%0Asvc%2Eopen_requests.faulted"), 1);
        assert_eq!(value("svc.operations.docs-pages.fulfilled"), 1);
        assert_eq!(value("svc.operations.docs-pages.relayed"), 1);
        assert_eq!(value("svc.relayed"), 1);
        assert_eq!(value("svc.operations.%.throttled"), (NAMES + 2) as u64);
        assert!(text.lines().all(|l| l.starts_with("svc.") && l.matches('=').count() == 1));
    }
}
