//! Keys under which a process writes records of streams.

use fulmargate_consortium::StoreClient;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::LogTopic;
use fulmargate_names::HostName;
use fulmargate_names::LogOffset;

use crate::control::topic_listing::ListingState;
use crate::control::topic_listing::TopicListing;

/// Keys of one process, which it writes by turns. They hold the records of some seconds.
const KEYS_PER_PROCESS: u64 = 32;
/// Sets of keys of a host, one for each process.
const KEY_SETS: u64 = 8;

/// A set of keys of this host, taken by one process.
#[derive(Debug)]
pub(crate) struct BindingKeys {
    host: HostName,
    set: u64,
    turn: u64,
}

impl BindingKeys {
    /// Takes the set of the host that was written last the longest time ago, so that the records of the processes
    /// before stay.
    pub(crate) async fn take(
        client: &StoreClient,
        host: &HostName,
    ) -> Result<BindingKeys, StoreError> {
        let mut written: [Option<LogOffset>; KEY_SETS as usize] = Default::default();
        let mut listing = TopicListing::new(LogTopic::Streams);
        loop {
            let page = listing.next_page(client).await?;
            for listed in &page.records {
                let set = set_of(&listed.record.key, host);
                if let Some(last) = set.and_then(|set| written.get_mut(set)) {
                    *last = (*last).max(Some(listed.offset));
                }
            }
            if page.state != ListingState::Continues {
                break;
            }
        }
        let oldest = written.iter().enumerate().min_by_key(|(_, last)| **last);
        let set = oldest.map_or(0, |(set, _)| set as u64);
        Ok(BindingKeys { host: host.clone(), set, turn: 0 })
    }

    /// The key of the next write.
    pub(crate) fn next_key(&mut self) -> String {
        let key = format!("{}/{}/{}", self.host, self.set, self.turn % KEYS_PER_PROCESS);
        self.turn += 1;
        key
    }
}

/// The set that a key of the host belongs to.
fn set_of(key: &str, host: &HostName) -> Option<usize> {
    let rest = key.strip_prefix(host.as_str())?.strip_prefix('/')?;
    rest.split('/').next()?.parse().ok()
}
