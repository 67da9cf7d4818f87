//! Request placement: selects the backend server for each prompt from prefix hashes, cache hints
//! and estimated cost.
//!
//! The crate does no I/O and reads no clock; callers pass monotonic milliseconds.
//! [`Placer::choose`] selects a server, [`Placer::begin`] and [`Placer::first_token`] report the
//! outcome back. [`Planner`] runs on the control thread of a router and assigns hot prefix groups
//! to servers. See `docs/design/placement.md` for the design.

mod baseline;
mod cache_events;
mod choice;
mod choice_reason;
mod chooser;
mod class_weights;
mod decaying_value;
mod demand_sketch;
mod detour_budget;
mod estimate;
mod fleet_view;
mod hash_ring;
mod hint_table;
mod meter_registry;
mod mix;
mod moving_average;
mod open_request;
mod placement_conf;
mod placer;
mod plan_draft;
mod planner;
mod policy_kind;
mod preference_list;
mod prompt_chain;
mod prompt_scope;
mod server_list;
mod server_meter;
mod spread_plan;
mod warm_set;

pub use cache_events::CacheEvent;
pub use cache_events::CacheEventKind;
pub use cache_events::CacheEvents;
pub use cache_events::EventPage;
pub use cache_events::NewEvents;
pub use cache_events::StreamContinuity;
pub use choice::Choice;
pub use choice::KvSource;
pub use choice::PlacementRequest;
pub use choice_reason::ChoiceReason;
pub use choice_reason::ReasonCounts;
pub use class_weights::ClassWeights;
pub use demand_sketch::PrefixDemand;
pub use fleet_view::FleetServer;
pub use fleet_view::FleetView;
pub use meter_registry::MeterRegistry;
pub use open_request::OpenRequest;
pub use open_request::ReplySource;
pub use placement_conf::ImportConf;
pub use placement_conf::PlacementConf;
pub use placement_conf::StoreUse;
pub use placer::DemandReport;
pub use placer::Placer;
pub use planner::Planner;
pub use policy_kind::PolicyError;
pub use policy_kind::PolicyKind;
pub use prompt_chain::ANCHOR_LEVELS;
pub use prompt_chain::ChainBuilder;
pub use prompt_chain::MAX_LEVELS;
pub use prompt_chain::PrefixLevel;
pub use prompt_chain::PromptChain;
pub use prompt_scope::PromptScope;
pub use server_meter::ReplyStats;
pub use server_meter::ServerId;
pub use server_meter::ServerMeter;
pub use server_meter::ServerStanding;
pub use spread_plan::PrefixSpread;
pub use spread_plan::ServerShare;
pub use spread_plan::SpreadPlan;
