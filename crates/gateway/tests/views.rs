//! What a node believes of the targets.

use rwd_gateway::{Record, Views};
use rwd_placement::TargetEntry;
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
    let views = Views::default();
    let leaving = || views.targets(&pool())[0].1.leaving;
    views.apply_targets(vec![Record::Target(name(), Some(entry()))], true);
    assert!(!leaving() && views.is_staying(&name()));
    let mut changes = views.watch();
    changes.mark_unchanged();
    views.apply_targets(vec![Record::Target(name(), None)], true);
    assert!(leaving() && !views.is_staying(&name()));
    assert!(changes.has_changed().unwrap(), "schedulers are not told");
    changes.mark_unchanged();
    views.apply_targets(vec![Record::Target(name(), Some(entry()))], true);
    assert!(!leaving() && views.is_staying(&name()));
    assert!(changes.has_changed().unwrap(), "schedulers are not told");
}
