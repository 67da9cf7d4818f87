//! One call of a plan.

use std::time::Duration;

use fulmargate_stand::deployment::TeamClass;
use uuid::Builder;
use uuid::Uuid;

/// Which nested prefix a prompt begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixKey {
    /// Index of the team in the deployment; the team is the tenant.
    pub team: u16,
    /// Service of the tenant.
    pub service: u16,
    /// Record of the service.
    pub record: u16,
}

/// A prompt for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptCall {
    /// The shared beginning.
    pub prefix: PrefixKey,
    /// Bound on the answer's tokens.
    pub max_tokens: usize,
}

/// A call of the plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceUse {
    /// Index of the team in the deployment.
    pub team: u16,
    /// Index of the call in the deployment's list of calls.
    pub call: u16,
    /// Random bits of the idempotency key.
    key_bits: [u8; 10],
    /// After how long the caller sends the same key again at another router, if it does.
    pub sent_again_after: Option<Duration>,
}

impl ServiceUse {
    pub(super) fn new(team: u16, call: u16, key_bits: [u8; 10]) -> ServiceUse {
        ServiceUse { team, call, key_bits, sent_again_after: None }
    }

    /// The idempotency key: a UUIDv7, which carries the time of the call, so that the ledger can
    /// tell a key that is older than its memory.
    pub fn idempotency_key(&self, unix_ms: u64) -> Uuid {
        Builder::from_unix_timestamp_millis(unix_ms, &self.key_bits).into_uuid()
    }
}

/// What is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A model.
    Prompt(PromptCall),
    /// The plain service.
    Service(ServiceUse),
}

/// One call with the time at which it is sent, whatever became of the earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    /// Number within the plan, from 0.
    pub number: u32,
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// Class of its team.
    pub class: TeamClass,
    /// What is called.
    pub kind: CallKind,
}

impl PlannedCall {
    /// Index of the team that calls.
    pub fn team(&self) -> usize {
        match &self.kind {
            CallKind::Prompt(prompt) => usize::from(prompt.prefix.team),
            CallKind::Service(service) => usize::from(service.team),
        }
    }
}
