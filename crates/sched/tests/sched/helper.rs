//! Test configurations, offers, and a scheduler that owns all shards.

use rwd_config::Configuration;
use rwd_metrics::Metrics;
use rwd_peer::View;
use rwd_sched::{Scheduler, SchedulerSettings, Topology};
use rwd_types::{BlockHash, Incarnation, Millis, TierRank, Tokens};
use rwd_wire::{GrantOutcome, GrantReport, Liveness, MemberUpdate, Offer, ShardId};
use serde_json::{Value, json};
use std::sync::Arc;

/// A configuration with `targets` targets of one class, modified by `change`.
pub fn configuration(
    targets: usize,
    slots: u32,
    change: impl Fn(&mut Value),
) -> Arc<Configuration> {
    let target = |i: usize| {
        let target = json!({
            "address": format!("127.0.0.1:{}", i + 1), "zone": "z", "class": "c",
            "pools": ["m"], "slots": slots,
        });
        (format!("t{i}"), target)
    };
    let mut value = json!({
        "preset": "ordinary",
        "presets": { "ordinary": { "reserved_slots": 0 } },
        "zones": { "z": "r" },
        "tiers": {
            "high": { "rank": 0, "deadline": 1000 },
            "middle": { "rank": 1, "deadline": 1000 },
            "low": { "rank": 2, "deadline": 1000 },
        },
        "workspaces": { "w": { "key": "key-of-w" }, "v": { "key": "key-of-v" } },
        "classes": { "c": { "prefill": 10000, "token_interval": 20 } },
        "models": { "m": { "max_prompt": 100000, "max_output": 10000 } },
        "targets": (0..targets).map(target).collect::<serde_json::Map<_, _>>(),
    });
    change(&mut value);
    Arc::new(Configuration::from_value(&value).unwrap())
}

pub fn member(name: &str) -> MemberUpdate {
    MemberUpdate {
        name: name.parse().unwrap(),
        incarnation: Incarnation(1),
        refutation: 0,
        liveness: Liveness::Alive,
        leaving: false,
        http: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        zone: "z".parse().unwrap(),
        cpu_milli: 0,
    }
}

pub fn view(names: &[&str]) -> View {
    View {
        members: names
            .iter()
            .map(|n| (n.parse().unwrap(), member(n)))
            .collect(),
    }
}

pub fn scheduler() -> Arc<Scheduler> {
    let cfg = SchedulerSettings {
        instance: "n".parse().unwrap(),
        lease: Millis(1000),
    };
    Arc::new(Scheduler::new(cfg, Arc::new(Metrics::new().unwrap())))
}

/// A scheduler that owns the targets of a configuration.
pub fn owner(cfg: &Arc<Configuration>) -> Arc<Scheduler> {
    let scheduler = scheduler();
    scheduler.apply(cfg, &Topology::new(cfg, &view(&["n"]), &Default::default()));
    scheduler
}

pub fn offer(tier: u8, workspace: &str) -> Offer {
    Offer {
        pool: "m".parse().unwrap(),
        shard: ShardId {
            region: "r".parse().unwrap(),
            group: "m".parse().unwrap(),
            index: 0,
        },
        tier: TierRank(tier),
        workspace: workspace.parse().unwrap(),
        prompt: Tokens(100),
        output: Tokens(20),
        blocks: Vec::new(),
        time_left: Millis(60_000),
    }
}

pub fn with_blocks(offer: Offer, blocks: &[u64]) -> Offer {
    Offer {
        blocks: blocks.iter().copied().map(BlockHash).collect(),
        prompt: Tokens(blocks.len() as u64 * 64 + 10),
        ..offer
    }
}

/// The report of a complete response with this token interval.
pub fn complete_report(interval_ms: u64) -> GrantReport {
    GrantReport {
        usage: GrantOutcome::Whole,
        first_token: Millis(50),
        decode: Millis(interval_ms * 19),
        output: Tokens(20),
        cached: None,
    }
}

pub fn ended(usage: GrantOutcome) -> GrantReport {
    GrantReport {
        usage,
        ..GrantReport::default()
    }
}
