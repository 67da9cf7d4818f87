//! A backend server as traffic sees it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use fulmargate_admission::GateConf;
use fulmargate_admission::MoveReason;
use fulmargate_admission::ServerGate;
use fulmargate_config::ServerEntry;
use fulmargate_config::ServerKind;
use fulmargate_names::Incarnation;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;

/// A backend server as traffic sees it. It outlives changes of configuration that leave its address as it is.
pub(crate) struct ServerRoute {
    pub(crate) name: ServerName,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    pub(crate) gate: Arc<ServerGate>,
    incarnation: AtomicU64,
    leaving: AtomicU64,
    /// Weights that the server reports, by model; empty before its first report.
    weights: ArcSwap<IndexMap<ModelName, WeightsVersion>>,
}

impl ServerRoute {
    /// A server of which nothing is known yet.
    pub(crate) fn new(name: &ServerName, entry: &ServerEntry) -> Arc<ServerRoute> {
        let conf = match entry.kind {
            ServerKind::Engine { .. } => GateConf::engine(),
            ServerKind::Service { .. } => GateConf::service(),
        };
        Arc::new(ServerRoute {
            name: name.clone(),
            zone: entry.zone.clone(),
            address: entry.address,
            gate: ServerGate::new(name.clone(), conf),
            incarnation: AtomicU64::new(0),
            leaving: AtomicU64::new(0),
            weights: ArcSwap::default(),
        })
    }

    /// The highest incarnation that was met; 0 if none.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::Acquire))
    }

    /// Notes an incarnation; an older one changes nothing. Says which one was known before.
    pub(crate) fn note_incarnation(&self, incarnation: Incarnation) -> Incarnation {
        Incarnation(self.incarnation.fetch_max(incarnation.0, Ordering::AcqRel))
    }

    /// Notes that an incarnation leaves. It stays so whatever a lagging list says later; only a
    /// later incarnation gets new work again.
    pub(crate) fn note_leaving(&self, incarnation: Incarnation) {
        self.leaving.fetch_max(incarnation.0.max(1), Ordering::AcqRel);
    }

    /// Whether it gets nothing because it fails; one that leaves still finishes what it has.
    pub(crate) fn is_out_of_use(&self) -> bool {
        self.gate.snapshot().closed == Some(MoveReason::Ejected)
    }

    /// Whether the newest incarnation leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        let leaving = self.leaving.load(Ordering::Acquire);
        0 < leaving && self.incarnation().0 <= leaving
    }

    /// The incarnation that leaves; 0 if none.
    pub(crate) fn leaving_incarnation(&self) -> Incarnation {
        Incarnation(self.leaving.load(Ordering::Acquire))
    }

    /// Takes in which weights the server says are in use; tells whether that is news.
    pub(crate) fn note_weights(&self, weights: &IndexMap<ModelName, WeightsVersion>) -> bool {
        if **self.weights.load() == *weights {
            return false;
        }
        self.weights.store(Arc::new(weights.clone()));
        true
    }

    /// The weights that the server has reported for a model.
    pub(crate) fn told_weights(&self, model: &ModelName) -> Option<WeightsVersion> {
        self.weights.load().get(model).copied()
    }

    /// Whether it has reported these weights, or none yet.
    pub(crate) fn may_have(&self, model: &ModelName, weights: WeightsVersion) -> bool {
        self.told_weights(model).is_none_or(|told| told == weights)
    }
}
