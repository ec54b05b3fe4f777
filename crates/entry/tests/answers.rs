//! Readers of a response get every event once and in order, from any position they resume at.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rwd_entry::{ResponseBuffer, ResponseEnd, ResponseEvent};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

fn event(id: u64) -> ResponseEvent {
    ResponseEvent {
        id,
        data: format!("e{id}").into(),
    }
}

async fn read_ids(buffer: &Arc<ResponseBuffer>, last: Option<u64>) -> Vec<u64> {
    let mut reader = buffer.subscribe(last);
    let mut ids = Vec::new();
    while let Ok(event) = reader.next().await {
        ids.push(event.id);
    }
    ids
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..Config::default()
    })]

    // A resumed target may repeat events. A connection may break anywhere but never reorders
    // events. Each event must be kept once.
    #[test]
    fn repeated_and_late_events_are_kept_once_and_in_order(
        ids in proptest::collection::vec(1..30_u64, 0..60),
        last in proptest::option::of(0..30_u64),
    ) {
        let rt = tokio::runtime::Builder::new_current_thread().build().unwrap();
        rt.block_on(async {
            let buffer = Arc::new(ResponseBuffer::default());
            let mut expected: Vec<u64> = Vec::new();
            for id in ids {
                let newer = expected.last().is_none_or(|last| id > *last);
                prop_assert_eq!(buffer.push(event(id)), newer);
                if newer {
                    expected.push(id);
                }
            }
            buffer.end(ResponseEnd::Complete { status: 200 });
            prop_assert!(!buffer.push(event(99)), "nothing follows the end");
            expected.retain(|id| last.is_none_or(|last| *id > last));
            prop_assert_eq!(read_ids(&buffer, last).await, expected);
            Ok(())
        })?;
    }
}

#[tokio::test(start_paused = true)]
async fn only_the_first_end_takes_effect() {
    let buffer = Arc::new(ResponseBuffer::default());
    buffer.end(ResponseEnd::Complete { status: 200 });
    buffer.end(ResponseEnd::Complete { status: 500 });
    assert_eq!(buffer.ended(), Some(ResponseEnd::Complete { status: 200 }));
}

#[tokio::test(start_paused = true)]
async fn a_response_is_abandoned_after_a_grace_period_without_readers() {
    let buffer = Arc::new(ResponseBuffer::default());
    let grace = Duration::from_secs(10);
    let reader = buffer.subscribe(None);
    let waiter = buffer.clone();
    let abandoned = tokio::spawn(async move {
        waiter.abandoned(grace).await;
        Instant::now()
    });
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert!(!abandoned.is_finished());
    drop(reader);
    tokio::time::sleep(Duration::from_secs(9)).await;
    let second = buffer.subscribe(None);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert!(!abandoned.is_finished());
    drop(second);
    let dropped_at = Instant::now();
    assert_eq!(abandoned.await.unwrap() - dropped_at, grace);
}
