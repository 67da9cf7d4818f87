//! Keeps a router's configuration in step with the log and with its peers.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use fulmargate_names::ConfigVersion;
use fulmargate_names::EventKind;
use fulmargate_names::LogOffset;
use fulmargate_platform::LogError;
use fulmargate_platform::PausePlan;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use crate::BatchOutcome;
use crate::ConfigRecord;
use crate::KeeperSettings;
use crate::LogAccess;
use crate::PublishedConfig;
use crate::ReaderRole;
use crate::RecordBatch;
use crate::keeper_state::KeeperState;

/// Keeps a router's configuration on the control thread. Clones share the same state.
#[derive(Clone, Debug)]
pub struct ConfigKeeper {
    pub(crate) shared: Rc<KeeperShared>,
}

#[derive(Debug)]
pub(crate) struct KeeperShared {
    pub(crate) log: LogAccess,
    pub(crate) settings: KeeperSettings,
    pub(crate) state: RefCell<KeeperState>,
    published: watch::Sender<PublishedConfig>,
    role: watch::Sender<ReaderRole>,
    /// Wakes the loops of `run` when what they wait for may have changed.
    changed: watch::Sender<()>,
    /// Names this router's incarnation.
    writer: Box<str>,
    /// Pause plans made so far.
    plans: Cell<u64>,
}

impl ConfigKeeper {
    /// Creates a keeper without a configuration. `writer` names this router's incarnation: it stands in the
    /// ids of the snapshots that it writes, and sets its pauses apart from those of others.
    pub fn new(
        writer: &str,
        log: LogAccess,
        settings: KeeperSettings,
        role: ReaderRole,
    ) -> ConfigKeeper {
        let shared = KeeperShared {
            log,
            settings,
            state: RefCell::new(KeeperState::new(role, Instant::now())),
            published: watch::Sender::new(PublishedConfig::default()),
            role: watch::Sender::new(role),
            changed: watch::Sender::new(()),
            writer: writer.into(),
            plans: Cell::new(0),
        };
        ConfigKeeper { shared: Rc::new(shared) }
    }

    /// The configuration in force, now and as it changes.
    pub fn subscribe(&self) -> watch::Receiver<PublishedConfig> {
        self.shared.published.subscribe()
    }

    /// Who reads the log has changed.
    pub fn set_role(&self, role: ReaderRole) {
        self.shared.state.borrow_mut().set_role(role, Instant::now());
        self.shared.role.send_if_modified(|current| std::mem::replace(current, role) != role);
        self.shared.changed.send_replace(());
    }

    /// A peer reported its active version; 0 if none. If it is newer than this router's, its
    /// `records_from(wanted_offset())` is wanted here.
    pub fn hear_version(&self, version: ConfigVersion) {
        self.shared.state.borrow_mut().hear(version, Instant::now());
        self.shared.after_change();
    }

    /// This process did not run for a while.
    pub fn note_pause(&self) {
        self.shared.state.borrow_mut().note_break();
    }

    /// A peer sent records, asked for or not.
    pub fn offer_records(&self, batch: RecordBatch) -> BatchOutcome {
        let mut state = self.shared.state.borrow_mut();
        let outcome = state.take_batch(batch, &self.shared.settings, Instant::now());
        drop(state);
        self.shared.after_change();
        outcome
    }

    /// What a peer that wants the records from `from` on is sent.
    pub fn records_from(&self, from: LogOffset) -> RecordBatch {
        self.shared.state.borrow().batch_from(from)
    }

    /// From where this router wants a peer's records.
    pub fn wanted_offset(&self) -> LogOffset {
        self.shared.state.borrow().wanted_offset()
    }

    /// Follows the log and renews snapshots until it is cancelled.
    pub async fn run(&self, cancel: CancellationToken) {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = self.follow() => {}
            () = self.renew_snapshots() => {}
            () = self.settle() => {}
        }
    }

    /// What waits for the end of the first moments is published then, though nothing new comes.
    async fn settle(&self) {
        let settled_at = self.shared.state.borrow().settled_at(&self.shared.settings);
        sleep_until(settled_at).await;
        self.shared.after_change();
        std::future::pending::<()>().await;
    }

    async fn follow(&self) {
        let mut pauses = self.shared.pauses();
        let mut role = self.shared.role.subscribe();
        loop {
            let current = *role.borrow_and_update();
            let step = async {
                match current {
                    ReaderRole::Direct { .. } => self.tail_once(&mut pauses).await,
                    ReaderRole::Follower => self.mind_peers().await,
                }
            };
            tokio::select! {
                () = step => {}
                _ = role.changed() => {}
            }
        }
    }

    async fn tail_once(&self, pauses: &mut PausePlan) {
        let wait = match self.shared.state.borrow().is_live() {
            true => self.shared.settings.read_wait,
            false => Duration::ZERO,
        };
        match self.shared.read_page(wait).await {
            Ok(_) => pauses.reset(),
            Err(_) => sleep(pauses.next_pause()).await,
        }
    }

    /// Waits until peers have failed to bring what is new, then reads the log to its end.
    async fn mind_peers(&self) {
        let mut changed = self.shared.changed.subscribe();
        let fallback_at = self.shared.state.borrow().fallback_at(&self.shared.settings);
        tokio::select! {
            () = sleep_until(fallback_at) => {
                // A failure is as good as a success here: the next try is a limit away.
                let _ = self.shared.read_to_end(None).await;
                self.shared.state.borrow_mut().note_fallback(Instant::now());
            }
            _ = changed.changed() => {}
        }
    }

    async fn renew_snapshots(&self) {
        let mut changed = self.shared.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let due = self.shared.state.borrow().snapshot_due(&self.shared.settings);
            let Some(due) = due else {
                let _ = changed.changed().await;
                continue;
            };
            tokio::select! {
                () = sleep_until(due) => self.write_snapshot().await,
                _ = changed.changed() => {}
            }
        }
    }

    /// A lost answer needs no settling: the tail sees the snapshot, or it is written again.
    async fn write_snapshot(&self) {
        let snapshot = {
            let mut state = self.shared.state.borrow_mut();
            state.clock.note_try(Instant::now());
            state.fold.snapshot()
        };
        let covers = snapshot.covers_offset;
        let id = format!("snapshot-{}-{covers}", self.shared.writer);
        let data = ConfigRecord::Snapshot(snapshot).to_data();
        let bytes = data.len();
        if (self.shared.log.append)(id.into(), data.into()).await.is_ok() {
            self.shared.state.borrow_mut().clock.see_snapshot(Instant::now());
            let kind = EventKind::SnapshotWritten;
            tracing::info!(event = kind.number(), name = kind.name(), %covers, bytes);
        }
    }
}

impl KeeperShared {
    pub(crate) fn pauses(&self) -> PausePlan {
        let plan = self.plans.get();
        self.plans.set(plan + 1);
        let seed =
            self.writer.bytes().fold(plan, |seed, byte| seed.rotate_left(7) ^ u64::from(byte));
        PausePlan::new(self.settings.shortest_pause, self.settings.longest_pause, seed)
    }

    /// Reads on from the wanted offset; gives how many records came.
    async fn read_page(&self, wait: Duration) -> Result<usize, LogError> {
        let from = self.state.borrow().fold.next_offset();
        let read = (self.log.read)(from, self.settings.page_records, wait).await;
        let page = read.inspect_err(|_| self.state.borrow_mut().note_break())?;
        let count = page.records.len();
        self.state.borrow_mut().take_page(page, &self.settings, Instant::now());
        self.after_change();
        // A log that answers at once with what was not asked for must not be asked without pause.
        if 0 < count && self.state.borrow().fold.next_offset() <= from {
            return Err(LogError::Unreadable { status: 200 });
        }
        Ok(count)
    }

    /// Reads on until the record at `last` was read, or else to the end of the stream.
    pub(crate) async fn read_to_end(&self, last: Option<LogOffset>) -> Result<(), LogError> {
        loop {
            let next = self.state.borrow().fold.next_offset();
            if last.is_some_and(|last| last < next) {
                return Ok(());
            }
            if self.read_page(Duration::ZERO).await? == 0 {
                return Ok(());
            }
        }
    }

    /// Publishes what may come into force, and wakes the loops.
    pub(crate) fn after_change(&self) {
        let published = self.state.borrow_mut().publish(&self.settings, Instant::now());
        if let Some(published) = published {
            self.published.send_replace(published);
        }
        self.changed.send_replace(());
    }
}
