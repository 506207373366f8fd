//! The fleet that a load is replayed over: servers by number, with what the operator gave and what was fitted.

use crate::fleet::{Cold, Fleet};
use crate::place::identity;
use crate::trace::Trace;
use crate::PlanError;
use serde::Serialize;

/// Times that a recording shows and no operator writes down. Microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Delays {
    /// From a request to the first byte of what a box holds.
    pub hit_us: f64,
    /// More than that until the first byte of what a hub holds.
    pub hub_us: f64,
    /// More than that until the first byte of what the library holds: the way to it and its work.
    pub library_us: f64,
    /// A filing, from the request to its answer.
    pub filing_us: f64,
}

impl Default for Delays {
    fn default() -> Self {
        Delays { hit_us: 4_000.0, hub_us: 12_000.0, library_us: 50_000.0, filing_us: 50_000.0 }
    }
}

/// A box.
#[derive(Clone, Debug)]
pub struct BoxNet {
    /// Its name.
    pub name: String,
    /// Its identity in the order.
    pub id: u64,
    /// Its link out, in flows.
    pub flows: f64,
    /// What it keeps, in bytes.
    pub keep: f64,
    /// Its fills at most.
    pub fills: usize,
    /// Cores and work on one request in microseconds, if both are known.
    pub cores: Option<(f64, f64)>,
}

/// An office.
#[derive(Clone, Debug)]
pub struct OfficeNet {
    /// Its name.
    pub name: String,
    /// Its boxes.
    pub boxes: Vec<BoxNet>,
    /// Its link in, in flows.
    pub link_in: f64,
    /// Its hub, by number.
    pub hub: usize,
}

/// A hub.
#[derive(Clone, Debug)]
pub struct HubNet {
    /// Its name.
    pub name: String,
    /// Its identity in the order.
    pub id: u64,
    /// Its link out, in flows.
    pub flows: f64,
    /// What it keeps, in bytes.
    pub keep: f64,
    /// Its fetches at most.
    pub fetches: usize,
}

/// All of it.
#[derive(Clone, Debug)]
pub struct Net {
    /// The offices, in the order of the recording's, then those without load.
    pub offices: Vec<OfficeNet>,
    /// The hubs.
    pub hubs: Vec<HubNet>,
    /// Bytes a second of a flow.
    pub flow: f64,
    /// A fill's pace, in flows.
    pub fill_pace: f64,
    /// The library: workers, calls a second, link in flows.
    pub library: (Option<usize>, Option<f64>, Option<f64>),
    /// The library's work on a call, in microseconds.
    pub service_us: f64,
    /// Further tries of clients, and the least wait before one in microseconds.
    pub tries: u32,
    /// See `tries`.
    pub wait_us: f64,
    /// How servers come back.
    pub cold: Cold,
    /// Times.
    pub delays: Delays,
    /// What was not given, in words.
    pub fitted: Vec<String>,
}

impl Net {
    /// A fleet, for a recording's offices.
    ///
    /// # Errors
    /// They don't fit together.
    pub fn new(fleet: &Fleet, trace: &Trace) -> Result<Net, PlanError> {
        let mut fitted = Vec::new();
        let known = |name: &str| fleet.offices.iter().position(|o| o.name == name);
        if let Some(lost) = trace.offices.iter().find(|o| known(o).is_none()) {
            return Err(PlanError::Contradiction(format!(
                "the recording has an office {lost}, the fleet has not"
            )));
        }
        let mut order: Vec<usize> = trace.offices.iter().filter_map(|o| known(o)).collect();
        order.extend((0..fleet.offices.len()).filter(|i| !trace.offices.contains(&fleet.offices[*i].name)));
        let mut offices = Vec::new();
        for o in order.into_iter().map(|i| &fleet.offices[i]) {
            let mut listed: Vec<_> = trace.listed.iter().filter(|l| l.zone == o.name && !l.hub).collect();
            listed.sort_by(|a, b| a.uid.cmp(&b.uid));
            let sizes: Vec<f64> = listed.iter().map(|l| l.weight).filter(|w| *w > 0.0).collect();
            let usual = sizes.iter().sum::<f64>() / sizes.len().max(1) as f64;
            if o.link_flows.is_none() && usual <= 0.0 {
                return Err(PlanError::Unknown(format!(
                    "offices: {}: link_flows is not given and not listed",
                    o.name
                )));
            }
            if o.link_flows.is_none() {
                fitted.push(format!(
                    "{}: each box's link is its listed size, {usual:.1} flows on average",
                    o.name
                ));
            }
            let boxes = (0..o.boxes).map(|i| {
                let uid = listed.get(i).map_or_else(|| format!("s-{}-{}", o.name, i + 1), |l| l.uid.clone());
                BoxNet {
                    name: format!("{}-{}", o.name, i + 1),
                    id: identity(&uid),
                    flows: o.link_flows.or(listed.get(i).map(|l| l.weight)).unwrap_or(usual),
                    keep: o.keep_bytes.unwrap_or(f64::INFINITY),
                    fills: o.fills.unwrap_or(usize::MAX),
                    cores: o.cores.zip(o.work_ms).map(|(c, w)| (c, w * 1e3)),
                }
            });
            let boxes: Vec<BoxNet> = boxes.collect();
            let hub = fleet.hubs.iter().position(|h| h.name == o.hub).unwrap_or(0);
            offices.push(OfficeNet { name: o.name.clone(), boxes, link_in: o.link_in_flows, hub });
        }
        let hubs = fleet.hubs.iter().map(|h| {
            let listed = trace.listed.iter().find(|l| l.zone == h.name && l.hub);
            let uid = listed.map_or_else(|| format!("s-{}", h.name), |l| l.uid.clone());
            HubNet {
                name: h.name.clone(),
                id: identity(&uid),
                flows: h.link_flows,
                keep: h.keep_bytes.unwrap_or(f64::INFINITY),
                fetches: h.fetches.unwrap_or(usize::MAX),
            }
        });
        let l = &fleet.library;
        Ok(Net {
            hubs: hubs.collect(),
            offices,
            flow: trace.flow,
            fill_pace: fleet.fill_pace,
            library: (l.workers, l.calls_per_s, l.link_flows),
            service_us: l.service_ms.unwrap_or(0.0) * 1e3,
            tries: fleet.clients.tries,
            wait_us: fleet.clients.wait_ms * 1e3,
            cold: fleet.cold.clone(),
            delays: Delays::default(),
            fitted,
        })
    }

    /// The same with so many boxes at an office: the last ones go, or ones like the last are added.
    pub fn with_boxes(&self, office: usize, count: usize) -> Net {
        let mut net = self.clone();
        let o = &mut net.offices[office];
        while o.boxes.len() < count {
            let Some(like) = o.boxes.last().cloned() else { break };
            let name = format!("{}-{}", o.name, o.boxes.len() + 1);
            o.boxes.push(BoxNet { id: identity(&format!("s-{name}")), name, ..like });
        }
        o.boxes.truncate(count.max(1));
        net
    }

    /// Boxes in all.
    pub fn boxes(&self) -> usize {
        self.offices.iter().map(|o| o.boxes.len()).sum()
    }
}
