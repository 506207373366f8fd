//! Buffers of one size, reused from a bounded pool, and chains of them for what is larger.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// The size of every buffer, in bytes.
pub const BUFFER_BYTES: usize = 16 * 1024;
/// One in so many buffers of the pool's limit stays allocated for reuse.
const LIMIT_PER_FREE_BUFFER: usize = 4;

/// All buffers of the pool are in use.
#[derive(Debug, PartialEq)]
pub struct Exhausted;

#[derive(Debug)]
struct PoolState {
    free: Vec<Box<[u8]>>,
    in_use: usize,
    limit: usize,
}

impl PoolState {
    fn max_free(&self) -> usize {
        self.limit / LIMIT_PER_FREE_BUFFER
    }
}

/// Lends buffers up to a limit. Clones share the buffers and the limit.
#[derive(Clone, Debug)]
pub struct BufferPool(Rc<RefCell<PoolState>>);

impl BufferPool {
    /// A pool that lends so many buffers at most.
    pub fn new(limit: usize) -> BufferPool {
        BufferPool(Rc::new(RefCell::new(PoolState { free: Vec::new(), in_use: 0, limit })))
    }

    /// An empty chain that takes its buffers from this pool.
    pub fn chain(&self) -> BufferChain {
        BufferChain { pool: self.clone(), segments: VecDeque::new(), len: 0 }
    }

    /// Whether more than this share of the limit is in use.
    pub fn is_fuller_than(&self, share: f64) -> bool {
        let state = self.0.borrow();
        state.in_use as f64 > state.limit as f64 * share
    }

    /// Changes the limit. Buffers in use stay so; no more are lent until fewer than the limit are
    /// in use.
    pub fn limit(&self, limit: usize) {
        let mut state = self.0.borrow_mut();
        state.limit = limit.max(1);
        let max_free = state.max_free();
        state.free.truncate(max_free);
    }

    /// The limit in bytes.
    pub fn bytes(&self) -> usize {
        self.0.borrow().limit * BUFFER_BYTES
    }

    fn lend(&self) -> Result<Box<[u8]>, Exhausted> {
        let mut state = self.0.borrow_mut();
        if state.in_use >= state.limit {
            return Err(Exhausted);
        }
        state.in_use += 1;
        Ok(state.free.pop().unwrap_or_else(|| vec![0; BUFFER_BYTES].into_boxed_slice()))
    }

    fn give_back(&self, buffer: Box<[u8]>) {
        let mut state = self.0.borrow_mut();
        state.in_use -= 1;
        if state.free.len() < state.max_free() {
            state.free.push(buffer);
        }
    }
}

/// A buffer whose bytes from `start` to `end` are in use.
#[derive(Debug)]
struct Segment {
    buffer: Box<[u8]>,
    start: usize,
    end: usize,
}

impl Segment {
    fn bytes(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// Copies as many of the bytes as have room; returns how many.
    fn fill(&mut self, bytes: &[u8]) -> usize {
        let copied = bytes.len().min(BUFFER_BYTES - self.end);
        self.buffer[self.end..self.end + copied].copy_from_slice(&bytes[..copied]);
        self.end += copied;
        copied
    }
}

/// A queue of bytes in buffers of a pool.
#[derive(Debug)]
pub struct BufferChain {
    pool: BufferPool,
    segments: VecDeque<Segment>,
    len: usize,
}

impl BufferChain {
    /// The number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Copies bytes to the end. If the pool is exhausted, those that had room have been added.
    pub fn extend(&mut self, mut bytes: &[u8]) -> Result<(), Exhausted> {
        while !bytes.is_empty() {
            if self.segments.back().is_none_or(|segment| segment.end == BUFFER_BYTES) {
                self.segments.push_back(Segment { buffer: self.pool.lend()?, start: 0, end: 0 });
            }
            if let Some(segment) = self.segments.back_mut() {
                let copied = segment.fill(bytes);
                self.len += copied;
                bytes = &bytes[copied..];
            }
        }
        Ok(())
    }

    /// Moves all bytes of another chain to the end.
    pub fn append(&mut self, mut other: BufferChain) {
        self.len += std::mem::take(&mut other.len);
        self.segments.append(&mut other.segments);
    }

    /// The first bytes, as many as are in one piece; empty only if the chain is.
    pub fn front(&self) -> &[u8] {
        self.segments.front().map_or(&[], Segment::bytes)
    }

    /// All bytes in order, piece by piece.
    pub fn runs(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Segment::bytes)
    }

    /// Removes bytes from the front.
    pub fn advance(&mut self, mut count: usize) {
        debug_assert!(count <= self.len, "advanced past the end");
        while count > 0 {
            let Some(segment) = self.segments.front_mut() else { return };
            let removed = count.min(segment.end - segment.start);
            segment.start += removed;
            self.len -= removed;
            count -= removed;
            if segment.start == segment.end {
                if let Some(emptied) = self.segments.pop_front() {
                    self.pool.give_back(emptied.buffer);
                }
            }
        }
    }
}

impl Drop for BufferChain {
    fn drop(&mut self) {
        for segment in self.segments.drain(..) {
            self.pool.give_back(segment.buffer);
        }
    }
}
