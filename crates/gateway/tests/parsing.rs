//! Routes, events, shards and settings.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rwd_gateway::{
    Catalog, Event, EventBuffer, EventError, GatewaySettings, Limits, RetryPolicy, Route, partition,
};
use rwd_placement::TargetEntry;
use rwd_types::{PoolName, TargetName, ZoneName};
use std::net::SocketAddr;

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        pools: vec![("p".parse().unwrap(), 1)],
        retry: RetryPolicy::Safe,
        streams: false,
        timeout_ms: 1000.0,
        objective_ms: 100.0,
        attempts: 1,
        priority: 0,
        public: true,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("a", "h.example", "/a/"),
        route("ab", "h.example", "/a/b/"),
        route("other", "o.example", "/a/b/c/"),
    ];
    let catalog = Catalog::new(1, routes, Default::default(), Vec::new(), Limits::default());
    let cases = [
        ("h.example", "/a/x", Some("a")),
        ("h.example", "/a/b/c/d", Some("ab")),
        ("H.Example:80", "/a/b/", Some("ab")),
        ("o.example", "/a/b/c/d", Some("other")),
        ("o.example", "/a/x", None),
        ("h.example", "/a", None),
        ("h.example", "/", None),
        ("n.example", "/a/x", None),
    ];
    for (host, path, expected) in cases {
        let found = catalog.route(host, path).map(|r| r.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

// The events at the front of the buffer, and the error that ended them, if any.
fn drain(buffer: &mut EventBuffer, found: &mut Vec<Event>) -> Option<EventError> {
    loop {
        match buffer.next_event() {
            Ok(Some(event)) => found.push(event),
            Ok(None) => return None,
            Err(e) => return Some(e),
        }
    }
}

// A stream yields the same complete events and the same error, byte for byte, however it is split into
// chunks.
fn check(text: String, lengths: Vec<usize>) -> Result<(), TestCaseError> {
    let mut unsplit = EventBuffer::default();
    unsplit.extend(text.as_bytes());
    let mut expected = Vec::new();
    let expected_error = drain(&mut unsplit, &mut expected);
    let mut chunked = EventBuffer::default();
    let mut found = Vec::new();
    let mut error = None;
    let mut rest = text.as_bytes();
    for len in lengths.into_iter().chain([usize::MAX]) {
        let (chunk, next) = rest.split_at(len.min(rest.len()));
        chunked.extend(chunk);
        rest = next;
        error = error.or(drain(&mut chunked, &mut found));
        if error.is_some() {
            break;
        }
    }
    prop_assert_eq!(&found, &expected);
    prop_assert_eq!(error, expected_error);
    let joined: Vec<u8> = found.iter().flat_map(|e| e.raw.to_vec()).collect();
    prop_assert!(text.as_bytes().starts_with(&joined));
    Ok(())
}

#[test]
fn events_do_not_depend_on_how_the_bytes_arrive() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let cfg = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let text = proptest::collection::vec(
        prop_oneof![
            Just("id: 7\n".to_owned()),
            Just("data: x\n".to_owned()),
            Just("\n".to_owned()),
            Just("\r\n".to_owned()),
            Just("weight-versions: 2\r\n".to_owned()),
            Just(format!("id: 8\r\n{}\n\n", "data: y\n".repeat(3))),
            "[a-z:]{0,5}".prop_map(|s| s),
        ],
        0..40,
    );
    let lengths = proptest::collection::vec(0..9_usize, 0..60);
    let mut runner = TestRunner::new_with_rng(cfg, rng);
    let pairs = (text.prop_map(|lines| lines.concat()), lengths);
    runner
        .run(&pairs, |(text, lengths)| check(text, lengths))
        .unwrap();
}

fn targets(count: usize) -> Vec<(TargetName, TargetEntry)> {
    let zones = ["za", "zb", "zc", "zd"];
    let targets = (0..count).map(|n| {
        let entry = TargetEntry {
            pool: "p".parse().unwrap(),
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            zone: zones[n % 4].parse().unwrap(),
            slots: Some(6),
            leaving: false,
            warm_up_ms: 0.0,
            born: 1,
            sequence: 1,
            version: Default::default(),
        };
        (format!("t{n}").parse().unwrap(), entry)
    });
    targets.collect()
}

#[test]
fn shards_hold_every_target_once_and_keep_to_a_zone() {
    let pool: PoolName = "p".parse().unwrap();
    for count in [0, 1, 18, 40, 41, 140, 1000, 3800] {
        let targets = targets(count);
        let shards = partition(&pool, &targets);
        let mut assigned: Vec<_> = shards.values().flatten().map(|(n, _)| n.clone()).collect();
        assigned.sort();
        assigned.dedup();
        assert_eq!(assigned.len(), count);
        for (shard, members) in &shards {
            let of_zone = |z: &ZoneName| members.iter().all(|(_, e)| e.zone == *z);
            assert!(shard.zone.as_ref().is_none_or(of_zone));
            assert!(members.len() <= 80, "{count}: {}", members.len());
        }
    }
}

const SETTINGS: &str = r#"{
    "name": "n", "zone": "z1", "region": "r1",
    "listen": {"requests": "127.0.0.1:1", "readiness": "127.0.0.1:2",
               "directory": "127.0.0.1:3", "peers": "127.0.0.1:4"},
    "seeds": ["127.0.0.2:4"], "store": "127.0.0.3:5", "secret": "s",
    "bounds": {"stop_grace_s": 8}
}"#;

#[test]
fn settings_errors_name_their_place() {
    assert!(GatewaySettings::from_json(SETTINGS).is_ok());
    let cases = [
        ("\"zone\": \"z1\"", "\"zone\": \"z 1\"", "zone"),
        ("127.0.0.1:2", "nowhere", "listen.readiness"),
        ("127.0.0.2:4", "127.0.0.2", "seeds[0]"),
        (
            "\"stop_grace_s\": 8",
            "\"stop_grace_s\": 0",
            "bounds.stop_grace_s",
        ),
        ("\"stop_grace_s\": 8", "\"unknown\": 0", "bounds.unknown"),
        ("\"secret\": \"s\",", "", "."),
        (
            "\"secret\": \"s\"",
            "\"secret\": \"s\", \"memory_mb\": 31",
            "memory_mb",
        ),
        (
            "\"peers\": \"127.0.0.1:4\"",
            "\"peers\": \"127.0.0.1:4\", \"advertised_peers\": \"127.0.0.9:4\"",
            "listen.advertised_peers",
        ),
    ];
    for (from, to, place) in cases {
        let text = SETTINGS.replace(from, to);
        let e = GatewaySettings::from_json(&text).unwrap_err();
        assert_eq!(e.place, place, "{to}: {e}");
    }
}
