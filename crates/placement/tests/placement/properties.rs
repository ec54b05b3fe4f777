//! Invariants under random sequences of offers, completions and target list updates.

use crate::helper::{at, complete, offer, pool, target};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rwd_placement::{Decision, Offer, OfferId, PlacementSettings, Scheduler, SlotOutcome};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    Offer {
        route: u8,
        prompt: u32,
        beyond: bool,
    },
    End {
        index: usize,
        good: bool,
    },
    Withdraw {
        index: usize,
    },
    List {
        leaving: usize,
    },
    Wait {
        ms: u16,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_u8, 0..60_000_u32, any::<bool>())
            .prop_map(|(route, prompt, beyond)| Step::Offer { route, prompt, beyond }),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(index, good)| Step::End { index, good }),
        1 => any::<usize>().prop_map(|index| Step::Withdraw { index }),
        1 => (0..4_usize).prop_map(|leaving| Step::List { leaving }),
        2 => (0..3000_u16).prop_map(|ms| Step::Wait { ms }),
    ]
}

const SLOTS: u32 = 3;

// Each offer is decided at most once, no target exceeds its slots, and no draining target gets one.
fn check(steps: Vec<Step>, settings: &PlacementSettings) -> Result<(), TestCaseError> {
    let names = ["a", "b", "c", "d"];
    let list = |leaving: usize| {
        let infos = names.iter().enumerate().map(|(n, name)| {
            let mut info = target(name, SLOTS);
            info.leaving = n < leaving;
            info
        });
        infos.collect::<Vec<_>>()
    };
    let mut s = Scheduler::new(settings.clone());
    s.set_targets(&pool(), list(0));
    let mut leaving = 0;
    let mut now = 0.0;
    let mut running: Vec<(OfferId, String)> = Vec::new();
    let mut waiting: BTreeSet<OfferId> = BTreeSet::new();
    for step in steps {
        now += 1.0;
        match step {
            Step::Offer {
                route,
                prompt,
                beyond,
            } => {
                let offer = Offer {
                    workspace: Some(format!("w{route}").parse().unwrap()),
                    prompt,
                    beyond_quota: beyond,
                    ..offer(route)
                };
                waiting.insert(s.offer(offer, at(now)));
            }
            Step::End { index, good } if !running.is_empty() => {
                let (id, _) = running.remove(index % running.len());
                let outcome = match good {
                    true => complete(50.0, 200.0, 100),
                    false => SlotOutcome::Full,
                };
                s.finish(id, outcome, at(now));
            }
            Step::Withdraw { index } if !waiting.is_empty() => {
                let id = *waiting.iter().nth(index % waiting.len()).unwrap();
                waiting.remove(&id);
                s.finish(id, SlotOutcome::Unused, at(now));
            }
            Step::List { leaving: n } => {
                leaving = n;
                s.set_targets(&pool(), list(n));
            }
            Step::Wait { ms } => now += f64::from(ms),
            _ => (),
        }
        for (id, decision) in s.poll(at(now)) {
            prop_assert!(
                waiting.remove(&id),
                "{id} was decided twice or never offered"
            );
            if let Decision::Grant { target, .. } = decision {
                let is_draining = names[..leaving].contains(&target.as_str());
                prop_assert!(!is_draining, "a draining target got {id}");
                running.push((id, target.to_string()));
            }
        }
        let mut used: BTreeMap<&str, u32> = BTreeMap::new();
        for (_, target) in &running {
            *used.entry(target).or_default() += 1;
        }
        prop_assert!(used.values().all(|n| *n <= SLOTS), "{used:?}");
    }
    // No offer waits forever.
    for (id, _) in s.poll(at(now + 100_000.0)) {
        waiting.remove(&id);
    }
    prop_assert!(waiting.is_empty());
    Ok(())
}

fn check_all(settings: PlacementSettings) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let cfg = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(cfg, rng);
    let steps = proptest::collection::vec(step(), 1..120);
    runner.run(&steps, |steps| check(steps, &settings)).unwrap();
}

#[test]
fn every_offer_is_decided_once_and_slots_are_not_exceeded() {
    check_all(PlacementSettings::default());
}

#[test]
fn every_offer_is_decided_once_with_shares_and_paced_returns() {
    check_all(PlacementSettings {
        workspace_shares: true,
        paced_returns: true,
        ..Default::default()
    });
}
