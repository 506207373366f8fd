//! Tests of the tags that a client uses on its connection.

use hollymux_protocol::client::UsedTags;
use proptest::prelude::*;
use std::collections::HashSet;

/// The number of tags, last used, of which every repetition is noticed.
const REMEMBERED_TAGS: usize = 256;

proptest! {
    /// Guards against new tags that are taken for used ones, in whatever order and at whatever
    /// distance the client chooses them, and against used ones that are taken for new ones.
    #[test]
    fn a_new_tag_is_accepted_and_a_recent_one_is_noticed(
        stride in 1_u64..4,
        descending in any::<bool>(),
        jumps in prop::collection::vec(prop::option::weighted(0.3, 1_u64..), 1..2_000),
        repeats in prop::collection::vec(any::<prop::sample::Index>(), 20),
    ) {
        let mut tags = UsedTags::default();
        let mut used = Vec::new();
        let mut known = HashSet::new();
        let mut next = if descending { u64::MAX / 2 } else { 1 };
        for jump in jumps {
            let tag = jump.unwrap_or(next);
            next = if descending { next - stride } else { next + stride };
            if known.insert(tag) {
                prop_assert!(tags.insert(tag), "tag {} was not used before", tag);
                used.push(tag);
            }
        }
        let recent = &used[used.len().saturating_sub(REMEMBERED_TAGS)..];
        for repeat in repeats {
            let tag = *repeat.get(recent);
            prop_assert!(!tags.insert(tag), "tag {} was used before", tag);
        }
    }
}

/// Guards against the end of the range of numbers.
#[test]
fn the_lowest_and_the_highest_tag_can_be_used_once() {
    let mut tags = UsedTags::default();
    for tag in [1, u64::MAX, 2, u64::MAX - 1] {
        assert!(tags.insert(tag), "{tag} was not used before");
    }
    for tag in [1, 2, u64::MAX - 1, u64::MAX] {
        assert!(!tags.insert(tag), "{tag} was used before");
    }
}
