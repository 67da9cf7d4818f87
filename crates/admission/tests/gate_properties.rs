//! Property tests of a gate: random interleavings of requests, completions and disconnects.

mod support;

use std::sync::Arc;
use std::sync::Mutex;

use fulmargate_admission::ClassConf;
use fulmargate_admission::EngineReport;
use fulmargate_admission::GateEntry;
use fulmargate_admission::GateOutcome;
use fulmargate_admission::GateTicket;
use fulmargate_admission::MoveReason;
use fulmargate_admission::ServerGate;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::BATCH;
use support::TestRng;
use support::URGENT;
use support::admitted;
use support::class;
use support::crash_simulation::paused;
use support::fixed_gate;
use support::ms;
use support::request;
use tokio::task::JoinHandle;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::sleep;

const REQUESTS_LIMIT: u32 = 3;
const TOKENS_LIMIT: u32 = 1_000;
const QUEUE_LIMIT: usize = 6;

/// One request and all decisions that its caller received.
struct TrackedRequest {
    priority: u8,
    /// Decisions in the order received. The ticket is held until the request completes.
    decisions: Arc<Mutex<Vec<Decision>>>,
    waiting: Option<JoinHandle<()>>,
    deadline: Instant,
    /// Whether it was decided at the previous check.
    was_decided: bool,
}

enum Decision {
    Sent(Option<GateTicket>, u32),
    Refused(Instant),
    Moved,
}

/// A gate, its requests and the violated invariants found so far.
struct GateSimulation {
    gate: Arc<ServerGate>,
    classes: [Arc<ClassConf>; 2],
    requests: Vec<TrackedRequest>,
    violations: Vec<String>,
}

impl GateSimulation {
    fn new() -> GateSimulation {
        GateSimulation {
            gate: fixed_gate(REQUESTS_LIMIT, TOKENS_LIMIT),
            classes: [class(URGENT, 400, QUEUE_LIMIT), class(BATCH, 2_000, QUEUE_LIMIT)],
            requests: Vec::new(),
            violations: Vec::new(),
        }
    }

    async fn step(&mut self, rng: &mut TestRng) {
        let urgent_queued_before = self.waiting(URGENT);
        match rng.below(12) {
            0..5 => self.enter(rng),
            5..8 => self.complete_random(rng),
            8 => self.first_token(rng),
            9 => self.disconnect_random(rng),
            10 if rng.below(6) == 0 => self.close_and_reopen(),
            _ => sleep(ms(rng.below(300) as u64)).await,
        }
        for _ in 0..4 {
            yield_now().await;
        }
        self.check(&urgent_queued_before);
    }

    fn enter(&mut self, rng: &mut TestRng) {
        let team = ["large", "large", "large", "other", "third"][rng.below(5)];
        let class = &self.classes[rng.below(2)];
        let tokens = [0, 10, 300, 900, 5_000][rng.below(5)];
        let request = request(team, class, tokens);
        let decisions = Arc::new(Mutex::new(Vec::new()));
        let mut waiting = None;
        match self.gate.enter(&request, Instant::now()) {
            GateEntry::Decided(outcome) => decisions.lock().unwrap().push(record(outcome, tokens)),
            GateEntry::Queued(waiter) => {
                let decisions = Arc::clone(&decisions);
                waiting = Some(tokio::spawn(async move {
                    let outcome = waiter.wait().await;
                    decisions.lock().unwrap().push(record(outcome, tokens));
                }));
            }
        }
        let (priority, deadline) = (class.priority, request.class.deadline);
        self.requests.push(TrackedRequest {
            priority,
            decisions,
            waiting,
            deadline,
            was_decided: false,
        });
    }

    /// Completes a random in-flight request.
    fn complete_random(&mut self, rng: &mut TestRng) {
        let in_flight: Vec<usize> =
            (0..self.requests.len()).filter(|index| self.requests[*index].is_in_flight()).collect();
        if !in_flight.is_empty() {
            let request = &self.requests[in_flight[rng.below(in_flight.len())]];
            request.with_ticket(|ticket, _| *ticket = None);
        }
    }

    fn first_token(&mut self, rng: &mut TestRng) {
        let in_flight: Vec<&TrackedRequest> =
            self.requests.iter().filter(|request| request.is_in_flight()).collect();
        if !in_flight.is_empty() {
            in_flight[rng.below(in_flight.len())].with_ticket(|ticket, tokens| {
                *tokens = 0;
                let ticket = ticket.as_mut().expect("in flight");
                ticket.first_token(&EngineReport::default(), Instant::now());
            });
        }
    }

    fn disconnect_random(&mut self, rng: &mut TestRng) {
        let waiting: Vec<usize> =
            (0..self.requests.len()).filter(|index| self.requests[*index].is_waiting()).collect();
        if !waiting.is_empty() {
            let request = &mut self.requests[waiting[rng.below(waiting.len())]];
            request.waiting.take().expect("is waiting").abort();
        }
    }

    fn close_and_reopen(&mut self) {
        self.gate.close(MoveReason::Ejected, Instant::now());
        self.gate.open();
    }

    /// Indices of the queued requests of this priority.
    fn waiting(&self, priority: u8) -> Vec<usize> {
        let is_waiting = |index: &usize| {
            self.requests[*index].is_waiting() && self.requests[*index].priority == priority
        };
        (0..self.requests.len()).filter(is_waiting).collect()
    }

    fn check(&mut self, urgent_queued_before: &[usize]) {
        let snapshot = self.gate.snapshot();
        let in_flight = self.requests.iter().filter(|request| request.is_in_flight()).count();
        let waiting = self.waiting(URGENT).len() + self.waiting(BATCH).len();
        let tokens: u32 = self.requests.iter().map(TrackedRequest::prefill_tokens).sum();
        let at_most_one_in_prefill =
            self.requests.iter().filter(|request| request.prefill_tokens() > 0).count() <= 1;
        let urgent_still_queued =
            urgent_queued_before.iter().any(|index| self.requests[*index].is_waiting());
        let batch_sent = self.requests.iter().any(TrackedRequest::is_newly_sent_batch);
        let checks = [
            ("in-flight count equals tickets held", snapshot.in_flight as usize == in_flight),
            ("queue length equals callers waiting", snapshot.queued == waiting),
            ("request limit holds", snapshot.in_flight <= REQUESTS_LIMIT),
            (
                "token limit holds, except for a single large request",
                tokens <= TOKENS_LIMIT || at_most_one_in_prefill,
            ),
            ("urgent queue limit holds", self.waiting(URGENT).len() <= QUEUE_LIMIT),
            ("batch queue limit holds", self.waiting(BATCH).len() <= QUEUE_LIMIT),
            (
                "at most one decision per request",
                self.requests.iter().all(|request| request.decision_count() <= 1),
            ),
            (
                "decided by the deadline",
                self.requests.iter().all(TrackedRequest::is_decided_in_time),
            ),
            ("urgent requests before batch requests", !(urgent_still_queued && batch_sent)),
        ];
        let failed = checks.iter().filter(|(_, holds)| !holds);
        self.violations.extend(failed.map(|(name, _)| (*name).to_owned()));
        for request in &mut self.requests {
            request.was_decided = request.decision_count() > 0;
        }
    }
}

fn record(outcome: GateOutcome, tokens: u32) -> Decision {
    match outcome {
        GateOutcome::Admitted(ticket) => Decision::Sent(Some(ticket), tokens),
        GateOutcome::Refused(_) => Decision::Refused(Instant::now()),
        GateOutcome::Moved(_) => Decision::Moved,
    }
}

impl TrackedRequest {
    fn is_waiting(&self) -> bool {
        self.waiting.is_some() && self.decision_count() == 0
    }

    fn decision_count(&self) -> usize {
        self.decisions.lock().unwrap().len()
    }

    fn is_in_flight(&self) -> bool {
        matches!(self.decisions.lock().unwrap().first(), Some(Decision::Sent(Some(_), _)))
    }

    fn with_ticket(&self, act: impl FnOnce(&mut Option<GateTicket>, &mut u32)) {
        if let Some(Decision::Sent(ticket, tokens)) = self.decisions.lock().unwrap().first_mut() {
            act(ticket, tokens);
        }
    }

    /// Tokens that wait for prefill.
    fn prefill_tokens(&self) -> u32 {
        match self.decisions.lock().unwrap().first() {
            Some(Decision::Sent(Some(_), tokens)) => *tokens,
            _ => 0,
        }
    }

    fn is_newly_sent_batch(&self) -> bool {
        self.priority == BATCH && self.is_in_flight() && !self.was_decided
    }

    fn is_decided_in_time(&self) -> bool {
        let refused = match self.decisions.lock().unwrap().first() {
            Some(Decision::Refused(at)) => Some(*at),
            _ => None,
        };
        let decided_at = refused.or(self.is_waiting().then(Instant::now));
        // Tokio timers have millisecond resolution.
        decided_at.is_none_or(|decided_at| decided_at <= self.deadline + ms(1))
    }
}

/// Whatever the order of arrivals, completions, disconnects and closings of the gate, each waiting
/// caller must receive exactly one decision, by its deadline.
#[test]
fn each_request_gets_one_decision_in_order() {
    fn check(seed: u64) -> Result<(), String> {
        paused(async move {
            let mut simulation = GateSimulation::new();
            let mut rng = TestRng(seed);
            for _ in 0..400 {
                simulation.step(&mut rng).await;
            }
            sleep(ms(2_001)).await;
            while simulation.requests.iter().any(TrackedRequest::is_in_flight) {
                simulation.complete_random(&mut rng);
                yield_now().await;
            }
            sleep(ms(1)).await;
            let left = simulation.requests.iter().filter(|request| request.is_waiting()).count();
            if left > 0 {
                simulation.violations.push(format!("{left} requests without a decision"));
            }
            simulation.violations.dedup();
            if simulation.violations.is_empty() {
                Ok(())
            } else {
                Err(format!("{:?}", simulation.violations))
            }
        })
    }
    let check = check as fn(_) -> _;
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 45)).tests(100).quickcheck(check);
}

/// Backlogged teams must get equal shares of the tokens whatever their prompt sizes: the difference
/// stays within two of the largest prompts.
#[test]
fn backlogged_teams_get_equal_token_shares() {
    const TEAMS: usize = 5;
    const LARGEST: usize = 800;
    fn check(seed: u64) -> bool {
        paused(async move {
            let gate = fixed_gate(1, 10_000);
            let class = class(BATCH, 3_600_000, 10_000);
            let mut rng = TestRng(seed);
            let mut in_flight = admitted(gate.enter(&request("z", &class, 1), Instant::now()));
            let (sender, mut decisions) = tokio::sync::mpsc::unbounded_channel();
            for _ in 0..200 {
                for team in 0..TEAMS {
                    // The maximum prompt size grows with the team's index.
                    let tokens = (1 + rng.below(LARGEST * (team + 1) / TEAMS)) as u32;
                    let entry =
                        gate.enter(&request(&format!("{team}"), &class, tokens), Instant::now());
                    let (waiter, sender) = (support::queued(entry), sender.clone());
                    tokio::spawn(async move { sender.send((team, tokens, waiter.wait().await)) });
                }
            }
            yield_now().await;
            let mut served = [0_i64; TEAMS];
            // Stop before the team with the smallest prompts runs out of requests.
            while served[0] < 10_000 {
                drop(in_flight);
                let (team, tokens, outcome) = decisions.recv().await.expect("a request is decided");
                let GateOutcome::Admitted(ticket) = outcome else {
                    return false;
                };
                in_flight = ticket;
                served[team] += i64::from(tokens) + 64;
            }
            let spread = served.iter().max().unwrap() - served.iter().min().unwrap();
            spread <= 2 * (LARGEST as i64 + 64)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 46))
        .tests(20)
        .quickcheck(check as fn(_) -> _);
}

/// When several threads share a gate, the request limit must hold and no slot may leak.
#[test]
fn concurrent_threads_respect_request_limit() {
    use std::sync::atomic::AtomicU32;
    use std::sync::atomic::Ordering;
    let gate = fixed_gate(REQUESTS_LIMIT, 1_000_000);
    let (running, max_running) = (AtomicU32::new(0), AtomicU32::new(0));
    std::thread::scope(|scope| {
        for thread in 0..4 {
            let (gate, running, max_running) = (&gate, &running, &max_running);
            scope.spawn(move || {
                let class = class(URGENT, 600_000, 100);
                let mut builder = tokio::runtime::Builder::new_current_thread();
                let runtime = builder.enable_time().build().expect("a runtime");
                let mut rng = TestRng(thread);
                for _ in 0..3_000 {
                    let entry = gate.enter(&request("a", &class, 1), Instant::now());
                    let outcome = match entry {
                        GateEntry::Decided(outcome) => outcome,
                        GateEntry::Queued(waiter) if rng.below(3) == 0 => {
                            drop(waiter);
                            continue;
                        }
                        GateEntry::Queued(waiter) => runtime.block_on(waiter.wait()),
                    };
                    let GateOutcome::Admitted(ticket) = outcome else {
                        panic!("not admitted: {outcome:?}");
                    };
                    max_running
                        .fetch_max(running.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                    std::thread::yield_now();
                    running.fetch_sub(1, Ordering::SeqCst);
                    drop(ticket);
                }
            });
        }
    });
    assert!(max_running.into_inner() <= REQUESTS_LIMIT);
    assert_eq!(gate.snapshot().in_flight, 0);
    assert_eq!(gate.snapshot().queued, 0);
}
