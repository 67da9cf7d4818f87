//! Another server for a stream whose own is silent.

use std::sync::Arc;

use derive_more::Display;
use fulmargate_dispatch::ServerEntry;
use fulmargate_names::EventKind;
use tokio::time::Instant;

use crate::traffic::answer::CallFailure;
use crate::traffic::call_run::CallRun;
use crate::traffic::call_run::ResumePoint;
use crate::traffic::channel::Channel;
use crate::traffic::send_attempt::ReadySend;

/// A send to another server, and why the silent one is left.
pub(crate) struct Successor {
    pub(crate) ready: ReadySend,
    pub(crate) reason: String,
}

/// Why a stream stays at its silent server.
#[derive(Debug, Display)]
enum KeepReason {
    #[display("it takes connections")]
    Reachable,
    #[display("no further attempt, or the budget of repeats is spent")]
    NoAttempt,
    #[display("no other server may go on with it: {_0}")]
    Nowhere(String),
    #[display("no connection to another server: {_0}")]
    Unconnected(String),
}

impl CallRun {
    /// Another server that can go on with the stream at once; none if the stream is better kept.
    ///
    /// A stream is left only for a connection that stands. When the entry host's own link was full, or
    /// no other engine ran the stream's weights, streams were given up for nobody: their callers saw
    /// them cut while their engines sent on. What is decided here can be carried out: the engine is
    /// taken, the connection is there and the repeat is paid for.
    pub(crate) async fn successor(
        &mut self,
        silent: &Arc<ServerEntry>,
        point: &ResumePoint,
    ) -> Option<Box<Successor>> {
        match self.find_successor(silent, point).await {
            Ok(successor) => Some(Box::new(successor)),
            Err(KeepReason::Reachable | KeepReason::NoAttempt) => None,
            Err(reason) => {
                self.tell_kept(silent, &reason);
                None
            }
        }
    }

    async fn find_successor(
        &mut self,
        silent: &Arc<ServerEntry>,
        point: &ResumePoint,
    ) -> Result<Successor, KeepReason> {
        if !self.may_go_elsewhere() {
            return Err(KeepReason::NoAttempt);
        }
        let Err(fault) = Channel::to_server(&self.state, silent).await else {
            return Err(KeepReason::Reachable);
        };
        let reason = format!("silent, and {fault}");
        self.exclude(silent);
        let nowhere = |failure: CallFailure| KeepReason::Nowhere(failure.detail);
        self.refuse_convicted().map_err(nowhere)?;
        self.readmit().map_err(nowhere)?;
        let plan = self.plan(point).await.map_err(nowhere)?;
        let plan = plan.filter(|plan| plan.server.key() != silent.key());
        let Some(plan) = plan else { return Err(KeepReason::Nowhere("none is left".to_owned())) };
        let (server, weights) = (plan.server.clone(), plan.weights);
        let ready = ReadySend::connect(plan).await.map_err(|fault| {
            self.learn(&fault, &server, weights);
            KeepReason::Unconnected(fault.reason)
        })?;
        // The route may have changed, and others may have spent the budget, since this was asked first.
        if !self.may_go_elsewhere() || !self.try_repeat() {
            return Err(KeepReason::NoAttempt);
        }
        Ok(Successor { ready, reason })
    }

    fn tell_kept(&self, server: &ServerEntry, reason: &KeepReason) {
        let kind = EventKind::StreamKept;
        if !self.state.lines.allows(kind, Instant::now()) {
            return;
        }
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.facts().id,
            server = %server.name,
            %reason,
            silent_ms = self.pace.last_event.map(|at| at.elapsed().as_millis() as u64),
        );
    }
}
