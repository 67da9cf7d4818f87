//! One run of a plan, open-loop: each call is sent at its time, whatever became of earlier ones.

use std::collections::HashMap;
use std::io::IsTerminal;
use std::rc::Rc;
use std::time::Duration;

use fulmargate_stand::deployment::Deployment;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::calls::CallRecord;
use crate::calls::CallTarget;
use crate::calls::Caller;
use crate::calls::Verdict;
use crate::figures::PromptTouch;
use crate::workload::PlannedCall;
use crate::workload::PromptLibrary;
use crate::workload::WorkloadPlan;

const DEFAULT_MAX_CALLS: usize = 200_000;
const DEFAULT_MAX_OPEN: usize = 20_000;
const DEFAULT_PATIENCE: Duration = Duration::from_secs(70);
const PROGRESS_EVERY: Duration = Duration::from_secs(1);

/// What bounds a run.
#[derive(Clone, Copy, Debug)]
pub struct RunLimits {
    /// Calls sent at most.
    pub max_calls: usize,
    /// Calls open at the same time at most; a call over it is not sent and counts as lost.
    pub max_open: usize,
    /// How long a caller waits for the end of an answer.
    pub patience: Duration,
    /// An answer of older weights is stale.
    pub oldest_weights: u64,
    /// No answer may be of newer weights.
    pub newest_weights: u64,
}

impl Default for RunLimits {
    fn default() -> RunLimits {
        RunLimits {
            max_calls: DEFAULT_MAX_CALLS,
            max_open: DEFAULT_MAX_OPEN,
            patience: DEFAULT_PATIENCE,
            oldest_weights: 1,
            newest_weights: 1,
        }
    }
}

/// A plan, whom it is sent to, and its limits.
pub struct LoadRun {
    /// The deployment that is called.
    pub deployment: Rc<Deployment>,
    /// What is sent.
    pub plan: WorkloadPlan,
    /// Who is called.
    pub target: CallTarget,
    /// Addresses, called in turn as a balancer does.
    pub addresses: Vec<String>,
    /// What bounds the run.
    pub limits: RunLimits,
}

impl LoadRun {
    /// The calls of the plan within the limits.
    pub fn calls(&self) -> Vec<PlannedCall> {
        let mut calls = self.plan.calls(&self.deployment);
        calls.truncate(self.limits.max_calls);
        calls
    }

    /// The texts of the plan's prompts.
    pub fn library(&self) -> PromptLibrary {
        PromptLibrary::new(&self.deployment, self.plan.sizes, self.plan.text_seed)
    }

    /// The prompts' use of blocks by the numbers of their calls.
    pub fn touches(&self, calls: &[PlannedCall]) -> HashMap<u32, PromptTouch> {
        let library = self.library();
        let touch = |call: &PlannedCall| Some((call.number, PromptTouch::of(call, &library)?));
        calls.iter().filter_map(touch).collect()
    }

    /// Sends the calls and returns what became of each, in the order of the plan.
    pub async fn run(&self, calls: &[PlannedCall]) -> Vec<CallRecord> {
        let caller = Caller::new(
            self.target,
            self.addresses.clone(),
            Rc::clone(&self.deployment),
            self.library(),
            self.limits.patience,
        );
        let weights = self.limits.oldest_weights..=self.limits.newest_weights;
        let caller = Rc::new(caller.expect_weights(weights));
        let (sender, ended) = mpsc::unbounded_channel();
        let mut progress = RunProgress::new(caller.start(), ended);
        for call in calls {
            progress.gather_until(caller.start() + call.at).await;
            if self.limits.max_open <= progress.open() {
                progress.records.push(CallRecord::new(call));
                continue;
            }
            let caller = Rc::clone(&caller);
            let sender = sender.clone();
            let call = *call;
            progress.sent += 1;
            actix_rt::spawn(async move {
                let record = caller.call(&call).await;
                let _run_is_over = sender.send(record);
            });
        }
        drop(sender);
        let deadline = Instant::now() + self.limits.patience + PROGRESS_EVERY;
        while 0 < progress.open() && Instant::now() < deadline {
            progress.gather_until(Instant::now() + PROGRESS_EVERY / 10).await;
        }
        progress.finish(calls)
    }
}

/// Gathers records while calls are sent, and tells a person how far it is.
struct RunProgress {
    start: Instant,
    ended: UnboundedReceiver<CallRecord>,
    records: Vec<CallRecord>,
    sent: usize,
    gathered: usize,
    whole: usize,
    next_line: Option<Instant>,
}

impl RunProgress {
    fn new(start: Instant, ended: UnboundedReceiver<CallRecord>) -> RunProgress {
        let next_line = std::io::stderr().is_terminal().then(|| start + PROGRESS_EVERY);
        RunProgress { start, ended, records: Vec::new(), sent: 0, gathered: 0, whole: 0, next_line }
    }

    fn open(&self) -> usize {
        self.sent - self.gathered
    }

    async fn gather_until(&mut self, until: Instant) {
        while let Ok(Some(record)) = timeout_at(until, self.ended.recv()).await {
            self.gathered += 1;
            self.whole += usize::from(record.verdict == Verdict::Whole);
            self.records.push(record);
        }
        sleep_until(until).await;
        self.show();
    }

    fn show(&mut self) {
        let Some(next) = self.next_line.filter(|next| *next <= Instant::now()) else { return };
        self.next_line = Some(next + PROGRESS_EVERY);
        let seconds = self.start.elapsed().as_secs();
        let open = self.open();
        let others = self.gathered - self.whole;
        eprint!(
            "\r{seconds:>4} s: {} sent, {} whole, {others} others, {open} open ",
            self.sent, self.whole
        );
    }

    /// All records in the order of the plan; a call without one is lost.
    fn finish(mut self, calls: &[PlannedCall]) -> Vec<CallRecord> {
        if self.next_line.is_some() {
            eprintln!();
        }
        let mut by_number: HashMap<u32, CallRecord> =
            self.records.drain(..).map(|record| (record.number, record)).collect();
        let record = |call: &PlannedCall| {
            by_number.remove(&call.number).unwrap_or_else(|| CallRecord::new(call))
        };
        calls.iter().map(record).collect()
    }
}
