//! The service order with shares: one slot, few requests.

use crate::load::{offer, shard, target, workspace};
use indexmap::IndexMap;
use rwd_placement::{
    Decision, Offer, OfferId, PlacementSettings, Rank, Scheduler, ShareOwner, ShareUse,
    SlotOutcome, Timestamp,
};

const HOT: usize = 1;
const OTHER: usize = 2;

fn at(ms: f64) -> Timestamp {
    Timestamp(1_000_000.0 + ms)
}

/// A scheduler with one slot, which a request of another workspace takes.
fn busy() -> (Scheduler, OfferId) {
    let cfg = PlacementSettings {
        workspace_shares: true,
        ..Default::default()
    };
    let mut s = Scheduler::new(cfg);
    s.set_targets(&shard(0), vec![target("a", 1)]);
    let running = s.offer(offer(9, shard(0)), at(0.0));
    s.poll(at(0.0));
    (s, running)
}

// Ends `running` and then each request that takes its slot; returns these in order.
fn serve_all(s: &mut Scheduler, mut running: OfferId, from_ms: f64) -> Vec<OfferId> {
    let mut order = Vec::new();
    for n in 0.. {
        let now = at(from_ms + f64::from(n));
        s.finish(running, SlotOutcome::Failed, now);
        let granted = s.poll(now).into_iter().find_map(|(id, d)| match d {
            Decision::Grant { .. } => Some(id),
            Decision::Refuse { .. } => None,
        });
        match granted {
            Some(id) => running = id,
            None => break,
        }
        order.push(running);
    }
    order
}

fn row(n: usize, given_ms_per_s: f64) -> ShareUse {
    ShareUse {
        owner: ShareOwner::Workspace(workspace(n)),
        priority: 0,
        asked_ms_per_s: given_ms_per_s,
        given_ms_per_s,
    }
}

/// A hot workspace has been given more at another shard; here it and another one wait.
#[test]
fn what_other_shards_gave_counts_until_their_report_is_too_old() {
    let play = |learned_at: f64| {
        let (mut s, running) = busy();
        let rows = vec![row(HOT, 10_000.0), row(OTHER, 1000.0)];
        let ignored = s.learn_shares(&shard(0), &shard(1), 0.0, rows, at(learned_at));
        assert_eq!(ignored, 0);
        let hot = s.offer(offer(HOT, shard(0)), at(3_000.0));
        let other = s.offer(offer(OTHER, shard(0)), at(3_001.0));
        (serve_all(&mut s, running, 3_002.0), [hot, other])
    };
    let (order, [hot, other]) = play(2_900.0);
    assert_eq!(order, [other, hot]);
    let (order, [hot, other]) = play(1_900.0);
    assert_eq!(order, [hot, other]);
}

/// A late request would be late anyway; it must not make another one late.
#[test]
fn a_late_request_within_its_share_leaves_the_slot_to_one_on_time() {
    let (mut s, running) = busy();
    s.learn_shares(&shard(0), &shard(1), 0.0, vec![row(HOT, 9_000.0)], at(1.0));
    let hot = s.offer(offer(HOT, shard(0)), at(1.0));
    let late = |n| Offer {
        aim_left_ms: -1.0,
        returned: n == HOT,
        ..offer(n, shard(0))
    };
    // A retry beyond its share does not go before those that wait within theirs.
    let late_hot = s.offer(late(HOT), at(1.0));
    let late_other = s.offer(late(OTHER), at(2.0));
    assert_eq!(serve_all(&mut s, running, 3.0), [hot, late_other, late_hot]);
}

/// Within their shares, requests of all workspaces are served by value; a more important workspace
/// goes first though it is beyond any share.
#[test]
fn value_decides_within_shares_and_workspace_priority_before_them() {
    let (mut s, running) = busy();
    let given = vec![row(HOT, 5_000.0), row(OTHER, 5_000.0), row(3, 5_000.0)];
    s.learn_shares(&shard(0), &shard(1), 0.0, given, at(1.0));
    let of = |n, workspace, route| Offer {
        rank: Rank { workspace, route },
        ..offer(n, shard(0))
    };
    let low = s.offer(of(HOT, 1, 2), at(1.0));
    let high = s.offer(of(OTHER, 1, 0), at(2.0));
    let important = s.offer(of(3, 0, 2), at(3.0));
    assert_eq!(serve_all(&mut s, running, 4.0), [important, high, low]);
}

/// A pool with one workspace serves it as it would without shares.
#[test]
fn the_order_within_a_workspace_stays() {
    let (mut s, running) = busy();
    let of = |route, aim_left_ms| Offer {
        rank: Rank {
            workspace: 0,
            route,
        },
        aim_left_ms,
        ..offer(HOT, shard(0))
    };
    let offers = [(2, 900.0), (0, 900.0), (1, 900.0), (0, 800.0)];
    let ids = offers.map(|(route, aim_left_ms)| s.offer(of(route, aim_left_ms), at(1.0)));
    let expected = [ids[3], ids[1], ids[2], ids[0]];
    assert_eq!(serve_all(&mut s, running, 2.0), expected);
}

/// Two workspaces have been given as much; the one with the larger weight is owed more.
#[test]
fn a_larger_weight_is_a_larger_share() {
    let (mut s, running) = busy();
    let weights = [(workspace(HOT), 1.0), (workspace(OTHER), 4.0)];
    s.set_weights(IndexMap::from(weights));
    let given = vec![row(HOT, 3_000.0), row(OTHER, 3_000.0)];
    s.learn_shares(&shard(0), &shard(1), 0.0, given, at(1.0));
    let light = s.offer(offer(HOT, shard(0)), at(1.0));
    let heavy = s.offer(offer(OTHER, shard(0)), at(2.0));
    assert_eq!(serve_all(&mut s, running, 3.0), [heavy, light]);
}

/// Thousands of workspaces pass through, and a peer sends odd rows.
#[test]
fn reports_are_bounded_and_odd_rows_are_ignored() {
    let (mut s, _) = busy();
    for n in 0..2_000 {
        s.offer(offer(n, shard(0)), at(1.0));
        s.poll(at(1.0));
    }
    let rows = s.share_report(&shard(0), at(2.0));
    assert_eq!(rows.len(), 16);
    assert_eq!(rows[15].owner, ShareOwner::Rest);
    let odd = [f64::NAN, f64::INFINITY, -1.0].map(|rate| row(HOT, rate));
    let ignored = s.learn_shares(&shard(0), &shard(1), 0.0, odd.to_vec(), at(2.0));
    assert_eq!(ignored, 3);
    let many = vec![row(HOT, 1.0); 1000];
    let ignored = s.learn_shares(&shard(0), &shard(1), 0.0, many.clone(), at(2.0));
    assert_eq!(ignored, 984);
    let unknown_age = s.learn_shares(&shard(0), &shard(1), f64::NAN, many.clone(), at(2.0));
    assert_eq!(unknown_age, 1000);
    let own = s.learn_shares(&shard(0), &shard(0), 0.0, many, at(2.0));
    assert_eq!(own, 1000);
}

/// Operators are told once that a workspace is beyond its share, and once that it no longer is.
#[test]
fn a_hot_workspace_is_news_once_and_its_end_is() {
    let (mut s, _) = busy();
    let mut news = Vec::new();
    for n in 0..80 {
        let now = at(f64::from(n) * 100.0);
        // It asks for 3.5 s and has been given much at another shard.
        if n < 35 {
            s.learn_shares(&shard(0), &shard(1), 0.0, vec![row(HOT, 9_000.0)], now);
            s.offer(offer(HOT, shard(0)), now);
            s.offer(offer(OTHER, shard(0)), now);
        }
        s.poll(now);
        news.extend(s.share_news(now).into_iter().map(|(_, news)| news));
    }
    let of_hot = news.iter().map(|n| (n.workspace.clone(), n.is_beyond));
    let hot = Some(workspace(HOT));
    assert!(news.iter().all(|n| n.asked_ms_per_s >= n.given_ms_per_s));
    assert_eq!(
        of_hot.collect::<Vec<_>>(),
        [(hot.clone(), true), (hot, false)]
    );
}
