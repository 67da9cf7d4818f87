//! What routers tell each other directly, often, and without care for losses.

use fulmargate_admission::QuotaReport;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Backlog;

/// A start of a server in messages and books: names are long, and a server that starts again may keep
/// its name. What is still said of an earlier start then meets no server and changes nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerKey(pub u64);

impl ServerKey {
    /// Stands for the store of cached prompts.
    pub const STORE: ServerKey = ServerKey(0);

    /// The key of a start of the server with this name.
    pub fn of(name: &ServerName, incarnation: Option<Incarnation>) -> ServerKey {
        let seed = incarnation.map_or(0, |incarnation| incarnation.0);
        ServerKey(xxh3_64_with_seed(name.as_str().as_bytes(), seed))
    }
}

/// One message. Each replaces what the sender said before, but for the prompts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender's host; none in a message that was not filled in.
    pub host: Option<HostName>,
    /// Its availability zone.
    pub zone: Option<ZoneName>,
    /// The sender's requests under way, by server.
    pub loads: Vec<PeerLoad>,
    /// Engines that the sender has ordered to load, if it holds the lease.
    pub loading: Vec<LoadingNotice>,
    /// Prompts that the sender has sent since its last message.
    pub prompts: Vec<PromptNotice>,
    /// The newest weights that the sender knows of and how long it has, if it saw them named.
    pub weights: Vec<WeightsAge>,
    /// What engines and the store have said of their caches to the sender.
    pub caches: Vec<CacheNotice>,
    /// What the sender's link carries, in kbit/s. It goes behind the message, where routers that do not
    /// know it leave it; of those it is not known.
    #[serde(skip)]
    pub link_kbps: Option<u32>,
    /// The sender wants to hear what others say from the router that this goes to. Behind the message, too.
    #[serde(skip)]
    pub subscribes: bool,
    /// What the sender has admitted of teams' quotas since its last message. Behind the message, too.
    #[serde(skip)]
    pub quotas: Option<QuotaReport>,
}

/// How long ago a version was named.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsAge {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightsVersion,
    /// Milliseconds since it was named.
    pub age_ms: u64,
}

/// What an engine or the store says of its cache.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheNotice {
    /// The engine or the store.
    pub server: ServerKey,
    /// What was believed before is void: it has started anew, or events were lost.
    pub is_reset: bool,
    /// Parts by the key they are remembered under, and the tokens stored now.
    pub parts: Vec<(u64, u32)>,
}

/// A sender's requests at one server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// The server.
    pub server: ServerKey,
    /// Requests under way.
    pub open: u32,
    /// Those of them that are chats.
    pub chats: u32,
    /// Prompt tokens whose first event is awaited.
    pub backlog: Backlog,
}

/// An engine that loads weights, or is about to, and turns requests away meanwhile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadingNotice {
    /// The engine.
    pub server: ServerKey,
    /// The model.
    pub model: ModelName,
    /// The weights.
    pub version: WeightsVersion,
    /// How far it is.
    pub stage: LoadingStage,
}

/// How far an engine is with new weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadingStage {
    /// It turns requests away, or will soon.
    Loading,
    /// The weights are in place.
    InPlace,
    /// It could not be brought up and keeps what it has. Unsaid, all routers left such engines alone
    /// for seconds, and the rest got all the requests.
    GivenUp,
}

/// A prompt's shared parts that an engine has now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptNotice {
    /// The engine.
    pub server: ServerKey,
    /// Hash of the salt.
    pub scope: u64,
    /// Hashes of the shared parts in order.
    pub parts: Vec<u64>,
    /// Tokens that were new to the engine.
    pub taken_tokens: u32,
    /// Milliseconds after which the engine is expected to have read them.
    pub ready_ms: u32,
    /// They are in the store of cached prompts, too.
    pub is_stored: bool,
    /// Where the engine fetches the rest from.
    pub source: Option<ServerKey>,
    /// Time that the fetch takes on the source's link, in milliseconds.
    pub transfer_ms: u32,
}
