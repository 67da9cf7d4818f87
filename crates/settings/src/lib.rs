//! A process's own JSON settings, checked on load.
//!
//! Unknown keys are refused. An error names the file, the key, and what is allowed.

mod entry_settings;
mod load;
mod router_settings;
mod settings_error;

pub use entry_settings::EntryBounds;
pub use entry_settings::EntrySettings;
pub use load::load;
pub use load::parse;
pub use router_settings::CallerSettings;
pub use router_settings::LogFormat;
pub use router_settings::OperatorSettings;
pub use router_settings::PeerSettings;
pub use router_settings::PlatformSettings;
pub use router_settings::RouterSettings;
pub use settings_error::SettingsError;
