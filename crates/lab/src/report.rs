//! The report of an experiment, as JSON and as a table.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;
use std::fmt;

use crate::fake::Ledger;
use crate::invariants::Invariants;
use crate::{RequestOutcome, RequestRecord};

/// Latency percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
}

/// Outcomes and latencies of one tier's requests.
#[derive(Clone, Debug, Serialize)]
pub struct TierReport {
    /// The tier.
    pub tier: String,
    /// Requests sent.
    pub offered: u64,
    /// Complete responses.
    pub finished: u64,
    /// Complete responses by the deadline.
    pub in_time: u64,
    /// `in_time` over `offered`.
    pub goodput: f64,
    /// Requests that were refused without being run.
    pub refused_not_run: u64,
    /// Requests that may have run, without a complete response.
    pub unknown: u64,
    /// Requests without any outcome.
    pub lost: u64,
    /// Time to the first token.
    pub ttft_ms: Percentiles,
    /// Inter-token latency.
    pub itl_ms: Percentiles,
    /// Tokens of responses that were complete by the deadline.
    pub tokens_in_time: u64,
}

/// Resources that the nodes used.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ControlReport {
    /// Peer traffic in both directions per node and second, offers and grants included.
    pub bytes_per_node_s: f64,
    /// CPU time per node over wall time, relaying of responses included.
    pub core_share: f64,
    /// Resident memory of the whole process, fakes included.
    pub rss_mb: f64,
}

/// The report of one experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the target selection policy.
    pub policy: String,
    /// Name of the workload.
    pub workload: String,
    /// Seed of requests and faults.
    pub seed: u64,
    /// How long requests were sent, in seconds.
    pub seconds: f64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of targets.
    pub targets: usize,
    /// By tier, highest priority first.
    pub tiers: Vec<TierReport>,
    /// Prompt tokens that engines processed.
    pub prefill_tokens: u64,
    /// Those that had been processed before, or whose request did not finish.
    pub wasted_prefill_tokens: u64,
    /// Violations of each invariant.
    pub invariants: Invariants,
    /// Resources that the nodes used.
    pub control: ControlReport,
    /// Number of refusals and failures by tier and kind.
    pub problems: IndexMap<String, u64>,
    /// Additional figures of the scenario.
    pub figures: IndexMap<String, f64>,
    /// Injected faults and other events, in order.
    pub events: Vec<String>,
    /// Fields that this scenario does not measure.
    pub not_measured: Vec<String>,
}

impl Report {
    /// Summarizes the records of an experiment.
    pub fn new(scenario: &str, records: &[RequestRecord], ledger: &Ledger) -> Self {
        let mut by_tier: IndexMap<(u8, &str), Vec<&RequestRecord>> = IndexMap::new();
        for record in records {
            by_tier
                .entry((record.rank, record.tier))
                .or_default()
                .push(record);
        }
        by_tier.sort_unstable_keys();
        let tiers = by_tier
            .iter()
            .map(|((_, tier), records)| TierReport::new(tier, records));
        let (prefill_tokens, wasted_prefill_tokens) = ledger.prefill_totals();
        Self {
            scenario: scenario.to_owned(),
            policy: "granted".to_owned(),
            workload: String::new(),
            seed: 0,
            seconds: 0.0,
            nodes: 0,
            targets: 0,
            tiers: tiers.collect(),
            prefill_tokens,
            wasted_prefill_tokens,
            invariants: Invariants::check(records, ledger),
            control: ControlReport::default(),
            problems: problems(records),
            figures: IndexMap::new(),
            events: Vec::new(),
            not_measured: Vec::new(),
        }
    }

    /// Whether every invariant held and no request was lost.
    pub fn is_clean(&self) -> bool {
        self.invariants.hold() && self.tiers.iter().all(|t| t.lost == 0)
    }
}

impl TierReport {
    fn new(tier: &str, records: &[&RequestRecord]) -> Self {
        let count =
            |f: &dyn Fn(&RequestRecord) -> bool| records.iter().filter(|r| f(r)).count() as u64;
        let in_time = count(&|r| r.in_time());
        let completions = records.iter().filter(|r| r.tokens > 0);
        let first = completions.clone().filter_map(|r| {
            let first = r.first_token?;
            Some((first - r.sent).as_secs_f64() * 1000.0)
        });
        let intervals = completions.flat_map(|r| r.intervals.iter().map(|ms| f64::from(*ms)));
        let tokens = records.iter().filter(|r| r.in_time()).map(|r| r.tokens);
        Self {
            tier: tier.to_owned(),
            offered: records.len() as u64,
            finished: count(&|r| r.outcome == RequestOutcome::Complete),
            in_time,
            goodput: in_time as f64 / records.len().max(1) as f64,
            refused_not_run: count(&|r| matches!(r.outcome, RequestOutcome::NotRun { .. })),
            unknown: count(&|r| matches!(r.outcome, RequestOutcome::Unknown { .. })),
            lost: count(&|r| r.outcome == RequestOutcome::Lost),
            ttft_ms: percentiles(first),
            itl_ms: percentiles(intervals),
            tokens_in_time: tokens.sum(),
        }
    }
}

fn problems(records: &[RequestRecord]) -> IndexMap<String, u64> {
    let mut problems = IndexMap::new();
    for record in records {
        let name = match &record.outcome {
            RequestOutcome::NotRun { kind } => format!("{} not run: {kind}", record.tier),
            RequestOutcome::Unknown { kind } => format!("{} unknown: {kind}", record.tier),
            _ => continue,
        };
        *problems.entry(name).or_default() += 1;
    }
    problems.sort_unstable_keys();
    problems
}

/// Computes percentiles of samples in milliseconds.
pub(crate) fn percentiles(samples: impl Iterator<Item = f64>) -> Percentiles {
    // Three significant digits are finer than the measurement noise of the machine.
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return Percentiles::default();
    };
    for ms in samples {
        // The histogram resizes itself, so no sample is out of range.
        let _ = histogram.record((ms * 1000.0) as u64);
    }
    let quantile = |q| histogram.value_at_quantile(q) as f64 / 1000.0;
    Percentiles {
        p50: quantile(0.5),
        p95: quantile(0.95),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} · {} · {} · seed {} · {:.0} s · {} nodes · {} targets",
            self.scenario,
            self.workload,
            self.policy,
            self.seed,
            self.seconds,
            self.nodes,
            self.targets
        )?;
        writeln!(f)?;
        writeln!(
            f,
            "{:<12}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>7}{:>10}{:>10}{:>9}",
            "tier",
            "offered",
            "whole",
            "in time",
            "goodput",
            "not run",
            "unknown",
            "lost",
            "first p50",
            "first p95",
            "gap p95"
        )?;
        for t in &self.tiers {
            writeln!(
                f,
                "{:<12}{:>9}{:>9}{:>9}{:>9.3}{:>9}{:>9}{:>7}{:>8.0}ms{:>8.0}ms{:>7.1}ms",
                t.tier,
                t.offered,
                t.finished,
                t.in_time,
                t.goodput,
                t.refused_not_run,
                t.unknown,
                t.lost,
                t.ttft_ms.p50,
                t.ttft_ms.p95,
                t.itl_ms.p95
            )?;
        }
        let wasted = self.wasted_prefill_tokens as f64 / self.prefill_tokens.max(1) as f64;
        writeln!(f)?;
        writeln!(
            f,
            "prompt tokens processed {}, wasted {} ({:.1}%)",
            self.prefill_tokens,
            self.wasted_prefill_tokens,
            wasted * 100.0
        )?;
        for (name, n) in &self.problems {
            writeln!(f, "  {name}: {n}")?;
        }
        for (name, value) in &self.figures {
            writeln!(f, "  {name}: {value:.3}")?;
        }
        for event in &self.events {
            writeln!(f, "  {event}")?;
        }
        writeln!(f, "{}", self.invariants)?;
        write!(
            f,
            "peer traffic {:.0} B/s a node · {:.3} of a core a node · {:.0} MB in all",
            self.control.bytes_per_node_s, self.control.core_share, self.control.rss_mb
        )?;
        match self.not_measured.is_empty() {
            true => Ok(()),
            false => write!(f, "\nnot measured: {}", self.not_measured.join(", ")),
        }
    }
}

impl fmt::Display for Invariants {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "must be 0: dispatched twice {}, tier inversions {}, wrong answers {}, false not-run {}, \
             non-idempotent twice {}, cut by planned stop {}, late to leaving {}, config reverted {}",
            self.dispatched_twice,
            self.tier_inversions,
            self.wrong_answers,
            self.false_not_run,
            self.non_idempotent_twice,
            self.cut_by_planned_stop,
            self.late_to_leaving,
            self.config_reverted
        )
    }
}
