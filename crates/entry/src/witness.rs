//! Records non-idempotent requests of other home nodes before they are dispatched.
//!
//! For each key the first of two events is final: the home node records its intent, or
//! a caller's retry closes the key because the home node is unreachable. This takes
//! one round trip, needs no clock, and holds even if the home node is paused.

use indexmap::IndexMap;
use rwd_types::{Incarnation, InstanceName, RequestKey, SessionId};
use rwd_wire::Verdict;
use std::sync::Mutex;

/// Maximum number of key prefixes tracked.
const MAX_SESSIONS: usize = 20_000;
/// Maximum number of keys tracked per prefix.
const MAX_KEYS_PER_SESSION: usize = 4096;

type SessionKey = (InstanceName, Incarnation, SessionId);

#[derive(Debug, Default)]
struct Session {
    verdicts: IndexMap<u64, Verdict>,
    // Verdicts below this sequence may have been evicted.
    watermark: u64,
}

#[derive(Debug, Default)]
struct Inner {
    sessions: IndexMap<SessionKey, Session>,
    // The newest evicted prefix of each home node's incarnation; older ones are unknown here.
    evicted: IndexMap<(InstanceName, Incarnation), SessionId>,
}

/// Decides, for the keys it witnesses, whether a request may still be dispatched.
#[derive(Debug, Default)]
pub struct Witness {
    inner: Mutex<Inner>,
}

impl Witness {
    /// Records a home node's intent to dispatch. Only [`Verdict::Recorded`] permits the dispatch.
    pub fn record(
        &self,
        key: &RequestKey,
        is_own_incarnation: impl Fn(Incarnation) -> bool,
    ) -> Verdict {
        self.decide(key, Verdict::Recorded, is_own_incarnation)
    }

    /// Closes a key whose home node a caller's retry could not reach. Only [`Verdict::Closed`]
    /// proves that the request never ran and never will.
    pub fn close(
        &self,
        key: &RequestKey,
        is_own_incarnation: impl Fn(Incarnation) -> bool,
    ) -> Verdict {
        match self.decide(key, Verdict::Closed, is_own_incarnation) {
            Verdict::Recorded => Verdict::MayHaveRun,
            verdict => verdict,
        }
    }

    fn decide(
        &self,
        key: &RequestKey,
        requested: Verdict,
        is_own_incarnation: impl Fn(Incarnation) -> bool,
    ) -> Verdict {
        let is_current = key
            .prefix
            .witness
            .as_ref()
            .is_some_and(|(_, incarnation)| is_own_incarnation(*incarnation));
        if !is_current {
            // An earlier incarnation of this instance may have recorded the key.
            return Verdict::MayHaveRun;
        }
        let mut inner = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        let Some(session) = inner.session(key) else {
            return Verdict::MayHaveRun;
        };
        match session.verdicts.get(&key.sequence) {
            Some(verdict) => *verdict,
            None if key.sequence < session.watermark => Verdict::MayHaveRun,
            None => {
                session.insert(key.sequence, requested);
                requested
            }
        }
    }

    /// Number of key prefixes tracked.
    pub fn len(&self) -> usize {
        let inner = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        inner.sessions.len()
    }

    /// Whether no key prefix is tracked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Session {
    fn insert(&mut self, sequence: u64, verdict: Verdict) {
        if self.verdicts.len() >= MAX_KEYS_PER_SESSION
            && let Some((evicted, _)) = self.verdicts.shift_remove_index(0)
        {
            self.watermark = self.watermark.max(evicted + 1);
        }
        self.verdicts.insert(sequence, verdict);
    }
}

impl Inner {
    // Returns `None` if the prefix may have been evicted.
    fn session(&mut self, key: &RequestKey) -> Option<&mut Session> {
        let home = (key.prefix.home.clone(), key.prefix.incarnation);
        let id = (home.0.clone(), home.1, key.prefix.session);
        let is_new = !self.sessions.contains_key(&id);
        if is_new
            && self
                .evicted
                .get(&home)
                .is_some_and(|f| key.prefix.session <= *f)
        {
            return None;
        }
        if is_new && self.sessions.len() >= MAX_SESSIONS {
            self.evict_oldest();
        }
        Some(self.sessions.entry(id).or_default())
    }

    fn evict_oldest(&mut self) {
        if let Some(((home, incarnation, session), _)) = self.sessions.shift_remove_index(0) {
            let newest = self.evicted.entry((home, incarnation)).or_insert(session);
            *newest = (*newest).max(session);
        }
    }
}
