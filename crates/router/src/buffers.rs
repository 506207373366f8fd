//! A bounded pool of buffers of one size, which are reused, and chains of buffers for longer byte
//! sequences.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// The size of each buffer, in bytes.
pub const BUFFER_BYTES: usize = 16 * 1024;
/// The pool keeps at most one free buffer for every this many buffers of its limit. Further buffers
/// are deallocated when they are released.
const LIMIT_PER_FREE_BUFFER: usize = 4;

/// Error: all buffers that the pool's limit allows are in use.
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

/// A pool that hands out buffers up to a limit. Clones share the buffers and the limit.
#[derive(Clone, Debug)]
pub struct BufferPool(Rc<RefCell<PoolState>>);

impl BufferPool {
    /// Creates a pool with a limit of that many buffers.
    pub fn new(limit: usize) -> BufferPool {
        BufferPool(Rc::new(RefCell::new(PoolState { free: Vec::new(), in_use: 0, limit })))
    }

    /// An empty chain that takes its buffers from this pool.
    pub fn chain(&self) -> BufferChain {
        BufferChain { pool: self.clone(), segments: VecDeque::new(), len: 0 }
    }

    /// Whether more than this share of the limit is in use; the share is between 0 and 1.
    pub fn is_fuller_than(&self, share: f64) -> bool {
        let state = self.0.borrow();
        state.in_use as f64 > state.limit as f64 * share
    }

    /// Sets the maximum number of buffers in use; 0 counts as 1. Buffers in use stay valid; no more
    /// are handed out until fewer than the limit are in use.
    pub fn set_max_buffers(&self, limit: usize) {
        let mut state = self.0.borrow_mut();
        state.limit = limit.max(1);
        let max_free = state.max_free();
        state.free.truncate(max_free);
    }

    /// The limit of the pool in bytes.
    pub fn limit_bytes(&self) -> usize {
        self.0.borrow().limit * BUFFER_BYTES
    }

    fn acquire(&self) -> Result<Box<[u8]>, Exhausted> {
        let mut state = self.0.borrow_mut();
        if state.in_use >= state.limit {
            return Err(Exhausted);
        }
        state.in_use += 1;
        Ok(state.free.pop().unwrap_or_else(|| vec![0; BUFFER_BYTES].into_boxed_slice()))
    }

    fn release(&self, buffer: Box<[u8]>) {
        let mut state = self.0.borrow_mut();
        state.in_use -= 1;
        if state.free.len() < state.max_free() {
            state.free.push(buffer);
        }
    }
}

/// A buffer of a chain. Its bytes from `start` to `end` are in use.
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

    /// Copies as many of the bytes as there is room for, and returns their number.
    fn fill(&mut self, bytes: &[u8]) -> usize {
        let copied = bytes.len().min(BUFFER_BYTES - self.end);
        self.buffer[self.end..self.end + copied].copy_from_slice(&bytes[..copied]);
        self.end += copied;
        copied
    }
}

/// A queue of bytes, stored in buffers of a pool. Dropping the chain returns its buffers.
#[derive(Debug)]
pub struct BufferChain {
    pool: BufferPool,
    segments: VecDeque<Segment>,
    len: usize,
}

impl BufferChain {
    /// The number of bytes in the chain.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the chain holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Copies bytes to the end of the chain. If the pool is exhausted, the bytes for which there
    /// was room have been added.
    pub fn extend(&mut self, mut bytes: &[u8]) -> Result<(), Exhausted> {
        while !bytes.is_empty() {
            if self.segments.back().is_none_or(|segment| segment.end == BUFFER_BYTES) {
                self.segments.push_back(Segment { buffer: self.pool.acquire()?, start: 0, end: 0 });
            }
            if let Some(segment) = self.segments.back_mut() {
                let copied = segment.fill(bytes);
                self.len += copied;
                bytes = &bytes[copied..];
            }
        }
        Ok(())
    }

    /// Moves all bytes of another chain to the end of this one.
    pub fn append(&mut self, mut other: BufferChain) {
        self.len += std::mem::take(&mut other.len);
        self.segments.append(&mut other.segments);
    }

    /// The first contiguous bytes of the chain; empty only if the chain is empty.
    pub fn front(&self) -> &[u8] {
        self.segments.front().map_or(&[], Segment::bytes)
    }

    /// All bytes of the chain in order, as contiguous slices.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Segment::bytes)
    }

    /// Removes `count` bytes from the front of the chain.
    pub fn advance(&mut self, mut count: usize) {
        debug_assert!(count <= self.len, "advance past the end of the buffer chain");
        while count > 0 {
            let Some(segment) = self.segments.front_mut() else { return };
            let removed = count.min(segment.end - segment.start);
            segment.start += removed;
            self.len -= removed;
            count -= removed;
            if segment.start == segment.end {
                if let Some(emptied) = self.segments.pop_front() {
                    self.pool.release(emptied.buffer);
                }
            }
        }
    }
}

impl Drop for BufferChain {
    fn drop(&mut self) {
        for segment in self.segments.drain(..) {
            self.pool.release(segment.buffer);
        }
    }
}
