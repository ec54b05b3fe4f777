//! What a target's prefix cache is believed to hold.

use indexmap::IndexMap;
use rwd_edge::BLOCK_TOKENS;
use rwd_types::{BlockHash, Tokens};
use std::collections::BTreeMap;

/// Most blocks remembered for one target, however large its cache is.
const MAX_REMEMBERED_BLOCKS: usize = 16_384;

// The time of the last use, on the index's own clock, and the place in the prompt counted from
// its end: the tail of a prompt goes before its head, so that what is left is still a prefix.
type LastUse = (u64, u32);

/// The believed content of one prefix cache, least recently used first.
///
/// The owner of a target knows what it sent there. What the target says about
/// its cache corrects that: an eviction removes a block, and a prompt that found
/// less than expected removes the rest of its blocks.
#[derive(Debug)]
pub struct CacheIndex {
    capacity: usize,
    blocks: IndexMap<BlockHash, LastUse>,
    order: BTreeMap<LastUse, BlockHash>,
    clock: u64,
}

impl CacheIndex {
    /// An index of a cache that holds this many prompt tokens.
    pub fn new(capacity: Tokens) -> Self {
        let blocks = capacity.0 as usize / BLOCK_TOKENS;
        Self {
            capacity: blocks.clamp(1, MAX_REMEMBERED_BLOCKS),
            blocks: IndexMap::new(),
            order: BTreeMap::new(),
            clock: 0,
        }
    }

    /// How many tokens of a prompt with these blocks are believed to be cached.
    pub fn cached(&self, blocks: &[BlockHash]) -> Tokens {
        let hits = blocks.iter().take_while(|b| self.blocks.contains_key(*b));
        Tokens((hits.count() * BLOCK_TOKENS) as u64)
    }

    /// Records that a prompt with these blocks was processed.
    pub fn store(&mut self, blocks: &[BlockHash]) {
        self.clock += 1;
        for (i, block) in blocks.iter().enumerate() {
            self.touch(*block, (self.clock, u32::MAX - i as u32));
        }
        while self.blocks.len() > self.capacity
            && let Some((_, block)) = self.order.pop_first()
        {
            self.blocks.swap_remove(&block);
        }
    }

    fn touch(&mut self, block: BlockHash, used: LastUse) {
        if let Some(before) = self.blocks.insert(block, used) {
            self.order.remove(&before);
        }
        self.order.insert(used, block);
    }

    fn remove(&mut self, block: &BlockHash) {
        if let Some(used) = self.blocks.swap_remove(block) {
            self.order.remove(&used);
        }
    }

    /// Corrects the index after a prompt found only `cached` of its blocks.
    pub fn correct(&mut self, blocks: &[BlockHash], cached: Tokens) {
        let hits = cached.0 as usize / BLOCK_TOKENS;
        let expected = self.cached(blocks).0 as usize / BLOCK_TOKENS;
        if hits < expected {
            for block in &blocks[hits..expected] {
                self.remove(block);
            }
        }
    }

    /// Takes in one cache event; only evictions are news, since all work comes from the owner.
    pub fn event(&mut self, block: BlockHash, stored: bool) {
        if !stored {
            self.remove(&block);
        }
    }

    /// Number of blocks remembered.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
