//! Sending calls and checking what comes back.

mod answer_check;
mod answer_head;
mod call_client;
mod call_record;
mod caller;
mod sse_reader;
mod token_clock;
mod token_source;

pub use answer_check::AnswerCheck;
pub use answer_check::ExpectedAnswer;
pub use call_record::AnswerFault;
pub use call_record::CallRecord;
pub use call_record::KeyHistory;
pub use call_record::KeySend;
pub use call_record::Verdict;
pub use caller::CallTarget;
pub use caller::Caller;
pub use sse_reader::SseEvent;
pub use sse_reader::SseReader;
