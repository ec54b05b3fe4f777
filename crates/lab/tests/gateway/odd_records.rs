//! Odd records of another writer in the topics that nodes read.

use crate::helper::{KEY, TestCluster, get, post};
use rwd_lab::site::{config_record, server_record};
use std::net::SocketAddr;

/// Bytes of a deeply nested value; about as large as the store lets a record be.
const NESTED_BYTES: usize = 250_000;

fn nested(open: &str) -> String {
    open.repeat(NESTED_BYTES / open.len())
}

/// Numbers beyond what their field can hold, or any sensible value.
const NUMBERS: [&str; 6] = [
    "-1",
    "-1e308",
    "1e308",
    "1e400",
    "18446744073709551615",
    "99999999999999999999999999",
];

/// Numbers that only counters of 64 bits hold.
const WIDE_NUMBERS: [&str; 2] = ["4294967295", "4294967296"];

/// Fields that are such counters.
const WIDE_FIELDS: [&str; 5] = ["seq", "born", "first_crash_ms", "since_ms", "lasts_ms"];

const ADDRESSES: [&str; 7] = [
    "\"127.0.0.1:0\"",
    "\"127.0.0.1:65536\"",
    "\"127.0.0.1:99999999999999999999\"",
    "\"127.0.0.1:-1\"",
    "\"0.0.0.0:80\"",
    "\"255.255.255.255:80\"",
    "\"239.1.2.3:80\"",
];

// Variants of a sound record in which one field has an odd value.
fn odd_variants(record: &str, numbers: &[&str], address: &str) -> Vec<String> {
    let sound: serde_json::Map<_, _> = serde_json::from_str(record).unwrap();
    let with = |field: &str, value: &str| {
        let fields = sound.iter().filter(|(name, _)| name.as_str() != field);
        let mut text: String = fields.map(|(n, v)| format!("\"{n}\":{v},")).collect();
        text.push_str(&format!("\"{field}\":{value}"));
        format!("{{{text}}}")
    };
    let mut variants = Vec::new();
    for field in numbers {
        variants.extend(NUMBERS.iter().map(|n| with(field, n)));
        if !WIDE_FIELDS.contains(field) {
            variants.extend(WIDE_NUMBERS.iter().map(|n| with(field, n)));
        }
        variants.push(with(field, &nested("[")));
    }
    variants.extend(ADDRESSES.iter().map(|a| with(address, a)));
    for open in ["[", "{\"a\":", "[{\"b\":[", "\"", "-"] {
        variants.push(nested(open));
        variants.push(with("a field of a later release", &nested(open)));
        variants.push(with(address, &nested(open)));
    }
    variants.push(with(address, &format!("\"{}\"", nested("x"))));
    variants.push(with("zone", &format!("\"{}\"", nested("z"))));
    variants.extend(["", "null", "[]", "{}", "7", "\u{0}"].map(str::to_owned));
    variants
}

fn odd_entries(service: &str) -> Vec<String> {
    // Nothing listens there.
    let at: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let record = server_record(service, at, "ready", 1);
    let numbers = ["slots", "cold_left_ms", "seq", "born"];
    odd_variants(&record, &numbers, "addr")
}

async fn assert_served(cluster: &TestCluster, ids: &str) {
    for n in 0..8 {
        let calls = [
            get("/safe/a", &format!("{ids}-s{n}")),
            post("/unsafe/a", &format!("{ids}-u{n}")),
            post("/resume/a", &format!("{ids}-m{n}")).header("prompt-prefix", "a1:30,b2:20"),
        ];
        for call in calls {
            let result = cluster.call(&call).await;
            let (status, body) = (result.status.map(|s| s.as_u16()), &result.body);
            assert_eq!(status, Some(200), "{call:?}: {body:?}");
            assert!(result.complete, "{call:?}: {body:?}");
        }
    }
}

async fn await_drained(cluster: &TestCluster, target: usize, node: usize) {
    let name = cluster.desk_targets[target].name().parse().unwrap();
    let replica = cluster.nodes[node].replica();
    let mut changes = replica.watch();
    while replica.is_active(&name) {
        changes.changed().await.unwrap();
    }
}

/// Guards against odd entries among those of the targets that end a node, stop it from following the
/// list, or attract requests.
#[tokio::test]
async fn odd_entries_of_targets_change_nothing() {
    let mut cluster = TestCluster::start(1, 2, 1).await;
    for (service, entries) in ["desk", "model"].map(|s| (s, odd_entries(s))) {
        for (n, entry) in entries.iter().enumerate() {
            let key = format!("odd-{service}-{n}");
            cluster.store.put("keyed.servers", &key, Some(entry));
        }
    }
    // Read by this node as changes, and by the one that starts as a list.
    let draining = server_record("desk", cluster.desk_targets[0].address(), "draining", 2);
    let name = cluster.desk_targets[0].name();
    cluster.store.put("keyed.servers", name, Some(&draining));
    cluster.add_node(1).await;
    cluster.nodes[1].await_ready().await;
    for node in 0..2 {
        await_drained(&cluster, 0, node).await;
    }
    assert_served(&cluster, "t").await;
    assert!(cluster.desk_targets[0].arrivals().is_empty());
    for node in &cluster.nodes {
        for service in ["desk", "model"] {
            let listed = node.replica().targets(&service.parse().unwrap());
            let odd = listed.iter().filter(|(n, _)| n.as_str().starts_with("odd"));
            let odd: Vec<_> = odd.collect();
            assert!(odd.is_empty(), "listed {odd:?}");
        }
    }
}
/// Guards against odd entries in the list of nodes and among the blocked prompts that end a node, keep
/// it from starting, or block requests.
#[tokio::test]
async fn odd_entries_of_nodes_and_blocks_change_nothing() {
    let mut cluster = TestCluster::start(1, 1, 1).await;
    let node = r#"{"peer":"127.0.0.1:9","zone":"z1","cpu_milli":1000}"#;
    let block = r#"{"set":[161],"first_crash_ms":1.0,"since_ms":1.0,"lasts_ms":1.0}"#;
    for (n, entry) in odd_variants(node, &["cpu_milli"], "peer")
        .iter()
        .enumerate()
    {
        let key = format!("127.0.0.1:{n}");
        cluster.store.put("keyed.nodes", &key, Some(entry));
    }
    let numbers = ["first_crash_ms", "since_ms", "lasts_ms"];
    let mut blocks = odd_variants(block, &numbers, "set");
    blocks.push(block.replace("[161]", "[]"));
    blocks.push(block.replace("[161]", "[18446744073709551616]"));
    for (n, entry) in blocks.iter().enumerate() {
        let key = format!("block-{n:016x}");
        cluster.store.put("keyed.nodes", &key, Some(entry));
    }
    cluster.add_node(1).await;
    cluster.nodes[1].await_ready().await;
    cluster.nodes[1].await_members(2).await;
    assert_served(&cluster, "n").await;
}

/// Guards against an odd version of the configuration that ends a node or hides the versions after it.
#[tokio::test]
async fn odd_configurations_change_nothing() {
    let cluster = TestCluster::start(1, 1, 1).await;
    let sound = config_record(2, &[KEY], 1_000_000);
    let odd = ["[", "{\"a\":", "[{\"b\":["].map(nested).into_iter();
    let in_field = odd.clone().map(|value| {
        sound.replace(
            "\"a field of a later release\":true",
            &format!("\"a field of a later release\":{value}"),
        )
    });
    let numbers = ["1e400", "18446744073709551616", "-1"].map(|n| {
        let version = sound.replace("\"version\":2", &format!("\"version\":{n}"));
        assert_ne!(version, sound);
        version
    });
    for record in odd.clone().chain(in_field).chain(numbers) {
        cluster.store.put("keyed.op", "config", Some(&record));
    }
    for key in ["config2", "CONFIG", "", "config/config"] {
        cluster.store.put("keyed.op", key, Some(&nested("[")));
    }
    cluster.put_config(3, &[KEY, "k3"], 1_000_000);
    cluster.nodes[0].await_config(3).await;
    assert_served(&cluster, "c").await;
}

/// Guards against a configuration whose numbers are valid but large enough to end the node that uses
/// them.
#[tokio::test]
async fn a_configuration_with_large_numbers_is_served() {
    let cluster = TestCluster::start(1, 2, 2).await;
    let large = config_record(2, &[KEY], 1_000_000)
        .replace("\"timeout_ms\":3000", "\"timeout_ms\":1e308")
        .replace("\"attempts\":1,", "\"attempts\":4294967295,")
        .replace("\"stride\":2", "\"stride\":4294967295")
        .replace("\"slots\":4", "\"slots\":4294967295")
        .replace("\"kv_cap_tokens\":100000", "\"kv_cap_tokens\":4294967295")
        .replace(
            "\"service\":\"desk\"",
            "\"split\":[{\"service\":\"desk\",\"weight\":1e300},{\"service\":\"desk\",\"weight\":1e300}]",
        );
    cluster.store.put("keyed.op", "config", Some(&large));
    cluster.nodes[0].await_config(2).await;
    assert_served(&cluster, "l").await;
    for n in 0..4 {
        let mut call = get("/safe/a", &format!("d{n}"));
        call.headers.retain(|(name, _)| *name != "deadline-ms");
        let result = cluster.call(&call).await;
        assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
    }
}

/// Guards against keys that cannot be named in the next call, where the list has several pages.
#[tokio::test]
async fn a_list_is_read_beyond_a_page_that_ends_with_an_odd_key() {
    for odd in ["zz &after=x", "zz%41", "zz#?", "zz\u{e9}\u{1}"] {
        let mut cluster = TestCluster::start(0, 1, 1).await;
        // The odd key ends the first page; the targets that requests need are on the second one.
        let first = rwd_lab::site::PAGE_RECORDS - 1;
        for n in 0..first {
            let key = format!("a{n:04}");
            cluster.store.put("keyed.servers", &key, Some("{}"));
        }
        let key = format!("b{odd}");
        cluster.store.put("keyed.servers", &key, Some("{}"));
        cluster.add_node(0).await;
        cluster.nodes[0].await_ready().await;
        assert_served(&cluster, "p").await;
    }
}
