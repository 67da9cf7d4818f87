//! The operators' configuration document: types, checks, patch fold, snapshots.

mod class_entry;
mod class_rule;
mod config_document;
mod config_error;
mod document_check;
mod document_section;
mod key_hash;
mod model_entry;
mod path_pattern;
mod policy_kind;
mod server_entry;
mod service_entry;
mod team_entry;

pub use class_entry::BATCH_CLASS;
pub use class_entry::ClassEntry;
pub use class_entry::URGENT_CLASS;
pub use class_rule::ClassRule;
pub use config_document::ConfigDocument;
pub use config_error::ConfigError;
pub use key_hash::KeyHash;
pub use model_entry::ModelEntry;
pub use path_pattern::PathPattern;
pub use policy_kind::PolicyKind;
pub use server_entry::ServerEntry;
pub use server_entry::ServerKind;
pub use server_entry::ServerState;
pub use service_entry::CallRule;
pub use service_entry::ServiceEntry;
pub use team_entry::TeamEntry;
