//! Faults of a directed link between two routers, applied to its datagrams.

use crate::Time;
use rand::Rng;

/// The faults of a directed link. The default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// Whether all datagrams are dropped.
    pub cut: bool,
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The probability that a datagram is duplicated.
    pub duplication: f64,
    /// The probability that a datagram arrives with one bit flipped.
    pub corruption: f64,
    /// The delay that the fault adds to every datagram.
    pub delay: Time,
    /// The maximum of a further random delay, which reorders datagrams.
    pub jitter: Time,
}

impl LinkFault {
    /// A link that drops all datagrams.
    pub const CUT: LinkFault =
        LinkFault { cut: true, loss: 0.0, duplication: 0.0, corruption: 0.0, delay: 0, jitter: 0 };

    /// Corrupts the datagram if the draw says so, and returns how many copies of it are delivered:
    /// 0, 1 or 2.
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

    /// Draws the delay of one copy of a datagram.
    pub fn draw_delay(&self, rng: &mut impl Rng) -> Time {
        self.delay + rng.random_range(0..=self.jitter)
    }
}

/// The number and the total size of the datagrams sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounters {
    /// The number of datagrams sent, including those that the link lost.
    pub datagrams: u64,
    /// The total size of their payloads, in bytes.
    pub bytes: u64,
}

impl TrafficCounters {
    /// Counts one datagram of this size in bytes.
    pub fn count(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }
}
