//! The events of a replay, and the queue of scheduled events.

use super::fetch_table::FetchId;
use super::request_table::{RequestHandle, RequestId};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Something that the replay processes at a scheduled time.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// The next transfer on a link completes, unless the link has been rescheduled since this event
    /// was scheduled.
    TransferDue {
        /// Number of the link in the topology.
        link: usize,
        /// Version of the link's schedule for which the event was scheduled; it is stale if the
        /// link has a later one.
        version: u32,
    },
    /// A request for a fill reaches its parent cache.
    FillReachedParent(RequestHandle),
    /// The first byte of a fetch from the origin reaches the parent cache.
    FetchResponded(FetchId),
    /// The last byte of the response reaches the client.
    ResponseCompleted(RequestHandle),
    /// The client's timeout expires.
    TimedOut(RequestHandle),
    /// Another attempt is due: the client's retry, or the router's attempt at another endpoint.
    AttemptDue(RequestId),
    /// The endpoints of the outage are lost.
    OutageBegins,
    /// The endpoints of the outage return.
    OutageEnds,
    /// The usable share of the link of an endpoint that is warming up is updated.
    WarmUpDue {
        /// Number of the endpoint in the topology.
        endpoint: usize,
    },
}

#[derive(Debug)]
struct ScheduledEvent {
    at_us: u64,
    /// Events at the same time are handled in the order in which they were scheduled.
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

/// An event taken from the queue, with its time in microseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct DueEvent {
    pub(super) at_us: u64,
    pub(super) event: Event,
}

/// Scheduled events in order of time.
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

    /// Returns the time of the next event, or `None` if none is scheduled.
    pub(super) fn next_at_us(&self) -> Option<u64> {
        self.scheduled.peek().map(|Reverse(next)| next.at_us)
    }

    pub(super) fn pop(&mut self) -> Option<DueEvent> {
        let Reverse(next) = self.scheduled.pop()?;
        Some(DueEvent { at_us: next.at_us, event: next.event })
    }
}
