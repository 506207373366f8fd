//! A queue of future events, ordered by time.

use crate::Time;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Events ordered by time; events of the same time keep the order in which they were pushed.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    last_sequence: u64,
}

#[derive(Debug)]
struct Scheduled<E> {
    at: Time,
    /// The position in the order of pushes, which decides among events of the same time.
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
        EventQueue { heap: BinaryHeap::new(), last_sequence: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at a time.
    pub fn push(&mut self, at: Time, event: E) {
        self.last_sequence += 1;
        self.heap.push(Reverse(Scheduled { at, sequence: self.last_sequence, event }));
    }

    /// The time of the next event; `None` if the queue is empty.
    pub fn due(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse(next)| next.at)
    }

    /// The number of scheduled events.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no event is scheduled.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Removes and returns the next event with its time; `None` if it is due after `now` or the
    /// queue is empty.
    pub fn pop_due(&mut self, now: Time) -> Option<(Time, E)> {
        if self.due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(next)| (next.at, next.event))
    }

    /// Removes the events for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&E) -> bool) {
        self.heap.retain(|Reverse(scheduled)| keep(&scheduled.event));
    }
}
