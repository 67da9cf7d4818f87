//! Calls for cache events.

use std::net::SocketAddr;
use std::time::Duration;

use fulmargate_consortium::CachePage;
use fulmargate_consortium::EngineClient;
use fulmargate_consortium::StoreError;

/// A call waits this long for an event.
const READ_WAIT: Duration = Duration::from_millis(400);
/// And is given up after this time more.
const READ_ALLOWANCE: Duration = Duration::from_millis(400);

/// Makes the calls of all readers of this host.
pub(crate) struct CacheCalls {
    engines: EngineClient,
}

impl CacheCalls {
    /// No calls yet.
    pub(crate) fn new() -> CacheCalls {
        CacheCalls { engines: EngineClient::new() }
    }

    /// What a source says from a number on.
    pub(crate) async fn read(
        &self,
        address: SocketAddr,
        since: u64,
    ) -> Result<CachePage, StoreError> {
        let timeout = READ_WAIT + READ_ALLOWANCE;
        self.engines.cache_events(address, since, READ_WAIT, timeout).await
    }
}
