//! What this node knows about the rooms of shards, shared by its scheduler and its own requests.

use log::{info, warn};
use rwd_placement::{Offer, Room, Timestamp};
use rwd_types::{InstanceName, PoolName};
use rwd_wire::{MAX_ROOM_ROWS, MAX_SHARE_ROWS, ShardReport, ShardRoom};
use std::sync::{Arc, Mutex, MutexGuard};

use crate::clock;
use crate::room::{
    BadRoom, Choice, Choices, ReportPacer, RoomRelay, Rooms, ShardKey, Spills, Stage,
};
use crate::shards::{Shard, Shards};

/// Least time between two log lines about bad rooms, in milliseconds.
const BAD_ROOM_LOG_MS: f64 = 10_000.0;

#[derive(Default)]
struct Inner {
    rooms: Rooms,
    relay: RoomRelay,
    pacer: ReportPacer,
    spills: Spills,
    bad_logged: Option<Timestamp>,
}

/// The rooms of shards.
pub(crate) struct RoomSync {
    shards: Arc<Shards>,
    inner: Mutex<Inner>,
}

impl RoomSync {
    pub fn new(shards: Arc<Shards>) -> Self {
        Self {
            shards,
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Learns the room of a shard that this node schedules.
    pub fn learn_own(&self, shard: &PoolName, room: Room) {
        self.learn(&[ShardRoom {
            shard: ShardKey::of(shard).0,
            room,
            age_ms: 0,
        }]);
    }

    /// Learns rooms that a scheduler has sent.
    pub fn learn(&self, rows: &[ShardRoom]) {
        let now = clock::now();
        let mut inner = self.lock();
        let (rows_len, max) = (rows.len() as u64, MAX_ROOM_ROWS as u64);
        inner.log_bad(BadRoom::check("rooms", rows_len, max), now);
        for row in rows.iter().take(MAX_ROOM_ROWS) {
            let learned = inner.rooms.learn(row, now);
            inner.log_bad(learned, now);
        }
    }

    /// Learns the report of a shard. Returns whether its rows of workspaces are within bounds.
    pub fn learn_report(&self, report: &ShardReport) -> bool {
        self.learn(&[ShardRoom {
            shard: ShardKey::of(&report.shard).0,
            room: report.room,
            age_ms: report.age_ms,
        }]);
        let shares = report.shares.len() as u64;
        let checked = BadRoom::check("shares", shares, MAX_SHARE_ROWS as u64);
        self.lock().log_bad(checked, clock::now());
        checked.is_ok()
    }

    /// Whether the reply to a home node's offer carries rooms.
    pub fn is_relay_due(&self, home: &InstanceName, shard: &PoolName, granted: bool) -> bool {
        let key = ShardKey::of(shard);
        self.shards.is_split(shard) && self.lock().relay.is_due(home, key, granted, clock::now())
    }

    /// Rooms of the shards of a pool, that of `shard` first.
    pub fn relay(&self, shard: &PoolName) -> Vec<ShardRoom> {
        let shards = self.shards.siblings(shard);
        let keys = shards.iter().map(|s| ShardKey::of(&s.name));
        let rooms = &self.lock().rooms;
        rooms.rows(ShardKey::of(shard), keys, &mut rand::rng(), clock::now())
    }

    /// Chooses the next shard for a request, and counts the offer.
    pub fn choose(
        &self,
        offer: &Offer,
        shards: &[Shard],
        tried: &[Shard],
        stage: Stage,
    ) -> Option<Choice> {
        let now = clock::now();
        let mut inner = self.lock();
        let choices = Choices {
            rooms: &inner.rooms,
            shards,
            tried,
            offer,
        };
        let choice = choices.next(stage, &mut rand::rng(), now)?;
        let shard = ShardKey::of(&choice.shard.name);
        inner.rooms.record_offer(shard, now);
        Some(choice)
    }

    /// Whether the room of a shard is to be reported in this period.
    pub fn is_report_due(&self, shard: &PoolName, room: Room) -> bool {
        self.lock().pacer.is_due(shard, room)
    }

    /// Logs that a request of a pool went to another zone, if none did lately.
    pub fn record_spill(&self, pool: &PoolName, choice: &Choice) {
        if !self.lock().spills.record(pool, clock::now()) {
            return;
        }
        let room = choice.room;
        info!(
            event = "spilling", pool:%, shard:% = choice.shard.name, reason:% = choice.reason,
            own_wait_ms:? = choice.own_wait_ms, free:? = room.map(|r| r.room.free),
            wait_ms:? = room.map(|r| r.room.wait_ms), age_ms:? = room.map(|r| r.age_ms as u64);
            "requests go to other zones from now on"
        );
    }

    /// Ends a period of reports: forgets shards that are not reported any more, and logs which
    /// pools stay in the zone again.
    pub fn end_period(&self, reported: &[PoolName]) {
        let mut inner = self.lock();
        inner.pacer.retain(reported);
        for pool in inner.spills.take_ended(clock::now()) {
            info!(event = "spilling_ended", pool:%; "requests stay in the zone again");
        }
    }
}

impl Inner {
    fn log_bad(&mut self, result: crate::room::Result<()>, now: Timestamp) {
        let Err(e) = result else { return };
        if self.bad_logged.is_none_or(|t| now - t > BAD_ROOM_LOG_MS) {
            self.bad_logged = Some(now);
            warn!(event = "bad_room", field = e.field, error:% = e; "a peer reports a room that cannot be; ignoring the row");
        }
    }
}
