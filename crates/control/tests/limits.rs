//! Workspace limits are never exceeded and never lock a workspace out.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rwd_config::Limits;
use rwd_control::{LimitKind, Limiter};
use rwd_types::{TokenRate, Tokens, WorkspaceName};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::advance;

fn workspace() -> WorkspaceName {
    "w".parse().unwrap()
}

#[tokio::test(start_paused = true)]
async fn each_limit_is_enforced_and_named() {
    let limits = |requests, tokens, concurrent| Limits {
        requests_per_s: requests,
        tokens_per_s: tokens,
        concurrent,
    };
    for (limits, admitted, kind) in [
        (limits(Some(3), None, None), 6, LimitKind::Requests),
        (
            limits(None, Some(TokenRate(100)), None),
            2,
            LimitKind::Tokens,
        ),
        (limits(None, None, Some(4)), 4, LimitKind::Concurrent),
    ] {
        let limiter = Arc::new(Limiter::default());
        let mut permits = Vec::new();
        let refused = loop {
            match limiter.admit(&workspace(), &limits, Tokens(100), 1) {
                Ok(permit) => permits.push(permit),
                Err(kind) => break kind,
            }
        };
        assert_eq!((permits.len(), refused), (admitted, kind));
    }
}

#[tokio::test(start_paused = true)]
async fn dropping_a_permit_frees_its_slot() {
    let limiter = Arc::new(Limiter::default());
    let limits = Limits {
        concurrent: Some(1),
        ..Limits::default()
    };
    let admit = || limiter.admit(&workspace(), &limits, Tokens(1), 1);
    let permit = admit().unwrap();
    assert!(admit().is_err());
    drop(permit);
    assert!(admit().is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_request_larger_than_the_burst_is_admitted_and_delays_later_ones() {
    let limiter = Arc::new(Limiter::default());
    let limits = Limits {
        tokens_per_s: Some(TokenRate(100)),
        ..Limits::default()
    };
    let admit = || {
        limiter
            .admit(&workspace(), &limits, Tokens(1000), 1)
            .is_ok()
    };
    assert!(admit());
    assert!(!admit());
    advance(Duration::from_secs(9)).await;
    assert!(
        !admit(),
        "800 of 1000 tokens were borrowed and 100 come back each second"
    );
    advance(Duration::from_secs(2)).await;
    assert!(admit());
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(18),
        failure_persistence: None,
        ..Config::default()
    })]

    // Over any period, all nodes together admit at most the limit, one burst and one request each.
    #[test]
    fn nodes_together_stay_within_the_limit(
        nodes in 1..9_usize,
        rate in 1..50_u64,
        gaps in proptest::collection::vec((0..8_usize, 0..300_u64), 1..300),
    ) {
        let rt = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
        rt.block_on(async {
            let limiters: Vec<_> = (0..nodes).map(|_| Arc::new(Limiter::default())).collect();
            let limits = Limits { requests_per_s: Some(rate), ..Limits::default() };
            let mut admitted = 0.0;
            let mut elapsed = 0.0;
            for (node, gap_ms) in gaps {
                advance(Duration::from_millis(gap_ms)).await;
                elapsed += gap_ms as f64 / 1000.0;
                let limiter = &limiters[node % nodes];
                admitted += f64::from(limiter.admit(&workspace(), &limits, Tokens(1), nodes).is_ok());
                let bound = rate as f64 * (elapsed + 2.0) + nodes as f64;
                prop_assert!(admitted <= bound, "{admitted} admitted, {bound} allowed");
            }
            Ok(())
        })?;
    }
}
