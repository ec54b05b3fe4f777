//! Who is given up when too much is held for slow readers.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rwd_gateway::{Backlog, Verdict};
use rwd_placement::Timestamp;

/// Guards against a large stream of a caller that reads paying for one that has stopped.
#[test]
fn the_largest_and_longest_stalled_reader_is_given_up() {
    let mut backlog = Backlog::new(1000);
    let [large, stalled, small] = [600, 300, 50].map(|bytes| {
        let id = backlog.add((), Timestamp(0.0));
        assert_eq!(backlog.hold(id, bytes, 0.0, Timestamp(0.0)), Verdict::Held);
        id
    });
    backlog.release(large, 10, Timestamp(4900.0));
    let new = backlog.add((), Timestamp(5000.0));
    let verdict = backlog.hold(new, 100, 0.0, Timestamp(5000.0));
    assert!(matches!(verdict, Verdict::GiveUp { reader, bytes: 300, .. } if reader == stalled));
    // Until its bytes are released nobody else pays, and nothing is held beyond the budget.
    assert_eq!(
        backlog.hold(new, 100, 5000.0, Timestamp(9000.0)),
        Verdict::Wait
    );
    assert_eq!(
        backlog.hold(stalled, 1, 0.0, Timestamp(9000.0)),
        Verdict::Gone
    );
    backlog.release(stalled, 300, Timestamp(9000.0));
    assert_eq!(
        backlog.hold(new, 100, 0.0, Timestamp(9000.0)),
        Verdict::Held
    );
    assert!(!backlog.is_given_up(large) && !backlog.is_given_up(small));
}

/// Guards against callers that are given up for a short burst, and against a wait without end behind
/// callers that read a little now and then.
#[test]
fn a_reader_that_makes_progress_is_given_up_only_after_a_wait() {
    let mut backlog = Backlog::new(1000);
    let reader = backlog.add((), Timestamp(0.0));
    assert_eq!(
        backlog.hold(reader, 990, 0.0, Timestamp(0.0)),
        Verdict::Held
    );
    let new = backlog.add((), Timestamp(0.0));
    for n in 1..=9 {
        let now = f64::from(n) * 100.0;
        backlog.release(reader, 1, Timestamp(now - 10.0));
        assert_eq!(backlog.hold(new, 100, now, Timestamp(now)), Verdict::Wait);
    }
    backlog.release(reader, 1, Timestamp(990.0));
    let verdict = backlog.hold(new, 100, 1000.0, Timestamp(1000.0));
    assert!(matches!(verdict, Verdict::GiveUp { reader: r, .. } if r == reader));
}

/// Guards against bytes that are lost or counted twice, whatever the order of events.
#[test]
fn what_is_held_is_the_sum_over_readers_and_within_the_budget() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut backlog = Backlog::new(10_000);
    let mut held = Vec::new();
    for step in 0..20_000 {
        let now = f64::from(step) * 20.0;
        match rng.random_range(0..4) {
            0 if held.len() < 30 => held.push((backlog.add((), Timestamp(now)), 0)),
            1 if !held.is_empty() => {
                let n = rng.random_range(0..held.len());
                let (id, bytes) = &mut held[n];
                backlog.release(*id, *bytes / 2, Timestamp(now));
                *bytes -= *bytes / 2;
                if *bytes <= 1 || backlog.is_given_up(*id) {
                    backlog.close(*id);
                    backlog.release(*id, *bytes, Timestamp(now));
                    assert!(backlog.get(*id).is_none());
                    held.swap_remove(n);
                }
            }
            _ if !held.is_empty() => {
                let n = rng.random_range(0..held.len());
                let more = rng.random_range(0..3000);
                if backlog.hold(held[n].0, more, 0.0, Timestamp(now)) == Verdict::Held {
                    held[n].1 += more;
                }
            }
            _ => (),
        }
        let sum: usize = held.iter().map(|(_, bytes)| bytes).sum();
        assert_eq!(backlog.held(), sum, "step {step}");
        assert!(backlog.peak() <= backlog.max_bytes());
    }
    assert!(backlog.peak() > 0);
}
