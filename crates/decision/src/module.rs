//! The decision module's state. What is decided by it is in `policy`, its types, settings, events and actions are in
//! `interface.rs`, the records that it keeps in `state.rs`.

use crate::interface::*;
use crate::state::*;
use rand_core::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};

/// Bounds on each table of objects and on the endpoints remembered: full tables forget, they never grow.
pub(crate) const TABLE: usize = 20_000;
pub(crate) const FLEET: usize = 2_000;
/// An endpoint that is out gets a trial request after this long, doubled up to eight times as much.
pub(crate) const OUT: Duration = Duration::from_millis(500);
/// The most further attempts saved up: enough for one endpoint's loss at once.
pub(crate) const RETRY_SAVE: f64 = 40.0;
/// Hits are told from fills at their end at the earliest: an attempt that has been out for this many of its
/// class's mean sending times counts as a fill in hand at the parent that it names.
pub(crate) const FILLING: f64 = 1.0;
/// A class's mean sending time is that of so many of its last requests.
pub(crate) const LEARN: f64 = 50.0;

/// The decision module of one router.
#[derive(Debug)]
pub struct DecisionModule {
    pub(crate) settings: Settings,
    pub(crate) rng: rand_pcg::Pcg64Mcg,
    pub(crate) fleet: Fleet,
    /// Endpoints that are or may be cold.
    pub(crate) chilled: BTreeSet<EndpointId>,
    pub(crate) open: BTreeMap<RequestId, Open>,
    pub(crate) learnt: Vec<Learnt>,
    pub(crate) counts: Counted,
    pub(crate) purges: PurgeHistory,
    pub(crate) retries: f64,
    /// Share of attempts without an answer from an endpoint that lives, smoothed.
    pub(crate) lost: f64,
    pub(crate) subscribed: bool,
    pub(crate) logged: Timestamp,
    pub(crate) relief: Relief,
}

impl DecisionModule {
    /// A module for one router, or the field of the settings that is impossible.
    pub fn new(settings: Settings, seed: u64) -> Result<DecisionModule, SettingsError> {
        settings.check()?;
        Ok(DecisionModule {
            learnt: settings.classes.iter().map(Learnt::new).collect(),
            settings,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            fleet: Fleet::default(),
            chilled: BTreeSet::new(),
            open: BTreeMap::new(),
            counts: Counted::default(),
            purges: PurgeHistory::default(),
            retries: RETRY_SAVE,
            lost: 0.0,
            subscribed: false,
            logged: Timestamp::ZERO,
            relief: Relief::default(),
        })
    }
}
