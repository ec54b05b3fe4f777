//! Single choices, by cost, age and stale views.

use crate::helper::{offer, shard};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rwd_gateway::{
    Choice, Choices, MAX_REPORTED_SHARDS, MAX_ROOM_AGE_MS, Reason, ReportPacer, RoomRelay, Rooms,
    ShardKey, Stage, report_receivers,
};
use rwd_placement::{Offer, Room, Timestamp};
use rwd_wire::{MAX_ROOM_ROWS, ShardRoom};

const NOW: Timestamp = Timestamp(1e6);
const QUEUED: Stage = Stage::Queued { waited_ms: 0.0 };

fn rooms(rows: &[(usize, u32, u32)], age_ms: f64) -> Rooms {
    let mut rooms = Rooms::default();
    for (zone, free, wait_ms) in rows {
        let row = ShardRoom {
            shard: ShardKey::of(&shard(*zone).name).0,
            room: Room {
                free: *free,
                waiting: 0,
                wait_ms: *wait_ms,
            },
            age_ms: age_ms as u32,
        };
        rooms.learn(&row, NOW).unwrap();
    }
    rooms
}

fn choose(
    rooms: &Rooms,
    offer: &Offer,
    tried: &[usize],
    stage: Stage,
    seed: u64,
) -> Option<Choice> {
    let shards: Vec<_> = (0..4).map(shard).collect();
    let tried: Vec<_> = tried.iter().map(|z| shard(*z)).collect();
    let choices = Choices {
        rooms,
        shards: &shards,
        tried: &tried,
        offer,
    };
    choices.next(stage, &mut StdRng::seed_from_u64(seed), NOW)
}

/// The chosen zone of a request of zone 0.
fn zone(rooms: &Rooms, offer: &Offer, tried: &[usize], stage: Stage) -> Option<usize> {
    let choice = choose(rooms, offer, tried, stage, 1)?;
    (0..4).find(|z| shard(*z) == choice.shard)
}

#[test]
fn work_comes_home_when_its_zone_has_room_again() {
    let rooms = rooms(&[(0, 1, 0), (1, 50, 0)], 0.0);
    let choice = choose(&rooms, &offer(0), &[], Stage::New, 1).unwrap();
    assert_eq!((choice.shard, choice.reason), (shard(0), Reason::Home));
}

#[test]
fn a_short_wait_is_not_worth_the_bytes_between_zones() {
    let free_elsewhere = |wait| rooms(&[(0, 0, wait), (1, 9, 0), (2, 0, 5), (3, 0, 5)], 0.0);
    assert_eq!(zone(&free_elsewhere(10), &offer(0), &[0], QUEUED), None);
    assert_eq!(zone(&free_elsewhere(200), &offer(0), &[0], QUEUED), Some(1));
}

#[test]
fn a_long_prefix_and_a_low_value_keep_a_request_in_its_zone() {
    let rooms = rooms(&[(0, 0, 60), (1, 9, 0)], 0.0);
    let mut long = offer(0);
    long.parts = vec![long.parts[0]; 30];
    let mut low = offer(0);
    low.rank.route = 4;
    assert_eq!(zone(&rooms, &offer(0), &[0], QUEUED), Some(1));
    assert_eq!(zone(&rooms, &long, &[0], QUEUED), None);
    assert_eq!(zone(&rooms, &low, &[0], QUEUED), None);
}

#[test]
fn a_request_whose_zone_would_miss_the_objective_goes_at_any_value() {
    let rooms = rooms(&[(0, 0, 60), (1, 9, 0)], 0.0);
    let mut urgent = offer(0);
    urgent.rank.route = 4;
    urgent.aim_left_ms = 70.0;
    assert_eq!(zone(&rooms, &urgent, &[0], QUEUED), Some(1));
}

#[test]
fn a_wait_beyond_the_forecast_opens_a_second_shard() {
    let rooms = rooms(&[(0, 0, 10), (1, 9, 0)], 0.0);
    let waited = Stage::Queued { waited_ms: 100.0 };
    assert_eq!(zone(&rooms, &offer(0), &[0], waited), Some(1));
}

#[test]
fn a_declined_request_goes_to_known_room() {
    let rooms = rooms(&[(0, 0, 10), (1, 0, 500), (2, 3, 0)], 0.0);
    assert_eq!(zone(&rooms, &offer(0), &[0], Stage::Declined), Some(2));
    assert_eq!(zone(&rooms, &offer(0), &[0, 2], Stage::Declined), None);
}

/// Without fresh rooms the second shard is any other one, in the shuffled order.
#[test]
fn rooms_that_are_too_old_count_as_unknown() {
    let old = rooms(&[(0, 0, 1), (3, 9, 0)], MAX_ROOM_AGE_MS + 1.0);
    let choice = choose(&old, &offer(0), &[0], QUEUED, 1).unwrap();
    assert_eq!((choice.shard, choice.room), (shard(1), None));
}

/// All homes choose by one view at the oldest age that counts, in proportion to free slots.
#[test]
fn stale_views_fill_no_shard_while_others_have_room() {
    for homes in [84, 390] {
        let free = [homes / 2, homes / 4, homes / 4];
        let rows = [(1, free[0], 0), (2, free[1], 0), (3, free[2], 0)];
        let rooms = rooms(&rows, MAX_ROOM_AGE_MS);
        let mut chosen = [0_u32; 4];
        for seed in 0..u64::from(homes) {
            let choice = choose(&rooms, &offer(0), &[0], Stage::Declined, seed).unwrap();
            chosen[(0..4).find(|z| shard(*z) == choice.shard).unwrap()] += 1;
        }
        for (zone, free, _) in rows {
            let share = f64::from(chosen[zone]) / f64::from(free);
            assert!((0.5..=1.5).contains(&share), "zone {zone}: {chosen:?}");
        }
    }
}

#[test]
fn own_offers_since_the_report_use_up_a_room() {
    let mut rooms = rooms(&[(0, 0, 500), (1, 2, 0), (2, 1, 0)], 100.0);
    for _ in 0..2 {
        rooms.record_offer(ShardKey::of(&shard(1).name), NOW);
    }
    for seed in 0..20 {
        let choice = choose(&rooms, &offer(0), &[0], QUEUED, seed).unwrap();
        assert_eq!(choice.shard, shard(2));
    }
}

#[test]
fn values_that_no_scheduler_reports_are_named_and_change_nothing() {
    let mut rooms = rooms(&[(1, 5, 0)], 100.0);
    let key = ShardKey::of(&shard(1).name);
    let bad = |free, wait_ms| ShardRoom {
        shard: key.0,
        room: Room {
            free,
            waiting: u32::MAX,
            wait_ms,
        },
        age_ms: 0,
    };
    assert_eq!(
        rooms.learn(&bad(u32::MAX, 0), NOW).unwrap_err().field,
        "free"
    );
    assert_eq!(
        rooms.learn(&bad(0, u32::MAX), NOW).unwrap_err().field,
        "wait_ms"
    );
    assert_eq!(rooms.view(key, NOW).unwrap().room.free, 5);
}

#[test]
fn reports_and_replies_name_a_bounded_number_of_shards() {
    let all: Vec<_> = (0..100).map(shard).collect();
    assert_eq!(
        report_receivers(&all[0].name, &all).len(),
        MAX_REPORTED_SHARDS
    );
    let rows: Vec<_> = (0..100).map(|zone| (zone, 1, 0)).collect();
    let keys: Vec<_> = all.iter().map(|s| ShardKey::of(&s.name)).collect();
    let mut rng = StdRng::seed_from_u64(1);
    let rows = rooms(&rows, 0.0).rows(keys[7], keys.iter().copied(), &mut rng, NOW);
    assert_eq!((rows.len(), rows[0].shard), (MAX_ROOM_ROWS, keys[7].0));
}

#[test]
fn a_calm_shard_is_reported_each_third_period_and_a_full_one_in_each() {
    let reports = |room| {
        let mut pacer = ReportPacer::default();
        (0..12)
            .filter(|_| pacer.is_due(&shard(0).name, room))
            .count()
    };
    let free = |free| Room {
        free,
        ..Room::default()
    };
    assert_eq!((reports(free(30)), reports(free(0))), (4, 12));
}

#[test]
fn a_home_gets_rooms_at_most_ten_times_a_second_and_twice_while_it_gets_slots() {
    let replies = |granted| {
        let mut relay = RoomRelay::default();
        let key = ShardKey::of(&shard(0).name);
        let home = "h1".parse().unwrap();
        let at = |ms: u32| NOW + f64::from(ms);
        let is_due = |ms: &u32| relay.is_due(&home, key, granted, at(*ms));
        (0..1000).step_by(5).filter(is_due).count()
    };
    assert_eq!((replies(false), replies(true)), (10, 2));
}
