//! Estimates which prompt prefixes a target's cache holds.

use indexmap::IndexMap;

use crate::{PromptPart, Timestamp};

/// Prompt prefixes tracked per target.
const MAX_PREFIXES: usize = 256;

/// An LRU index of the prompt prefixes that a target has processed.
///
/// A part is reusable only if all parts before it are cached too, so each entry
/// is the hash of a part and all parts before it.
#[derive(Clone, Debug, Default)]
pub struct PromptCache {
    prefixes: IndexMap<u64, Timestamp>,
}

impl PromptCache {
    /// Prompt tokens that are cached and need not be processed again.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        let prefixes = prefix_hashes(parts);
        let cached = prefixes.take_while(|(hash, _)| self.prefixes.contains_key(hash));
        cached.map(|(_, tokens)| tokens).sum()
    }

    /// Records that a prompt is being processed; its last part is specific to the request.
    pub fn store(&mut self, parts: &[PromptPart], now: Timestamp) {
        for (hash, _) in prefix_hashes(parts) {
            self.prefixes.shift_remove(&hash);
            self.prefixes.insert(hash, now);
        }
        while self.prefixes.len() > MAX_PREFIXES {
            self.prefixes.shift_remove_index(0);
        }
    }

    /// Removes all entries, as on a restart of the target.
    pub fn clear(&mut self) {
        self.prefixes.clear();
    }
}

fn prefix_hashes(parts: &[PromptPart]) -> impl Iterator<Item = (u64, u32)> {
    parts.iter().scan(0_u64, |hash, p| {
        // Multiplication by an odd constant is a bijection, so it adds no collisions.
        *hash = (hash.rotate_left(17) ^ p.id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Some((*hash, p.tokens))
    })
}
