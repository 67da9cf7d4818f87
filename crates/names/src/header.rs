//! Header names on the wire; `docs/PROTOCOLS.md` gives shapes and units.

/// The request's id; towards a backend server, the attempt's id, which the server must echo.
pub const REQUEST_ID: &str = "x-request-id";
/// The backend server that answered.
pub const SERVER: &str = "x-fulmargate-server";
/// `not-run`, `ran` or `unknown`.
pub const DISPOSITION: &str = "x-fulmargate-disposition";
/// The error kind's code, on error answers.
pub const ERROR: &str = "x-fulmargate-error";
/// The incarnation of the backend server's process.
pub const INCARNATION: &str = "x-incarnation";
/// Weights version that the router expects (request) or the engine used (answer).
pub const WEIGHTS_VERSION: &str = "x-weights-version";
/// What cached blocks belong to: `team/model/adapter`; the engine adds its weights version.
pub const CACHE_SCOPE: &str = "x-cache-scope";
/// 0 is the most urgent.
pub const PRIORITY: &str = "x-priority";
/// Index of the first token wanted, when a stream is resumed.
pub const RESUME_FROM: &str = "x-resume-from";
/// Prompt length in tokens.
pub const PROMPT_TOKENS: &str = "x-prompt-tokens";
/// How many of the prompt's tokens the engine had cached.
pub const CACHED_TOKENS: &str = "x-cached-tokens";
/// Prompt tokens that wait for prefill at the engine, this request's excluded.
pub const QUEUE_TOKENS: &str = "x-queue-tokens";
/// Requests that the engine has admitted and not ended.
pub const RUNNING: &str = "x-running";
/// `true` on a backend server's refusal that ran nothing.
pub const NOT_RUN: &str = "x-not-run";
/// `true` once the backend server is leaving.
pub const LEAVING: &str = "x-leaving";
/// Name of the server that may export the prompt's cached blocks.
pub const KV_SOURCE: &str = "x-kv-source";
/// The caller's key of a call that may not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Milliseconds that the caller is willing to wait for the first token, from arrival.
pub const DEADLINE_MS: &str = "x-deadline-ms";
