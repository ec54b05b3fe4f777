//! Validation of names, and of request keys: only keys sealed with the secret verify.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use rwd_types::{
    Incarnation, InstanceName, KeyError, KeyPrefix, RequestKey, Secret, SessionId, WorkspaceName,
};

fn cfg() -> Config {
    Config {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    }
}

fn prefix() -> impl Strategy<Value = KeyPrefix> {
    let name = "[a-zA-Z0-9_-]{1,12}";
    let witness = proptest::option::of((name, any::<u64>()));
    (name, any::<u64>(), any::<u64>(), witness).prop_map(|(home, incarnation, session, witness)| {
        KeyPrefix {
            home: home.parse().unwrap(),
            incarnation: Incarnation(incarnation),
            session: SessionId(session),
            // `-` as the witness means that there is none.
            witness: witness
                .filter(|(name, _)| name != "-")
                .map(|(name, incarnation)| (name.parse().unwrap(), Incarnation(incarnation))),
        }
    })
}

proptest! {
    #![proptest_config(cfg())]

    #[test]
    fn a_sealed_key_opens_for_its_workspace_only(prefix in prefix(), sequence: u64) {
        let secret = Secret::new("the secret of one system");
        let own: WorkspaceName = "own".parse().unwrap();
        let other: WorkspaceName = "other".parse().unwrap();
        let text = format!("{}.{sequence}", prefix.seal(&secret, &own));
        let key = RequestKey { prefix, sequence };
        prop_assert_eq!(RequestKey::open(&text, &secret, &own), Ok(key));
        prop_assert_eq!(RequestKey::open(&text, &secret, &other), Err(KeyError::Foreign));
        let foreign = Secret::new("the secret of another one");
        prop_assert_eq!(RequestKey::open(&text, &foreign, &own), Err(KeyError::Foreign));
    }

    #[test]
    fn a_changed_key_never_opens_as_another(prefix in prefix(), at: usize, with in "[a-z0-9~.-]") {
        let secret = Secret::new("the secret of one system");
        let own: WorkspaceName = "own".parse().unwrap();
        let mut text = prefix.seal(&secret, &own).to_string();
        let at = at % text.len();
        prop_assume!(!text[at..=at].eq_ignore_ascii_case(&with));
        text.replace_range(at..=at, &with);
        let text = format!("{text}.1");
        prop_assert!(RequestKey::open(&text, &secret, &own).is_err());
    }

    #[test]
    fn any_text_is_read_without_panic(text in ".{0,80}") {
        let own: WorkspaceName = "own".parse().unwrap();
        prop_assert!(RequestKey::open(&text, &Secret::new("s"), &own).is_err());
    }
}

#[test]
fn names_are_checked() {
    let long = "x".repeat(65);
    for (text, good) in [
        ("n1", true),
        ("harju-a_2", true),
        ("", false),
        ("a.b", false),
        ("a~b", false),
        ("a b", false),
        ("ä", false),
        (long.as_str(), false),
    ] {
        assert_eq!(text.parse::<InstanceName>().is_ok(), good, "{text:?}");
        let json = serde_json::to_string(text).unwrap();
        assert_eq!(
            serde_json::from_str::<InstanceName>(&json).is_ok(),
            good,
            "{text:?}"
        );
    }
}
