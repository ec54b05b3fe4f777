//! What a node knows about the rooms of shards.

use derive_more::{Display, Error};
use indexmap::IndexMap;
use rand::Rng;
use rand::seq::SliceRandom;
use rwd_placement::{MAX_FREE_SLOTS, MAX_WAIT_MS, Room, Timestamp};
use rwd_wire::{MAX_ROOM_ROWS, ShardRoom};
use std::collections::VecDeque;

use super::{MAX_ROOM_AGE_MS, ShardKey};

/// Maximum number of shards whose rooms are kept.
const MAX_KNOWN: usize = 1024;
/// Maximum number of own offers that are remembered for one shard.
const MAX_SENT: usize = 256;

/// A value in a reported room that no scheduler reports.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("{field} is {value}, above {max}")]
pub struct BadRoom {
    /// The field.
    pub field: &'static str,
    /// Its value.
    pub value: u64,
    /// The highest valid value.
    pub max: u64,
}

/// Result of reading reported rooms.
pub type Result<T> = std::result::Result<T, BadRoom>;

impl BadRoom {
    /// Checks that a field is at most `max`.
    ///
    /// # Errors
    ///
    /// Names the field if it is not.
    pub fn check(field: &'static str, value: u64, max: u64) -> Result<()> {
        match value <= max {
            true => Ok(()),
            false => Err(Self { field, value, max }),
        }
    }
}

/// A room at the time of a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomView {
    /// The room.
    pub room: Room,
    /// Time since it was taken, in milliseconds.
    pub age_ms: f64,
    /// Offers that this node has sent there since.
    pub sent: u32,
}

#[derive(Default)]
struct Known {
    // None before the first report.
    taken: Option<(Room, Timestamp)>,
    sent: VecDeque<Timestamp>,
}

/// The rooms of shards that a node has heard of.
#[derive(Default)]
pub struct Rooms {
    known: IndexMap<ShardKey, Known>,
}

impl Rooms {
    /// Learns a room, unless a newer one of its shard is known.
    ///
    /// # Errors
    ///
    /// Names the field that has no valid value; the room that was known before remains.
    pub fn learn(&mut self, row: &ShardRoom, now: Timestamp) -> Result<()> {
        BadRoom::check("free", row.room.free.into(), MAX_FREE_SLOTS.into())?;
        BadRoom::check("wait_ms", row.room.wait_ms.into(), MAX_WAIT_MS.into())?;
        let taken = now + -f64::from(row.age_ms);
        let is_newer = |k: &Known| k.taken.is_none_or(|(_, t)| t < taken);
        let known = self.entry(ShardKey(row.shard));
        if is_newer(known) {
            known.taken = Some((row.room, taken));
            known.sent.retain(|t| *t > taken);
        }
        Ok(())
    }

    /// Counts an offer of this node to a shard.
    pub fn record_offer(&mut self, shard: ShardKey, now: Timestamp) {
        let known = self.entry(shard);
        if known.sent.len() >= MAX_SENT {
            known.sent.pop_front();
        }
        known.sent.push_back(now);
    }

    fn entry(&mut self, shard: ShardKey) -> &mut Known {
        if self.known.len() >= MAX_KNOWN && !self.known.contains_key(&shard) {
            self.known.shift_remove_index(0);
        }
        self.known.entry(shard).or_default()
    }

    /// The room of a shard; `None` if nothing recent is known.
    pub fn view(&self, shard: ShardKey, now: Timestamp) -> Option<RoomView> {
        let known = self.known.get(&shard)?;
        let (room, taken) = known.taken?;
        let age_ms = now - taken;
        (age_ms <= MAX_ROOM_AGE_MS).then_some(RoomView {
            room,
            age_ms,
            sent: known.sent.len() as u32,
        })
    }

    /// Rooms for a home node: that of `own`, and others in random order, those with free slots
    /// first, so that homes do not all hear of the same shards.
    pub fn rows(
        &self,
        own: ShardKey,
        shards: impl Iterator<Item = ShardKey>,
        rng: &mut impl Rng,
        now: Timestamp,
    ) -> Vec<ShardRoom> {
        let row = |shard: ShardKey| {
            let view = self.view(shard, now)?;
            Some(ShardRoom {
                shard: shard.0,
                room: view.room,
                age_ms: view.age_ms.max(0.0) as u32,
            })
        };
        let mut rows: Vec<_> = shards.filter(|s| *s != own).filter_map(row).collect();
        rows.shuffle(rng);
        rows.sort_by_key(|r| r.room.free == 0);
        rows.splice(0..0, row(own));
        rows.truncate(MAX_ROOM_ROWS);
        rows
    }
}
