//! Request to a gate.

use fulmargate_names::TeamName;

use crate::RequestClass;

/// A request to the gate of the backend server selected for it.
#[derive(Clone, Debug)]
pub struct GateRequest {
    /// The calling team.
    pub team: TeamName,
    /// Class and deadline.
    pub class: RequestClass,
    /// Estimated prompt tokens to compute, without cached ones; 0 for a service without prompts.
    pub prefill_tokens: u32,
}
