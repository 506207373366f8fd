//! Datagrams between routers: a version, a head, news, a checksum. Lengths are bounded before anything is read; a
//! datagram that is not understood whole is none.

use super::record::{Digests, MemberRecord};
use crate::envelope::{self, DatagramError, CHECK, MAX_DATAGRAM_LEN};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const VERSION: u8 = 1;

/// What is wanted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Answer with this number.
    Ping(u64),
    /// The answer.
    Ack(u64),
    /// Ping that router and say what came of it, under this number.
    Ask(u64, SocketAddr),
    /// It was asked and has not answered in time.
    Nack(u64),
    /// Only news.
    Tell,
    /// These are my digests: tell me what is in the parts where yours differ. An answer is not answered.
    Compare([u64; Digests::PARTS], bool),
}

/// What every datagram begins with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The fleet, by a hash of its name.
    pub(crate) fleet: u64,
    /// The sender: the address that others send to.
    pub(crate) from: SocketAddr,
    pub(crate) record: MemberRecord,
    /// Of the sender's whole view.
    pub(crate) digest: u64,
    pub(crate) body: Body,
}

/// What is said of a router; of a suspect also who suspects it, by a hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct News {
    pub(crate) of: SocketAddr,
    pub(crate) record: MemberRecord,
    pub(crate) by: u32,
}

/// Who suspects, in news.
pub(crate) fn by(addr: SocketAddr) -> u32 {
    xxh3_64_with_seed(addr.to_string().as_bytes(), 4) as u32
}

/// Writes a head and as much news, in order, as fits; says how many went in.
pub(crate) fn write<'a>(head: &Head, news: impl Iterator<Item = &'a News>) -> (Vec<u8>, usize) {
    let mut count = 0;
    let bytes = envelope::seal(VERSION, |bytes| {
        bytes.extend(postcard::to_stdvec(head).unwrap_or_default());
        for n in news {
            let Ok(text) = postcard::to_stdvec(n) else { break };
            if bytes.len() + text.len() + CHECK > MAX_DATAGRAM_LEN {
                break;
            }
            bytes.extend(text);
            count += 1;
        }
    });
    (bytes, count)
}

/// Reads a datagram of this fleet.
pub(crate) fn read(bytes: &[u8], fleet: u64) -> Result<(Head, Vec<News>), DatagramError> {
    let text = envelope::open(VERSION, bytes)?;
    let (head, mut rest) =
        postcard::take_from_bytes::<Head>(text).map_err(|_| DatagramError::InvalidFields)?;
    if head.fleet != fleet {
        return Err(DatagramError::OtherCluster);
    }
    let mut news = Vec::new();
    while !rest.is_empty() {
        let (n, left) = postcard::take_from_bytes::<News>(rest).map_err(|_| DatagramError::InvalidFields)?;
        rest = left;
        news.push(n);
    }
    let usable = |r: &MemberRecord| r.usable();
    if !usable(&head.record) || !news.iter().all(|n| usable(&n.record)) {
        return Err(DatagramError::InvalidFields);
    }
    Ok((head, news))
}

#[cfg(test)]
mod tests {
    use super::super::record::{MemberState, RouterPhase};
    use super::*;
    use crate::envelope::fleet_hash;
    use proptest::prelude::*;

    fn record(start: u64, name: &str) -> MemberRecord {
        let (state, phase) = (MemberState::Suspect, RouterPhase::Ready);
        MemberRecord {
            generation: start,
            incarnation: 3,
            state,
            phase,
            name: name.into(),
            zone: "cairo".into(),
        }
    }

    fn head(body: Body) -> Head {
        let from = SocketAddr::from(([10, 0, 0, 1], 7_946));
        Head { fleet: fleet_hash("f"), from, record: record(7, "n1"), digest: 9, body }
    }

    /// Bytes with the version before them and the checksum behind, as only a router writes them.
    fn sealed(text: &[u8]) -> Vec<u8> {
        envelope::seal(VERSION, |bytes| bytes.extend_from_slice(text))
    }

    /// Guards against a datagram that is longer than a packet, and against news that is cut with it.
    #[test]
    fn as_much_news_as_fits_is_written_and_read_again() {
        let of = |i: u8| SocketAddr::from(([10, 0, 0, i], 7_946));
        let news: Vec<News> = (0..200)
            .map(|i| News { of: of(i), record: record(u64::from(i) << 40, "a-router"), by: 5 })
            .collect();
        let (bytes, count) = write(&head(Body::Ping(u64::MAX)), news.iter());
        assert!(bytes.len() <= MAX_DATAGRAM_LEN && count > 20, "{count} in {} bytes", bytes.len());
        let (read_head, read_news) = read(&bytes, fleet_hash("f")).unwrap();
        assert_eq!((read_head, &read_news[..]), (head(Body::Ping(u64::MAX)), &news[..count]));
        assert_eq!(read(&bytes, fleet_hash("g")).unwrap_err(), DatagramError::OtherCluster);
        assert_eq!(read(&bytes[1..], fleet_hash("f")).unwrap_err(), DatagramError::UnsupportedFormat);
        assert_eq!(
            read(&bytes[..bytes.len() - 1], fleet_hash("f")).unwrap_err(),
            DatagramError::ChecksumMismatch
        );
        let long = News { of: of(1), record: record(1, &"n".repeat(33)), by: 0 };
        let (bytes, _) = write(&head(Body::Tell), [long].iter());
        assert_eq!(read(&bytes, fleet_hash("f")).unwrap_err(), DatagramError::InvalidFields);
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, ..ProptestConfig::default() })]

        /// The reader's fuzz target: any bytes, and any change to what a router wrote, under a checksum that fits.
        #[test]
        fn no_bytes_panic_the_reader_or_get_past_its_bounds(
            any in proptest::collection::vec(any::<u8>(), 0..1_500),
            at in 0usize..120, bit in 0u32..8, cut in 0usize..120,
        ) {
            let (real, _) = write(&head(Body::Ask(1, SocketAddr::from(([10, 0, 0, 9], 1)))), std::iter::empty());
            let mut text = real[1..real.len() - CHECK].to_vec();
            let at = at % text.len();
            text[at] ^= 1 << bit;
            for bytes in [any.clone(), sealed(&any), sealed(&text), sealed(&text[..cut.min(text.len())])] {
                if let Ok((head, news)) = read(&bytes, fleet_hash("f")) {
                    prop_assert!(head.record.usable() && news.iter().all(|n| n.record.usable()));
                    prop_assert!(bytes.len() <= MAX_DATAGRAM_LEN);
                }
            }
        }
    }
}
