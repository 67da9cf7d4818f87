//! Orders to the model engines of this zone, given by whoever holds the zone's lease.

mod lease_task;
mod order_call;
mod order_scheduler;

pub(crate) use order_scheduler::OrderScheduler;
