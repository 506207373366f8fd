//! Queues: a link that transfers share, and workers that calls wait for; with the closed forms that they are tested
//! against.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet, VecDeque};

/// A float in order, for the heap.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Mark(f64, u64);

impl Eq for Mark {}
impl PartialOrd for Mark {
    fn partial_cmp(&self, other: &Mark) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Mark {
    fn cmp(&self, other: &Mark) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// A link that transfers share evenly, each at its own pace at most. Times in microseconds, sizes in bytes.
#[derive(Debug)]
pub struct Link {
    /// Bytes a microsecond.
    rate: f64,
    pace: f64,
    /// Bytes that a transfer which was there all the time has moved.
    level: f64,
    now: f64,
    ends: BinaryHeap<Reverse<Mark>>,
    gone: HashSet<u64>,
    /// Transfers on it.
    pub active: usize,
    /// Bytes carried, by second.
    pub carried: Vec<f64>,
}

impl Link {
    /// A link of so many bytes a second, of which one transfer takes so many at most.
    pub fn new(rate_per_s: f64, pace_per_s: f64) -> Link {
        Link {
            rate: rate_per_s / 1e6,
            pace: pace_per_s / 1e6,
            level: 0.0,
            now: 0.0,
            ends: BinaryHeap::new(),
            gone: HashSet::new(),
            active: 0,
            carried: Vec::new(),
        }
    }

    fn each(&self) -> f64 {
        self.pace.min(self.rate / self.active.max(1) as f64)
    }

    /// Lets time pass.
    pub fn turn(&mut self, now: u64) {
        let now = now as f64;
        while self.now < now {
            // Second by second, for the account of what was carried.
            let second = (self.now / 1e6) as usize;
            let until = now.min((second as f64 + 1.0) * 1e6);
            if self.active > 0 {
                let step = (until - self.now) * self.each();
                self.level += step;
                if self.carried.len() <= second {
                    self.carried.resize(second + 1, 0.0);
                }
                self.carried[second] += step * self.active as f64;
                self.now = until;
            } else {
                self.now = now;
            }
        }
    }

    /// Has another rate from now on.
    pub fn set(&mut self, now: u64, rate_per_s: f64) {
        self.turn(now);
        self.rate = rate_per_s / 1e6;
    }

    /// Puts a transfer on it; no id is used twice.
    pub fn add(&mut self, now: u64, id: u64, bytes: f64) {
        self.turn(now);
        self.ends.push(Reverse(Mark(self.level + bytes, id)));
        self.active += 1;
    }

    /// Takes one off that has not ended.
    pub fn drop(&mut self, now: u64, id: u64) {
        self.turn(now);
        if self.gone.insert(id) {
            self.active -= 1;
        }
    }

    fn clear(&mut self) {
        while self.ends.peek().is_some_and(|Reverse(m)| self.gone.remove(&m.1)) {
            self.ends.pop();
        }
    }

    /// When the next transfer ends if nothing changes.
    pub fn due(&mut self) -> Option<u64> {
        self.clear();
        let left = (self.ends.peek()?.0 .0 - self.level).max(0.0);
        Some((self.now + left / self.each()).ceil() as u64)
    }

    /// Takes one that has ended by now.
    pub fn ended(&mut self, now: u64) -> Option<u64> {
        self.turn(now);
        self.clear();
        let Reverse(Mark(end, id)) = *self.ends.peek()?;
        // Within half a microsecond of its end it has ended: times are whole.
        if end - self.level > self.each() * 0.5 + 1e-9 {
            return None;
        }
        self.ends.pop();
        self.active -= 1;
        Some(id)
    }

    /// What part of its rate was used in each second.
    pub fn used(&self, second: usize) -> f64 {
        let most = self.rate * 1e6;
        if most > 0.0 {
            self.carried.get(second).copied().unwrap_or(0.0) / most
        } else {
            0.0
        }
    }
}

/// Workers that calls wait for in turn.
#[derive(Debug)]
pub struct Workers {
    count: usize,
    free_at: BinaryHeap<Reverse<u64>>,
    lately: VecDeque<u64>,
    /// Calls a second above which it turns away.
    most: Option<f64>,
    /// Calls, by second.
    pub calls: Vec<f64>,
}

impl Workers {
    /// So many workers, none given: as many as there are calls.
    pub fn new(count: Option<usize>, most: Option<f64>) -> Workers {
        Workers {
            count: count.unwrap_or(usize::MAX),
            free_at: BinaryHeap::new(),
            lately: VecDeque::new(),
            most,
            calls: Vec::new(),
        }
    }

    /// A call of that much work: when it is done, or none if it is turned away. Calls come in order of time.
    pub fn call(&mut self, now: u64, work: u64) -> Option<u64> {
        let second = (now / 1_000_000) as usize;
        if self.calls.len() <= second {
            self.calls.resize(second + 1, 0.0);
        }
        self.calls[second] += 1.0;
        while self.lately.front().is_some_and(|t| *t + 1_000_000 < now) {
            self.lately.pop_front();
        }
        if let Some(most) = self.most {
            if self.lately.len() as f64 >= most {
                return None;
            }
            self.lately.push_back(now);
        }
        while self.free_at.peek().is_some_and(|Reverse(t)| *t <= now) {
            self.free_at.pop();
        }
        let begins = if self.free_at.len() < self.count {
            now
        } else {
            self.free_at.pop().map_or(now, |Reverse(t)| t)
        };
        self.free_at.push(Reverse(begins + work));
        Some(begins + work)
    }
}

/// The mean wait in an M/M/c queue, in mean service times (Erlang's C formula); none where it never settles.
pub fn erlang_wait(load: f64, servers: usize) -> Option<f64> {
    let c = servers as f64;
    if load >= c || servers == 0 {
        return None;
    }
    // Erlang's B by its recursion, then C from it.
    let b = (1..=servers).fold(1.0, |b, n| load * b / (n as f64 + load * b));
    let waits = b / (1.0 - load / c * (1.0 - b));
    Some(waits / (c - load))
}

/// The mean time in an M/G/1 queue with even sharing, in mean service times; none where it never settles.
pub fn sharing_time(load: f64) -> Option<f64> {
    (load < 1.0).then(|| 1.0 / (1.0 - load))
}
