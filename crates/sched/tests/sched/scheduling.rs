//! Granting, refusing and preempting.

use crate::helper::{
    complete_report, configuration, ended, offer, owner, scheduler, view, with_blocks,
};
use rwd_sched::{Decision, Scheduler, Ticket, Topology};
use rwd_types::{Executed, Millis, ProblemKind, Tokens};
use rwd_wire::{Adopted, GrantOutcome, Offer};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::advance;

// The decision, if it has been made.
async fn now(ticket: &mut Ticket) -> Option<Decision> {
    tokio::select! {
        biased;
        decision = ticket.decision() => Some(decision),
        () = std::future::ready(()) => None,
    }
}

async fn granted(ticket: &mut Ticket) -> String {
    match now(ticket).await {
        Some(Decision::Granted(grant)) => grant.target.to_string(),
        other => panic!("{other:?}"),
    }
}

async fn refused(ticket: &mut Ticket) -> ProblemKind {
    match now(ticket).await {
        Some(Decision::Refused(problem)) => {
            assert_eq!(
                problem.ran,
                Executed::No,
                "a refused request must not have run"
            );
            problem.kind
        }
        other => panic!("{other:?}"),
    }
}

fn fill(s: &Arc<Scheduler>, slots: usize) -> Vec<Ticket> {
    (0..slots).map(|_| s.offer(offer(0, "w"))).collect()
}

#[tokio::test(start_paused = true)]
async fn grants_stop_at_the_slot_limit_and_resume_when_a_slot_is_free() {
    let s = owner(&configuration(1, 2, |_| ()));
    let mut first = s.offer(offer(0, "w"));
    let mut second = s.offer(offer(0, "w"));
    let mut third = s.offer(offer(0, "w"));
    granted(&mut first).await;
    granted(&mut second).await;
    assert_eq!(now(&mut third).await, None);
    first.finish(complete_report(20));
    granted(&mut third).await;
}

#[tokio::test(start_paused = true)]
async fn a_dropped_ticket_releases_its_slot_or_leaves_the_queue() {
    let s = owner(&configuration(1, 1, |_| ()));
    let mut holder = s.offer(offer(0, "w"));
    granted(&mut holder).await;
    let withdrawn = s.offer(offer(0, "w"));
    let mut next = s.offer(offer(0, "w"));
    drop(withdrawn);
    drop(holder);
    granted(&mut next).await;
}

#[tokio::test(start_paused = true)]
async fn a_higher_tier_goes_first_regardless_of_arrival() {
    let s = owner(&configuration(1, 1, |_| ()));
    let mut holder = s.offer(offer(0, "w"));
    granted(&mut holder).await;
    let mut low = s.offer(offer(2, "w"));
    let mut middle = s.offer(offer(1, "w"));
    let mut high = s.offer(offer(0, "w"));
    drop(holder);
    granted(&mut high).await;
    drop(high);
    granted(&mut middle).await;
    drop(middle);
    granted(&mut low).await;
}

#[tokio::test(start_paused = true)]
async fn a_full_queue_sheds_the_lowest_tier_first() {
    let s = owner(&configuration(1, 1, |cfg| {
        cfg["presets"]["ordinary"]["queue_tokens"] = 360.into();
    }));
    let _running = fill(&s, 1);
    let mut low = s.offer(offer(2, "w"));
    let mut middle = s.offer(offer(1, "w"));
    let mut high = s.offer(offer(0, "w"));
    assert_eq!(now(&mut low).await, None);
    // Four offers of 120 tokens exceed the limit of 360.
    let mut another = s.offer(offer(1, "w"));
    assert_eq!(refused(&mut low).await, ProblemKind::Shed);
    let mut late_low = s.offer(offer(2, "w"));
    assert_eq!(refused(&mut late_low).await, ProblemKind::Shed);
    for kept in [&mut middle, &mut high, &mut another] {
        assert_eq!(now(kept).await, None);
    }
}

#[tokio::test(start_paused = true)]
async fn refusing_an_overdue_offer_sheds_all_lower_tiers() {
    let s = owner(&configuration(1, 1, |_| ()));
    let _running = fill(&s, 1);
    let mut low = s.offer(offer(2, "w"));
    let mut middle = s.offer(Offer {
        time_left: Millis(2000),
        ..offer(1, "w")
    });
    let mut high = s.offer(offer(0, "w"));
    advance(Duration::from_millis(1900)).await;
    s.tick();
    assert_eq!(refused(&mut middle).await, ProblemKind::Deadline);
    assert_eq!(refused(&mut low).await, ProblemKind::Shed);
    assert_eq!(now(&mut high).await, None);
}

#[tokio::test(start_paused = true)]
async fn a_workspace_that_floods_its_tier_does_not_delay_others() {
    let s = owner(&configuration(1, 1, |_| ()));
    let mut holder = s.offer(offer(1, "w"));
    granted(&mut holder).await;
    let mut flood: Vec<_> = (0..10).map(|_| s.offer(offer(1, "w"))).collect();
    let mut other = s.offer(offer(1, "v"));
    drop(holder);
    // `w` has been served once and has ten more offers queued.
    granted(&mut other).await;
    drop(other);
    granted(&mut flood[0]).await;
    let mut again = s.offer(offer(1, "v"));
    drop(flood.remove(0));
    granted(&mut again).await;
}

#[tokio::test(start_paused = true)]
async fn equal_prefixes_go_to_the_same_target() {
    let s = owner(&configuration(4, 4, |_| ()));
    let prefix: Vec<u64> = (1..40).collect();
    let mut first = s.offer(with_blocks(offer(1, "w"), &prefix));
    let target = granted(&mut first).await;
    first.finish(complete_report(20));
    for _ in 0..5 {
        advance(Duration::from_secs(10)).await;
        let mut again = s.offer(with_blocks(offer(1, "w"), &prefix));
        assert_eq!(granted(&mut again).await, target);
        again.finish(complete_report(20));
    }
}

#[tokio::test(start_paused = true)]
async fn a_cache_miss_corrects_the_cache_index() {
    let s = owner(&configuration(2, 4, |_| ()));
    let prefix: Vec<u64> = (1..40).collect();
    let mut first = s.offer(with_blocks(offer(1, "w"), &prefix));
    let target = granted(&mut first).await;
    first.finish(complete_report(20));
    advance(Duration::from_secs(10)).await;
    let mut second = s.offer(with_blocks(offer(1, "w"), &prefix));
    assert_eq!(granted(&mut second).await, target);
    second.finish(rwd_wire::GrantReport {
        cached: Some(Tokens(0)),
        ..complete_report(20)
    });
    let blocks: Vec<usize> = s.status()[0]
        .targets
        .iter()
        .map(|t| t.cached_blocks)
        .collect();
    assert_eq!(blocks, [0, 0]);
}

#[tokio::test(start_paused = true)]
async fn draining_targets_get_no_grants_and_queued_offers_go_elsewhere() {
    let cfg = configuration(2, 1, |_| ());
    let s = owner(&cfg);
    let mut first = s.offer(offer(0, "w"));
    let leaving = granted(&mut first).await;
    let mut other = s.offer(offer(0, "w"));
    let active = granted(&mut other).await;
    let draining = [leaving.parse().unwrap()].into();
    s.apply(&cfg, &Topology::new(&cfg, &view(&["n"]), &draining));
    drop(first);
    let mut waits = s.offer(offer(0, "w"));
    assert_eq!(
        now(&mut waits).await,
        None,
        "the free slot belongs to a draining target"
    );
    drop(other);
    assert_eq!(granted(&mut waits).await, active);
}

#[tokio::test(start_paused = true)]
async fn losing_a_shard_decides_its_queued_offers_as_not_owner() {
    let cfg = configuration(1, 1, |_| ());
    let s = owner(&cfg);
    let mut holder = s.offer(offer(0, "w"));
    granted(&mut holder).await;
    let mut waits = s.offer(offer(0, "w"));
    s.apply(
        &cfg,
        &Topology::new(&cfg, &view(&["other"]), &Default::default()),
    );
    assert_eq!(now(&mut waits).await, Some(Decision::NotOwner));
    let mut late = s.offer(offer(0, "w"));
    assert_eq!(now(&mut late).await, Some(Decision::NotOwner));
    // Finishing a grant of a lost shard has no effect.
    holder.finish(complete_report(20));
}

#[tokio::test(start_paused = true)]
async fn a_new_owner_counts_adopted_requests_against_the_slots() {
    let cfg = configuration(1, 2, |_| ());
    let s = owner(&cfg);
    let adopted = Adopted {
        offer: offer(1, "w"),
        target: "t0".parse().unwrap(),
    };
    let one = s.adopt(adopted.clone()).unwrap();
    let _two = s.adopt(adopted.clone()).unwrap();
    let mut waits = s.offer(offer(0, "w"));
    assert_eq!(now(&mut waits).await, None);
    one.finish(complete_report(20));
    granted(&mut waits).await;
    let unknown = Adopted {
        target: "t9".parse().unwrap(),
        ..adopted
    };
    assert!(s.adopt(unknown).is_none());
    assert!(
        scheduler()
            .adopt(Adopted {
                offer: offer(1, "w"),
                target: "t0".parse().unwrap()
            })
            .is_none()
    );
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_target_is_probed_with_one_request_after_its_backoff() {
    let s = owner(&configuration(1, 4, |_| ()));
    let mut first = s.offer(offer(0, "w"));
    granted(&mut first).await;
    first.finish(ended(GrantOutcome::Unreachable));
    let mut high = s.offer(offer(0, "w"));
    let mut low = s.offer(offer(2, "w"));
    assert_eq!(now(&mut high).await, None);
    advance(Duration::from_millis(300)).await;
    s.tick();
    // The lowest-priority offer is used as the probe.
    granted(&mut low).await;
    assert_eq!(now(&mut high).await, None);
    low.finish(complete_report(20));
    granted(&mut high).await;
}

#[tokio::test(start_paused = true)]
async fn a_straggler_gets_single_probes_until_it_has_recovered() {
    let s = owner(&configuration(1, 4, |_| ()));
    let mut tickets = fill(&s, 4);
    for ticket in &mut tickets {
        granted(ticket).await;
    }
    tickets[0].report_slow();
    for ticket in tickets {
        ticket.finish(complete_report(100));
    }
    let mut waiting: Vec<_> = (0..3).map(|_| s.offer(offer(1, "w"))).collect();
    s.tick();
    assert_eq!(
        now(&mut waiting[0]).await,
        None,
        "no probe right after it became a straggler"
    );
    advance(Duration::from_secs(2)).await;
    s.tick();
    granted(&mut waiting[0]).await;
    assert_eq!(now(&mut waiting[1]).await, None, "one probe at a time");
    waiting.remove(0).finish(complete_report(100));
    advance(Duration::from_secs(2)).await;
    s.tick();
    granted(&mut waiting[0]).await;
    waiting.remove(0).finish(complete_report(20));
    // After the recovery, all slots are used again.
    let mut all = fill(&s, 4);
    granted(&mut waiting[0]).await;
    for ticket in &mut all[..3] {
        granted(ticket).await;
    }
}

#[tokio::test(start_paused = true)]
async fn lower_tiers_are_preempted_only_if_the_preset_allows_it() {
    for allowed in [false, true] {
        let s = owner(&configuration(1, 1, |cfg| {
            cfg["presets"]["ordinary"]["cancel_lower"] = allowed.into();
        }));
        let mut low = s.offer(offer(2, "w"));
        granted(&mut low).await;
        let _high = s.offer(offer(0, "w"));
        let cancelled = tokio::select! {
            biased;
            () = low.cancelled() => true,
            () = std::future::ready(()) => false,
        };
        assert_eq!(cancelled, allowed);
    }
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_an_idle_target_cannot_meet_is_refused_at_once() {
    let s = owner(&configuration(1, 1, |_| ()));
    let mut low = s.offer(Offer {
        time_left: Millis(60_000),
        ..offer(2, "w")
    });
    granted(&mut low).await;
    let mut waits = s.offer(offer(2, "w"));
    // 20 tokens take 400 ms at 20 ms each.
    let mut too_short = s.offer(Offer {
        time_left: Millis(300),
        ..offer(0, "w")
    });
    assert_eq!(refused(&mut too_short).await, ProblemKind::Deadline);
    assert_eq!(
        now(&mut waits).await,
        None,
        "a refused deadline must not shed lower tiers"
    );
}

// An offer of a lower tier that was in transit when a higher one was shed must not be queued in its
// place.
#[tokio::test(start_paused = true)]
async fn a_lower_tier_that_arrives_just_after_a_higher_one_was_shed_is_shed_too() {
    let s = owner(&configuration(1, 1, |cfg| {
        cfg["presets"]["ordinary"]["queue_tokens"] = 240.into();
    }));
    let _running = fill(&s, 1);
    let first = s.offer(offer(1, "w"));
    let _second = s.offer(offer(1, "w"));
    let mut shed = s.offer(offer(1, "w"));
    assert_eq!(refused(&mut shed).await, ProblemKind::Shed);
    drop(first);
    let mut low = s.offer(offer(2, "w"));
    assert_eq!(refused(&mut low).await, ProblemKind::Shed);
    let mut same = s.offer(offer(1, "w"));
    assert_eq!(now(&mut same).await, None, "its own tier is admitted");
    drop(same);
    advance(Duration::from_millis(300)).await;
    let mut later = s.offer(offer(2, "w"));
    assert_eq!(now(&mut later).await, None);
}
