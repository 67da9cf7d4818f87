//! Requests that are suspected of crashing servers.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::PartStanding;
use fulmargate_dispatch::RunStep;
use fulmargate_dispatch::SendOutcome;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::SuspectKind;
use fulmargate_names::EventKind;
use fulmargate_names::SoftwareVersion;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::state::boot_now;
use crate::traffic::crash_check::check_server;
use crate::traffic::request_failure::RequestFailure;
use crate::traffic::request_handler::RequestHandler;
use crate::traffic::suspect_run::SuspectTurn;
use crate::traffic::upstream_response::ResponseOrigin;

/// `Retry-After` of a request that waited in vain: about the time in which a check of a server ends.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Pause before another server is claimed in place of one that can't take the request.
const GIVEN_UP_TURN_DELAY: Duration = Duration::from_millis(20);

impl RequestHandler {
    /// Waits while the request is suspected and must not run. Fails if it is convicted, or if its time is over.
    pub(super) async fn wait_for_turn(&mut self) -> Result<(), RequestFailure> {
        let mut is_waiting = false;
        loop {
            let wait = match self.begin_turn()? {
                RunStep::Run => {
                    self.turn_server = None;
                    return Ok(());
                }
                RunStep::RunAt(server) => {
                    self.turn_server = Some(server);
                    return Ok(());
                }
                RunStep::Convicted => return Err(self.conviction()),
                RunStep::Wait(wait) => wait,
            };
            if self.facts().deadline <= Instant::now() + wait {
                let detail = "suspected of crashing servers, and none to run it apart".to_owned();
                let failure = self.failure(self.progress.timeout()).with_detail(detail);
                return Err(match self.progress.may_have_run() {
                    true => failure,
                    false => failure.with_retry_delay(SUSPECT_RETRY_DELAY),
                });
            }
            if !std::mem::replace(&mut is_waiting, true) {
                self.log_suspect_waits();
            }
            sleep(wait).await;
            self.readmit()?;
        }
    }

    /// Whether the request may be sent on a connection to this server. What was found out since it was planned counts.
    pub(super) fn may_send_now(&mut self, server: &ServerEntry) -> Result<bool, RequestFailure> {
        self.reject_crashing_request()?;
        let is_suspected = self.is_request_suspected();
        let is_held_back = self.state.suspects().is_held_back(self.facts().fingerprint);
        let step = match (self.part_standing(), &self.turn) {
            (PartStanding::Convicted(_), _) => RunStep::Convicted,
            // The request's own crashes count beside those of the part that it tries.
            (PartStanding::Tried(_), _) if is_held_back => return Ok(false),
            (PartStanding::Tried(part), Some(turn)) if turn.is_of(SuspectKind::Part, part) => {
                turn.step_at(server.key())
            }
            (PartStanding::Tried(_), _) => return Ok(false),
            (PartStanding::Clear, Some(turn)) if !turn.is_trial() => turn.step_at(server.key()),
            (PartStanding::Clear, _) if is_suspected => return Ok(false),
            (PartStanding::Clear, _) => RunStep::Run,
        };
        match step {
            RunStep::Run | RunStep::RunAt(_) => Ok(true),
            RunStep::Convicted => Err(self.conviction()),
            RunStep::Wait(_) => Ok(false),
        }
    }

    /// Ends a turn at a server that can't take the request. Fails if there is no other.
    pub(super) async fn give_up_turn(&mut self, server: ServerKey) -> Result<(), RequestFailure> {
        self.log_turn_given_up(server);
        self.turn = None;
        self.turn_server = None;
        self.excluded_servers.push(server);
        if self.turn_candidates(&self.excluded_servers).is_empty() {
            return Err(self.failure(self.progress.failure()));
        }
        sleep(GIVEN_UP_TURN_DELAY).await;
        Ok(())
    }

    /// Whether a crash counts against the request, or a part of its prompt is tried or convicted.
    pub(super) fn is_suspected(&self) -> bool {
        self.is_request_suspected() || self.part_standing() != PartStanding::Clear
    }

    fn is_request_suspected(&self) -> bool {
        self.state.suspects().is_suspected(self.facts().fingerprint)
    }

    /// A trial of a part stands for the turn of the request: all requests with the part take it.
    fn begin_turn(&mut self) -> Result<RunStep, RequestFailure> {
        let fingerprint = self.facts().fingerprint;
        let (kind, key) = match self.part_standing() {
            PartStanding::Convicted(_) => return Ok(RunStep::Convicted),
            PartStanding::Tried(part) => (SuspectKind::Part, part),
            PartStanding::Clear if self.is_request_suspected() => {
                (SuspectKind::Request, fingerprint)
            }
            PartStanding::Clear => {
                self.turn = None;
                return Ok(RunStep::Run);
            }
        };
        if kind == SuspectKind::Part && self.state.suspects().is_held_back(fingerprint) {
            return Ok(RunStep::Wait(GIVEN_UP_TURN_DELAY));
        }
        let mut servers = self.turn_candidates(&self.excluded_servers);
        if servers.is_empty() {
            servers = self.turn_candidates(&[]);
        }
        if self.turn.as_ref().is_some_and(|turn| turn.is_of(kind, key)) {
            return Ok(self.turn.as_ref().map_or(RunStep::Run, |turn| turn.step(&servers)));
        }
        let turn = match kind {
            SuspectKind::Request => SuspectTurn::of_request(self.state.clone(), key),
            SuspectKind::Part => {
                let turn = SuspectTurn::of_part(self.state.clone(), key);
                turn.ok_or_else(|| self.too_many_trials())?
            }
        };
        let step = turn.step(&servers);
        self.turn = Some(turn);
        self.state.crash_evidence_change.notify_one();
        Ok(step)
    }

    fn too_many_trials(&self) -> RequestFailure {
        let failure = self.failure(self.progress.timeout());
        let failure = failure
            .with_detail("too many requests wait for a trial of a part of the prompt".to_owned());
        match self.progress.may_have_run() {
            true => failure,
            false => failure.with_retry_delay(SUSPECT_RETRY_DELAY),
        }
    }

    /// Servers that the request may be sent to. A stream that has begun goes on at its software version only.
    fn turn_candidates(&self, excluded: &[ServerKey]) -> Vec<ServerKey> {
        let Some(service) = self.service() else { return Vec::new() };
        let servers = self.state.servers();
        let of_other_versions =
            servers.excluded_by_version(&service, self.facts(), self.origin, boot_now());
        let excluded = [excluded, &of_other_versions].concat();
        servers.run_candidates(&service, &excluded, Instant::now())
    }

    fn log_suspect_waits(&self) {
        let kind = EventKind::SuspectWaits;
        if !self.state.log_limiter.allows(kind, Instant::now()) {
            return;
        }
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.facts().id,
            part = self.tried_part().map(|part| format!("{part:032x}")),
            candidates = self.turn_candidates(&self.excluded_servers).len(),
        );
    }

    fn log_turn_given_up(&self, server: ServerKey) {
        let kind = EventKind::TurnGivenUp;
        if !self.state.log_limiter.allows(kind, Instant::now()) {
            return;
        }
        let entry = self.state.servers().state(server).map(|state| state.entry().clone());
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.facts().id,
            server = entry.as_ref().map(|entry| entry.name.as_str()),
            version = entry.as_ref().and_then(|entry| entry.version.as_ref()).map(SoftwareVersion::as_str),
        );
    }

    /// Logs that a suspected request goes to a server.
    pub(super) fn log_suspect_sent(&self, server: &ServerEntry) {
        let kind = EventKind::SuspectSent;
        let fingerprint = self.facts().fingerprint;
        let now = Instant::now();
        if !self.is_suspected() || !self.state.log_limiter.allows(kind, now) {
            return;
        }
        let (crashes, others) = {
            let suspects = self.state.suspects();
            let others = suspects.suspects_running_at(server.key(), fingerprint, now);
            (suspects.crash_count(fingerprint, now), others)
        };
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.facts().id,
            print = format!("{fingerprint:032x}"),
            server = %server.name,
            crashes,
            others,
            part = self.tried_part().map(|part| format!("{part:032x}")),
        );
    }

    /// Ends the run after a failed send. If its server may have crashed, that is checked before the request is sent
    /// again.
    pub(super) async fn end_failed_run(&mut self, outcome: SendOutcome, server: &Arc<ServerEntry>) {
        let run = self.run.take();
        match outcome {
            SendOutcome::Refused | SendOutcome::OtherServer | SendOutcome::OtherWeights => {
                if let Some(run) = run {
                    run.answered();
                }
                return;
            }
            // An answer that is whole ends its run.
            SendOutcome::Broken | SendOutcome::Unreachable if run.is_none() => return,
            // Servers that are only slow are not tried for it.
            SendOutcome::TimedOut => return,
            SendOutcome::NotSent
                if !self.state.suspects().has_runs_at(server.key(), Instant::now()) =>
            {
                return;
            }
            SendOutcome::NotSent | SendOutcome::Broken | SendOutcome::Unreachable => {}
        }
        drop(run);
        check_server(&self.state, &self.facts().id, server, self.timing.last_event).await;
        if let Some(turn) = &self.turn {
            turn.release();
        }
        self.turn_server = None;
    }

    /// Clears the request of the crashes that are known here.
    pub(super) fn clear_suspicion(&self, origin: &ResponseOrigin) {
        let fingerprint = self.facts().fingerprint;
        let crashes = self.state.suspects().clear(fingerprint, Instant::now());
        if crashes == 0 {
            return;
        }
        self.state.fleet_record_change.notify_one();
        let kind = EventKind::RequestCleared;
        if self.state.log_limiter.allows(kind, Instant::now()) {
            tracing::info!(
                event = kind.number(),
                name = kind.name(),
                id = %self.facts().id,
                print = format!("{fingerprint:032x}"),
                server = origin.server().map(|server| server.name.as_str()),
                crashes,
            );
        }
    }
}
