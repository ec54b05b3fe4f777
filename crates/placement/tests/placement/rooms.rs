//! The room that a pool reports.

use crate::helper::{at, offer, pool, scheduler, target};
use rwd_placement::{MAX_FREE_SLOTS, SlotOutcome};

/// Fills a pool one request beyond its slots: the wait follows the rate of grants.
#[test]
fn a_full_pool_reports_its_queue_and_a_wait() {
    let mut s = scheduler(vec![target("t1", 2)]);
    assert_eq!(s.room(&pool(), at(0.0)).unwrap().free, 2);
    for _ in 0..3 {
        s.offer(offer(1), at(0.0));
    }
    s.poll(at(0.0));
    let room = s.room(&pool(), at(0.0)).unwrap();
    // 2 grants with a time constant of 2 s; one request is ahead of a new one.
    assert_eq!((room.free, room.waiting, room.wait_ms), (0, 1, 2000));
}

#[test]
fn targets_that_are_down_or_leave_are_no_room() {
    let mut leaving = target("t2", 8);
    leaving.leaving = true;
    let mut s = scheduler(vec![target("t1", 2), leaving]);
    assert_eq!(s.room(&pool(), at(0.0)).unwrap().free, 2);
    let id = s.offer(offer(1), at(0.0));
    s.poll(at(0.0));
    s.finish(id, SlotOutcome::Down, at(1.0));
    assert_eq!(s.room(&pool(), at(2.0)).unwrap().free, 0);
}

/// Six streams of 15,000 tokens fit the memory of a target, whatever slots it lists.
#[test]
fn memory_bounds_the_room() {
    let mut s = scheduler(vec![target("t1", 64)]);
    let mut long = offer(1);
    long.prompt = 14_900;
    s.offer(long, at(0.0));
    s.poll(at(0.0));
    assert_eq!(s.room(&pool(), at(0.0)).unwrap().free, 5);
}

#[test]
fn a_list_that_names_too_many_slots_reports_a_bounded_room() {
    let s = scheduler(vec![target("t1", u32::MAX), target("t2", u32::MAX)]);
    assert_eq!(s.room(&pool(), at(0.0)).unwrap().free, MAX_FREE_SLOTS);
}
