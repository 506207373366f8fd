//! What a faulty directed link between two routers does to datagrams.

use crate::Time;
use rand::Rng;

/// Faults of a directed link; the default is a sound link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// Nothing gets through.
    pub cut: bool,
    /// The part of datagrams that is lost.
    pub loss: f64,
    /// The part that comes twice.
    pub duplication: f64,
    /// The part that comes with a bit flipped.
    pub corruption: f64,
    /// How much later each comes.
    pub delay: Time,
    /// Up to so much later still, which has them overtake each other.
    pub jitter: Time,
}

impl LinkFault {
    /// A link on which nothing gets through.
    pub const CUT: LinkFault =
        LinkFault { cut: true, loss: 0.0, duplication: 0.0, corruption: 0.0, delay: 0, jitter: 0 };

    /// Damages a datagram, perhaps, and tells how many copies of it get through: 0, 1 or 2.
    pub fn apply(&self, rng: &mut impl Rng, datagram: &mut [u8]) -> usize {
        if self.cut || rng.random::<f64>() < self.loss {
            return 0;
        }
        let copies = 1 + usize::from(rng.random::<f64>() < self.duplication);
        if !datagram.is_empty() && rng.random::<f64>() < self.corruption {
            let bit = rng.random_range(0..datagram.len() * 8);
            datagram[bit / 8] ^= 1 << (bit % 8);
        }
        copies
    }

    /// The delay of one copy.
    pub fn draw_delay(&self, rng: &mut impl Rng) -> Time {
        self.delay + rng.random_range(0..=self.jitter)
    }
}

/// Datagrams and bytes that were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounters {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl TrafficCounters {
    /// Counts one datagram.
    pub fn count(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }
}
