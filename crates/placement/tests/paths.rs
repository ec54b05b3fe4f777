//! When a node takes itself for cut off from the targets of a pool, and when not.

use rwd_placement::{Path, Paths, Timestamp};
use rwd_types::TargetName;

fn at(ms: f64) -> Timestamp {
    Timestamp(1e6 + ms)
}

fn target(n: u32) -> TargetName {
    format!("t{n}").parse().unwrap()
}

/// A node that fails to reach two targets, which others reach.
fn cut_off() -> Paths {
    let mut paths = Paths::default();
    paths.record_connected(&target(0), at(0.0));
    for n in 1..3 {
        assert_eq!(paths.to(&target(n), at(100.0)), Path::Direct);
        paths.record_failed(&target(n), at(200.0));
    }
    assert!(paths.is_cut_off(at(200.0)));
    paths
}

#[test]
fn two_targets_that_only_others_reach_mean_a_cut() {
    let mut paths = cut_off();
    assert_ne!(paths.to(&target(9), at(300.0)), Path::Direct);
}

#[test]
fn one_target_that_only_others_reach_is_avoided_alone() {
    let mut paths = Paths::default();
    paths.record_failed(&target(1), at(0.0));
    assert!(!paths.is_cut_off(at(0.0)));
    assert_ne!(paths.to(&target(1), at(100.0)), Path::Direct);
    assert_eq!(paths.to(&target(2), at(100.0)), Path::Direct);
    assert_eq!(paths.to(&target(1), at(2100.0)), Path::Direct);
}

// RECOVER of issue 59: in a draft, a node whose path was back took the connections of others for a cut, for as long as it
// had requests.
#[test]
fn a_node_whose_path_is_back_stays_connected() {
    let mut paths = cut_off();
    for ms in (250..3000).step_by(50) {
        let now = at(f64::from(ms));
        let n = ms as u32 % 7;
        if paths.to(&target(n), now) != Path::Direct {
            paths.record_detour(&target(n), now);
        }
    }
    assert!(
        paths.is_cut_off(at(3000.0)),
        "it has requests all the while"
    );
    paths.record_connected(&target(3), at(3000.0));
    for ms in (3000..9000).step_by(50) {
        let (now, n) = (at(f64::from(ms)), ms as u32 % 7);
        assert_eq!(paths.to(&target(n), now), Path::Direct, "{ms}");
        paths.record_detour(&target(n), now);
        assert!(!paths.is_cut_off(now), "{ms}");
    }
}

#[test]
fn a_direct_path_is_tried_now_and_then_and_at_the_end() {
    let mut paths = cut_off();
    let mut probes = 0;
    for ms in (250..2150).step_by(10) {
        let path = paths.to(&target(5), at(f64::from(ms)));
        probes += usize::from(path == Path::Detour { probe: true });
    }
    assert_eq!(probes, 4);
    // Without a connection through others, nothing is known any more.
    assert_eq!(paths.to(&target(5), at(2300.0)), Path::Direct);
}

#[test]
fn open_connections_are_used_once_one_has_answered_since_the_cut() {
    let mut paths = Paths::default();
    paths.record_response(at(0.0));
    assert!(paths.uses_open(at(100.0)));
    paths.record_failed(&target(1), at(200.0));
    paths.record_failed(&target(2), at(200.0));
    assert!(!paths.uses_open(at(300.0)));
    paths.record_response(at(400.0));
    assert!(paths.uses_open(at(500.0)));
    assert!(paths.is_cut_off(at(500.0)));
}

#[test]
fn a_node_that_has_not_heard_of_any_target_cannot_tell() {
    let mut paths = Paths::default();
    assert!(!paths.works(at(0.0)));
    paths.record_connected(&target(0), at(0.0));
    assert!(paths.works(at(1000.0)));
    assert!(!paths.works(at(2000.0)));
    assert!(!cut_off().works(at(300.0)));
}
