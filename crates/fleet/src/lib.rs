//! Leases, fencing numbers and orders to model engines.
//!
//! No I/O: the fold over a zone's stream of leases, a candidate's own side of it, and the plan of
//! orders take records, reports and `now`, and return decisions.

mod engine_order;
mod lease_fold;
mod lease_record;
mod lease_state;
mod order_plan;
mod server_report;
mod wanted_server;

pub use engine_order::EngineOrder;
pub use engine_order::OrderWish;
pub use lease_fold::HeldLease;
pub use lease_fold::LONGEST_TTL_MS;
pub use lease_fold::LeaseChange;
pub use lease_fold::LeaseFold;
pub use lease_record::LeaseHolder;
pub use lease_record::LeaseRecord;
pub use lease_state::LeasePace;
pub use lease_state::LeaseState;
pub use lease_state::OwnLease;
pub use order_plan::OrderPace;
pub use order_plan::OrderPlan;
pub use order_plan::SeenServer;
pub use server_report::ServerReport;
pub use wanted_server::WantedModel;
pub use wanted_server::WantedServer;
