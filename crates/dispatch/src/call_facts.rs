//! One attempt of a call, as decoded by an edge.

use std::sync::Arc;

use fulmargate_names::ModelName;
use fulmargate_names::RequestId;
use fulmargate_names::ServiceName;
use fulmargate_names::TeamName;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_128_with_seed;

use crate::RouteRule;

/// The data that routing decisions use. The body is passed separately.
#[derive(Clone, Debug)]
pub struct CallFacts {
    /// Request id of this attempt.
    pub id: RequestId,
    /// Matched route.
    pub route: Arc<RouteRule>,
    /// Team of the API key; `None` on anonymous routes.
    pub team: Option<TeamName>,
    /// Requested model; `None` for plain services.
    pub model: Option<ModelName>,
    /// Parts of the prompt in order. The last one is specific to this request.
    pub prompt: Vec<PromptPart>,
    /// Upper bound of generated tokens.
    pub output_tokens: u32,
    /// Prompt tokens plus the upper bound of generated tokens, if the caller states them.
    pub stated_tokens: Option<u64>,
    /// Priority, 0 first: the team's, or else the route's.
    pub priority: u8,
    /// When the request's head was read.
    pub arrived: Instant,
    /// When the call must be answered at the latest: the caller's deadline or the route's timeout.
    pub deadline: Instant,
    /// Fingerprint of caller, path and body, independent of the request id.
    pub fingerprint: u128,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's id.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u32,
}

impl CallFacts {
    /// The service for the request. A route with several services picks one by the hash of the request id.
    pub fn service(&self) -> Option<ServiceName> {
        let hash = xxh3_64(self.id.as_str().as_bytes());
        self.route.service_for(hash).cloned()
    }

    /// The parts that other requests may share. A prompt of one part is shared with its
    /// repetitions.
    pub fn shared_parts(&self) -> &[PromptPart] {
        match self.prompt.len() {
            0 | 1 => &self.prompt,
            len => &self.prompt[..len - 1],
        }
    }

    /// Keys of the parts but the last, against which crashes of servers count. A part crashes servers by its content,
    /// whoever sends it, so that the team is not in them.
    pub fn part_keys(&self) -> Arc<[u128]> {
        let (Some(service), Some(model)) = (self.service(), &self.model) else {
            return Arc::from([]);
        };
        let mut hasher = Xxh3::new();
        for name in [service.as_str(), model.as_str()] {
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
        }
        let seed = hasher.digest();
        let shared = self.prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| xxh3_128_with_seed(&part.hash.to_le_bytes(), seed)).collect()
    }

    /// Length of the whole prompt in tokens.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt.iter().map(|part| part.tokens).sum()
    }

    /// Length of the shared parts in tokens.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Hash key that determines the prompt's owner: its last shared part.
    pub fn owner_key(&self) -> Option<u64> {
        self.shared_parts().last().map(|part| part.hash)
    }
}
