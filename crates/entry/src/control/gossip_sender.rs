//! Sends this router's gossip to the other routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmargate_dispatch::FleetHost;
use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::GossipTarget;
use fulmargate_dispatch::GossipTopology;
use fulmargate_dispatch::WeightsAge;
use fulmargate_dispatch::WeightsTable;
use fulmargate_dispatch::max_published_parts;
use fulmargate_dispatch::urgent_interval;
use fulmargate_names::HostName;
use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use indexmap::IndexSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use crate::control::connection_table::SharedConnections;
use crate::control::connection_table::send_or_connect;
use crate::control::fleet_codec::encode_gossip;
use crate::control::fleet_watcher::SharedFleetState;
use crate::control::relay_queue::SharedRelays;
use crate::state::SharedState;
use crate::state::boot_now;
use crate::state::lowest_weights;
use crate::telemetry::log_division;

/// Interval of keepalives: messages without updates. Receivers drop a report after 1.2 s.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval of keepalives where relays forward them. Shorter, because receivers miss the messages
/// of the 0.5 s that it takes to detect a failed relay.
const RELAYED_KEEPALIVE_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum interval of urgent messages where relays forward them.
const RELAYED_URGENT_INTERVAL: Duration = Duration::from_millis(50);

/// Time in which a message is transmitted and processed, and relays forward it.
const SETTLE_MARGIN: Duration = Duration::from_millis(20);
/// Lower bound of the settle time where relays forward messages: claims that cross on their way both arrive before.
const RELAYED_SETTLE_TIME: Duration = Duration::from_millis(180);

/// Sends gossip over one connection per target.
pub(crate) struct GossipSender {
    state: Arc<SharedState>,
    fleet_state: SharedFleetState,
    relays: SharedRelays,
    connections: SharedConnections,
    /// Cancelled when a planned stop begins. This host then takes no requests of others.
    stop: CancellationToken,
}

/// A router that messages are sent to, and its address.
struct PeerTarget {
    host: HostName,
    address: SocketAddr,
    subscribes: bool,
}

/// Targets and intervals of the next message.
struct GossipPlan {
    targets: Vec<PeerTarget>,
    interval: Duration,
    urgent_interval: Duration,
    keepalive_interval: Duration,
    /// Time after which the other hosts have received what this one published, and it what they published meanwhile.
    settle_time: Duration,
    /// Hosts that receive the message, directly or through relays.
    recipients: usize,
}

impl GossipSender {
    pub(crate) fn new(
        state: Arc<SharedState>,
        fleet_state: SharedFleetState,
        relays: SharedRelays,
        stop: CancellationToken,
    ) -> GossipSender {
        let connections = SharedConnections::default();
        GossipSender { state, fleet_state, relays, connections, stop }
    }

    /// Sends messages at an interval, and earlier when an engine is about to load weights or a server may have crashed.
    pub(crate) async fn run(self) {
        let mut had_to_send = false;
        let mut last_sent = Instant::now();
        let mut last_round = Instant::now();
        let mut message_bytes = 0;
        let link_bytes_per_s = self.state.settings.link_bytes_per_s();
        loop {
            let plan = self.next_plan(message_bytes);
            self.state.servers().set_gossip_interval(plan.interval);
            self.state.suspects().set_settle_time(plan.settle_time);
            tokio::select! {
                () = sleep(plan.interval) => {}
                () = self.urgent_change() => sleep_until(last_round + plan.urgent_interval).await,
            }
            let since_last_round = last_round.elapsed().min(plan.interval);
            last_round = Instant::now();
            let gossip = self.next_message(max_published_parts(
                link_bytes_per_s,
                plan.recipients,
                since_last_round,
            ));
            let must_send =
                has_updates(&gossip) || self.relays.choice.borrow().is_waiting_for_relay();
            message_bytes = 0;
            // After the last update, one message without updates follows at the regular interval,
            // to report that nothing is in progress. Later ones are keepalives.
            if must_send || had_to_send || plan.keepalive_interval <= last_sent.elapsed() {
                message_bytes = self.send(&plan.targets, gossip);
                last_sent = Instant::now();
            }
            had_to_send = must_send;
        }
    }

    async fn urgent_change(&self) {
        tokio::select! {
            () = self.state.loading.changed() => {}
            () = self.state.crash_evidence_change.notified() => {}
        }
    }

    fn next_plan(&self, message_bytes: usize) -> GossipPlan {
        let own = self.own_host();
        let hosts = self.topology_hosts(&own);
        let topology = GossipTopology::new(&hosts, self.state.settings.direct_hosts);
        let mut choice = self.relays.choice.borrow_mut();
        let link_bytes_per_s = self.state.settings.link_bytes_per_s();
        match topology.targets(&own, &mut choice, Instant::now()) {
            Some(targets) => GossipPlan {
                targets: targets.into_iter().filter_map(|target| self.resolve(target)).collect(),
                interval: topology.interval,
                urgent_interval: RELAYED_URGENT_INTERVAL,
                keepalive_interval: RELAYED_KEEPALIVE_INTERVAL,
                settle_time: settle_time(topology.interval).max(RELAYED_SETTLE_TIME),
                recipients: hosts.len(),
            },
            None => {
                let targets = self.all_peers();
                let urgent_interval =
                    urgent_interval(targets.len(), message_bytes, link_bytes_per_s);
                GossipPlan {
                    recipients: targets.len(),
                    targets,
                    interval: topology.interval,
                    urgent_interval,
                    keepalive_interval: KEEPALIVE_INTERVAL,
                    settle_time: settle_time(topology.interval),
                }
            }
        }
    }

    fn own_host(&self) -> FleetHost {
        let settings = &self.state.settings;
        let (host, zone) = (settings.host.clone(), settings.zone.clone());
        FleetHost { host, zone, link_kbps: settings.link_kbps() }
    }

    /// Hosts for the topology: the live ones, recently started ones and this one, without hosts
    /// that could not be reached and relays that failed recently.
    fn topology_hosts(&self, own: &FleetHost) -> Vec<FleetHost> {
        let now = Instant::now();
        let mut hosts = self.state.servers().fleet_hosts(now);
        let live_hosts: IndexSet<HostName> = hosts.iter().map(|host| host.host.clone()).collect();
        // Without live peers, members with older records are included.
        let has_no_live_peers = live_hosts.is_empty();
        let fleet_state = self.fleet_state.borrow();
        let members = fleet_state.fleet_hosts(boot_now());
        let others = members.filter(|(host, is_new)| {
            (*is_new || has_no_live_peers) && !live_hosts.contains(&host.host)
        });
        hosts.extend(others.map(|(host, _)| host));
        let (connections, choice) = (self.connections.borrow(), self.relays.choice.borrow());
        hosts.retain(|host| {
            host.host != own.host
                && !connections.has_failed(&host.host)
                && !choice.failed_recently(&host.host, now)
        });
        hosts.push(own.clone());
        hosts
    }

    fn resolve(&self, target: GossipTarget) -> Option<PeerTarget> {
        let GossipTarget { host, subscribes } = target;
        let address = self.fleet_state.borrow().address_of(&host)?;
        Some(PeerTarget { host, address, subscribes })
    }

    /// All other routers, rotated to start after this one, so that not all routers connect to the
    /// same ones first.
    fn all_peers(&self) -> Vec<PeerTarget> {
        let fleet_state = self.fleet_state.borrow();
        let own = &self.state.settings.host;
        let target = |(host, address): (&HostName, &SocketAddr)| PeerTarget {
            host: host.clone(),
            address: *address,
            subscribes: false,
        };
        let mut members: Vec<PeerTarget> = fleet_state.members().map(target).collect();
        if let Some(position) = members.iter().position(|target| target.host == *own) {
            members.rotate_left(position);
            members.remove(0);
        }
        members
    }

    fn next_message(&self, max_parts: usize) -> GossipMessage {
        let mut gossip = self.state.servers().take_gossip(max_parts, Instant::now());
        gossip.host = Some(self.state.settings.host.clone());
        gossip.zone = Some(self.state.settings.zone.clone());
        gossip.link_kbps = Some(self.state.settings.link_kbps());
        gossip.loading = self.state.loading.notices();
        gossip.weights = self.weights_ages();
        gossip.limits = self.state.servers().take_limit_report(Instant::now());
        gossip.rejections = self.state.servers().take_rejections(Instant::now());
        for change in self.state.servers().take_division_changes() {
            log_division(&self.state, &change);
        }
        let hosts = self.fleet_state.borrow().host_count();
        gossip.suspects = self.state.suspects().take_report(hosts, Instant::now());
        gossip.mixed_services = Some(self.state.versions().mixed_services());
        gossip.quotas = Some(self.state.quotas().take_report());
        gossip.reach = Some(self.state.servers().reach_report(!self.stop.is_cancelled()));
        gossip
    }

    /// Ages for hosts of the last release, which use them for all versions before the target. Nothing is said while
    /// no bound runs.
    fn weights_ages(&self) -> Vec<WeightsAge> {
        let weights = self.state.weights.load();
        let targets = weights.targets();
        targets.filter_map(|(model, target)| self.weights_age(&weights, model, target)).collect()
    }

    fn weights_age(
        &self,
        weights: &WeightsTable,
        model: &ModelName,
        version: WeightsVersion,
    ) -> Option<WeightsAge> {
        let (bound, now) = (self.state.settings.bounds.weights(), boot_now());
        // Lower versions are outdated for longer.
        weights.target_age(model, now).filter(|age| *age < bound)?;
        let lowest = lowest_weights(&self.state, model)?;
        let age = weights.running_age(model, lowest, bound, now)?;
        Some(WeightsAge { model: model.clone(), version, age_ms: age.as_millis() as u64 })
    }

    /// Sends a message to the targets and queues it for this host's subscribers. Returns its
    /// encoded size.
    fn send(&self, targets: &[PeerTarget], mut gossip: GossipMessage) -> usize {
        let encoded = encode(&gossip);
        gossip.subscribes = true;
        let encoded_subscribing = encode(&gossip);
        self.relays.queue.borrow_mut().push_own_zone(&encoded);
        let is_target = |host: &HostName| targets.iter().any(|target| target.host == *host);
        self.connections.borrow_mut().retain(is_target);
        for target in targets {
            let message = if target.subscribes { &encoded_subscribing } else { &encoded };
            send_or_connect(&self.connections, &target.host, target.address, message);
        }
        encoded.len()
    }
}

fn settle_time(interval: Duration) -> Duration {
    interval + interval / 2 + SETTLE_MARGIN
}

/// Returns no bytes if the message can't be encoded.
fn encode(gossip: &GossipMessage) -> Bytes {
    match encode_gossip(gossip) {
        Ok(message) => Bytes::from(message),
        Err(err) => {
            tracing::error!("could not encode a gossip message: {err}");
            Bytes::new()
        }
    }
}

fn has_updates(gossip: &GossipMessage) -> bool {
    !gossip.loads.is_empty()
        || !gossip.loading.is_empty()
        || !gossip.prompts.is_empty()
        || !gossip.caches.is_empty()
        || !gossip.weights.is_empty()
        || !gossip.rejections.is_empty()
        || !gossip.suspects.is_empty()
        || gossip.quotas.as_ref().is_some_and(|report| !report.counts.is_empty())
        || gossip.limits.as_ref().is_some_and(|report| !report.usage.counts.is_empty())
}
