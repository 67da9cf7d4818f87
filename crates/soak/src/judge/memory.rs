//! Memory of routers.

use crate::Promise;
use crate::judge::SoakJudge;

impl SoakJudge<'_> {
    /// No router takes more memory than its settings allow.
    pub(super) fn judge_memory(&mut self) {
        for excess in &self.evidence.excesses {
            let at = self.since_start(excess.at);
            let detail = format!("router {}: {} MB at {at:?}", excess.router, excess.megabytes);
            self.note(Promise::Memory, detail);
        }
    }
}
