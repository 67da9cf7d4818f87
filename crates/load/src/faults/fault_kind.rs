//! Kinds of faults.

use serde::Serialize;

/// One kind of fault; the target is drawn beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// An engine crashes and comes back empty.
    EngineCrash,
    /// A third of the engines crash at once.
    ThirdOfEnginesCrash,
    /// An engine stands still, its connections open.
    EngineFreeze,
    /// An engine takes several times as long.
    EngineSlow,
    /// An engine refuses all work.
    EngineRefuses,
    /// An engine leaves, and comes back as a new process.
    EngineLeaves,
    /// An engine answers with other requests' answers.
    CrossedAnswers,
    /// An engine ends streams early as if they were whole.
    TruncatedStreams,
    /// Engines' event streams lose entries.
    EventLoss,
    /// All engines of a zone stand still.
    ZoneFreeze,
    /// A replica of the plain service crashes.
    ServiceCrash,
    /// Replicas of the plain service take effect and do not answer.
    ServiceLosesAnswers,
    /// A replica of the plain service stands still.
    ServiceFreeze,
    /// The log is out.
    LogOutage,
    /// The log keeps appends and does not answer.
    LogLosesAnswers,
    /// The log takes many times as long.
    LogSlow,
    /// A request crashes each engine that runs it, and its caller sends it again.
    PoisonRequest,
    /// A router is taken down and started again, as the rig does it.
    RouterRestart,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 18] = [
        FaultKind::EngineCrash,
        FaultKind::ThirdOfEnginesCrash,
        FaultKind::EngineFreeze,
        FaultKind::EngineSlow,
        FaultKind::EngineRefuses,
        FaultKind::EngineLeaves,
        FaultKind::CrossedAnswers,
        FaultKind::TruncatedStreams,
        FaultKind::EventLoss,
        FaultKind::ZoneFreeze,
        FaultKind::ServiceCrash,
        FaultKind::ServiceLosesAnswers,
        FaultKind::ServiceFreeze,
        FaultKind::LogOutage,
        FaultKind::LogLosesAnswers,
        FaultKind::LogSlow,
        FaultKind::PoisonRequest,
        FaultKind::RouterRestart,
    ];
}
