//! Gets a request the right to use a target.

use log::{debug, info};
use rwd_config::Policy;
use rwd_sched::{Shard, Topology};
use rwd_types::{InstanceName, Millis, Problem, ProblemKind, RequestKey, TargetName};
use rwd_wire::{GrantOutcome, GrantReport, Offer, ShardId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::HomeNode;
use crate::call::Work;
use crate::owner_link::{Decided, OwnerLink};

/// Pause before an offer is made again when nothing has changed.
const OFFER_PAUSE: Duration = Duration::from_millis(100);
/// Other shards that a shed request is offered to.
const MAX_MOVES: u32 = 3;
/// A shard that has this much more waiting work than the next one is passed over.
const LOAD_BOUND: f64 = 1.25;
/// Time between tokens that the baselines expect.
const BASELINE_INTERVAL: Millis = Millis(43);

/// The right to send one request to a target.
pub(crate) struct Slot {
    pub target: TargetName,
    pub address: SocketAddr,
    /// Time between two tokens that is expected of the target.
    pub interval: Millis,
    pub link: OwnerLink,
    /// What was offered; baselines offer nothing.
    pub offer: Option<Offer>,
    /// The node at the other end of the link.
    pub owner: Option<InstanceName>,
    granted: Instant,
    lease: Option<Duration>,
}

impl Slot {
    /// Whether the slot may still be used.
    pub fn is_valid(&self, topology: &Topology) -> bool {
        let in_time = self
            .lease
            .is_none_or(|lease| self.granted.elapsed() < lease);
        in_time && !topology.leaving.contains(&self.target)
    }

    /// Gives the slot back.
    pub async fn give_back(self, usage: GrantOutcome) {
        let finish = GrantReport {
            usage,
            ..GrantReport::default()
        };
        self.link.finish(finish).await;
    }
}

impl HomeNode {
    /// Waits for a slot until the deadline.
    ///
    /// A failure always means that the request was not run.
    pub(crate) async fn acquire(&self, key: &RequestKey, work: &Work) -> Result<Slot, Problem> {
        let policy = self.parts.control.in_force().cfg.preset_in_force().policy;
        match policy {
            Policy::Granted => self.acquire_grant(key, work).await,
            Policy::RoundRobin | Policy::LeastReported => self.choose_alone(policy, work),
        }
    }

    fn choose_alone(&self, policy: Policy, work: &Work) -> Result<Slot, Problem> {
        let topology = self.parts.topology.borrow().clone();
        let choice = match policy {
            Policy::RoundRobin => self.parts.baseline.round_robin(&topology, &work.pool),
            _ => self.parts.baseline.least_reported(&topology, &work.pool),
        };
        let (target, address) = choice.ok_or_else(no_target)?;
        Ok(Slot {
            target,
            address,
            interval: BASELINE_INTERVAL,
            link: OwnerLink::None,
            offer: None,
            owner: None,
            granted: Instant::now(),
            lease: None,
        })
    }

    async fn acquire_grant(&self, key: &RequestKey, work: &Work) -> Result<Slot, Problem> {
        let mut topology = self.parts.topology.clone();
        let mut moved: Vec<ShardId> = Vec::new();
        loop {
            if work.time_left().is_zero() {
                return Err(deadline());
            }
            let current = topology.borrow_and_update().clone();
            let shard = self
                .choose_shard(&current, work, &moved)
                .ok_or_else(no_target)?;
            let Some(owner) = shard.owner.clone() else {
                pause(&mut topology).await;
                continue;
            };
            let offer = self.describe(work, &shard.id);
            let decided = tokio::select! {
                decided = OwnerLink::offer(&self.parts, &owner, offer.clone()) => decided,
                () = moved_away(&mut topology, shard) => continue,
                () = sleep_until(work.deadline) => return Err(deadline()),
            };
            match decided {
                Ok(Decided::Granted(grant, link)) => {
                    return Ok(Slot {
                        target: grant.target,
                        address: grant.address,
                        interval: grant.token_interval,
                        link,
                        offer: Some(offer),
                        owner: Some(owner),
                        granted: Instant::now(),
                        lease: Some(grant.lease.duration()),
                    });
                }
                Ok(Decided::Refused(p)) if p.kind == ProblemKind::Shed => {
                    moved.push(shard.id.clone());
                    let again = self.shard_with_lower_work(&current, work, &moved).is_some();
                    if !again || moved.len() as u32 > MAX_MOVES {
                        return Err(p);
                    }
                    info!(decision = "move", request:% = key, from:? = shard.id; "offering elsewhere");
                }
                Ok(Decided::Refused(problem)) => return Err(problem),
                Ok(Decided::NotOwner) => pause(&mut topology).await,
                Err(e) => {
                    debug!(request:% = key, owner:% = owner, error:% = e; "offer failed");
                    self.probe(&owner);
                    pause(&mut topology).await;
                }
            }
        }
    }

    fn describe(&self, work: &Work, shard: &ShardId) -> Offer {
        let key = (work.workspace.clone(), work.tier.clone(), work.pool.clone());
        Offer {
            pool: work.pool.clone(),
            shard: shard.clone(),
            tier: work.rank,
            workspace: work.workspace.clone(),
            prompt: work.prompt,
            output: self.estimates.expect(&key, work.most_output),
            blocks: work.blocks.clone(),
            time_left: work.time_left().into(),
        }
    }

    // Equal prompt heads meet the same shard unless it has clearly more waiting work than the
    // next one: consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018).
    fn choose_shard<'a>(
        &self,
        topology: &'a Topology,
        work: &Work,
        moved: &[ShardId],
    ) -> Option<&'a Shard> {
        if !moved.is_empty() {
            return self.shard_with_lower_work(topology, work, moved);
        }
        let region = self.parts.control.in_force().cfg.region(&self.parts.zone);
        let mut shards = topology.shards_of(&work.pool, &region);
        let head = work.blocks.first().map_or_else(rand::random, |b| b.0);
        shards.sort_by_cached_key(|s| {
            let text = format!("{}/{}", s.id.group, s.id.index);
            xxh3_64_with_seed(text.as_bytes(), head)
        });
        let queued = |s: &Shard| {
            let digest = self.parts.directory.digest(&s.id);
            digest.map_or(0.0, |d| d.queued.0 as f64)
        };
        match shards[..] {
            [first, second, ..] if queued(first) > LOAD_BOUND * queued(second) + 1.0 => {
                Some(second)
            }
            [first, ..] => Some(first),
            [] => None,
        }
    }

    fn shard_with_lower_work<'a>(
        &self,
        topology: &'a Topology,
        work: &Work,
        not: &[ShardId],
    ) -> Option<&'a Shard> {
        let region = self.parts.control.in_force().cfg.region(&self.parts.zone);
        let shards = topology.shards_of(&work.pool, &region).into_iter();
        let mut others = shards.filter(|s| !not.contains(&s.id));
        others.find(|s| {
            let digest = self.parts.directory.digest(&s.id);
            digest.is_some_and(|d| d.lowest > Some(work.rank))
        })
    }

    /// Probes a node that has just failed to answer, so that all learn of it soon.
    pub(crate) fn probe(&self, name: &InstanceName) {
        let (membership, name) = (self.parts.membership.clone(), name.clone());
        tokio::spawn(async move { membership.probe(&name).await });
    }
}

async fn pause(topology: &mut watch::Receiver<Arc<Topology>>) {
    // Either a new topology or the passing of time is a reason to try again.
    let _ = timeout(OFFER_PAUSE, topology.changed()).await;
}

// Returns when the shard has another owner.
async fn moved_away(topology: &mut watch::Receiver<Arc<Topology>>, shard: &Shard) {
    let same = |t: &Arc<Topology>| t.shards.get(&shard.id).map(|s| &s.owner) == Some(&shard.owner);
    loop {
        if topology.changed().await.is_err() {
            return sleep(Duration::MAX).await;
        }
        if !same(&topology.borrow_and_update()) {
            return;
        }
    }
}

fn no_target() -> Problem {
    let detail = "no target holds the model or provides the service";
    Problem::not_run(ProblemKind::Unavailable, detail).retry_after(Millis(1000))
}

pub(crate) fn deadline() -> Problem {
    Problem::not_run(
        ProblemKind::Deadline,
        "the deadline passed while the request waited",
    )
}
