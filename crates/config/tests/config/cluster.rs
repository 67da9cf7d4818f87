//! Keepers of several hosts over one log, with links between them that can be cut.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use fulmargate_config::BatchOutcome;
use fulmargate_config::ConfigFold;
use fulmargate_config::ConfigKeeper;
use fulmargate_config::KeeperSettings;
use fulmargate_config::PatchRecord;
use fulmargate_config::ReaderRole;
use fulmargate_config::RecordBatch;
use fulmargate_config::SubmitOutcome;
use fulmargate_names::ConfigVersion;
use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::common;
use crate::fake_log::FakeLog;
use crate::fake_log::LogLink;

/// How often peers tell each other their versions.
const GOSSIP: Duration = Duration::from_millis(20);
pub(crate) const SECOND: Duration = Duration::from_secs(1);
pub(crate) const RETENTION: Duration = Duration::from_secs(60);

/// One entry host.
pub(crate) struct HostRig {
    pub(crate) keeper: ConfigKeeper,
    pub(crate) link: Rc<LogLink>,
    /// Hosts with equal numbers reach each other.
    pub(crate) side: Cell<u32>,
    token: CancellationToken,
    /// Versions in the order in which they were published.
    pub(crate) published: Rc<RefCell<Vec<ConfigVersion>>>,
}

/// The hosts and their log.
pub(crate) struct Cluster {
    pub(crate) log: Rc<FakeLog>,
    pub(crate) hosts: RefCell<Vec<Rc<HostRig>>>,
    /// All that ever started.
    pub(crate) incarnations: RefCell<Vec<Rc<HostRig>>>,
}

impl Cluster {
    /// The first `readers` hosts read the log, the others follow them.
    pub(crate) fn start(hosts: usize, readers: usize) -> Rc<Cluster> {
        let log = FakeLog::new(RETENTION);
        let cluster =
            Rc::new(Cluster { log, hosts: RefCell::default(), incarnations: RefCell::default() });
        for index in 0..hosts {
            let rig = cluster.new_host(role_of(index, readers));
            cluster.hosts.borrow_mut().push(rig);
        }
        let gossip = Rc::clone(&cluster);
        tokio::task::spawn_local(async move {
            loop {
                sleep(GOSSIP).await;
                gossip.exchange();
            }
        });
        cluster
    }

    /// A cluster whose first version is the sample.
    pub(crate) async fn seeded(hosts: usize, readers: usize) -> Rc<Cluster> {
        let cluster = Cluster::start(hosts, readers);
        let outcome = cluster.submit(0, "seed", 0, common::sample()).await;
        assert_eq!(outcome, SubmitOutcome::Accepted { version: ConfigVersion(1) });
        sleep(Duration::from_secs(1)).await;
        cluster
    }

    pub(crate) fn host(&self, index: usize) -> Rc<HostRig> {
        Rc::clone(&self.hosts.borrow()[index])
    }

    pub(crate) fn settings() -> KeeperSettings {
        KeeperSettings { retention: RETENTION, ..KeeperSettings::default() }
    }

    pub(crate) fn new_host(&self, role: ReaderRole) -> Rc<HostRig> {
        let link = LogLink::new(&self.log);
        let writer = format!("w{}", self.incarnations.borrow().len());
        let keeper = ConfigKeeper::new(&writer, link.access(), Cluster::settings(), role);
        let token = CancellationToken::new();
        let published = Rc::new(RefCell::new(Vec::new()));
        tokio::task::spawn_local({
            let (keeper, token) = (keeper.clone(), token.clone());
            async move { keeper.run(token).await }
        });
        tokio::task::spawn_local({
            let (mut updates, token) = (keeper.subscribe(), token.clone());
            let published = Rc::clone(&published);
            async move {
                while !token.is_cancelled() && updates.changed().await.is_ok() {
                    let version = updates.borrow_and_update().version;
                    published.borrow_mut().push(version);
                }
            }
        });
        let rig = Rc::new(HostRig { keeper, link, side: Cell::new(0), token, published });
        self.incarnations.borrow_mut().push(Rc::clone(&rig));
        rig
    }

    /// Stops a host for good, without notice.
    pub(crate) fn stop(&self, index: usize) {
        let host = self.host(index);
        host.token.cancel();
        host.side.set(u32::MAX);
        host.link.is_cut.set(true);
    }

    /// Replaces a host by a new one with the same links.
    pub(crate) fn restart(&self, index: usize, role: ReaderRole) {
        let old = self.host(index);
        old.token.cancel();
        let rig = self.new_host(role);
        rig.side.set(old.side.get());
        rig.link.is_cut.set(old.link.is_cut.get());
        self.hosts.borrow_mut()[index] = rig;
    }

    /// Each host tells each it reaches its version; who is behind asks for records.
    fn exchange(&self) {
        let hosts = self.hosts.borrow().clone();
        let pairs: Vec<(&Rc<HostRig>, &Rc<HostRig>)> = hosts
            .iter()
            .flat_map(|from| hosts.iter().map(move |to| (from, to)))
            .filter(|(from, to)| !Rc::ptr_eq(from, to) && from.side.get() == to.side.get())
            .filter(|(from, _)| from.side.get() != u32::MAX)
            .collect();
        for (from, to) in &pairs {
            to.keeper.hear_version(from.version());
        }
        for (from, to) in &pairs {
            if to.version() < from.version() || to.keeper.has_gap() {
                let batch = from.keeper.records_from(to.keeper.wanted_offset());
                let batch = RecordBatch::from_bytes(&batch.to_bytes()).expect("it was written");
                assert_ne!(to.keeper.offer_records(batch), BatchOutcome::Missing);
            }
        }
    }

    pub(crate) async fn submit(
        &self,
        host: usize,
        id: &str,
        base: u64,
        patch: Value,
    ) -> SubmitOutcome {
        let record = PatchRecord {
            id: id.to_owned(),
            base: ConfigVersion(base),
            author: format!("operator {host}"),
            patch,
        };
        let deadline = Instant::now() + Duration::from_secs(3);
        let keeper = self.host(host).keeper.clone();
        keeper.submit(record, deadline).await
    }

    /// Version and mark that the log's records come to, and the ids that made the versions.
    pub(crate) fn truth(&self) -> (ConfigFold, Vec<String>) {
        let mut fold = ConfigFold::new();
        let mut winners = Vec::new();
        for record in self.log.records() {
            let before = fold.version();
            fold.apply(&record).expect("offsets have no gaps");
            if before < fold.version() {
                winners.push(record.id);
            }
        }
        (fold, winners)
    }

    /// Every live host has the configuration that the log folds to.
    pub(crate) fn assert_converged(&self) {
        let (fold, _) = self.truth();
        for (index, host) in self.hosts.borrow().iter().enumerate() {
            if host.token.is_cancelled() {
                continue;
            }
            assert_eq!(host.version(), fold.version(), "host {index}");
            let answer = host.keeper.answer().expect("a version is in force");
            assert_eq!(answer.document, *fold.value(), "host {index}");
        }
    }
}

impl HostRig {
    /// The version in force.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.keeper.subscribe().borrow().version
    }
}

/// The role of a host when the first `readers` hosts read.
pub(crate) fn role_of(index: usize, readers: usize) -> ReaderRole {
    match index < readers {
        true => ReaderRole::Direct { rank: index as u32 },
        false => ReaderRole::Follower,
    }
}

pub(crate) fn accepted(version: u64) -> SubmitOutcome {
    SubmitOutcome::Accepted { version: ConfigVersion(version) }
}

/// Runs a test on one thread with its time paused.
pub(crate) fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}
