//! Orders of roll-outs in the replica: what is news, what a restored store brings back.

use rwd_gateway::{GatewaySettings, StoreReplica};
use rwd_placement::{RolloutOrder, Stage, Timestamp};
use rwd_types::{PoolName, StoreEra};

fn pool() -> PoolName {
    "p".parse().unwrap()
}

fn order(to: &str, era: u64, offset: u64) -> RolloutOrder {
    RolloutOrder {
        to: to.parse().unwrap(),
        over_s: 12.0,
        era: StoreEra(era),
        offset,
    }
}

fn active(replica: &StoreReplica) -> (String, bool, Option<Stage>) {
    let known = &replica.orders()[0];
    (known.order.to.to_string(), known.withdrawn, known.end)
}

/// A second order replaces the first; the same order again is one more order, not the one that ended.
#[test]
fn a_later_order_replaces_an_earlier_one() {
    let replica = StoreReplica::with_rollouts(true);
    replica.apply_order(&pool(), Some(order("v2", 1, 3)));
    replica.end_order(&pool(), &order("v2", 1, 3), Stage::Reverted);
    assert_eq!(
        active(&replica),
        ("v2".into(), false, Some(Stage::Reverted))
    );
    replica.apply_order(&pool(), Some(order("v2", 1, 5)));
    assert_eq!(active(&replica), ("v2".into(), false, None));
    replica.apply_order(&pool(), Some(order("v3", 1, 6)));
    replica.apply_order(&pool(), Some(order("v2", 1, 5)));
    assert_eq!(active(&replica), ("v3".into(), false, None));
    replica.apply_order(&pool(), None);
    assert_eq!(active(&replica), ("v3".into(), true, None));
}

/// A store that comes back from an older copy may list an order that was replaced, or the present one at
/// another offset; neither begins anew, and an end that is known stays.
#[test]
fn a_restored_store_brings_no_order_back() {
    let replica = StoreReplica::with_rollouts(true);
    replica.apply_order(&pool(), Some(order("v2", 1, 3)));
    replica.apply_order(&pool(), Some(order("v3", 1, 6)));
    replica.end_order(&pool(), &order("v3", 1, 6), Stage::Reverted);
    replica.apply_order(&pool(), Some(order("v2", 2, 3)));
    assert_eq!(
        active(&replica),
        ("v3".into(), false, Some(Stage::Reverted))
    );
    replica.apply_order(&pool(), Some(order("v3", 2, 4)));
    assert_eq!(
        active(&replica),
        ("v3".into(), false, Some(Stage::Reverted))
    );
    replica.apply_order(&pool(), Some(order("v4", 2, 5)));
    assert_eq!(active(&replica), ("v4".into(), false, None));
}

/// A node that starts while a restored store lists an order that was replaced learns better from others.
#[test]
fn a_starting_node_learns_which_order_was_replaced() {
    let (other, starting) = (
        StoreReplica::with_rollouts(true),
        StoreReplica::with_rollouts(true),
    );
    other.apply_order(&pool(), Some(order("v2", 1, 3)));
    other.apply_order(&pool(), Some(order("v3", 1, 6)));
    starting.apply_order(&pool(), Some(order("v2", 2, 3)));
    let now = Timestamp::default();
    other.merge_orders(starting.orders(), now);
    starting.merge_orders(other.orders(), now);
    for replica in [other, starting] {
        assert_eq!(active(&replica), ("v3".into(), false, None));
    }
}

/// Nodes without the setting keep no orders, whatever the store and other nodes say.
#[test]
fn without_the_setting_no_order_is_kept() {
    let replica = StoreReplica::default();
    replica.apply_order(&pool(), Some(order("v2", 1, 3)));
    assert!(replica.orders().is_empty());
}

/// Limits of roll-outs that bound nothing are refused at the start, by name.
#[test]
fn odd_limits_of_roll_outs_are_refused() {
    let settings = |rollouts: &str| {
        GatewaySettings::from_json(&format!(
            r#"{{"name":"n","zone":"z","region":"r","seeds":[],"store":"127.0.0.1:1","secret":"s",
             "listen":{{"requests":"127.0.0.1:1","readiness":"127.0.0.1:2","directory":"127.0.0.1:3",
             "peers":"127.0.0.1:4"}},"rollouts":{rollouts}}}"#
        ))
    };
    let limits = |share: &str, slack: &str, ms: &str| {
        settings(&format!(
            r#"{{"canary_share":{share},"canary_slack":{slack},"rollback_ms":{ms}}}"#
        ))
    };
    assert!(limits("0.1", "50", "5000").is_ok());
    let cases = [
        (limits("0", "50", "5000"), "rollouts.canary_share"),
        (limits("1.5", "50", "5000"), "rollouts.canary_share"),
        (limits("0.1", "-1", "5000"), "rollouts.canary_slack"),
        (limits("0.1", "50", "100"), "rollouts.rollback_ms"),
        (settings(r#"{"canary_share":0.1}"#), "rollouts"),
    ];
    for (result, place) in cases {
        assert_eq!(result.unwrap_err().place, place);
    }
}
