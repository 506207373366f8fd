//! What can go wrong in a scenario, and when.

use super::Scenario;
use crate::time::from_seconds;
use crate::Time;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

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
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// What can go wrong.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// A server crashes, and comes back with an empty cache and warming up.
    Crash {
        /// Its name: `SITE-N`, a parent cache's name, or `library`.
        #[serde(rename = "who")]
        server: String,
    },
    /// An edge cache crashes and another one comes up at its address, under a new id.
    Replace {
        /// The edge cache.
        #[serde(rename = "who")]
        server: String,
    },
    /// An edge cache drains, and is gone at the end.
    Drain {
        /// The edge cache.
        #[serde(rename = "who")]
        server: String,
    },
    /// A server's outgoing link has only a part of its rate.
    Slow {
        /// The server.
        #[serde(rename = "who")]
        server: String,
        /// The part that is left.
        #[serde(rename = "part")]
        rate_share: f64,
    },
    /// A server can't be reached: connections stay open and silent.
    #[serde(rename = "cut")]
    Unreachable {
        /// The server.
        #[serde(rename = "who")]
        server: String,
    },
    /// Changes of the endpoint list take so much longer.
    #[serde(rename = "late")]
    FeedDelay {
        /// In milliseconds.
        by_ms: f64,
    },
    /// A part of the requests of all cached classes goes to a few new objects.
    #[serde(rename = "crowd")]
    HotObjects {
        /// The part.
        #[serde(rename = "part")]
        share: f64,
        /// How many objects.
        objects: u64,
    },
    /// A part of one class's requests is for new objects of many times the usual size.
    #[serde(rename = "large")]
    LargeObjects {
        /// The class.
        class: String,
        /// The part.
        #[serde(rename = "part")]
        share: f64,
        /// How many times the usual size.
        #[serde(rename = "times")]
        size_factor: f64,
    },
    /// All arrivals come this many times as often.
    Surge {
        /// How many times.
        #[serde(rename = "times")]
        factor: f64,
    },
    /// Routers are cut off from all other routers, both ways; clients and servers reach them as
    /// before.
    #[serde(rename = "part")]
    Partition {
        /// Their numbers among all routers, site by site, from 1.
        routers: Vec<usize>,
    },
    /// Datagrams from some routers to others are cut off, lost, duplicated, corrupted or delayed.
    #[serde(rename = "link")]
    RouterLink {
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
        /// The part that is duplicated. Default: 0.
        #[serde(rename = "twice", default)]
        duplication: f64,
        /// The part that comes with a bit flipped. Default: 0.
        #[serde(rename = "flipped", default)]
        corruption: f64,
        /// The delay of each. Default: 0.
        #[serde(rename = "late_ms", default)]
        delay_ms: f64,
        /// Up to so much more, which has them overtake each other. Default: 0.
        #[serde(default)]
        jitter_ms: f64,
    },
    /// Router processes are killed, and started anew at the end.
    Kill {
        /// Their numbers, from 1.
        routers: Vec<usize>,
    },
    /// Router processes stand still, and go on at the end.
    Pause {
        /// Their numbers, from 1.
        routers: Vec<usize>,
    },
}

impl FaultKind {
    /// The name of the server that it concerns, if it concerns one.
    pub fn server(&self) -> Option<&str> {
        match self {
            FaultKind::Crash { server }
            | FaultKind::Replace { server }
            | FaultKind::Drain { server }
            | FaultKind::Slow { server, .. }
            | FaultKind::Unreachable { server } => Some(server),
            FaultKind::FeedDelay { .. }
            | FaultKind::HotObjects { .. }
            | FaultKind::LargeObjects { .. }
            | FaultKind::Surge { .. }
            | FaultKind::Partition { .. }
            | FaultKind::RouterLink { .. }
            | FaultKind::Kill { .. }
            | FaultKind::Pause { .. } => None,
        }
    }
}

/// The beginning or the end of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultPhase {
    /// It begins.
    Begin,
    /// It ends.
    End,
}

/// One step of a scenario's faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultStep {
    /// Time since the scenario's start.
    pub after: Time,
    /// The fault, by its index.
    pub index: usize,
    /// Whether it begins or ends.
    pub phase: FaultPhase,
}

impl Scenario {
    /// The faults that are active so many seconds after the start.
    pub fn faults_at(&self, seconds: f64) -> impl Iterator<Item = &FaultKind> {
        let active = move |fault: &&Fault| {
            seconds >= fault.at_s && fault.for_s.is_none_or(|duration| seconds < fault.at_s + duration)
        };
        self.faults.iter().filter(active).map(|fault| &fault.kind)
    }

    /// The beginnings and ends of all faults, in the order of the faults.
    pub fn fault_timeline(&self) -> Vec<FaultStep> {
        let mut steps = Vec::new();
        for (index, fault) in self.faults.iter().enumerate() {
            let after = from_seconds(fault.at_s);
            steps.push(FaultStep { after, index, phase: FaultPhase::Begin });
            if let Some(duration) = fault.for_s {
                let after = from_seconds(fault.at_s + duration);
                steps.push(FaultStep { after, index, phase: FaultPhase::End });
            }
        }
        steps
    }
}
