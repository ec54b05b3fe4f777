//! What a target's prefix cache is believed to hold.

use indexmap::IndexMap;
use rwd_platform::BLOCK_TOKENS;
use rwd_types::{BlockHash, Tokens};

/// Most blocks remembered for one target.
const MAX_REMEMBERED_BLOCKS: usize = 16_384;

/// The believed content of one prefix cache, least recently used first.
///
/// The owner of a target knows what it sent there. What the target says about
/// its cache corrects that: an eviction removes a block, and a prompt that found
/// less than expected removes the rest of its blocks.
#[derive(Debug, Default)]
pub struct CacheIndex {
    // The value is the time of the last use, on the index's own clock.
    blocks: IndexMap<BlockHash, u64>,
    clock: u64,
}

impl CacheIndex {
    /// How many tokens of a prompt with these blocks are believed to be cached.
    pub fn cached(&self, blocks: &[BlockHash]) -> Tokens {
        let hits = blocks.iter().take_while(|b| self.blocks.contains_key(*b));
        Tokens((hits.count() * BLOCK_TOKENS) as u64)
    }

    /// Records that a prompt with these blocks was processed.
    pub fn store(&mut self, blocks: &[BlockHash]) {
        self.clock += 1;
        for block in blocks {
            self.blocks.insert(*block, self.clock);
        }
        if self.blocks.len() > MAX_REMEMBERED_BLOCKS {
            self.forget_oldest();
        }
    }

    // Forgets a quarter at a time, so that the cost of sorting is spread over many prompts.
    fn forget_oldest(&mut self) {
        self.blocks.sort_by(|_, a, _, b| b.cmp(a));
        self.blocks.truncate(MAX_REMEMBERED_BLOCKS * 3 / 4);
    }

    /// Corrects the index after a prompt found only `cached` of its blocks.
    pub fn correct(&mut self, blocks: &[BlockHash], cached: Tokens) {
        let hits = cached.0 as usize / BLOCK_TOKENS;
        let expected = self.cached(blocks).0 as usize / BLOCK_TOKENS;
        if hits < expected {
            for block in &blocks[hits..expected] {
                self.blocks.swap_remove(block);
            }
        }
    }

    /// Takes in one cache event.
    pub fn event(&mut self, block: BlockHash, stored: bool) {
        match stored {
            true => {
                let clock = self.clock;
                self.blocks.entry(block).or_insert(clock);
            }
            false => {
                self.blocks.swap_remove(&block);
            }
        }
    }

    /// Forgets everything, as after a restart of the target.
    pub fn clear(&mut self) {
        self.blocks.clear();
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
