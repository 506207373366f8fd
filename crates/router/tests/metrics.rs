//! Test of the lines in which operators read the metrics.

use hollymux_router::metrics::{CountedEvent, Gauges, Metrics};

/// Maximum number of classes with counters of their own.
const MAX_CLASSES: usize = 256;

/// The value of a metric. Panics unless the metric is printed exactly once.
fn value(text: &str, name: &str) -> u64 {
    let pairs = text.lines().filter_map(|line| line.split_once('='));
    let mut named = pairs.filter(|(printed, _)| *printed == name);
    let (_, value) = named.next().unwrap_or_else(|| panic!("metric {name} is missing"));
    assert!(named.next().is_none(), "metric {name} is printed twice");
    value.parse().expect("metric value is not a number")
}

/// Guards against a class name that forges a metric's line or takes another metric's name, and
/// against an unbounded number of class names.
#[test]
fn class_names_forge_no_lines_and_their_number_is_bounded() {
    let mut metrics = Metrics::default();
    let forged = metrics.class_index("a=1\nsvc.open_requests");
    metrics.record(forged, CountedEvent::Failed);
    let docs = metrics.class_index("docs-pages");
    metrics.record(docs, CountedEvent::Served);
    metrics.record(docs, CountedEvent::AttemptSent);
    for number in 0..2 * MAX_CLASSES {
        let index = metrics.class_index(&format!("class{number}"));
        metrics.record(index, CountedEvent::Rejected);
    }
    // A class that was removed and is added again continues with its counters.
    assert_eq!(metrics.class_index("docs-pages"), docs);
    let text = metrics.lines(Gauges { open_requests: 3, listed_endpoints: 9, unavailable_endpoints: 1 });
    assert_eq!(value(&text, "svc.open_requests"), 3);
    assert_eq!(value(&text, "svc.operations.a%3D1%0Asvc%2Eopen_requests.faulted"), 1);
    assert_eq!(value(&text, "svc.operations.docs-pages.fulfilled"), 1);
    assert_eq!(value(&text, "svc.operations.docs-pages.relayed"), 1);
    assert_eq!(value(&text, "svc.relayed"), 1);
    assert_eq!(value(&text, "svc.operations.%.throttled"), (MAX_CLASSES + 2) as u64);
    assert!(text.lines().all(|line| line.starts_with("svc.") && line.matches('=').count() == 1));
}
