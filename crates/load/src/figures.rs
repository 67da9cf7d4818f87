//! Figures of a run, and the bound beside them.

mod cache_bound;
mod cache_judge;
mod effect_judge;
mod latency_figures;
mod prompt_touch;
mod run_report;

pub use cache_bound::BoundFigures;
pub use cache_bound::EvictionRule;
pub use cache_bound::replay_bound;
pub use cache_judge::CacheJudge;
pub use effect_judge::judge_effects;
pub use latency_figures::LatencyFigures;
pub use prompt_touch::PromptTouch;
pub use prompt_touch::SegmentUse;
pub use run_report::ReportScope;
pub use run_report::RunReport;
