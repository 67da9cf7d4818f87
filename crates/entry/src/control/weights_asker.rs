//! Asks other hosts since when weights are outdated that had been replaced before this host started.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::FleetHost;
use fulmargate_dispatch::PeerRotation;
use fulmargate_dispatch::WeightsReport;
use fulmargate_names::EventKind;
use fulmargate_names::HostName;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::control::fleet_codec::decode_payload;
use crate::control::fleet_watcher::SharedFleetState;
use crate::control::weights_service::WEIGHTS_PATH;
use crate::state::SharedState;
use crate::state::boot_now;
use crate::state::lowest_weights;
use crate::traffic::ForwardError;
use crate::traffic::HelperPool;
use crate::traffic::SenderIdentity;

/// Hosts that are asked at once.
const HOSTS_PER_ROUND: usize = 3;
/// A host that does not reply within this time counts as one that knows nothing.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which engines with weights of unknown age are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after the first round. Doubles with each round.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Asks other hosts for their proofs while engines run weights for which this host has none.
pub(crate) struct WeightsAsker {
    state: Arc<SharedState>,
    fleet_state: SharedFleetState,
    /// Closed when the task ends. Those for forwarded requests belong to the traffic thread.
    connections: HelperPool,
    rotation: PeerRotation,
    /// Time at which the operator topic was found to have been listed.
    listed_at: Option<BootTime>,
    rounds: u64,
}

/// The reply of a host.
struct HostReply {
    host: HostName,
    asked_at: BootTime,
    round_trip: Duration,
    report: WeightsReport,
}

impl WeightsAsker {
    pub(crate) fn new(state: Arc<SharedState>, fleet_state: SharedFleetState) -> WeightsAsker {
        let rotation = PeerRotation::new(state.incarnation.0);
        let connections = HelperPool::default();
        WeightsAsker { state, fleet_state, connections, rotation, listed_at: None, rounds: 0 }
    }

    /// Ends when no reply could help any more.
    pub(crate) async fn run(mut self) {
        while !self.is_over() {
            let hosts = if self.needs_proofs() { self.next_hosts() } else { Vec::new() };
            if hosts.is_empty() {
                sleep(CHECK_INTERVAL).await;
                continue;
            }
            self.ask(hosts).await;
            sleep(self.next_pause()).await;
        }
    }

    /// Whether the first listing is older than the bound: the versions that it had made obsolete are outdated then,
    /// and later ones were read as they were named.
    fn is_over(&mut self) -> bool {
        let now = boot_now();
        let has_targets = self.state.weights.load().targets().next().is_some();
        if self.listed_at.is_none() && (has_targets || self.state.proof().age(now).is_some()) {
            self.listed_at = Some(now);
        }
        let bound = self.state.settings.bounds.weights();
        self.listed_at.is_some_and(|listed_at| bound <= now.since(listed_at))
    }

    /// Whether an engine runs a version of which it is not proven since when it is outdated.
    fn needs_proofs(&self) -> bool {
        let weights = self.state.weights.load();
        weights.targets().any(|(model, _)| {
            lowest_weights(&self.state, model)
                .is_some_and(|version| weights.is_proof_missing(model, version))
        })
    }

    fn next_hosts(&mut self) -> Vec<(HostName, SocketAddr)> {
        let fleet_state = self.fleet_state.borrow();
        let own = &self.state.settings.host;
        let others = fleet_state.fleet_hosts(boot_now()).map(|(host, _)| host);
        let others: Vec<FleetHost> = others.filter(|other| other.host != *own).collect();
        let hosts = self.rotation.next(&others, HOSTS_PER_ROUND).into_iter();
        hosts.filter_map(|host| Some((host.clone(), fleet_state.address_of(&host)?))).collect()
    }

    /// Asks the hosts at once, until all that is needed is known.
    async fn ask(&self, hosts: Vec<(HostName, SocketAddr)>) {
        let questions = hosts.into_iter().map(|(host, address)| self.ask_host(host, address));
        let mut replies: FuturesUnordered<_> = questions.collect();
        while let Some(reply) = replies.next().await {
            let Some(reply) = reply else { continue };
            self.learn(&reply);
            if !self.needs_proofs() {
                return;
            }
        }
    }

    async fn ask_host(&self, host: HostName, address: SocketAddr) -> Option<HostReply> {
        match timeout(REPLY_TIMEOUT, self.exchange(&host, address)).await {
            Ok(Ok(reply)) => Some(reply),
            Ok(Err(err)) => {
                tracing::debug!("{host} was asked for the age of weights in vain: {err}");
                None
            }
            Err(_) => {
                tracing::debug!(
                    "{host} was asked for the age of weights and did not reply in time"
                );
                None
            }
        }
    }

    async fn exchange(
        &self,
        host: &HostName,
        address: SocketAddr,
    ) -> Result<HostReply, ForwardError> {
        let connection = self.connections.connection(host, address).await?;
        let sender = SenderIdentity {
            host: self.state.settings.host.clone(),
            incarnation: self.state.incarnation,
        };
        // The ages in the reply count from here, however late it comes.
        let asked_at = boot_now();
        let reply = connection.exchange(&sender, WEIGHTS_PATH, Bytes::new()).await?;
        let report = decode_payload(&reply);
        let report = report.map_err(|err| ForwardError::Broken { reason: err.to_string() })?;
        let round_trip = boot_now().since(asked_at);
        Ok(HostReply { host: host.clone(), asked_at, round_trip, report })
    }

    fn learn(&self, reply: &HostReply) {
        let asked_at = reply.asked_at;
        let learned = self.state.change_weights(|weights| reply.report.apply(asked_at, weights));
        for learned in &learned {
            let kind = EventKind::WeightsAgeLearned;
            tracing::info!(
                event = kind.number(),
                name = kind.name(),
                model = %learned.model,
                version = %learned.proof.version,
                age_ms = boot_now().since(learned.proof.proven_at).as_millis() as u64,
                host = %reply.host,
                round_trip_ms = reply.round_trip.as_millis() as u64,
            );
        }
        if !learned.is_empty() {
            // Engines on older weights may be used now.
            self.state.prompt_queue.wake();
        }
    }

    /// Between half of the pause and one and a half, so that hosts that start at once do not ask at once.
    fn next_pause(&mut self) -> Duration {
        let doublings = self.rounds.min(8) as u32;
        let pause = (MIN_PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE);
        let draw = xxh3_64_with_seed(&self.rounds.to_le_bytes(), self.state.incarnation.0);
        self.rounds += 1;
        pause.mul_f64(0.5 + draw as f64 / u64::MAX as f64)
    }
}
