//! What a target is believed to keep of earlier prompts.

use indexmap::IndexMap;

use crate::{PromptPart, Timestamp};

/// Most prompt prefixes remembered for one target.
const MAX_PREFIXES: usize = 256;

/// Prefixes of prompts that a target has processed, the least recently used dropped first.
///
/// A part counts as kept only if all parts before it are kept too, so each entry
/// is the hash of a part and all before it.
#[derive(Clone, Debug, Default)]
pub struct PromptCache {
    prefixes: IndexMap<u64, Timestamp>,
}

impl PromptCache {
    /// Tokens of a prompt that need not be processed again.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        let prefixes = chained(parts);
        let kept = prefixes.take_while(|(hash, _)| self.prefixes.contains_key(hash));
        kept.map(|(_, tokens)| tokens).sum()
    }

    /// Records that a prompt's shared parts are being processed; the last part is the request's own.
    pub fn store(&mut self, parts: &[PromptPart], now: Timestamp) {
        for (hash, _) in chained(parts) {
            self.prefixes.shift_remove(&hash);
            self.prefixes.insert(hash, now);
        }
        while self.prefixes.len() > MAX_PREFIXES {
            self.prefixes.shift_remove_index(0);
        }
    }

    /// Forgets everything, as a target does when it restarts.
    pub fn clear(&mut self) {
        self.prefixes.clear();
    }
}

fn chained(parts: &[PromptPart]) -> impl Iterator<Item = (u64, u32)> {
    parts.iter().scan(0_u64, |hash, p| {
        // An odd multiplier keeps the mapping of each part one to one.
        *hash = (hash.rotate_left(17) ^ p.id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Some((*hash, p.tokens))
    })
}
