//! What a node believes of the targets.

use rwd_gateway::{Record, StoreReplica, partition};
use rwd_placement::{TargetEntry, Timestamp};
use rwd_types::{PoolName, TargetName};

fn pool() -> PoolName {
    "p".parse().unwrap()
}

fn name() -> TargetName {
    "t".parse().unwrap()
}

fn entry() -> TargetEntry {
    TargetEntry {
        pool: pool(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z".parse().unwrap(),
        slots: Some(5),
        leaving: false,
        warm_up_ms: 0.0,
        born: 1,
        sequence: 1,
    }
}

/// Pattern: a third of the targets crash while the store is in trouble. Homes send nothing to an
/// entry that went missing, so the scheduler must not grant its slots either; it may come back.
#[test]
fn a_target_whose_entry_is_missing_gets_no_work_until_it_returns() {
    let replica = StoreReplica::default();
    let leaving = || replica.targets(&pool())[0].1.leaving;
    replica.apply_targets(vec![Record::Target(name(), Some(entry()))], true);
    assert!(!leaving() && replica.is_active(&name()));
    let mut changes = replica.watch();
    changes.mark_unchanged();
    replica.apply_targets(vec![Record::Target(name(), None)], true);
    assert!(leaving() && !replica.is_active(&name()));
    assert!(changes.has_changed().unwrap(), "schedulers are not told");
    changes.mark_unchanged();
    replica.apply_targets(vec![Record::Target(name(), Some(entry()))], true);
    assert!(!leaving() && replica.is_active(&name()));
    assert!(changes.has_changed().unwrap(), "schedulers are not told");
}

/// Pattern: the store turns away the reader that a node turns to next. Its list still has a target
/// that is gone, and lacks one that is new.
#[test]
fn an_older_list_of_a_peer_changes_nothing() {
    let replica = StoreReplica::default();
    let list = |names: &[&str]| {
        let records = names.iter().map(|n| {
            let name = n.parse().unwrap();
            Record::Target(name, Some(entry()))
        });
        records.collect::<Vec<_>>()
    };
    let names = || {
        let listed = replica.targets(&pool()).into_iter();
        let mut names: Vec<_> = listed.map(|(n, _)| n.to_string()).collect();
        names.sort();
        names
    };
    assert!(replica.apply_update(list(&["kept", "new"]), true, Timestamp(2000.0)));
    assert!(!replica.apply_update(list(&["kept", "gone"]), true, Timestamp(1000.0)));
    assert!(!replica.apply_update(list(&["gone"]), false, Timestamp(1000.0)));
    assert_eq!(names(), ["kept", "new"]);
    assert!(replica.apply_update(list(&["newer"]), false, Timestamp(2500.0)));
    assert_eq!(names(), ["kept", "new", "newer"]);
}

/// Pattern: a third of a zone's targets restart under new names while the old entries are listed.
#[test]
fn replaced_targets_do_not_cut_a_pool_anew() {
    let listed = |count: usize| {
        let targets = (0..count).map(|n| (format!("t{n}").parse().unwrap(), entry()));
        let targets: Vec<(TargetName, TargetEntry)> = targets.collect();
        partition(&pool(), &targets)
            .keys()
            .cloned()
            .collect::<Vec<_>>()
    };
    assert_eq!(listed(47), listed(47 + 16));
}
