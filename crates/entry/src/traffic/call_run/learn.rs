//! What the end of a send says of its server.

use std::sync::Arc;

use fulmargate_dispatch::SendEnd;
use fulmargate_dispatch::ServerEntry;
use fulmargate_names::WeightsVersion;
use tokio::time::Instant;

use crate::traffic::call_run::CallRun;
use crate::traffic::crash_check::CrashCheck;
use crate::traffic::send_attempt::SendFault;

impl CallRun {
    pub(super) fn exclude(&mut self, server: &Arc<ServerEntry>) {
        if !self.excluded.contains(&server.key()) {
            self.excluded.push(server.key());
        }
    }

    pub(super) fn learn(
        &self,
        fault: &SendFault,
        server: &Arc<ServerEntry>,
        sent: Option<WeightsVersion>,
    ) {
        let now = Instant::now();
        let key = server.key();
        let wanted =
            self.facts().model.as_ref().and_then(|model| {
                self.state.weights.load().target(model).map(|target| target.version)
            });
        match fault.end {
            SendEnd::NotSent | SendEnd::Unreachable => self.state.book().unreachable(key, now),
            SendEnd::Refused => match &self.facts().model {
                Some(model) => self.state.book().turned_away_prompt(key, model, wanted, now),
                None => self.state.book().turned_away(key, now),
            },
            SendEnd::OtherServer => self.state.book().forget(key),
            SendEnd::OtherWeights => {
                if let (Some(model), Some(sent)) = (&self.facts().model, sent) {
                    self.state.book().misjudged_weights(key, model, sent, wanted);
                }
            }
            SendEnd::TimedOut => self.state.book().failed(key, now),
            SendEnd::Broken => {
                self.state.book().failed(key, now);
                if self.failed.is_none() {
                    self.check_crash(server);
                }
            }
        }
    }

    /// A server that broke off and cannot be reached any more has crashed, maybe by this request.
    fn check_crash(&self, server: &Arc<ServerEntry>) {
        let check = CrashCheck {
            state: self.state.clone(),
            id: self.facts().id.clone(),
            print: self.facts().print,
            server: server.clone(),
        };
        tokio::task::spawn_local(check.run());
    }
}
