//! How the keeper reads and writes the stream.

use std::time::Duration;

/// Who reads the log. Few hosts read, and hand on: 740 readers would each cost the log a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// Reads the log as it grows, and writes snapshots.
    Direct {
        /// Readers differ in it: rank 0 writes snapshots first, the others only if it does not.
        rank: u32,
    },
    /// Gets records from peers, and reads the log only when they fail it.
    Follower,
}

/// Times and sizes of the keeper.
#[derive(Clone, Copy, Debug)]
pub struct KeeperSettings {
    /// How long the log keeps a record. Snapshots are written at half of it.
    pub retention: Duration,
    /// Patches after which a snapshot is written earlier.
    pub snapshot_patches: u64,
    /// Between the ranks that write a snapshot, and between tries.
    pub snapshot_stagger: Duration,
    /// How long a read asks the log to wait for news.
    pub read_wait: Duration,
    /// Records in one read.
    pub page_records: usize,
    /// A follower that has received nothing from peers for this long reads the log.
    pub quiet_limit: Duration,
    /// A follower reads the log when a peer is ahead and its records have not come for so long.
    pub offer_limit: Duration,
    /// A direct reader that has just started leaves the log so long to be read to its end; after
    /// that it takes what peers have as enough.
    pub first_read_limit: Duration,
    /// A follower that has just started leaves its peers so long to tell their versions, before it
    /// takes what one of them has as enough.
    pub first_hear_limit: Duration,
    /// The pause after a first failed call; later pauses double.
    pub shortest_pause: Duration,
    /// No pause is longer.
    pub longest_pause: Duration,
}

impl Default for KeeperSettings {
    fn default() -> KeeperSettings {
        KeeperSettings {
            retention: Duration::from_secs(24 * 3600),
            snapshot_patches: 1_000,
            snapshot_stagger: Duration::from_secs(5),
            read_wait: Duration::from_secs(5),
            page_records: 1_000,
            quiet_limit: Duration::from_secs(3),
            offer_limit: Duration::from_millis(500),
            first_read_limit: Duration::from_millis(300),
            first_hear_limit: Duration::from_millis(150),
            shortest_pause: Duration::from_millis(20),
            longest_pause: Duration::from_secs(1),
        }
    }
}
