//! Snapshots are renewed in time, and starts and gaps find them.

use fulmargate_config::ReaderRole;
use fulmargate_names::ConfigVersion;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::RETENTION;
use crate::cluster::SECOND;
use crate::cluster::accepted;
use crate::cluster::role_of;
use crate::cluster::run;
use crate::common::marked;

/// Records expire. At each moment of ten retentions, while writers die, a host that has only the log
/// must be able to start from it.
#[test]
fn snapshots_are_renewed_before_records_expire() {
    run(async {
        let cluster = Cluster::seeded(3, 3).await;
        for step in 0..100 {
            match step {
                25 => cluster.stop(0),
                55 => cluster.stop(1),
                _ => {}
            }
            sleep(RETENTION / 10).await;
            let fresh = cluster.new_host(ReaderRole::Follower);
            fresh.side.set(100 + step);
            sleep(2 * SECOND).await;
            assert_eq!(fresh.version(), ConfigVersion(1), "step {step}");
            cluster.hosts.borrow_mut().push(fresh);
            let last = cluster.hosts.borrow().len() - 1;
            cluster.stop(last);
        }
        assert!(100 < cluster.log.records().len() * 5, "one each half of the retention");
        assert!(cluster.log.records().len() < 40, "{}", cluster.log.records().len());
    });
}

/// Readers are replaced more often than they would renew a snapshot of their own. None knows the age
/// of the snapshot that it met as it started, so the first of them writes at once.
#[test]
fn readers_that_live_shortly_renew_snapshots_too() {
    run(async {
        let cluster = Cluster::seeded(2, 2).await;
        for step in 0..12 {
            sleep(RETENTION / 3).await;
            for index in 0..2 {
                cluster.restart(index, role_of(index, 2));
                cluster.host(index).side.set(10 + 2 * step + index as u32);
            }
        }
        sleep(SECOND).await;
        assert_eq!(cluster.host(0).version(), ConfigVersion(1));
    });
}

/// A reader comes back after its link was cut, and finds a snapshot that is nearly as old as the
/// records live. Taken for a new one, it would expire before the reader writes its own.
#[test]
fn a_snapshot_met_while_catching_up_is_not_taken_for_new() {
    run(async {
        let cluster = Cluster::seeded(2, 2).await;
        sleep(RETENTION / 4).await;
        cluster.host(1).link.is_cut.set(true);
        sleep(RETENTION * 3 / 10).await;
        // The other reader has written at half of the retention, and dies.
        cluster.stop(0);
        sleep(RETENTION * 8 / 10).await;
        cluster.host(1).link.is_cut.set(false);
        cluster.host(1).side.set(1);
        sleep(RETENTION / 4).await;
        let fresh = cluster.new_host(ReaderRole::Follower);
        fresh.side.set(2);
        sleep(2 * SECOND).await;
        assert_eq!(fresh.version(), ConfigVersion(1));
    });
}

/// After a thousand patches a snapshot is written early, so that a start needs few records; two
/// never come faster than one after another by the stagger.
#[test]
fn many_patches_bring_an_early_snapshot() {
    run(async {
        let cluster = Cluster::seeded(2, 2).await;
        let count = |cluster: &Cluster| {
            let records = cluster.log.records();
            records.iter().filter(|record| record.id.starts_with("snapshot")).count()
        };
        sleep(10 * SECOND).await;
        let before = count(&cluster);
        for base in 1..=2100 {
            assert_eq!(cluster.submit(0, "p", base, marked(base)).await, accepted(base + 1));
        }
        sleep(10 * SECOND).await;
        assert_eq!(count(&cluster) - before, 2);
    });
}

/// A host sleeps past the retention, and the log has lost records that it has not read. It keeps its
/// version, and comes back by the next snapshot.
#[test]
fn a_gap_is_closed_by_the_next_snapshot() {
    run(async {
        let cluster = Cluster::seeded(2, 2).await;
        let sleeper = cluster.host(1);
        sleeper.link.is_cut.set(true);
        sleeper.side.set(1);
        for base in 1..5 {
            assert_eq!(cluster.submit(0, "p", base, marked(base)).await, accepted(base + 1));
        }
        sleep(RETENTION * 2).await;
        assert_eq!(sleeper.version(), ConfigVersion(1));
        sleeper.link.is_cut.set(false);
        sleep(RETENTION).await;
        cluster.assert_converged();
        assert!(!sleeper.keeper.has_gap());
    });
}
