//! The table of fetches from the origin. Requests for a chunk that is being fetched join the fetch.

use super::request_table::RequestHandle;
use crate::trace::ChunkId;
use std::collections::HashMap;

/// A fetch from the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FetchId(pub(super) u32);

/// How far a fetch has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FetchState {
    /// The origin has not responded yet.
    Requested,
    /// The response is being transferred.
    Receiving,
    /// It has ended, with the whole response or without it.
    Ended,
}

/// A chunk at a parent cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ParentChunk {
    pub(super) parent: u16,
    pub(super) chunk: ChunkId,
}

/// A fetch with the requests that wait for it.
#[derive(Debug)]
pub(super) struct OriginFetch {
    pub(super) target: ParentChunk,
    /// The oldest copy that was valid when the fetch began.
    pub(super) valid_since_us: u64,
    pub(super) state: FetchState,
    pub(super) copy_created_us: u64,
    pub(super) waiting: Vec<RequestHandle>,
}

/// All fetches, and those that run by parent cache and chunk.
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

    /// The running fetch of a chunk, if its response will be valid.
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
        // A later fetch of the same chunk may have taken its place, after a purge.
        if self.running.get(&target) == Some(&fetch) {
            self.running.remove(&target);
        }
        waiting
    }
}
