//! Invalid settings and configurations are rejected with the path of the invalid field.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rwd_config::{Configuration, Settings};
use rwd_types::Revision;
use serde_json::{Value, json};

fn valid() -> Value {
    json!({
        "preset": "ordinary",
        "presets": { "ordinary": {}, "peak": { "token_interval": 50 } },
        "zones": { "harju-a": "harju" },
        "tiers": { "walker": { "rank": 0, "deadline": 5000 }, "tag": { "rank": 1, "deadline": 9000 } },
        "workspaces": { "festival": { "key": "key-of-festival" } },
        "classes": { "new": { "prefill": 5000, "token_interval": 20 } },
        "models": { "assistant": { "max_prompt": 100, "max_output": 100 } },
        "services": { "desk": { "paths": { "confirm": { "idempotent": false } } } },
        "targets": {
            "e1": {
                "address": "127.0.0.1:1", "zone": "harju-a", "class": "new",
                "pools": ["assistant"], "slots": 4,
            },
        },
    })
}

fn error_of(change: impl Fn(&mut Value)) -> String {
    let mut value = valid();
    change(&mut value);
    match Configuration::from_json(&value.to_string()) {
        Ok(_) => "accepted".into(),
        Err(e) => e.to_string(),
    }
}

#[test]
fn a_valid_configuration_is_accepted() {
    assert_eq!(error_of(|_| ()), "accepted");
}

#[test]
fn errors_name_the_json_path() {
    let set = |path: &'static str, value: Value| {
        error_of(move |cfg| *cfg.pointer_mut(path).unwrap() = value.clone())
    };
    let add = |path: &'static str, key: &'static str, value: Value| {
        error_of(move |cfg| cfg.pointer_mut(path).unwrap()[key] = value.clone())
    };
    let cases = [
        set("/preset", json!("maintenance")),
        set("/preset", json!("weekend")),
        set("/tiers", json!({})),
        set("/tiers/tag/rank", json!(0)),
        set("/tiers/walker/deadline", json!(0)),
        set("/workspaces/festival/key", json!("short")),
        add("/workspaces", "other", json!({ "key": "key-of-festival" })),
        add(
            "/workspaces",
            "bad name",
            json!({ "key": "key-of-another" }),
        ),
        set("/targets/e1/class", json!("old")),
        set("/targets/e1/pools", json!(["assistant", "poet"])),
        set("/targets/e1/address", json!("localhost")),
        set("/targets/e1/slots", json!(-1)),
        add("/targets/e1", "colour", json!("red")),
        add("/presets/peak", "shard_targets", json!(0)),
        add("/presets/peak", "policy", json!("random")),
        add("", "drained_targets", json!(["e9"])),
    ];
    insta::assert_snapshot!(cases.join("\n"));
}

#[test]
fn broken_json_names_line_and_column() {
    let e = Configuration::from_json("{\"preset\": ordinary}").unwrap_err();
    insta::assert_snapshot!(e);
    assert!(Configuration::from_json(&format!("{} x", valid())).is_err());
}

#[test]
fn settings_are_checked() {
    let error_of = |text: &str| Settings::from_json(text).unwrap_err().to_string();
    let cases = [
        error_of("{}"),
        error_of(r#"{"secret":"0123456789abcdef"}"#),
        error_of(
            r#"{"secret":"0123456789abcdef","operator_token":"0123456789abcdef","max_body":1}"#,
        ),
        error_of(r#"{"http":"nowhere"}"#),
        error_of(r#"{"instance":"a b"}"#),
        error_of(r#"{"platform":{"log":"127.0.0.1:1","instances":"127.0.0.1:2","extra":1}}"#),
    ];
    insta::assert_snapshot!(cases.join("\n"));
    let valid = r#"{"secret":"0123456789abcdef","operator_token":"0123456789abcdef"}"#;
    assert!(Settings::from_json(valid).is_ok());
}

#[test]
fn a_change_that_does_not_apply_is_refused() {
    let base = valid();
    let mut next = valid();
    next["preset"] = json!("peak");
    let patch = Configuration::diff(&base, &next);
    let (value, cfg) = Configuration::patched(Revision(1), &base, &patch).unwrap();
    assert_eq!(cfg.preset.to_string(), "peak");
    assert_eq!(value, next);
    assert!(Configuration::patched(Revision(1), &json!({}), &patch).is_err());
}

#[test]
fn the_longest_path_rule_wins() {
    let mut value = valid();
    value["services"]["desk"]["paths"]["confirm/test"] = json!({ "idempotent": true });
    let cfg = Configuration::from_value(&value).unwrap();
    let desk = "desk".parse().unwrap();
    for (path, idempotent) in [
        ("lookup", true),
        ("confirm", false),
        ("confirm/1", false),
        ("confirm/test", true),
    ] {
        assert_eq!(cfg.idempotent(&desk, path), idempotent, "{path}");
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn any_text_is_read_without_panic(text in ".{0,200}") {
        let _ = Configuration::from_json(&text);
        let _ = Settings::from_json(&text);
    }

    #[test]
    fn a_corrupted_configuration_does_not_panic(at: usize, with: u8) {
        let mut bytes = valid().to_string().into_bytes();
        let at = at % bytes.len();
        bytes[at] = with;
        let _ = Configuration::from_json(&String::from_utf8_lossy(&bytes));
    }
}
