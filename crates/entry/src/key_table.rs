//! Which requests a home has seen, with bounded memory.
//!
//! Per key prefix the table keeps a watermark and the entries above it. A key
//! below the watermark, or under a prefix that the table has dropped, may have
//! run and never runs again.

use indexmap::IndexMap;
use rwd_types::{RequestKey, SessionId, WorkspaceName};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

use crate::ResponseBuffer;

/// Bounds of a key table.
#[derive(Clone, Copy, Debug)]
pub struct KeyTableSettings {
    /// Most prefixes kept.
    pub max_sessions: usize,
    /// Most bytes of ended answers kept.
    pub max_response_bytes: usize,
    /// How long an ended answer is kept.
    pub retention: Duration,
}

impl Default for KeyTableSettings {
    fn default() -> Self {
        Self {
            max_sessions: 20_000,
            max_response_bytes: 64 << 20,
            retention: Duration::from_secs(60),
        }
    }
}

/// What the table says about a key.
#[derive(Clone, Debug)]
pub enum Admission {
    /// Never seen: the caller of the table must now run it.
    New(Arc<ResponseBuffer>),
    /// Seen before, with this answer.
    Known(Arc<ResponseBuffer>),
    /// Seen before for a different request.
    Reused,
    /// Too old to know.
    Expired,
}

#[derive(Debug)]
struct Entry {
    answer: Arc<ResponseBuffer>,
    fingerprint: u64,
}

#[derive(Debug)]
struct Session {
    // Keys below it may have run.
    watermark: u64,
    entries: IndexMap<u64, Entry>,
    used: Instant,
}

#[derive(Debug)]
struct Ended {
    session: SessionKey,
    sequence: u64,
    at: Instant,
    bytes: usize,
}

type SessionKey = (WorkspaceName, SessionId);

#[derive(Debug, Default)]
struct Inner {
    sessions: IndexMap<SessionKey, Session>,
    ended: VecDeque<Ended>,
    ended_bytes: usize,
    // Prefixes numbered up to this one that are not in the table have been dropped.
    dropped: Option<SessionId>,
}

/// The keys that a home has seen.
#[derive(Debug, Default)]
pub struct KeyTable {
    cfg: KeyTableSettings,
    inner: Mutex<Inner>,
}

impl KeyTable {
    /// An empty table.
    pub fn new(cfg: KeyTableSettings) -> Self {
        let inner = Mutex::default();
        Self { cfg, inner }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Looks a key up and, if it is new, enters it.
    ///
    /// `fingerprint` tells requests apart; none means that the caller only wants to go on reading.
    pub fn admit(
        &self,
        workspace: &WorkspaceName,
        key: &RequestKey,
        fingerprint: Option<u64>,
    ) -> Admission {
        let mut inner = self.lock();
        let id = (workspace.clone(), key.prefix.session);
        if !inner.sessions.contains_key(&id) {
            if inner
                .dropped
                .is_some_and(|dropped| key.prefix.session <= dropped)
            {
                return Admission::Expired;
            }
            inner.make_room(self.cfg.max_sessions);
            let session = Session {
                watermark: 0,
                entries: IndexMap::new(),
                used: Instant::now(),
            };
            inner.sessions.insert(id.clone(), session);
        }
        let Some(session) = inner.sessions.get_mut(&id) else {
            return Admission::Expired;
        };
        session.used = Instant::now();
        match (session.entries.get(&key.sequence), fingerprint) {
            (Some(e), Some(f)) if e.fingerprint != f => Admission::Reused,
            (Some(e), _) => Admission::Known(e.answer.clone()),
            (None, _) if key.sequence < session.watermark => Admission::Expired,
            (None, None) => Admission::Expired,
            (None, Some(fingerprint)) => {
                let answer = Arc::new(ResponseBuffer::default());
                let entry = Entry {
                    answer: answer.clone(),
                    fingerprint,
                };
                session.entries.insert(key.sequence, entry);
                Admission::New(answer)
            }
        }
    }

    /// Notes that a request has ended, so that its entry may go when room is needed.
    pub fn ended(&self, workspace: &WorkspaceName, key: &RequestKey, bytes: usize) {
        let mut inner = self.lock();
        let session = (workspace.clone(), key.prefix.session);
        let at = Instant::now();
        inner.ended.push_back(Ended {
            session,
            sequence: key.sequence,
            at,
            bytes,
        });
        inner.ended_bytes += bytes;
        while inner.ended_bytes > self.cfg.max_response_bytes {
            inner.forget_oldest();
        }
    }

    /// Forgets what has been kept long enough.
    pub fn expire(&self) {
        let mut inner = self.lock();
        let old = |e: &Ended| e.at.elapsed() >= self.cfg.retention;
        while inner.ended.front().is_some_and(old) {
            inner.forget_oldest();
        }
    }

    /// Numbers of prefixes and of entries held.
    pub fn sizes(&self) -> (usize, usize) {
        let inner = self.lock();
        let entries = inner.sessions.values().map(|s| s.entries.len()).sum();
        (inner.sessions.len(), entries)
    }
}

impl Inner {
    fn forget_oldest(&mut self) {
        let Some(ended) = self.ended.pop_front() else {
            return;
        };
        self.ended_bytes -= ended.bytes;
        if let Some(session) = self.sessions.get_mut(&ended.session) {
            session.entries.swap_remove(&ended.sequence);
            session.watermark = session.watermark.max(ended.sequence + 1);
        }
    }

    // Drops the idle prefix that was used least lately. Prefixes with requests stay.
    fn make_room(&mut self, most: usize) {
        if self.sessions.len() < most {
            return;
        }
        let idle = self.sessions.iter().filter(|(_, s)| s.entries.is_empty());
        let oldest = idle.min_by_key(|(_, s)| s.used).map(|(id, _)| id.clone());
        if let Some(id) = oldest {
            self.sessions.swap_remove(&id);
            self.dropped = self.dropped.max(Some(id.1));
        }
    }
}
