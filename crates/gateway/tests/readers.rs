//! Who reads the store, and who asks whom.

use rwd_gateway::Role;

/// Pattern: a quiet day. One node of a group reads, all others ask it.
#[test]
fn one_node_of_a_group_reads() {
    assert_eq!(Role::choose(0, 0, 0.0), Role::Read);
    for position in 1..70 {
        assert_eq!(Role::choose(position, 0, 900.0), Role::Follow(0));
    }
}

/// Pattern: the store turns the first reader away and serves the others.
#[test]
fn a_reader_that_lost_the_store_is_followed_by_its_successor_alone() {
    assert_eq!(Role::choose(1, 1, 1600.0), Role::Read);
    for position in 2..70 {
        assert_eq!(Role::choose(position, 1, 1600.0), Role::Follow(1));
    }
}

/// Pattern: the store is down for all, or all nodes start at once. Sixty nodes do not turn to it
/// together; those that have waited in vain for long do, in time for keys that are removed.
#[test]
fn nodes_read_for_themselves_only_when_all_readers_have_failed_for_long() {
    for position in 3..70 {
        for failed in 0..9 {
            let role = Role::choose(position, failed, 2400.0);
            assert!(matches!(role, Role::Follow(n) if n < 3), "{role:?}");
        }
        assert_eq!(Role::choose(position, 3, 2600.0), Role::Read);
    }
}
