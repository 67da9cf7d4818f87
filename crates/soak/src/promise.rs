//! What a soak checks.

use derive_more::Display;

/// What is promised.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Promise {
    /// A success is the server's whole answer to this very request.
    WholeAnswer,
    /// Events come in order, none is missing or doubled.
    OrderedStream,
    /// What may not repeat runs once.
    AtMostOnce,
    /// A refusal that says "not run" is true.
    TrueRefusal,
    /// Whoever may come back is told when.
    SaysWhen,
    /// A key that was taken away stops.
    TakenKey,
    /// A server that leaves gets nothing new.
    LeavingServer,
    /// A configuration is in force in time.
    ConfigInForce,
    /// And stays so.
    ConfigReverts,
    /// What a server goes on with is not given up.
    KeptAnswer,
    /// A planned stop ends by itself and cuts nothing.
    PlannedStop,
    /// Requests run on the weights that they were meant for, and share a cache under no others.
    CacheScope,
    /// One holder at a time gives orders.
    OneHolder,
    /// A server that names a limit gets no more from all routers together.
    ServerLimit,
    /// Brittle servers hardly ever fall over.
    BrittleServers,
    /// A request that has crashed three servers reaches no more.
    CrashingRequests,
    /// Others are not refused for it.
    InnocentRefused,
    /// Hosts that reach no server serve their callers.
    CutHosts,
    /// A router that takes all new connections serves what it reads.
    CrowdedHost,
    /// A stream has events of one software version, over all tries of its caller.
    OneVersion,
    /// Streams that are taken up go on.
    TakenUpStreams,
    /// No prompt begins on weights that are outdated for longer than the bound.
    OutdatedWeights,
    /// Prompts are served beside series of weights versions, and soon after all hosts were killed.
    ServedPrompts,
    /// A router keeps to its memory, whatever its clients send.
    Memory,
    /// Repeats stay within the budget.
    RepeatBudget,
    /// All serve again when the faults are over.
    Recovery,
}
