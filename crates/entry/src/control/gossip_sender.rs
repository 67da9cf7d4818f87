//! Tells the other routers what this one has under way.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmargate_dispatch::FleetHost;
use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::GossipTarget;
use fulmargate_dispatch::GossipTopology;
use fulmargate_dispatch::WeightsAge;
use fulmargate_dispatch::published_parts;
use fulmargate_dispatch::urgent_pace;
use fulmargate_names::HostName;
use indexmap::IndexSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::control::fleet_codec::encode_gossip;
use crate::control::fleet_watcher::SharedFleetState;
use crate::control::link_table::SharedTable;
use crate::control::link_table::tell;
use crate::control::relay_board::SharedRelays;
use crate::state::SharedState;
use crate::state::boot_now;

/// A router that has nothing to say says so at this pace; a word counts for 1.2 s.
const IDLE_PACE: Duration = Duration::from_millis(400);
/// And where relays pass it on: what a lost relay should have passed on comes with the next word, after its
/// listeners have missed it for half a second.
const IDLE_RELAYED: Duration = Duration::from_millis(200);
/// Words before their turn where relays pass them on, which do so about as often.
const URGENT_RELAYED: Duration = Duration::from_millis(50);

/// One link for each router that words go to.
pub(crate) struct PeerLinks {
    state: Arc<SharedState>,
    fleet_state: SharedFleetState,
    relays: SharedRelays,
    table: SharedTable,
}

/// A router that a word goes to, and where it listens.
struct PeerTarget {
    host: HostName,
    address: SocketAddr,
    subscribes: bool,
}

/// Where the next word goes.
struct GossipRound {
    targets: Vec<PeerTarget>,
    pace: Duration,
    urgent_pace: Duration,
    idle_pace: Duration,
    /// Hosts that hear it in the end.
    hearers: usize,
}

impl PeerLinks {
    /// No links yet.
    pub(crate) fn new(
        state: Arc<SharedState>,
        fleet_state: SharedFleetState,
        relays: SharedRelays,
    ) -> PeerLinks {
        PeerLinks { state, fleet_state, relays, table: SharedTable::default() }
    }

    /// Tells on and on: at a pace, and soon when an engine is about to load.
    pub(crate) async fn run(self) {
        let mut was_busy = false;
        let mut told = Instant::now();
        let mut waited = Instant::now();
        let mut word_bytes = 0;
        let link = self.state.settings.link_bytes_per_s();
        loop {
            let turn = self.turn(word_bytes);
            self.state.book().set_gossip_interval(turn.pace);
            tokio::select! {
                () = sleep(turn.pace) => {}
                () = self.state.loading.changed() => sleep_until(waited + turn.urgent_pace).await,
            }
            let since = waited.elapsed().min(turn.pace);
            waited = Instant::now();
            let news = self.news(published_parts(link, turn.hearers, since));
            let is_busy = is_worth_telling(&news) || self.relays.choice.borrow().is_awaiting();
            word_bytes = 0;
            // The last of it is said, too: that nothing is under way any more. After that a word now
            // and then, so that the others know who is there.
            if is_busy || was_busy || turn.idle_pace <= told.elapsed() {
                word_bytes = self.tell(&turn.targets, news);
                told = Instant::now();
            }
            was_busy = is_busy;
        }
    }

    fn turn(&self, word_bytes: usize) -> GossipRound {
        let own = self.own_host();
        let hosts = self.fleet_hosts(&own);
        let route = GossipTopology::new(&hosts, self.state.settings.direct_hosts);
        let mut choice = self.relays.choice.borrow_mut();
        let link = self.state.settings.link_bytes_per_s();
        match route.targets(&own, &mut choice, Instant::now()) {
            Some(targets) => GossipRound {
                targets: targets.into_iter().filter_map(|target| self.located(target)).collect(),
                pace: route.pace,
                urgent_pace: URGENT_RELAYED,
                idle_pace: IDLE_RELAYED,
                hearers: hosts.len(),
            },
            None => {
                let targets = self.all_others();
                let urgent_pace = urgent_pace(targets.len(), word_bytes, link);
                let (pace, idle_pace, hearers) = (route.pace, IDLE_PACE, targets.len());
                GossipRound { targets, pace, urgent_pace, idle_pace, hearers }
            }
        }
    }

    fn own_host(&self) -> FleetHost {
        let settings = &self.state.settings;
        let (host, zone) = (settings.host.clone(), settings.zone.clone());
        FleetHost { host, zone, link_kbps: settings.link_kbps() }
    }

    /// The hosts that are there: those that were heard lately, those that have started lately, and this one.
    /// Without those that cannot be reached from here or pass nothing on: others may still take them for
    /// relays, and this host would hear nobody.
    fn fleet_hosts(&self, own: &FleetHost) -> Vec<FleetHost> {
        let now = Instant::now();
        let mut hosts = self.state.book().fleet_hosts(now);
        let heard: IndexSet<HostName> = hosts.iter().map(|host| host.host.clone()).collect();
        // Who hears nobody knows the others by their records, however old.
        let hears_nobody = heard.is_empty();
        let fleet_state = self.fleet_state.borrow();
        let members = fleet_state.fleet_hosts(boot_now());
        let others = members
            .filter(|(host, is_new)| (*is_new || hears_nobody) && !heard.contains(&host.host));
        hosts.extend(others.map(|(host, _)| host));
        let (table, choice) = (self.table.borrow(), self.relays.choice.borrow());
        hosts.retain(|host| {
            host.host != own.host
                && !table.has_failed(&host.host)
                && !choice.is_silent(&host.host, now)
        });
        hosts.push(own.clone());
        hosts
    }

    fn located(&self, target: GossipTarget) -> Option<PeerTarget> {
        let GossipTarget { host, subscribes } = target;
        let address = self.fleet_state.borrow().address_of(&host)?;
        Some(PeerTarget { host, address, subscribes })
    }

    /// All other routers, from this one on in the order of their records: so that not all open their first
    /// links to the same ones.
    fn all_others(&self) -> Vec<PeerTarget> {
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

    fn news(&self, most_parts: usize) -> GossipMessage {
        let mut news = self.state.book().take_news(most_parts, Instant::now());
        news.host = Some(self.state.settings.host.clone());
        news.zone = Some(self.state.settings.zone.clone());
        news.link_kbps = Some(self.state.settings.link_kbps());
        news.loading = self.state.loading.notices();
        news.weights = self.weights_ages();
        news.quotas = Some(self.state.quotas().take_report());
        news
    }

    /// Versions named lately; of older ones everybody knows that they are old.
    fn weights_ages(&self) -> Vec<WeightsAge> {
        let now = boot_now();
        let weights = self.state.weights.load();
        let ages = weights.targets().map(|(model, target)| WeightsAge {
            model: model.clone(),
            version: target.version,
            age_ms: now.since(target.learned).as_millis() as u64,
        });
        let longest = self.state.settings.bounds.weights_ms;
        ages.filter(|age| age.age_ms < longest).collect()
    }

    /// Tells the targets, and those that this host passes words on to. Returns the bytes of the word.
    fn tell(&self, targets: &[PeerTarget], mut news: GossipMessage) -> usize {
        let plain = encode(&news);
        news.subscribes = true;
        let wanting = encode(&news);
        self.relays.board.borrow_mut().push_own_zone(&plain);
        let is_target = |host: &HostName| targets.iter().any(|target| target.host == *host);
        self.table.borrow_mut().retain(is_target);
        for target in targets {
            let message = if target.subscribes { &wanting } else { &plain };
            tell(&self.table, &target.host, target.address, message);
        }
        plain.len()
    }
}

/// A message that cannot be written is left out.
fn encode(news: &GossipMessage) -> Bytes {
    match encode_gossip(news) {
        Ok(message) => Bytes::from(message),
        Err(err) => {
            tracing::error!("a message cannot be written: {err}");
            Bytes::new()
        }
    }
}

fn is_worth_telling(news: &GossipMessage) -> bool {
    !news.loads.is_empty()
        || !news.loading.is_empty()
        || !news.prompts.is_empty()
        || !news.caches.is_empty()
        || !news.weights.is_empty()
        || news.quotas.as_ref().is_some_and(|report| !report.counts.is_empty())
}
