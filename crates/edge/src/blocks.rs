//! Splits prompts into the blocks that engines cache.

use rwd_types::{BlockHash, Tokens};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text that are counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens per cache block.
pub const BLOCK_TOKENS: usize = 64;
/// Maximum number of blocks of one prompt that are sent to a scheduler.
pub const MAX_BLOCKS: usize = 256;

/// Estimates the number of tokens of `prompt` from its length.
pub fn prompt_tokens(prompt: &str) -> Tokens {
    Tokens(prompt.len().div_ceil(BYTES_PER_TOKEN) as u64)
}

/// Returns the chained hashes of the complete blocks of `prompt`, at most [`MAX_BLOCKS`].
///
/// `pool` seeds the hash, because different models share no cache.
pub fn prompt_blocks(pool: &str, prompt: &str) -> Vec<BlockHash> {
    let mut hash = xxh3_64_with_seed(pool.as_bytes(), 0);
    let blocks = prompt
        .as_bytes()
        .chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN);
    let chained = blocks.take(MAX_BLOCKS).map(|block| {
        hash = xxh3_64_with_seed(block, hash);
        BlockHash(hash)
    });
    chained.collect()
}
