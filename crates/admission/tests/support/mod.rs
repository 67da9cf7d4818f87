//! Fixtures shared by this crate's tests.
#![allow(dead_code, reason = "each test binary uses only some of the fixtures")]

pub(crate) mod crash_simulation;
pub(crate) mod limit_queue_simulation;
pub(crate) mod limit_simulation;
pub(crate) mod quota_simulation;
pub(crate) mod server_limit_simulation;

use std::sync::Arc;
use std::time::Duration;

use fulmargate_admission::ClassConf;
use fulmargate_admission::GateConf;
use fulmargate_admission::GateEntry;
use fulmargate_admission::GateOutcome;
use fulmargate_admission::GateRequest;
use fulmargate_admission::GateTicket;
use fulmargate_admission::GateWaiter;
use fulmargate_admission::RequestClass;
use fulmargate_admission::ServerGate;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use tokio::time::Instant;

pub(crate) const URGENT: u8 = 0;
pub(crate) const BATCH: u8 = 2;

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn class(priority: u8, deadline_ms: u64, queue_limit: usize) -> Arc<ClassConf> {
    let name = if priority == URGENT { "urgent" } else { "batch" };
    let deadline = ms(deadline_ms);
    Arc::new(ClassConf { name: Arc::from(name), priority, deadline, queue_limit })
}

pub(crate) fn request(team: &str, class: &Arc<ClassConf>, prefill_tokens: u32) -> GateRequest {
    let class = RequestClass::begin(class, Instant::now(), None);
    GateRequest { team: TeamName::new(team), class, prefill_tokens }
}

/// A gate with fixed limits.
pub(crate) fn fixed_gate(requests: u32, tokens: u32) -> Arc<ServerGate> {
    let conf = GateConf {
        initial_requests: requests,
        min_requests: requests,
        max_requests: requests,
        initial_tokens: tokens,
        min_tokens: tokens,
        max_tokens: tokens,
        non_urgent_share: 1.0,
        team_share: 1.0,
        ..GateConf::engine()
    };
    ServerGate::new(ServerName::new("engine-1"), conf)
}

pub(crate) fn admitted(entry: GateEntry) -> GateTicket {
    match entry {
        GateEntry::Decided(GateOutcome::Admitted(ticket)) => ticket,
        other => panic!("not admitted: {other:?}"),
    }
}

pub(crate) fn queued(entry: GateEntry) -> GateWaiter {
    match entry {
        GateEntry::Queued(waiter) => waiter,
        other => panic!("not queued: {other:?}"),
    }
}

/// Deterministic pseudorandom number generator.
pub(crate) struct TestRng(pub(crate) u64);

impl TestRng {
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        let product = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = product.wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % bound
    }
}
