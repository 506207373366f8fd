//! The objects that clients request: their ids, groups and sizes.

use crate::objects::ChunkKey;
use crate::scenario::{FaultKind, RequestClass, Scenario};
use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Largest size of a chunk, in bytes; it is also the limit of the decoders on the sockets.
pub const MAX_CHUNK_BYTES: u32 = 240_000;
/// Smallest size of a chunk, in bytes.
const MIN_CHUNK_BYTES: f64 = 64.0;
/// Number of object groups.
const GROUPS: u64 = 256;
/// The bits of an object id that encode its [`ObjectSize`].
const SIZE_MASK: u64 = 0xff;

/// The size of an object relative to its class, encoded in the lowest byte of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ObjectSize {
    /// The object's chunks have the usual size of the class.
    Usual = 0,
    /// The object's chunks are larger by the factor of a `large` fault.
    Large = 1,
}

/// The clients that may request an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Audience {
    /// Clients of all sites.
    AllSites,
    /// Clients of the site with this index only.
    Site(usize),
    /// Clients of all sites, while a `crowd` fault is active.
    Hot,
    /// One client, once.
    SingleUse,
}

impl Audience {
    /// The number that stands for the audience in the hash input of object ids.
    fn code(self) -> u64 {
        match self {
            Audience::AllSites => 0,
            Audience::Site(site) => 1 + site as u64,
            Audience::Hot => u64::MAX - 1,
            Audience::SingleUse => u64::MAX,
        }
    }
}

/// The objects of a scenario. Ids and sizes depend only on the catalogue's seed, so that every run
/// requests the same objects.
#[derive(Clone, Debug)]
pub struct ObjectCatalogue {
    classes: Vec<RequestClass>,
    seed: u64,
    /// For each class, the size of its large objects as a multiple of the usual size; 1 if no fault
    /// makes objects large.
    size_factors: Vec<f64>,
}

impl ObjectCatalogue {
    /// Creates the catalogue of a scenario's classes and faults.
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

    /// The id of an object of a class: a hash of its class, its audience and its rank within that
    /// audience.
    pub(super) fn object_id(&self, class: usize, audience: Audience, rank: u64, size: ObjectSize) -> u64 {
        let hash_input = [class as u64, audience.code(), rank].map(u64::to_le_bytes).concat();
        xxh3_64_with_seed(&hash_input, self.seed) & !SIZE_MASK | size as u64
    }

    /// The group of an object, which is derived from its id.
    pub fn group(object: u64) -> u32 {
        ((object >> 8) % GROUPS) as u32
    }

    /// The size of a chunk in bytes, drawn from the class's distribution with the chunk's key as
    /// the seed, so that every draw gives the same size.
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
