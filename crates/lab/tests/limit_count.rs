//! The rule by which the fakes count requests beyond a limit.

use rwd_lab::site::{Excess, LimitCount};

fn steady(per_s: f64, until_ms: f64) -> LimitCount {
    let mut count = LimitCount::default();
    let mut at = 0.0;
    while at < until_ms {
        count.arrive(at);
        at += 1000.0 / per_s;
    }
    count
}

#[test]
fn windows_count_from_the_settling_time_on() {
    let mut count = steady(10.0, 10_000.0);
    count.name(0.0, Some(2.0));
    let excess = count.excess(3000.0).unwrap();
    assert!(excess.until_ms >= 7000.0 && excess.until_ms < 7200.0);
    assert_eq!((excess.requests, excess.allowed), (40, 17.0));
    assert_eq!(count.excess(9000.0), None);
}

#[test]
fn half_as_many_again_and_five_more_are_allowed() {
    let mut count = steady(3.0, 20_000.0);
    count.name(0.0, Some(2.0));
    assert_eq!(count.excess(3000.0), None);
    for n in 0..6 {
        count.arrive(12_000.0 + f64::from(n));
    }
    assert!(matches!(
        count.excess(3000.0),
        Some(Excess { requests: 18, .. })
    ));
}

#[test]
fn limits_that_change_add_up_and_windows_without_one_do_not_count() {
    let mut count = LimitCount::default();
    count.name(1000.0, Some(4.0));
    count.name(3000.0, Some(1.0));
    count.name(6000.0, None);
    assert_eq!(count.allowance(1000.0, 5000.0), Some(10.0));
    assert_eq!(count.allowance(0.0, 4000.0), None);
    assert_eq!(count.allowance(3000.0, 6500.0), None);
    assert_eq!(count.limit_at(5999.0), Some(1.0));
    assert_eq!(count.limit_at(6000.0), None);
}
