//! Invariants under random sequences of offers, completions and waits.

use crate::helper::{complete_report, configuration, ended, offer, owner, with_blocks};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rwd_config::Configuration;
use rwd_sched::{Decision, FairQueue, QueuedOffer, Ticket, Topology};
use rwd_types::{Millis, ProblemKind, Tokens};
use rwd_wire::{GrantOutcome, Offer};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, advance};

const TARGETS: usize = 3;
const SLOTS: usize = 2;

#[derive(Clone, Debug)]
enum Step {
    Offer {
        tier: u8,
        workspace: bool,
        seconds: u64,
        prefix: u64,
    },
    // Finishes or drops one of the live tickets.
    End {
        which: usize,
        how: u8,
    },
    Wait {
        ms: u64,
    },
    Drain {
        target: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_u8, any::<bool>(), 1..20_u64, 0..4_u64)
            .prop_map(|(tier, workspace, seconds, prefix)| Step::Offer { tier, workspace, seconds, prefix }),
        3 => (any::<usize>(), 0..4_u8).prop_map(|(which, how)| Step::End { which, how }),
        2 => (1..3000_u64).prop_map(|ms| Step::Wait { ms }),
        1 => (0..TARGETS).prop_map(|target| Step::Drain { target }),
    ]
}

struct Live {
    ticket: Ticket,
    tier: u8,
    offered: u64,
    granted: bool,
}

async fn decision(ticket: &mut Ticket) -> Option<Decision> {
    tokio::select! {
        biased;
        decision = ticket.decision() => Some(decision),
        () = std::future::ready(()) => None,
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
}

async fn run(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let cfg: Arc<Configuration> = configuration(TARGETS, SLOTS as u32, |cfg| {
        cfg["presets"]["ordinary"]["queue_tokens"] = 2000.into();
    });
    let s = owner(&cfg);
    let mut live: Vec<Live> = Vec::new();
    let mut draining = indexmap::IndexSet::new();
    let mut clock = 0;
    for step in steps {
        clock += 1;
        match step {
            Step::Offer {
                tier,
                workspace,
                seconds,
                prefix,
            } => {
                let workspace = if workspace { "w" } else { "v" };
                let time_left = Millis(seconds * 1000);
                let offer = Offer {
                    time_left,
                    ..offer(tier, workspace)
                };
                let offer = with_blocks(offer, &[prefix, prefix + 10, prefix + 20]);
                live.push(Live {
                    ticket: s.offer(offer),
                    tier,
                    offered: clock,
                    granted: false,
                });
            }
            Step::End { which, how } if !live.is_empty() => {
                let chosen = live.swap_remove(which % live.len());
                let finish = match how {
                    _ if !chosen.granted => None,
                    0 => Some(complete_report(20)),
                    1 => Some(ended(GrantOutcome::Unreachable)),
                    2 => Some(ended(GrantOutcome::Abandoned)),
                    _ => None,
                };
                match finish {
                    Some(finish) => chosen.ticket.finish(finish),
                    None => drop(chosen),
                }
            }
            Step::End { .. } => (),
            Step::Wait { ms } => {
                advance(Duration::from_millis(ms)).await;
                s.tick();
            }
            Step::Drain { target } => {
                draining.insert(format!("t{target}").parse().unwrap());
                if draining.len() == TARGETS {
                    draining.clear();
                }
                s.apply(
                    &cfg,
                    &Topology::new(&cfg, &crate::helper::view(&["n"]), &draining),
                );
            }
        }
        let mut shed: Vec<(u8, u64)> = Vec::new();
        let mut kept = Vec::new();
        for mut entry in live.drain(..) {
            let decided = match entry.granted {
                true => None,
                false => decision(&mut entry.ticket).await,
            };
            match decided {
                Some(Decision::Granted(_)) => {
                    entry.granted = true;
                    kept.push(entry);
                }
                Some(Decision::Refused(problem)) => {
                    prop_assert_eq!(problem.ran, rwd_types::Executed::No);
                    // An offer refused on arrival for its deadline does not count as shed.
                    if problem.kind == ProblemKind::Shed || entry.offered < clock {
                        shed.push((entry.tier, entry.offered));
                    }
                }
                Some(Decision::NotOwner) => prop_assert!(false, "the owner never changes"),
                None => kept.push(entry),
            }
        }
        live = kept;
        // No tier is shed while a lower one stays queued.
        for (tier, _) in shed {
            let lower = live.iter().any(|l| !l.granted && l.tier > tier);
            prop_assert!(!lower, "shed tier {tier} while a lower one is queued");
        }
        let status = &s.status()[0];
        let in_flight: usize = status.targets.iter().map(|t| t.in_flight).sum();
        prop_assert_eq!(in_flight, live.iter().filter(|l| l.granted).count());
        prop_assert!(status.targets.iter().all(|t| t.in_flight <= SLOTS));
        let waiting: usize = status.waiting.values().sum();
        prop_assert_eq!(waiting, live.iter().filter(|l| !l.granted).count());
    }
    // Once idle, the scheduler grants again after the longest backoff of a target.
    live.clear();
    s.apply(
        &cfg,
        &Topology::new(&cfg, &crate::helper::view(&["n"]), &Default::default()),
    );
    advance(Duration::from_secs(10)).await;
    s.tick();
    let mut last = s.offer(offer(0, "w"));
    prop_assert!(matches!(
        decision(&mut last).await,
        Some(Decision::Granted(_))
    ));
    Ok(())
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(16),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_tier_inversion_no_overcommit_no_lost_ticket(steps in proptest::collection::vec(step(), 1..80)) {
        runtime().block_on(run(steps))?;
    }

    // While all workspaces are backlogged, service differs by a bounded amount at equal weight.
    #[test]
    fn service_is_fair_between_workspaces(sizes in proptest::collection::vec((0..3_usize, 10..500_u64), 60..200)) {
        let mut queue = FairQueue::default();
        runtime().block_on(async {
            for (id, (flow, tokens)) in sizes.iter().enumerate() {
                let mut offer = offer(0, ["w", "v", "u"][*flow]);
                offer.prompt = Tokens(*tokens);
                queue.push(QueuedOffer {
                    id: id as u64,
                    offer,
                    arrived: Instant::now(),
                    deadline: Instant::now() + Duration::from_secs(id as u64 + 1),
                    passed_over: 0,
                });
            }
            let mut left = [0; 3];
            for (flow, _) in &sizes {
                left[*flow] += 1;
            }
            let mut served = [0_u64; 3];
            while left.iter().all(|n| *n > 0) {
                let id = queue.front(1, 1)[0].id;
                let w = queue.dequeue(id, 1).unwrap();
                let flow = sizes[id as usize].0;
                served[flow] += w.tokens().0;
                left[flow] -= 1;
                // Fairness bound of start-time fair queueing: one maximum-size request per flow.
                let (least, most) = (served.iter().min().unwrap(), served.iter().max().unwrap());
                prop_assert!(most - least <= 2 * 520, "{served:?}");
            }
            Ok(())
        })?;
    }
}
