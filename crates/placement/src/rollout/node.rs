//! What one home node knows of a roll-out, counts for it and may do.

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};

use super::judge::MAX_ROUTES;
use super::{
    MAX_GRANT_MS, RolloutGrant, RolloutOrder, RolloutReport, RouteReport, Stage, Tally, Version,
    VersionRule,
};
use crate::Timestamp;

/// How long after the end of a roll-out requests keep to the new version, in milliseconds; by then the
/// targets of the old one are gone from the registry.
const DONE_HOLD_MS: f64 = 30_000.0;
/// Maximum number of bad targets in a report.
const MAX_BAD_TARGETS: usize = 3;
/// Least and greatest time between two reports, in milliseconds.
const REPORT_MS: (f64, f64) = (100.0, 2000.0);

/// One home node's part of a roll-out.
#[derive(Clone, Debug)]
pub struct NodeRollout {
    order: RolloutOrder,
    life: u64,
    known_since: Timestamp,
    stage: Stage,
    stage_since: Timestamp,
    // Until when the present grant holds.
    holds_until: Timestamp,
    next_report: Timestamp,
    allowed: u64,
    requests: u64,
    sent_new: u64,
    longest_old_ms: f64,
    bad_targets: IndexSet<u64>,
    routes: IndexMap<CompactString, (Tally, Tally)>,
}

impl NodeRollout {
    /// A roll-out that this node has just learned of; `life` is random, `age_ms` the time since any node
    /// saw the order first.
    pub fn new(order: RolloutOrder, life: u64, age_ms: f64, now: Timestamp) -> Self {
        Self {
            order,
            life,
            known_since: now + -age_ms,
            stage: Stage::Canary,
            stage_since: now,
            holds_until: Timestamp::default(),
            next_report: now,
            allowed: 0,
            requests: 0,
            sent_new: 0,
            longest_old_ms: 0.0,
            bad_targets: IndexSet::new(),
            routes: IndexMap::new(),
        }
    }

    /// The order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// The stage that the node keeps to.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    fn is_stale(&self, now: Timestamp) -> bool {
        !self.stage.is_final() && now > self.holds_until
    }

    /// Which versions a request may go to; a rule that names the new version draws on the allowance.
    ///
    /// `began_old` says whether it has been sent to the old version before; `has_old` and `has_new` whether
    /// targets of the versions take requests.
    pub fn choose(
        &mut self,
        began_old: bool,
        has_old: bool,
        has_new: bool,
        now: Timestamp,
    ) -> VersionRule {
        let (only, except) = (
            VersionRule::Only(self.order.to.clone()),
            VersionRule::Except(self.order.to.clone()),
        );
        match self.stage {
            Stage::Reverted => except,
            Stage::Done if has_old && has_new && now - self.stage_since < DONE_HOLD_MS => only,
            Stage::Done => VersionRule::Any,
            _ if self.is_stale(now) || !has_new => except,
            Stage::Canary if began_old || self.sent_new >= self.allowed => except,
            Stage::Canary | Stage::Full => {
                self.sent_new += 1;
                only
            }
        }
    }

    /// Which versions a stream may go to that `version` began; it may go on if the rule allows that version.
    pub fn choose_resume(
        &mut self,
        version: &Version,
        has_new: bool,
        now: Timestamp,
    ) -> VersionRule {
        match self.stage {
            Stage::Done => VersionRule::Only(self.order.to.clone()),
            _ if *version == self.order.to => self.choose(false, true, has_new, now),
            _ => VersionRule::Only(version.clone()),
        }
    }

    /// Whether a request with this rule may still be sent to a target of the new version, or of an old
    /// one, after it has waited for its slot.
    pub fn may_send(&self, rule: &VersionRule, is_new: bool, now: Timestamp) -> bool {
        let is_stale = self.is_stale(now);
        match (self.stage, is_new) {
            (Stage::Reverted, is_new) => !is_new,
            (Stage::Done, is_new) => is_new || *rule == VersionRule::Any,
            (Stage::Canary | Stage::Full, true) => {
                !is_stale && matches!(rule, VersionRule::Only(_))
            }
            // A stream that an old version began goes on there.
            (Stage::Full, false) => {
                let resumes = matches!(rule, VersionRule::Only(v) if *v != self.order.to);
                is_stale || resumes
            }
            (Stage::Canary, false) => true,
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn record_request(&mut self) {
        self.requests += 1;
    }

    /// Counts an answer; `ms` is the time to its first byte, if that says anything about the version.
    pub fn record_answer(
        &mut self,
        route: &CompactString,
        is_new: bool,
        failed: bool,
        ms: Option<f64>,
    ) {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            return;
        }
        let (old, new) = self.routes.entry(route.clone()).or_default();
        match is_new {
            true => new.record(failed, ms),
            false => old.record(failed, ms),
        }
    }

    /// Remembers a target of the new version that gave a bad answer, by the hash of its name.
    pub fn record_bad_target(&mut self, target: u64) {
        if self.bad_targets.len() < MAX_BAD_TARGETS {
            self.bad_targets.insert(target);
        }
    }

    /// Whether an answer on this route after `ms` is longer than all but few of the old version here.
    pub fn is_slow(&self, route: &CompactString, ms: f64) -> bool {
        let Some((old, _)) = self.routes.get(route) else {
            return false;
        };
        let longer = old.slow(super::step(ms));
        f64::from(longer) < 0.1 * f64::from(old.slow(0))
    }

    /// Records how long a request of the old version took, in milliseconds.
    pub fn record_old_end(&mut self, ms: f64) {
        self.longest_old_ms = self.longest_old_ms.max(ms);
    }

    /// The report that is due, if any.
    pub fn due_report(&mut self, old_in_progress: u32, now: Timestamp) -> Option<RolloutReport> {
        if self.stage.is_final() || now < self.next_report {
            return None;
        }
        // A lost reply costs one period.
        self.next_report = now + REPORT_MS.0.max(MAX_GRANT_MS / 4.0);
        let routes = self.routes.iter().map(|(route, (old, new))| RouteReport {
            route: route.clone(),
            old: *old,
            new: *new,
        });
        Some(RolloutReport {
            order: self.order.clone(),
            life: self.life,
            age_ms: now - self.known_since,
            stage: match self.is_stale(now) {
                true => Stage::Canary,
                false => self.stage,
            },
            requests: self.requests,
            sent_new: self.sent_new,
            old_in_progress,
            longest_old_ms: self.longest_old_ms,
            bad_targets: self.bad_targets.iter().copied().collect(),
            routes: routes.collect(),
        })
    }

    /// Applies the reply to a report that was made at `reported`. Returns whether the stage changed.
    pub fn learn(&mut self, grant: &RolloutGrant, reported: Timestamp, now: Timestamp) -> bool {
        let holds_until = reported + grant.holds_ms.clamp(0.0, MAX_GRANT_MS);
        // A reply that was overtaken by a later one.
        let overtaken = holds_until < self.holds_until;
        let changed = match grant.stage {
            stage if stage.is_final() => self.end(stage, now),
            _ if self.stage.is_final() || overtaken => return false,
            stage => std::mem::replace(&mut self.stage, stage) != stage,
        };
        if changed {
            self.stage_since = now;
        }
        self.allowed = self.allowed.max(grant.allowed);
        self.holds_until = holds_until;
        self.next_report = reported + grant.report_ms.clamp(REPORT_MS.0, REPORT_MS.1);
        changed
    }

    /// Ends the roll-out here, as another node or the store says. Returns whether that is new.
    pub fn end(&mut self, stage: Stage, now: Timestamp) -> bool {
        let changed = stage.is_final() && stage > self.stage;
        if changed {
            self.stage = stage;
            self.stage_since = now;
        }
        changed
    }
}
