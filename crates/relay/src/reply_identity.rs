//! Checks that an answer is the one that was asked for.

use derive_more::Display;
use derive_more::Error;
use fulmargate_names::EventKind;
use fulmargate_names::Incarnation;
use fulmargate_names::WeightsVersion;

/// What the headers of an answer say of itself; `None` for a header that is missing or cannot be
/// read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyIdentity<'a> {
    /// `x-request-id`.
    pub attempt_id: Option<&'a str>,
    /// `x-fulmargate-server`.
    pub server: Option<&'a str>,
    /// `x-incarnation`.
    pub incarnation: Option<Incarnation>,
    /// `x-weights-version`.
    pub weights: Option<WeightsVersion>,
}

/// What an attempt asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedReply<'a> {
    /// The attempt's id.
    pub attempt_id: &'a str,
    /// The server it was sent to.
    pub server: &'a str,
    /// The highest incarnation of that server that is known.
    pub incarnation: Incarnation,
    /// The weights that it must be answered with.
    pub weights: ExpectedWeights,
}

/// Which weights may answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedWeights {
    /// None: a plain service.
    Absent,
    /// These or newer ones: a request that has had no answer yet.
    AtLeast(WeightsVersion),
    /// These alone: a stream that has begun with them, or a request that asked for them.
    Exactly(WeightsVersion),
}

/// What an answer that may be used says beside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyNews {
    /// Nothing new.
    AsKnown,
    /// The server has restarted: its cache estimate is void.
    Restarted(Incarnation),
}

/// Why an answer must not be used. Its connection is closed and the attempt has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum IdentityFault {
    /// It does not say whose answer it is.
    #[display("the answer does not say what it belongs to")]
    Unidentified,
    /// It belongs to another attempt.
    #[display("the answer belongs to another attempt")]
    Crossed,
    /// Another server gave it.
    #[display("another server answered")]
    OtherServer,
    /// A process that has since been replaced gave it.
    #[display("an earlier incarnation of the server answered")]
    OlderIncarnation,
    /// Other weights made it.
    #[display("the answer was made with other weights")]
    OtherWeights,
}

impl IdentityFault {
    /// The event that is logged and counted.
    pub fn event_kind(self) -> EventKind {
        match self {
            IdentityFault::Unidentified | IdentityFault::Crossed | IdentityFault::OtherServer => {
                EventKind::CrossedAnswer
            }
            IdentityFault::OlderIncarnation | IdentityFault::OtherWeights => EventKind::StaleAnswer,
        }
    }
}

impl ExpectedReply<'_> {
    /// Judges an answer by its headers, before any byte of it is used.
    ///
    /// An answer can come late on a connection that has been used before, or from a host that took
    /// over the address of another one. The caller would get another request's text, or one from
    /// an outdated cache. Each answer names its attempt, server, incarnation and weights, so that
    /// the router's view when it sent the request need not be right.
    pub fn check(&self, reply: &ReplyIdentity<'_>) -> Result<ReplyNews, IdentityFault> {
        let attempt_id = reply.attempt_id.ok_or(IdentityFault::Unidentified)?;
        if attempt_id != self.attempt_id {
            return Err(IdentityFault::Crossed);
        }
        let server = reply.server.ok_or(IdentityFault::Unidentified)?;
        if server != self.server {
            return Err(IdentityFault::OtherServer);
        }
        let incarnation = reply.incarnation.ok_or(IdentityFault::Unidentified)?;
        if incarnation < self.incarnation {
            return Err(IdentityFault::OlderIncarnation);
        }
        self.weights.check(reply.weights)?;
        if self.incarnation < incarnation {
            return Ok(ReplyNews::Restarted(incarnation));
        }
        Ok(ReplyNews::AsKnown)
    }
}

impl ExpectedWeights {
    fn check(self, found: Option<WeightsVersion>) -> Result<(), IdentityFault> {
        let is_fit = match self {
            ExpectedWeights::Absent => return Ok(()),
            ExpectedWeights::AtLeast(oldest) => {
                oldest <= found.ok_or(IdentityFault::Unidentified)?
            }
            ExpectedWeights::Exactly(wanted) => {
                wanted == found.ok_or(IdentityFault::Unidentified)?
            }
        };
        if is_fit { Ok(()) } else { Err(IdentityFault::OtherWeights) }
    }
}
