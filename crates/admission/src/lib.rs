//! Which request runs when: classes, team limits, queues, server health, retry budget, suspects.
//!
//! Nothing here does I/O. All types are shared by the traffic threads of one router; each holds
//! its locks for one short step.

mod adaptive_limit;
mod class_conf;
mod class_queue;
mod class_rule;
mod class_table;
mod drain_rate;
mod engine_report;
mod gate_conf;
mod gate_figures;
mod gate_load;
mod gate_outcome;
mod gate_queue;
mod gate_request;
mod gate_slot;
mod gate_state;
mod gate_ticket;
mod gate_waiter;
mod lock;
mod queue_entry;
mod request_class;
mod retry_budget;
mod server_gate;
mod team_queue;
mod token_bucket;

pub use class_conf::ClassConf;
pub use class_rule::ClassRule;
pub use class_table::ClassTable;
pub use class_table::UnknownClass;
pub use engine_report::EngineReport;
pub use gate_conf::GateConf;
pub use gate_figures::GateFigures;
pub use gate_outcome::GateEntry;
pub use gate_outcome::GateOutcome;
pub use gate_outcome::GateRefusal;
pub use gate_outcome::MoveReason;
pub use gate_request::GateRequest;
pub use gate_ticket::GateTicket;
pub use gate_waiter::GateWaiter;
pub use request_class::RequestClass;
pub use retry_budget::RetryBudget;
pub use retry_budget::RetryConf;
pub use retry_budget::RetryGrant;
pub use server_gate::ServerGate;
