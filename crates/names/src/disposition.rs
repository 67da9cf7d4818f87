//! What became of a request.

use serde::Deserialize;
use serde::Serialize;

/// What became of a request, as every answer says in the header `x-fulmargate-disposition`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disposition {
    /// No backend server ran it, and none will on account of this request.
    NotRun,
    /// A backend server ran it.
    Ran,
    /// It may have run: a server may have had it when the connection broke.
    Unknown,
}

impl Disposition {
    /// The header's text.
    pub fn as_str(self) -> &'static str {
        match self {
            Disposition::NotRun => "not-run",
            Disposition::Ran => "ran",
            Disposition::Unknown => "unknown",
        }
    }

    /// Reads the header's text.
    pub fn parse(text: &str) -> Option<Disposition> {
        [Disposition::NotRun, Disposition::Ran, Disposition::Unknown]
            .into_iter()
            .find(|disposition| disposition.as_str() == text)
    }
}
