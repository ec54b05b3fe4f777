//! The timer under tokio's paused clock.

use rwd_timer::Timer;
use std::time::Duration;
use tokio::time::{Instant, sleep};

#[tokio::test(start_paused = true)]
async fn each_subscriber_gets_its_own_period() {
    let timer = Timer::start();
    let start = Instant::now();
    let mut quick = timer.every(Duration::from_millis(10));
    let mut slow = timer.every(Duration::from_millis(35));
    for n in 1..=3 {
        quick.tick().await;
        assert_eq!(start.elapsed(), Duration::from_millis(10 * n));
    }
    slow.tick().await;
    assert_eq!(start.elapsed(), Duration::from_millis(35));
}

#[tokio::test(start_paused = true)]
async fn missed_ticks_are_coalesced() {
    let timer = Timer::start();
    let mut ticks = timer.every(Duration::from_millis(10));
    sleep(Duration::from_millis(95)).await;
    ticks.tick().await;
    let caught_up = Instant::now();
    ticks.tick().await;
    assert_eq!(caught_up.elapsed(), Duration::from_millis(5));
}

#[tokio::test(start_paused = true)]
async fn ticks_continue_after_the_handle_is_dropped() {
    let timer = Timer::start();
    let mut ticks = timer.every(Duration::from_millis(10));
    drop(timer);
    ticks.tick().await;
    ticks.tick().await;
}
