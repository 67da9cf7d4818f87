//! Operators who race with patches, and a watch on the versions in force.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use awc::Client;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

const LOOK_EVERY: Duration = Duration::from_millis(100);
const PATCH_EVERY: Duration = Duration::from_millis(400);
const ANSWER_WITHIN: Duration = Duration::from_secs(5);
const ANSWER_LIMIT: usize = 4 << 20;

/// What the watch has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ConfigCounts {
    /// Patches that were said to be accepted.
    pub accepted: usize,
    /// Patches refused as stale: the other operator was first.
    pub stale: usize,
    /// Patches with any other answer.
    pub others: usize,
    /// Two patches accepted as the same version.
    pub two_winners: usize,
    /// Times a router had a lower version in force than it, or another accepted answer of it, had
    /// shown before.
    pub reversions: usize,
    /// Looks that got an answer.
    pub looks: usize,
    /// Highest version seen.
    pub version: u64,
}

#[derive(Deserialize)]
struct VersionBody {
    version: u64,
}

/// Patches and looks at the routers' operator listeners until cancelled.
pub struct ConfigWatch {
    client: Client,
    operators: Vec<String>,
    key: String,
    team: String,
    seen: RefCell<Vec<u64>>,
    accepted: RefCell<Vec<u64>>,
    counts: Cell<ConfigCounts>,
}

impl ConfigWatch {
    /// A watch on these operator listeners; patches change a limit of the team.
    pub fn new(operators: Vec<String>, key: &str, team: &str) -> ConfigWatch {
        ConfigWatch {
            client: Client::builder().timeout(ANSWER_WITHIN).finish(),
            seen: RefCell::new(vec![0; operators.len()]),
            operators,
            key: key.to_owned(),
            team: team.to_owned(),
            accepted: RefCell::new(Vec::new()),
            counts: Cell::new(ConfigCounts::default()),
        }
    }

    /// What was counted so far.
    pub fn counts(&self) -> ConfigCounts {
        self.counts.get()
    }

    /// Two operators race and one watches, until cancelled.
    pub async fn run(&self, stop: &CancellationToken) {
        let work = async { tokio::join!(self.patch_on(0), self.patch_on(1), self.look_on()) };
        stop.run_until_cancelled(work).await;
    }

    async fn look_on(&self) {
        loop {
            for router in 0..self.operators.len() {
                self.look(router).await;
            }
            sleep(LOOK_EVERY).await;
        }
    }

    /// Looks at one router. A router that cannot answer is no reversion; one that was restarted and
    /// shows an older version is, unless it shows none yet.
    async fn look(&self, router: usize) {
        let Some(version) = self.version_at(router).await else { return };
        let mut seen = self.seen.borrow_mut();
        let is_reversion = version < seen[router];
        seen[router] = seen[router].max(version);
        self.count(|counts| {
            counts.looks += 1;
            counts.reversions += usize::from(is_reversion);
            counts.version = counts.version.max(version);
        });
    }

    async fn version_at(&self, router: usize) -> Option<u64> {
        let url = format!("http://{}/config", self.operators[router]);
        let mut answer = self.client.get(url).bearer_auth(&self.key).send().await.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let body: VersionBody = answer.json().limit(ANSWER_LIMIT).await.ok()?;
        (0 < body.version).then_some(body.version)
    }

    async fn patch_on(&self, operator: usize) {
        for turn in operator.. {
            self.patch(turn % self.operators.len(), turn).await;
            sleep(PATCH_EVERY).await;
        }
    }

    async fn patch(&self, router: usize, turn: usize) {
        let Some(base) = self.version_at(router).await else { return };
        let patch =
            json!({ "teams": { self.team.as_str(): { "requests_per_s": 400 + turn % 50 } } });
        let url = format!("http://{}/config", self.operators[router]);
        let request = self.client.patch(url).bearer_auth(&self.key);
        let request = request
            .insert_header(("if-match", format!("\"{base}\"")))
            .insert_header(("content-type", "application/merge-patch+json"));
        let Ok(mut answer) = request.send_body(patch.to_string()).await else {
            self.count(|counts| counts.others += 1);
            return;
        };
        match answer.status().as_u16() {
            200 => {
                let body: Option<VersionBody> = answer.json().await.ok();
                body.into_iter().for_each(|body| self.note_accepted(body.version));
            }
            412 => self.count(|counts| counts.stale += 1),
            _ => self.count(|counts| counts.others += 1),
        }
    }

    fn note_accepted(&self, version: u64) {
        let mut accepted = self.accepted.borrow_mut();
        let is_second = accepted.contains(&version);
        accepted.push(version);
        self.count(|counts| {
            counts.accepted += 1;
            counts.two_winners += usize::from(is_second);
        });
    }

    fn count(&self, change: impl FnOnce(&mut ConfigCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}
