//! Selection of the nodes that read the store.

use rwd_gateway::Role;

/// Without failures one node of a group reads and all others follow it.
#[test]
fn one_node_of_a_group_reads() {
    assert_eq!(Role::choose(0, 0, 0.0), Role::Read);
    for position in 1..70 {
        assert_eq!(Role::choose(position, 0, 900.0), Role::Follow(0));
    }
}

/// The store rejects the first reader and serves the others.
#[test]
fn only_the_next_successor_takes_over_from_a_failed_reader() {
    assert_eq!(Role::choose(1, 1, 1600.0), Role::Read);
    for position in 2..70 {
        assert_eq!(Role::choose(position, 1, 1600.0), Role::Follow(1));
    }
}

/// The store is down for all nodes, or all start at once: sixty nodes must not all read it at once.
/// Nodes with a stale replica still read it, early enough for the bound on removed keys.
#[test]
fn other_nodes_read_only_after_all_readers_have_failed_for_long() {
    for position in 3..70 {
        for failed in 0..9 {
            let role = Role::choose(position, failed, 2400.0);
            assert!(matches!(role, Role::Follow(n) if n < 3), "{role:?}");
        }
        assert_eq!(Role::choose(position, 3, 2600.0), Role::Read);
    }
}
