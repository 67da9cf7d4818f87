//! What goes wrong during a soak.

use fulmargate_consortium_stand::LinkCut;
use fulmargate_consortium_stand::LinkFault;
use fulmargate_consortium_stand::OrderHandling;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::StoreFault;

use crate::ForeignShape;

/// Which connections a proxy stands in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkPlace {
    /// Those of callers to a router.
    Callers(usize),
    /// Those of a router to the store.
    Store(usize),
    /// Those of all routers to a server.
    Server(usize),
}

/// A signal to a router's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterSignal {
    /// It is stopped in its tracks and goes on later.
    Pause,
    /// It ends at once; another starts after a while.
    Kill,
    /// A planned stop; another starts when it has ended.
    Terminate,
    /// It is told that its settings may have changed.
    HangUp,
}

/// One fault or one change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SoakFault {
    /// Connections suffer.
    Link(LinkPlace, LinkFault),
    /// A router's process gets a signal.
    Signal(usize, RouterSignal),
    /// The link of a router's host to the store and to all servers is full.
    FullLink(usize),
    /// A router's host loses its links to all servers.
    CutHost(usize, LinkCut),
    /// Callers of all routers open all new connections to this one, one for each request.
    CrowdHost(usize),
    /// All servers of the plain service fall over at more rejections in a second than this.
    Brittle(u32),
    /// All routers are killed at the same moment.
    KillAll,
    /// The store suffers.
    Store(StoreFault),
    /// The store forgets the history of its topics.
    ForgetHistory,
    /// The store goes away and comes back from a copy that was made as this begins.
    RestoreStore,
    /// A server answers badly.
    Server(usize, ServerMode),
    /// A server names a limit, in tenths of a request a second, that all routers together have to keep.
    ServerLimit(usize, u32),
    /// A server leaves as planned and another takes its place.
    ReplaceServer(usize),
    /// A server's entry is removed without a notice, the server goes on for a while, and another takes its
    /// place.
    RemoveServer(usize),
    /// A server's process is killed; another takes its place, and its entry expires later.
    KillServer(usize),
    /// Callers send a request that crashes the servers of the plain service, again and again by all routers; others
    /// take the places of the servers.
    CrashingRequest(u32),
    /// Callers send prompts that share a part which crashes engines, no two alike, beside others that share their first
    /// part; others take the places of the engines.
    CrashingPart(u32),
    /// A server leaves as planned, and one with this software version takes its place.
    Upgrade(usize, u32),
    /// A configuration with one more route.
    AddRoute,
    /// A configuration without a key that callers use.
    TakeKey,
    /// New weights are named.
    NameWeights,
    /// A weights version is named that is newer by this number; zero names the newest one again.
    NameVersion(u64),
    /// Entries that no server has written, the first ones of such a number, are in the list of servers from now on.
    ForeignEntries(usize, ForeignShape),
    /// An engine handles orders in this way.
    EngineOrders(usize, OrderHandling),
}

impl SoakFault {
    /// Whether the router may know less of the store than usual, or be late.
    pub(crate) fn disturbs(&self, router: usize) -> bool {
        match self {
            SoakFault::Link(LinkPlace::Callers(at) | LinkPlace::Store(at), _) => *at == router,
            SoakFault::Signal(at, signal) => *at == router && *signal != RouterSignal::HangUp,
            SoakFault::FullLink(at) => *at == router,
            SoakFault::KillAll | SoakFault::Store(_) => true,
            SoakFault::ForgetHistory | SoakFault::RestoreStore => true,
            SoakFault::Link(LinkPlace::Server(_), _) => false,
            SoakFault::Server(..) | SoakFault::ServerLimit(..) => false,
            SoakFault::ReplaceServer(_) | SoakFault::RemoveServer(_) => false,
            SoakFault::KillServer(_) | SoakFault::CutHost(..) | SoakFault::Brittle(_) => false,
            SoakFault::CrashingRequest(_) | SoakFault::CrashingPart(_) => false,
            SoakFault::Upgrade(..) | SoakFault::CrowdHost(_) => false,
            SoakFault::AddRoute | SoakFault::TakeKey | SoakFault::NameWeights => false,
            SoakFault::NameVersion(_) | SoakFault::EngineOrders(..) => false,
            SoakFault::ForeignEntries(..) => false,
        }
    }

    /// Whether the store itself suffers.
    pub(crate) fn disturbs_store(&self) -> bool {
        matches!(self, SoakFault::Store(_) | SoakFault::ForgetHistory | SoakFault::RestoreStore)
    }

    /// Whether servers may leave requests unanswered.
    pub(crate) fn harms_servers(&self) -> bool {
        match self {
            SoakFault::Server(_, mode) => *mode != ServerMode::PausedEcho,
            SoakFault::Link(LinkPlace::Server(_), _) | SoakFault::KillServer(_) => true,
            SoakFault::CutHost(..) | SoakFault::Brittle(_) => true,
            SoakFault::CrashingRequest(_) | SoakFault::CrashingPart(_) => true,
            _ => false,
        }
    }
}
