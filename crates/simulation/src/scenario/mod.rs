//! A day of the laboratory: a fleet, the load on it, and what goes wrong, as a JSON5 document.
//!
//! Rates of links are given in *flows*: how many transfers at a client's full pace fit on a link. Sizes are in
//! bytes at that pace, which is small so that hundreds of transfers a second cost a test machine little.

use hollymux_config_file::{Check, Faults};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A fleet, its load and its faults.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// How long load is offered.
    pub seconds: f64,
    /// The first so many seconds fill the caches and are not counted. Default: 5.
    #[serde(default = "warm")]
    pub warm_s: f64,
    /// Bytes a second of one transfer to a client. Default: 20000.
    #[serde(default = "flow")]
    pub flow_bytes_per_s: f64,
    /// First tries a second over all offices. Default: 130.
    #[serde(default = "rate")]
    pub rate_per_s: f64,
    /// How strongly arrivals come in bursts: 0 as a Poisson process; 0.3 has the rate wander by about 30%. Default: 0.
    #[serde(default)]
    pub burst: f64,
    /// Which objects there are: days of one catalogue ask for the same ones, whatever their seed. Default: 1.
    #[serde(default = "catalogue")]
    pub catalogue: u64,
    /// Purges a second, of objects that are asked for. Default: 0.
    #[serde(default)]
    pub purges_per_s: f64,
    /// How long news of boxes takes to reach routers. Default: 1000.
    #[serde(default = "news")]
    pub roster_lag_ms: f64,
    /// The offices.
    pub offices: Vec<Site>,
    /// The hubs, each one cache.
    pub hubs: Vec<ParentCache>,
    /// The central library.
    #[serde(default)]
    pub library: Origin,
    /// The classes of requests. Default: videos, pages and filings as at the association.
    #[serde(default = "classes")]
    pub classes: Vec<Class>,
    /// Routers know each other. Default: they do not.
    #[serde(default)]
    pub fleet: bool,
    /// What cold servers bear is shared by parts on lease; only where routers know each other. Default: evenly.
    #[serde(default)]
    pub limits: bool,
    /// The first router of each office, and every fourth after it, is asked so many times as often as the others.
    /// Default: 1.
    #[serde(default = "unit")]
    pub uneven: f64,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// An office: boxes, routers and a link in.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// The hub that it hangs on.
    pub hub: String,
    /// How many boxes. Default: 4.
    #[serde(default = "four")]
    pub boxes: usize,
    /// How many routers. Default: 1.
    #[serde(default = "one")]
    pub routers: usize,
    /// Its part of the load, against those of the other offices. Default: its number of boxes.
    #[serde(default)]
    pub part: Option<f64>,
    /// The link that all fills from outside share, in flows.
    pub link_in_flows: f64,
    /// Each box: cores. Default: 5.
    #[serde(default = "five")]
    pub cores: f64,
    /// Each box: its link out, in flows. Default: 8.
    #[serde(default = "eight")]
    pub link_flows: f64,
    /// Each box: what it keeps, in bytes. Default: 4000000.
    #[serde(default = "keeps")]
    pub keep_bytes: u64,
    /// Objects that only this office asks for, as a part of what it asks for. Default: that of each class.
    #[serde(default)]
    pub local: Option<f64>,
}

/// A hub cache.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ParentCache {
    /// Its name, and that of its zone.
    pub name: String,
    /// Its link out, in flows.
    pub link_flows: f64,
    /// What it keeps, in bytes. Default: 20000000.
    #[serde(default = "hub_keeps")]
    pub keep_bytes: u64,
    /// Fetches from the library that it has out at most. Default: 64.
    #[serde(default = "fetches")]
    pub fetches: usize,
}

/// The central library.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Origin {
    /// Its link out, in flows. Default: 40.
    pub link_flows: f64,
    /// Calls it works on at a time. Default: 16.
    pub workers: usize,
    /// Its work for one call, on average. Default: 40.
    pub service_ms: f64,
    /// Calls a second above which it turns away; 0: never. Default: 300.
    pub turn_away_per_s: f64,
}

impl Default for Origin {
    fn default() -> Self {
        Origin { link_flows: 40.0, workers: 16, service_ms: 40.0, turn_away_per_s: 300.0 }
    }
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of first tries, against the other classes.
    pub part: f64,
    /// Bytes of a part of an object, on average.
    pub bytes: f64,
    /// How widely they vary: sigma of a log-normal distribution. Default: 0.5.
    #[serde(default = "half")]
    pub sigma: f64,
    /// Parts of an object, asked for one after another. Default: 1.
    #[serde(default = "one")]
    pub parts: usize,
    /// The time from one part to the next. Default: 600.
    #[serde(default = "gap")]
    pub gap_ms: f64,
    /// Objects that all offices ask for. Default: 400.
    #[serde(default = "objects")]
    pub objects: u64,
    /// How uneven their popularity is: the exponent of a Zipf distribution. Default: 1.
    #[serde(default = "unit")]
    pub zipf: f64,
    /// The part that goes to objects of one office alone. Default: 0.15.
    #[serde(default = "local")]
    pub local: f64,
    /// The part that goes to objects asked for once only. Default: 0.03.
    #[serde(default = "once")]
    pub once: f64,
    /// It runs at the library, is not kept, and must never run twice. Default: false.
    #[serde(default)]
    pub write: bool,
    /// How long a copy is fresh, and how much longer it may be served; 0: until purged. Default: 0.
    #[serde(default)]
    pub fresh_s: f64,
    /// See `fresh_s`. Default: 0.
    #[serde(default)]
    pub grace_s: f64,
    /// Worth of a request. Default: 1.
    #[serde(default = "unit")]
    pub worth: f64,
    /// Wanted within this...
    pub aim_ms: f64,
    /// ...plus this many times its own sending time. Default: 1.6.
    #[serde(default = "stretch")]
    pub aim_stretch: f64,
    /// Given up after this.
    pub deadline_ms: f64,
    /// Part of the worth that a late answer earns. Default: 0.15.
    #[serde(default = "local")]
    pub late_worth: f64,
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins.
    pub at_s: f64,
    /// How long it lasts. Default: until the end.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// What it is.
    pub what: FaultKind,
}

/// What can go wrong.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// A box, hub or the library dies, and comes back cold and empty.
    Crash {
        /// Its name: `OFFICE-N`, a hub's name, or `library`.
        who: String,
    },
    /// A box dies and another one comes up at its address, under a new id.
    Replace {
        /// The box.
        who: String,
    },
    /// A box drains, and is gone at the end.
    Drain {
        /// The box.
        who: String,
    },
    /// A server's link has so much of its rate.
    Slow {
        /// The server.
        who: String,
        /// What is left of its rate.
        part: f64,
    },
    /// A server is cut off: connections stay open and silent.
    Cut {
        /// The server.
        who: String,
    },
    /// News of boxes takes so much longer.
    Late {
        /// In milliseconds.
        by_ms: f64,
    },
    /// A part of the requests of all classes that can be kept goes to so many new objects.
    Crowd {
        /// The part.
        part: f64,
        /// New objects.
        objects: u64,
    },
    /// A part of one class's requests is for new objects of many times the usual size.
    Large {
        /// The class.
        class: String,
        /// The part.
        part: f64,
        /// How many times the usual size.
        times: f64,
    },
    /// All arrivals come this many times as often.
    Surge {
        /// How many times.
        times: f64,
    },
    /// Routers are cut off from all other routers, both ways; clients and servers reach them as before.
    Part {
        /// Their numbers among all routers, office by office, from 1.
        routers: Vec<usize>,
    },
    /// What goes from some routers to others is cut, lost, doubled, damaged or late.
    Link {
        /// Numbers of the senders, from 1.
        from: Vec<usize>,
        /// Numbers of the receivers.
        to: Vec<usize>,
        /// Nothing gets through. Default: false.
        #[serde(default)]
        cut: bool,
        /// The part that is lost. Default: 0.
        #[serde(default)]
        loss: f64,
        /// The part that comes twice. Default: 0.
        #[serde(default)]
        twice: f64,
        /// The part that comes with a bit flipped. Default: 0.
        #[serde(default)]
        flipped: f64,
        /// How much later each comes. Default: 0.
        #[serde(default)]
        late_ms: f64,
        /// Up to so much more, which has them overtake each other. Default: 0.
        #[serde(default)]
        jitter_ms: f64,
    },
    /// Routers are killed, and started anew at the end.
    Kill {
        /// Their numbers, from 1.
        routers: Vec<usize>,
    },
    /// Routers stand still, and go on at the end.
    Pause {
        /// Their numbers, from 1.
        routers: Vec<usize>,
    },
}

fn catalogue() -> u64 {
    1
}
fn warm() -> f64 {
    5.0
}
fn flow() -> f64 {
    20_000.0
}
fn rate() -> f64 {
    130.0
}
fn news() -> f64 {
    1_000.0
}
fn four() -> usize {
    4
}
fn one() -> usize {
    1
}
fn five() -> f64 {
    5.0
}
fn eight() -> f64 {
    8.0
}
fn keeps() -> u64 {
    4_000_000
}
fn hub_keeps() -> u64 {
    20_000_000
}
fn fetches() -> usize {
    64
}
fn half() -> f64 {
    0.5
}
fn gap() -> f64 {
    600.0
}
fn objects() -> u64 {
    400
}
fn unit() -> f64 {
    1.0
}
fn local() -> f64 {
    0.15
}
fn once() -> f64 {
    0.03
}
fn stretch() -> f64 {
    1.6
}

/// The association's three classes.
pub fn classes() -> Vec<Class> {
    let class = |name: &str, part, bytes, aim_ms, deadline_ms, worth| Class {
        name: name.to_string(),
        part,
        bytes,
        sigma: half(),
        parts: 1,
        gap_ms: gap(),
        objects: objects(),
        zipf: unit(),
        local: local(),
        once: once(),
        write: false,
        fresh_s: 0.0,
        grace_s: 0.0,
        worth,
        aim_ms,
        aim_stretch: stretch(),
        deadline_ms,
        late_worth: local(),
    };
    let video = class("training-video", 0.55, 8_000.0, 600.0, 5_000.0, 2.0);
    let pages = class("docs-pages", 0.42, 1_400.0, 250.0, 2_500.0, 1.0);
    let filing = class("cert-filing", 0.03, 200.0, 800.0, 3_000.0, 3.0);
    vec![
        Class { parts: 12, objects: 120, ..video },
        Class { aim_stretch: 2.0, late_worth: 0.2, fresh_s: 8.0, grace_s: 30.0, objects: 1_000, ..pages },
        Class { write: true, aim_stretch: 0.0, late_worth: 0.0, ..filing },
    ]
}

impl Scenario {
    /// The names of an office's boxes.
    pub fn boxes(&self, office: usize) -> impl Iterator<Item = String> + '_ {
        (1..=self.offices[office].boxes).map(move |n| format!("{}-{n}", self.offices[office].name))
    }

    /// The number of an office's router among all.
    pub fn router(&self, office: usize, number: usize) -> usize {
        self.offices[..office].iter().map(|o| o.routers).sum::<usize>() + number
    }

    /// The faults that hold so many seconds after the start.
    pub fn faults_at(&self, seconds: f64) -> impl Iterator<Item = &FaultKind> {
        let holds = move |f: &&Fault| seconds >= f.at_s && f.for_s.is_none_or(|s| seconds < f.at_s + s);
        self.faults.iter().filter(holds).map(|f| &f.what)
    }

    /// How many routers there are.
    pub fn routers(&self) -> usize {
        self.offices.iter().map(|o| o.routers).sum()
    }

    /// An office's part of the load.
    pub fn part(&self, office: usize) -> f64 {
        let part = |o: &Site| o.part.unwrap_or(o.boxes as f64);
        part(&self.offices[office]) / self.offices.iter().map(part).sum::<f64>().max(f64::MIN_POSITIVE)
    }
}

impl Check for Scenario {
    fn check(&self, faults: &mut Faults) {
        let positive = |v: f64| v.is_finite() && v > 0.0;
        let share = |v: f64| (0.0..=1.0).contains(&v);
        faults.unless(
            self.seconds > 0.0 && self.seconds <= 3_600.0,
            "seconds",
            "must lie between 0 and 3600",
        );
        let warm = self.warm_s >= 0.0 && self.warm_s < self.seconds;
        faults.unless(warm, "warm_s", "must be less than seconds");
        faults.unless(positive(self.flow_bytes_per_s), "flow_bytes_per_s", "must be above 0");
        let rate = positive(self.rate_per_s) && self.rate_per_s <= 20_000.0;
        faults.unless(rate, "rate_per_s", "must lie between 0 and 20000");
        faults.unless((0.0..=1.0).contains(&self.burst), "burst", "must lie between 0 and 1");
        faults.unless(
            (0.0..=100.0).contains(&self.purges_per_s),
            "purges_per_s",
            "must lie between 0 and 100",
        );
        faults.unless(self.fleet || !self.limits, "limits", "needs fleet");
        faults.unless((1.0..=100.0).contains(&self.uneven), "uneven", "must lie between 1 and 100");
        let lag = (0.0..=60_000.0).contains(&self.roster_lag_ms);
        faults.unless(lag, "roster_lag_ms", "must lie between 0 and 60000");
        faults.unless(!self.offices.is_empty(), "offices", "there is none");
        faults.unless(!self.hubs.is_empty(), "hubs", "there is none");
        let mut names: BTreeSet<&str> = ["library"].into();
        for (i, h) in self.hubs.iter().enumerate() {
            faults.unless(names.insert(&h.name), format!("hubs[{i}].name"), "stands twice");
            faults.unless(positive(h.link_flows), format!("hubs[{i}].link_flows"), "must be above 0");
        }
        for (i, o) in self.offices.iter().enumerate() {
            let at = |field: &str| format!("offices[{i}].{field}");
            faults.unless(names.insert(&o.name), at("name"), "stands twice");
            let hub = self.hubs.iter().any(|h| h.name == o.hub);
            faults.unless(hub, at("hub"), "is no hub of this day");
            faults.unless((1..=200).contains(&o.boxes), at("boxes"), "must lie between 1 and 200");
            faults.unless((1..=50).contains(&o.routers), at("routers"), "must lie between 1 and 50");
            faults.unless(positive(o.link_in_flows), at("link_in_flows"), "must be above 0");
            faults.unless(positive(o.cores), at("cores"), "must be above 0");
            faults.unless(positive(o.link_flows), at("link_flows"), "must be above 0");
            faults.unless(o.local.is_none_or(share), at("local"), "must lie between 0 and 1");
        }
        for (i, c) in self.classes.iter().enumerate() {
            let at = |field: &str| format!("classes[{i}].{field}");
            faults.unless(positive(c.part), at("part"), "must be above 0");
            faults.unless((1.0..=100_000.0).contains(&c.bytes), at("bytes"), "must lie between 1 and 100000");
            faults.unless((0.0..=3.0).contains(&c.sigma), at("sigma"), "must lie between 0 and 3");
            faults.unless((1..=1_000).contains(&c.parts), at("parts"), "must lie between 1 and 1000");
            faults.unless(c.objects > 0, at("objects"), "must be above 0");
            faults.unless((0.0..=5.0).contains(&c.zipf), at("zipf"), "must lie between 0 and 5");
            let rest = share(c.local) && share(c.once) && c.local + c.once <= 1.0;
            faults.unless(rest, at("local"), "local and once are parts of one whole");
            faults.unless(positive(c.aim_ms), at("aim_ms"), "must be above 0");
            faults.unless(c.deadline_ms >= c.aim_ms, at("deadline_ms"), "must not be less than aim_ms");
        }
        let boxes: BTreeSet<String> = (0..self.offices.len()).flat_map(|o| self.boxes(o)).collect();
        for (i, f) in self.faults.iter().enumerate() {
            let at = |field: &str| format!("faults[{i}].{field}");
            faults.unless(f.at_s >= 0.0, at("at_s"), "must not be below 0");
            faults.unless(f.for_s.is_none_or(|s| s > 0.0), at("for_s"), "must be above 0");
            let known =
                |who: &String| boxes.contains(who) || names.contains(who.as_str()) && self.server(who);
            match &f.what {
                FaultKind::Replace { who } | FaultKind::Drain { who } => {
                    faults.unless(boxes.contains(who), at("who"), "is no box of this day");
                }
                FaultKind::Crash { who } | FaultKind::Cut { who } | FaultKind::Slow { who, .. } => {
                    faults.unless(known(who), at("who"), "is no server of this day");
                }
                FaultKind::Late { by_ms } => faults.unless(*by_ms >= 0.0, at("by_ms"), "must not be below 0"),
                FaultKind::Crowd { part, objects } => {
                    faults.unless(
                        share(*part) && *objects > 0,
                        at("part"),
                        "a part of 0 to 1, of 1 object or more",
                    );
                }
                FaultKind::Large { class, part, times } => {
                    let known = self.classes.iter().any(|c| c.name == *class && !c.write);
                    faults.unless(known, at("class"), "is no class of this day that is kept");
                    let fits = share(*part) && (1.0..=50.0).contains(times);
                    faults.unless(fits, at("part"), "a part of 0 to 1, of 1 to 50 times the size");
                }
                FaultKind::Surge { times } => faults.unless(positive(*times), at("times"), "must be above 0"),
                FaultKind::Part { routers } | FaultKind::Kill { routers } | FaultKind::Pause { routers } => {
                    faults.unless(self.are_routers(routers), at("routers"), "are no routers of this day");
                }
                FaultKind::Link { from, to, loss, twice, flipped, late_ms, jitter_ms, .. } => {
                    let known = self.are_routers(from) && self.are_routers(to);
                    faults.unless(known, at("from"), "from and to are no routers of this day");
                    let parts = [*loss, *twice, *flipped].into_iter().all(share);
                    faults.unless(parts, at("loss"), "loss, twice and flipped are parts of 0 to 1");
                    let late = [*late_ms, *jitter_ms].iter().all(|v| (0.0..=60_000.0).contains(v));
                    faults.unless(late, at("late_ms"), "late_ms and jitter_ms lie between 0 and 60000");
                }
            }
        }
    }
}

impl Scenario {
    fn are_routers(&self, numbers: &[usize]) -> bool {
        !numbers.is_empty() && numbers.iter().all(|n| (1..=self.routers()).contains(n))
    }

    fn server(&self, name: &str) -> bool {
        name == "library" || self.hubs.iter().any(|h| h.name == name)
    }
}
