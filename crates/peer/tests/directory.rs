//! Membership: precedence of updates, refutation, and the assignment of cluster-wide roles.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rwd_peer::{Directory, ListedInstance, View, first_by_cpu, rank, rank_by_cpu};
use rwd_types::{Incarnation, InstanceName, Revision};
use rwd_wire::{Gossip, Liveness, MemberUpdate};
use std::time::Duration;
use tokio::time::advance;

const SUSPICION: Duration = Duration::from_secs(1);

fn member(name: &str, incarnation: u64, refutation: u32, liveness: Liveness) -> MemberUpdate {
    MemberUpdate {
        name: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        refutation,
        liveness,
        leaving: false,
        http: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        zone: "z".parse().unwrap(),
        cpu_milli: 0,
    }
}

fn gossip(from: &str, updates: Vec<MemberUpdate>) -> Gossip {
    Gossip {
        own: member(from, 5, 0, Liveness::Alive),
        revision: Revision(0),
        updates,
        digests: Vec::new(),
    }
}

fn directory(name: &str) -> Directory {
    Directory::new(member(name, 5, 0, Liveness::Alive))
}

fn alive(view: &View) -> Vec<&str> {
    view.members.keys().map(InstanceName::as_str).collect()
}

#[tokio::test(start_paused = true)]
async fn a_suspect_fails_unless_it_refutes_in_time() {
    for refutes in [false, true] {
        let d = directory("a");
        d.merge_gossip(&gossip("b", vec![]));
        d.suspect(&"b".parse().unwrap());
        assert_eq!(
            alive(&d.view()),
            ["a", "b"],
            "a suspect is still in the view"
        );
        if refutes {
            let own = MemberUpdate {
                refutation: 1,
                ..member("b", 5, 0, Liveness::Alive)
            };
            d.merge_gossip(&Gossip {
                own,
                ..gossip("b", vec![])
            });
        }
        advance(SUSPICION).await;
        d.expire(SUSPICION);
        let expected: &[&str] = if refutes { &["a", "b"] } else { &["a"] };
        assert_eq!(alive(&d.view()), expected, "refutes: {refutes}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_refutes_its_own_failure() {
    let d = directory("a");
    d.merge_gossip(&gossip("b", vec![member("a", 5, 0, Liveness::Failed)]));
    let own = d.own();
    assert_eq!((own.refutation, own.liveness), (1, Liveness::Alive));
    // A suspicion with an older refutation number is ignored.
    d.merge_gossip(&gossip("b", vec![member("a", 5, 0, Liveness::Suspect)]));
    assert_eq!(d.own().refutation, 1);
}

/// A node was suspended and declared failed long ago, so that the news is no longer gossiped. Its
/// next message is answered with the failure, and it refutes it.
#[tokio::test(start_paused = true)]
async fn a_woken_node_learns_at_once_that_it_was_declared_failed() {
    let (woken, other) = (directory("a"), directory("b"));
    other.merge_gossip(&gossip("a", vec![]));
    other.failed(&"a".parse().unwrap());
    for _ in 0..1000 {
        other.gossip_to(&"c".parse().unwrap());
    }
    let mut refutations = woken.watch_refutations();
    other.merge_gossip(&woken.gossip_to(&"b".parse().unwrap()));
    assert_eq!(alive(&other.view()), ["b"]);
    woken.merge_gossip(&other.gossip_to(&"a".parse().unwrap()));
    assert!(refutations.has_changed().unwrap());
    refutations.mark_unchanged();
    other.merge_gossip(&woken.gossip_to(&"b".parse().unwrap()));
    assert_eq!(alive(&other.view()), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn an_earlier_incarnation_with_a_faster_clock_is_superseded() {
    let d = directory("a");
    d.merge_gossip(&gossip("b", vec![member("a", 99, 0, Liveness::Alive)]));
    assert_eq!(d.own().incarnation, Incarnation(100));
    assert!(d.is_own_incarnation(Incarnation(5)) && d.is_own_incarnation(Incarnation(100)));
    assert!(!d.is_own_incarnation(Incarnation(99)));
}

/// A node that was leaving restarts after its clock was stepped, either way and then back. The others
/// take it for the new process, and learn when that leaves in turn.
#[tokio::test(start_paused = true)]
async fn a_restarted_node_is_known_whichever_way_its_clock_was_stepped() {
    let other = directory("b");
    let mut leaving = member("a", 20_000, 3, Liveness::Alive);
    for incarnation in [10_000, 30_000, 20_000, 10_000] {
        leaving.leaving = true;
        other.merge_gossip(&Gossip {
            own: leaving.clone(),
            ..gossip("a", vec![])
        });
        assert_eq!(other.view().active().count(), 1);
        let restarted = Directory::new(member("a", incarnation, 0, Liveness::Alive));
        for _ in 0..2 {
            other.merge_gossip(&restarted.gossip_to(&"b".parse().unwrap()));
            restarted.merge_gossip(&other.gossip_to(&"a".parse().unwrap()));
        }
        assert_eq!(other.view().active().count(), 2, "{incarnation}");
        restarted.set_leaving();
        other.merge_gossip(&restarted.gossip_to(&"b".parse().unwrap()));
        assert_eq!(other.view().active().count(), 1, "{incarnation}");
        leaving = restarted.own();
    }
}

#[tokio::test(start_paused = true)]
async fn a_failed_node_on_a_lagging_list_stays_failed_until_it_gossips() {
    let d = directory("a");
    let listed = ListedInstance {
        name: "b".parse().unwrap(),
        http: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        zone: "z".parse().unwrap(),
        leaving: false,
        cpu_milli: 0,
    };
    d.apply_list(std::slice::from_ref(&listed));
    assert_eq!(alive(&d.view()), ["a", "b"]);
    d.failed(&listed.name);
    for _ in 0..10 {
        advance(Duration::from_secs(30)).await;
        d.expire(SUSPICION);
        d.apply_list(std::slice::from_ref(&listed));
        assert_eq!(alive(&d.view()), ["a"]);
    }
    d.merge_gossip(&gossip("b", vec![]));
    assert_eq!(alive(&d.view()), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn the_leaving_mark_of_the_list_applies_to_one_incarnation() {
    let d = directory("a");
    let listed = ListedInstance {
        name: "b".parse().unwrap(),
        http: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        zone: "z".parse().unwrap(),
        leaving: true,
        cpu_milli: 0,
    };
    d.merge_gossip(&gossip("b", vec![]));
    d.apply_list(&[listed]);
    assert_eq!(d.view().active().count(), 1);
    let next_incarnation = Gossip {
        own: member("b", 6, 0, Liveness::Alive),
        ..gossip("b", vec![])
    };
    d.merge_gossip(&next_incarnation);
    assert_eq!(d.view().active().count(), 2);
}

#[test]
fn a_removed_node_moves_only_its_own_keys() {
    let members: Vec<_> = (0..7)
        .map(|i| member(&format!("n{i}"), 1, 0, Liveness::Alive))
        .collect();
    let without: Vec<_> = members[1..].to_vec();
    let removed: InstanceName = "n0".parse().unwrap();
    let mut moved = 0;
    for key in 0..2000 {
        let before = &rank(key, members.iter())[0].name;
        let after = &rank(key, without.iter())[0].name;
        match *before == removed {
            true => moved += 1,
            false => assert_eq!(before, after),
        }
    }
    // An even share is 2000 / 7 = 286.
    assert!((200..380).contains(&moved), "{moved}");
}

/// All nodes restart at once. Before their first gossip they agree on cluster-wide roles, because
/// the list has the CPU share of each.
#[tokio::test]
async fn nodes_agree_on_cluster_wide_roles_before_any_gossip() {
    let listed = ["a", "b", "c"].map(|name| ListedInstance {
        name: name.parse().unwrap(),
        http: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        zone: "z".parse().unwrap(),
        leaving: false,
        cpu_milli: if name == "b" { 500 } else { 120 },
    });
    let mut coordinators = Vec::new();
    for own in &listed {
        let mut own_update = member(own.name.as_str(), 1, 0, Liveness::Alive);
        own_update.cpu_milli = own.cpu_milli;
        let d = Directory::new(own_update);
        // Only the address of a seed is known at first.
        let seed = ListedInstance {
            cpu_milli: 0,
            ..listed[1].clone()
        };
        d.apply_list(&[seed]);
        d.apply_list(&listed);
        let view = d.view();
        coordinators.push(first_by_cpu(7, view.active()).unwrap().name.clone());
    }
    assert!(
        coordinators.iter().all(|f| f.as_str() == "b"),
        "{coordinators:?}"
    );
}

/// Most nodes have an eighth of a core; cluster-wide roles go to the larger ones.
#[test]
fn cluster_wide_roles_go_to_nodes_with_the_largest_cpu_share() {
    let mut members: Vec<_> = (0..7)
        .map(|i| member(&format!("n{i}"), 1, 0, Liveness::Alive))
        .collect();
    members[2].cpu_milli = 500;
    members[5].cpu_milli = 500;
    let mut coordinators = Vec::new();
    for key in 0..100 {
        let ranked = rank_by_cpu(key, members.iter());
        assert_eq!(ranked.len(), 7);
        assert!(ranked[1].cpu_milli == 500 && ranked[2].cpu_milli < 500);
        let first = first_by_cpu(key, members.iter()).unwrap();
        assert_eq!(first.name, ranked[0].name);
        coordinators.push(ranked[0].name.clone());
    }
    coordinators.sort();
    coordinators.dedup();
    assert_eq!(
        coordinators.len(),
        2,
        "one node has all roles: {coordinators:?}"
    );
}

fn any_update() -> impl Strategy<Value = MemberUpdate> {
    let liveness = prop_oneof![
        Just(Liveness::Alive),
        Just(Liveness::Suspect),
        Just(Liveness::Failed)
    ];
    ("[b-e]", 1..4_u64, 0..3_u32, liveness).prop_map(|(name, i, r, l)| member(&name, i, r, l))
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        ..Config::default()
    })]

    // Nodes that receive the same updates in any order converge to the same view of all nodes that
    // were ever seen alive.
    #[test]
    fn views_do_not_depend_on_the_order_of_updates(
        mut updates in proptest::collection::vec(any_update(), 1..20),
        seed: u64,
    ) {
        let rt = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
        rt.block_on(async {
            let known: Vec<_> = ["b", "c", "d", "e"].map(|n| member(n, 0, 0, Liveness::Alive)).into();
            updates.splice(0..0, known.clone());
            let one = directory("a");
            one.merge_gossip(&gossip("b", updates.clone()));
            let mut shuffled = updates.split_off(known.len());
            let n = shuffled.len().max(1);
            shuffled.rotate_left(seed as usize % n);
            shuffled.reverse();
            let two = directory("a");
            two.merge_gossip(&gossip("b", known));
            two.merge_gossip(&gossip("b", shuffled));
            prop_assert_eq!(one.view(), two.view());
            Ok(())
        })?;
    }
}
