//! Connections to hosts that send requests for this one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use fulmargate_names::HostName;
use indexmap::IndexMap;
use tokio::sync::Mutex as TaskMutex;
use tokio::time::Instant;

use crate::traffic::peer_forwarding::ForwardError;
use crate::traffic::peer_forwarding::HelperConnection;

/// How long a host that could not help is not asked again.
const FAILED_HELPER_BACKOFF: Duration = Duration::from_millis(500);

type ConnectionSlot = Arc<TaskMutex<Option<HelperConnection>>>;

/// One connection for each helper, opened on demand.
#[derive(Default)]
pub(crate) struct HelperPool {
    slots: Mutex<IndexMap<HostName, ConnectionSlot>>,
    failed: Mutex<IndexMap<HostName, Instant>>,
}

impl HelperPool {
    /// Returns the connection to a host, which is opened if there is none.
    pub(crate) async fn connection(
        &self,
        host: &HostName,
        address: SocketAddr,
    ) -> Result<HelperConnection, ForwardError> {
        let slot = lock(&self.slots).entry(host.clone()).or_default().clone();
        let mut slot = slot.lock().await;
        let open = slot.as_ref().filter(|open| !open.is_closed() && open.address == address);
        if let Some(open) = open {
            return Ok(open.clone());
        }
        let connection = HelperConnection::connect(host.clone(), address).await?;
        *slot = Some(connection.clone());
        Ok(connection)
    }

    /// Records that a host could not help.
    pub(crate) fn record_failure(&self, host: &HostName) {
        lock(&self.failed).insert(host.clone(), Instant::now());
    }

    /// Hosts that could not help a moment ago.
    pub(crate) fn failed_hosts(&self) -> Vec<HostName> {
        let mut failed = lock(&self.failed);
        failed.retain(|_, at| at.elapsed() < FAILED_HELPER_BACKOFF);
        failed.keys().cloned().collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
