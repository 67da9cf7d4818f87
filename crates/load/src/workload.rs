//! What callers send, as a pure function of a plan and its seed.

mod planned_call;
mod prompt_library;
mod workload_plan;

pub use planned_call::CallKind;
pub use planned_call::PlannedCall;
pub use planned_call::PrefixKey;
pub use planned_call::PromptCall;
pub use planned_call::ServiceUse;
pub use prompt_library::PromptLibrary;
pub use workload_plan::LevelSizes;
pub use workload_plan::WorkloadPlan;
