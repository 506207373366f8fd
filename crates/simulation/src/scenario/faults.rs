//! The faults that a scenario can contain, and when each begins and ends.

use super::Scenario;
use crate::time::from_seconds;
use crate::Time;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A fault that a scenario injects, with its kind and the time span in which it acts.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When the fault begins, in seconds since the start of the run.
    pub at_s: f64,
    /// How long the fault lasts, in seconds. Default: until the end of the run.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// The kind of fault, with its parameters.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// What a fault does, with its parameters.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// A server crashes. When the fault ends, the server restarts with an empty cache and warms up.
    Crash {
        /// The server's name: `SITE-N` for an edge cache, a parent cache's name, or `library` for
        /// the origin.
        #[serde(rename = "who")]
        server: String,
    },
    /// An edge cache crashes, and a new one with a new uid starts at its address at once.
    Replace {
        /// The edge cache's name, `SITE-N`.
        #[serde(rename = "who")]
        server: String,
    },
    /// An edge cache is listed as draining. When the fault ends, it stops and leaves the endpoint
    /// list.
    Drain {
        /// The edge cache's name, `SITE-N`.
        #[serde(rename = "who")]
        server: String,
    },
    /// A server's outgoing link loses part of its rate.
    Slow {
        /// The server's name.
        #[serde(rename = "who")]
        server: String,
        /// The share of the rate that remains, from 0 to 1.
        #[serde(rename = "part")]
        rate_share: f64,
    },
    /// A server is unreachable: its connections stay open, but nothing is sent or received on them.
    #[serde(rename = "cut")]
    Unreachable {
        /// The server's name.
        #[serde(rename = "who")]
        server: String,
    },
    /// Changes of the endpoint list reach the routers later than usual.
    #[serde(rename = "late")]
    FeedDelay {
        /// The additional delay, in milliseconds.
        by_ms: f64,
    },
    /// A share of the requests of all cached classes goes to a few new objects.
    #[serde(rename = "crowd")]
    HotObjects {
        /// The share of requests, from 0 to 1.
        #[serde(rename = "part")]
        share: f64,
        /// The number of new objects.
        objects: u64,
    },
    /// A share of one class's requests goes to new objects that are much larger than usual.
    #[serde(rename = "large")]
    LargeObjects {
        /// The name of the request class that is affected; it must be a cached one.
        class: String,
        /// The share of requests, from 0 to 1.
        #[serde(rename = "part")]
        share: f64,
        /// The size of the new objects as a multiple of the usual size, from 1 to 50.
        #[serde(rename = "times")]
        size_factor: f64,
    },
    /// Clients' requests arrive more often, at all sites and in all classes.
    Surge {
        /// The factor by which the arrival rate is multiplied.
        #[serde(rename = "times")]
        factor: f64,
    },
    /// Routers are partitioned from all other routers, in both directions; clients and servers
    /// still reach them.
    #[serde(rename = "part")]
    Partition {
        /// The routers' numbers, counted from 1 over all sites in order.
        routers: Vec<usize>,
    },
    /// Datagrams from some routers to others are cut off, lost, duplicated, corrupted or delayed.
    #[serde(rename = "link")]
    RouterLink {
        /// Numbers of the sending routers, from 1.
        from: Vec<usize>,
        /// Numbers of the receiving routers, from 1.
        to: Vec<usize>,
        /// Whether all datagrams are dropped. Default: false.
        #[serde(default)]
        cut: bool,
        /// The share of datagrams that are lost. Default: 0.
        #[serde(default)]
        loss: f64,
        /// The share of datagrams that are duplicated. Default: 0.
        #[serde(rename = "twice", default)]
        duplication: f64,
        /// The share of datagrams that arrive with one bit flipped. Default: 0.
        #[serde(rename = "flipped", default)]
        corruption: f64,
        /// The additional delay of every datagram, in milliseconds. Default: 0.
        #[serde(rename = "late_ms", default)]
        delay_ms: f64,
        /// The maximum of a further random delay, in milliseconds, which reorders datagrams.
        /// Default: 0.
        #[serde(default)]
        jitter_ms: f64,
    },
    /// Router processes are killed. When the fault ends, they are started again.
    Kill {
        /// The routers' numbers, from 1.
        routers: Vec<usize>,
    },
    /// Router processes are paused, as by SIGSTOP. When the fault ends, they are resumed.
    Pause {
        /// The routers' numbers, from 1.
        routers: Vec<usize>,
    },
}

impl FaultKind {
    /// The name of the server that the fault affects, or `None` if it affects clients, routers or
    /// the endpoint feed.
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

/// Which end of a fault's time span a [`FaultStep`] stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultPhase {
    /// The fault begins to act.
    Begin,
    /// The fault no longer acts; [`FaultKind`] says what happens then.
    End,
}

/// The beginning or the end of one of a scenario's faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultStep {
    /// The time since the start of the run.
    pub after: Time,
    /// The fault's index in [`Scenario::faults`].
    pub index: usize,
    /// Whether the fault begins or ends.
    pub phase: FaultPhase,
}

impl Scenario {
    /// The faults that are active this many seconds after the start of the run.
    pub fn faults_at(&self, seconds: f64) -> impl Iterator<Item = &FaultKind> {
        let active = move |fault: &&Fault| {
            seconds >= fault.at_s && fault.for_s.is_none_or(|duration| seconds < fault.at_s + duration)
        };
        self.faults.iter().filter(active).map(|fault| &fault.kind)
    }

    /// The beginnings and ends of all faults, in the order of [`Scenario::faults`], not by time. A
    /// fault without a duration has no end.
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
