//! New weights.

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::LoadingNotice;
use fulmargate_dispatch::LoadingStage;
use fulmargate_dispatch::RolloutEngine;
use fulmargate_dispatch::RolloutPlan;
use fulmargate_names::HostName;
use fulmargate_names::WeightsVersion;

use super::Day;
use crate::event_queue::PlayEvent;
use crate::router_model::WEIGHTS_BOUND;

/// The router that holds the lease.
const HOLDER: usize = 0;
/// How often the holder looks at the wave, in milliseconds.
const WAVE_MS: f64 = 25.0;
/// From the naming of a version to the first orders: the lease is taken, in milliseconds.
const LEASE_MS: f64 = 900.0;
/// From the end of a load until the holder has seen it, in milliseconds.
const SEEN_MS: f64 = 150.0;

impl Day {
    pub(super) fn bump(&mut self) {
        self.named += 1;
        let boot_now = BootTime(100_000 + self.now as u64);
        for router in &mut self.routers {
            let version = WeightsVersion(self.named);
            router.weights.add_target(&self.shared.model, version, Some(boot_now));
        }
        let lease = if self.named == 2 { LEASE_MS } else { 0.0 };
        self.queue.add(self.now + lease, PlayEvent::Wave);
    }

    pub(super) fn wave(&mut self) {
        let wanted = WeightsVersion(self.named);
        let model = &self.shared.model;
        let router = &self.routers[HOLDER];
        let boot_now = BootTime(100_000 + self.now as u64);
        let servers: Vec<RolloutEngine> = self
            .shared
            .entries
            .iter()
            .enumerate()
            .filter_map(|(number, entry)| {
                let state = router.registry.state(entry.key())?;
                let version = state.confirmed_weights(model)?;
                Some(RolloutEngine {
                    key: entry.key(),
                    name: entry.name.clone(),
                    zone: entry.zone.clone(),
                    version,
                    outdated_for: router.weights.outdated_for(model, version, boot_now),
                    load: router.registry.open_at(entry.key()),
                    is_ordered: self.ordered.contains(&number),
                    is_reachable: state.is_open(self.shared.time(self.now)),
                    has_failed: false,
                })
            })
            .collect();
        if servers.iter().all(|server| wanted <= server.version) {
            return;
        }
        for key in RolloutPlan::default().next(&servers, wanted, WEIGHTS_BOUND) {
            let engine = self.shared.entries.iter().position(|entry| entry.key() == key);
            let Some(engine) = engine else { continue };
            if !self.engines[engine].is_dark {
                self.order(engine);
            }
        }
        self.drive_orders();
        self.queue.add(self.now + WAVE_MS, PlayEvent::Wave);
    }

    fn order(&mut self, engine: usize) {
        self.ordered.insert(engine);
        self.tell_stage(engine, LoadingStage::Loading);
    }

    /// Engines that have been told of are ordered once nothing is under way there.
    fn drive_orders(&mut self) {
        let ordered: Vec<usize> = self.ordered.iter().copied().collect();
        for engine in ordered {
            if self.engines[engine].is_dark {
                self.ordered.swap_remove(&engine);
                continue;
            }
            let is_idle =
                self.routers[HOLDER].registry.open_at(self.shared.entries[engine].key()) == 0;
            if self.engines[engine].order.is_some() || !is_idle && 0 < self.engines[engine].load() {
                continue;
            }
            for send in self.engines[engine].take_order(self.named) {
                self.queue.add(self.now + 2.0, PlayEvent::TurnedAway { send });
            }
            self.load_if_idle(engine);
        }
    }

    pub(super) fn load_if_idle(&mut self, number: usize) {
        if !self.engines[number].may_load() {
            return;
        }
        self.engines[number].is_loading = true;
        let loading = self.engines.iter().filter(|engine| engine.is_loading).count();
        let crowd = (loading as f64 / self.spec.loads_at_once as f64).max(1.0);
        let epoch = self.engines[number].epoch;
        let at = self.now + self.spec.load_ms * crowd + SEEN_MS;
        self.sheet.loads += 1;
        self.queue.add(at, PlayEvent::Loaded { engine: number, epoch });
    }

    pub(super) fn loaded(&mut self, engine: usize, epoch: u64) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        self.engines[engine].loaded();
        self.ordered.swap_remove(&engine);
        self.tell_stage(engine, LoadingStage::Loaded);
    }

    fn tell_stage(&mut self, engine: usize, stage: LoadingStage) {
        let version = match stage {
            LoadingStage::Loaded => WeightsVersion(self.engines[engine].weights),
            _ => WeightsVersion(self.named),
        };
        let notice = LoadingNotice {
            server: self.shared.entries[engine].key(),
            model: self.shared.model.clone(),
            version,
            stage,
        };
        let host = Some(HostName::new("holder-of-the-lease"));
        let news = GossipMessage { host, loading: vec![notice], ..GossipMessage::default() };
        let now = self.shared.time(self.now);
        for router in &mut self.routers {
            router.registry.apply_gossip(&news, now);
        }
    }
}
