//! Recorded load as a plan uses it: first tries by office, with the sizes of what they ask for; scaled, and with or
//! without unusually large objects.
//!
//! A recording is scaled by *viewings*: all requests of one office for one object that follow each other closely. A
//! viewing that is added copies one there is, but for its object: where that was viewed r times, it is one viewed r - 1
//! times, and where it was viewed once, one that nobody knew (Good and Turing's estimate of how often what was seen r
//! times comes again). So what was asked for once doesn't become popular by multiplying.

use crate::PlanError;
use hollymux_record::{ClassHead, End, Recording, Row};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};

/// Requests of an office for an object belong to one viewing up to this gap, in microseconds.
const VIEWING: u64 = 5_000_000;
/// What comes for the same part this soon after an answer that served nobody is a further try.
const AGAIN: u64 = 2_500_000;
/// A viewing that is added comes up to so much earlier or later than the one it copies.
const SHIFT: u64 = 15_000_000;
/// An object is unusually large from so many times its class's median on; from fewer where three of its parts or more
/// say so: of a large object only the smaller parts come in time, so that its mean looks less than it is.
const LARGE: f64 = 6.0;
const LARGE_BY_PARTS: (f64, f64) = (3.0, 3.5);
/// An object that never came, though others of its class did, is held to be too large to come: if so many waits in
/// vain are less likely than this by chance. What was waited for is its least size.
const CHANCE: f64 = 0.02;
/// A wait counts if it took this part of the client's whole time.
const WAITED: f64 = 0.5;
/// Parts that never came are larger than those of the object that did, and than what their longest wait could have
/// brought, by about this.
const UNSERVED: f64 = 1.3;
/// Objects of a class that must be known before any of them is called unusual.
const USUAL: usize = 20;

/// A part of an object.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Key {
    /// The object.
    pub object: u64,
    /// The part.
    pub part: u32,
    /// The group.
    pub group: u8,
    /// The class.
    pub class: u8,
    /// Its size in bytes: as served, or the class's median where it never was.
    pub bytes: f32,
    /// The object is unusually large.
    pub large: bool,
}

/// A first try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// When, in microseconds from the start.
    pub at: u64,
    /// What, by place in [`Trace::keys`].
    pub key: u32,
    /// The office, by place in [`Trace::offices`].
    pub office: u16,
    /// The router.
    pub router: u16,
    /// The viewing it belongs to.
    pub viewing: u32,
    /// How long the client waits, in microseconds.
    pub budget: u32,
    /// How long the recorded answer took; 0: not served.
    pub took: u32,
}

/// Something that was purged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Purge {
    /// When, in microseconds from the start.
    pub at: u64,
    /// The object; none: the group.
    pub object: Option<u64>,
    /// The group.
    pub group: u8,
}

/// What was purged up to now, as a load is gone through.
#[derive(Debug)]
pub struct Purged {
    next: usize,
    objects: HashMap<u64, u64>,
    groups: [u64; 256],
}

impl Default for Purged {
    fn default() -> Self {
        Purged { next: 0, objects: HashMap::new(), groups: [0; 256] }
    }
}

impl Purged {
    /// Takes in the purges up to now; those of one load, in order.
    pub fn turn(&mut self, purges: &[Purge], now: u64) {
        while let Some(p) = purges.get(self.next).filter(|p| p.at <= now) {
            match p.object {
                Some(o) => {
                    self.objects.insert(o, p.at);
                }
                None => self.groups[usize::from(p.group)] = p.at,
            }
            self.next += 1;
        }
    }

    /// A copy of a part that was made before this will not do: it was purged since, or is no longer fresh.
    pub fn since(&self, now: u64, key: &Key, class: &ClassHead) -> u64 {
        let purged =
            self.objects.get(&key.object).copied().unwrap_or(0).max(self.groups[usize::from(key.group)]);
        // What was there when the load began is held to have been made then.
        let old = if class.fresh > 0 { (now + 1).saturating_sub(class.fresh) } else { 0 };
        purged.max(old)
    }
}

/// A member as the list gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its name.
    pub uid: String,
    /// Its zone.
    pub zone: String,
    /// It is a hub.
    pub hub: bool,
    /// Its size in flows.
    pub weight: f64,
}

/// Recorded load.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// First tries, in order.
    pub asks: Vec<Ask>,
    /// What they ask for.
    pub keys: Vec<Key>,
    /// Purges, in order.
    pub purges: Vec<Purge>,
    /// How long it lasts, in microseconds.
    pub span: u64,
    /// The classes.
    pub classes: Vec<ClassHead>,
    /// Names of offices.
    pub offices: Vec<String>,
    /// Routers.
    pub routers: usize,
    /// Bytes a second of a transfer to a client.
    pub flow: f64,
    /// Boxes and hubs, as listed last.
    pub listed: Vec<Listed>,
    /// The part of recorded requests that were further tries of clients.
    pub again: f64,
}

/// How often an object was viewed, and by which office alone.
#[derive(Clone, Copy, Debug)]
struct Viewed {
    times: u32,
    office: Option<u16>,
    class: u8,
}

fn served(row: &Row) -> bool {
    matches!(row.end, End::Served | End::Unchanged)
}

fn median(values: &mut [f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let mid = values.len() / 2;
    *values.select_nth_unstable_by(mid, f64::total_cmp).1
}

impl Trace {
    /// What a recording holds.
    ///
    /// # Errors
    /// It is empty, has no rate of a flow, or contradicts itself.
    pub fn new(r: &Recording) -> Result<Trace, PlanError> {
        let head = r.heads.first().ok_or(PlanError::Empty)?;
        let first = r.rows.first().ok_or(PlanError::Empty)?.arrived;
        if !(head.flow_bytes_per_s.is_finite() && head.flow_bytes_per_s > 0.0) {
            return Err(PlanError::Flow);
        }
        if r.heads.iter().any(|h| h.flow_bytes_per_s != head.flow_bytes_per_s) {
            return Err(PlanError::Contradiction("routers were told different rates of a flow".into()));
        }
        let mut offices: Vec<String> = r.heads.iter().map(|h| h.office.clone()).collect();
        offices.sort();
        offices.dedup();
        let office_of: Vec<u16> =
            r.heads.iter().map(|h| offices.iter().position(|o| *o == h.office).unwrap_or(0) as u16).collect();
        let mut t = Trace {
            classes: head.classes.clone(),
            offices,
            routers: r.heads.len(),
            flow: head.flow_bytes_per_s,
            ..Trace::default()
        };
        let mut index: HashMap<(u64, u32), u32> = HashMap::new();
        // By office and part: when it was last not served.
        let mut unserved: HashMap<(u16, u32), u64> = HashMap::new();
        let mut viewings: HashMap<(u16, u64), (u32, u64)> = HashMap::new();
        let (mut next, mut again) = (0u32, 0usize);
        // Waits in vain by part: how many, and the longest in microseconds.
        let mut waits: HashMap<u32, (u32, u32)> = HashMap::new();
        for row in &r.rows {
            if usize::from(row.class) >= t.classes.len() {
                return Err(PlanError::Contradiction(format!(
                    "a request of class {} of {}",
                    row.class,
                    t.classes.len()
                )));
            }
            let key = *index.entry((row.object, row.part)).or_insert_with(|| {
                let (object, part, group, class) = (row.object, row.part, row.group, row.class);
                t.keys.push(Key { object, part, group, class, bytes: 0.0, large: false });
                t.keys.len() as u32 - 1
            });
            if served(row) {
                let k = &mut t.keys[key as usize];
                k.bytes = k.bytes.max(row.bytes as f32);
            }
            if !served(row) && row.attempts > 0 && f64::from(row.took) > WAITED * f64::from(row.budget) {
                let w = waits.entry(key).or_default();
                *w = (w.0 + 1, w.1.max(row.took));
            }
            let office = office_of.get(usize::from(row.router)).copied().unwrap_or(0);
            let ended = row.arrived + u64::from(row.took);
            let last = unserved.remove(&(office, key));
            if !served(row) && row.end != End::Named {
                unserved.insert((office, key), ended);
            }
            if last.is_some_and(|l| row.arrived >= l && row.arrived < l + AGAIN) {
                again += 1;
                continue;
            }
            let viewing = viewings.entry((office, row.object)).or_insert((u32::MAX, 0));
            if viewing.0 == u32::MAX || row.arrived > viewing.1 + VIEWING {
                viewing.0 = next;
                next += 1;
            }
            viewing.1 = row.arrived;
            t.asks.push(Ask {
                at: row.arrived - first,
                key,
                office,
                router: row.router,
                viewing: viewing.0,
                budget: row.budget,
                took: if served(row) { row.took.max(1) } else { 0 },
            });
        }
        t.span = t.asks.last().map_or(0, |a| a.at) + 1;
        t.again = again as f64 / r.rows.len() as f64;
        t.size(&waits);
        t.list(r);
        t.purge(r, first);
        Ok(t)
    }

    /// Sizes of what was never served, and which objects are unusually large. `waits` are those in vain, by part.
    fn size(&mut self, waits: &HashMap<u32, (u32, u32)>) {
        for class in 0..self.classes.len() {
            let of = |k: &Key| usize::from(k.class) == class;
            let known = |k: &&Key| of(k) && k.bytes > 0.0;
            let mut sizes: Vec<f64> = self.keys.iter().filter(known).map(|k| f64::from(k.bytes)).collect();
            let usual = median(&mut sizes);
            // By object: bytes and parts that came, waits in vain and what the longest could have brought.
            let mut objects: BTreeMap<u64, (f64, f64, u32, f64)> = BTreeMap::new();
            let mut vain = 0.0;
            for (i, k) in self.keys.iter().enumerate().filter(|(_, k)| of(k)) {
                let o = objects.entry(k.object).or_default();
                if k.bytes > 0.0 {
                    (o.0, o.1) = (o.0 + f64::from(k.bytes), o.1 + 1.0);
                }
                if let Some((n, took)) = waits.get(&(i as u32)) {
                    (o.2, o.3) = (o.2 + n, o.3.max(f64::from(*took) / 1e6 * self.flow));
                    vain += f64::from(*n);
                }
            }
            let asked = self.asks.iter().filter(|a| of(&self.keys[a.key as usize])).count() as f64;
            let chance = (vain / asked.max(1.0)).clamp(0.0, 1.0);
            let mut means: Vec<f64> = objects.values().filter(|o| o.1 > 0.0).map(|o| o.0 / o.1).collect();
            let enough = means.len() >= USUAL;
            let middle = median(&mut means);
            for (i, k) in self.keys.iter_mut().enumerate().filter(|(_, k)| of(k)) {
                let o = objects.get(&k.object).copied().unwrap_or_default();
                let mean = if o.1 > 0.0 { o.0 / o.1 } else { 0.0 };
                let never = o.1 == 0.0 && o.3 > usual && chance.powi(o.2 as i32) < CHANCE;
                let by_parts = o.1 + f64::from(o.2) >= LARGE_BY_PARTS.0;
                let bound = if by_parts { LARGE_BY_PARTS.1 } else { LARGE };
                k.large = enough && (mean > bound * middle || never);
                if k.bytes <= 0.0 {
                    k.bytes = match (o.1 > 0.0, never) {
                        (true, _) if k.large => {
                            let waited =
                                waits.get(&(i as u32)).map_or(0.0, |w| f64::from(w.1) / 1e6 * self.flow);
                            (UNSERVED * mean.max(waited)) as f32
                        }
                        (true, _) => mean as f32,
                        (false, true) => (UNSERVED * o.3) as f32,
                        (false, false) => usual as f32,
                    };
                }
            }
        }
    }

    fn list(&mut self, r: &Recording) {
        let Some(head) = r.heads.first() else { return };
        let mut last: BTreeMap<&str, (Listed, u8, bool)> = BTreeMap::new();
        for (_, m) in &r.members {
            let zone = head.zones.get(usize::from(m.zone)).cloned().unwrap_or_default();
            let uid = r.member(m.name);
            let hub = Some(m.kind) == head.hub_kind;
            let library = Some(m.kind) == head.library_kind;
            let listed = Listed { uid: uid.to_string(), zone, hub, weight: m.weight };
            // A line that says less than the one before changes only the state.
            match last.get_mut(uid) {
                Some(old) if m.state == 2 => old.1 = 2,
                _ => {
                    last.insert(uid, (listed, m.state, library));
                }
            }
        }
        self.listed =
            last.into_values().filter(|(_, state, library)| *state != 2 && !library).map(|l| l.0).collect();
    }

    fn purge(&mut self, r: &Recording, first: u64) {
        let mut seen: HashMap<(Option<u64>, u32), u64> = HashMap::new();
        for (_, p) in &r.purges {
            // Every router is told of it, at about the same time.
            let known = seen.insert((p.object, p.group), p.at);
            if known.is_none_or(|at| p.at > at + 1_000_000) {
                let at = p.at.saturating_sub(first);
                self.purges.push(Purge { at, object: p.object, group: (p.group & 0xff) as u8 });
            }
        }
    }

    /// The sending time of a part, in seconds.
    pub fn sending(&self, key: u32) -> f64 {
        f64::from(self.keys[key as usize].bytes) / self.flow
    }

    /// How many microseconds a request may take to be in time.
    pub fn aim(&self, key: u32) -> f64 {
        let c = &self.classes[usize::from(self.keys[key as usize].class)];
        c.aim as f64 + c.aim_stretch * self.sending(key) * 1e6
    }

    /// First tries a second.
    pub fn rate(&self) -> f64 {
        self.asks.len() as f64 / (self.span as f64 / 1e6).max(1e-9)
    }

    /// The part of all bytes asked for that unusually large objects make up.
    pub fn large_part(&self) -> f64 {
        let bytes = |large: bool| -> f64 {
            let keys = self.asks.iter().map(|a| &self.keys[a.key as usize]);
            keys.filter(|k| k.large || !large).map(|k| f64::from(k.bytes)).sum()
        };
        let all = bytes(false);
        if all > 0.0 {
            bytes(true) / all
        } else {
            0.0
        }
    }

    /// The same load without unusually large objects.
    pub fn without_large(&self) -> Trace {
        let mut t = self.clone();
        t.asks.retain(|a| !self.keys[a.key as usize].large);
        t
    }

    /// The part of an office's bytes that goes to objects which nobody else asks for.
    pub fn local_part(&self, office: usize) -> f64 {
        let mut whose: HashMap<u64, (u16, bool)> = HashMap::new();
        for a in &self.asks {
            let e = whose.entry(self.keys[a.key as usize].object).or_insert((a.office, true));
            e.1 &= e.0 == a.office;
        }
        let (mut own, mut all) = (0.0, 0.0);
        for a in self.asks.iter().filter(|a| usize::from(a.office) == office) {
            let k = &self.keys[a.key as usize];
            all += f64::from(k.bytes);
            own += if whose.get(&k.object).is_some_and(|w| w.1) { f64::from(k.bytes) } else { 0.0 };
        }
        if all > 0.0 {
            own / all
        } else {
            0.0
        }
    }

    /// The load this many times as strong: viewings are left out, or added beside those there are.
    pub fn scaled(&self, times: f64, seed: u64) -> Trace {
        if (times - 1.0).abs() < 1e-9 {
            return self.clone();
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let viewings = self.asks.iter().map(|a| a.viewing as usize + 1).max().unwrap_or(0);
        let mut of: Vec<Vec<u32>> = vec![Vec::new(); viewings];
        let mut viewed: BTreeMap<u64, Viewed> = BTreeMap::new();
        for (i, a) in self.asks.iter().enumerate() {
            let all = &mut of[a.viewing as usize];
            if all.is_empty() {
                let k = &self.keys[a.key as usize];
                let v = viewed.entry(k.object).or_insert(Viewed {
                    times: 0,
                    office: Some(a.office),
                    class: k.class,
                });
                v.times += 1;
                v.office = v.office.filter(|o| *o == a.office);
            }
            all.push(i as u32);
        }
        // Objects by how often they were viewed, those of one office alone also by office.
        let mut alike: HashMap<(u8, Option<u16>, u32), Vec<u64>> = HashMap::new();
        for (object, v) in &viewed {
            alike.entry((v.class, None, v.times)).or_default().push(*object);
            if v.office.is_some() {
                alike.entry((v.class, v.office, v.times)).or_default().push(*object);
            }
        }
        let mut t = self.clone();
        t.asks.clear();
        let mut parts: HashMap<(u64, u32), u32> =
            (0..).zip(&self.keys).map(|(i, k)| ((k.object, k.part), i)).collect();
        let mut next = viewings as u32;
        let early = SHIFT.min(self.span / 4);
        for all in of.iter().filter(|all| !all.is_empty()) {
            let copies = times.floor() as usize + usize::from(rng.random::<f64>() < times.fract());
            let object = self.keys[self.asks[all[0] as usize].key as usize].object;
            let v = viewed.get(&object).copied().unwrap_or(Viewed { times: 1, office: None, class: 0 });
            for copy in 0..copies {
                if copy == 0 {
                    t.asks.extend(all.iter().map(|i| self.asks[*i as usize]));
                    continue;
                }
                let shift = rng.random_range(0..=2 * early);
                let fewer = alike.get(&(v.class, v.office, v.times - 1));
                let stands = match fewer {
                    _ if v.times == 1 => rng.random(),
                    Some(some) => some[rng.random_range(0..some.len())],
                    None => object,
                };
                for i in all {
                    let a = self.asks[*i as usize];
                    let old = self.keys[a.key as usize];
                    let key = *parts.entry((stands, old.part)).or_insert_with(|| {
                        t.keys.push(Key { object: stands, ..old });
                        t.keys.len() as u32 - 1
                    });
                    let at = (a.at + self.span + shift - early) % self.span;
                    t.asks.push(Ask { at, key, viewing: next, took: 0, ..a });
                }
                next += 1;
            }
        }
        t.asks.sort_by_key(|a| a.at);
        t
    }

    /// A part of it: the busiest stretch of about so many first tries, and what comes before it as a warm-up of
    /// a third of that. Returns when the warm-up ends, in microseconds.
    pub fn busiest(&self, most: usize) -> (Trace, u64) {
        if self.asks.len() <= most {
            return (self.clone(), 0);
        }
        let warm = most / 4;
        let body = most - warm;
        let span_of = |i: usize| self.asks[i + body - 1].at - self.asks[i].at;
        let from = (warm..=self.asks.len() - body).min_by_key(|i| span_of(*i)).unwrap_or(warm);
        let start = self.asks[from - warm].at;
        let mut t = self.clone();
        t.asks = self.asks[from - warm..from + body].iter().map(|a| Ask { at: a.at - start, ..*a }).collect();
        t.span = t.asks.last().map_or(0, |a| a.at) + 1;
        t.purges.retain(|p| p.at >= start && p.at < start + t.span);
        t.purges.iter_mut().for_each(|p| p.at -= start);
        (t, self.asks[from].at - start)
    }
}
