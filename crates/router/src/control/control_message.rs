//! Messages to the control thread.

use actix::Message;
use fulmargate_admission::HealthEvent;
use fulmargate_config::PublishedConfig;
use fulmargate_fleet::ServerReport;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;

/// A connection to a server broke or could not be made, or its answer was wrong or late.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ServerTrouble {
    pub(crate) server: ServerName,
}

/// Results of requests changed how far servers are in use.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct HealthTold {
    pub(crate) news: Vec<HealthEvent>,
}

/// A server answered under this incarnation; 0 if it did not say.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ServerLife {
    pub(crate) server: ServerName,
    pub(crate) incarnation: Incarnation,
    pub(crate) is_leaving: bool,
}

/// A configuration came into force.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ConfigPublished {
    pub(crate) published: PublishedConfig,
}

/// What a probe of a server found.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ProbeResult {
    pub(crate) server: ServerName,
    /// The incarnation that was known when the probe was sent.
    pub(crate) known: Incarnation,
    pub(crate) finding: ProbeFinding,
}

/// What a probe of a server found.
pub(crate) enum ProbeFinding {
    /// It answered.
    Answered(Box<ServerReport>),
    /// Its port is closed: the process has ended.
    Closed,
    /// It cannot be reached or does not answer: frozen, cut off, or gone with its host.
    Silent,
}
