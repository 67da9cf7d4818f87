//! Why a command fails.

use derive_more::Display;
use derive_more::Error;
use fulmargate_config::ConfigError;
use fulmargate_config::RefusalAnswer;
use fulmargate_config::RefusalEntry;
use fulmargate_names::Disposition;
use fulmargate_names::ErrorKind;
use serde_json::Value;
use serde_json::json;

use crate::CommandEnd;
use crate::ExitKind;
use crate::command_end::OutputForm;
use crate::command_end::to_json;

/// Why a command fails.
#[derive(Debug, Display, Error)]
pub enum CtlError {
    /// A file could not be read, or is no JSON.
    #[display("{file}: {reason}")]
    File {
        /// The file, or `standard input`.
        file: String,
        /// Why.
        reason: String,
    },
    /// No operators' key was given.
    #[display("no key: set FULMARGATE_KEY or give --key")]
    KeyMissing,
    /// A document or a patch was found invalid here.
    #[display("{_0}")]
    Invalid(#[error(not(source))] ConfigError),
    /// No answer came.
    #[display("no answer from the router at {router}: {reason}")]
    NoAnswer {
        /// The router's address.
        router: String,
        /// Why.
        reason: String,
        /// Whether the request may have reached it.
        was_sent: bool,
    },
    /// The router refused.
    #[display("{}", answer.error.message)]
    Refused {
        /// HTTP status.
        status: u16,
        /// Its words.
        answer: Box<RefusalAnswer>,
        /// What became of the request.
        disposition: Disposition,
    },
    /// An answer that cannot be read.
    #[display("the router's answer (status {status}) cannot be read: {reason}")]
    Unreadable {
        /// HTTP status.
        status: u16,
        /// Why.
        reason: String,
    },
    /// A daemon knows no crash of this request or part.
    #[display("{key}: {reason}")]
    NotSuspected {
        /// The key that was given.
        key: String,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// A change that may have been made although no clear answer came.
    #[display("{_0}; it may have been done all the same")]
    InDoubt(#[error(not(source))] Box<CtlError>),
    /// The history names the patch as refused.
    #[display("{}", entry.reason)]
    PatchRefused {
        /// What it says of it.
        entry: Box<RefusalEntry>,
    },
    /// What became of a patch could not be found out.
    #[display("patch {id} may have been accepted; look for it in `config history`")]
    PatchUnknown {
        /// The patch's id.
        id: String,
    },
}

impl CtlError {
    /// How the command ends.
    pub fn exit(&self) -> ExitKind {
        match self {
            CtlError::File { .. } | CtlError::KeyMissing => ExitKind::Usage,
            CtlError::Invalid(_) => ExitKind::Invalid,
            CtlError::NoAnswer { .. } => ExitKind::Unreachable,
            CtlError::InDoubt(_) | CtlError::PatchUnknown { .. } => ExitKind::Unknown,
            CtlError::Unreadable { .. } | CtlError::NotSuspected { .. } => ExitKind::Refused,
            CtlError::PatchRefused { entry } if entry.base != entry.current => ExitKind::Stale,
            CtlError::PatchRefused { .. } => ExitKind::Invalid,
            CtlError::Refused { answer, .. } => exit_of_code(&answer.error.code),
        }
    }

    /// Whether the request may have had its effect all the same.
    pub(crate) fn leaves_doubt(&self) -> bool {
        match self {
            CtlError::NoAnswer { was_sent, .. } => *was_sent,
            CtlError::Refused { disposition, .. } => *disposition == Disposition::Unknown,
            CtlError::Unreadable { .. } => true,
            _ => false,
        }
    }

    /// The error of a command that changes something.
    pub(crate) fn of_change(self) -> CtlError {
        match self.leaves_doubt() {
            true => CtlError::InDoubt(Box::new(self)),
            false => self,
        }
    }

    /// What is printed.
    pub(crate) fn into_end(self, form: OutputForm) -> CommandEnd {
        let output = match form {
            OutputForm::Human => String::new(),
            OutputForm::Json => to_json(&self.to_value()),
        };
        CommandEnd { output, message: self.human_text(), exit: self.exit() }
    }

    fn human_text(&self) -> String {
        match self {
            CtlError::Refused { answer, .. } => match (&answer.fault, answer.current) {
                (Some(fault), _) => format!("{self}\n{}", fault_text(fault)),
                (None, Some(current)) => format!("{self}\ncurrent version: {current}"),
                (None, None) => self.to_string(),
            },
            CtlError::PatchRefused { entry } => {
                format!("{self}\ncurrent version: {}", entry.current)
            }
            CtlError::Invalid(fault) => format!("not valid\n{}", fault_text(fault)),
            _ => self.to_string(),
        }
    }

    fn to_value(&self) -> Value {
        match self {
            CtlError::Refused { answer, .. } => json!(answer),
            CtlError::Invalid(fault) => json!({
                "error": { "message": self.to_string(), "code": code(ErrorKind::InvalidPatch) },
                "fault": fault,
            }),
            _ => json!({ "error": { "message": self.to_string() } }),
        }
    }
}

/// A fault on lines of its own.
fn fault_text(fault: &ConfigError) -> String {
    let place = if fault.path.is_empty() { "the whole document" } else { &fault.path };
    format!("  at:      {place}\n  found:   {}\n  allowed: {}", fault.value, fault.allowed)
}

fn code(kind: ErrorKind) -> &'static str {
    kind.row().code
}

fn exit_of_code(found: &str) -> ExitKind {
    let row = ErrorKind::rows().iter().find(|row| row.code == found);
    match row.map(|row| row.kind) {
        Some(ErrorKind::StaleVersion) => ExitKind::Stale,
        Some(ErrorKind::InvalidPatch) => ExitKind::Invalid,
        Some(ErrorKind::Unauthorized) => ExitKind::Unauthorized,
        Some(ErrorKind::LedgerOut | ErrorKind::NotReady | ErrorKind::Stopping) => {
            ExitKind::Unreachable
        }
        _ => ExitKind::Refused,
    }
}
