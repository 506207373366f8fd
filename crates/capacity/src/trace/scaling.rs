//! Scaling of a load in units of sessions.
//!
//! An added session is a copy of a recorded session, but of another object: an object that was
//! viewed r times is replaced by one that was viewed r - 1 times, and one that was viewed once by
//! an object that was not requested before (the Good-Turing estimate). This keeps objects that were
//! requested once from becoming popular by repetition.

use super::{Chunk, ChunkAddress, ChunkId, Trace, TraceRequest};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};

/// Maximum shift in time of an added session from the session that it copies, earlier or later, in
/// microseconds.
const MAX_SHIFT_US: u64 = 15_000_000;
/// Maximum difference from 1 of a factor that leaves the load unchanged.
const UNSCALED_TOLERANCE: f64 = 1e-9;

/// Number of sessions of an object, and whether only one site viewed it.
#[derive(Clone, Copy, Debug)]
struct Popularity {
    sessions: u32,
    only_site: Option<u16>,
    class: u8,
}

/// The properties that objects must share to replace each other in added sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PopularityKey {
    class: u8,
    only_site: Option<u16>,
    sessions: u32,
}

/// The sessions of a load, and their objects grouped by popularity.
struct SessionCatalogue {
    /// Requests of each session, as indices of the trace's requests.
    sessions: Vec<Vec<u32>>,
    popularity: BTreeMap<u64, Popularity>,
    /// Objects by class and number of sessions. Objects that only one site viewed are also listed
    /// under that site.
    objects: HashMap<PopularityKey, Vec<u64>>,
}

/// State of a scaling run: the recorded load, and the scaled load built so far.
struct LoadScaler<'a> {
    recorded: &'a Trace,
    scaled: Trace,
    chunk_ids: HashMap<ChunkAddress, ChunkId>,
    next_session: u32,
    max_shift_us: u64,
    rng: Pcg64Mcg,
}

impl Trace {
    /// Returns the load scaled by `factor`: sessions are left out at random, or copies of them are
    /// added to the recorded ones. The result depends only on the trace, `factor` and `seed`.
    pub fn scaled(&self, factor: f64, seed: u64) -> Trace {
        if (factor - 1.0).abs() < UNSCALED_TOLERANCE {
            return self.clone();
        }
        let catalogue = SessionCatalogue::new(self);
        let mut scaler = LoadScaler::new(self, catalogue.sessions.len() as u32, seed);
        for session in catalogue.sessions.iter().filter(|session| !session.is_empty()) {
            scaler.add_copies(session, factor, &catalogue);
        }
        scaler.scaled.requests.sort_by_key(|request| request.arrived_us);
        scaler.scaled
    }
}

impl SessionCatalogue {
    fn new(trace: &Trace) -> SessionCatalogue {
        let session_of = |request: &TraceRequest| request.session as usize;
        let session_count =
            trace.requests.iter().map(|request| session_of(request) + 1).max().unwrap_or(0);
        let mut sessions: Vec<Vec<u32>> = vec![Vec::new(); session_count];
        let mut popularity: BTreeMap<u64, Popularity> = BTreeMap::new();
        for (index, request) in trace.requests.iter().enumerate() {
            let session = &mut sessions[session_of(request)];
            if session.is_empty() {
                count_session(&mut popularity, trace.chunk_of(request), request.site);
            }
            session.push(index as u32);
        }
        let objects = objects_by_popularity(&popularity);
        SessionCatalogue { sessions, popularity, objects }
    }

    /// Returns the object that replaces `object` in an added session.
    fn replacement_object(&self, object: u64, rng: &mut Pcg64Mcg) -> u64 {
        let Some(popularity) = self.popularity.get(&object) else { return rng.random() };
        if popularity.sessions == 1 {
            return rng.random();
        }
        let less_popular = self.objects.get(&PopularityKey {
            class: popularity.class,
            only_site: popularity.only_site,
            sessions: popularity.sessions - 1,
        });
        less_popular.map_or(object, |objects| objects[rng.random_range(0..objects.len())])
    }
}

impl<'a> LoadScaler<'a> {
    fn new(recorded: &'a Trace, next_session: u32, seed: u64) -> LoadScaler<'a> {
        let mut scaled = recorded.clone();
        scaled.requests.clear();
        let numbered_chunks = (0..).zip(&recorded.chunks);
        LoadScaler {
            recorded,
            scaled,
            chunk_ids: numbered_chunks
                .map(|(index, chunk)| (chunk.address(), ChunkId(index)))
                .collect(),
            next_session,
            max_shift_us: MAX_SHIFT_US.min(recorded.duration_us / 4),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Adds a session to the scaled load as many times as the integer part of the factor, and once
    /// more with a probability of its fractional part. The first one is the recorded session, the
    /// others are shifted copies.
    fn add_copies(&mut self, session: &[u32], factor: f64, catalogue: &SessionCatalogue) {
        let adds_fractional_copy = self.rng.random::<f64>() < factor.fract();
        let copies = factor.floor() as usize + usize::from(adds_fractional_copy);
        if copies == 0 {
            return;
        }
        let recorded = self.recorded;
        let requests = session.iter().map(|index| recorded.requests[*index as usize]);
        self.scaled.requests.extend(requests);
        let first = &recorded.requests[session[0] as usize];
        let object = recorded.chunk_of(first).object;
        for _ in 1..copies {
            let shift_us = self.rng.random_range(0..=2 * self.max_shift_us);
            let replacement_object = catalogue.replacement_object(object, &mut self.rng);
            self.add_shifted(session, shift_us, replacement_object);
        }
    }

    /// Adds a copy of a session at another time and of another object. `shift_us` is counted from
    /// `max_shift_us` before the recorded time; times wrap around at the ends of the load.
    fn add_shifted(&mut self, session: &[u32], shift_us: u64, object: u64) {
        let duration_us = self.recorded.duration_us;
        for index in session {
            let request = self.recorded.requests[*index as usize];
            let shifted_us = request.arrived_us + duration_us + shift_us - self.max_shift_us;
            let chunk = self.chunk_like(request.chunk, object);
            self.scaled.requests.push(TraceRequest {
                arrived_us: shifted_us % duration_us,
                chunk,
                session: self.next_session,
                latency_us: None,
                ..request
            });
        }
        self.next_session += 1;
    }

    /// Returns the chunk of `object` that corresponds to another object's chunk: one with the same
    /// position, group, class and size. It is added if the load does not have it yet.
    fn chunk_like(&mut self, chunk: ChunkId, object: u64) -> ChunkId {
        let copy = Chunk { object, ..*self.recorded.chunk(chunk) };
        let chunks = &mut self.scaled.chunks;
        *self.chunk_ids.entry(copy.address()).or_insert_with(|| {
            chunks.push(copy);
            ChunkId(chunks.len() as u32 - 1)
        })
    }
}

fn count_session(popularity: &mut BTreeMap<u64, Popularity>, chunk: &Chunk, site: u16) {
    let entry = popularity.entry(chunk.object).or_insert(Popularity {
        sessions: 0,
        only_site: Some(site),
        class: chunk.class,
    });
    entry.sessions += 1;
    entry.only_site = entry.only_site.filter(|known| *known == site);
}

fn objects_by_popularity(
    popularity: &BTreeMap<u64, Popularity>,
) -> HashMap<PopularityKey, Vec<u64>> {
    let mut objects: HashMap<PopularityKey, Vec<u64>> = HashMap::new();
    for (object, entry) in popularity {
        let key = PopularityKey { class: entry.class, only_site: None, sessions: entry.sessions };
        objects.entry(key).or_default().push(*object);
        if entry.only_site.is_some() {
            let local_key = PopularityKey { only_site: entry.only_site, ..key };
            objects.entry(local_key).or_default().push(*object);
        }
    }
    objects
}
