//! The objects of a scenario: their ids, groups and sizes.

use crate::objects::ChunkKey;
use crate::scenario::{FaultKind, RequestClass, Scenario};
use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A chunk holds at most so many bytes on the sockets.
pub const MAX_CHUNK_BYTES: u32 = 240_000;
/// A chunk holds at least so many bytes.
const MIN_CHUNK_BYTES: f64 = 64.0;
/// Groups of objects.
const GROUPS: u64 = 256;
/// The bits of an object's id that hold its [`ObjectSize`].
const SIZE_MASK: u64 = 0xff;

/// How large an object is, in the lowest byte of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ObjectSize {
    /// Of the usual size of its class.
    Usual = 0,
    /// Many times as large, by a fault of the scenario.
    Large = 1,
}

/// Who requests an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Audience {
    /// All sites.
    AllSites,
    /// One site, by index.
    Site(usize),
    /// Everybody, during a fault.
    Hot,
    /// One request only.
    SingleUse,
}

impl Audience {
    /// Its number in the names from which ids are made.
    fn code(self) -> u64 {
        match self {
            Audience::AllSites => 0,
            Audience::Site(site) => 1 + site as u64,
            Audience::Hot => u64::MAX - 1,
            Audience::SingleUse => u64::MAX,
        }
    }
}

/// The objects of a scenario. Ids and sizes follow from the seed alone.
#[derive(Clone, Debug)]
pub struct ObjectCatalogue {
    classes: Vec<RequestClass>,
    seed: u64,
    /// How many times the usual size large objects of each class have.
    size_factors: Vec<f64>,
}

impl ObjectCatalogue {
    /// The objects of a scenario.
    pub fn new(scenario: &Scenario) -> ObjectCatalogue {
        let mut size_factors = vec![1.0; scenario.classes.len()];
        for fault in &scenario.faults {
            let FaultKind::LargeObjects { class: name, size_factor, .. } = &fault.kind else { continue };
            if let Some(class) = scenario.classes.iter().position(|class| class.name == *name) {
                size_factors[class] = *size_factor;
            }
        }
        ObjectCatalogue { classes: scenario.classes.clone(), seed: scenario.catalogue_seed, size_factors }
    }

    /// The id of a class's object, by its popularity rank or number within its audience.
    pub(super) fn object_id(&self, class: usize, audience: Audience, rank: u64, size: ObjectSize) -> u64 {
        let name = [class as u64, audience.code(), rank].map(u64::to_le_bytes).concat();
        xxh3_64_with_seed(&name, self.seed) & !SIZE_MASK | size as u64
    }

    /// An object's group.
    pub fn group(object: u64) -> u32 {
        ((object >> 8) % GROUPS) as u32
    }

    /// The bytes of a chunk: drawn by its id from the class's distribution.
    pub fn chunk_bytes(&self, class: usize, key: ChunkKey) -> u64 {
        let seed = key.object ^ self.seed ^ u64::from(key.chunk).rotate_left(40);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let RequestClass { mean_bytes, size_sigma, .. } = self.classes[class];
        let log_mean = mean_bytes.ln() - size_sigma * size_sigma / 2.0;
        let usual = LogNormal::new(log_mean, size_sigma).map_or(mean_bytes, |sizes| sizes.sample(&mut rng));
        let is_large = key.object & SIZE_MASK == ObjectSize::Large as u64;
        let factor = if is_large { self.size_factors[class] } else { 1.0 };
        (usual * factor).clamp(MIN_CHUNK_BYTES, f64::from(MAX_CHUNK_BYTES)) as u64
    }
}
