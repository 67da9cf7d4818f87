//! Share of a server's limits used by one request.

use fulmargate_names::TeamName;

/// Share of a server's limits used by one in-flight request.
#[derive(Clone, Debug)]
pub(crate) struct GateSlot {
    /// Epoch of the gate in which the request was admitted; see `GateState::restart`.
    pub(crate) epoch: u64,
    /// The calling team.
    pub(crate) team: TeamName,
    /// Priority of the request.
    pub(crate) priority: u8,
    /// Prompt tokens that wait for prefill; 0 from the first token on.
    pub(crate) prefill_tokens: u32,
}
