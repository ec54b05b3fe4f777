//! Prefix cache of an engine: prompt blocks with least-recently-used eviction.

use indexmap::IndexMap;
use rwd_edge::CacheEvent;
use rwd_types::BlockHash;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of events kept for readers.
const MAX_EVENTS: usize = 4096;

/// A bounded cache of prompt blocks that publishes what it stores and evicts.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    // Value: logical time of the last use.
    blocks: IndexMap<BlockHash, u64>,
    clock: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
    lag: Duration,
    // Every n-th event is lost; 0 loses none.
    gap_every: u64,
}

impl PrefixCache {
    pub fn new(capacity: usize, lag: Duration, gap_every: u64) -> Self {
        Self {
            capacity,
            blocks: IndexMap::new(),
            clock: 0,
            events: VecDeque::new(),
            sequence: 0,
            lag,
            gap_every,
        }
    }

    /// Returns the number of leading blocks that are cached and marks them as used.
    pub fn lookup(&mut self, blocks: &[BlockHash]) -> usize {
        self.clock += 1;
        let clock = self.clock;
        let hits = blocks.iter().take_while(|b| match self.blocks.get_mut(*b) {
            Some(last_used) => {
                *last_used = clock;
                true
            }
            None => false,
        });
        hits.count()
    }

    pub fn store(&mut self, blocks: &[BlockHash]) {
        self.clock += 1;
        for block in blocks {
            if self.blocks.insert(*block, self.clock).is_none() {
                self.publish(*block, true);
            }
        }
        while self.blocks.len() > self.capacity {
            self.evict();
        }
    }

    // Evicts the tail of a prompt before its head, so that what remains is still a prefix.
    fn evict(&mut self) {
        let oldest = self.blocks.values().min().copied();
        let index = oldest.and_then(|o| self.blocks.values().rposition(|t| *t == o));
        if let Some((block, _)) = index.and_then(|i| self.blocks.shift_remove_index(i)) {
            self.publish(block, false);
        }
    }

    fn publish(&mut self, block: BlockHash, stored: bool) {
        self.sequence += 1;
        if self.gap_every > 0 && self.sequence.is_multiple_of(self.gap_every) {
            return;
        }
        let sequence = self.sequence;
        self.events.push_back((
            Instant::now(),
            CacheEvent {
                sequence,
                block,
                stored,
            },
        ));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// The events from number `from` on that are old enough to be visible.
    pub fn events(&self, from: u64) -> Vec<CacheEvent> {
        let visible = self
            .events
            .iter()
            .filter(|(at, e)| at.elapsed() >= self.lag && e.sequence >= from);
        visible.map(|(_, e)| *e).collect()
    }
}
