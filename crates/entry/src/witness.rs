//! Records non-idempotent requests of other homes before they are dispatched.
//!
//! For each key the first of two events wins for good: the home records its
//! intent, or a caller's retry closes the key because the home cannot be reached.
//! This takes one round trip and no clock, and holds when the home is paused.

use indexmap::IndexMap;
use rwd_types::{Incarnation, InstanceName, RequestKey, SessionId};
use rwd_wire::Verdict;
use std::sync::Mutex;

/// Most key prefixes remembered.
const MAX_SESSIONS: usize = 20_000;
/// Most keys remembered under one prefix.
const MAX_KEYS_PER_SESSION: usize = 4096;

type SessionKey = (InstanceName, Incarnation, SessionId);

#[derive(Debug, Default)]
struct Session {
    verdicts: IndexMap<u64, Verdict>,
    // Keys below it have been forgotten.
    watermark: u64,
}

#[derive(Debug, Default)]
struct Inner {
    sessions: IndexMap<SessionKey, Session>,
    // The newest forgotten prefix of each home's life; older ones are unknown here.
    forgotten: IndexMap<(InstanceName, Incarnation), SessionId>,
}

/// The witness part of a node.
#[derive(Debug, Default)]
pub struct Witness {
    inner: Mutex<Inner>,
}

impl Witness {
    /// A home wants to dispatch. Only [`Verdict::Recorded`] allows it to.
    pub fn record(
        &self,
        key: &RequestKey,
        is_own_incarnation: impl Fn(Incarnation) -> bool,
    ) -> Verdict {
        self.settle(key, Verdict::Recorded, is_own_incarnation)
    }

    /// A caller's retry could not reach the home. Only [`Verdict::Closed`] proves that the
    /// request never ran and never will.
    pub fn close(
        &self,
        key: &RequestKey,
        is_own_incarnation: impl Fn(Incarnation) -> bool,
    ) -> Verdict {
        match self.settle(key, Verdict::Closed, is_own_incarnation) {
            Verdict::Recorded => Verdict::MayHaveRun,
            verdict => verdict,
        }
    }

    fn settle(
        &self,
        key: &RequestKey,
        wanted: Verdict,
        is_own_incarnation: impl Fn(Incarnation) -> bool,
    ) -> Verdict {
        let mine = key
            .prefix
            .witness
            .as_ref()
            .is_some_and(|(_, life)| is_own_incarnation(*life));
        if !mine {
            // An earlier life of this instance may have recorded the key.
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
                session.insert(key.sequence, wanted);
                wanted
            }
        }
    }

    /// Number of prefixes remembered.
    pub fn len(&self) -> usize {
        let inner = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        inner.sessions.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Session {
    fn insert(&mut self, sequence: u64, verdict: Verdict) {
        if self.verdicts.len() >= MAX_KEYS_PER_SESSION
            && let Some((forgotten, _)) = self.verdicts.shift_remove_index(0)
        {
            self.watermark = self.watermark.max(forgotten + 1);
        }
        self.verdicts.insert(sequence, verdict);
    }
}

impl Inner {
    // None if the prefix was forgotten.
    fn session(&mut self, key: &RequestKey) -> Option<&mut Session> {
        let life = (key.prefix.home.clone(), key.prefix.incarnation);
        let id = (life.0.clone(), life.1, key.prefix.session);
        let is_new = !self.sessions.contains_key(&id);
        if is_new
            && self
                .forgotten
                .get(&life)
                .is_some_and(|f| key.prefix.session <= *f)
        {
            return None;
        }
        if is_new && self.sessions.len() >= MAX_SESSIONS {
            self.forget_oldest();
        }
        Some(self.sessions.entry(id).or_default())
    }

    fn forget_oldest(&mut self) {
        if let Some(((home, incarnation, session), _)) = self.sessions.shift_remove_index(0) {
            let newest = self.forgotten.entry((home, incarnation)).or_insert(session);
            *newest = (*newest).max(session);
        }
    }
}
