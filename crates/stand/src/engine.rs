//! The model engine's stand-in.

mod answer_writer;
mod completion;
mod engine_core;
mod engine_desk;
mod engine_job;
mod engine_orders;
mod engine_routes;
mod engine_settings;
mod event_feed;
mod kv_import;
#[cfg(test)]
mod tests;

pub use engine_routes::engine_server;
pub use engine_settings::EngineSettings;
