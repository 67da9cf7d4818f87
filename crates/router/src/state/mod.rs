//! What traffic threads share with the control thread.

mod body_memory;
mod class_route;
mod model_route;
mod open_count;
mod route_table;
mod router_phase;
mod router_state;
mod server_route;

pub(crate) use body_memory::BodyMemory;
pub(crate) use body_memory::HeldBody;
pub(crate) use class_route::ClassRoute;
pub(crate) use model_route::ModelRoute;
pub(crate) use open_count::OpenCount;
pub(crate) use open_count::OpenGuard;
pub(crate) use route_table::RouteTable;
pub(crate) use router_phase::PhaseCell;
pub(crate) use router_phase::RouterPhase;
pub(crate) use router_state::RouterState;
pub(crate) use server_route::ServerRoute;
