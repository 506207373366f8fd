//! Buffers of one size, used again from a pool, and chains of them for what is larger.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// The size of every buffer.
pub const BUFFER: usize = 16 * 1024;
/// This part of the buffers is kept for the next use when it is not in use.
const KEPT: usize = 4;

/// The pool has given out as much as it may.
#[derive(Debug, PartialEq)]
pub struct Exhausted;

#[derive(Debug)]
struct Inner {
    free: Vec<Box<[u8]>>,
    out: usize,
    most: usize,
}

/// Gives out buffers up to a bound and takes them back.
#[derive(Clone, Debug)]
pub struct BufferPool(Rc<RefCell<Inner>>);

impl BufferPool {
    /// A pool that has at most so many buffers out.
    pub fn new(most: usize) -> BufferPool {
        BufferPool(Rc::new(RefCell::new(Inner { free: Vec::new(), out: 0, most })))
    }

    /// An empty chain that draws on this pool.
    pub fn chain(&self) -> BufferChain {
        BufferChain { pool: self.clone(), segments: VecDeque::new(), len: 0 }
    }

    /// Whether more than this part of the buffers is in use.
    pub fn fuller_than(&self, part: f64) -> bool {
        let inner = self.0.borrow();
        inner.out as f64 > inner.most as f64 * part
    }

    /// Another bound. What is out stays out; nothing more is given until less than that is.
    pub fn limit(&self, most: usize) {
        let mut inner = self.0.borrow_mut();
        inner.most = most.max(1);
        let kept = inner.most / KEPT;
        inner.free.truncate(kept);
    }

    /// How many bytes it may have out.
    pub fn bytes(&self) -> usize {
        self.0.borrow().most * BUFFER
    }

    fn take(&self) -> Result<Box<[u8]>, Exhausted> {
        let mut inner = self.0.borrow_mut();
        if inner.out >= inner.most {
            return Err(Exhausted);
        }
        inner.out += 1;
        Ok(inner.free.pop().unwrap_or_else(|| vec![0; BUFFER].into_boxed_slice()))
    }

    fn give(&self, buffer: Box<[u8]>) {
        let mut inner = self.0.borrow_mut();
        inner.out -= 1;
        if inner.free.len() < inner.most / KEPT {
            inner.free.push(buffer);
        }
    }
}

#[derive(Debug)]
struct Segment {
    buffer: Box<[u8]>,
    start: usize,
    end: usize,
}

/// Bytes in pooled buffers, taken from the front and added at the back.
#[derive(Debug)]
pub struct BufferChain {
    pool: BufferPool,
    segments: VecDeque<Segment>,
    len: usize,
}

impl BufferChain {
    /// How many bytes it holds.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Copies bytes to the back.
    pub fn extend(&mut self, mut bytes: &[u8]) -> Result<(), Exhausted> {
        while !bytes.is_empty() {
            if self.segments.back().is_none_or(|s| s.end == BUFFER) {
                self.segments.push_back(Segment { buffer: self.pool.take()?, start: 0, end: 0 });
            }
            if let Some(s) = self.segments.back_mut() {
                let n = bytes.len().min(BUFFER - s.end);
                s.buffer[s.end..s.end + n].copy_from_slice(&bytes[..n]);
                s.end += n;
                self.len += n;
                bytes = &bytes[n..];
            }
        }
        Ok(())
    }

    /// Moves all of another chain to the back.
    pub fn append(&mut self, mut other: BufferChain) {
        self.len += std::mem::take(&mut other.len);
        self.segments.append(&mut other.segments);
    }

    /// The first run of bytes; empty only if the chain is.
    pub fn front(&self) -> &[u8] {
        self.segments.front().map_or(&[], |s| &s.buffer[s.start..s.end])
    }

    /// All runs of bytes in order.
    pub fn runs(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(|s| &s.buffer[s.start..s.end])
    }

    /// Drops bytes from the front.
    pub fn advance(&mut self, mut n: usize) {
        debug_assert!(n <= self.len, "advanced past the end");
        while n > 0 {
            let Some(s) = self.segments.front_mut() else { return };
            let step = n.min(s.end - s.start);
            s.start += step;
            self.len -= step;
            n -= step;
            if s.start == s.end {
                if let Some(s) = self.segments.pop_front() {
                    self.pool.give(s.buffer);
                }
            }
        }
    }
}

impl Drop for BufferChain {
    fn drop(&mut self) {
        for s in self.segments.drain(..) {
            self.pool.give(s.buffer);
        }
    }
}
