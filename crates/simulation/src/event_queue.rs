//! A queue of events in virtual time.

use crate::Time;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Events by time; those of one instant come in the order in which they were scheduled.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    scheduled: u64,
}

#[derive(Debug)]
struct Scheduled<E> {
    at: Time,
    /// The how manyth event of the queue it is: decides among events of one instant.
    sequence: u64,
    event: E,
}

impl<E> Scheduled<E> {
    fn key(&self) -> (Time, u64) {
        (self.at, self.sequence)
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), scheduled: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event.
    pub fn push(&mut self, at: Time, event: E) {
        self.scheduled += 1;
        self.heap.push(Reverse(Scheduled { at, sequence: self.scheduled, event }));
    }

    /// When the next event is due.
    pub fn due(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse(next)| next.at)
    }

    /// How many events are scheduled.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no event is scheduled.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Takes the next event with its time, if it is due by then.
    pub fn pop_due(&mut self, now: Time) -> Option<(Time, E)> {
        if self.due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(next)| (next.at, next.event))
    }

    /// Drops the events for which `keep` does not hold.
    pub fn retain(&mut self, mut keep: impl FnMut(&E) -> bool) {
        self.heap.retain(|Reverse(scheduled)| keep(&scheduled.event));
    }
}
