//! Fills: transfers of a copy from a source server into the cache of another server.

use super::links::{LinkId, Transfer, TransferOwner};
use super::requests::{WorkItem, PARENT_RETENTION};
use super::{AttemptResult, ServerKind, ServerModel, ServerState, TimedEvent};
use crate::lru_cache::CopyInfo;
use crate::objects::ChunkKey;
use crate::{Time, MS};

/// Delay from an edge cache to the parent cache of its site.
const DELAY_TO_OWN_PARENT: Time = 6 * MS;
/// Delay between two edge caches of one site.
const DELAY_WITHIN_SITE: Time = MS;
/// Delay from any server to the origin.
const DELAY_TO_ORIGIN: Time = 10 * MS;
/// Delay between any other two servers.
const DELAY_TO_OTHERS: Time = 30 * MS;
/// A fill is given up if its first byte has not arrived within this time.
const FIRST_BYTE_TIMEOUT: Time = 2_500 * MS;

/// A fill that a server starts after a miss: what to fetch, from which server, and how to keep it.
#[derive(Clone, Copy, Debug)]
pub(super) struct FillRequest {
    pub to: usize,
    pub from: usize,
    pub key: ChunkKey,
    pub group: u32,
    pub class: usize,
    pub bytes: u64,
    /// The oldest acceptable copy, by the time at which the origin sent it.
    pub oldest: Time,
    /// The retention priority of the copy at the filled server; 0 does not cache it.
    pub retention: u8,
    /// Whether the source may answer from its cache only.
    pub only_if_cached: bool,
}

/// A fill that is not complete, with the requests that wait for it.
#[derive(Debug)]
pub(super) struct Fill {
    request: FillRequest,
    dated: Time,
    /// Whether the first byte has arrived.
    pub transfer_started: bool,
    /// The number of steps that must end before the fill is complete: its transfers and, if there
    /// is one, the upstream fill.
    steps_left: usize,
    transfers: Vec<Transfer>,
    pub waiting_requests: Vec<u64>,
    /// Ids of the fills of other servers that are fed by this one while it runs.
    pub dependent_fills: Vec<u64>,
    /// The id of the source's own fill that feeds this one; `None` if the source had a copy or is
    /// the origin.
    upstream: Option<u64>,
}

impl Fill {
    /// Whether a server is the target or the source of the fill.
    pub fn involves(&self, server: usize) -> bool {
        self.request.to == server || self.request.from == server
    }
}

impl ServerModel {
    /// The latest fill of a chunk at a server; `None` if no fill runs or if it may bring a copy
    /// that is older than `oldest`.
    pub(super) fn running_fill(&self, server: usize, key: ChunkKey, oldest: Time) -> Option<u64> {
        let running = self.running_fills.get(&(server, key)).copied()?;
        let fill = self.fills.get(&running)?;
        (fill.request.oldest >= oldest).then_some(running)
    }

    /// Starts a fill and returns its id; `None` if the server already runs as many fills as it may.
    pub(super) fn start_fill(&mut self, request: FillRequest) -> Option<u64> {
        let runtime = &mut self.runtimes[request.to];
        if runtime.fills >= runtime.max_fills {
            return None;
        }
        runtime.fills += 1;
        runtime.peak_fills = runtime.peak_fills.max(runtime.fills);
        let id = self.new_id();
        let fill = Fill {
            request,
            dated: 0,
            transfer_started: false,
            steps_left: 0,
            transfers: Vec::new(),
            waiting_requests: Vec::new(),
            dependent_fills: Vec::new(),
            upstream: None,
        };
        self.fills.insert(id, fill);
        self.running_fills.insert((request.to, request.key), id);
        let delay = self.fill_delay(request.to, request.from);
        self.schedule(self.now + delay, TimedEvent::FillArrives(id));
        self.schedule(self.now + FIRST_BYTE_TIMEOUT, TimedEvent::FillOverdue(id));
        Some(id)
    }

    fn fill_delay(&self, to: usize, from: usize) -> Time {
        match (self.servers[to].kind, self.servers[from].kind) {
            (ServerKind::EdgeCache(site), ServerKind::ParentCache(parent))
                if self.scenario.parent_caches[parent].name == self.scenario.sites[site].parent =>
            {
                DELAY_TO_OWN_PARENT
            }
            (ServerKind::EdgeCache(one), ServerKind::EdgeCache(other)) if one == other => DELAY_WITHIN_SITE,
            (_, ServerKind::Origin) => DELAY_TO_ORIGIN,
            _ => DELAY_TO_OTHERS,
        }
    }

    /// Processes the request for a fill at its source.
    pub(super) fn on_fill_arrives(&mut self, id: u64) {
        let Some(request) = self.fills.get(&id).map(|fill| fill.request) else { return };
        match self.servers[request.from].state {
            ServerState::Down => return self.end_fill(id, false),
            ServerState::Unreachable => return,
            ServerState::Up => {}
        }
        if self.servers[request.from].kind == ServerKind::Origin {
            return match self.origin_admits() {
                true => self.enqueue_work(request.from, WorkItem::ServeFill(id)),
                false => self.end_fill(id, false),
            };
        }
        self.add_warm_up_load(request.from, request.class);
        // The source has stopped if this very request overloaded it.
        if self.servers[request.from].state != ServerState::Up {
            return;
        }
        if let Some(dated) = self.runtimes[request.from].cache.find(request.key, request.oldest, 0) {
            return self.start_fill_transfer(id, dated, None);
        }
        if request.only_if_cached || !self.is_parent_cache(request.from) {
            return self.end_fill(id, false);
        }
        match self.fill_parent(&request) {
            Some(upstream) => self.feed_from(id, upstream),
            None => self.end_fill(id, false),
        }
    }

    /// Has a parent cache fill a chunk from the origin, or joins the fill that already runs there:
    /// the origin is asked once for all requests that wait.
    fn fill_parent(&mut self, request: &FillRequest) -> Option<u64> {
        let parent = request.from;
        if let Some(running) = self.running_fill(parent, request.key, request.oldest) {
            return Some(running);
        }
        let origin = self.origin();
        self.start_fill(FillRequest {
            to: parent,
            from: origin,
            retention: PARENT_RETENTION,
            only_if_cached: false,
            ..*request
        })
    }

    /// Makes one fill depend on another, which feeds it.
    fn feed_from(&mut self, id: u64, upstream: u64) {
        if let Some(fill) = self.fills.get_mut(&id) {
            fill.upstream = Some(upstream);
        }
        let Some(source) = self.fills.get_mut(&upstream) else { return };
        source.dependent_fills.push(id);
        if source.transfer_started {
            self.start_fill_transfer(id, 0, Some(upstream));
        }
    }

    pub(super) fn on_fill_overdue(&mut self, id: u64) {
        if self.fills.get(&id).is_some_and(|fill| !fill.transfer_started) {
            self.end_fill(id, false);
        }
    }

    /// Starts the transfers of a fill when its first byte arrives. `dated` is the date of the copy;
    /// a fill that is fed by another one gets the date when that one ends.
    pub(super) fn start_fill_transfer(&mut self, id: u64, dated: Time, upstream: Option<u64>) {
        let Some(fill) = self.fills.get_mut(&id) else { return };
        fill.transfer_started = true;
        fill.dated = dated;
        let request = fill.request;
        let links = self.fill_links(request.to, request.from);
        let owner = TransferOwner::Fill(id);
        let transfers: Vec<Transfer> =
            links.into_iter().map(|link| self.start_transfer(link, request.bytes, owner)).collect();
        let Some(fill) = self.fills.get_mut(&id) else { return };
        fill.steps_left = transfers.len() + usize::from(upstream.is_some());
        fill.transfers = transfers;
        let (requests, fills) = (fill.waiting_requests.clone(), fill.dependent_fills.clone());
        requests.into_iter().for_each(|request| self.pass_on_fill(request));
        fills.into_iter().for_each(|dependent| self.start_fill_transfer(dependent, 0, Some(id)));
    }

    /// The links that a fill occupies.
    fn fill_links(&self, to: usize, from: usize) -> Vec<LinkId> {
        let mut links = vec![LinkId::ServerOut(from)];
        if let ServerKind::EdgeCache(site) = self.servers[to].kind {
            if self.servers[from].kind != ServerKind::EdgeCache(site) {
                links.push(LinkId::SiteIn(site));
            }
        }
        links
    }

    /// Records the end of one of a fill's transfers or of its upstream fill, and completes the fill
    /// after the last of them.
    pub(super) fn on_fill_step(&mut self, id: u64) {
        let Some(fill) = self.fills.get_mut(&id) else { return };
        fill.steps_left -= 1;
        if fill.steps_left == 0 {
            self.end_fill(id, true);
        }
    }

    /// Ends a fill, complete or not, and continues or fails what depends on it.
    pub(super) fn end_fill(&mut self, id: u64, complete: bool) {
        let Some(fill) = self.fills.remove(&id) else { return };
        let FillRequest { to, key, .. } = fill.request;
        self.runtimes[to].fills -= 1;
        if self.running_fills.get(&(to, key)) == Some(&id) {
            self.running_fills.remove(&(to, key));
        }
        fill.transfers.iter().for_each(|transfer| self.cancel_transfer(*transfer));
        if let Some(upstream) = fill.upstream.and_then(|upstream| self.fills.get_mut(&upstream)) {
            upstream.dependent_fills.retain(|dependent| *dependent != id);
        }
        if complete {
            self.cache_filled(&fill);
        }
        for dependent in &fill.dependent_fills {
            self.end_dependent_fill(*dependent, complete, fill.dated);
        }
        for request in &fill.waiting_requests {
            self.end_wait_for_fill(*request, &fill, complete);
        }
    }

    /// Caches the filled copy, unless a purge covered it while it was transferred: a purged copy
    /// must not enter a cache again.
    fn cache_filled(&mut self, fill: &Fill) {
        let FillRequest { to, key, group, bytes, retention, .. } = fill.request;
        let purged = self.purges.iter().any(|purge| purge.covers(key.object, group, fill.dated));
        if retention > 0 && !purged {
            let copy = CopyInfo { bytes, retention, dated: fill.dated, group };
            self.runtimes[to].cache.insert(key, copy);
        }
    }

    fn end_dependent_fill(&mut self, id: u64, complete: bool, dated: Time) {
        match self.fills.get_mut(&id).filter(|_| complete) {
            Some(dependent) => {
                dependent.dated = dated;
                self.on_fill_step(id);
            }
            None => self.end_fill(id, false),
        }
    }

    fn end_wait_for_fill(&mut self, id: u64, fill: &Fill, complete: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.fill = None;
        if complete {
            request.dated = fill.dated;
            return self.on_request_step(id);
        }
        // An answer that was begun and can't be finished is an error; before the first byte, the
        // request was not processed.
        let result = match (fill.transfer_started, fill.request.only_if_cached) {
            (true, _) => AttemptResult::Failed,
            (false, true) => AttemptResult::Miss,
            (false, false) => AttemptResult::AtCapacity,
        };
        self.answer(id, result);
    }
}
