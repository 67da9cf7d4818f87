//! Cached blocks on their way between engines and the KV store.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// A chain of blocks. Scope and weights version travel with it and are checked on both ends: a
/// wrong hint must not bring another team's blocks, or older weights', into an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct KvRun {
    pub(crate) scope: Arc<str>,
    pub(crate) weights: u64,
    /// Block hashes in hexadecimal digits, in the chain's order.
    hashes: Vec<String>,
}

/// A chain that is asked for, as the query of a URL.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct KvQuery {
    pub(crate) scope: String,
    pub(crate) weights: u64,
    /// Hashes of the chain from its start, separated by commas.
    hash: String,
}

impl KvRun {
    pub(crate) fn new(scope: &Arc<str>, weights: u64, hashes: &[u64]) -> KvRun {
        let hashes = hashes.iter().map(|hash| format!("{hash:016x}")).collect();
        KvRun { scope: Arc::clone(scope), weights, hashes }
    }

    pub(crate) fn chain(&self) -> Vec<u64> {
        parse_hashes(self.hashes.iter().map(String::as_str))
    }
}

impl KvQuery {
    pub(crate) fn new(scope: &str, weights: u64, chain: &[u64]) -> KvQuery {
        let hashes: Vec<String> = chain.iter().map(|hash| format!("{hash:016x}")).collect();
        KvQuery { scope: scope.to_owned(), weights, hash: hashes.join(",") }
    }

    pub(crate) fn chain(&self) -> Vec<u64> {
        parse_hashes(self.hash.split(','))
    }
}

/// A hash that cannot be read ends the chain.
fn parse_hashes<'a>(texts: impl Iterator<Item = &'a str>) -> Vec<u64> {
    texts.map_while(|text| u64::from_str_radix(text, 16).ok()).collect()
}
