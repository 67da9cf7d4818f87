//! Tokens, blocks and answers as pure functions, so that any reader can check an answer whole.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text in a token.
pub const TOKEN_BYTES: usize = 4;
/// Tokens in a cached block.
pub const BLOCK_TOKENS: usize = 16;
/// Bytes of prompt text in a cached block.
pub const BLOCK_BYTES: usize = TOKEN_BYTES * BLOCK_TOKENS;

/// Number of tokens in a prompt's text.
pub fn prompt_tokens(text: &str) -> usize {
    text.len().div_ceil(TOKEN_BYTES)
}

/// Hash of what the answer depends on besides the weights.
pub fn prompt_hash(model: &str, text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), xxh3_64(model.as_bytes()))
}

/// Chained hashes of the full blocks of a prompt: each covers the scope, the weights version and
/// all text up to its end, so that a block of another team or of older weights never matches.
pub fn block_hashes(scope: &str, weights: u64, text: &str) -> Vec<u64> {
    let mut hash = xxh3_64_with_seed(scope.as_bytes(), weights);
    text.as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

/// The text of one generated token.
pub fn token_text(weights: u64, prompt_hash: u64, index: usize) -> String {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&weights.to_le_bytes());
    bytes[8..].copy_from_slice(&prompt_hash.to_le_bytes());
    let word = xxh3_64_with_seed(&bytes, index as u64) & 0xff_ffff;
    format!(" {word:06x}")
}

/// The text of a whole answer.
pub fn answer_text(weights: u64, prompt_hash: u64, tokens: usize) -> String {
    (0..tokens).map(|index| token_text(weights, prompt_hash, index)).collect()
}

/// What a plain service answers to a call besides the call itself; the caller can check it.
pub fn signature(key: &str, call: &str, body: &[u8]) -> String {
    let seed = xxh3_64_with_seed(call.as_bytes(), xxh3_64(key.as_bytes()));
    format!("{:016x}", xxh3_64_with_seed(body, seed))
}
