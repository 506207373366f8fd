//! Datagrams on their way out, and the bounded queue that holds them until the caller sends them.

use std::collections::VecDeque;
use std::net::SocketAddr;

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// The router that it is for.
    pub destination: SocketAddr,
    /// What to send.
    pub payload: Vec<u8>,
}

/// Datagrams that wait to be sent. What does not fit is dropped, as the network might have done.
#[derive(Clone, Debug)]
pub(crate) struct TransmitQueue {
    waiting: VecDeque<Transmit>,
    capacity: usize,
}

impl TransmitQueue {
    /// An empty queue for at most `capacity` datagrams.
    pub(crate) fn new(capacity: usize) -> TransmitQueue {
        TransmitQueue { waiting: VecDeque::new(), capacity }
    }

    /// Whether the next datagram would be dropped.
    pub(crate) fn is_full(&self) -> bool {
        self.waiting.len() >= self.capacity
    }

    /// Appends a datagram; the caller has checked that there is room.
    pub(crate) fn push(&mut self, destination: SocketAddr, payload: Vec<u8>) {
        debug_assert!(!self.is_full(), "a datagram beyond the queue's capacity");
        self.waiting.push_back(Transmit { destination, payload });
    }

    /// Takes the oldest datagram.
    pub(crate) fn pop(&mut self) -> Option<Transmit> {
        self.waiting.pop_front()
    }

    /// Drops all that waits.
    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Bytes allocated for payloads that wait.
    pub(crate) fn payload_bytes(&self) -> usize {
        self.waiting.iter().map(|transmit| transmit.payload.capacity()).sum()
    }
}
