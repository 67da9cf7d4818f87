//! Protocol state of one host.

pub(crate) mod digest_buckets;
pub(crate) mod gossip_queue;
pub(crate) mod item_table;
pub(crate) mod member_table;
pub(crate) mod neighbor_set;
pub(crate) mod paced_queue;
pub(crate) mod probe_tracker;
pub(crate) mod token_bucket;
