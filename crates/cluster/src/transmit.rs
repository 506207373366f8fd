//! Outgoing datagrams and the bounded queue that holds them until the caller polls and sends them.

use std::collections::VecDeque;
use std::net::SocketAddr;

/// A datagram that the caller has to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// The advertised address of the receiving router.
    pub destination: SocketAddr,
    /// The UDP payload: a complete datagram with its envelope.
    pub payload: Vec<u8>,
}

/// A bounded FIFO queue of outgoing datagrams. The sender of a datagram drops it if the queue is
/// full, which has the same effect as loss in the network.
#[derive(Clone, Debug)]
pub(crate) struct TransmitQueue {
    datagrams: VecDeque<Transmit>,
    capacity: usize,
}

impl TransmitQueue {
    /// Creates an empty queue that holds up to `capacity` datagrams.
    pub(crate) fn new(capacity: usize) -> TransmitQueue {
        TransmitQueue { datagrams: VecDeque::new(), capacity }
    }

    /// Whether the queue has reached its capacity, so that [`TransmitQueue::push`] must not be
    /// called.
    pub(crate) fn is_full(&self) -> bool {
        self.datagrams.len() >= self.capacity
    }

    /// Appends a datagram. The caller must have checked [`TransmitQueue::is_full`].
    pub(crate) fn push(&mut self, destination: SocketAddr, payload: Vec<u8>) {
        debug_assert!(!self.is_full(), "datagram pushed to a full transmit queue");
        self.datagrams.push_back(Transmit { destination, payload });
    }

    /// Removes and returns the oldest datagram, or `None` if the queue is empty.
    pub(crate) fn pop(&mut self) -> Option<Transmit> {
        self.datagrams.pop_front()
    }

    /// Drops all queued datagrams.
    pub(crate) fn clear(&mut self) {
        self.datagrams.clear();
    }

    /// Heap memory in bytes allocated for the payloads of queued datagrams.
    pub(crate) fn payload_bytes(&self) -> usize {
        self.datagrams.iter().map(|transmit| transmit.payload.capacity()).sum()
    }
}
