//! Encoding of fleet topic records and of messages between routers.

#[cfg(test)]
mod tests;

use bincode::config;
use bincode::error::DecodeError;
use bincode::error::EncodeError;
use fulmargate_admission::GrantNotice;
use fulmargate_admission::LimitReport;
use fulmargate_admission::QuotaReport;
use fulmargate_consortium::StoreError;
use fulmargate_consortium::encode_keyed;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::ReachReport;
use fulmargate_dispatch::RejectionNotice;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::SuspectNotice;
use fulmargate_dispatch::SuspectReport;
use fulmargate_names::WeightsVersion;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

pub(crate) fn encode_record(record: &FleetRecord) -> Result<Vec<u8>, EncodeError> {
    bincode::serde::encode_to_vec(record, config::standard())
}

/// Encodes a record with its key, as stored in the topic.
pub(crate) fn encode_keyed_record(record: &FleetRecord) -> Result<Vec<u8>, StoreError> {
    let value = encode_record(record);
    let value = value.map_err(|err| StoreError::Unreadable { reason: err.to_string() })?;
    encode_keyed(&record.key(), &value)
}

/// Decodes a record. Fails on kinds that a later router version has added.
pub(crate) fn decode_record(bytes: &[u8]) -> Result<FleetRecord, DecodeError> {
    bincode::serde::decode_from_slice(bytes, config::standard()).map(|(record, _)| record)
}

/// Size of the length prefix of a gossip message.
pub(crate) const LENGTH_PREFIX_BYTES: usize = 4;

/// Header of a log request: the sender's last read of the store failed. Earlier router versions
/// ignore it.
pub(crate) const STORE_STATE_HEADER: &str = "fulmargate-store";
/// The only value of [`STORE_STATE_HEADER`].
pub(crate) const STORE_UNREACHABLE: &str = "out-of-reach";

/// Path of a stream of messages forwarded by a relay.
pub(crate) const RELAYED_PATH: &str = "/relayed";
/// Header of a relayed stream: the host that relays it.
pub(crate) const RELAY_HEADER: &str = "fulmargate-relay";

/// Encodes a log request or its response.
pub(crate) fn encode_payload<T: Serialize>(value: &T) -> Result<Vec<u8>, EncodeError> {
    bincode::serde::encode_to_vec(value, config::standard())
}

/// Decodes a log request or its response.
pub(crate) fn decode_payload<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    bincode::serde::decode_from_slice(bytes, config::standard()).map(|(value, _)| value)
}

/// First extension after the encoded [`GossipMessage`]. Earlier router versions ignore extensions
/// and send none.
#[derive(Serialize, Deserialize)]
struct LinkExtension {
    link_kbps: Option<u32>,
}

/// Second extension.
#[derive(Serialize, Deserialize)]
struct RelayExtension {
    subscribes: bool,
}

/// Third extension.
#[derive(Serialize, Deserialize)]
struct QuotaExtension {
    quotas: Option<QuotaReport>,
}

/// Fourth extension.
#[derive(Serialize, Deserialize)]
struct LimitExtension {
    limits: Option<LimitReport>,
}

/// Fifth extension.
#[derive(Serialize, Deserialize)]
struct ReachExtension {
    reach: Option<ReachReport>,
}

/// Sixth extension.
#[derive(Serialize, Deserialize)]
struct RejectionExtension {
    rejections: Vec<RejectionNotice>,
}

/// Seventh extension.
#[derive(Serialize, Deserialize)]
struct SuspectExtension {
    suspects: SuspectReport,
}

/// Eighth extension: fields of the fourth and the seventh that earlier versions do not know, in their order.
#[derive(Serialize, Deserialize)]
struct DetailExtension {
    grants: Vec<GrantNotice>,
    /// Tokens wanted and lapsed, by notice of a limit.
    tokens: Vec<(u32, u32)>,
    /// Claimed servers, by suspect.
    claimed: Vec<Option<ServerKey>>,
    /// Whether the sender reaches the service, and asks the others, by probe.
    probes: Vec<(bool, bool)>,
}

/// Ninth extension.
#[derive(Serialize, Deserialize)]
struct VersionExtension {
    mixed_services: Option<Vec<u64>>,
}

/// Tenth extension.
#[derive(Serialize, Deserialize)]
struct PartExtension {
    parts: Vec<SuspectNotice>,
    /// Claimed servers, by part.
    claimed: Vec<Option<ServerKey>>,
    /// Milliseconds from the begin of the latest run to the crash and the weights of that run, by part and crash.
    runs: Vec<Vec<(u32, Option<WeightsVersion>)>>,
}

impl PartExtension {
    fn of(parts: &[SuspectNotice]) -> PartExtension {
        let runs = |part: &SuspectNotice| {
            part.crashes.iter().map(|crash| (crash.run_ms, crash.weights)).collect()
        };
        let claimed = |part: &SuspectNotice| part.claim.and_then(|claim| claim.server);
        PartExtension {
            parts: parts.to_vec(),
            claimed: parts.iter().map(claimed).collect(),
            runs: parts.iter().map(runs).collect(),
        }
    }

    fn into_parts(self) -> Vec<SuspectNotice> {
        let mut parts = self.parts;
        for (part, server) in parts.iter_mut().zip(self.claimed) {
            if let Some(claim) = &mut part.claim {
                claim.server = server;
            }
        }
        for (part, runs) in parts.iter_mut().zip(self.runs) {
            for (crash, run) in part.crashes.iter_mut().zip(runs) {
                (crash.run_ms, crash.weights) = run;
            }
        }
        parts
    }
}

impl DetailExtension {
    fn of(gossip: &GossipMessage) -> DetailExtension {
        let limits = gossip.limits.as_ref();
        let notices = limits.map_or(&[][..], |limits| &limits.notices[..]);
        let claimed = |suspect: &SuspectNotice| suspect.claim.and_then(|claim| claim.server);
        let probes = gossip.suspects.probes.iter();
        DetailExtension {
            grants: limits.map_or_else(Vec::new, |limits| limits.grants.clone()),
            tokens: notices.iter().map(|notice| (notice.wanted, notice.lapsed)).collect(),
            claimed: gossip.suspects.suspects.iter().map(claimed).collect(),
            probes: probes.map(|probe| (probe.reaches_service, probe.is_question)).collect(),
        }
    }

    fn apply(self, gossip: &mut GossipMessage) {
        if let Some(limits) = &mut gossip.limits {
            limits.grants = self.grants;
            for (notice, (wanted, lapsed)) in limits.notices.iter_mut().zip(self.tokens) {
                (notice.wanted, notice.lapsed) = (wanted, lapsed);
            }
        }
        for (suspect, server) in gossip.suspects.suspects.iter_mut().zip(self.claimed) {
            if let Some(claim) = &mut suspect.claim {
                claim.server = server;
            }
        }
        for (probe, details) in gossip.suspects.probes.iter_mut().zip(self.probes) {
            (probe.reaches_service, probe.is_question) = details;
        }
    }
}

/// Encodes a gossip message with its length prefix.
pub(crate) fn encode_gossip(gossip: &GossipMessage) -> Result<Vec<u8>, EncodeError> {
    let mut message = bincode::serde::encode_to_vec(gossip, config::standard())?;
    let extension = LinkExtension { link_kbps: gossip.link_kbps };
    message.extend(bincode::serde::encode_to_vec(extension, config::standard())?);
    let extension = RelayExtension { subscribes: gossip.subscribes };
    message.extend(bincode::serde::encode_to_vec(extension, config::standard())?);
    let extension = QuotaExtension { quotas: gossip.quotas.clone() };
    message.extend(bincode::serde::encode_to_vec(extension, config::standard())?);
    let extension = LimitExtension { limits: gossip.limits.clone() };
    message.extend(bincode::serde::encode_to_vec(extension, config::standard())?);
    let extension = ReachExtension { reach: gossip.reach.clone() };
    message.extend(bincode::serde::encode_to_vec(extension, config::standard())?);
    let extension = RejectionExtension { rejections: gossip.rejections.clone() };
    message.extend(bincode::serde::encode_to_vec(extension, config::standard())?);
    let extension = SuspectExtension { suspects: gossip.suspects.clone() };
    message.extend(bincode::serde::encode_to_vec(extension, config::standard())?);
    let extension = DetailExtension::of(gossip);
    message.extend(bincode::serde::encode_to_vec(extension, config::standard())?);
    let extension = VersionExtension { mixed_services: gossip.mixed_services.clone() };
    message.extend(bincode::serde::encode_to_vec(extension, config::standard())?);
    let extension = PartExtension::of(&gossip.suspects.parts);
    message.extend(bincode::serde::encode_to_vec(extension, config::standard())?);
    let mut bytes = (message.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&message);
    Ok(bytes)
}

/// Decodes a gossip message without its length prefix.
pub(crate) fn decode_gossip(bytes: &[u8]) -> Result<GossipMessage, DecodeError> {
    let (mut gossip, length): (GossipMessage, usize) =
        bincode::serde::decode_from_slice(bytes, config::standard())?;
    let mut rest = bytes.get(length..).unwrap_or_default();
    if let Some(extension) = take_extension::<LinkExtension>(&mut rest)? {
        gossip.link_kbps = extension.link_kbps;
    }
    if let Some(extension) = take_extension::<RelayExtension>(&mut rest)? {
        gossip.subscribes = extension.subscribes;
    }
    if let Some(extension) = take_extension::<QuotaExtension>(&mut rest)? {
        gossip.quotas = extension.quotas;
    }
    if let Some(extension) = take_extension::<LimitExtension>(&mut rest)? {
        gossip.limits = extension.limits;
    }
    if let Some(extension) = take_extension::<ReachExtension>(&mut rest)? {
        gossip.reach = extension.reach;
    }
    if let Some(extension) = take_extension::<RejectionExtension>(&mut rest)? {
        gossip.rejections = extension.rejections;
    }
    if let Some(extension) = take_extension::<SuspectExtension>(&mut rest)? {
        gossip.suspects = extension.suspects;
    }
    if let Some(extension) = take_extension::<DetailExtension>(&mut rest)? {
        extension.apply(&mut gossip);
    }
    if let Some(extension) = take_extension::<VersionExtension>(&mut rest)? {
        gossip.mixed_services = extension.mixed_services;
    }
    if let Some(extension) = take_extension::<PartExtension>(&mut rest)? {
        gossip.suspects.parts = extension.into_parts();
    }
    Ok(gossip)
}

/// Decodes the next extension. Returns `None` if the sender's version has no further ones.
fn take_extension<T: DeserializeOwned>(rest: &mut &[u8]) -> Result<Option<T>, DecodeError> {
    if rest.is_empty() {
        return Ok(None);
    }
    let (extension, length) = bincode::serde::decode_from_slice(rest, config::standard())?;
    *rest = rest.get(length..).unwrap_or_default();
    Ok(Some(extension))
}
