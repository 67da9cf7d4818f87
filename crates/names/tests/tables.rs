//! The tables agree with the lists.

use fulmargate_names::ErrorKind;
use fulmargate_names::EventKind;

#[test]
fn each_error_kind_stands_at_its_own_row() {
    for row in ErrorKind::rows() {
        assert_eq!(row.kind.row().kind, row.kind, "{}", row.code);
    }
    assert_eq!(ErrorKind::rows().last().map(|row| row.kind), Some(ErrorKind::Internal));
}

#[test]
fn error_codes_are_distinct() {
    let mut codes: Vec<&str> = ErrorKind::rows().iter().map(|row| row.code).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), ErrorKind::rows().len());
}

#[test]
fn event_numbers_rise() {
    let numbers: Vec<u16> = EventKind::rows().iter().map(|row| row.kind.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b));
}
