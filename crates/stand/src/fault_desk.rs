//! The faults in force at one stand-in, kept across its simulated crashes.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::FaultOrder;
use crate::clock;

/// How long a leaving server still takes work.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
const DEFAULT_MARKER_DOWN_MS: u64 = 200;
const DEFAULT_TRUNCATE_AFTER: usize = 2;

#[derive(Debug, Clone, Copy)]
struct Freeze {
    since: Instant,
    until: Instant,
}

impl Freeze {
    fn elapsed(self) -> Duration {
        self.until.min(Instant::now()) - self.since
    }
}

/// What `GET /faults` shows.
#[derive(Debug, Clone, Serialize)]
pub struct FaultState {
    /// Drawn anew at each start, and higher each time.
    pub incarnation: u64,
    /// Crashes so far.
    pub crashes: u64,
    /// Work begun later than the grace after the server began to leave.
    pub late_work: u64,
    /// Text that crashes the server.
    pub crash_marker: String,
    /// How long a crash by the marker lasts.
    pub marker_down_ms: u64,
    /// How many times as long everything takes.
    pub slow_factor: f64,
    /// Whether all work is refused.
    pub refuse: bool,
    /// Share of answers that are lost.
    pub lose_answers: f64,
    /// Answers still to be crossed.
    pub cross_answers: u32,
    /// Streams still to be truncated.
    pub truncate_streams: u32,
    /// Tokens of a truncated stream.
    pub truncate_after: usize,
    /// Cache events still to be lost.
    pub drop_events: u32,
    /// Whether the server is about to leave.
    pub leaving: bool,
    #[serde(skip)]
    leaving_since: Option<Instant>,
    #[serde(skip)]
    lost_share: f64,
    #[serde(skip)]
    freeze: Option<Freeze>,
    #[serde(skip)]
    frozen_before: Duration,
    #[serde(skip)]
    out_until: Option<Instant>,
    #[serde(skip)]
    down: Duration,
}

/// The faults of one stand-in; clones share them.
#[derive(Clone)]
pub struct FaultDesk {
    state: Arc<Mutex<FaultState>>,
    crash: Arc<Notify>,
    clear: Arc<Notify>,
}

impl Default for FaultDesk {
    fn default() -> FaultDesk {
        let state = FaultState {
            incarnation: 0,
            crashes: 0,
            late_work: 0,
            crash_marker: String::new(),
            marker_down_ms: DEFAULT_MARKER_DOWN_MS,
            slow_factor: 1.0,
            refuse: false,
            lose_answers: 0.0,
            cross_answers: 0,
            truncate_streams: 0,
            truncate_after: DEFAULT_TRUNCATE_AFTER,
            drop_events: 0,
            leaving: false,
            leaving_since: None,
            lost_share: 0.0,
            freeze: None,
            frozen_before: Duration::ZERO,
            out_until: None,
            down: Duration::ZERO,
        };
        FaultDesk {
            state: Arc::new(Mutex::new(state)),
            crash: Arc::new(Notify::new()),
            clear: Arc::new(Notify::new()),
        }
    }
}

impl FaultDesk {
    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// The state as it stands.
    pub fn state(&self) -> FaultState {
        self.lock().clone()
    }

    /// Takes an order in.
    pub fn apply(&self, order: &FaultOrder) {
        let mut state = self.lock();
        let state = &mut *state;
        set(&mut state.crash_marker, order.crash_marker.clone());
        set(&mut state.marker_down_ms, order.marker_down_ms);
        set(&mut state.slow_factor, order.slow_factor.map(|factor| factor.max(0.01)));
        set(&mut state.refuse, order.refuse);
        set(&mut state.lose_answers, order.lose_answers);
        set(&mut state.cross_answers, order.cross_answers);
        set(&mut state.truncate_streams, order.truncate_streams);
        set(&mut state.truncate_after, order.truncate_after);
        set(&mut state.drop_events, order.drop_events);
        if let Some(ms) = order.freeze_ms {
            state.freeze_for(Duration::from_millis(ms));
        }
        if let Some(ms) = order.outage_ms {
            state.out_until = Some(Instant::now() + Duration::from_millis(ms));
        }
        if let Some(leaving) = order.leaving {
            state.set_leaving(leaving);
        }
        if order.clear_cache == Some(true) {
            self.clear.notify_one();
        }
        if let Some(ms) = order.crash_ms {
            state.down = Duration::from_millis(ms);
            self.crash.notify_one();
        }
    }

    /// Begins a life of the stand-in and returns its incarnation. Leaving ends with the process.
    pub(crate) fn begin_life(&self) -> u64 {
        let mut state = self.lock();
        state.incarnation = clock::unix_ms().max(state.incarnation + 1);
        state.set_leaving(false);
        state.freeze = None;
        state.frozen_before = Duration::ZERO;
        state.incarnation
    }

    /// Waits for a crash and returns how long the stand-in is down.
    pub(crate) async fn crashed(&self) -> Duration {
        self.crash.notified().await;
        let mut state = self.lock();
        state.crashes += 1;
        state.down
    }

    /// Waits for an order to empty the cache.
    pub(crate) async fn cache_cleared(&self) {
        self.clear.notified().await;
    }

    /// Crashes the stand-in if the text holds the marker.
    pub(crate) fn crash_if_marked(&self, text: &str) -> bool {
        let mut state = self.lock();
        if state.crash_marker.is_empty() || !text.contains(&state.crash_marker) {
            return false;
        }
        state.down = Duration::from_millis(state.marker_down_ms);
        self.crash.notify_one();
        true
    }

    /// Waits until the stand-in is no longer frozen.
    pub(crate) async fn thawed(&self) {
        loop {
            let freeze = self.lock().freeze;
            match freeze {
                Some(freeze) if Instant::now() < freeze.until => sleep_until(freeze.until).await,
                _ => return,
            }
        }
    }

    /// How long this life has been frozen so far: time in which it did nothing.
    pub(crate) fn frozen_time(&self) -> Duration {
        let state = self.lock();
        state.frozen_before + state.freeze.map_or(Duration::ZERO, Freeze::elapsed)
    }

    pub(crate) fn is_out(&self) -> bool {
        self.lock().out_until.is_some_and(|until| Instant::now() < until)
    }

    /// The duration at the present pace.
    pub(crate) fn paced_ms(&self, ms: f64) -> f64 {
        ms * self.lock().slow_factor
    }

    /// Whether this call's answer is lost. The share is met evenly, not by chance.
    pub(crate) fn loses_answer(&self) -> bool {
        let mut state = self.lock();
        state.lost_share += state.lose_answers;
        let lost = state.lost_share >= 1.0;
        if lost {
            state.lost_share -= 1.0;
        }
        lost
    }

    pub(crate) fn crosses_answer(&self) -> bool {
        take_one(&mut self.lock().cross_answers)
    }

    pub(crate) fn drops_event(&self) -> bool {
        take_one(&mut self.lock().drop_events)
    }

    /// How many tokens this stream gives before it ends early.
    pub(crate) fn truncates_stream(&self) -> Option<usize> {
        let mut state = self.lock();
        let truncate_after = state.truncate_after;
        take_one(&mut state.truncate_streams).then_some(truncate_after)
    }

    /// Takes work in: `false` once the grace after the beginning of leaving is over.
    pub(crate) fn admits_work(&self) -> bool {
        let mut state = self.lock();
        let late = state.leaving_since.is_some_and(|since| LEAVING_GRACE < since.elapsed());
        if late {
            state.late_work += 1;
        }
        !late
    }
}

impl FaultState {
    fn freeze_for(&mut self, duration: Duration) {
        let now = Instant::now();
        self.frozen_before += self.freeze.map_or(Duration::ZERO, Freeze::elapsed);
        self.freeze = Some(Freeze { since: now, until: now + duration });
    }

    fn set_leaving(&mut self, leaving: bool) {
        if leaving != self.leaving {
            self.leaving_since = leaving.then(Instant::now);
        }
        self.leaving = leaving;
    }
}

fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

fn take_one(count: &mut u32) -> bool {
    let any = 0 < *count;
    *count = count.saturating_sub(1);
    any
}
