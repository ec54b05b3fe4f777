//! Decides on one roll-out for all nodes.

use indexmap::IndexMap;
use rwd_types::InstanceName;

use super::{
    Judge, MAX_GRANT_MS, RolloutGrant, RolloutLimits, RolloutOrder, RolloutReport, RouteReport,
    Stage, StatusRecord, Tally, Verdict,
};
use crate::Timestamp;

/// Fraction of the tolerated share that the canary uses until it is time to move all traffic.
const CANARY_USE: f64 = 0.2;
/// Fraction that it uses if there is no verdict by then.
const LATE_CANARY_USE: f64 = 0.6;
/// Fraction of the tolerated slack that the canary uses.
const SLACK_USE: f64 = 0.6;
/// Fraction of the tolerated slack that the canary and all traffic after the move use together.
const MOVE_SLACK_USE: f64 = 0.8;
/// Time with all traffic at the new version, beyond the longest request, before the old one is given up,
/// in milliseconds: it may be bad under load only.
const FULL_LOAD_MS: f64 = 2000.0;
/// Window over which the rate of requests is measured, in milliseconds.
const RATE_WINDOW_MS: f64 = 1000.0;
/// Sends to the new version that a node may have ready.
const MAX_READY: u64 = 2;
/// Least number of sends that are reserved at once; each reservation is a write to the store.
const MIN_RESERVATION: u64 = 8;
/// Age of what is known of the status record above which nothing is granted, in milliseconds.
const MAX_CONFIRM_MS: f64 = 1500.0;
/// Time between two reports of a node, in milliseconds.
const REPORT_MS: f64 = 250.0;
/// The same for each node, so that many nodes do not load the decider.
const REPORT_MS_PER_NODE: f64 = 1.5;
/// Longest time between two reports, in milliseconds; two fit into a grant.
const MAX_REPORT_MS: f64 = MAX_GRANT_MS * 0.4;
/// How long a report that nothing is in progress at the old version counts, beyond the time to the next
/// one, in milliseconds.
const QUIET_SLACK_MS: f64 = 400.0;
/// Maximum number of nodes whose reports are kept.
const MAX_NODES: usize = 1024;

#[derive(Clone, Debug)]
struct Node {
    life: u64,
    requests: u64,
    sent_new: u64,
    allowed: u64,
    stage: Stage,
    // What it was told last.
    granted: Stage,
    old_in_progress: u32,
    reported: Timestamp,
    routes: IndexMap<compact_str::CompactString, (Tally, Tally)>,
}

/// The deciding node's state of one roll-out.
#[derive(Clone, Debug)]
pub struct Decider {
    order: RolloutOrder,
    limits: RolloutLimits,
    started: Timestamp,
    stage: Stage,
    full_since: Timestamp,
    // The judge of the answers since then.
    full_judge: Judge,
    judge: Judge,
    verdict: Option<Verdict>,
    nodes: IndexMap<InstanceName, Node>,
    // Requests of all nodes and their earlier processes.
    requests: u64,
    // Their rate per millisecond, and the requests and the time from which it is measured next.
    rate: f64,
    rate_from: (u64, Timestamp),
    longest_old_ms: f64,
    // Stage that the store holds for this order, and when that was last known.
    stored: Option<Stage>,
    confirmed: Option<Timestamp>,
    // Sends that all deciders have reserved, as far as this one knows; a restored store may have
    // forgotten some.
    reserved: u64,
    // Sends that this decider has reserved and not granted.
    ready: u64,
}

impl Decider {
    /// A decider that has seen nothing yet; `started` is when the order was first seen.
    pub fn new(order: RolloutOrder, limits: RolloutLimits, started: Timestamp) -> Self {
        Self {
            order,
            limits,
            started,
            stage: Stage::Canary,
            full_since: started,
            full_judge: Judge::default(),
            judge: Judge::default(),
            verdict: None,
            nodes: IndexMap::new(),
            requests: 0,
            rate: 0.0,
            rate_from: (0, started),
            longest_old_ms: 0.0,
            stored: None,
            confirmed: None,
            reserved: 0,
            ready: 0,
        }
    }

    /// The order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// The present stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether the roll-out has ended and the store holds that.
    pub fn is_settled(&self) -> bool {
        self.stage.is_final() && self.stored == Some(self.stage)
    }

    /// Why the new version is bad, if it was judged so here.
    pub fn verdict(&self) -> Option<&Verdict> {
        self.verdict.as_ref()
    }

    /// Answers and bad answers of the new version that are known here.
    pub fn counts(&self) -> (u32, u32) {
        self.judge.counts()
    }

    /// Whether enough answers show that the new version is no worse.
    pub fn is_good(&self) -> bool {
        self.judge.is_good()
    }

    /// Milliseconds since the order was first seen.
    pub fn age_ms(&self, now: Timestamp) -> f64 {
        now - self.started
    }

    /// Applies a node's report.
    pub fn observe(&mut self, name: &InstanceName, report: &RolloutReport, now: Timestamp) {
        if !report.order.is_same(&self.order) {
            return;
        }
        let is_known = self.nodes.contains_key(name);
        if !is_known && self.nodes.len() >= MAX_NODES {
            return;
        }
        self.started = Timestamp(self.started.0.min((now + -report.age_ms.max(0.0)).0));
        if report.stage.is_final() {
            self.end(report.stage);
        }
        if report.longest_old_ms.is_finite() {
            self.longest_old_ms = self.longest_old_ms.max(report.longest_old_ms);
        }
        let node = self
            .nodes
            .entry(name.clone())
            .or_insert_with(|| Node::new(report));
        if node.life != report.life {
            *node = Node::new(report);
        }
        // Reports may be repeated or overtake each other.
        if report.requests < node.requests || report.sent_new < node.sent_new {
            return;
        }
        self.requests += report.requests - node.requests;
        node.requests = report.requests;
        node.sent_new = report.sent_new;
        node.stage = report.stage;
        node.old_in_progress = report.old_in_progress;
        node.reported = now;
        self.judge.add_bad_targets(&report.bad_targets);
        for r in report.routes.iter().take(super::judge::MAX_ROUTES) {
            let (old, new) = node.routes.entry(r.route.clone()).or_default();
            let news = RouteReport {
                route: r.route.clone(),
                old: r.old.since(old),
                new: r.new.since(new),
            };
            self.judge.add(&news);
            if self.stage == Stage::Full {
                self.full_judge.add(&news);
            }
            (*old, *new) = (r.old, r.new);
        }
        self.measure_rate(now);
        if !self.stage.is_final()
            && let Some(verdict) = self.judge.verdict()
        {
            self.verdict = Some(verdict);
            self.stage = Stage::Reverted;
        }
    }

    fn measure_rate(&mut self, now: Timestamp) {
        let (requests, since) = self.rate_from;
        let ms = now - since;
        if ms >= RATE_WINDOW_MS {
            self.rate = (self.requests - requests) as f64 / ms;
            self.rate_from = (self.requests, now);
        }
    }

    /// What a node may do until its next report; it has just sent one.
    pub fn grant(&mut self, name: &InstanceName, nodes: usize, now: Timestamp) -> RolloutGrant {
        let stage = match self.stage {
            Stage::Full if !self.is_confirmed(now) || !self.may_go_on(now) => Stage::Canary,
            stage => stage,
        };
        let budget = match self.stage {
            Stage::Canary if self.is_confirmed(now) => self.ready,
            _ => 0,
        };
        let mut allowed = 0;
        if let Some(node) = self.nodes.get_mut(name) {
            let unused = node.allowed.saturating_sub(node.sent_new);
            let granted = MAX_READY.saturating_sub(unused).min(budget);
            self.ready -= granted;
            // A node that had more from an earlier decider has used that, or uses it now.
            node.allowed = node.allowed.max(node.sent_new) + granted;
            node.granted = stage;
            allowed = node.allowed;
        }
        RolloutGrant {
            stage,
            allowed,
            holds_ms: MAX_GRANT_MS.min(self.limits.rollback_ms * 0.4),
            report_ms: report_ms(nodes),
        }
    }

    fn is_confirmed(&self, now: Timestamp) -> bool {
        self.confirmed.is_some_and(|t| now - t <= MAX_CONFIRM_MS)
    }

    /// Applies what the store holds, as of `as_of`, a time before it was read.
    pub fn confirm(
        &mut self,
        stored: Option<StatusRecord>,
        as_of: Timestamp,
        now: Timestamp,
        unix_now_ms: f64,
    ) {
        self.confirmed = Some(as_of);
        let stored = stored.filter(|s| s.order.is_same(&self.order));
        self.stored = stored.as_ref().map(|s| s.stage);
        let Some(stored) = stored else {
            return;
        };
        let age_ms = unix_now_ms - stored.started_unix_ms;
        if age_ms.is_finite() && age_ms > 0.0 {
            self.started = Timestamp(self.started.0.min((now + -age_ms).0));
        }
        if stored.stage.is_final() {
            self.end(stored.stage);
        }
        self.reserved = self.reserved.max(stored.reserved);
    }

    fn end(&mut self, stage: Stage) {
        if stage > self.stage {
            self.stage = stage;
        }
    }

    /// Takes up a roll-out that has ended; the store may have forgotten how, or not have been told.
    pub fn reopen(&mut self, stage: Stage) {
        self.end(stage);
        self.stored = None;
        self.confirmed = None;
    }

    /// Ends the roll-out because its order was withdrawn.
    pub fn withdraw(&mut self) {
        self.end(Stage::Reverted);
    }

    // Sends to the new version that may be reserved by now.
    fn target(&self, now: Timestamp) -> f64 {
        let is_late = now >= self.move_at() && !self.judge.is_good();
        let used = match is_late {
            true => LATE_CANARY_USE,
            false => CANARY_USE,
        };
        let share = self.limits.canary_share * used * self.requests as f64;
        share + self.limits.canary_slack * SLACK_USE
    }

    /// When all traffic moves, if the new version is judged good by then: so late that it gets no more
    /// than the tolerated share by the end of the order's time even if it turns bad at once.
    pub fn move_at(&self) -> Timestamp {
        let share = self.limits.canary_share;
        let left = share * self.requests as f64 + self.limits.canary_slack * MOVE_SLACK_USE
            - self.reserved as f64;
        let ms = match self.rate > 0.0 {
            true => left.max(0.0) / (self.rate * (1.0 - share)),
            false => 0.0,
        };
        let over_ms = self.order.over_ms();
        self.started + (over_ms - ms.min(over_ms * share))
    }

    // Whether the new version may get all traffic for one more report.
    fn may_go_on(&self, now: Timestamp) -> bool {
        let sent: u64 = self.nodes.values().map(|n| n.sent_new).sum();
        let bound = self.limits.canary_share * self.requests as f64 + self.limits.canary_slack;
        let next = self.rate * report_ms(self.nodes.len());
        now - self.started >= self.order.over_ms() || sent as f64 + next <= bound
    }

    /// What must be written to the store next, if anything; `members` are the nodes that may have requests
    /// in progress. The write is conditional on what was last read.
    pub fn next_write(
        &self,
        members: &[InstanceName],
        now: Timestamp,
        unix_now_ms: f64,
    ) -> Option<StatusRecord> {
        self.confirmed?;
        let record = |stage, reserved| {
            Some(StatusRecord {
                order: self.order.clone(),
                stage,
                reserved,
                started_unix_ms: unix_now_ms - self.age_ms(now),
            })
        };
        let reserved = self.reserved;
        let target = (self.target(now) as u64).max(reserved);
        let is_short = self.ready < MIN_RESERVATION / 2;
        let step = MIN_RESERVATION.max(reserved / 10);
        match (self.stage, self.stored) {
            (stage, Some(stored)) if stage.is_final() && stored == stage => None,
            (stage, _) if stage.is_final() => record(stage, reserved),
            (Stage::Full, _) if self.is_quiet(members, now) => record(Stage::Done, reserved),
            (Stage::Full, None) => record(Stage::Full, reserved),
            (Stage::Canary, _) if self.may_move(now) => record(Stage::Full, reserved),
            (Stage::Canary, None) => record(Stage::Canary, target),
            (Stage::Canary, _) if is_short && target >= reserved + step => {
                record(Stage::Canary, target)
            }
            _ => None,
        }
    }

    fn may_move(&self, now: Timestamp) -> bool {
        now >= self.move_at() && self.judge.is_good() && !self.judge.is_suspicious()
    }

    /// Applies a write that the store has accepted at `as_of`, a time before the call.
    pub fn written(&mut self, status: StatusRecord, as_of: Timestamp, now: Timestamp) {
        let before = self.reserved;
        self.reserved = before.max(status.reserved);
        self.stored = Some(status.stage);
        self.confirmed = Some(as_of);
        match (self.stage, status.stage) {
            (Stage::Canary, Stage::Canary) => {
                self.ready += self.reserved - before;
            }
            (Stage::Canary, Stage::Full) => {
                self.stage = Stage::Full;
                self.full_since = now;
                self.full_judge = self.judge.restarted();
            }
            (_, stage) => self.end(stage),
        }
    }

    // Whether no node has a request in progress at the old version, nor will have.
    fn is_quiet(&self, members: &[InstanceName], now: Timestamp) -> bool {
        let recent_ms = report_ms(members.len()) + QUIET_SLACK_MS;
        let quiet = |name| {
            self.nodes.get(name).is_some_and(|n: &Node| {
                n.stage == Stage::Full
                    && n.granted == Stage::Full
                    && n.old_in_progress == 0
                    && n.reported > self.full_since
                    && now - n.reported < recent_ms
            })
        };
        let full_ms = now - self.full_since;
        full_ms >= self.longest_old_ms + FULL_LOAD_MS
            && self.full_judge.is_good()
            && self.is_confirmed(now)
            && !self.judge.is_suspicious()
            && members.iter().all(quiet)
    }
}

impl Node {
    fn new(report: &RolloutReport) -> Self {
        Self {
            life: report.life,
            requests: 0,
            sent_new: 0,
            // Granted by an earlier decider, within its reservation.
            allowed: report.sent_new,
            stage: report.stage,
            granted: Stage::Canary,
            old_in_progress: 0,
            reported: Timestamp::default(),
            routes: IndexMap::new(),
        }
    }
}

fn report_ms(nodes: usize) -> f64 {
    (nodes as f64 * REPORT_MS_PER_NODE).clamp(REPORT_MS, MAX_REPORT_MS)
}
