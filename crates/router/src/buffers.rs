//! A bounded pool of buffers of one size, which are reused, and chains of buffers for longer byte
//! sequences.
//!
//! Bodies of messages are stored in buffers of the pool and may find it exhausted. What frames a
//! body, and every message without one, is control data: it is stored in segments of its own size
//! outside of the pool, so that a reply can always be written. The pool counts control data, and its
//! user must keep it below [`BufferPool::max_control_bytes`].

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// The size of each buffer, in bytes.
pub const BUFFER_BYTES: usize = 16 * 1024;
/// The pool keeps at most one free buffer for every this many buffers of its limit. Further buffers
/// are deallocated when they are released.
const LIMIT_PER_FREE_BUFFER: usize = 4;
/// Divisor of the pool's limit that gives the limit of buffers for incomplete requests. The rest is
/// for requests that are open and for responses.
const INCOMPLETE_REQUESTS_DIVISOR: usize = 4;
/// Divisor of the pool's limit in bytes that gives the limit of control data.
const CONTROL_DIVISOR: usize = 8;
/// Largest fraction of the pool's limit that may be in use when a connection adds to the replies that
/// its client has not read. The rest is for the messages of other clients.
const MAX_USE_FOR_UNREAD: f64 = 0.75;
/// The unread replies of one connection may take this multiple of what is left up to
/// [`MAX_USE_FOR_UNREAD`]: the more connections have unread replies, the less each of them may hold.
const UNREAD_MULTIPLE_OF_FREE: f64 = 2.0;
/// Control data is added to the last segment of a chain until that has this size.
const MAX_CONTROL_SEGMENT_BYTES: usize = 4 * 1024;

/// Error: all buffers that the pool's limits allow are in use.
#[derive(Debug, PartialEq)]
pub struct Exhausted;

/// What a buffer is used for, which determines how many buffers may be in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferUse {
    /// The body of a client's request that has not been received completely. Its client may never
    /// send the rest, so these buffers are limited to a part of the pool.
    IncompleteRequest,
    /// The body of an open request, of an attempt or of a response.
    Message,
}

#[derive(Debug)]
struct PoolState {
    free: Vec<Box<[u8]>>,
    /// Number of buffers in use, for whatever use.
    in_use: usize,
    /// Number of buffers in use for incomplete requests.
    incomplete_requests: usize,
    limit: usize,
    /// Bytes of control data in all chains.
    control_bytes: usize,
}

impl PoolState {
    fn max_free(&self) -> usize {
        self.limit / LIMIT_PER_FREE_BUFFER
    }

    fn max_incomplete_requests(&self) -> usize {
        (self.limit / INCOMPLETE_REQUESTS_DIVISOR).max(1)
    }

    /// Number of further buffers that may be acquired for a use.
    fn available(&self, buffer_use: BufferUse) -> usize {
        let available = self.limit.saturating_sub(self.in_use);
        match buffer_use {
            BufferUse::Message => available,
            BufferUse::IncompleteRequest => {
                available.min(self.max_incomplete_requests().saturating_sub(self.incomplete_requests))
            }
        }
    }

    fn count_acquired(&mut self, buffer_use: BufferUse) {
        self.in_use += 1;
        self.incomplete_requests += usize::from(buffer_use == BufferUse::IncompleteRequest);
    }

    fn count_released(&mut self, buffer_use: BufferUse) {
        self.in_use -= 1;
        self.incomplete_requests -= usize::from(buffer_use == BufferUse::IncompleteRequest);
    }
}

/// A pool that hands out buffers up to a limit. Clones share the buffers and the limit.
#[derive(Clone, Debug)]
pub struct BufferPool(Rc<RefCell<PoolState>>);

impl BufferPool {
    /// Creates a pool with a limit of that many buffers.
    pub fn new(limit: usize) -> BufferPool {
        let state =
            PoolState { free: Vec::new(), in_use: 0, incomplete_requests: 0, limit, control_bytes: 0 };
        BufferPool(Rc::new(RefCell::new(state)))
    }

    /// An empty chain that takes its buffers from this pool, for [`BufferUse::Message`].
    pub fn chain(&self) -> BufferChain {
        self.chain_for(BufferUse::Message)
    }

    /// An empty chain that takes its buffers from this pool for the given use.
    pub fn chain_for(&self, buffer_use: BufferUse) -> BufferChain {
        BufferChain { pool: self.clone(), buffer_use, segments: VecDeque::new(), len: 0 }
    }

    /// Whether more than this share of the limit is in use; the share is between 0 and 1.
    pub fn is_fuller_than(&self, share: f64) -> bool {
        let state = self.0.borrow();
        state.in_use as f64 > state.limit as f64 * share
    }

    /// Whether a connection may hold this many bytes of replies that its client has not read. The
    /// buffers of these replies are in use already.
    pub fn may_hold_unread(&self, bytes: usize) -> bool {
        let state = self.0.borrow();
        let free = state.limit as f64 * MAX_USE_FOR_UNREAD - state.in_use as f64;
        bytes as f64 <= free * BUFFER_BYTES as f64 * UNREAD_MULTIPLE_OF_FREE
    }

    /// Whether this many further buffers may be acquired for a use.
    pub fn has_room(&self, buffers: usize, buffer_use: BufferUse) -> bool {
        self.0.borrow().available(buffer_use) >= buffers
    }

    /// Sets the maximum number of buffers in use; 0 counts as 1. Buffers in use stay valid; no more
    /// are handed out until fewer than the limit are in use.
    pub fn set_max_buffers(&self, limit: usize) {
        let mut state = self.0.borrow_mut();
        state.limit = limit.max(1);
        let max_free = state.max_free();
        state.free.truncate(max_free);
    }

    /// Number of buffers in use.
    pub fn in_use(&self) -> usize {
        self.0.borrow().in_use
    }

    /// The limit of the pool in bytes.
    pub fn limit_bytes(&self) -> usize {
        self.0.borrow().limit * BUFFER_BYTES
    }

    /// Number of bytes of control data in all chains of the pool.
    pub fn control_bytes(&self) -> usize {
        self.0.borrow().control_bytes
    }

    /// The number of bytes of control data that the pool's user should not exceed for long. The
    /// pool itself does not enforce it.
    pub fn max_control_bytes(&self) -> usize {
        self.limit_bytes() / CONTROL_DIVISOR
    }

    fn acquire(&self, buffer_use: BufferUse) -> Result<Box<[u8]>, Exhausted> {
        let mut state = self.0.borrow_mut();
        if state.available(buffer_use) == 0 {
            return Err(Exhausted);
        }
        state.count_acquired(buffer_use);
        Ok(state.free.pop().unwrap_or_else(|| vec![0; BUFFER_BYTES].into_boxed_slice()))
    }

    fn release(&self, storage: Storage) {
        let mut state = self.0.borrow_mut();
        match storage {
            Storage::Pooled { buffer, buffer_use } => {
                state.count_released(buffer_use);
                if state.free.len() < state.max_free() {
                    state.free.push(buffer);
                }
            }
            Storage::Control(bytes) => state.control_bytes -= bytes.len(),
        }
    }
}

/// The memory of a segment.
#[derive(Debug)]
enum Storage {
    /// A buffer of the pool.
    Pooled { buffer: Box<[u8]>, buffer_use: BufferUse },
    /// Control data, outside of the pool.
    Control(Vec<u8>),
}

/// A segment of a chain. Its bytes from `start` to `end` are in use.
#[derive(Debug)]
struct Segment {
    storage: Storage,
    start: usize,
    end: usize,
}

impl Segment {
    fn bytes(&self) -> &[u8] {
        match &self.storage {
            Storage::Pooled { buffer, .. } => &buffer[self.start..self.end],
            Storage::Control(bytes) => &bytes[self.start..self.end],
        }
    }

    /// Copies as many of the bytes into the segment's buffer as there is room for, and returns their
    /// number. A segment of control data has no room.
    fn fill(&mut self, bytes: &[u8]) -> usize {
        let Storage::Pooled { buffer, .. } = &mut self.storage else { return 0 };
        let copied = bytes.len().min(BUFFER_BYTES - self.end);
        buffer[self.end..self.end + copied].copy_from_slice(&bytes[..copied]);
        self.end += copied;
        copied
    }

    /// Adds control data to the segment if all of it fits.
    fn fill_control(&mut self, bytes: &[u8], pool: &BufferPool) -> bool {
        match &mut self.storage {
            Storage::Pooled { .. } if bytes.len() <= BUFFER_BYTES - self.end => {
                self.fill(bytes);
                true
            }
            Storage::Control(stored) if stored.len() + bytes.len() <= MAX_CONTROL_SEGMENT_BYTES => {
                stored.extend_from_slice(bytes);
                self.end = stored.len();
                pool.0.borrow_mut().control_bytes += bytes.len();
                true
            }
            _ => false,
        }
    }

    fn control_bytes(&self) -> usize {
        match &self.storage {
            Storage::Pooled { .. } => 0,
            Storage::Control(bytes) => bytes.len(),
        }
    }
}

/// A queue of bytes, stored in buffers of a pool and in control data. Dropping the chain returns its
/// buffers.
#[derive(Debug)]
pub struct BufferChain {
    pool: BufferPool,
    buffer_use: BufferUse,
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

    /// The number of bytes of control data that the chain keeps in memory.
    pub fn control_bytes(&self) -> usize {
        self.segments.iter().map(Segment::control_bytes).sum()
    }

    /// Copies bytes to the end of the chain. If the pool is exhausted, the bytes for which there
    /// was room have been added.
    pub fn extend(&mut self, mut bytes: &[u8]) -> Result<(), Exhausted> {
        while !bytes.is_empty() {
            let copied = self.segments.back_mut().map_or(0, |segment| segment.fill(bytes));
            if copied == 0 {
                self.push_buffer()?;
            }
            self.len += copied;
            bytes = &bytes[copied..];
        }
        Ok(())
    }

    fn push_buffer(&mut self) -> Result<(), Exhausted> {
        let buffer = self.pool.acquire(self.buffer_use)?;
        let storage = Storage::Pooled { buffer, buffer_use: self.buffer_use };
        self.segments.push_back(Segment { storage, start: 0, end: 0 });
        Ok(())
    }

    /// Copies control data to the end of the chain. It is stored in the room that the last segment
    /// has, or else outside of the pool, so this can't fail.
    pub fn extend_control(&mut self, bytes: &[u8]) {
        self.len += bytes.len();
        let fits = self.segments.back_mut().is_some_and(|segment| segment.fill_control(bytes, &self.pool));
        if !fits {
            self.pool.0.borrow_mut().control_bytes += bytes.len();
            let storage = Storage::Control(bytes.to_vec());
            self.segments.push_back(Segment { storage, start: 0, end: bytes.len() });
        }
    }

    /// Moves all bytes of another chain to the end of this one.
    pub fn append(&mut self, mut other: BufferChain) {
        self.len += std::mem::take(&mut other.len);
        self.segments.append(&mut other.segments);
    }

    /// Counts the buffers of an incomplete request as those of a message from now on.
    pub fn complete_request(&mut self) {
        self.buffer_use = BufferUse::Message;
        for segment in &mut self.segments {
            if let Storage::Pooled { buffer_use: buffer_use @ BufferUse::IncompleteRequest, .. } =
                &mut segment.storage
            {
                *buffer_use = BufferUse::Message;
                self.pool.0.borrow_mut().incomplete_requests -= 1;
            }
        }
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
                    self.pool.release(emptied.storage);
                }
            }
        }
    }
}

impl Drop for BufferChain {
    fn drop(&mut self) {
        for segment in self.segments.drain(..) {
            self.pool.release(segment.storage);
        }
    }
}
