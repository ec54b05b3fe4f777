//! Acquires a target slot for a request.

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
use crate::call::Job;
use crate::owner_link::{OfferOutcome, OwnerLink};

/// Delay before an offer is retried when the topology has not changed.
const OFFER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of other shards that a shed request is offered to.
const MAX_REOFFERS: u32 = 3;
/// A shard is skipped if its queue is more than this many times as long as the next one's.
const LOAD_BOUND: f64 = 1.25;
/// Token interval that the baseline policies assume.
const BASELINE_TOKEN_INTERVAL: Millis = Millis(43);

/// The right to send one request to a target.
pub(crate) struct Slot {
    pub target: TargetName,
    pub address: SocketAddr,
    /// Expected token interval of the target.
    pub interval: Millis,
    pub link: OwnerLink,
    /// The granted offer; `None` under the baseline policies.
    pub offer: Option<Offer>,
    /// The node that granted the slot.
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

    /// Releases the slot and reports how it was used.
    pub async fn release(self, usage: GrantOutcome) {
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
    /// An error always means that the request was not run.
    pub(crate) async fn acquire(&self, key: &RequestKey, job: &Job) -> Result<Slot, Problem> {
        let policy = self.deps.control.in_force().cfg.preset_in_force().policy;
        match policy {
            Policy::Granted => self.acquire_grant(key, job).await,
            Policy::RoundRobin | Policy::LeastReported => self.choose_by_baseline(policy, job),
        }
    }

    fn choose_by_baseline(&self, policy: Policy, job: &Job) -> Result<Slot, Problem> {
        let topology = self.deps.topology.borrow().clone();
        let choice = match policy {
            Policy::RoundRobin => self.deps.baseline.round_robin(&topology, &job.pool),
            _ => self.deps.baseline.least_reported(&topology, &job.pool),
        };
        let (target, address) = choice.ok_or_else(no_target)?;
        Ok(Slot {
            target,
            address,
            interval: BASELINE_TOKEN_INTERVAL,
            link: OwnerLink::None,
            offer: None,
            owner: None,
            granted: Instant::now(),
            lease: None,
        })
    }

    async fn acquire_grant(&self, key: &RequestKey, job: &Job) -> Result<Slot, Problem> {
        let mut topology = self.deps.topology.clone();
        let mut tried: Vec<ShardId> = Vec::new();
        loop {
            if job.time_left().is_zero() {
                return Err(deadline_exceeded());
            }
            let current = topology.borrow_and_update().clone();
            let shard = self
                .choose_shard(&current, job, &tried)
                .ok_or_else(no_target)?;
            let Some(owner) = shard.owner.clone() else {
                wait_to_retry(&mut topology).await;
                continue;
            };
            let offer = self.make_offer(job, &shard.id);
            let outcome = tokio::select! {
                outcome = OwnerLink::offer(&self.deps, &owner, offer.clone()) => outcome,
                () = owner_changed(&mut topology, shard) => continue,
                () = sleep_until(job.deadline) => return Err(deadline_exceeded()),
            };
            match outcome {
                Ok(OfferOutcome::Granted(grant, link)) => {
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
                Ok(OfferOutcome::Refused(p)) if p.kind == ProblemKind::Shed => {
                    tried.push(shard.id.clone());
                    let again = self
                        .shard_with_lower_ranked_job(&current, job, &tried)
                        .is_some();
                    if !again || tried.len() as u32 > MAX_REOFFERS {
                        return Err(p);
                    }
                    info!(decision = "move", request:% = key, from:? = shard.id; "offering the request to another shard");
                }
                Ok(OfferOutcome::Refused(problem)) => return Err(problem),
                Ok(OfferOutcome::NotOwner) => wait_to_retry(&mut topology).await,
                Err(e) => {
                    debug!(request:% = key, owner:% = owner, error:% = e; "offer failed");
                    self.probe(&owner);
                    wait_to_retry(&mut topology).await;
                }
            }
        }
    }

    fn make_offer(&self, job: &Job, shard: &ShardId) -> Offer {
        let key = (job.workspace.clone(), job.tier.clone(), job.pool.clone());
        Offer {
            pool: job.pool.clone(),
            shard: shard.clone(),
            tier: job.rank,
            workspace: job.workspace.clone(),
            prompt: job.prompt,
            output: self.estimates.expect(&key, job.max_output),
            blocks: job.blocks.clone(),
            time_left: job.time_left().into(),
        }
    }

    // Equal prompt prefixes go to the same shard unless its queue is clearly longer than the next
    // one's: consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018).
    fn choose_shard<'a>(
        &self,
        topology: &'a Topology,
        job: &Job,
        tried: &[ShardId],
    ) -> Option<&'a Shard> {
        if !tried.is_empty() {
            return self.shard_with_lower_ranked_job(topology, job, tried);
        }
        let region = self.deps.control.in_force().cfg.region(&self.deps.zone);
        let mut shards = topology.shards_of(&job.pool, &region);
        let head = job.blocks.first().map_or_else(rand::random, |b| b.0);
        shards.sort_by_cached_key(|s| {
            let text = format!("{}/{}", s.id.group, s.id.index);
            xxh3_64_with_seed(text.as_bytes(), head)
        });
        let queued = |s: &Shard| {
            let digest = self.deps.directory.digest(&s.id);
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

    fn shard_with_lower_ranked_job<'a>(
        &self,
        topology: &'a Topology,
        job: &Job,
        excluded: &[ShardId],
    ) -> Option<&'a Shard> {
        let region = self.deps.control.in_force().cfg.region(&self.deps.zone);
        let shards = topology.shards_of(&job.pool, &region).into_iter();
        let mut others = shards.filter(|s| !excluded.contains(&s.id));
        others.find(|s| {
            let digest = self.deps.directory.digest(&s.id);
            digest.is_some_and(|d| d.lowest > Some(job.rank))
        })
    }

    /// Probes a node that has just failed to answer, so that the cluster detects a failure early.
    pub(crate) fn probe(&self, name: &InstanceName) {
        let (membership, name) = (self.deps.membership.clone(), name.clone());
        tokio::spawn(async move { membership.probe(&name).await });
    }
}

async fn wait_to_retry(topology: &mut watch::Receiver<Arc<Topology>>) {
    // Returns on a new topology or after the delay; either is a reason to retry.
    let _ = timeout(OFFER_RETRY_DELAY, topology.changed()).await;
}

// Returns when the shard's owner has changed.
async fn owner_changed(topology: &mut watch::Receiver<Arc<Topology>>, shard: &Shard) {
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

pub(crate) fn deadline_exceeded() -> Problem {
    Problem::not_run(
        ProblemKind::Deadline,
        "the deadline passed while the request waited",
    )
}
