//! Sizes of the messages about rooms: links of small machines carry them.

use rwd_placement::{MAX_WAIT_MS, Room, ShareOwner, ShareUse};
use rwd_wire::{MAX_ROOM_ROWS, MAX_SHARE_ROWS, Message, ShardReport, ShardRoom, encode};

fn room(n: u32) -> Room {
    Room {
        free: n,
        waiting: n,
        wait_ms: n.min(MAX_WAIT_MS),
    }
}

/// A reply's rooms must not weigh more than the offer itself.
#[test]
fn rooms_of_a_reply_are_at_most_200_bytes() {
    let row = ShardRoom {
        shard: u32::MAX,
        room: room(u32::MAX),
        age_ms: u32::MAX,
    };
    let rooms = Message::Rooms(vec![row; MAX_ROOM_ROWS]);
    assert!(encode(&rooms).unwrap().len() <= 200);
}

/// 16 reports each 0.75 s: 1 KB/s for a scheduler whose shard is calm.
#[test]
fn a_calm_report_is_at_most_48_bytes() {
    let report = ShardReport {
        shard: "essay-review_zone-b_0".parse().unwrap(),
        room: room(200),
        age_ms: 200,
        shares: Vec::new(),
    };
    let bytes = encode(&Message::ShardReport(Box::new(report)));
    assert!(bytes.unwrap().len() <= 48);
}

#[test]
fn a_report_with_names_of_the_greatest_length_is_at_most_1600_bytes() {
    let long = "w".repeat(64);
    let share = ShareUse {
        owner: ShareOwner::Workspace(long.parse().unwrap()),
        priority: u8::MAX,
        asked_ms_per_s: f64::MAX,
        given_ms_per_s: f64::MAX,
    };
    let report = ShardReport {
        shard: long.parse().unwrap(),
        room: room(u32::MAX),
        age_ms: u32::MAX,
        shares: vec![share; MAX_SHARE_ROWS],
    };
    let bytes = encode(&Message::ShardReport(Box::new(report)));
    assert!(bytes.unwrap().len() <= 1600);
}
