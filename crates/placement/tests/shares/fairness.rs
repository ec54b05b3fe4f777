//! One workspace sends a multiple of its usual while the pool is short of slots.

use crate::load::{CAPACITY, Play, SLOTS, Tally, size};
use rwd_placement::PlacementSettings;

/// Usual load as a fraction of what the slots serve.
const USUAL: f64 = 0.9;
const HOT: usize = 1;
const HOT_FACTOR: f64 = 7.5;
/// Part of a max-min share that a workspace may miss in a steady state.
const MAX_SHORTFALL: f64 = 0.05;

fn usual(n: usize) -> f64 {
    size(n) * CAPACITY * USUAL
}

fn hot(n: usize) -> f64 {
    match n {
        HOT => usual(n) * HOT_FACTOR,
        _ => usual(n),
    }
}

fn settings(workspace_shares: bool) -> PlacementSettings {
    PlacementSettings {
        workspace_shares,
        ..Default::default()
    }
}

// Max-min fair shares of `total` among flows of equal weight that ask for `asked`.
fn max_min(asked: &[f64], total: f64) -> Vec<f64> {
    let mut sorted = asked.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut left = total;
    let mut level = f64::INFINITY;
    for (n, a) in sorted.iter().enumerate() {
        let even = left / (sorted.len() - n) as f64;
        if *a >= even {
            level = even;
            break;
        }
        left -= a;
    }
    asked.iter().map(|a| a.min(level)).collect()
}

/// The shortfalls of workspaces against their max-min shares, as fractions; one request is no
/// shortfall.
fn shortfalls(tallies: &[Tally]) -> Vec<f64> {
    let asked: Vec<f64> = tallies.iter().map(|t| t.asked).collect();
    let total = tallies.iter().map(|t| t.on_time).sum();
    let shares = max_min(&asked, total);
    let missed = tallies.iter().zip(&shares);
    missed
        .map(|(t, share)| (share - t.on_time - 1.0).max(0.0) / share)
        .collect()
}

fn assert_fair(play: &Play, what: &str) {
    let missed = shortfalls(&play.tallies);
    let worst = missed.iter().copied().fold(0.0, f64::max);
    assert!(
        worst < MAX_SHORTFALL,
        "{what}: a workspace misses {worst:.3} of its share: {:?}",
        play.tallies
    );
}

/// One workspace sends 7.5 times its usual for 20 s, at pools of one to four shards.
#[test]
fn a_hot_workspace_takes_its_max_min_share_and_no_more() {
    for shards in 1..=4 {
        let played = |shares| {
            let mut play = Play::new(shards, settings(shares));
            play.run(4_000.0, usual);
            play.run(2_000.0, hot);
            play.measure(16_000.0, hot);
            play
        };
        let (on, off) = (played(true), played(false));
        assert_fair(&on, "steady state");
        let (with, without) = (on.goodput(), off.goodput());
        assert!(
            with >= without * 0.99,
            "{with} on time, {without} without shares"
        );
        let served = |t: &Tally| t.on_time / t.asked;
        let asked: f64 = on.tallies.iter().map(|t| t.asked).sum();
        let worst = on.tallies.iter().map(served).fold(1.0, f64::min);
        assert!(worst > with / asked / 4.0, "{:?}", on.tallies);
    }
}

/// One of four schedulers is lost while a workspace is hot, and a new one takes over its shard.
#[test]
fn shares_are_back_two_seconds_after_a_scheduler_was_lost() {
    let mut play = Play::new(4, settings(true));
    play.run(6_000.0, hot);
    play.shards[1] = None;
    play.run(2_000.0, hot);
    play.measure(6_000.0, hot);
    assert_fair(&play, "without the shard");
    play.start(1, SLOTS / 4);
    play.run(2_000.0, hot);
    play.measure(6_000.0, hot);
    assert_fair(&play, "with its successor");
}

/// A shard loses its links to the others while a workspace is hot. Each side goes by its own queue.
#[test]
fn a_shard_that_is_cut_off_shares_its_own_slots() {
    let mut play = Play::new(3, settings(true));
    play.run(4_000.0, hot);
    play.connected[0] = false;
    play.run(2_000.0, hot);
    play.measure(8_000.0, hot);
    assert_fair(&play, "cut off");
}

/// Half of the slots are lost while a workspace is hot: the level above which it is beyond its
/// share sinks at once for the order, and in the estimate after the decay.
#[test]
fn shares_are_back_two_seconds_after_half_of_the_slots_were_lost() {
    let mut play = Play::new(1, settings(true));
    play.run(6_000.0, hot);
    play.set_slots(0, SLOTS / 2);
    play.run(2_000.0, hot);
    play.measure(8_000.0, hot);
    assert_fair(&play, "half of the slots");
}

/// A workspace was idle for long and then asks for more than its share: idling has earned it no
/// more than a burst, and the others have their shares within 2 s.
#[test]
fn a_workspace_that_idled_earns_no_lasting_credit() {
    let mut play = Play::new(2, settings(true));
    let others = |n| match n {
        HOT => 0.0,
        // They are short of slots without the idle one, too.
        _ => usual(n) * 2.0,
    };
    play.run(10_000.0, others);
    let all = |n| match n {
        HOT => usual(n) * HOT_FACTOR,
        _ => others(n),
    };
    play.run(2_000.0, all);
    play.measure(8_000.0, all);
    assert_fair(&play, "after idling");
}
