//! Compares the answers of two versions by sequential tests.
//!
//! Wald, "Sequential tests of statistical hypotheses" (1945), and Page, "Continuous inspection schemes"
//! (1954): the cumulative sum starts again at zero, so that a version that turns bad late is found as
//! fast as one that was bad from the start.

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};

use super::{HISTOGRAM_STEPS, RouteReport, Tally};

/// Sum of log-likelihood ratios at which a version is bad: a chance of 1 in a million for a good one.
const REJECT: f64 = 13.8;
/// Sum at which it is good: a chance of 1 in 100 for a bad one.
const ACCEPT: f64 = -4.6;
/// Lowest sum, so that good answers of long ago do not outweigh later bad ones.
const LOWEST: f64 = 2.0 * ACCEPT;
/// Lowest share of bad answers that a good version is assumed to have.
const MIN_OLD_SHARE: f64 = 0.01;
/// Highest share of bad answers of the old version that is taken as given.
const MAX_OLD_SHARE: f64 = 0.4;
/// Least excess over the old version's share of bad answers that makes a version bad.
const MIN_EXCESS: f64 = 0.12;
/// Answers of the old version that its share of bad ones is smoothed with.
const PRIOR_ANSWERS: f64 = 50.0;
/// Answers of the old version on a route below which times are not compared.
const MIN_OLD_TIMES: u32 = 20;
/// Answers beyond this percentile of the old version's times, and longer by [`SLOW_STEPS`], are slow.
const SLOW_PERCENTILE: f64 = 0.9;
/// Steps of the histogram from that percentile to slow answers: a factor of at least 2.
const SLOW_STEPS: usize = 3;
/// Routes with a smaller share of the old version's answers need no verdict of their own.
const MIN_ROUTE_SHARE: f64 = 0.05;
/// Number of targets that must have given bad answers: one may be sick, whatever its version.
const MIN_BAD_TARGETS: usize = 2;
/// Number of bad answers from which one target is enough.
const MAX_BAD_ANSWERS: u32 = 15;
/// Maximum number of bad targets that are remembered.
const MAX_BAD_TARGETS: usize = 8;
/// Maximum number of routes that are told apart.
pub(super) const MAX_ROUTES: usize = 16;

/// Why a version is bad.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The route; empty for all together.
    pub route: CompactString,
    /// Bad answers of the new version.
    pub bad: u32,
    /// All of its answers.
    pub answers: u32,
    /// Share of bad answers of the old version.
    pub old_share: f64,
}

#[derive(Clone, Debug, Default)]
struct Test {
    // Sum that starts at zero again, for the verdict "bad".
    cusum: f64,
    // Sum since the start, for the verdict "good".
    sum: f64,
    old: u32,
    old_bad: u32,
    new: u32,
    new_bad: u32,
}

impl Test {
    fn old_share(&self) -> f64 {
        let prior = MIN_OLD_SHARE * PRIOR_ANSWERS;
        let share = (f64::from(self.old_bad) + prior) / (f64::from(self.old) + PRIOR_ANSWERS);
        share.clamp(MIN_OLD_SHARE, MAX_OLD_SHARE)
    }

    fn add(&mut self, good: u32, bad: u32) {
        let p0 = self.old_share();
        let p1 = p0 + MIN_EXCESS.max(p0);
        let down = f64::from(good) * ((1.0 - p1) / (1.0 - p0)).ln();
        let up = f64::from(bad) * (p1 / p0).ln();
        self.cusum = (self.cusum + down + up).max(0.0);
        self.sum = (self.sum + down + up).max(LOWEST);
        self.new = self.new.saturating_add(good).saturating_add(bad);
        self.new_bad = self.new_bad.saturating_add(bad);
    }
}

#[derive(Clone, Debug, Default)]
struct Route {
    old: Tally,
    test: Test,
}

impl Route {
    // The first step of the histogram that counts as slow.
    fn slow_from(&self) -> usize {
        let timed = self.old.slow(0);
        if timed < MIN_OLD_TIMES {
            return HISTOGRAM_STEPS;
        }
        let limit = f64::from(timed) * SLOW_PERCENTILE;
        let mut seen = 0;
        let at = self.old.steps.iter().position(|n| {
            seen += n;
            f64::from(seen) >= limit
        });
        at.map_or(HISTOGRAM_STEPS, |at| at + SLOW_STEPS)
    }
}

/// Judges the new version of one roll-out.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    routes: IndexMap<CompactString, Route>,
    all: Test,
    bad_targets: IndexSet<u64>,
}

impl Judge {
    /// Adds answers that were not counted before.
    pub fn add(&mut self, news: &RouteReport) {
        if !self.routes.contains_key(&news.route) && self.routes.len() >= MAX_ROUTES {
            return;
        }
        let route = self.routes.entry(news.route.clone()).or_default();
        route.old.add(&news.old);
        let slow_from = route.slow_from();
        let bad = |t: &Tally| t.failures.saturating_add(t.slow(slow_from)).min(t.answers);
        route.test.old = route.old.answers;
        route.test.old_bad = bad(&route.old);
        let new_bad = bad(&news.new);
        route.test.add(news.new.answers - new_bad, new_bad);
        self.all.old = self.routes.values().map(|r| r.test.old).sum();
        self.all.old_bad = self.routes.values().map(|r| r.test.old_bad).sum();
        self.all.add(news.new.answers - new_bad, new_bad);
    }

    /// A judge that knows the same of the old version, and nothing of the new one.
    pub fn restarted(&self) -> Self {
        let fresh = |t: &Test| Test {
            old: t.old,
            old_bad: t.old_bad,
            ..Test::default()
        };
        let routes = self.routes.iter().map(|(name, r)| {
            let route = Route {
                old: r.old,
                test: fresh(&r.test),
            };
            (name.clone(), route)
        });
        Self {
            routes: routes.collect(),
            all: fresh(&self.all),
            bad_targets: IndexSet::new(),
        }
    }

    /// Adds targets of the new version that gave bad answers.
    pub fn add_bad_targets(&mut self, targets: &[u64]) {
        for target in targets {
            if self.bad_targets.len() < MAX_BAD_TARGETS {
                self.bad_targets.insert(*target);
            }
        }
    }

    /// Whether enough answers show that the new version is no worse.
    pub fn is_good(&self) -> bool {
        let least = f64::from(self.all.old) * MIN_ROUTE_SHARE;
        let mut routes = self.routes.values();
        self.all.sum <= ACCEPT
            && routes.all(|r| f64::from(r.test.old) < least || r.test.sum <= ACCEPT)
    }

    /// Whether bad answers are on the way to a verdict, so that nothing final should be done.
    pub fn is_suspicious(&self) -> bool {
        self.tests().any(|(_, t)| t.cusum > REJECT / 2.0)
    }

    /// Why the new version is bad, if it is.
    pub fn verdict(&self) -> Option<Verdict> {
        let spread = self.bad_targets.len() >= MIN_BAD_TARGETS;
        let sound = |t: &Test| spread || t.new_bad >= MAX_BAD_ANSWERS;
        let found = self.tests().find(|(_, t)| t.cusum >= REJECT && sound(t));
        found.map(|(route, t)| Verdict {
            route: route.clone(),
            bad: t.new_bad,
            answers: t.new,
            old_share: t.old_share(),
        })
    }

    /// Answers and bad answers of the new version.
    pub fn counts(&self) -> (u32, u32) {
        (self.all.new, self.all.new_bad)
    }

    fn tests(&self) -> impl Iterator<Item = (&CompactString, &Test)> {
        const ALL: &CompactString = &CompactString::const_new("");
        let routes = self.routes.iter().map(|(name, r)| (name, &r.test));
        routes.chain([(ALL, &self.all)])
    }
}
