//! Several routers before servers that some requests crash.

use std::sync::Arc;

use fulmargate_admission::Fingerprint;
use fulmargate_admission::RunFit;
use fulmargate_admission::SuspectBook;
use fulmargate_admission::SuspectConf;
use fulmargate_admission::SuspectRun;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use tokio::time::Instant;
use tokio::time::advance;

use super::Dice;
use super::ms;

/// Time from one step to the next; news of one step reaches the other routers in the next.
const STEP_MS: u64 = 50;
/// Steps until a crashing request crashes its server, and until any other ends.
const CRASH_AFTER: u32 = 2;
const END_AFTER: u32 = 5;

/// Routers, servers and requests; time goes in steps.
pub(crate) struct CrashWorld {
    books: Vec<Arc<SuspectBook>>,
    hosts: Vec<HostName>,
    incarnations: Vec<u64>,
    pub(crate) calls: Vec<Call>,
}

/// One request of a caller.
pub(crate) struct Call {
    print: Fingerprint,
    nature: Nature,
    router: usize,
    pub(crate) state: CallState,
    /// Servers that it crashed.
    pub(crate) crashes: u32,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Nature {
    Harmless,
    Crashing,
}

pub(crate) enum CallState {
    Waiting,
    Running { server: usize, steps: u32, run: SuspectRun },
    Done,
    Refused,
}

impl CrashWorld {
    pub(crate) fn new(routers: usize, servers: usize) -> CrashWorld {
        let hosts: Vec<HostName> =
            (0..routers).map(|index| HostName::new(&format!("entry-{index}"))).collect();
        let mut world = CrashWorld {
            books: Vec::new(),
            hosts,
            incarnations: vec![1; servers],
            calls: Vec::new(),
        };
        for router in 0..routers {
            let book = world.fresh_book(router);
            world.books.push(book);
        }
        world
    }

    /// A caller sends a request to a router; the same number is the same request.
    pub(crate) fn send(&mut self, number: u128, nature: Nature, router: usize) {
        let print = Fingerprint(number);
        let state = CallState::Waiting;
        self.calls.push(Call { print, nature, router, state, crashes: 0 });
    }

    /// Up to four harmless requests come at routers drawn by chance.
    pub(crate) fn send_harmless(&mut self, dice: &mut Dice) {
        for _ in 0..dice.below(5) {
            let router = dice.below(self.books.len());
            self.send(self.calls.len() as u128, Nature::Harmless, router);
        }
    }

    /// A router starts anew, knows nothing, and asks a neighbour for what is known. Its callers'
    /// connections break, and they send again to another router.
    pub(crate) fn restart_router(&mut self, router: usize) {
        let next = (router + 1) % self.books.len();
        for call in self.calls.iter_mut().filter(|call| call.router == router) {
            call.router = next;
            if matches!(call.state, CallState::Running { .. }) {
                call.state = CallState::Waiting;
            }
        }
        let book = self.fresh_book(router);
        for verdict in self.books[next].verdicts(Instant::now()) {
            book.learn(&verdict, &self.hosts[next], Instant::now());
        }
        self.books[router] = book;
    }

    /// A server crashes of itself.
    pub(crate) fn crash(&mut self, server: usize) {
        let name = server_name(server);
        let incarnation = Incarnation(self.incarnations[server]);
        self.incarnations[server] += 1;
        let mut told = Vec::new();
        for call in &mut self.calls {
            let state = std::mem::replace(&mut call.state, CallState::Waiting);
            match state {
                CallState::Running { server: at, run, .. } if at == server => {
                    run.broke();
                    told.push(call.router);
                }
                other => call.state = other,
            }
        }
        for router in told {
            self.books[router].crashed(&name, incarnation, Instant::now());
        }
    }

    pub(crate) async fn step(&mut self) {
        for index in 0..self.calls.len() {
            self.try_start(index);
        }
        for index in 0..self.calls.len() {
            self.go_on(index);
        }
        self.exchange();
        advance(ms(STEP_MS)).await;
    }

    fn fresh_book(&self, router: usize) -> Arc<SuspectBook> {
        let book = SuspectBook::new(SuspectConf::default());
        book.set_routers(&self.hosts[router], &self.hosts);
        book
    }

    /// As the router does: the best server that suits, and wait if none does.
    fn try_start(&mut self, index: usize) {
        let now = Instant::now();
        let call = &mut self.calls[index];
        if !matches!(call.state, CallState::Waiting) {
            return;
        }
        let book = &self.books[call.router];
        let servers = self.incarnations.len();
        let first = (call.print.0 as usize).wrapping_mul(7) % servers;
        let order: Vec<usize> = (0..servers).map(|offset| (first + offset) % servers).collect();
        let fit = |server: &&usize| book.may_run_on(call.print, &server_name(**server), now);
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
        if let Ok(run) = book.begin(call.print, &server_name(server), incarnation, now) {
            call.state = CallState::Running { server, steps: 0, run };
        }
    }

    fn go_on(&mut self, index: usize) {
        let call = &mut self.calls[index];
        let nature = call.nature;
        let CallState::Running { server, steps, .. } = &mut call.state else {
            return;
        };
        *steps += 1;
        let server = *server;
        if nature == Nature::Crashing && *steps == CRASH_AFTER {
            call.crashes += 1;
            self.crash(server);
        } else if *steps == END_AFTER
            && let CallState::Running { run, .. } =
                std::mem::replace(&mut call.state, CallState::Done)
        {
            run.ended_well();
        }
    }

    fn exchange(&self) {
        let now = Instant::now();
        for (from, book) in self.books.iter().enumerate() {
            for verdict in book.news(now) {
                let others = self.books.iter().enumerate().filter(|(to, _)| *to != from);
                others.for_each(|(_, other)| other.learn(&verdict, &self.hosts[from], now));
            }
        }
    }

    pub(crate) fn refused(&self, nature: Nature) -> usize {
        let refused =
            |call: &&Call| call.nature == nature && matches!(call.state, CallState::Refused);
        self.calls.iter().filter(refused).count()
    }

    pub(crate) fn done(&self, nature: Nature) -> usize {
        let done = |call: &&Call| call.nature == nature && matches!(call.state, CallState::Done);
        self.calls.iter().filter(done).count()
    }

    /// Whether the last call with this number has its answer.
    pub(crate) fn is_answered(&self, number: u128) -> bool {
        let same = |call: &&Call| call.print == Fingerprint(number);
        let last = self.calls.iter().rev().find(same);
        last.is_some_and(|call| matches!(call.state, CallState::Refused | CallState::Done))
    }

    /// Servers lost to requests with this number.
    pub(crate) fn lost_to(&self, number: u128) -> u32 {
        let same = self.calls.iter().filter(|call| call.print == Fingerprint(number));
        same.map(|call| call.crashes).sum()
    }
}

fn server_name(index: usize) -> ServerName {
    ServerName::new(&format!("engine-{index}"))
}

/// The number of a crashing request of a random history.
pub(crate) fn crashing_number(index: u128) -> u128 {
    1_000_003 + index * 1_000
}

/// Runs a history under a clock of its own.
pub(crate) fn paused<T>(history: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("a runtime");
    runtime.block_on(history)
}

/// Requests keep coming, crashing ones among them, each sent again once it is refused.
pub(crate) async fn random_history(
    seed: u64,
    crashing: u128,
    routers: usize,
    servers: usize,
) -> CrashWorld {
    let mut world = CrashWorld::new(routers, servers);
    let mut dice = Dice(seed);
    let first: Vec<usize> = (0..crashing).map(|_| dice.below(40)).collect();
    for step in 0..500 {
        if step < 100 {
            world.send_harmless(&mut dice);
        }
        for (index, first) in (0..).zip(&first) {
            let number = crashing_number(index);
            let again = step < 200 && world.is_answered(number) && dice.below(8) == 0;
            if step == *first || again {
                world.send(number, Nature::Crashing, dice.below(routers));
            }
        }
        if routers > 1 && dice.below(100) == 0 {
            world.restart_router(dice.below(routers));
        }
        world.step().await;
    }
    world
}

/// Servers crash of themselves, each at a step of the given span, and no request is to blame.
pub(crate) async fn random_failures(seed: u64, failing: usize, span: usize) -> CrashWorld {
    let mut world = CrashWorld::new(6, 12);
    let mut dice = Dice(seed);
    let failures: Vec<(usize, usize)> =
        (0..failing).map(|_| (20 + dice.below(span), dice.below(12))).collect();
    for step in 0..300 {
        if step < 100 {
            world.send_harmless(&mut dice);
        }
        let now = failures.iter().filter(|(at, _)| *at == step);
        now.for_each(|(_, server)| world.crash(*server));
        world.step().await;
    }
    world
}
