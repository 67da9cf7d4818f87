//! What a gate is asked.

use fulmargate_names::TeamName;

use crate::RequestClass;

/// A request before the gate of the backend server that was chosen for it.
#[derive(Clone, Debug)]
pub struct GateRequest {
    /// Who calls.
    pub team: TeamName,
    /// Its class and deadline.
    pub class: RequestClass,
    /// Prompt tokens that the server will probably have to compute; 0 for a plain service.
    pub prefill_tokens: u32,
}
