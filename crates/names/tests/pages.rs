//! The pages that list errors and events agree with the tables.

use fulmargate_names::ErrorKind;
use fulmargate_names::EventKind;

const ERRORS_PAGE: &str = include_str!("../../../docs/ERRORS.md");
const EVENTS_PAGE: &str = include_str!("../../../docs/EVENTS.md");

fn table_rows(page: &str) -> Vec<Vec<&str>> {
    page.lines()
        .filter(|line| line.starts_with("| "))
        .skip(1)
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect())
        .collect()
}

#[test]
fn the_page_of_errors_is_the_table() {
    let rows = table_rows(ERRORS_PAGE);
    assert_eq!(rows.len(), ErrorKind::rows().len());
    for (cells, row) in rows.iter().zip(ErrorKind::rows()) {
        assert_eq!(cells[0], format!("`{}`", row.code));
        assert_eq!(cells[1], row.status.to_string(), "{}", row.code);
        assert_eq!(cells[2], row.disposition.as_str(), "{}", row.code);
        assert_eq!(cells[4], row.meaning, "{}", row.code);
    }
}

#[test]
fn the_page_of_events_is_the_catalogue() {
    let rows = table_rows(EVENTS_PAGE);
    assert_eq!(rows.len(), EventKind::rows().len());
    for (cells, row) in rows.iter().zip(EventKind::rows()) {
        assert_eq!(cells[0], row.kind.number().to_string());
        assert_eq!(cells[1], format!("`{}`", row.name));
        assert!(!cells[2].is_empty(), "{} says what happened", row.name);
    }
}
