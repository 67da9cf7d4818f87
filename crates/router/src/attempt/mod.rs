//! Attempts at backend servers.

mod attempt_failure;
mod attempt_hold;
mod engine_attempt;
mod engine_call;
mod engine_placing;
mod engine_runner;
mod open_attempt;
mod service_attempt;
mod service_call;
mod service_runner;
mod stream_body;
mod stream_pump;
mod whole_answer;

pub(crate) use attempt_failure::AttemptFailure;
pub(crate) use attempt_hold::AttemptHold;
pub(crate) use engine_call::EngineCall;
pub(crate) use engine_placing::PlacedAttempt;
pub(crate) use engine_runner::EngineRunner;
pub(crate) use open_attempt::OpenAttempt;
pub(crate) use open_attempt::ServerBody;
pub(crate) use service_attempt::ServiceAnswer;
pub(crate) use service_attempt::is_passed_on;
pub(crate) use service_call::ServiceCall;
pub(crate) use service_runner::ServiceRunner;
pub(crate) use stream_pump::start_stream;
pub(crate) use whole_answer::read_whole;
