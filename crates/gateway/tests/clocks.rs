//! Stored times after the time of day of a machine is stepped, and stepped back.

use rwd_gateway::UnixClock;
use rwd_placement::Timestamp;

const STEP_MS: f64 = 10_000.0;
const HOUR_MS: f64 = 3_600_000.0;

/// The clock of a running process is stepped between a block's write and its read; the process reads
/// the time of day only at its start, so the block is as old as it is.
#[test]
fn a_block_keeps_its_age_whichever_way_the_clock_is_stepped() {
    let started = Timestamp(5_000.0);
    let clock = UnixClock::new(1.0e12, started);
    let written = started + 60_000.0;
    let since = clock.unix_ms(2_000.0, written);
    assert_eq!(since, 1.0e12 + 58_000.0);
    assert_eq!(clock.age_ms(since, written + HOUR_MS), HOUR_MS + 2_000.0);
}

/// A process starts while its clock is off: ages are off by the step and no more, and never negative.
#[test]
fn a_clock_that_starts_off_is_off_by_no_more_than_the_step() {
    let started = Timestamp(5_000.0);
    let right = UnixClock::new(1.0e12, started);
    let since = right.unix_ms(0.0, started + 1_000.0);
    for step in [-STEP_MS, STEP_MS] {
        let other = UnixClock::new(1.0e12 + step, started);
        let soon = other.age_ms(since, started + 2_000.0);
        assert!((0.0..=1_000.0 + STEP_MS).contains(&soon), "{soon}");
        let later = other.age_ms(since, started + HOUR_MS);
        assert_eq!(later, HOUR_MS - 1_000.0 + step);
    }
}
