//! Selection of the nodes that read the store.

use rwd_gateway::{Role, pause_after_stale};
use std::time::Duration;

/// Without failures one node of a group reads and all others follow it.
#[test]
fn one_node_of_a_group_reads() {
    assert_eq!(Role::choose(0, 0, 0.0, 0), Role::Read);
    for position in 1..70 {
        assert_eq!(Role::choose(position, 0, 900.0, 0), Role::Follow(0));
    }
}

/// The store rejects the first reader and serves the others.
#[test]
fn only_the_next_successor_takes_over_from_a_failed_reader() {
    assert_eq!(Role::choose(1, 1, 1600.0, 0), Role::Read);
    for position in 2..70 {
        assert_eq!(Role::choose(position, 1, 1600.0, 0), Role::Follow(1));
    }
}

/// The store is down for all nodes, or all start at once: sixty nodes must not all read it at once.
#[test]
fn other_nodes_read_only_after_all_readers_have_failed_for_long() {
    for position in 3..70 {
        for failed in 0..9 {
            for unanswered in 0..9 {
                let role = Role::choose(position, failed, 2400.0, unanswered);
                let follows = matches!(role, Role::Follow(n) if n < 3);
                let reads = role == Role::Read && unanswered >= 3 && position < 16;
                assert!(
                    follows || reads || (role == Role::FollowAny && failed >= 3),
                    "{position} {failed} {unanswered}: {role:?}"
                );
            }
        }
    }
}

/// Guards against nodes that use a stale list because all readers have lost power at once: what the
/// readers lost is not what the store lost, and the timeouts of three of them are most of two seconds.
#[test]
fn a_few_nodes_read_at_once_when_all_readers_are_lost() {
    for position in 3..16 {
        assert_eq!(Role::choose(position, 3, 1400.0, 3), Role::Read);
        // Readers that reply with stale replicas have lost the store.
        assert_ne!(Role::choose(position, 3, 1600.0, 0), Role::Read);
        assert_ne!(Role::choose(position, 3, 1600.0, 2), Role::Read);
    }
    for position in 16..70 {
        assert_ne!(Role::choose(position, 3, 1400.0, 3), Role::Read);
    }
}

/// The store is down for long, and all replicas are stale. A few nodes of each group try it, early
/// enough for the bound on removed keys; the others ask nodes of their own and of other groups.
#[test]
fn a_store_that_is_down_gets_reads_from_few_nodes_of_each_group() {
    for failed in 3..40 {
        let roles: Vec<_> = (0..70)
            .map(|position| Role::choose(position, failed, 2600.0, 0))
            .collect();
        let reading = roles.iter().filter(|r| **r == Role::Read).count();
        assert_eq!(reading, 8, "{failed} failed");
        assert!(roles[3..8].iter().all(|r| *r == Role::Read), "{roles:?}");
    }
    let tried: Vec<_> = (3..9)
        .map(|failed| Role::choose(20, failed, 2600.0, 0))
        .collect();
    assert!(
        tried.contains(&Role::FollowAny) && tried.contains(&Role::Follow(2)),
        "{tried:?}"
    );
}

/// A node is cut off from all others but reaches the store.
#[test]
fn an_isolated_node_reads_the_store_itself() {
    for position in 3..70 {
        assert_eq!(Role::choose(position, 3, 2600.0, 3), Role::Read);
    }
}

/// The store is down for all nodes for 4 s, and every node has a stale replica. Pulls of stale
/// replicas return at once; a node must not repeat them in a loop.
#[test]
fn followers_of_stale_nodes_pull_at_a_bounded_rate() {
    let outage = Duration::from_secs(4);
    let mut elapsed = Duration::ZERO;
    let mut pulls = 0;
    while elapsed < outage {
        pulls += 1;
        elapsed += pause_after_stale(pulls);
        assert!(pulls < 1000, "pulls in a loop");
    }
    assert!(pulls <= 20, "{pulls} pulls in 4 s");
    // The successors of a failed reader take over without a pause.
    assert!((1..=3).all(|failed| pause_after_stale(failed).is_zero()));
}
