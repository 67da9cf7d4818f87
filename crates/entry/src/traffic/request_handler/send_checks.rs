//! Checks before a request is sent: crashes, configuration, retry budget.

use fulmargate_dispatch::PartStanding;
use fulmargate_names::ErrorKind;
use tokio::time::Instant;

use crate::telemetry::server_label;
use crate::traffic::request_decoder::KEY_NOT_VERIFIABLE;
use crate::traffic::request_decoder::admit;
use crate::traffic::request_failure::RequestFailure;
use crate::traffic::request_handler::RequestHandler;

impl RequestHandler {
    /// Rejects a request that is known to crash servers, including one that has just done so.
    pub(super) fn reject_crashing_request(&self) -> Result<(), RequestFailure> {
        let fingerprint = self.facts().fingerprint;
        let is_convicted = self.state.suspects().is_convicted(fingerprint, Instant::now());
        let has_convicted_part = matches!(self.part_standing(), PartStanding::Convicted(_));
        if is_convicted || has_convicted_part { Err(self.conviction()) } else { Ok(()) }
    }

    pub(super) fn conviction(&self) -> RequestFailure {
        let kind = match self.progress.may_have_run() {
            true => ErrorKind::OutcomeUnknown,
            false => ErrorKind::CrashingRequest,
        };
        let (label, key) = match self.part_standing() {
            PartStanding::Convicted(part) => (format!("part {part:032x}: "), part),
            _ => (String::new(), self.facts().fingerprint),
        };
        let crashed = self.state.suspects().crashed_servers(key);
        let servers: Vec<String> =
            crashed.into_iter().map(|server| server_label(&self.state, server)).collect();
        let detail =
            format!("{label}servers that crashed while they ran it: {}", servers.join(" "));
        self.failure(kind).with_detail(detail)
    }

    /// Authenticates and routes the request again if the configuration has changed since, so that changed routes and
    /// revoked keys take effect before the next send. The prompt, the deadline and the charge stay as decoded.
    pub(super) fn readmit(&mut self) -> Result<(), RequestFailure> {
        let current = self.state.table.load().as_ref().map(|table| table.version());
        if current == Some(self.decoded.table.version()) {
            let needs_key = self.decoded.table.needs_key(&self.facts().route);
            if needs_key && !self.state.admits_keys() {
                return Err(self
                    .failure(self.unverifiable_key_error())
                    .with_detail(KEY_NOT_VERIFIABLE.to_owned())
                    .with_connection_close());
            }
            return Ok(());
        }
        let admitted = admit(&self.state, &self.decoded.parts).map_err(|mut failure| {
            // The caller must not be told that a request was rejected if it may have been executed.
            if self.progress.may_have_run() {
                failure.kind = ErrorKind::OutcomeUnknown;
            }
            failure
        })?;
        self.decoded.facts.team = admitted.team.as_ref().map(|team| team.name.clone());
        self.decoded.facts.route = admitted.route;
        self.decoded.table = admitted.table;
        Ok(())
    }

    fn unverifiable_key_error(&self) -> ErrorKind {
        if self.progress.may_have_run() { ErrorKind::OutcomeUnknown } else { ErrorKind::NotReady }
    }

    /// Checks that the retry budget allows another send, before capacity is reserved for it.
    pub(super) fn check_retry_budget(&mut self) -> Result<(), RequestFailure> {
        let Some(service) = self.service() else {
            return Err(self.failure(ErrorKind::NoServer));
        };
        let now = Instant::now();
        if self.progress.sends() == 0 && !self.is_counted {
            self.state.retry_budget().record_first_send(&service, now);
        }
        if self.progress.arrivals() == 0 || self.state.retry_budget().allows_retry(&service, now) {
            return Ok(());
        }
        Err(self.retry_budget_exhausted())
    }

    /// Consumes a retry from the budget if an earlier send may have reached a server; false if none is left.
    ///
    /// Called once the connection is open: failed connections put no load on servers and must not use up the
    /// budget.
    pub(super) fn consume_retry(&self) -> bool {
        self.progress.arrivals() == 0 || self.try_consume_retry()
    }

    pub(super) fn try_consume_retry(&self) -> bool {
        let consume = |service| self.state.retry_budget().try_retry(&service, Instant::now());
        self.service().is_some_and(consume)
    }

    pub(super) fn retry_budget_exhausted(&self) -> RequestFailure {
        let failure = self.failure(self.progress.failure());
        failure.with_detail("the budget of repeats is spent".to_owned())
    }

    /// Returns whether the request may be sent to another server while its current server has not finished.
    pub(crate) fn may_fail_over(&self) -> bool {
        let has_retry = |service| self.state.retry_budget().allows_retry(&service, Instant::now());
        self.progress.may_fail_over(&self.facts().route) && self.service().is_some_and(has_retry)
    }
}
