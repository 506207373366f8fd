//! Connections to shelfs from their dial until they are up, and which connection carries an attempt. One may come up
//! late, or never, at an endpoint that is well: what waits for it goes by another one, and it is kept for what comes next.

use super::*;

/// A connection is late once it has taken so many times what the quickest one to its endpoint took, within these bounds. The
/// upper one also holds where none has come up yet.
const LATE: u32 = 4;
const LATE_LEAST: Duration = Duration::from_millis(20);
const LATE_MOST: Duration = Duration::from_millis(100);
/// With so many late connections to an endpoint a further one is begun only when the newest is late as well: there it is the
/// endpoint, or the way to it.
const LATE_DIALS: usize = 3;
/// One that is not up after this long never will be.
pub(super) const NEVER: Duration = Duration::from_millis(2_500);

impl Server {
    /// A connection that can carry one more: one that is prompt, else the one with the least open.
    pub(super) fn connection(
        &mut self,
        endpoint: EndpointId,
        addr: SocketAddr,
        id: &[u8],
    ) -> Result<Key, AttemptFailure> {
        match self.prompt(endpoint, addr, id) {
            Ok(key) => Ok(key),
            Err(e) => match self.least(endpoint, id, |c| c.up).or_else(|| self.least(endpoint, id, |_| true))
            {
                Some((_, key)) => {
                    self.wheel.set(self.now + self.late_after(endpoint), Timer::Dial(key));
                    Ok(key)
                }
                None if e.is_some_and(|e| refuses(&e)) => Err(AttemptFailure::ConnectionRefused),
                None => Err(AttemptFailure::NotSent),
            },
        }
    }

    /// One that can carry one more soon: an idle one, else one that is coming up and not late, else a new one. An error
    /// says why there is no new one; none: there may be none.
    fn prompt(
        &mut self,
        endpoint: EndpointId,
        addr: SocketAddr,
        id: &[u8],
    ) -> Result<Key, Option<io::Error>> {
        let idle = self.least(endpoint, id, |c| c.up).filter(|l| l.0 == 0);
        let (now, late) = (self.now, self.late_after(endpoint));
        let coming = || self.least(endpoint, id, |c| !c.up && !c.late(now, late)).filter(|l| l.0 == 0);
        if let Some((_, key)) = idle.or_else(coming) {
            return Ok(key);
        }
        let keys = self.shelfs.get(&endpoint).map_or(&[][..], |l| &l.keys);
        let conns = || keys.iter().filter_map(|k| self.seen(*k));
        let overdue = conns().filter(|r| matches!(r, Role::Shelf(c) if c.late(now, late))).count();
        let coming = conns().any(|r| matches!(r, Role::Shelf(c) if !c.up && !c.late(now, late)));
        if keys.len() >= LINE_MOST || coming && overdue >= LATE_DIALS {
            return Err(None);
        }
        if self.shelf_conns >= self.shelfs_most() && !self.evict_shelf() {
            return Err(None);
        }
        self.dial_shelf(endpoint, addr).map_err(Some)
    }

    /// Of the connections to an endpoint that can carry one more, the one with the least open, and how much that is.
    fn least(
        &self,
        endpoint: EndpointId,
        id: &[u8],
        fit: impl Fn(&ShelfConn) -> bool,
    ) -> Option<(usize, Key)> {
        let keys = self.shelfs.get(&endpoint).map_or(&[][..], |l| &l.keys);
        let takes = |c: &ShelfConn| {
            let clear = !c.open.contains_key(id) && !c.spent.iter().any(|s| s == id);
            // One that still brings what nobody waits for holds up whatever comes behind.
            let clear = clear && !(c.open.is_empty() && c.decoder.is_mid_frame());
            let waiting: usize = c.queue.iter().map(|m| m.bytes.len()).sum();
            !c.leaving && clear && c.open.len() < self.config.streams && waiting <= OUT_MOST
        };
        let load = |key: &Key| match self.seen(*key) {
            Some(Role::Shelf(c)) if fit(c) && takes(c) => Some((c.open.len(), *key)),
            _ => None,
        };
        keys.iter().filter_map(load).min_by_key(|l| l.0)
    }

    fn late_after(&self, endpoint: EndpointId) -> Duration {
        let quickest = self.shelfs.get(&endpoint).and_then(|l| l.quickest);
        quickest.map_or(LATE_MOST, |t| (t * LATE).clamp(LATE_LEAST, LATE_MOST))
    }

    fn dial_shelf(&mut self, endpoint: EndpointId, addr: SocketAddr) -> io::Result<Key> {
        let mut stream = Stream::new(dial(addr)?, self.now);
        stream.waiting = true;
        let conn = ShelfConn {
            stream,
            endpoint,
            addr,
            decoder: endpoint::decoder(&self.pool),
            since: self.now,
            up: false,
            queue: VecDeque::new(),
            open: HashMap::new(),
            spent: VecDeque::new(),
            used: self.now,
            leaving: false,
            refused: false,
        };
        let key = self.place(Role::Shelf(conn))?;
        self.shelf_conns += 1;
        self.shelfs.entry(endpoint).or_default().keys.push(key);
        self.wheel.set(self.now + self.late_after(endpoint), Timer::Dial(key));
        Ok(key)
    }

    pub(super) fn came_up(&mut self, conn: &mut ShelfConn) {
        let took = self.now.saturating_duration_since(conn.since);
        conn.used = self.now;
        let line = self.shelfs.entry(conn.endpoint).or_default();
        line.quickest = Some(line.quickest.map_or(took, |q| q.min(took)));
    }

    /// A connection is late, if it is not up by now: what waits for it goes by another one, or has waited long enough.
    pub(in super::super) fn dial_late(&mut self, key: Key) {
        let waits = matches!(self.seen(key), Some(Role::Shelf(c)) if !c.up && !c.queue.is_empty());
        let Some(Role::Shelf(mut conn)) = (if waits { self.take(key) } else { None }) else { return };
        let (now, patience) = (self.now, self.patience());
        let (mut kept, mut moved) = (VecDeque::new(), Vec::new());
        for message in std::mem::take(&mut conn.queue) {
            let overdue = now >= message.decided + patience;
            let attempt = message.waiting().map(|e| e.id);
            let id = attempt.and_then(|a| conn.open.iter().find(|(_, s)| s.is(a)).map(|(id, _)| id.clone()));
            let other = id.as_ref().filter(|_| !overdue).map(|id| self.prompt(conn.endpoint, conn.addr, id));
            match (attempt, other.and_then(Result::ok), id) {
                (Some(attempt), Some(other), Some(id)) => {
                    let sent = conn.open.remove(&id);
                    if let (Some(Role::Shelf(c)), Some(sent)) = (self.role(other), sent) {
                        c.open.insert(id, sent);
                        c.queue.push_back(message);
                        self.attempts.insert(attempt, other);
                        moved.push(other);
                    }
                }
                (Some(attempt), None, _) if overdue => {
                    conn.open.retain(|_, s| !s.is(attempt));
                    self.attempts.remove(&attempt);
                    self.inbox.push_back(Input::Failed(attempt, AttemptFailure::ConnectTimeout));
                }
                // A probe: nothing else can carry it sooner, and nobody waits for it.
                (None, _, _) if overdue => {
                    let probes = conn.open.extract_if(|_, s| matches!(s, Sent::Probe)).count();
                    (0..probes).for_each(|_| self.inbox.push_back(Input::Probed(conn.endpoint, None)));
                }
                _ => kept.push_back(message),
            }
        }
        if let Some(first) = kept.front() {
            let next = (now + self.late_after(conn.endpoint))
                .min(first.decided + patience)
                .max(now + Duration::from_millis(1));
            self.wheel.set(next, Timer::Dial(key));
        }
        conn.queue = kept;
        self.put_back(key, Role::Shelf(conn), Fate::Keep);
        moved.into_iter().for_each(|key| self.write_shelf(key));
    }
}
