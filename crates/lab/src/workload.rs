//! The two users' mixes of requests.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

use crate::{RequestKind, RequestSpec};

/// Bytes of one token of a prompt.
const TOKEN_BYTES: usize = 4;

/// Which user's mix.
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

/// One tier of a mix.
#[derive(Clone, Debug)]
pub struct TierMix {
    /// The tier.
    pub tier: &'static str,
    /// Its place in the order of value.
    pub rank: u8,
    /// Deadline of its requests.
    pub deadline: Duration,
    /// Tokens of the prefix that requests share, least and most.
    pub shared: (u64, u64),
    /// Number of different shared prefixes.
    pub prefixes: u64,
    /// Tokens of a prompt's own part, least and most.
    pub own: (u64, u64),
    /// Tokens of an answer, least and most.
    pub output: (u64, u64),
    /// Share of the targets' capacity that the tier asks for at the month's end.
    pub share: f64,
}

/// A user's mix.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Whose it is.
    pub name: WorkloadName,
    /// The model.
    pub model: &'static str,
    /// The plain service.
    pub service: &'static str,
    /// Its idempotent and its non-idempotent path.
    pub paths: (&'static str, &'static str),
    /// Number of engines.
    pub engines: usize,
    /// Number of instances of the service.
    pub services: usize,
    /// Availability zones.
    pub zones: [&'static str; 3],
    /// The region.
    pub region: &'static str,
    /// Workspaces and their share of the requests.
    pub workspaces: [(&'static str, f64); 5],
    /// The tiers.
    pub tiers: [TierMix; 3],
    /// Calls of the service per second at the month's end.
    pub service_rate: f64,
}

impl Workload {
    /// The mix of a user.
    pub fn new(name: WorkloadName) -> Self {
        match name {
            WorkloadName::Neonvalg => neonvalg(),
            WorkloadName::Naidu => naidu(),
        }
    }

    /// Requests of one tier per second that ask for `load` times the capacity of `engines`
    /// engines, of which one takes `seconds_per_request` for such a request.
    pub fn rate(share: f64, load: f64, engines: usize, seconds_per_request: f64) -> f64 {
        share * load * engines as f64 / seconds_per_request
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
            TierMix {
                tier: "walker",
                rank: 0,
                deadline: Duration::from_secs(10),
                shared: (384, 512),
                prefixes: 6,
                own: (16, 120),
                output: (30, 120),
                share: 0.14,
            },
            TierMix {
                tier: "itinerary",
                rank: 1,
                deadline: Duration::from_secs(30),
                shared: (1500, 4000),
                prefixes: 60,
                own: (60, 400),
                output: (150, 450),
                share: 0.62,
            },
            TierMix {
                tier: "tagging",
                rank: 2,
                deadline: Duration::from_secs(20),
                shared: (64, 64),
                prefixes: 1,
                own: (20, 120),
                output: (4, 16),
                share: 0.24,
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
            TierMix {
                tier: "grower",
                rank: 0,
                deadline: Duration::from_secs(10),
                shared: (128, 256),
                prefixes: 10,
                own: (16, 160),
                output: (30, 120),
                share: 0.14,
            },
            TierMix {
                tier: "plan",
                rank: 1,
                deadline: Duration::from_secs(30),
                shared: (3000, 8000),
                prefixes: 120,
                own: (60, 300),
                output: (100, 300),
                share: 0.66,
            },
            TierMix {
                tier: "jobsheet",
                rank: 2,
                deadline: Duration::from_secs(20),
                shared: (64, 64),
                prefixes: 1,
                own: (20, 200),
                output: (4, 20),
                share: 0.2,
            },
        ],
        service_rate: 30.0,
    }
}

/// Makes requests of a mix, the same ones for the same seed.
pub(crate) struct Generator {
    rng: StdRng,
    number: u64,
}

impl Generator {
    pub fn new(seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { rng, number: 0 }
    }

    /// Seconds until the next request at `rate` requests per second.
    pub fn gap(&mut self, rate: f64) -> f64 {
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln() / rate
    }

    /// An index, drawn by the shares of the workspaces.
    pub fn workspace(&mut self, workload: &Workload) -> usize {
        let mut left: f64 = self.rng.random();
        let found = workload.workspaces.iter().position(|(_, share)| {
            left -= share;
            left < 0.0
        });
        found.unwrap_or(0)
    }

    fn within(&mut self, (least, most): (u64, u64)) -> u64 {
        self.rng.random_range(least..=most)
    }

    fn tag(&mut self) -> String {
        self.number += 1;
        format!("{:08x}{:x}", self.rng.random::<u32>(), self.number)
    }

    /// A completion of a tier.
    pub fn completion(
        &mut self,
        workload: &Workload,
        mix: &TierMix,
        workspace: usize,
    ) -> RequestSpec {
        // Half of the requests go to a sixth of the prefixes.
        let popular = self.rng.random_bool(0.5);
        let prefixes = if popular {
            mix.prefixes.div_ceil(6)
        } else {
            mix.prefixes
        };
        let prefix = self.rng.random_range(0..prefixes);
        let shared = shared_prefix(mix, workspace, prefix);
        let own = self.within(mix.own);
        let output = self.within(mix.output);
        let tag = self.tag();
        let prompt = shared + &text(&tag, own);
        RequestSpec {
            tier: mix.tier,
            rank: mix.rank,
            pool: workload.model,
            shape: RequestKind::Completion {
                prompt,
                max_tokens: mix.output.1 * 2,
                output,
            },
            deadline: mix.deadline,
            tag,
        }
    }

    /// A call of the plain service; one in three must not be repeated.
    pub fn service(&mut self, workload: &Workload) -> RequestSpec {
        let idempotent = !self.rng.random_ratio(1, 3);
        let (lookup, act) = workload.paths;
        RequestSpec {
            tier: workload.tiers[0].tier,
            rank: workload.tiers[0].rank,
            pool: workload.service,
            shape: RequestKind::Service {
                path: if idempotent { lookup } else { act },
                idempotent,
            },
            deadline: Duration::from_secs(5),
            tag: self.tag(),
        }
    }
}

// The same prefix has the same text and length for all requests that share it.
fn shared_prefix(mix: &TierMix, workspace: usize, prefix: u64) -> String {
    let name = format!("{}/{workspace}/{prefix}", mix.tier);
    let (least, most) = mix.shared;
    let spread = most - least + 1;
    let tokens = least + (prefix * 7919 + workspace as u64 * 104_729) % spread;
    text(&name, tokens)
}

fn text(seed: &str, tokens: u64) -> String {
    let bytes = tokens as usize * TOKEN_BYTES;
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
