//! Tests of the faults under the paused clock.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::advance;

use super::FaultDesk;
use crate::FaultOrder;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct LossCase {
    share: f64,
    lost: [bool; 6],
}

#[test]
fn the_share_of_lost_answers_is_met_evenly() {
    let cases = [
        LossCase { share: 0.0, lost: [false; 6] },
        LossCase { share: 1.0, lost: [true; 6] },
        LossCase { share: 0.5, lost: [false, true, false, true, false, true] },
        LossCase { share: 0.25, lost: [false, false, false, true, false, false] },
    ];
    for case in cases {
        let desk = FaultDesk::default();
        desk.apply(&FaultOrder { lose_answers: Some(case.share), ..FaultOrder::default() });
        assert_eq!([(); 6].map(|()| desk.loses_answer()), case.lost, "{}", case.share);
    }
}

/// A frozen engine must not catch up afterwards on what it would have done meanwhile.
#[tokio::test(start_paused = true)]
async fn frozen_time_counts_each_freeze_once() {
    let desk = FaultDesk::default();
    let freeze = |ms| desk.apply(&FaultOrder { freeze_ms: Some(ms), ..FaultOrder::default() });
    freeze(100);
    advance(ms(40)).await;
    assert_eq!(desk.frozen_time(), ms(40));
    freeze(100);
    let begun = Instant::now();
    desk.thawed().await;
    assert_eq!(begun.elapsed(), ms(100));
    advance(ms(500)).await;
    assert_eq!(desk.frozen_time(), ms(140));
    desk.begin_life();
    assert_eq!(desk.frozen_time(), ms(0));
}

#[tokio::test(start_paused = true)]
async fn work_after_the_grace_of_leaving_is_counted_and_refused() {
    let desk = FaultDesk::default();
    desk.apply(&FaultOrder { leaving: Some(true), ..FaultOrder::default() });
    advance(ms(2_999)).await;
    assert!(desk.admits_work());
    desk.apply(&FaultOrder { leaving: Some(true), ..FaultOrder::default() });
    advance(ms(2)).await;
    assert!(!desk.admits_work(), "saying it again begins no new grace");
    assert_eq!(desk.state().late_work, 1);
    desk.begin_life();
    assert!(desk.admits_work(), "a new process does not leave");
}

#[test]
fn incarnations_only_rise() {
    let desk = FaultDesk::default();
    let lives = [(); 5].map(|()| desk.begin_life());
    assert!(lives.is_sorted_by(|earlier, later| earlier < later), "{lives:?}");
}
