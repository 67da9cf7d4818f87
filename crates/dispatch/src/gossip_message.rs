//! Messages that routers exchange directly and often. Lost ones are not resent.

use fulmargate_admission::LimitReport;
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
use crate::ReachReport;
use crate::RejectionNotice;
use crate::SuspectReport;

/// Identifies one incarnation of a server in messages and tables. It is shorter than the name, and
/// messages about an earlier incarnation match no server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerKey(pub u64);

impl ServerKey {
    /// The prompt cache store.
    pub const STORE: ServerKey = ServerKey(0);

    /// The key of one incarnation of the named server.
    pub fn of(name: &ServerName, incarnation: Option<Incarnation>) -> ServerKey {
        let seed = incarnation.map_or(0, |incarnation| incarnation.0);
        ServerKey(xxh3_64_with_seed(name.as_str().as_bytes(), seed))
    }
}

/// A gossip message. Loads replace those of the sender's previous message; prompts, cache updates
/// and quotas add to earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Host of the sender; `None` until the message is filled in.
    pub host: Option<HostName>,
    /// Availability zone of the sender.
    pub zone: Option<ZoneName>,
    /// The sender's requests in progress, by server.
    pub loads: Vec<PeerLoad>,
    /// Engines that the sender has ordered to load weights, if it holds the lease.
    pub loading: Vec<LoadingNotice>,
    /// Prompts sent to engines since the sender's last message.
    pub prompts: Vec<PromptNotice>,
    /// Target weights versions and their ages, for versions published recently.
    pub weights: Vec<WeightsAge>,
    /// Cache updates that the sender received from engines and from the prompt cache store.
    pub caches: Vec<CacheNotice>,
    /// Bandwidth of the sender's link, in kbit/s. Encoded after the message, where routers of
    /// earlier versions ignore it; `None` for their messages.
    #[serde(skip)]
    pub link_kbps: Option<u32>,
    /// Asks the receiver to forward other routers' messages to the sender. Encoded after the
    /// message as well.
    #[serde(skip)]
    pub subscribes: bool,
    /// Requests admitted against team quotas since the sender's last message. Encoded after the
    /// message as well.
    #[serde(skip)]
    pub quotas: Option<QuotaReport>,
    /// Rate limits of servers that the sender knows, and requests sent to these servers since its last message.
    /// Encoded after the message as well.
    #[serde(skip)]
    pub limits: Option<LimitReport>,
    /// Services that the sender does not reach. Encoded after the message as well; `None` for routers that send no
    /// requests of others.
    #[serde(skip)]
    pub reach: Option<ReachReport>,
    /// Rejections by brittle servers. Encoded after the message as well.
    #[serde(skip)]
    pub rejections: Vec<RejectionNotice>,
    /// Requests that crash servers. Encoded after the message as well.
    #[serde(skip)]
    pub suspects: SuspectReport,
    /// Services that have servers of several software versions, as hashes. Encoded after the message as well; `None`
    /// for routers that do not bind streams to versions.
    #[serde(skip)]
    pub mixed_services: Option<Vec<u64>>,
}

/// Time since a target weights version was published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsAge {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightsVersion,
    /// Milliseconds since the version was published.
    pub age_ms: u64,
}

/// A cache update of an engine or of the prompt cache store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheNotice {
    /// The engine, or [`ServerKey::STORE`].
    pub server: ServerKey,
    /// Discards all earlier updates: the server has restarted, or events were lost.
    pub is_reset: bool,
    /// Cached prompt parts by key, with the number of tokens now stored.
    pub parts: Vec<(u64, u32)>,
}

/// The sender's requests at one server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// The server.
    pub server: ServerKey,
    /// Requests in progress.
    pub open: u32,
    /// Chat requests among them.
    pub chats: u32,
    /// Prompt tokens of requests that wait for their first event.
    pub backlog: Backlog,
}

/// An engine that loads weights, or is about to, and rejects requests meanwhile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadingNotice {
    /// The engine.
    pub server: ServerKey,
    /// The model.
    pub model: ModelName,
    /// The weights.
    pub version: WeightsVersion,
    /// Progress of loading the weights.
    pub stage: LoadingStage,
}

/// Progress of an engine that loads weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadingStage {
    /// It rejects requests, or will soon.
    Loading,
    /// The weights are loaded.
    #[serde(rename = "InPlace")]
    Loaded,
    /// Loading failed and the engine keeps its previous weights. Without this notice routers would
    /// avoid the engine for seconds and overload the others.
    #[serde(rename = "GivenUp")]
    Failed,
}

/// Shared parts of a prompt that an engine now has in its cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptNotice {
    /// The engine.
    pub server: ServerKey,
    /// Hash of the salt.
    pub scope: u64,
    /// Hashes of the shared parts in order.
    pub parts: Vec<u64>,
    /// Prompt tokens that the engine had not cached.
    pub taken_tokens: u32,
    /// Expected time until the engine has processed them, in milliseconds.
    pub ready_ms: u32,
    /// The parts are in the prompt cache store as well.
    pub is_stored: bool,
    /// The server from which the engine fetches the other parts.
    pub source: Option<ServerKey>,
    /// Time that the fetch occupies the source's link, in milliseconds.
    pub transfer_ms: u32,
}
