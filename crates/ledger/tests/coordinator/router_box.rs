//! Routers in one process that can be killed and frozen, a backend server that counts effects, and callers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use fulmargate_ledger::ClaimCoordinator;
use fulmargate_ledger::ClaimHandle;
use fulmargate_ledger::ClaimKey;
use fulmargate_ledger::ClaimTicket;
use fulmargate_ledger::ClaimVerdict;
use fulmargate_ledger::ClaimerId;
use fulmargate_ledger::KnownKey;
use fulmargate_ledger::LedgerSettings;
use fulmargate_ledger::NotRunProof;
use fulmargate_ledger::RequestPrint;
use fulmargate_names::Disposition;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::fake_log::Dice;
use crate::fake_log::FakeLog;
use crate::history::KeyOp;
use crate::history::Recorder;

/// An answer to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    /// It ran, with this answer; 0 where the body is gone.
    Ran(u64),
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A call on its way to a router.
pub(crate) struct RoutedCall {
    pub(crate) key: ClaimKey,
    pub(crate) deadline: Instant,
    pub(crate) reply: oneshot::Sender<Told>,
}

/// What the routers of a run share.
#[derive(Clone)]
pub(crate) struct RunWorld {
    pub(crate) log: FakeLog,
    pub(crate) recorder: Recorder,
    pub(crate) settings: LedgerSettings,
    pub(crate) dice: Rc<RefCell<Dice>>,
    /// The answers of the backend server by key: one for each effect.
    pub(crate) effects: Rc<RefCell<BTreeMap<fulmargate_ledger::KeyHash, Vec<u64>>>>,
    /// Calls that were sent when their time was over.
    pub(crate) late: Rc<RefCell<Vec<ClaimKey>>>,
    backend: UnboundedSender<(ClaimKey, oneshot::Sender<Option<u64>>)>,
}

pub(crate) const PRINT: RequestPrint = RequestPrint([3; 8]);

impl RunWorld {
    pub(crate) fn start(seed: u64, settings: LedgerSettings) -> RunWorld {
        let (backend, requests) = unbounded_channel();
        let world = RunWorld {
            log: FakeLog::start(seed),
            recorder: Recorder::default(),
            settings,
            dice: Rc::new(RefCell::new(Dice(seed ^ 0x55))),
            effects: Rc::default(),
            late: Rc::default(),
            backend,
        };
        spawn_local(serve_backend(world.clone(), requests));
        world
    }

    pub(crate) fn percent(&self, percent: u64) -> bool {
        self.dice.borrow_mut().percent(percent)
    }

    pub(crate) fn millis(&self, from: u64, to: u64) -> Duration {
        self.dice.borrow_mut().millis(from, to)
    }
}

/// The backend server runs what reaches it, whatever becomes of the router; some answers get lost, some calls are refused.
async fn serve_backend(
    world: RunWorld,
    mut requests: UnboundedReceiver<(ClaimKey, oneshot::Sender<Option<u64>>)>,
) {
    let mut answer = 0;
    while let Some((key, reply)) = requests.recv().await {
        if world.percent(5) {
            let _ = reply.send(None);
            continue;
        }
        answer += 1;
        let this = answer;
        let world = world.clone();
        spawn_local(async move {
            sleep(world.millis(1, 30)).await;
            world.effects.borrow_mut().entry(key.hash).or_default().push(this);
            sleep(world.millis(1, 100)).await;
            if !world.percent(10) {
                let _ = reply.send(Some(this));
            }
        });
    }
}

/// A router that can be killed and frozen as a process can: frozen, it does nothing at all while time and the log go on.
pub(crate) struct RouterBox {
    pub(crate) calls: UnboundedSender<RoutedCall>,
    task: JoinHandle<()>,
    ice: Rc<RefCell<IceState>>,
}

#[derive(Default)]
struct IceState {
    frozen: bool,
    waker: Option<Waker>,
}

struct Frozen {
    inner: LocalBoxFuture<'static, ()>,
    ice: Rc<RefCell<IceState>>,
}

impl Future for Frozen {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        {
            let mut ice = self.ice.borrow_mut();
            if ice.frozen {
                ice.waker = Some(context.waker().clone());
                return Poll::Pending;
            }
        }
        self.inner.as_mut().poll(context)
    }
}

impl RouterBox {
    pub(crate) fn start(world: &RunWorld, host: &str, incarnation: u64) -> RouterBox {
        let (calls, inbox) = unbounded_channel();
        let ice = Rc::new(RefCell::new(IceState::default()));
        let me = ClaimerId { host: HostName::new(host), incarnation: Incarnation(incarnation) };
        let world = world.clone();
        let inner = async move { LocalSet::new().run_until(run_router(world, me, inbox)).await }
            .boxed_local();
        let task = spawn_local(Frozen { inner, ice: Rc::clone(&ice) });
        RouterBox { calls, task, ice }
    }

    pub(crate) fn kill(&self) {
        self.task.abort();
    }

    pub(crate) fn freeze(&self) {
        self.ice.borrow_mut().frozen = true;
    }

    pub(crate) fn thaw(&self) {
        let mut ice = self.ice.borrow_mut();
        ice.frozen = false;
        if let Some(waker) = ice.waker.take() {
            waker.wake();
        }
    }
}

async fn run_router(world: RunWorld, me: ClaimerId, mut inbox: UnboundedReceiver<RoutedCall>) {
    let port = world.log.port(me.host.as_str());
    let cancel = CancellationToken::new();
    let (_desk, handle) = ClaimCoordinator::start(port, &world.settings, 1, &me, &cancel).unwrap();
    while let Some(call) = inbox.recv().await {
        spawn_local(serve_call(world.clone(), me.clone(), handle.clone(), call));
    }
}

async fn serve_call(world: RunWorld, me: ClaimerId, handle: ClaimHandle, call: RoutedCall) {
    let key = call.key.hash;
    let began = world.recorder.step();
    let record = |op| world.recorder.record(key, began, world.recorder.step(), op);
    if world.percent(8) {
        // The queue is full: the router must look up the key before it answers not-run.
        let told = match handle.known(call.key, call.deadline).await {
            KnownKey::Free => {
                record(KeyOp::Free);
                Told::NotRun
            }
            KnownKey::Claimed | KnownKey::TooOld | KnownKey::Blind => Told::Unknown,
        };
        let _ = call.reply.send(told);
        return;
    }
    let told = match handle.claim(call.key, PRINT, call.deadline).await {
        ClaimVerdict::Won(ticket) => {
            record(KeyOp::Won((me.incarnation.0, ticket.number())));
            send_call(&world, &call, ticket).await
        }
        ClaimVerdict::Done(ran) => {
            let bytes = ran.body.map(|body| STANDARD.decode(&*body.base64).unwrap());
            let answer =
                bytes.map_or(0, |bytes| String::from_utf8(bytes).unwrap().parse().unwrap());
            if answer != 0 {
                record(KeyOp::Answered(answer));
            }
            Told::Ran(answer)
        }
        ClaimVerdict::Busy | ClaimVerdict::Unknown => {
            record(KeyOp::Claimed);
            Told::Unknown
        }
        ClaimVerdict::TooOld | ClaimVerdict::Reused => Told::Unknown,
        ClaimVerdict::LogOut(Disposition::NotRun) => Told::NotRun,
        ClaimVerdict::LogOut(_) => Told::Unknown,
    };
    let _ = call.reply.send(told);
}

async fn send_call(world: &RunWorld, call: &RoutedCall, ticket: ClaimTicket) -> Told {
    if world.percent(30) {
        sleep(world.millis(1, 300)).await;
    }
    if world.percent(5) {
        ticket.release();
        return Told::NotRun;
    }
    let Ok(sent) = ticket.begin_send(Instant::now()) else {
        return Told::NotRun;
    };
    if call.deadline + world.settings.ticket_life < Instant::now() {
        world.late.borrow_mut().push(call.key);
    }
    let (reply, answer) = oneshot::channel();
    world.backend.send((call.key, reply)).unwrap();
    match answer.await {
        Ok(Some(answer)) => {
            sent.answered(200, "text/plain", answer.to_string().as_bytes());
            Told::Ran(answer)
        }
        Ok(None) => {
            sent.not_run(NotRunProof::ServerRefusal).release();
            Told::NotRun
        }
        Err(_) => {
            sent.unknown();
            Told::Unknown
        }
    }
}
