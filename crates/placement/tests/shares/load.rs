//! Callers of 16 workspaces of skewed sizes, and the shards of one pool.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rwd_placement::{
    Capacity, Decision, Offer, OfferId, PlacementSettings, PromptPart, Rank, Scheduler,
    SlotOutcome, TargetInfo, Timestamp,
};
use rwd_types::{PoolName, WorkspaceName};

pub const WORKSPACES: usize = 16;
/// Time for which a request holds its slot, in milliseconds.
pub const SERVICE_MS: f64 = 200.0;
const FIRST_MS: f64 = 40.0;
const OBJECTIVE_MS: f64 = 1000.0;
const TIMEOUT_MS: f64 = 8000.0;
const TICK_MS: f64 = 10.0;
const REPORT_MS: f64 = 250.0;
/// Slots of all shards together.
pub const SLOTS: usize = 40;
/// Requests per second that all slots serve.
pub const CAPACITY: f64 = SLOTS as f64 * 1000.0 / SERVICE_MS;

/// Fraction of the usual load that a workspace sends: Zipf with exponent 1.2.
pub fn size(n: usize) -> f64 {
    let zipf = |n: usize| (n as f64 + 1.0).powf(-1.2);
    zipf(n) / (0..WORKSPACES).map(zipf).sum::<f64>()
}

pub fn workspace(n: usize) -> WorkspaceName {
    format!("w{n}").parse().unwrap()
}

pub fn shard(n: usize) -> PoolName {
    format!("model-{n}").parse().unwrap()
}

pub fn target(name: &str, slots: usize) -> TargetInfo {
    TargetInfo {
        name: name.parse().unwrap(),
        born: 1,
        version: Default::default(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "z1".parse().unwrap(),
        capacity: Capacity {
            slots: slots as u32,
            memory_tokens: Some(1_000_000),
        },
        leaving: false,
        warm_up_ms: 0.0,
    }
}

pub fn offer(n: usize, shard: PoolName) -> Offer {
    Offer {
        request: "r".into(),
        pool: shard,
        rank: Rank::default(),
        workspace: Some(workspace(n)),
        parts: vec![PromptPart { id: 1, tokens: 50 }],
        prompt: 500,
        output: 40,
        aim_left_ms: OBJECTIVE_MS,
        time_left_ms: TIMEOUT_MS,
        home: "n1".parse().unwrap(),
        zone: "z1".parse().unwrap(),
        exclude: Vec::new(),
        beyond_quota: false,
        returned: false,
        resumes: false,
        reuse_ms: 500.0,
        may_repeat: false,
        version: Default::default(),
        max_output: 0,
        last_resort: false,
    }
}

/// What became of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub asked: f64,
    pub on_time: f64,
    pub late: f64,
    pub refused: f64,
}

struct Caller {
    n: usize,
    shard: usize,
    id: OfferId,
    // The number of the caller's request, for its prompt.
    key: u64,
    tries: usize,
    time_left_ms: f64,
    // Whether it was sent while requests were counted.
    counted: bool,
    ends: Option<f64>,
}

/// What callers do after a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Manner {
    Leaves,
    /// Comes back once, when asked.
    Returns,
    /// Comes back this often, at once.
    Repeats(usize),
}

/// The state of a played load.
pub struct Play {
    pub shards: Vec<Option<Scheduler>>,
    pub now: f64,
    pub tallies: Vec<Tally>,
    /// Time for which requests waited that were refused, in milliseconds.
    pub held_in_vain_ms: f64,
    /// By whether the caller is one of those that repeat at once.
    pub manners: [Tally; 2],
    pub connected: Vec<bool>,
    pub manner: fn(key: u64) -> Manner,
    cfg: PlacementSettings,
    counting: bool,
    arrivals: StdRng,
    routing: StdRng,
    callers: Vec<Caller>,
    returning: Vec<(f64, Caller)>,
    next_key: u64,
    next_report: f64,
}

impl Play {
    pub fn new(shards: usize, cfg: PlacementSettings) -> Self {
        let mut play = Self {
            shards: Vec::new(),
            now: 0.0,
            tallies: vec![Tally::default(); WORKSPACES],
            held_in_vain_ms: 0.0,
            manners: [Tally::default(); 2],
            connected: vec![true; shards],
            manner: |_| Manner::Leaves,
            cfg,
            counting: false,
            arrivals: StdRng::seed_from_u64(46),
            routing: StdRng::seed_from_u64(47),
            callers: Vec::new(),
            returning: Vec::new(),
            next_key: 0,
            next_report: 0.0,
        };
        for n in 0..shards {
            play.shards.push(None);
            play.start(n, SLOTS / shards);
        }
        play
    }

    /// Replaces the scheduler of a shard, which loses its queue; what its targets run goes on
    /// unknown to it.
    pub fn start(&mut self, n: usize, slots: usize) {
        let mut s = Scheduler::new(self.cfg.clone());
        s.set_targets(
            &shard(n),
            vec![target("a", slots / 2), target("b", slots / 2)],
        );
        self.shards[n] = Some(s);
        self.callers.retain(|c| c.shard != n);
    }

    pub fn set_slots(&mut self, n: usize, slots: usize) {
        let targets = vec![target("a", slots / 2), target("b", slots / 2)];
        if let Some(s) = &mut self.shards[n] {
            s.set_targets(&shard(n), targets);
        }
    }

    /// Plays `ms`, counts the requests that are sent in it, and goes on until all of them are on
    /// time or not.
    pub fn measure(&mut self, ms: f64, rate: impl Fn(usize) -> f64) {
        self.tallies = vec![Tally::default(); WORKSPACES];
        self.manners = Default::default();
        self.held_in_vain_ms = 0.0;
        self.counting = true;
        self.run(ms, &rate);
        self.counting = false;
        self.run(OBJECTIVE_MS, &rate);
    }

    /// Like `measure`, for a burst and the usual load after it, until all callers have come back.
    pub fn measure_burst(
        &mut self,
        burst_ms: f64,
        burst: impl Fn(usize) -> f64,
        after_ms: f64,
        usual: impl Fn(usize) -> f64,
    ) {
        let end = self.now + burst_ms;
        self.tallies = vec![Tally::default(); WORKSPACES];
        self.counting = true;
        self.run(end - self.now, burst);
        self.run(after_ms, &usual);
        self.counting = false;
        self.run(TIMEOUT_MS, usual);
    }

    pub fn goodput(&self) -> f64 {
        self.tallies.iter().map(|t| t.on_time).sum()
    }

    /// Plays `ms` in which workspace `n` sends `rate(n)` requests per second.
    pub fn run(&mut self, ms: f64, rate: impl Fn(usize) -> f64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            self.exchange_reports();
            self.end_responses();
            for n in 0..WORKSPACES {
                let expected = rate(n) * TICK_MS / 1000.0;
                // At most one in a tick from each fraction of a request, which keeps the mean.
                let certain = expected.floor();
                let count =
                    certain as usize + usize::from(self.arrivals.random_bool(expected - certain));
                for _ in 0..count {
                    self.send_new(n);
                }
            }
            self.send_returning();
            self.decide();
        }
    }

    fn at(&self) -> Timestamp {
        Timestamp(1_000_000.0 + self.now)
    }

    fn exchange_reports(&mut self) {
        if self.now < self.next_report {
            return;
        }
        self.next_report = self.now + REPORT_MS;
        let now = self.at();
        for from in 0..self.shards.len() {
            let Some(s) = &self.shards[from] else {
                continue;
            };
            let rows = s.share_report(&shard(from), now);
            for to in (0..self.shards.len()).filter(|to| *to != from) {
                let both = self.connected[from] && self.connected[to];
                if let (true, Some(s)) = (both, &mut self.shards[to]) {
                    s.learn_shares(&shard(to), &shard(from), 20.0, rows.clone(), now);
                }
            }
        }
    }

    fn end_responses(&mut self) {
        let now = self.at();
        let done = |c: &mut Caller| c.ends.is_some_and(|t| t <= self.now);
        for c in self.callers.extract_if(.., done) {
            let outcome = SlotOutcome::Complete {
                first_ms: FIRST_MS,
                rest_ms: SERVICE_MS - FIRST_MS,
                output: 40,
            };
            if let Some(s) = &mut self.shards[c.shard] {
                s.finish(c.id, outcome, now);
            }
        }
    }

    fn send_new(&mut self, n: usize) {
        self.next_key += 1;
        let caller = Caller {
            n,
            shard: 0,
            id: OfferId(0),
            key: self.next_key,
            tries: 0,
            time_left_ms: TIMEOUT_MS,
            counted: self.counting,
            ends: None,
        };
        self.count(&caller, |t| t.asked += 1.0);
        self.send(caller);
    }

    fn count(&mut self, c: &Caller, add: impl Fn(&mut Tally)) {
        let repeats = matches!((self.manner)(c.key), Manner::Repeats(_));
        if c.counted {
            add(&mut self.tallies[c.n]);
            add(&mut self.manners[usize::from(repeats)]);
        }
    }

    fn send(&mut self, mut c: Caller) {
        let first = self.routing.random_range(0..self.shards.len());
        let up = (0..self.shards.len()).map(|n| (first + n) % self.shards.len());
        let Some(n) = up.into_iter().find(|n| self.shards[*n].is_some()) else {
            return;
        };
        let req = Offer {
            parts: vec![PromptPart {
                id: c.key,
                tokens: 500,
            }],
            time_left_ms: c.time_left_ms,
            returned: c.tries > 0,
            ..offer(c.n, shard(n))
        };
        let now = self.at();
        c.shard = n;
        c.tries += 1;
        if let Some(s) = &mut self.shards[n] {
            c.id = s.offer(req, now);
        }
        self.callers.push(c);
    }

    fn send_returning(&mut self) {
        let due: Vec<_> = {
            let now = self.now;
            self.returning.extract_if(.., |(t, _)| *t <= now).collect()
        };
        due.into_iter().for_each(|(_, c)| self.send(c));
    }

    fn decide(&mut self) {
        let now = self.at();
        for n in 0..self.shards.len() {
            let decisions = self.shards[n]
                .as_mut()
                .map_or_else(Vec::new, |s| s.poll(now));
            if self.cfg.paced_returns {
                self.check_refusals(n, &decisions);
            }
            for (id, decision) in decisions {
                let is = |c: &Caller| c.shard == n && c.id == id;
                let index = self.callers.iter().position(is).unwrap();
                self.apply(index, decision);
            }
        }
    }

    // No request is refused while a slot is free.
    fn check_refusals(&self, n: usize, decisions: &[(OfferId, Decision)]) {
        let is_grant = |d: &Decision| matches!(d, Decision::Grant { .. });
        let grants = decisions.iter().filter(|(_, d)| is_grant(d)).count();
        let running = |c: &&Caller| c.shard == n && c.ends.is_some();
        let used = self.callers.iter().filter(running).count() + grants;
        let has_refusal = grants < decisions.len();
        let free = SLOTS / self.shards.len() - used;
        assert!(!has_refusal || free == 0, "{free} slots are free");
    }

    fn apply(&mut self, index: usize, decision: Decision) {
        let mut c = self.callers.swap_remove(index);
        match decision {
            Decision::Grant { waited_ms, .. } => {
                c.ends = Some(self.now + SERVICE_MS);
                self.count(&c, |t| match waited_ms + FIRST_MS <= OBJECTIVE_MS {
                    true => t.on_time += 1.0,
                    false => t.late += 1.0,
                });
                self.callers.push(c);
            }
            Decision::Refuse {
                retry_after_ms,
                waited_ms,
                ..
            } => {
                if c.counted {
                    self.held_in_vain_ms += waited_ms;
                }
                let in_ms = match (self.manner)(c.key) {
                    Manner::Returns if c.tries == 1 => retry_after_ms,
                    Manner::Repeats(times) if c.tries <= times => TICK_MS,
                    _ => return self.count(&c, |t| t.refused += 1.0),
                };
                c.time_left_ms -= waited_ms + in_ms;
                self.returning.push((self.now + in_ms, c));
            }
        }
    }
}
