//! Readers of an answer get all of it in order, from wherever they go on.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rwd_entry::{End, ResponseBuffer, ResponseEvent};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

fn event(id: u64) -> ResponseEvent {
    ResponseEvent {
        id,
        data: format!("e{id}").into(),
    }
}

async fn rest(answer: &Arc<ResponseBuffer>, last: Option<u64>) -> Vec<u64> {
    let mut follow = answer.subscribe(last);
    let mut ids = Vec::new();
    while let Ok(event) = follow.next().await {
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

    // A target that is resumed may repeat events and a broken connection may reorder nothing but
    // cut anywhere; each event is kept once.
    #[test]
    fn repeated_and_late_events_are_kept_once_and_in_order(
        ids in proptest::collection::vec(1..30_u64, 0..60),
        last in proptest::option::of(0..30_u64),
    ) {
        let rt = tokio::runtime::Builder::new_current_thread().build().unwrap();
        rt.block_on(async {
            let answer = Arc::new(ResponseBuffer::default());
            let mut expected: Vec<u64> = Vec::new();
            for id in ids {
                let newer = expected.last().is_none_or(|last| id > *last);
                prop_assert_eq!(answer.push(event(id)), newer);
                if newer {
                    expected.push(id);
                }
            }
            answer.end(End::Whole { status: 200 });
            prop_assert!(!answer.push(event(99)), "nothing follows the end");
            expected.retain(|id| last.is_none_or(|last| *id > last));
            prop_assert_eq!(rest(&answer, last).await, expected);
            Ok(())
        })?;
    }
}

#[tokio::test(start_paused = true)]
async fn the_first_end_counts() {
    let answer = Arc::new(ResponseBuffer::default());
    answer.end(End::Whole { status: 200 });
    answer.end(End::Whole { status: 500 });
    assert_eq!(answer.ended(), Some(End::Whole { status: 200 }));
}

#[tokio::test(start_paused = true)]
async fn an_answer_is_abandoned_only_when_nobody_has_read_it_for_long_enough() {
    let answer = Arc::new(ResponseBuffer::default());
    let grace = Duration::from_secs(10);
    let reader = answer.subscribe(None);
    let waiter = answer.clone();
    let abandoned = tokio::spawn(async move {
        waiter.abandoned(grace).await;
        Instant::now()
    });
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert!(!abandoned.is_finished());
    drop(reader);
    tokio::time::sleep(Duration::from_secs(9)).await;
    let second = answer.subscribe(None);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert!(!abandoned.is_finished());
    drop(second);
    let left = Instant::now();
    assert_eq!(abandoned.await.unwrap() - left, grace);
}
