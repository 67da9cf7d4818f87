//! Streams from a backend server to a caller: order, resumption, cancellation.
//!
//! Nothing here does I/O. [`ExpectedReply`] judges an answer's headers, [`AttemptStream`] carries
//! its body, [`plan_resume`] decides after a break, [`CallerBuffer`] bounds a slow caller, and
//! [`StreamTranscript`] judges what a caller got.

mod attempt_stream;
mod caller_buffer;
mod chunk_content;
mod chunk_head;
mod chunk_writer;
mod error_body;
mod event_reader;
mod reply_identity;
mod resume_plan;
mod resume_token;
mod stream_fault;
mod stream_guard;
mod stream_place;
mod stream_rest;
mod stream_transcript;
mod token_binding;
mod token_claims;
mod token_secrets;

pub use attempt_stream::AttemptStream;
pub use caller_buffer::BufferLimits;
pub use caller_buffer::BufferStep;
pub use caller_buffer::CallerBuffer;
pub use chunk_writer::ChunkWriter;
pub use error_body::error_body;
pub use error_body::error_body_saying;
pub use error_body::error_event;
pub use error_body::error_event_saying;
pub use event_reader::EventReader;
pub use event_reader::StreamEvent;
pub use reply_identity::ExpectedReply;
pub use reply_identity::ExpectedWeights;
pub use reply_identity::IdentityFault;
pub use reply_identity::ReplyIdentity;
pub use reply_identity::ReplyNews;
pub use resume_plan::BreakCause;
pub use resume_plan::DeliveredPart;
pub use resume_plan::EndReason;
pub use resume_plan::EqualServers;
pub use resume_plan::ResumeStep;
pub use resume_plan::SameServer;
pub use resume_plan::StreamBreak;
pub use resume_plan::plan_resume;
pub use resume_token::ResumeToken;
pub use resume_token::TokenMinter;
pub use resume_token::TokenRefusal;
pub use stream_fault::StreamFault;
pub use stream_guard::PassedEvent;
pub use stream_guard::StreamGuard;
pub use stream_guard::StreamState;
pub use stream_place::MAX_INDEX;
pub use stream_place::StreamPlace;
pub use stream_rest::StreamRest;
pub use stream_rest::UsageChunk;
pub use stream_transcript::StreamFlaw;
pub use stream_transcript::StreamTranscript;
pub use stream_transcript::StreamVerdict;
pub use token_binding::TokenBinding;
pub use token_secrets::MIN_SECRET_BYTES;
pub use token_secrets::SecretFault;
pub use token_secrets::TokenSecrets;
