//! Load whose every answer is checked, while something fails.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use fulmargate_load::AnswerFault;
use fulmargate_load::CacheJudge;
use fulmargate_load::CallRecord;
use fulmargate_load::CallTarget;
use fulmargate_load::LoadRun;
use fulmargate_load::PlannedCall;
use fulmargate_load::RunLimits;
use fulmargate_load::Verdict;
use fulmargate_load::WorkloadPlan;
use fulmargate_load::judge_effects;

use crate::process_fleet::ProcessFleet;

const PATIENCE: Duration = Duration::from_secs(20);

/// A run of load over all routers.
pub(crate) struct WatchedLoad {
    run: LoadRun,
    calls: Vec<PlannedCall>,
}

/// What the checks found.
#[derive(Debug, Default)]
pub(crate) struct LoadOutcome {
    pub(crate) sent: usize,
    pub(crate) whole: usize,
    pub(crate) refused: usize,
    pub(crate) failed: usize,
    pub(crate) faults: BTreeMap<AnswerFault, usize>,
    pub(crate) examples: Vec<String>,
    pub(crate) codes: BTreeMap<String, usize>,
}

impl WatchedLoad {
    /// So many calls a second for so long; `service_share` of them to the plain service.
    pub(crate) fn new(
        fleet: &ProcessFleet,
        rate: f64,
        seconds: u64,
        service_share: f64,
    ) -> WatchedLoad {
        // Prompts of an earlier run are still cached; another seed makes others, so that the judge
        // knows all that a team has sent.
        let seed = fleet.next_seed();
        let mut plan = WorkloadPlan::new(&fleet.deployment, seed);
        plan.rate = rate;
        plan.duration = Duration::from_secs(seconds);
        plan.service_share = service_share;
        plan.resent_share = 0.3;
        let run = LoadRun {
            deployment: Rc::clone(&fleet.deployment),
            plan,
            target: CallTarget::Routers,
            addresses: fleet.caller_addresses(),
            limits: RunLimits { patience: PATIENCE, ..RunLimits::default() },
        };
        let calls = run.calls();
        WatchedLoad { run, calls }
    }

    /// Makes answers longer, so that faults meet open streams.
    pub(crate) fn answer_tokens(mut self, tokens: usize) -> WatchedLoad {
        self.run.plan.answer_tokens = tokens;
        self.calls = self.run.calls();
        self
    }

    /// Takes answers of these weights only.
    pub(crate) fn weights(mut self, oldest: u64, newest: u64) -> WatchedLoad {
        self.run.limits.oldest_weights = oldest;
        self.run.limits.newest_weights = newest;
        self
    }

    /// Sends all calls and returns what became of each.
    pub(crate) async fn send(&self) -> Vec<CallRecord> {
        self.run.run(&self.calls).await
    }

    /// Judges the records by their checks and by what the stand-ins know.
    pub(crate) async fn judge(
        &self,
        fleet: &ProcessFleet,
        mut records: Vec<CallRecord>,
    ) -> LoadOutcome {
        let touches = self.run.touches(&self.calls);
        CacheJudge::new(&touches).mark_foreign(&mut records);
        judge_effects(&mut records, &fleet.effects().await);
        let mut outcome = LoadOutcome { sent: records.len(), ..LoadOutcome::default() };
        for record in &records {
            if record.verdict != Verdict::Whole {
                let code = record.error.clone().unwrap_or_default();
                *outcome.codes.entry(code).or_default() += 1;
            }
            match record.verdict {
                Verdict::Whole => outcome.whole += 1,
                Verdict::Refused => outcome.refused += 1,
                Verdict::Failed => outcome.failed += 1,
                Verdict::Faulty(fault) => {
                    *outcome.faults.entry(fault).or_default() += 1;
                    if outcome.examples.len() < 3 {
                        outcome.examples.push(format!("{record:?}"));
                    }
                }
            }
        }
        outcome
    }
}

impl LoadOutcome {
    /// Nothing that must never be, and most calls answered: a proof in which nothing ran proves
    /// nothing.
    pub(crate) fn must_be_sound(&self, least_whole: f64) {
        println!(
            "sent {}, whole {}, refused {}, failed {}, faults {:?}, codes {:?}",
            self.sent, self.whole, self.refused, self.failed, self.faults, self.codes
        );
        assert!(self.faults.is_empty(), "faults: {:?}, such as {:#?}", self.faults, self.examples);
        let wanted = self.sent as f64 * least_whole;
        assert!(
            wanted <= self.whole as f64,
            "of {} sent only {} were whole",
            self.sent,
            self.whole
        );
    }
}
