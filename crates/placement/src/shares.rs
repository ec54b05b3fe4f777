//! Shares of slot time of the workspaces of a pool.
//!
//! In a shortage, workspaces of the same priority get max-min fair shares of the slot time that the
//! pool grants: the water level is the slot time per unit of weight up to which each gets what it
//! asks. Requests beyond their workspace's share are marked, and served after the others of the
//! workspace priority. Use decays, so idling earns no more credit than the share of `DECAY_MS`.

use indexmap::IndexMap;
use rwd_types::{PoolName, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::decayed::{DECAY_MS, Decayed, decay};
use crate::queue::Waiting;
use crate::{OfferId, Rank, Timestamp};

/// Workspaces that are remembered; those that use the least are forgotten first.
const MAX_WORKSPACES: usize = 512;
/// Rows of a report besides the one that sums up the rest.
const MAX_ROWS: usize = 15;
/// Other shards whose reports are kept.
const MAX_SHARDS: usize = 32;
/// Age at which a report no longer counts, in milliseconds.
const MAX_REPORT_AGE_MS: f64 = 1000.0;
/// Ratio between two marks beyond the share: small enough to tell hot workspaces apart, large enough
/// for value and urgency to decide among requests that are about even.
const MARK_RATIO: f64 = 1.1;
const MAX_MARK: f64 = 64.0;
/// Bound of a correction of slot time, as a multiple of its estimate.
const MAX_CORRECTION: f64 = 3.0;
/// Slot time that stands for one that is not known yet, in milliseconds.
const UNKNOWN_SLOT_MS: f64 = 1.0;
/// How long a workspace is beyond its share before that is news, and how long it is within it before
/// that is news again, in milliseconds.
const NEWS_MS: (f64, f64) = (1000.0, 2000.0);
/// Use below which a workspace is forgotten, in milliseconds of slot time.
const FORGET_MS: f64 = 0.01;

/// Whose use a row of a report has.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum ShareOwner {
    /// A workspace.
    Workspace(WorkspaceName),
    /// Requests that belong to no workspace.
    Unnamed,
    /// The sum of all workspaces without a row of their own.
    Rest,
}

/// What a shard was asked for and has given lately, in milliseconds of slot time per second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShareUse {
    /// Whose use it is.
    pub owner: ShareOwner,
    /// The priority of the workspace; that of the first one summed up for [`ShareOwner::Rest`].
    pub priority: u8,
    /// Slot time asked for, in milliseconds per second.
    pub asked_ms_per_s: f64,
    /// Slot time given, in milliseconds per second.
    pub given_ms_per_s: f64,
}

impl ShareUse {
    // Rates at or above zero; a peer may send anything.
    fn is_valid(&self) -> bool {
        let is_rate = |rate: f64| rate.is_finite() && rate >= 0.0;
        is_rate(self.asked_ms_per_s) && is_rate(self.given_ms_per_s)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    priority: u8,
    asked: Decayed,
    given: Decayed,
}

/// A workspace has been beyond its share for a while, or no longer is.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareNews {
    /// The workspace, if the requests belong to one.
    pub workspace: Option<WorkspaceName>,
    /// Whether it is beyond its share now.
    pub is_beyond: bool,
    /// Slot time that it asks for at this shard, in milliseconds per second.
    pub asked_ms_per_s: f64,
    /// Slot time that it is given at this shard, in milliseconds per second.
    pub given_ms_per_s: f64,
}

/// The time in which requests of a workspace have been marked.
#[derive(Clone, Copy, Debug)]
struct Beyond {
    since: Timestamp,
    last: Timestamp,
    is_told: bool,
}

/// A granted request whose slot time is an estimate until it ends.
#[derive(Clone, Debug)]
struct Open {
    workspace: Option<WorkspaceName>,
    slot_ms: f64,
    since: Timestamp,
}

struct Report {
    at: Timestamp,
    rows: Vec<ShareUse>,
}

/// What a workspace was given and asks for over all shards, in milliseconds of slot time.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    priority: u8,
    weight: f64,
    given: f64,
    // The part of `given` that the present slots could give.
    supply: f64,
    // Own queue, in milliseconds of slot time.
    queued: f64,
    asked: f64,
}

impl Flow {
    fn demand(&self) -> f64 {
        self.asked.max(self.given + self.queued)
    }
}

/// The use of slot time by the workspaces of one pool.
#[derive(Default)]
pub(crate) struct Shares {
    uses: IndexMap<Option<WorkspaceName>, Use>,
    open: IndexMap<OfferId, Open>,
    reports: IndexMap<PoolName, Report>,
    // Workspaces with marked requests lately; at most `MAX_WORKSPACES`.
    beyond: IndexMap<Option<WorkspaceName>, Beyond>,
}

/// Weights of workspaces; the weight of those that are not named is 1.
pub(crate) type Weights = IndexMap<WorkspaceName, f64>;

impl Shares {
    /// Counts a request that was queued at `now` and whose slot time is known.
    pub fn ask(&mut self, w: &Waiting, now: Timestamp) {
        let use_ = self.use_of(&w.offer.workspace, w.offer.rank);
        use_.asked.add(w.slot_ms, now);
    }

    /// Takes back what was counted for a request that is withdrawn, such as one that got its slot
    /// at another shard.
    pub fn withdraw(&mut self, w: &Waiting, now: Timestamp) {
        let ms = w.slot_ms * decay(now - w.queued_at);
        if let Some(u) = self.uses.get_mut(&w.offer.workspace) {
            u.asked.add(-ms, now);
        }
    }

    /// Counts a request that was granted a slot.
    pub fn give(&mut self, w: &Waiting, now: Timestamp) {
        let slot_ms = w.slot_ms.max(UNKNOWN_SLOT_MS);
        let use_ = self.use_of(&w.offer.workspace, w.offer.rank);
        use_.given.add(slot_ms, now);
        let open = Open {
            workspace: w.offer.workspace.clone(),
            slot_ms,
            since: now,
        };
        self.open.insert(w.id, open);
    }

    /// Corrects the slot time of a request that has ended. Returns its expected and its measured
    /// slot time, in milliseconds.
    pub fn finish(&mut self, id: OfferId, now: Timestamp) -> Option<(f64, f64)> {
        let open = self.open.swap_remove(&id)?;
        let held_ms = (now - open.since).clamp(0.0, open.slot_ms * MAX_CORRECTION);
        let correction = (held_ms - open.slot_ms) * decay(now - open.since);
        if let Some(u) = self.uses.get_mut(&open.workspace) {
            u.given.add(correction, now);
            u.asked.add(correction, now);
        }
        Some((open.slot_ms, now - open.since))
    }

    /// Slot time that a workspace is given, in milliseconds per millisecond.
    pub fn rate(&self, workspace: &Option<WorkspaceName>, now: Timestamp) -> f64 {
        let given = self.uses.get(workspace).map_or(0.0, |u| u.given.get(now));
        given / DECAY_MS
    }

    fn use_of(&mut self, workspace: &Option<WorkspaceName>, rank: Rank) -> &mut Use {
        if !self.uses.contains_key(workspace) {
            self.forget_smallest();
            self.uses.insert(workspace.clone(), Use::default());
        }
        let use_ = &mut self.uses[workspace];
        use_.priority = rank.workspace;
        use_
    }

    fn forget_smallest(&mut self) {
        if self.uses.len() < MAX_WORKSPACES {
            return;
        }
        let newest = self
            .uses
            .values()
            .map(|u| u.asked.changed_at().0.max(u.given.changed_at().0));
        let now = Timestamp(newest.fold(0.0, f64::max));
        let size = |u: &Use| u.asked.get(now).max(u.given.get(now));
        self.uses.retain(|_, u| size(u) > FORGET_MS);
        if self.uses.len() >= MAX_WORKSPACES {
            let sizes = self.uses.values().map(size).enumerate();
            if let Some((index, _)) = sizes.min_by(|a, b| a.1.total_cmp(&b.1)) {
                self.uses.swap_remove_index(index);
            }
        }
    }

    /// The use of slot time, the largest rows first and the rest summed up.
    pub fn report(&self, now: Timestamp) -> Vec<ShareUse> {
        let per_s = |d: Decayed| d.get(now) * 1000.0 / DECAY_MS;
        let rows = self.uses.iter().map(|(workspace, u)| ShareUse {
            owner: workspace
                .clone()
                .map_or(ShareOwner::Unnamed, ShareOwner::Workspace),
            priority: u.priority,
            asked_ms_per_s: per_s(u.asked).max(per_s(u.given)),
            given_ms_per_s: per_s(u.given),
        });
        let mut rows: Vec<_> = rows.filter(|r| r.asked_ms_per_s > FORGET_MS).collect();
        rows.sort_by(|a, b| b.asked_ms_per_s.total_cmp(&a.asked_ms_per_s));
        let rest = rows.split_off(rows.len().min(MAX_ROWS));
        let sum = rest.into_iter().reduce(|sum, r| ShareUse {
            owner: ShareOwner::Rest,
            priority: sum.priority,
            asked_ms_per_s: sum.asked_ms_per_s + r.asked_ms_per_s,
            given_ms_per_s: sum.given_ms_per_s + r.given_ms_per_s,
        });
        rows.extend(sum.map(|sum| ShareUse {
            owner: ShareOwner::Rest,
            ..sum
        }));
        rows
    }

    /// Takes the report of another shard, `age_ms` old. Returns the number of rows that were invalid
    /// or too many.
    pub fn learn(
        &mut self,
        shard: &PoolName,
        age_ms: f64,
        mut rows: Vec<ShareUse>,
        now: Timestamp,
    ) -> usize {
        let count = rows.len();
        rows.retain(ShareUse::is_valid);
        rows.truncate(MAX_ROWS + 1);
        let ignored = count - rows.len();
        let at = match age_ms.is_finite() {
            true => now + -age_ms.max(0.0),
            false => return count,
        };
        self.reports.retain(|_, r| now - r.at < MAX_REPORT_AGE_MS);
        if self.reports.get(shard).is_some_and(|r| r.at > at) {
            return ignored;
        }
        if self.reports.len() >= MAX_SHARDS && !self.reports.contains_key(shard) {
            return count;
        }
        self.reports.insert(shard.clone(), Report { at, rows });
        ignored
    }

    /// Marks the waiting requests, which are in service order, by how far they are beyond the share
    /// of their workspace, in a pool with `slots` usable slots. Returns whether any is.
    pub fn mark(
        &mut self,
        waiting: &mut [Waiting],
        weights: &Weights,
        slots: f64,
        now: Timestamp,
    ) -> bool {
        let one = waiting.first().map(|w| &w.offer.workspace);
        if waiting.iter().all(|w| Some(&w.offer.workspace) == one) {
            return false;
        }
        let flows = self.flows(waiting, weights, slots, now);
        let mut levels: IndexMap<u8, f64> = IndexMap::new();
        for f in flows.values() {
            let same = flows.values().filter(|g| g.priority == f.priority);
            let level = levels.entry(f.priority);
            level.or_insert_with(|| water_level(same.copied().collect()));
        }
        let mut ahead: IndexMap<Option<WorkspaceName>, f64> = IndexMap::new();
        let mut any = false;
        for w in waiting.iter_mut() {
            let ahead = match ahead.get_mut(&w.offer.workspace) {
                Some(ms) => ms,
                None => ahead.entry(w.offer.workspace.clone()).or_insert(0.0),
            };
            let Some(f) = flows.get(&w.offer.workspace) else {
                continue;
            };
            let start = (f.given + *ahead) / f.weight;
            *ahead += w.slot_ms.max(UNKNOWN_SLOT_MS);
            w.mark = w.mark.max(mark(start, levels[&f.priority]));
            any |= w.mark > 0;
        }
        for w in waiting.iter().filter(|w| w.mark > 0 && !w.repeats_early) {
            self.record_beyond(&w.offer.workspace, now);
        }
        any
    }

    fn record_beyond(&mut self, workspace: &Option<WorkspaceName>, now: Timestamp) {
        let has_room = self.beyond.len() < MAX_WORKSPACES;
        match self.beyond.get_mut(workspace) {
            Some(b) => b.last = now,
            None if has_room => {
                let beyond = Beyond {
                    since: now,
                    last: now,
                    is_told: false,
                };
                self.beyond.insert(workspace.clone(), beyond);
            }
            None => (),
        }
    }

    /// Which workspaces have come to be beyond their shares, or are within them again, since the
    /// last call.
    pub fn news(&mut self, now: Timestamp) -> Vec<ShareNews> {
        let (beyond_ms, within_ms) = NEWS_MS;
        let mut changed = Vec::new();
        for (workspace, b) in &mut self.beyond {
            let is_over = now - b.last > within_ms;
            if is_over && b.is_told || !is_over && !b.is_told && b.last - b.since > beyond_ms {
                b.is_told = !is_over;
                changed.push((workspace.clone(), !is_over));
            }
        }
        self.beyond.retain(|_, b| now - b.last <= within_ms);
        let per_s = 1000.0 / DECAY_MS;
        let news = changed.into_iter().map(|(workspace, is_beyond)| {
            let u = self.uses.get(&workspace).copied().unwrap_or_default();
            ShareNews {
                workspace,
                is_beyond,
                asked_ms_per_s: u.asked.get(now) * per_s,
                given_ms_per_s: u.given.get(now) * per_s,
            }
        });
        news.collect()
    }

    // All workspaces with recent use at any shard, and those that wait here.
    fn flows(
        &self,
        waiting: &[Waiting],
        weights: &Weights,
        slots: f64,
        now: Timestamp,
    ) -> IndexMap<Option<WorkspaceName>, Flow> {
        let weight = |workspace: &Option<WorkspaceName>| {
            let weight = workspace.as_ref().and_then(|w| weights.get(w));
            weight.copied().unwrap_or(1.0)
        };
        let given: f64 = self.uses.values().map(|u| u.given.get(now)).sum();
        let supplied = (slots * DECAY_MS / given.max(FORGET_MS)).min(1.0);
        let mut flows: IndexMap<_, Flow> = IndexMap::new();
        for (workspace, u) in &self.uses {
            let flow = Flow {
                priority: u.priority,
                weight: weight(workspace),
                given: u.given.get(now),
                supply: u.given.get(now) * supplied,
                asked: u.asked.get(now),
                queued: 0.0,
            };
            flows.insert(workspace.clone(), flow);
        }
        let reports = self.reports.values();
        let recent = reports.filter(|r| now - r.at < MAX_REPORT_AGE_MS);
        for row in recent.flat_map(|r| &r.rows) {
            let workspace = match &row.owner {
                ShareOwner::Workspace(w) => Some(w.clone()),
                ShareOwner::Unnamed => None,
                // Too small to be beyond their shares: what they get is not available to others.
                ShareOwner::Rest => continue,
            };
            let f = flows.entry(workspace).or_insert_with_key(|w| Flow {
                priority: row.priority,
                weight: weight(w),
                ..Flow::default()
            });
            f.given += row.given_ms_per_s * DECAY_MS / 1000.0;
            f.supply += row.given_ms_per_s * DECAY_MS / 1000.0;
            f.asked += row.asked_ms_per_s * DECAY_MS / 1000.0;
        }
        for w in waiting {
            if let Some(f) = flows.get_mut(&w.offer.workspace) {
                f.queued += w.slot_ms.max(UNKNOWN_SLOT_MS);
            }
        }
        flows
    }
}

/// The slot time per weight up to which each flow gets what it demands, if all together get what
/// they were given lately, less what was given by slots that are gone.
fn water_level(mut flows: Vec<Flow>) -> f64 {
    let per_weight = |f: &Flow| f.demand() / f.weight;
    flows.sort_by(|a, b| per_weight(a).total_cmp(&per_weight(b)));
    let mut left: f64 = flows.iter().map(|f| f.supply).sum();
    let mut weight: f64 = flows.iter().map(|f| f.weight).sum();
    for f in &flows {
        let level = left / weight;
        if per_weight(f) >= level {
            return level;
        }
        left -= f.demand();
        weight -= f.weight;
    }
    f64::INFINITY
}

fn mark(start: f64, level: f64) -> u8 {
    match start / level {
        ratio if ratio > 1.0 => (ratio.ln() / MARK_RATIO.ln()).ceil().min(MAX_MARK) as u8,
        _ => 0,
    }
}
