//! Simulation of routers and servers, with requests that crash servers.

use std::sync::Arc;

use fulmargate_admission::CrashDetector;
use fulmargate_admission::Fingerprint;
use fulmargate_admission::RunFit;
use fulmargate_admission::SuspectConf;
use fulmargate_admission::SuspectRun;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use tokio::time::Instant;
use tokio::time::advance;

use super::TestRng;
use super::ms;

/// Duration of a step. Verdicts of one step reach the other routers before the next.
const STEP_MS: u64 = 50;
/// Steps until a crashing request crashes its server, and until any other request completes.
const CRASH_AFTER: u32 = 2;
const COMPLETE_AFTER: u32 = 5;

/// Routers, servers and requests, simulated in steps.
pub(crate) struct CrashSimulation {
    detectors: Vec<Arc<CrashDetector>>,
    hosts: Vec<HostName>,
    incarnations: Vec<u64>,
    pub(crate) calls: Vec<Call>,
}

/// One request.
pub(crate) struct Call {
    fingerprint: Fingerprint,
    kind: RequestKind,
    router: usize,
    pub(crate) state: CallState,
    /// Number of servers that it crashed.
    pub(crate) crashes: u32,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum RequestKind {
    Harmless,
    Crashing,
}

pub(crate) enum CallState {
    Waiting,
    Running { server: usize, steps: u32, run: SuspectRun },
    Done,
    Refused,
}

impl CrashSimulation {
    pub(crate) fn new(routers: usize, servers: usize) -> CrashSimulation {
        let hosts: Vec<HostName> =
            (0..routers).map(|index| HostName::new(&format!("entry-{index}"))).collect();
        let mut simulation = CrashSimulation {
            detectors: Vec::new(),
            hosts,
            incarnations: vec![1; servers],
            calls: Vec::new(),
        };
        for router in 0..routers {
            let detector = simulation.new_detector(router);
            simulation.detectors.push(detector);
        }
        simulation
    }

    /// Sends a request to a router. Equal numbers have equal fingerprints.
    pub(crate) fn send(&mut self, number: u128, kind: RequestKind, router: usize) {
        let fingerprint = Fingerprint(number);
        let state = CallState::Waiting;
        self.calls.push(Call { fingerprint, kind, router, state, crashes: 0 });
    }

    /// Sends up to four harmless requests to random routers.
    pub(crate) fn send_harmless(&mut self, rng: &mut TestRng) {
        for _ in 0..rng.below(5) {
            let router = rng.below(self.detectors.len());
            self.send(self.calls.len() as u128, RequestKind::Harmless, router);
        }
    }

    /// Restarts a router with the verdicts of its neighbour. Its callers retry on that neighbour.
    pub(crate) fn restart_router(&mut self, router: usize) {
        let next = (router + 1) % self.detectors.len();
        for call in self.calls.iter_mut().filter(|call| call.router == router) {
            call.router = next;
            if matches!(call.state, CallState::Running { .. }) {
                call.state = CallState::Waiting;
            }
        }
        let detector = self.new_detector(router);
        for verdict in self.detectors[next].verdicts(Instant::now()) {
            detector.merge_verdict(&verdict, &self.hosts[next], Instant::now());
        }
        self.detectors[router] = detector;
    }

    /// Crashes a server.
    pub(crate) fn crash(&mut self, server: usize) {
        let name = server_name(server);
        let incarnation = Incarnation(self.incarnations[server]);
        self.incarnations[server] += 1;
        let mut routers_to_notify = Vec::new();
        for call in &mut self.calls {
            let state = std::mem::replace(&mut call.state, CallState::Waiting);
            match state {
                CallState::Running { server: at, run, .. } if at == server => {
                    run.connection_broke();
                    routers_to_notify.push(call.router);
                }
                other => call.state = other,
            }
        }
        for router in routers_to_notify {
            self.detectors[router].crashed(&name, incarnation, Instant::now());
        }
    }

    pub(crate) async fn step(&mut self) {
        for index in 0..self.calls.len() {
            self.try_start(index);
        }
        for index in 0..self.calls.len() {
            self.advance_call(index);
        }
        self.exchange_verdicts();
        advance(ms(STEP_MS)).await;
    }

    fn new_detector(&self, router: usize) -> Arc<CrashDetector> {
        let detector = CrashDetector::new(SuspectConf::default());
        detector.set_routers(&self.hosts[router], &self.hosts);
        detector
    }

    /// Starts a waiting call on the best suitable server, as the router does.
    fn try_start(&mut self, index: usize) {
        let now = Instant::now();
        let call = &mut self.calls[index];
        if !matches!(call.state, CallState::Waiting) {
            return;
        }
        let detector = &self.detectors[call.router];
        let servers = self.incarnations.len();
        let first = (call.fingerprint.0 as usize).wrapping_mul(7) % servers;
        let order: Vec<usize> = (0..servers).map(|offset| (first + offset) % servers).collect();
        let fit = |server: &&usize| detector.run_fit(call.fingerprint, &server_name(**server), now);
        let best = |wanted: RunFit| order.iter().find(|server| fit(server) == wanted).copied();
        if fit(&&order[0]) == RunFit::Never {
            call.state = CallState::Refused;
            return;
        }
        let chosen =
            best(RunFit::Anywhere).or_else(|| best(RunFit::Own)).or_else(|| best(RunFit::Shared));
        let Some(server) = chosen else {
            return;
        };
        let incarnation = Incarnation(self.incarnations[server]);
        if let Ok(run) = detector.begin(call.fingerprint, &server_name(server), incarnation, now) {
            call.state = CallState::Running { server, steps: 0, run };
        }
    }

    fn advance_call(&mut self, index: usize) {
        let call = &mut self.calls[index];
        let kind = call.kind;
        let CallState::Running { server, steps, .. } = &mut call.state else {
            return;
        };
        *steps += 1;
        let server = *server;
        if kind == RequestKind::Crashing && *steps == CRASH_AFTER {
            call.crashes += 1;
            self.crash(server);
        } else if *steps == COMPLETE_AFTER
            && let CallState::Running { run, .. } =
                std::mem::replace(&mut call.state, CallState::Done)
        {
            run.complete();
        }
    }

    fn exchange_verdicts(&self) {
        let now = Instant::now();
        for (from, detector) in self.detectors.iter().enumerate() {
            for verdict in detector.take_changed_verdicts(now) {
                let others = self.detectors.iter().enumerate().filter(|(to, _)| *to != from);
                others.for_each(|(_, other)| other.merge_verdict(&verdict, &self.hosts[from], now));
            }
        }
    }

    pub(crate) fn refused(&self, kind: RequestKind) -> usize {
        let refused = |call: &&Call| call.kind == kind && matches!(call.state, CallState::Refused);
        self.calls.iter().filter(refused).count()
    }

    pub(crate) fn done(&self, kind: RequestKind) -> usize {
        let done = |call: &&Call| call.kind == kind && matches!(call.state, CallState::Done);
        self.calls.iter().filter(done).count()
    }

    /// Whether the last call with this number has ended.
    pub(crate) fn has_ended(&self, number: u128) -> bool {
        let same = |call: &&Call| call.fingerprint == Fingerprint(number);
        let last = self.calls.iter().rev().find(same);
        last.is_some_and(|call| matches!(call.state, CallState::Refused | CallState::Done))
    }

    /// Number of servers crashed by requests with this number.
    pub(crate) fn servers_crashed_by(&self, number: u128) -> u32 {
        let same = self.calls.iter().filter(|call| call.fingerprint == Fingerprint(number));
        same.map(|call| call.crashes).sum()
    }
}

fn server_name(index: usize) -> ServerName {
    ServerName::new(&format!("engine-{index}"))
}

/// Number of a crashing request in `random_history`.
pub(crate) fn crashing_number(index: u128) -> u128 {
    1_000_003 + index * 1_000
}

/// Runs a future with a paused clock.
pub(crate) fn paused<T>(history: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("runtime can be built");
    runtime.block_on(history)
}

/// Simulates random harmless requests, crashing requests that are retried after each refusal, and
/// router restarts.
pub(crate) async fn random_history(
    seed: u64,
    crashing: u128,
    routers: usize,
    servers: usize,
) -> CrashSimulation {
    let mut simulation = CrashSimulation::new(routers, servers);
    let mut rng = TestRng(seed);
    let first: Vec<usize> = (0..crashing).map(|_| rng.below(40)).collect();
    for step in 0..500 {
        if step < 100 {
            simulation.send_harmless(&mut rng);
        }
        for (index, first) in (0..).zip(&first) {
            let number = crashing_number(index);
            let again = step < 200 && simulation.has_ended(number) && rng.below(8) == 0;
            if step == *first || again {
                simulation.send(number, RequestKind::Crashing, rng.below(routers));
            }
        }
        if routers > 1 && rng.below(100) == 0 {
            simulation.restart_router(rng.below(routers));
        }
        simulation.step().await;
    }
    simulation
}

/// Simulates harmless requests and servers that crash by themselves at random steps of a span.
pub(crate) async fn random_failures(seed: u64, failing: usize, span: usize) -> CrashSimulation {
    let mut simulation = CrashSimulation::new(6, 12);
    let mut rng = TestRng(seed);
    let failures: Vec<(usize, usize)> =
        (0..failing).map(|_| (20 + rng.below(span), rng.below(12))).collect();
    for step in 0..300 {
        if step < 100 {
            simulation.send_harmless(&mut rng);
        }
        let now = failures.iter().filter(|(at, _)| *at == step);
        now.for_each(|(_, server)| simulation.crash(*server));
        simulation.step().await;
    }
    simulation
}
