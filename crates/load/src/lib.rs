//! Reproducible load, checks of every answer, and comparisons of policies under load and faults.

mod calls;
mod figures;
mod runs;
mod workload;

pub use calls::AnswerCheck;
pub use calls::AnswerFault;
pub use calls::CallRecord;
pub use calls::CallTarget;
pub use calls::Caller;
pub use calls::ExpectedAnswer;
pub use calls::KeyHistory;
pub use calls::KeySend;
pub use calls::SseEvent;
pub use calls::SseReader;
pub use calls::Verdict;
pub use figures::BoundFigures;
pub use figures::CacheJudge;
pub use figures::EvictionRule;
pub use figures::LatencyFigures;
pub use figures::PromptTouch;
pub use figures::ReportScope;
pub use figures::RunReport;
pub use figures::SegmentUse;
pub use figures::replay_bound;
pub use runs::LoadRun;
pub use runs::RunLimits;
pub use workload::CallKind;
pub use workload::LevelSizes;
pub use workload::PlannedCall;
pub use workload::PrefixKey;
pub use workload::PromptCall;
pub use workload::PromptLibrary;
pub use workload::ServiceUse;
pub use workload::WorkloadPlan;
