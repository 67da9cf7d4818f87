//! Tests of the rate that loads share.

use std::cell::Cell;

use super::RunningLoad;

#[test]
fn two_loads_run_at_full_rate_and_more_share_it() {
    let loads = Cell::new(0);
    let mut running = Vec::new();
    for rate in [1.0, 1.0, 2.0 / 3.0, 0.5] {
        running.push(RunningLoad::begin(&loads));
        assert_eq!(running[0].rate(), rate, "{} loads", running.len());
    }
    running.truncate(2);
    assert_eq!(running[0].rate(), 1.0, "ended loads slow nobody");
}
