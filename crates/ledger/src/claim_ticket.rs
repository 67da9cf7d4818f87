//! The right to send a claimed call.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use crate::CallOutcome;
use crate::KeptBody;
use crate::KeyHash;
use crate::LedgerCommand;
use crate::RanOutcome;
use crate::RequestPrint;

/// The claim and the way back to its coordinator.
#[derive(Debug)]
struct TicketCore {
    key: KeyHash,
    number: u64,
    expires: Instant,
    body_limit: usize,
    commands: UnboundedSender<LedgerCommand>,
}

/// The right to send a claimed call, once; nothing was sent yet. Dropped, it releases the claim.
///
/// Sending and releasing both take the ticket, so neither can follow the other: another router may win the key as soon as the
/// release is out, and a call sent after that would run twice.
#[derive(Debug)]
pub struct ClaimTicket {
    core: Option<TicketCore>,
}

/// A claimed call that may have reached a backend server. Dropped, it says that the outcome is unknown.
#[derive(Debug)]
pub struct SentTicket {
    core: Option<TicketCore>,
}

/// Why a call that was under way has certainly not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunProof {
    /// The connection failed before the first byte of the request was written.
    NoByteLeft,
    /// The backend server itself says that it ran nothing.
    ServerRefusal,
}

impl ClaimTicket {
    pub(crate) fn new(
        key: KeyHash,
        number: u64,
        expires: Instant,
        body_limit: usize,
        commands: UnboundedSender<LedgerCommand>,
    ) -> ClaimTicket {
        ClaimTicket { core: Some(TicketCore { key, number, expires, body_limit, commands }) }
    }

    /// The claimed key.
    pub fn key(&self) -> KeyHash {
        self.core().key
    }

    /// The claimer's number of the claim in its stream.
    pub fn number(&self) -> u64 {
        self.core().number
    }

    /// To be called right before the request is written. Fails when the ticket has expired: a process that was frozen would
    /// send a call whose caller has gone long ago. It could not run twice, since the claim stands, but it would run late.
    pub fn begin_send(mut self, now: Instant) -> Result<SentTicket, ClaimTicket> {
        if self.core().expires <= now {
            return Err(self);
        }
        Ok(SentTicket { core: self.core.take() })
    }

    /// Gives the key back: the call was not sent and won't be.
    pub fn release(self) {
        drop(self);
    }

    fn core(&self) -> &TicketCore {
        self.core.as_ref().expect("a ticket is taken apart only when it is consumed")
    }
}

impl Drop for ClaimTicket {
    fn drop(&mut self) {
        if let Some(core) = self.core.take() {
            let release = LedgerCommand::Release { key: core.key, number: core.number };
            // The coordinator has ended: the process stops, and the claim stays burnt.
            let _ = core.commands.send(release);
        }
    }
}

impl SentTicket {
    /// The call has certainly not run: it may be sent to another server, or released.
    pub fn not_run(mut self, _proof: NotRunProof) -> ClaimTicket {
        ClaimTicket { core: self.core.take() }
    }

    /// A backend server answered. A small body is kept for re-sends.
    pub fn answered(mut self, status: u16, content_type: &str, body: &[u8]) {
        let keeps = self.core.as_ref().is_some_and(|core| body.len() <= core.body_limit);
        let digest = Some(RequestPrint::of(&[body]));
        let body = keeps.then(|| KeptBody {
            content_type: content_type.into(),
            base64: STANDARD.encode(body).into(),
        });
        self.close(CallOutcome::Ran(RanOutcome { status, digest, body }));
    }

    /// A backend server answered with a body that was passed on without being kept.
    pub fn answered_unkept(mut self, status: u16) {
        self.close(CallOutcome::Ran(RanOutcome { status, digest: None, body: None }));
    }

    /// The call may have run.
    pub fn unknown(self) {
        drop(self);
    }

    fn close(&mut self, outcome: CallOutcome) {
        if let Some(core) = self.core.take() {
            let command = LedgerCommand::Outcome { key: core.key, number: core.number, outcome };
            let _ = core.commands.send(command);
        }
    }
}

impl Drop for SentTicket {
    fn drop(&mut self) {
        self.close(CallOutcome::Unknown);
    }
}
