//! Splits prompts into the blocks by which engines cache them.

use rwd_types::{BlockHash, Tokens};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens of one cache block.
pub const BLOCK_TOKENS: usize = 64;
/// Most blocks of one prompt that are described to a scheduler.
pub const MAX_BLOCKS: usize = 256;

/// The number of tokens that `prompt` is counted as.
pub fn prompt_tokens(prompt: &str) -> Tokens {
    Tokens(prompt.len().div_ceil(BYTES_PER_TOKEN) as u64)
}

/// The chained hashes of the whole blocks of `prompt`, at most [`MAX_BLOCKS`].
///
/// `pool` separates the prompts of different models, which share no cache.
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
