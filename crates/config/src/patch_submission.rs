//! Submitting patches.

use derive_more::Display;
use fulmargate_names::ConfigVersion;
use fulmargate_names::LogOffset;
use fulmargate_names::ServerName;
use fulmargate_platform::Landing;
use fulmargate_platform::LogError;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::ConfigAnswer;
use crate::ConfigError;
use crate::ConfigKeeper;
use crate::ConfigRecord;
use crate::HistoryAnswer;
use crate::PatchRecord;
use crate::PatchVerdict;
use crate::ServerState;
use crate::config_keeper::KeeperShared;

/// What a submitted patch came to.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum SubmitOutcome {
    /// It made this version, which is in force at this router.
    #[display("accepted as version {version}")]
    Accepted {
        /// The version it made.
        version: ConfigVersion,
    },
    /// It was not made against the current version, and never will be accepted.
    #[display("not made against the current version {current}")]
    Stale {
        /// The version known here.
        current: ConfigVersion,
    },
    /// It cannot be applied, or its result is not a valid document.
    #[display("{error}")]
    Invalid {
        /// What is wrong.
        error: ConfigError,
    },
    /// The log is out, or records are missing: nothing was submitted, and nothing will be.
    #[display("the log is out of reach")]
    Unavailable,
    /// It may have been accepted, or may yet be; the history will tell by its id.
    #[display("submitted, but what became of it could not be read")]
    Unknown,
}

impl From<PatchVerdict> for SubmitOutcome {
    fn from(verdict: PatchVerdict) -> SubmitOutcome {
        match verdict {
            PatchVerdict::Accepted { version } => SubmitOutcome::Accepted { version },
            PatchVerdict::Stale { current } => SubmitOutcome::Stale { current },
            PatchVerdict::Invalid { error } => SubmitOutcome::Invalid { error },
        }
    }
}

impl ConfigKeeper {
    /// Submits a patch and waits for the log's verdict on it, until `deadline`. The same patch with
    /// the same id may be submitted again, here or at another router: it is accepted once.
    pub async fn submit(&self, mut patch: PatchRecord, deadline: Instant) -> SubmitOutcome {
        patch.id = bound_id(&patch);
        if let Some(outcome) = self.refuse_early(&patch, deadline).await {
            return outcome;
        }
        let awaited = AwaitedVerdict::new(&self.shared, &patch.id);
        let submission = PatchSubmission {
            shared: &self.shared,
            base: patch.base,
            data: ConfigRecord::Patch(patch).to_data(),
            awaited,
            deadline,
            landed: None,
            is_in_doubt: false,
        };
        submission.settle().await
    }

    /// Wants a backend server in a state, whatever the version: a stale base is tried again.
    pub async fn set_server_state(
        &self,
        server: &ServerName,
        wanted: ServerState,
        id: &str,
        author: &str,
        deadline: Instant,
    ) -> SubmitOutcome {
        for attempt in 1u32.. {
            let (version, found) = self.server_state(server);
            if found == Some(wanted) {
                return SubmitOutcome::Accepted { version };
            }
            let outcome = self
                .submit(
                    PatchRecord {
                        id: format!("{id}.{attempt}"),
                        base: version,
                        author: author.to_owned(),
                        patch: json!({ "servers": { server.as_str(): { "state": wanted } } }),
                    },
                    deadline,
                )
                .await;
            if !matches!(outcome, SubmitOutcome::Stale { .. }) || deadline <= Instant::now() {
                return outcome;
            }
        }
        SubmitOutcome::Unavailable
    }

    /// Reads the log to its end; what `answer` says next was in force at some moment since the
    /// call, whatever router accepted it.
    pub async fn confirm(&self) -> Result<(), LogError> {
        self.shared.read_to_end(None).await
    }

    /// The version in force here, with its document as the operators wrote it: version 0 if the log
    /// holds none yet, `None` while that is not known.
    pub fn answer(&self) -> Option<ConfigAnswer> {
        let state = self.shared.state.borrow();
        if !state.is_known() {
            return None;
        }
        let document = state.fold.value().clone();
        Some(ConfigAnswer { version: state.fold.version(), document })
    }

    /// What became of the newest patches.
    pub fn history(&self) -> HistoryAnswer {
        let state = self.shared.state.borrow();
        HistoryAnswer {
            version: state.fold.version(),
            history: state.fold.history().clone(),
            unreadable: state.fold.counts().unreadable,
        }
    }

    /// Whether records are missing, so that patches cannot be judged.
    pub fn has_gap(&self) -> bool {
        self.shared.state.borrow().fold.has_gap()
    }

    fn server_state(&self, server: &ServerName) -> (ConfigVersion, Option<ServerState>) {
        let state = self.shared.state.borrow();
        let document = state.fold.document();
        let entry = document.and_then(|document| document.servers.get(server));
        (state.fold.version(), entry.map(|entry| entry.state))
    }

    /// Refusals that need no record: the base is gone for good, or the patch fails against it.
    async fn refuse_early(&self, patch: &PatchRecord, deadline: Instant) -> Option<SubmitOutcome> {
        if let Some(verdict) = self.shared.state.borrow().verdict(&patch.id) {
            return Some(verdict.into());
        }
        let is_ahead = self.shared.state.borrow().fold.version() < patch.base;
        if is_ahead || self.has_gap() {
            // The operator may have a newer version from another router.
            let read = timeout_at(deadline, self.shared.read_to_end(None)).await;
            if !matches!(read, Ok(Ok(()))) || self.has_gap() {
                return Some(SubmitOutcome::Unavailable);
            }
        }
        let mut state = self.shared.state.borrow_mut();
        let current = state.fold.version();
        if patch.base != current {
            return Some(SubmitOutcome::Stale { current });
        }
        state.fold.check(&patch.patch).err().map(|error| SubmitOutcome::Invalid { error })
    }
}

/// The id with a hash of what it stands for. An operator's script may send the same id with each
/// of its patches; answered by id alone, the second would be called accepted because the first was.
fn bound_id(patch: &PatchRecord) -> String {
    let mut hash = Sha256::new();
    hash.update(patch.base.0.to_le_bytes());
    hash.update(patch.patch.to_string());
    let digest = hash.finalize();
    let bytes = digest.first_chunk().expect("a SHA-256 has 32 bytes");
    format!("{}-{:016x}", patch.id, u64::from_be_bytes(*bytes))
}

/// A patch on its way into the log.
struct PatchSubmission<'a> {
    shared: &'a KeeperShared,
    base: ConfigVersion,
    data: String,
    awaited: AwaitedVerdict<'a>,
    deadline: Instant,
    /// Where the log says the record is.
    landed: Option<LogOffset>,
    /// An append's answer was lost: the record may be in the log, or get there late.
    is_in_doubt: bool,
}

impl PatchSubmission<'_> {
    /// Appends, and reads back what became of it.
    ///
    /// After a lost answer the record may have landed, so it is looked for before it is appended
    /// again. A copy that comes late out of a slow connection does no harm: of two copies at most
    /// one finds its base current.
    async fn settle(mut self) -> SubmitOutcome {
        let mut pauses = self.shared.pauses();
        let mut may_append = true;
        loop {
            if may_append && self.landed.is_none() {
                self.append().await;
            }
            if self.landed.is_some() || self.is_in_doubt {
                may_append = match self.read_back().await {
                    ReadBack::Settled(outcome) => return outcome,
                    ReadBack::NotFound => true,
                    ReadBack::NotRead => false,
                };
            }
            let pause = pauses.next_pause();
            if self.deadline <= Instant::now() + pause {
                return self.give_up();
            }
            sleep(pause).await;
        }
    }

    async fn append(&mut self) {
        let id = self.awaited.id.as_str().into();
        let append = (self.shared.log.append)(id, self.data.as_str().into());
        match timeout_at(self.deadline, append).await {
            Ok(Ok(offset)) => self.landed = Some(offset),
            Ok(Err(error)) if error.landing() == Landing::Never => {}
            Ok(Err(_)) | Err(_) => self.is_in_doubt = true,
        }
    }

    async fn read_back(&self) -> ReadBack {
        let read = timeout_at(self.deadline, self.shared.read_to_end(self.landed)).await;
        let state = self.shared.state.borrow();
        if let Some(verdict) = state.verdict(&self.awaited.id) {
            return ReadBack::Settled(verdict.into());
        }
        if !matches!(read, Ok(Ok(()))) {
            return ReadBack::NotRead;
        }
        let current = state.fold.version();
        if state.fold.has_gap() || self.landed.is_some() {
            // Its record was lost to retention before it was read.
            return ReadBack::Settled(SubmitOutcome::Unknown);
        }
        if current != self.base {
            // Versions only grow: wherever a late copy lands, its base is no longer current.
            return ReadBack::Settled(SubmitOutcome::Stale { current });
        }
        ReadBack::NotFound
    }

    fn give_up(&self) -> SubmitOutcome {
        match self.landed.is_some() || self.is_in_doubt {
            true => SubmitOutcome::Unknown,
            false => SubmitOutcome::Unavailable,
        }
    }
}

enum ReadBack {
    /// What became of it is known, or never will be.
    Settled(SubmitOutcome),
    /// The log was read to its end, and the record is not in it.
    NotFound,
    /// The log could not be read.
    NotRead,
}

/// Keeps the verdict on one patch until the submission is over, or its future is dropped.
struct AwaitedVerdict<'a> {
    shared: &'a KeeperShared,
    id: String,
}

impl<'a> AwaitedVerdict<'a> {
    fn new(shared: &'a KeeperShared, id: &str) -> AwaitedVerdict<'a> {
        shared.state.borrow_mut().await_verdict(id);
        AwaitedVerdict { shared, id: id.to_owned() }
    }
}

impl Drop for AwaitedVerdict<'_> {
    fn drop(&mut self) {
        self.shared.state.borrow_mut().forget_verdict(&self.id);
    }
}
