//! What a fold makes of a record.

use derive_more::Display;
use fulmargate_names::ConfigVersion;
use fulmargate_names::LogOffset;

use crate::ConfigError;

/// What a fold makes of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum FoldEvent {
    /// A patch was judged.
    Judged {
        /// Where it stands.
        offset: LogOffset,
        /// Its id.
        id: String,
        /// The verdict, the same for every reader.
        verdict: PatchVerdict,
    },
    /// A snapshot was met.
    Snapshot {
        /// Where it stands.
        offset: LogOffset,
        /// The first offset that it does not cover.
        covers: LogOffset,
    },
    /// A record could not be read and was skipped, by every reader alike.
    Unreadable {
        /// Where it stands.
        offset: LogOffset,
    },
    /// A snapshot contradicts what the records before it say; it changed nothing.
    Contradiction {
        /// The first offset that it does not cover.
        covers: LogOffset,
    },
}

/// Whether a patch is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum PatchVerdict {
    /// It made this version.
    #[display("accepted as version {version}")]
    Accepted {
        /// The version it made.
        version: ConfigVersion,
    },
    /// Its base was not the version at its offset.
    #[display("not made against the current version {current}")]
    Stale {
        /// The version at its offset.
        current: ConfigVersion,
    },
    /// It cannot be applied, or its result is not a valid document.
    #[display("{error}")]
    Invalid {
        /// What is wrong.
        error: ConfigError,
    },
}
