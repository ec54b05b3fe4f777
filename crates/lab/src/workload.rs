//! The workloads of the two users.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

use crate::{RequestKind, RequestSpec};

/// Prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// Selects a workload.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, derive_more::Display, derive_more::FromStr,
)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum WorkloadName {
    /// Night walks: itineraries, walkers' questions, photo tags, a booking desk.
    #[default]
    Neonvalg,
    /// Tyre ballasting: fill plans, growers' questions, job sheets, stock and bookings.
    Naidu,
}

/// One tier's requests in a workload; ranges are minimum and maximum.
#[derive(Clone, Debug)]
pub struct TierWorkload {
    /// The tier.
    pub tier: &'static str,
    /// Priority of the tier; 0 is the highest.
    pub rank: u8,
    /// Deadline of its requests.
    pub deadline: Duration,
    /// Tokens of the prompt prefix that requests share.
    pub prefix_tokens: (u64, u64),
    /// Number of different shared prefixes.
    pub prefixes: u64,
    /// Tokens of the prompt after the shared prefix.
    pub suffix_tokens: (u64, u64),
    /// Tokens of a response.
    pub output_tokens: (u64, u64),
    /// The tier's share of the offered load, which is a multiple of the targets' capacity.
    pub load_share: f64,
}

/// Targets, workspaces and request types of one user.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The name it is selected by.
    pub name: WorkloadName,
    /// The model.
    pub model: &'static str,
    /// The service.
    pub service: &'static str,
    /// An idempotent and a non-idempotent path of the service.
    pub paths: (&'static str, &'static str),
    /// Number of engines.
    pub engines: usize,
    /// Number of instances of the service.
    pub services: usize,
    /// The availability zones.
    pub zones: [&'static str; 3],
    /// The region.
    pub region: &'static str,
    /// Workspaces and their share of the requests.
    pub workspaces: [(&'static str, f64); 5],
    /// The tiers.
    pub tiers: [TierWorkload; 3],
    /// Service calls per second at the month's end, that is at a load of 2.5.
    pub service_rate: f64,
}

impl Workload {
    /// The workload of this name.
    pub fn new(name: WorkloadName) -> Self {
        match name {
            WorkloadName::Neonvalg => neonvalg(),
            WorkloadName::Naidu => naidu(),
        }
    }

    /// Requests of one tier per second that offer its share of `load` times the capacity of
    /// `engines` engines, when one such request takes `seconds_per_request` of an engine.
    pub fn rate(load_share: f64, load: f64, engines: usize, seconds_per_request: f64) -> f64 {
        load_share * load * engines as f64 / seconds_per_request
    }
}

fn neonvalg() -> Workload {
    Workload {
        name: WorkloadName::Neonvalg,
        model: "assistant",
        service: "booking",
        paths: ("lookup", "confirm"),
        engines: 12,
        services: 3,
        zones: ["harju-a", "harju-b", "harju-c"],
        region: "harju",
        workspaces: [
            ("festival", 0.4),
            ("oldtown", 0.3),
            ("kalamaja", 0.15),
            ("telliskivi", 0.1),
            ("own-desk", 0.05),
        ],
        tiers: [
            TierWorkload {
                tier: "walker",
                rank: 0,
                deadline: Duration::from_secs(10),
                prefix_tokens: (384, 512),
                prefixes: 6,
                suffix_tokens: (16, 120),
                output_tokens: (30, 120),
                load_share: 0.14,
            },
            TierWorkload {
                tier: "itinerary",
                rank: 1,
                deadline: Duration::from_secs(30),
                prefix_tokens: (1500, 4000),
                prefixes: 60,
                suffix_tokens: (60, 400),
                output_tokens: (150, 450),
                load_share: 0.62,
            },
            TierWorkload {
                tier: "tagging",
                rank: 2,
                deadline: Duration::from_secs(20),
                prefix_tokens: (64, 64),
                prefixes: 1,
                suffix_tokens: (20, 120),
                output_tokens: (4, 16),
                load_share: 0.24,
            },
        ],
        service_rate: 30.0,
    }
}

fn naidu() -> Workload {
    Workload {
        name: WorkloadName::Naidu,
        model: "advice",
        service: "stock",
        paths: ("lookup", "book"),
        engines: 20,
        services: 3,
        zones: ["viti-a", "viti-b", "viti-c"],
        region: "viti-west",
        workspaces: [
            ("ba-cane", 0.35),
            ("lautoka-mill", 0.3),
            ("labasa", 0.2),
            ("yard", 0.1),
            ("rakiraki", 0.05),
        ],
        tiers: [
            TierWorkload {
                tier: "grower",
                rank: 0,
                deadline: Duration::from_secs(10),
                prefix_tokens: (128, 256),
                prefixes: 10,
                suffix_tokens: (16, 160),
                output_tokens: (30, 120),
                load_share: 0.14,
            },
            TierWorkload {
                tier: "plan",
                rank: 1,
                deadline: Duration::from_secs(30),
                prefix_tokens: (3000, 8000),
                prefixes: 120,
                suffix_tokens: (60, 300),
                output_tokens: (100, 300),
                load_share: 0.66,
            },
            TierWorkload {
                tier: "jobsheet",
                rank: 2,
                deadline: Duration::from_secs(20),
                prefix_tokens: (64, 64),
                prefixes: 1,
                suffix_tokens: (20, 200),
                output_tokens: (4, 20),
                load_share: 0.2,
            },
        ],
        service_rate: 30.0,
    }
}

/// Generates requests of a workload, reproducibly for a seed.
pub(crate) struct Generator {
    rng: StdRng,
    tags: u64,
}

impl Generator {
    pub fn new(seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { rng, tags: 0 }
    }

    /// Draws the interarrival time, in seconds, of Poisson arrivals at `rate` per second.
    pub fn interarrival_s(&mut self, rate: f64) -> f64 {
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln() / rate
    }

    /// Draws the index of a workspace, weighted by share.
    pub fn workspace(&mut self, workload: &Workload) -> usize {
        let mut left: f64 = self.rng.random();
        let found = workload.workspaces.iter().position(|(_, share)| {
            left -= share;
            left < 0.0
        });
        found.unwrap_or(0)
    }

    fn sample(&mut self, (min, max): (u64, u64)) -> u64 {
        self.rng.random_range(min..=max)
    }

    fn tag(&mut self) -> String {
        self.tags += 1;
        format!("{:08x}{:x}", self.rng.random::<u32>(), self.tags)
    }

    /// Generates a completion request of a tier.
    pub fn completion(
        &mut self,
        workload: &Workload,
        tier: &TierWorkload,
        workspace: usize,
    ) -> RequestSpec {
        // Half of the requests go to a sixth of the prefixes.
        let popular = self.rng.random_bool(0.5);
        let prefixes = if popular {
            tier.prefixes.div_ceil(6)
        } else {
            tier.prefixes
        };
        let prefix = self.rng.random_range(0..prefixes);
        let shared = shared_prefix(tier, workspace, prefix);
        let suffix = self.sample(tier.suffix_tokens);
        let output = self.sample(tier.output_tokens);
        let tag = self.tag();
        let prompt = shared + &filler_text(&tag, suffix);
        RequestSpec {
            tier: tier.tier,
            rank: tier.rank,
            pool: workload.model,
            kind: RequestKind::Completion {
                prompt,
                max_tokens: tier.output_tokens.1 * 2,
                output,
            },
            deadline: tier.deadline,
            tag,
        }
    }

    /// Generates a service call; one in three is not idempotent.
    pub fn service(&mut self, workload: &Workload) -> RequestSpec {
        let idempotent = !self.rng.random_ratio(1, 3);
        let (idempotent_path, non_idempotent_path) = workload.paths;
        RequestSpec {
            tier: workload.tiers[0].tier,
            rank: workload.tiers[0].rank,
            pool: workload.service,
            kind: RequestKind::Service {
                path: if idempotent {
                    idempotent_path
                } else {
                    non_idempotent_path
                },
                idempotent,
            },
            deadline: Duration::from_secs(5),
            tag: self.tag(),
        }
    }
}

// All requests that share a prefix get the same text and length.
fn shared_prefix(tier: &TierWorkload, workspace: usize, prefix: u64) -> String {
    let name = format!("{}/{workspace}/{prefix}", tier.tier);
    let (min, max) = tier.prefix_tokens;
    let spread = max - min + 1;
    let tokens = min + (prefix * 7919 + workspace as u64 * 104_729) % spread;
    filler_text(&name, tokens)
}

fn filler_text(seed: &str, tokens: u64) -> String {
    let bytes = tokens as usize * BYTES_PER_TOKEN;
    let mut text = String::with_capacity(bytes + seed.len() + 8);
    let mut n = 0_u32;
    while text.len() < bytes {
        text.push_str(seed);
        text.push_str(&format!(" {n} "));
        n += 1;
    }
    text.truncate(bytes);
    text
}
