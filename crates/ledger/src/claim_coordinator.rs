//! The coordinator on the control thread.

use std::rc::Rc;

use tokio::sync::mpsc::unbounded_channel;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::ClaimHandle;
use crate::ClaimLog;
use crate::ClaimerId;
use crate::LedgerSettings;
use crate::LedgerSettingsError;
use crate::LedgerStats;
use crate::ShardCoordinator;
use crate::shard_driver::ShardDriver;

/// The coordinators of all shards, each a task of the control thread.
#[derive(Debug)]
pub struct ClaimCoordinator {
    tasks: Vec<JoinHandle<LedgerStats>>,
}

impl ClaimCoordinator {
    /// Starts a coordinator for each of `shards` streams, `claims-0` and on. It must be called on a thread that runs local tasks.
    ///
    /// `me` names this start of the router: its incarnation must be higher than that of the start before. When `cancel` is
    /// cancelled, each coordinator writes what it was handed, for at most two seconds, and ends.
    pub fn start(
        log: ClaimLog,
        settings: &LedgerSettings,
        shards: u32,
        me: &ClaimerId,
        cancel: &CancellationToken,
    ) -> Result<(ClaimCoordinator, ClaimHandle), LedgerSettingsError> {
        settings.check()?;
        let log = Rc::new(log);
        let mut senders = Vec::new();
        let mut tasks = Vec::new();
        for shard in 0..shards.max(1) {
            let (sender, receiver) = unbounded_channel();
            let coordinator =
                ShardCoordinator::new(me.clone(), settings.clone(), sender.clone(), Instant::now());
            let driver =
                ShardDriver::new(coordinator, Rc::clone(&log), format!("claims-{shard}"), receiver);
            tasks.push(spawn_local(driver.run(cancel.clone())));
            senders.push(sender);
        }
        Ok((ClaimCoordinator { tasks }, ClaimHandle::new(senders)))
    }

    /// Waits for the coordinators to end, and tells what each has done.
    pub async fn ended(self) -> Vec<LedgerStats> {
        let mut stats = Vec::new();
        for task in self.tasks {
            stats.extend(task.await);
        }
        stats
    }
}
