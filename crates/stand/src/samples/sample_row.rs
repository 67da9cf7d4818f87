//! What came back of a sample.

use comfy_table::Table;
use comfy_table::presets::ASCII_FULL_CONDENSED;

use super::sample_answer::SampleAnswer;

/// What came back of a sample.
#[derive(Debug)]
pub struct SampleRow {
    /// What was asked.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// What the answer says of whether the request ran.
    pub disposition: String,
    /// The backend server, or the error's code.
    pub detail: String,
    /// What is wrong with it.
    pub fault: Option<String>,
}

impl SampleRow {
    pub(super) fn new(
        name: &'static str,
        answer: Result<SampleAnswer, String>,
        check: impl FnOnce(&SampleAnswer) -> Result<(), String>,
    ) -> SampleRow {
        match answer {
            Err(fault) => SampleRow {
                name,
                status: 0,
                disposition: String::new(),
                detail: String::new(),
                fault: Some(fault),
            },
            Ok(answer) => SampleRow {
                name,
                status: answer.status,
                disposition: answer.disposition.clone(),
                detail: format!("{}{}", answer.server, answer.error),
                fault: answer.check_identity().and_then(|()| check(&answer)).err(),
            },
        }
    }
}

/// The rows for people.
pub fn sample_table(rows: &[SampleRow]) -> String {
    let mut table = Table::new();
    table.load_preset(ASCII_FULL_CONDENSED);
    table.set_header(["request", "status", "disposition", "server or error", "verdict"]);
    for row in rows {
        let verdict = row.fault.clone().unwrap_or_else(|| "as it must be".to_owned());
        let status = row.status.to_string();
        table.add_row([row.name, &status, &row.disposition, &row.detail, &verdict]);
    }
    table.to_string()
}
