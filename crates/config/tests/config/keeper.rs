//! Patches submitted under races, lost answers and outages.

use std::rc::Rc;
use std::time::Duration;

use fulmargate_config::ServerState;
use fulmargate_config::SubmitOutcome;
use fulmargate_names::ConfigVersion;
use fulmargate_names::ServerName;
use futures_util::future::join_all;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::SECOND;
use crate::cluster::accepted;
use crate::cluster::run;
use crate::common::marked;
use crate::fake_log::AppendFault;
use crate::fake_log::LATE;

/// Four operators patch the same version through four routers. One is accepted, the others learn
/// that they are stale, and all six routers come to the winner's document.
#[test]
fn each_race_has_one_winner_everywhere() {
    run(async {
        let cluster = Cluster::seeded(6, 2).await;
        for round in 1..=40u64 {
            let race = (0..4u64).map(|operator| {
                let cluster = Rc::clone(&cluster);
                let id = format!("{round}.{operator}");
                async move {
                    let host = ((round + operator) % 6) as usize;
                    cluster.submit(host, &id, round, marked(10 * round + operator)).await
                }
            });
            let outcomes = join_all(race).await;
            let winners = outcomes.iter().filter(|outcome| **outcome == accepted(round + 1));
            assert_eq!(winners.count(), 1, "round {round}: {outcomes:?}");
            let stale = |outcome: &&SubmitOutcome| matches!(outcome, SubmitOutcome::Stale { .. });
            assert_eq!(outcomes.iter().filter(stale).count(), 3, "round {round}: {outcomes:?}");
            sleep(SECOND).await;
            cluster.assert_converged();
        }
        for host in cluster.hosts.borrow().iter() {
            let versions: Vec<u64> =
                host.published.borrow().iter().map(|version| version.0).collect();
            assert!(versions.is_sorted_by(|a, b| a < b), "{versions:?}");
        }
    });
}

struct LostCase {
    name: &'static str,
    faults: Vec<AppendFault>,
    /// Records that the patch leaves in the log.
    copies: usize,
}

impl LostCase {
    fn check(&self) {
        run(async {
            let cluster = Cluster::seeded(3, 1).await;
            let before = cluster.log.records().len();
            cluster.host(0).link.faults.borrow_mut().extend(self.faults.iter());
            let outcome = cluster.submit(0, "p", 1, marked(7)).await;
            assert_eq!(outcome, accepted(2), "{}", self.name);
            sleep(2 * LATE).await;
            assert_eq!(cluster.log.records().len() - before, self.copies, "{}", self.name);
            cluster.assert_converged();
            assert_eq!(cluster.host(2).version(), ConfigVersion(2), "{}", self.name);
        });
    }
}

/// The answer to an append is lost. The operator gets the patch's result, and it makes one
/// version however many copies of it get into the log.
#[test]
fn lost_answers_are_settled_by_reading_back() {
    use AppendFault::AnswerLost;
    use AppendFault::LandsLate;
    use AppendFault::RecordLost;
    use AppendFault::Throttled;
    let case = |name, faults, copies| LostCase { name, faults, copies };
    for case in [
        case("landed", vec![AnswerLost], 1),
        case("did not land", vec![RecordLost], 1),
        case("three times", vec![RecordLost, RecordLost, AnswerLost], 1),
        case("lands after its copy", vec![LandsLate], 2),
        case("over the rate", vec![Throttled, Throttled], 1),
    ] {
        case.check();
    }
}

/// The log goes out before, or between the append and the reading back. "Unavailable" must mean that
/// nothing was submitted; "unknown" is all that can be said of the other.
#[test]
fn outages_are_told_apart_from_doubt() {
    run(async {
        let cluster = Cluster::seeded(2, 1).await;
        cluster.log.is_out.set(true);
        let count = cluster.log.records().len();
        assert_eq!(cluster.submit(0, "a", 1, marked(1)).await, SubmitOutcome::Unavailable);
        assert_eq!(cluster.submit(1, "a", 1, marked(1)).await, SubmitOutcome::Unavailable);
        assert_eq!(cluster.log.records().len(), count);

        cluster.log.is_out.set(false);
        sleep(2 * SECOND).await;
        cluster.host(0).link.faults.borrow_mut().push_back(AppendFault::LandsBeforeOutage);
        assert_eq!(cluster.submit(0, "b", 1, marked(2)).await, SubmitOutcome::Unknown);
        cluster.log.is_out.set(false);
        sleep(5 * SECOND).await;
        cluster.assert_converged();
        let history = cluster.host(1).keeper.history();
        let entry = history.history.versions.back().expect("version 2");
        assert!(entry.id.starts_with("b-"), "{entry:?}");
        // Sent again, it is answered and not accepted twice.
        assert_eq!(cluster.submit(1, "b", 1, marked(2)).await, accepted(2));
    });
}

/// The log takes appends and answers no reads: without reading back, nothing is appended again.
#[test]
fn nothing_is_appended_again_unread() {
    run(async {
        let cluster = Cluster::seeded(2, 1).await;
        let count = cluster.log.records().len();
        let link = Rc::clone(&cluster.host(0).link);
        link.is_deaf.set(true);
        link.faults.borrow_mut().push_back(AppendFault::AnswerLost);
        assert_eq!(cluster.submit(0, "p", 1, marked(1)).await, SubmitOutcome::Unknown);
        assert_eq!(cluster.log.records().len(), count + 1);
    });
}

/// Both copies of a patch come to its router at once, out of a peer's hands. The second copy is
/// stale, since the first was accepted; the operator must get the first one's result.
#[test]
fn the_first_copy_of_a_patch_is_its_verdict() {
    run(async {
        let cluster = Cluster::seeded(2, 2).await;
        let link = Rc::clone(&cluster.host(0).link);
        link.is_deaf.set(true);
        link.faults.borrow_mut().push_back(AppendFault::AnswerLost);
        cluster.host(0).side.set(1);
        let copy = async {
            sleep(Duration::from_millis(100)).await;
            let record = cluster.log.records().pop().expect("the first copy");
            cluster.log.push(&record.id, &record.data);
            sleep(Duration::from_millis(100)).await;
            cluster.host(0).side.set(0);
        };
        let (outcome, ()) = tokio::join!(cluster.submit(0, "p", 1, marked(1)), copy);
        assert_eq!(outcome, accepted(2));
    });
}

/// The record is lost with its answer, and another operator's patch moves the version before it can
/// be sent again. Wherever a copy may land now, it is stale: that is certain, not unknown.
#[test]
fn doubt_ends_when_the_version_moves_on() {
    run(async {
        let cluster = Cluster::seeded(2, 2).await;
        let link = Rc::clone(&cluster.host(0).link);
        link.faults.borrow_mut().push_back(AppendFault::RecordLost);
        link.faults.borrow_mut().extend([AppendFault::Throttled; 1000]);
        let later = async {
            sleep(Duration::from_millis(10)).await;
            cluster.submit(1, "b", 1, marked(2)).await
        };
        let (first, second) = tokio::join!(cluster.submit(0, "a", 1, marked(1)), later);
        assert_eq!(first, SubmitOutcome::Stale { current: ConfigVersion(2) });
        assert_eq!(second, accepted(2));
    });
}

/// A script sends one id with each of its patches. Each must be judged for itself.
#[test]
fn one_id_on_two_patches_is_no_repetition() {
    run(async {
        let cluster = Cluster::seeded(2, 1).await;
        assert_eq!(cluster.submit(0, "same", 1, marked(1)).await, accepted(2));
        let other = cluster.submit(0, "same", 1, marked(2)).await;
        assert_eq!(other, SubmitOutcome::Stale { current: ConfigVersion(2) });
        assert_eq!(cluster.submit(0, "same", 2, marked(2)).await, accepted(3));
    });
}

/// An operator learned a newer version from another router than the one it patches through.
#[test]
fn a_base_ahead_of_the_router_is_looked_up() {
    run(async {
        let cluster = Cluster::seeded(2, 1).await;
        cluster.host(1).side.set(9);
        assert_eq!(cluster.submit(0, "a", 1, marked(1)).await, accepted(2));
        assert_eq!(cluster.host(1).version(), ConfigVersion(1));
        assert_eq!(cluster.submit(1, "b", 2, marked(2)).await, accepted(3));
        let ahead = cluster.submit(1, "c", 9, marked(3)).await;
        assert_eq!(ahead, SubmitOutcome::Stale { current: ConfigVersion(3) });
    });
}

/// Two operators drain two servers at once, each without naming a version: both are drained.
#[test]
fn drains_are_tried_again_when_they_race() {
    run(async {
        let cluster = Cluster::seeded(4, 1).await;
        let drains = (0..4).map(|index| {
            let keeper = cluster.host(index).keeper.clone();
            let server = ServerName::new(["e1", "c1"][index % 2]);
            async move {
                let deadline = Instant::now() + 5 * SECOND;
                let wanted = ServerState::Drained;
                keeper
                    .set_server_state(&server, wanted, &format!("d{index}"), "ada", deadline)
                    .await
            }
        });
        for outcome in join_all(drains).await {
            assert!(matches!(outcome, SubmitOutcome::Accepted { .. }), "{outcome:?}");
        }
        sleep(SECOND).await;
        cluster.assert_converged();
        let (fold, winners) = cluster.truth();
        assert_eq!(winners.len(), 3, "the seed and one patch a server: {winners:?}");
        let document = fold.document().expect("version 3");
        assert!(document.servers.values().all(|server| server.state == ServerState::Drained));
        let keeper = cluster.host(0).keeper.clone();
        let unknown = ServerName::new("e9");
        let deadline = Instant::now() + SECOND;
        let outcome =
            keeper.set_server_state(&unknown, ServerState::Drained, "x", "ada", deadline).await;
        assert!(matches!(outcome, SubmitOutcome::Invalid { .. }), "{outcome:?}");
    });
}

/// An invalid patch is refused without a record: the log's rate is scarce.
#[test]
fn refusals_known_beforehand_leave_no_record() {
    run(async {
        let cluster = Cluster::seeded(2, 1).await;
        let count = cluster.log.records().len();
        let outcome =
            cluster.submit(0, "p", 1, json!({ "teams": { "shop": { "class": 3 } } })).await;
        let SubmitOutcome::Invalid { error } = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(error.path, "/teams/shop/class");
        let stale = cluster.submit(0, "p", 0, marked(1)).await;
        assert_eq!(stale, SubmitOutcome::Stale { current: ConfigVersion(1) });
        assert_eq!(cluster.log.records().len(), count);
    });
}

/// A log that answers at once with records that were not asked for must not be asked without pause.
#[test]
fn a_log_that_makes_no_sense_is_asked_seldom() {
    run(async {
        let cluster = Cluster::seeded(1, 1).await;
        let host = cluster.host(0);
        // It forgets all and counts from 0 again: the page's records are older than those wanted.
        cluster.log.answer_from_start.set(true);
        let reads = host.link.reads.get();
        sleep(100 * SECOND).await;
        assert!(host.link.reads.get() - reads < 300, "{}", host.link.reads.get() - reads);
        assert_eq!(host.version(), ConfigVersion(1));
    });
}
