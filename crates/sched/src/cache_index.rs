//! The owner's estimate of a target's prefix cache.

use indexmap::IndexMap;
use rwd_edge::BLOCK_TOKENS;
use rwd_types::{BlockHash, Tokens};
use std::collections::BTreeMap;

/// Blocks indexed per target, however large its cache is.
const MAX_BLOCKS: usize = 16_384;

// Logical time of the last use, and the block's position counted from the end of the prompt: the
// tail of a prompt is evicted before its head, so that the rest is still a prefix.
type LastUse = (u64, u32);

/// Estimated content of one prefix cache, with LRU eviction.
///
/// The owner of a target indexes the prompts that it sent there. Reports from the
/// target correct the index: an eviction event removes a block, and a prompt with
/// fewer cache hits than expected removes its missing blocks.
#[derive(Debug)]
pub struct CacheIndex {
    capacity: usize,
    blocks: IndexMap<BlockHash, LastUse>,
    order: BTreeMap<LastUse, BlockHash>,
    clock: u64,
}

impl CacheIndex {
    /// Creates an index of a cache that holds `capacity` prompt tokens.
    pub fn new(capacity: Tokens) -> Self {
        let blocks = capacity.0 as usize / BLOCK_TOKENS;
        Self {
            capacity: blocks.clamp(1, MAX_BLOCKS),
            blocks: IndexMap::new(),
            order: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Estimated number of cached tokens of a prompt with these blocks.
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

    /// Corrects the index after a prompt had only `cached` tokens of cache hits.
    pub fn correct(&mut self, blocks: &[BlockHash], cached: Tokens) {
        let hits = cached.0 as usize / BLOCK_TOKENS;
        let expected = self.cached(blocks).0 as usize / BLOCK_TOKENS;
        if hits < expected {
            for block in &blocks[hits..expected] {
                self.remove(block);
            }
        }
    }

    /// Applies a cache event. Only evictions matter, as the owner itself sends all prompts.
    pub fn event(&mut self, block: BlockHash, stored: bool) {
        if !stored {
            self.remove(&block);
        }
    }

    /// Number of indexed blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is indexed.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
