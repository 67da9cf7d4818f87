//! The daemon as a process before stand-ins of the platform.

mod configuration;
mod fleet_topic;
mod handing_on;
mod quotas;
mod reach;
mod relays;
mod requests;
mod restores;
mod stops;
mod store_way;
mod streams;
mod support;
mod waiting;
mod weights;
