//! Sends records of streams to their owners, and asks owners for them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::ASKED_OWNERS;
use fulmargate_dispatch::BindingNotice;
use fulmargate_dispatch::OwnerCandidate;
use fulmargate_dispatch::StreamKey;
use fulmargate_dispatch::binding_owners;
use fulmargate_names::HostName;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::state::SharedState;
use crate::traffic::peer_forwarding::ForwardError;
use crate::traffic::peer_forwarding::SenderIdentity;
use crate::traffic::stream_binding::BINDING_PATH;
use crate::traffic::stream_binding::BindingMessage;
use crate::traffic::stream_binding::BindingReply;
use crate::traffic::stream_binding::decode_binding;
use crate::traffic::stream_binding::encode_binding;

/// An owner that does not reply within this time counts as one without a record. Callers wait for it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// Hosts that keep records of streams: live ones, those that have just started, and this one.
pub(crate) fn owner_candidates(state: &SharedState) -> Vec<OwnerCandidate> {
    let settings = &state.settings;
    let fleet = state.fleet.load();
    let mut candidates = state.servers().binding_hosts(Instant::now());
    candidates.retain(|candidate| candidate.host != settings.host);
    candidates.push(OwnerCandidate { host: settings.host.clone(), zone: settings.zone.clone() });
    let new_hosts = fleet.new_hosts.iter();
    let is_missing =
        |host: &&OwnerCandidate| !candidates.iter().any(|known| known.host == host.host);
    let missing: Vec<OwnerCandidate> = new_hosts.filter(is_missing).cloned().collect();
    candidates.extend(missing);
    if 1 < candidates.len() {
        return candidates;
    }
    // No message of another host has arrived yet.
    let of_zone =
        |host: &HostName| OwnerCandidate { host: host.clone(), zone: settings.zone.clone() };
    fleet.members.iter().map(of_zone).collect()
}

/// Asks the owners of a record at once. Returns the first that is found.
pub(crate) async fn ask_owners(
    state: &Arc<SharedState>,
    key: StreamKey,
) -> Option<(HostName, BindingNotice)> {
    let candidates = owner_candidates(state);
    let own = &state.settings.host;
    let owners = binding_owners(key, &candidates, ASKED_OWNERS);
    let mut questions: FuturesUnordered<_> = owners
        .into_iter()
        .filter(|host| host != own)
        .map(|host| async move {
            let reply = send_binding(state, &host, &BindingMessage::Ask(key)).await;
            (host, reply)
        })
        .collect();
    while let Some((host, reply)) = questions.next().await {
        match reply {
            Ok(BindingReply { notice: Some(notice) }) if notice.key == key => {
                return Some((host, notice));
            }
            Ok(_) => {}
            Err(err) => tracing::debug!("{host} was asked for a stream in vain: {err}"),
        }
    }
    None
}

/// Sends a message to a host and waits for its reply.
pub(crate) async fn send_binding(
    state: &Arc<SharedState>,
    host: &HostName,
    message: &BindingMessage,
) -> Result<BindingReply, ForwardError> {
    let not_sent = |reason: String| ForwardError::NotSent { reason };
    let address: Option<SocketAddr> = state.fleet.load().addresses.get(host).copied();
    let address = address.ok_or_else(|| not_sent("its address is not known".to_owned()))?;
    let encoded = encode_binding(message).map_err(|err| not_sent(err.to_string()))?;
    let sender =
        SenderIdentity { host: state.settings.host.clone(), incarnation: state.incarnation };
    let exchange = async {
        let connection = state.helpers.connection(host, address).await?;
        connection.exchange(&sender, BINDING_PATH, encoded).await
    };
    let reply = timeout(REPLY_TIMEOUT, exchange).await;
    let reply =
        reply.map_err(|_| ForwardError::Broken { reason: "no reply in time".to_owned() })?;
    decode_binding(&reply?).map_err(|err| ForwardError::Broken { reason: err.to_string() })
}
