//! A backend server as traffic sees it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use fulmargate_config::ServerEntry;
use fulmargate_config::ServerState;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_names::ZoneName;

/// A backend server as traffic sees it. It survives changes of configuration that leave its address as it is.
pub(crate) struct ServerRoute {
    pub(crate) name: ServerName,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    /// Requests of this router that are open there.
    pub(crate) open: AtomicUsize,
    incarnation: AtomicU64,
}

impl ServerRoute {
    /// A server of which nothing is known yet.
    pub(crate) fn new(name: &ServerName, entry: &ServerEntry) -> Arc<ServerRoute> {
        Arc::new(ServerRoute {
            name: name.clone(),
            zone: entry.zone.clone(),
            address: entry.address,
            open: AtomicUsize::new(0),
            incarnation: AtomicU64::new(0),
        })
    }

    /// The highest incarnation that was met.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::Acquire))
    }

    /// Notes an incarnation; an older one changes nothing.
    pub(crate) fn note_incarnation(&self, incarnation: Incarnation) {
        self.incarnation.fetch_max(incarnation.0, Ordering::AcqRel);
    }

    /// Whether the operators let it have new work.
    pub(crate) fn is_active(entry: &ServerEntry) -> bool {
        entry.state == ServerState::Active
    }
}
