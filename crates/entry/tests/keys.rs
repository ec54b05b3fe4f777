//! A key is admitted once, whatever has been evicted; a witness gives one verdict per key.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rwd_entry::{Admission, KeyTable, KeyTableSettings, Witness};
use rwd_types::{Incarnation, KeyPrefix, RequestKey, SessionId, WorkspaceName};
use rwd_wire::Verdict;
use std::collections::HashSet;
use std::time::Duration;
use tokio::time::advance;

fn key(session: u64, sequence: u64) -> RequestKey {
    RequestKey {
        prefix: KeyPrefix {
            home: "h".parse().unwrap(),
            incarnation: Incarnation(1),
            session: SessionId(session),
            witness: Some(("w".parse().unwrap(), Incarnation(7))),
        },
        sequence,
    }
}

fn workspace() -> WorkspaceName {
    "ws".parse().unwrap()
}

fn small_table() -> KeyTable {
    KeyTable::new(KeyTableSettings {
        max_sessions: 3,
        max_response_bytes: 100,
        retention: Duration::from_secs(10),
    })
}

#[tokio::test(start_paused = true)]
async fn a_key_is_new_once_then_known_then_expired() {
    let table = small_table();
    assert!(matches!(
        table.admit(&workspace(), &key(1, 5), Some(1)),
        Admission::New(_)
    ));
    assert!(matches!(
        table.admit(&workspace(), &key(1, 5), Some(1)),
        Admission::Known(_)
    ));
    assert!(matches!(
        table.admit(&workspace(), &key(1, 5), None),
        Admission::Known(_)
    ));
    assert!(matches!(
        table.admit(&workspace(), &key(1, 5), Some(2)),
        Admission::Reused
    ));
    table.ended(&workspace(), &key(1, 5), 10);
    advance(Duration::from_secs(10)).await;
    table.expire();
    assert!(matches!(
        table.admit(&workspace(), &key(1, 5), Some(1)),
        Admission::Expired
    ));
    assert!(
        matches!(
            table.admit(&workspace(), &key(1, 3), Some(1)),
            Admission::Expired
        ),
        "below the watermark"
    );
    assert!(matches!(
        table.admit(&workspace(), &key(1, 6), Some(1)),
        Admission::New(_)
    ));
}

#[tokio::test(start_paused = true)]
async fn resuming_under_an_unknown_key_admits_nothing() {
    let table = small_table();
    assert!(matches!(
        table.admit(&workspace(), &key(1, 1), None),
        Admission::Expired
    ));
    assert!(matches!(
        table.admit(&workspace(), &key(1, 1), Some(1)),
        Admission::New(_)
    ));
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(19),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_key_is_admitted_twice(
        steps in proptest::collection::vec((0..8_u64, 0..6_u64, 0..40_usize, 0..4000_u64), 1..200),
    ) {
        let rt = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
        rt.block_on(async {
            let table = small_table();
            let mut admitted = HashSet::new();
            for (session, sequence, bytes, ms) in steps {
                let key = key(session, sequence);
                if let Admission::New(_) = table.admit(&workspace(), &key, Some(1)) {
                    prop_assert!(admitted.insert(key.clone()), "{key} was admitted twice");
                    table.ended(&workspace(), &key, bytes);
                }
                advance(Duration::from_millis(ms)).await;
                table.expire();
                let (sessions, _) = table.sizes();
                prop_assert!(sessions <= 8);
            }
            Ok(())
        })?;
    }

    // Home nodes record keys while callers close them. At most one side may ever win a key, even
    // if the witness evicts prefixes.
    #[test]
    fn a_key_is_either_run_or_closed(
        steps in proptest::collection::vec((0..4_u64, 0..5_u64, any::<bool>()), 1..200),
    ) {
        let witness = Witness::default();
        let mut may_run = HashSet::new();
        let mut never_runs = HashSet::new();
        for (session, sequence, home) in steps {
            let key = key(session, sequence);
            let own = |incarnation| incarnation == Incarnation(7);
            match home {
                true => if witness.record(&key, own) == Verdict::Recorded {
                    may_run.insert(key.clone());
                },
                false => if witness.close(&key, own) == Verdict::Closed {
                    never_runs.insert(key.clone());
                },
            }
            prop_assert!(may_run.is_disjoint(&never_runs));
        }
    }
}

#[test]
fn the_first_verdict_is_final() {
    let own = |incarnation| incarnation == Incarnation(7);
    let witness = Witness::default();
    assert_eq!(witness.record(&key(1, 1), own), Verdict::Recorded);
    assert_eq!(witness.close(&key(1, 1), own), Verdict::MayHaveRun);
    assert_eq!(witness.record(&key(1, 1), own), Verdict::Recorded);
    assert_eq!(witness.close(&key(1, 2), own), Verdict::Closed);
    assert_eq!(witness.record(&key(1, 2), own), Verdict::Closed);
}

#[test]
fn a_restarted_witness_records_and_closes_nothing_of_its_earlier_life() {
    let next_incarnation = |incarnation| incarnation == Incarnation(8);
    let witness = Witness::default();
    assert_eq!(
        witness.record(&key(1, 1), next_incarnation),
        Verdict::MayHaveRun
    );
    assert_eq!(
        witness.close(&key(1, 1), next_incarnation),
        Verdict::MayHaveRun
    );
}

#[test]
fn evicted_prefixes_are_neither_recorded_nor_closed() {
    let own = |incarnation| incarnation == Incarnation(7);
    let witness = Witness::default();
    assert_eq!(witness.record(&key(1, 1), own), Verdict::Recorded);
    for session in 2..20_100 {
        witness.close(&key(session, 1), own);
    }
    assert!(witness.len() <= 20_000);
    assert_eq!(witness.close(&key(1, 1), own), Verdict::MayHaveRun);
    assert_eq!(witness.record(&key(1, 2), own), Verdict::MayHaveRun);
}
