//! The control thread: configuration, fleet state and gossip.

mod binding_keys;
mod binding_service;
mod binding_store;
mod cache_event_client;
mod cache_reader;
mod cache_reader_set;
mod cache_watcher;
mod connection_table;
mod control_thread;
mod epoch_tracker;
mod fleet_codec;
mod fleet_watcher;
mod fleet_writer;
mod gossip_receiver;
mod gossip_sender;
mod listing_log;
mod log_source;
mod operator_watcher;
mod order_scheduler;
mod order_task;
mod own_records;
mod pages;
mod peer_listener;
mod record_cache;
mod relay_forwarder;
mod relay_queue;
mod server_log;
mod server_watcher;
mod store_retry;
mod stored_weights;
mod topic_listing;
mod weights_asker;
mod weights_recorder;
mod weights_service;

pub(crate) use control_thread::ControlListeners;
pub(crate) use control_thread::ControlThread;
