//! Calls for cache events.

use std::net::SocketAddr;
use std::time::Duration;

use fulmargate_consortium::CachePage;
use fulmargate_consortium::CacheQuestion;
use fulmargate_consortium::EngineClient;
use fulmargate_consortium::StoreError;

/// A call waits this long for an event.
const READ_WAIT: Duration = Duration::from_millis(400);
/// The answer is given up after this time more, and its page after as much again.
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
        let question = CacheQuestion {
            since,
            wait: READ_WAIT,
            answer_timeout: READ_WAIT + READ_ALLOWANCE,
            page_timeout: READ_ALLOWANCE,
        };
        self.engines.cache_events(address, question, &|_| {}).await
    }
}
