//! The events of a replay and the queue that they wait in.

use super::fetch_table::FetchId;
use super::request_table::{RequestHandle, RequestId};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Something that happens at a moment of the replay.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A transfer on a link completes, unless the link's transfers have changed since.
    TransferDue {
        /// The link.
        link: usize,
        /// The version of the link's schedule that this event belongs to.
        version: u32,
    },
    /// A fill reaches its parent cache.
    FillReachedParent(RequestHandle),
    /// The first byte of a fetch from the origin reaches the parent cache.
    FetchResponded(FetchId),
    /// The client has the whole response.
    ResponseCompleted(RequestHandle),
    /// The client's timeout expires.
    TimedOut(RequestHandle),
    /// Another attempt is due: a client's retry, or a router's attempt at another endpoint.
    AttemptDue(RequestId),
    /// The endpoints of the outage are lost.
    OutageBegins,
    /// The endpoints of the outage return.
    OutageEnds,
    /// An endpoint that warms up gets another share of its link.
    WarmUpDue {
        /// The endpoint.
        endpoint: usize,
    },
}

#[derive(Debug)]
struct ScheduledEvent {
    at_us: u64,
    /// Events of the same moment happen in the order in which they were scheduled.
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        self.at_us.cmp(&other.at_us).then(self.sequence.cmp(&other.sequence))
    }
}

/// An event that is due.
#[derive(Clone, Copy, Debug)]
pub(super) struct DueEvent {
    pub(super) at_us: u64,
    pub(super) event: Event,
}

/// Events in order of time.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    scheduled: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.scheduled.push(Reverse(ScheduledEvent { at_us, sequence: self.sequence, event }));
    }

    /// When the next event is due.
    pub(super) fn next_at_us(&self) -> Option<u64> {
        self.scheduled.peek().map(|Reverse(next)| next.at_us)
    }

    pub(super) fn pop(&mut self) -> Option<DueEvent> {
        let Reverse(next) = self.scheduled.pop()?;
        Some(DueEvent { at_us: next.at_us, event: next.event })
    }
}
