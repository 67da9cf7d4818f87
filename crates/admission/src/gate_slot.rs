//! What one request under way occupies.

use fulmargate_names::TeamName;

/// What one request under way occupies at a server.
#[derive(Clone, Debug)]
pub(crate) struct GateSlot {
    /// The server's start under which it was admitted.
    pub(crate) epoch: u64,
    /// Who calls.
    pub(crate) team: TeamName,
    /// Its priority.
    pub(crate) priority: u8,
    /// Prompt tokens that wait for prefill on its behalf; 0 from the first token on.
    pub(crate) prefill_tokens: u32,
}
