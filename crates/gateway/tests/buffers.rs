//! The budget for buffered bytes of responses.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rwd_gateway::BufferBudget;

const BUDGET: usize = 1_000_000;

/// Guards against responses without end that together exceed the memory of a node, or that leave no room
/// for a small one.
#[test]
fn responses_without_end_stay_within_the_budget_and_leave_room() {
    for count in [1, 7, 100, 1000] {
        let budget = BufferBudget::new(BUDGET);
        let mut endless: Vec<_> = (0..count).map(|_| (budget.reserve(), 0)).collect();
        loop {
            let mut grown = 0;
            for (reservation, bytes) in &mut endless {
                if reservation.resize(*bytes + 100).is_ok() {
                    *bytes += 100;
                    grown += 1;
                }
            }
            if grown == 0 {
                break;
            }
        }
        assert!(budget.used() <= BUDGET, "{count}: {}", budget.used());
        // Each holds as much as is left, and of that half may be taken; less what one step adds.
        let room = BUDGET / (count + 1) / 2 - 100;
        assert!(budget.reserve().resize(room).is_ok(), "{count}");
        drop(endless);
        assert_eq!(budget.used(), 0);
    }
}

#[test]
fn the_budget_holds_what_is_reserved_whatever_the_order() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let cfg = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let steps = proptest::collection::vec((0..8_usize, 0..400_000_usize), 1..60);
    let check = |steps: Vec<(usize, usize)>| {
        let budget = BufferBudget::new(BUDGET);
        let mut held: Vec<_> = (0..8).map(|_| (Some(budget.reserve()), 0)).collect();
        for (n, bytes) in steps {
            let (reservation, size) = &mut held[n];
            match reservation.take() {
                Some(_) if bytes % 5 == 0 => *size = 0,
                Some(mut r) => {
                    if r.resize(bytes).is_ok() {
                        *size = bytes;
                    }
                    *reservation = Some(r);
                }
                None => *reservation = Some(budget.reserve()),
            }
            let sum: usize = held.iter().map(|(_, size)| size).sum();
            prop_assert_eq!(budget.used(), sum);
            prop_assert!(sum <= BUDGET);
        }
        Ok(())
    };
    TestRunner::new_with_rng(cfg, rng)
        .run(&steps, check)
        .unwrap();
}

#[test]
fn bytes_hold_their_reservation_until_the_last_copy_is_dropped() {
    let budget = BufferBudget::new(BUDGET);
    let mut reservation = budget.reserve();
    reservation.resize(5).unwrap();
    let bytes = reservation.attach(&b"hello"[..]);
    let copy = bytes.clone();
    assert_eq!((&copy[..], budget.used()), (&b"hello"[..], 5));
    drop(bytes);
    assert_eq!(budget.used(), 5);
    drop(copy);
    assert_eq!(budget.used(), 0);
}
