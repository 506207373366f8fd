//! Tests of the buffer pool: its limits for each use, and control data outside of it.

use hollymux_router::buffers::{BufferChain, BufferPool, BufferUse, Exhausted, BUFFER_BYTES};
use proptest::prelude::*;

/// Limit of the pools in these tests, of which a quarter is for incomplete requests.
const LIMIT: usize = 8;

fn contents(chain: &BufferChain) -> Vec<u8> {
    chain.segments().flatten().copied().collect()
}

/// Guards against replies that can't be written because messages hold all buffers.
#[test]
fn control_data_is_stored_while_the_pool_is_exhausted() {
    let pool = BufferPool::new(1);
    let mut body = pool.chain();
    body.extend(&[b'x'; BUFFER_BYTES]).expect("one buffer is free");
    assert_eq!(pool.chain().extend(b"y"), Err(Exhausted));
    let mut reply = pool.chain();
    reply.extend_control(b"before ");
    reply.append(body);
    reply.extend_control(b" after");
    assert_eq!(contents(&reply), [b"before ", &[b'x'; BUFFER_BYTES][..], b" after"].concat());
    assert_eq!(pool.control_bytes(), 13);
    reply.advance(7 + BUFFER_BYTES);
    assert_eq!((contents(&reply), pool.control_bytes()), (b" after".to_vec(), 6));
    drop(reply);
    assert_eq!(pool.control_bytes(), 0);
}

/// Guards against incomplete requests that take the buffers of messages, and against buffers that
/// count as those of an incomplete request for good.
#[test]
fn incomplete_requests_use_only_their_part_of_the_pool_until_they_are_complete() {
    let pool = BufferPool::new(LIMIT);
    let mut incomplete = pool.chain_for(BufferUse::IncompleteRequest);
    incomplete.extend(&[b'x'; 2 * BUFFER_BYTES]).expect("a quarter of the pool is free");
    assert!(!pool.has_room(1, BufferUse::IncompleteRequest));
    assert_eq!(pool.chain_for(BufferUse::IncompleteRequest).extend(b"y"), Err(Exhausted));
    assert!(pool.has_room(LIMIT - 2, BufferUse::Message));
    incomplete.complete_request();
    assert!(pool.has_room(2, BufferUse::IncompleteRequest));
    assert!(pool.has_room(LIMIT - 2, BufferUse::Message) && !pool.has_room(LIMIT - 1, BufferUse::Message));
    drop(incomplete);
    assert!(pool.has_room(LIMIT, BufferUse::Message));
}

/// Guards against clients that read slowly and whose replies take the buffers of all others, and
/// against one of them that gets less than it needs while the pool is free.
#[test]
fn unread_replies_leave_a_part_of_the_pool_however_many_clients_hold_them() {
    const POOL_BUFFERS: usize = 160;
    for clients in [1, 2, 8, 32] {
        let pool = BufferPool::new(POOL_BUFFERS);
        let mut unread: Vec<BufferChain> = (0..clients).map(|_| pool.chain()).collect();
        loop {
            let in_use = |unread: &[BufferChain]| unread.iter().map(BufferChain::len).sum::<usize>();
            let before = in_use(&unread);
            for chain in &mut unread {
                let mut body = pool.chain();
                body.extend(&[b'x'; BUFFER_BYTES]).expect("a part of the pool is always free");
                if pool.may_hold_unread(chain.len() + body.len()) {
                    chain.append(body);
                }
            }
            if in_use(&unread) == before {
                break;
            }
        }
        assert!(pool.has_room(POOL_BUFFERS / 4, BufferUse::Message), "{clients} clients");
        assert!(
            !pool.has_room(POOL_BUFFERS / 2 + 2, BufferUse::Message),
            "{clients} clients hold too little"
        );
    }
}

proptest! {
    /// Guards against bytes that are lost, doubled or out of order, and against counts that differ
    /// from what the chains hold.
    #[test]
    fn chains_keep_their_bytes_and_release_what_they_hold(
        steps in prop::collection::vec((0_u8..4, 1_usize..2 * BUFFER_BYTES), 1..40),
    ) {
        let pool = BufferPool::new(LIMIT);
        let mut chain = pool.chain();
        let mut expected: Vec<u8> = Vec::new();
        for (number, (step, length)) in steps.into_iter().enumerate() {
            let bytes = vec![number as u8; length];
            match step {
                0 => {
                    let before = chain.len();
                    let result = chain.extend(&bytes);
                    let added = chain.len() - before;
                    prop_assert_eq!(result.is_ok(), added == length);
                    expected.extend_from_slice(&bytes[..added]);
                }
                1 => {
                    chain.extend_control(&bytes[..length.min(200)]);
                    expected.extend_from_slice(&bytes[..length.min(200)]);
                }
                2 => {
                    let mut other = pool.chain_for(BufferUse::IncompleteRequest);
                    let _added = other.extend(&bytes);
                    other.complete_request();
                    expected.extend(contents(&other));
                    chain.append(other);
                }
                _ => {
                    let removed = length.min(chain.len());
                    chain.advance(removed);
                    expected.drain(..removed);
                }
            }
            prop_assert_eq!(chain.len(), expected.len());
            prop_assert_eq!(contents(&chain), expected.clone());
            prop_assert_eq!(pool.control_bytes(), chain.control_bytes());
        }
        drop(chain);
        prop_assert_eq!(pool.control_bytes(), 0);
        prop_assert!(pool.has_room(LIMIT, BufferUse::Message));
        prop_assert!(pool.has_room(LIMIT / 4, BufferUse::IncompleteRequest));
    }
}
