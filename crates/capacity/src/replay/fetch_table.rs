//! The table of fetches from the origin. A request for a chunk that a parent cache is already
//! fetching joins the fetch (request coalescing).

use super::request_table::RequestHandle;
use crate::trace::ChunkId;
use std::collections::HashMap;

/// Identifier of a fetch from the origin: its index in the fetch table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FetchId(pub(super) u32);

/// How far the origin's response to a fetch has been transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FetchState {
    /// The origin has not responded yet.
    Requested,
    /// The response is being transferred.
    Receiving,
    /// The fetch has ended, with or without the complete response.
    Ended,
}

/// A chunk at a parent cache; the key of a running fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ParentChunk {
    pub(super) parent: u16,
    pub(super) chunk: ChunkId,
}

/// A fetch with the requests that wait for it.
#[derive(Debug)]
pub(super) struct OriginFetch {
    pub(super) target: ParentChunk,
    /// Oldest valid creation time of a copy when the fetch began, in microseconds. A later purge
    /// raises the limit, and new requests no longer join.
    pub(super) valid_since_us: u64,
    pub(super) state: FetchState,
    /// Creation time of the copy, in microseconds: the arrival of the first byte; 0 before.
    pub(super) copy_created_us: u64,
    /// Requests that wait for the fetch, including those that have withdrawn since.
    pub(super) waiting: Vec<RequestHandle>,
}

/// All fetches of the replay, and the running ones by parent cache and chunk.
#[derive(Debug, Default)]
pub(super) struct FetchTable {
    fetches: Vec<OriginFetch>,
    running: HashMap<ParentChunk, FetchId>,
}

impl FetchTable {
    pub(super) fn get(&self, fetch: FetchId) -> &OriginFetch {
        &self.fetches[fetch.0 as usize]
    }

    pub(super) fn get_mut(&mut self, fetch: FetchId) -> &mut OriginFetch {
        &mut self.fetches[fetch.0 as usize]
    }

    /// Returns the running fetch of a chunk, or `None` if there is none or the chunk was purged
    /// after it began.
    pub(super) fn joinable(&self, target: ParentChunk, valid_since_us: u64) -> Option<FetchId> {
        let fetch = *self.running.get(&target)?;
        (self.get(fetch).valid_since_us >= valid_since_us).then_some(fetch)
    }

    pub(super) fn begin(&mut self, target: ParentChunk, valid_since_us: u64) -> FetchId {
        let fetch = FetchId(self.fetches.len() as u32);
        self.fetches.push(OriginFetch {
            target,
            valid_since_us,
            state: FetchState::Requested,
            copy_created_us: 0,
            waiting: Vec::new(),
        });
        self.running.insert(target, fetch);
        fetch
    }

    /// Ends a fetch and returns the requests that waited for it.
    pub(super) fn end(&mut self, fetch: FetchId) -> Vec<RequestHandle> {
        let ended = self.get_mut(fetch);
        ended.state = FetchState::Ended;
        let waiting = std::mem::take(&mut ended.waiting);
        let target = ended.target;
        // After a purge, a later fetch of the same chunk may have replaced this one.
        if self.running.get(&target) == Some(&fetch) {
            self.running.remove(&target);
        }
        waiting
    }
}
