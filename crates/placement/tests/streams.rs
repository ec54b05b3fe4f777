//! Which version began a stream.

use rwd_placement::{Origin, ServedVersions, StreamKey, StreamLedger, Timestamp, Version};
use rwd_types::PoolName;

const MINUTE_MS: f64 = 60_000.0;

fn at(ms: f64) -> Timestamp {
    Timestamp(1e7 + ms)
}

fn pool(name: &str) -> PoolName {
    name.parse().unwrap()
}

fn version(n: u32) -> Version {
    format!("v{n}").parse().unwrap()
}

fn origin(n: u32) -> Origin {
    Origin::Version(version(n))
}

// rejoined, of issue 56: the targets of the old version had just left.
#[test]
fn a_version_that_has_left_may_have_begun_streams_for_a_while() {
    let mut served = ServedVersions::default();
    let p = pool("p");
    assert_eq!(served.sole(&p, at(0.0)), None, "nothing is known");
    assert!(served.record(&p, &version(1), at(0.0)));
    assert!(served.record(&p, &version(2), at(1000.0)));
    served.record(&pool("q"), &version(3), at(1000.0));
    assert_eq!(served.sole(&p, at(1000.0)), None);
    for n in 0..60 {
        let now = at(2000.0 + 1000.0 * f64::from(n));
        assert!(!served.record(&p, &version(2), now));
        let left = served.sole(&p, now);
        assert_eq!(left.is_some(), n >= 58, "{n}");
    }
    let mut started = ServedVersions::default();
    assert!(started.merge(&served.news(at(50_000.0)), at(50_010.0)));
    assert_eq!(started.sole(&p, at(50_010.0)), None);
    assert!(!started.merge(&served.news(at(50_020.0)), at(50_030.0)));
}

#[test]
fn the_versions_that_are_kept_are_bounded() {
    let mut served = ServedVersions::default();
    for n in 0..1000 {
        served.record(&pool("p"), &version(n), at(f64::from(n)));
    }
    assert!(served.news(at(1000.0)).len() <= 64);
    assert_eq!(served.sole(&pool("p"), at(1000.0)), None);
}

#[test]
fn streams_are_known_for_a_minute_at_least_and_two_at_most() {
    let mut ledger = StreamLedger::default();
    for n in 0..300_u32 {
        let now = f64::from(n) * 1000.0;
        let key = StreamKey(n.into());
        assert!(ledger.record(key, origin(n % 2), at(now)));
        assert!(!ledger.record(key, origin(n % 2), at(now)), "known");
        let kept = ledger.all().count();
        assert!(kept <= 121, "{kept}");
        let past = StreamKey(u64::from(n.saturating_sub(59)));
        assert!(ledger.origin(past, at(now)).is_some(), "{n}");
    }
    assert_eq!(ledger.origin(StreamKey(0), at(300_000.0)), None);
    let later = at(300_000.0 + 3.0 * MINUTE_MS);
    assert_eq!(ledger.origin(StreamKey(299), later), None);
}

/// Reports that contradict each other leave no version at which the stream may go on.
#[test]
fn a_stream_of_two_versions_is_ambiguous() {
    let mut ledger = StreamLedger::default();
    ledger.record(StreamKey(1), origin(1), at(0.0));
    assert!(ledger.record(StreamKey(1), origin(2), at(10.0)));
    ledger.record(StreamKey(1), origin(1), at(20.0));
    let known = ledger.origin(StreamKey(1), at(30.0));
    assert_eq!(known, Some(Origin::Ambiguous));
}

/// Any number of streams may begin within a minute.
#[test]
fn the_streams_that_are_kept_are_bounded() {
    let mut ledger = StreamLedger::default();
    for n in 0..200_000 {
        ledger.record(StreamKey(n), origin(1), at(0.0));
    }
    assert!(ledger.all().count() <= 65_536);
    assert!(ledger.origin(StreamKey(199_999), at(0.0)).is_some());
}
