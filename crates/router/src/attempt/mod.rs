//! Attempts at backend servers.

mod attempt_failure;
mod engine_attempt;
mod engine_call;
mod engine_runner;
mod open_attempt;
mod stream_body;
mod stream_pump;
mod whole_answer;

pub(crate) use attempt_failure::AttemptFailure;
pub(crate) use engine_call::EngineCall;
pub(crate) use engine_runner::EngineRunner;
pub(crate) use open_attempt::OpenAttempt;
pub(crate) use open_attempt::ServerBody;
pub(crate) use stream_pump::start_stream;
pub(crate) use whole_answer::read_whole;
