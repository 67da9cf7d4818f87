//! How a command ends.

use serde::Serialize;

/// How a command ends, as its exit code tells. The list is closed: scripts may rely on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitKind {
    /// Done.
    Done = 0,
    /// Arguments or files could not be read; nothing was asked of a router.
    Usage = 1,
    /// The patch names a version that is not current.
    Stale = 2,
    /// The document or the patch is not valid.
    Invalid = 3,
    /// The patch may have been accepted, or may yet be.
    Unknown = 4,
    /// The router or the log is out of reach, or the router is not ready; nothing was changed.
    Unreachable = 5,
    /// The operators' key was refused.
    Unauthorized = 6,
    /// Any other refusal or answer.
    Refused = 7,
}

impl ExitKind {
    /// The process's exit code.
    pub fn code(self) -> u8 {
        self as u8
    }
}

/// What a command prints, and how it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandEnd {
    /// For standard output.
    pub output: String,
    /// For standard error.
    pub message: String,
    /// How it ends.
    pub exit: ExitKind,
}

impl CommandEnd {
    /// Done, with this to print.
    pub(crate) fn done(output: String) -> CommandEnd {
        CommandEnd { output, message: String::new(), exit: ExitKind::Done }
    }
}

/// In which form a command prints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputForm {
    /// Tables and sentences for a person.
    Human,
    /// One JSON value for a program.
    Json,
}

impl OutputForm {
    /// The answer as JSON, or as `human` writes it.
    pub(crate) fn render<T: Serialize>(
        self,
        answer: &T,
        human: impl FnOnce(&T) -> String,
    ) -> String {
        match self {
            OutputForm::Human => human(answer),
            OutputForm::Json => to_json(answer),
        }
    }
}

/// A value as readable JSON.
pub(crate) fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).expect("answers have string keys only")
}
