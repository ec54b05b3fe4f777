//! Deduplicates requests by idempotency key at their home node, with bounded memory.
//!
//! For each key prefix the table keeps entries and a watermark. A key that has no
//! entry and is below the watermark, or whose prefix has been evicted, may have
//! run and is never run again.

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
    /// Maximum number of prefixes; exceeded only while none is idle.
    pub max_sessions: usize,
    /// Maximum total size of ended responses kept, in bytes.
    pub max_response_bytes: usize,
    /// How long an ended response is kept.
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

/// Result of looking up a key.
#[derive(Clone, Debug)]
pub enum Admission {
    /// Not seen before; the caller of [`KeyTable::admit`] must run the request.
    New(Arc<ResponseBuffer>),
    /// Seen before, with this response.
    Known(Arc<ResponseBuffer>),
    /// Seen before for a different request.
    Reused,
    /// Evicted or never entered; the request may have run.
    Expired,
}

#[derive(Debug)]
struct Entry {
    buffer: Arc<ResponseBuffer>,
    fingerprint: u64,
}

#[derive(Debug)]
struct Session {
    // Keys below this sequence may have run.
    watermark: u64,
    entries: IndexMap<u64, Entry>,
    last_used: Instant,
}

#[derive(Debug)]
struct EndedRequest {
    session: SessionKey,
    sequence: u64,
    at: Instant,
    bytes: usize,
}

type SessionKey = (WorkspaceName, SessionId);

#[derive(Debug, Default)]
struct Inner {
    sessions: IndexMap<SessionKey, Session>,
    ended: VecDeque<EndedRequest>,
    ended_bytes: usize,
    // Prefixes up to this one that are not in the table may have been evicted.
    evicted: Option<SessionId>,
}

/// The idempotency keys that a home node has seen.
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

    /// Looks up a key and inserts it if it is new.
    ///
    /// `fingerprint` tells requests apart; a caller that only resumes has none and inserts no key.
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
                .evicted
                .is_some_and(|evicted| key.prefix.session <= evicted)
            {
                return Admission::Expired;
            }
            inner.evict_idle_session(self.cfg.max_sessions);
            let session = Session {
                watermark: 0,
                entries: IndexMap::new(),
                last_used: Instant::now(),
            };
            inner.sessions.insert(id.clone(), session);
        }
        let Some(session) = inner.sessions.get_mut(&id) else {
            return Admission::Expired;
        };
        session.last_used = Instant::now();
        match (session.entries.get(&key.sequence), fingerprint) {
            (Some(e), Some(f)) if e.fingerprint != f => Admission::Reused,
            (Some(e), _) => Admission::Known(e.buffer.clone()),
            (None, _) if key.sequence < session.watermark => Admission::Expired,
            (None, None) => Admission::Expired,
            (None, Some(fingerprint)) => {
                let buffer = Arc::new(ResponseBuffer::default());
                let entry = Entry {
                    buffer: buffer.clone(),
                    fingerprint,
                };
                session.entries.insert(key.sequence, entry);
                Admission::New(buffer)
            }
        }
    }

    /// Marks a request as ended, which makes its entry evictable.
    pub fn ended(&self, workspace: &WorkspaceName, key: &RequestKey, bytes: usize) {
        let mut inner = self.lock();
        let session = (workspace.clone(), key.prefix.session);
        let at = Instant::now();
        inner.ended.push_back(EndedRequest {
            session,
            sequence: key.sequence,
            at,
            bytes,
        });
        inner.ended_bytes += bytes;
        while inner.ended_bytes > self.cfg.max_response_bytes {
            inner.evict_oldest();
        }
    }

    /// Evicts ended responses older than the retention time.
    pub fn expire(&self) {
        let mut inner = self.lock();
        let is_expired = |e: &EndedRequest| e.at.elapsed() >= self.cfg.retention;
        while inner.ended.front().is_some_and(is_expired) {
            inner.evict_oldest();
        }
    }

    /// Number of prefixes and number of entries.
    pub fn sizes(&self) -> (usize, usize) {
        let inner = self.lock();
        let entries = inner.sessions.values().map(|s| s.entries.len()).sum();
        (inner.sessions.len(), entries)
    }
}

impl Inner {
    fn evict_oldest(&mut self) {
        let Some(ended) = self.ended.pop_front() else {
            return;
        };
        self.ended_bytes -= ended.bytes;
        if let Some(session) = self.sessions.get_mut(&ended.session) {
            session.entries.swap_remove(&ended.sequence);
            session.watermark = session.watermark.max(ended.sequence + 1);
        }
    }

    // Evicts the least recently used prefix among those without entries.
    fn evict_idle_session(&mut self, max: usize) {
        if self.sessions.len() < max {
            return;
        }
        let idle = self.sessions.iter().filter(|(_, s)| s.entries.is_empty());
        let oldest = idle
            .min_by_key(|(_, s)| s.last_used)
            .map(|(id, _)| id.clone());
        if let Some(id) = oldest {
            self.sessions.swap_remove(&id);
            self.evicted = self.evicted.max(Some(id.1));
        }
    }
}
