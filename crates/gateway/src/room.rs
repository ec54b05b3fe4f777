//! Decides which shards of a pool a request is offered to.
//!
//! Zones have their demand and their failures at different times, and each has a shard of its own.
//! A request that waits in its zone goes where a slot is free if the time that this gains is worth
//! the bytes between zones. The module does no I/O and reads no clock.

mod report;
mod table;

pub use report::{MAX_REPORTED_SHARDS, ReportPacer, RoomRelay, Spills, report_receivers};
pub use table::{BadRoom, Result, RoomView, Rooms};

use derive_more::Display;
use rand::{Rng, RngExt};
use rwd_placement::{Offer, Room, Scheduler, ShareUse, Timestamp};
use rwd_types::{PoolName, ZoneName};
use rwd_wire::{MAX_SHARE_ROWS, ShardReport};
use xxhash_rust::xxh3::xxh3_64;

use crate::shards::Shard;

/// Number of shards at which one request is queued.
pub const MAX_SHARDS: usize = 2;
/// Age above which a room counts as unknown, in milliseconds: a calm report, a relayed reply and
/// their way.
pub const MAX_ROOM_AGE_MS: f64 = 1200.0;
/// Cost of a request to another zone, in milliseconds of response time.
const CROSS_ZONE_MS: f64 = 15.0;
/// Time to read a token of the prefix again at a target that does not have it, in milliseconds.
const PREFILL_MS_PER_TOKEN: f64 = 0.03;
/// Fraction of a request's latency objective that is kept as slack.
const SLACK_FRACTION: f64 = 0.2;
/// Ratio between the value of time of one route priority and the next lower one.
const VALUE_RATIO: f64 = 0.5;
/// Lowest value of time, as a fraction of the highest.
const MIN_VALUE: f64 = 0.125;
/// Expected wait at a shard whose free slots were all taken by this node since its report, in
/// milliseconds.
const TAKEN_WAIT_MS: f64 = 100.0;

/// Identifies a shard in messages: the hash of its name.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ShardKey(pub u32);

impl ShardKey {
    /// The key of the shard with this name.
    pub fn of(name: &PoolName) -> Self {
        Self(xxh3_64(name.as_str().as_bytes()) as u32)
    }
}

/// What has become of a request so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// It has been offered to no shard.
    New,
    /// It is queued at the only shard that it was offered to.
    Queued {
        /// For how long, in milliseconds.
        waited_ms: f64,
    },
    /// All shards that it was offered to declined it or were lost.
    Declined,
}

/// Why a request is offered to a shard.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Reason {
    /// The shard is in the home node's zone.
    #[display("home")]
    Home,
    /// The home node's zone has no shard of the pool.
    #[display("no_shard")]
    NoShard,
    /// The request is queued elsewhere and gains time.
    #[display("queued")]
    Queued,
    /// The shard before declined the request.
    #[display("declined")]
    Declined,
}

/// A shard to offer a request to.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The shard.
    pub shard: Shard,
    /// Why it was chosen.
    pub reason: Reason,
    /// Its room, if that is known.
    pub room: Option<RoomView>,
    /// Expected wait at the shard that was tried before it, in milliseconds.
    pub own_wait_ms: Option<f64>,
}

/// A request and the shards of its pool, for one decision.
pub struct Choices<'a> {
    /// What is known about the shards.
    pub rooms: &'a Rooms,
    /// The shards of the pool, in the order in which they are tried while no room is known.
    pub shards: &'a [Shard],
    /// The shards that the request was offered to.
    pub tried: &'a [Shard],
    /// The request; its times are those that are left now.
    pub offer: &'a Offer,
}

impl Choices<'_> {
    /// The shard to offer the request to next, if any.
    pub fn next(&self, stage: Stage, rng: &mut impl Rng, now: Timestamp) -> Option<Choice> {
        if self.tried.len() >= MAX_SHARDS {
            return None;
        }
        let home = |s: &&Shard| s.zone.as_ref().is_none_or(|z| *z == self.offer.zone);
        let untried = || self.shards.iter().filter(|s| !self.tried.contains(s));
        let own: Vec<_> = untried().filter(home).collect();
        let all: Vec<_> = untried().collect();
        match stage {
            Stage::New if !own.is_empty() => self.draw(&own, Reason::Home, rng, now),
            Stage::New => self.draw(&all, Reason::NoShard, rng, now),
            Stage::Declined => self.draw(&all, Reason::Declined, rng, now),
            Stage::Queued { waited_ms } => {
                let choice = self.draw(&all, Reason::Queued, rng, now)?;
                let own = self.tried.first().and_then(|s| self.view(s, now));
                // A queue that has held a request for some time may hold it for as long again.
                let own_wait_ms = own.map(|v| v.wait_ms().max(waited_ms));
                let pays = own_wait_ms.is_none_or(|ms| self.pays(&choice, ms));
                pays.then_some(Choice {
                    own_wait_ms,
                    ..choice
                })
            }
        }
    }

    fn view(&self, shard: &Shard, now: Timestamp) -> Option<RoomView> {
        self.rooms.view(ShardKey::of(&shard.name), now)
    }

    // Prefers rooms with free slots, then shards of which nothing is known, then short waits.
    fn draw(
        &self,
        shards: &[&Shard],
        reason: Reason,
        rng: &mut impl Rng,
        now: Timestamp,
    ) -> Option<Choice> {
        let views: Vec<_> = shards.iter().map(|s| (*s, self.view(s, now))).collect();
        let free = |v: &RoomView| v.free_left();
        let speed = |v: &RoomView| 1.0 / (1.0 + v.wait_ms());
        let unknown = views.iter().find(|(_, v)| v.is_none());
        let known = || views.iter().filter_map(|(s, v)| v.map(|v| (*s, v)));
        let drawn = self.better_of_two(known(), free, rng);
        let drawn = drawn.map(|(s, v)| (s, Some(v)));
        let drawn = drawn.or_else(|| unknown.map(|(s, _)| (*s, None)));
        let (shard, room) = drawn.or_else(|| {
            let (s, v) = self.better_of_two(known(), speed, rng)?;
            Some((s, Some(v)))
        })?;
        Some(Choice {
            shard: shard.clone(),
            reason,
            room,
            own_wait_ms: None,
        })
    }

    // Two draws in proportion to weight: views of the same age at all nodes would otherwise send
    // all work to one shard.
    fn better_of_two<'b>(
        &self,
        known: impl Iterator<Item = (&'b Shard, RoomView)>,
        weight: impl Fn(&RoomView) -> f64,
        rng: &mut impl Rng,
    ) -> Option<(&'b Shard, RoomView)> {
        let known: Vec<_> = known.filter(|(_, v)| weight(v) > 0.0).collect();
        let total: f64 = known.iter().map(|(_, v)| weight(v)).sum();
        let mut draw = || {
            let mut pick = rng.random_range(0.0..1.0) * total;
            let drawn = known.iter().find(|(_, v)| {
                pick -= weight(v);
                pick < 0.0
            });
            // Rounding may leave a rest.
            drawn.or(known.last()).copied()
        };
        let (a, b) = (draw()?, draw()?);
        let cost = |(s, v): &(&Shard, RoomView)| v.wait_ms() + self.move_ms(s);
        match cost(&b) < cost(&a) {
            true => Some(b),
            false => Some(a),
        }
    }

    // Cost of serving the request at a shard instead of the home node's zone, in milliseconds.
    fn move_ms(&self, shard: &Shard) -> f64 {
        if shard.zone.as_ref() == Some(&self.offer.zone) {
            return 0.0;
        }
        // The last part is the request's own and in no cache.
        let shared = self.offer.parts.len().saturating_sub(1);
        let prefix = self.offer.parts.iter().take(shared).map(|p| p.tokens);
        CROSS_ZONE_MS + prefix.map(f64::from).sum::<f64>() * PREFILL_MS_PER_TOKEN
    }

    fn pays(&self, choice: &Choice, own_wait_ms: f64) -> bool {
        let wait_ms = choice.room.map_or(0.0, |v| v.wait_ms());
        let move_ms = self.move_ms(&choice.shard);
        let saves_objective = !self.is_on_time(own_wait_ms) && self.is_on_time(wait_ms + move_ms);
        saves_objective || (own_wait_ms - wait_ms) * self.value() > move_ms
    }

    fn is_on_time(&self, wait_ms: f64) -> bool {
        let first_ms = f64::from(self.offer.prompt) * PREFILL_MS_PER_TOKEN;
        wait_ms + first_ms < self.offer.aim_left_ms * (1.0 - SLACK_FRACTION)
    }

    fn value(&self) -> f64 {
        match self.offer.resumes {
            true => 1.0,
            false => VALUE_RATIO
                .powi(i32::from(self.offer.rank.route))
                .max(MIN_VALUE),
        }
    }
}

impl RoomView {
    /// Free slots that this node has not used since the room was taken.
    pub fn free_left(&self) -> f64 {
        (f64::from(self.room.free) - f64::from(self.sent)).max(0.0)
    }

    /// Expected wait of a new request, in milliseconds.
    pub fn wait_ms(&self) -> f64 {
        match self.room {
            _ if self.free_left() > 0.0 => 0.0,
            Room {
                free: 0, wait_ms, ..
            } => f64::from(wait_ms),
            Room { .. } => TAKEN_WAIT_MS,
        }
    }
}

/// Use of a shard's slots by workspace, for its report.
pub fn share_rows(scheduler: &Scheduler, shard: &PoolName, now: Timestamp) -> Vec<ShareUse> {
    let mut rows = scheduler.share_report(shard, now);
    rows.truncate(MAX_SHARE_ROWS);
    rows
}

/// Passes on what another shard reports about the use of its slots.
///
/// Returns the number of rows that were ignored.
pub fn learn_share_rows(
    scheduler: &mut Scheduler,
    own_shards: &[PoolName],
    report: &ShardReport,
    now: Timestamp,
) -> usize {
    let age_ms = f64::from(report.age_ms);
    let learned = own_shards.iter().map(|shard| {
        scheduler.learn_shares(shard, &report.shard, age_ms, report.shares.clone(), now)
    });
    learned.max().unwrap_or(0)
}

/// Whether a shard lies in another zone than the home node.
pub fn is_further(shard: &Shard, zone: &ZoneName) -> bool {
    shard.zone.as_ref().is_some_and(|z| z != zone)
}
