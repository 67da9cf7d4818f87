//! Runs the daemon's binary against simulated platform services.

mod brittle_servers;
mod configuration;
mod crash_fleet;
mod crash_suspects;
mod crashing_parts;
mod crashing_requests;
mod crowded_fleet;
mod crowded_host;
mod cut_fleet;
mod departures;
mod early_responses;
mod endless_responses;
mod fleet_topic;
mod foreign_entries;
mod forwarding_rules;
mod host_connectivity;
mod lease_releases;
mod process_lifecycle;
mod queued_prompts;
mod quotas;
mod record_forwarding;
mod relays;
mod requests;
mod response_ends;
mod server_limits;
mod software_versions;
mod store_proxy;
mod store_restore;
mod streams;
#[allow(dead_code, reason = "shared with the tests of clients")]
mod support;
mod unreached_servers;
mod weight_updates;
mod weights_ages;
mod weights_records;
