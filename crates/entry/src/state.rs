//! State shared by the control and traffic threads.

mod boot_clock;
mod connect_outcome;
mod engine_weights;
mod held_memory;
mod loading_registry;
mod route_durations;
mod shared_state;
mod status;

pub(crate) use boot_clock::boot_now;
pub(crate) use connect_outcome::record_connect_outcome;
pub(crate) use engine_weights::lowest_weights;
pub(crate) use held_memory::HeldBytes;
pub(crate) use held_memory::HeldMemory;
pub(crate) use held_memory::MemoryHolder;
pub(crate) use held_memory::MemoryShortage;
pub(crate) use loading_registry::LoadingRegistry;
pub(crate) use route_durations::RouteDurations;
pub(crate) use shared_state::FleetView;
pub(crate) use shared_state::ServerListEnd;
pub(crate) use shared_state::SharedState;
pub(crate) use status::entry_status;
