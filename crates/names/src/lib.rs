//! Names, numbers and the closed lists of error kinds and events.
//!
//! Every other crate speaks in these types. Nothing here does I/O.

mod disposition;
mod error_kind;
mod event_kind;
mod header;
mod name;
mod number;

pub use disposition::Disposition;
pub use error_kind::ErrorKind;
pub use error_kind::ErrorRow;
pub use error_kind::RetryAdvice;
pub use event_kind::EventKind;
pub use event_kind::EventRow;
pub use header::*;
pub use name::AdapterName;
pub use name::ClassName;
pub use name::HostName;
pub use name::ModelName;
pub use name::RequestId;
pub use name::ServerName;
pub use name::ServiceName;
pub use name::SoftwareVersion;
pub use name::TeamName;
pub use name::ZoneName;
pub use number::ConfigVersion;
pub use number::FencingNumber;
pub use number::Incarnation;
pub use number::LogOffset;
pub use number::PromptHash;
pub use number::StoreEpoch;
pub use number::WeightsVersion;
