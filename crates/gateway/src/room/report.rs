//! When rooms are reported, and to whom.

use indexmap::IndexMap;
use rwd_placement::{Room, Timestamp};
use rwd_types::{InstanceName, PoolName};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ShardKey;
use crate::shards::Shard;

/// Maximum number of shards whose schedulers get the report of one.
pub const MAX_REPORTED_SHARDS: usize = 16;
/// Every how many periods a calm shard is reported.
const CALM_PERIODS: u32 = 3;
/// Change of the free slots that is reported at once, as a fraction.
const NEWS_FRACTION: f64 = 0.25;
/// Least time between two lists of rooms for one home node and shard, in milliseconds.
const RELAY_MS: f64 = 100.0;
/// The same while the home node's requests get slots at once, in milliseconds.
const CALM_RELAY_MS: f64 = 500.0;
/// Maximum number of pairs of home node and shard that are remembered.
const MAX_RELAYS: usize = 4096;
/// Time without a spilled request after which spilling has ended, in milliseconds.
const SPILL_END_MS: f64 = 5000.0;

/// The shards that get the report of `shard`: all others of the pool if they are few, otherwise
/// the first by rendezvous hashing.
pub fn report_receivers<'a>(shard: &PoolName, shards: &'a [Shard]) -> Vec<&'a Shard> {
    let key = u64::from(ShardKey::of(shard).0);
    let mut others: Vec<_> = shards.iter().filter(|s| s.name != *shard).collect();
    others.sort_by_cached_key(|s| Reverse(xxh3_64_with_seed(s.name.as_str().as_bytes(), key)));
    others.truncate(MAX_REPORTED_SHARDS);
    others
}

/// Spaces out the reports of shards; bounded by the shards that a node schedules.
#[derive(Default)]
pub struct ReportPacer {
    // The last reported room and the periods since.
    last: IndexMap<PoolName, (Room, u32)>,
}

impl ReportPacer {
    /// Whether the room of a shard is to be reported in this period.
    pub fn is_due(&mut self, shard: &PoolName, room: Room) -> bool {
        let last = self.last.get_mut(shard);
        let is_due = last.is_none_or(|(last, periods)| {
            *periods += 1;
            let change = f64::from(room.free.abs_diff(last.free));
            let is_busy = room.free == 0 || room.waiting > 0;
            let is_news = change > 1.0 && change > f64::from(last.free) * NEWS_FRACTION;
            is_busy || is_news || *periods >= CALM_PERIODS
        });
        if is_due {
            self.last.insert(shard.clone(), (room, 0));
        }
        is_due
    }

    /// Forgets shards that are not in `reported`.
    pub fn retain(&mut self, reported: &[PoolName]) {
        self.last.retain(|shard, _| reported.contains(shard));
    }
}

/// Spaces out the rooms that home nodes get with replies.
#[derive(Default)]
pub struct RoomRelay {
    last: IndexMap<(InstanceName, ShardKey), Timestamp>,
}

impl RoomRelay {
    /// Whether the reply to a home node carries rooms; `granted` if it has a slot at once.
    pub fn is_due(
        &mut self,
        home: &InstanceName,
        shard: ShardKey,
        granted: bool,
        now: Timestamp,
    ) -> bool {
        let period_ms = match granted {
            true => CALM_RELAY_MS,
            false => RELAY_MS,
        };
        let key = (home.clone(), shard);
        if self.last.get(&key).is_some_and(|t| now - *t < period_ms) {
            return false;
        }
        if self.last.len() >= MAX_RELAYS && !self.last.contains_key(&key) {
            self.last.swap_remove_index(0);
        }
        self.last.insert(key, now);
        true
    }
}

/// The pools of which this node sends requests to other zones.
#[derive(Default)]
pub struct Spills {
    last: IndexMap<PoolName, Timestamp>,
}

impl Spills {
    /// Records that a request of a pool went to another zone; returns whether that is new.
    pub fn record(&mut self, pool: &PoolName, now: Timestamp) -> bool {
        self.last.insert(pool.clone(), now).is_none()
    }

    /// Removes and returns the pools of which no request went to another zone lately.
    pub fn take_ended(&mut self, now: Timestamp) -> Vec<PoolName> {
        let ended = self.last.extract_if(.., |_, t| now - *t > SPILL_END_MS);
        ended.map(|(pool, _)| pool).collect()
    }
}
