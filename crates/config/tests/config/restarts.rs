//! What comes into force after restarts and in partitions.

use std::rc::Rc;
use std::time::Duration;

use fulmargate_config::ReaderRole;
use fulmargate_config::choose_role;
use fulmargate_names::ConfigVersion;
use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::SECOND;
use crate::cluster::accepted;
use crate::cluster::role_of;
use crate::cluster::run;
use crate::common::marked;

/// A zone is cut off from the platform; one of its hosts saw the newest version before. All of its
/// hosts come to that, also one that restarts, and none goes back when the zone is whole again.
#[test]
fn a_zone_cut_off_converges_on_the_newest_version_any_of_its_hosts_saw() {
    run(async {
        let cluster = Cluster::seeded(4, 2).await;
        // Hosts 1 to 3 are the zone; only host 1 still sees version 2.
        cluster.host(2).side.set(5);
        cluster.host(3).side.set(6);
        for index in 2..4 {
            cluster.host(index).link.is_cut.set(true);
        }
        assert_eq!(cluster.submit(0, "a", 1, marked(1)).await, accepted(2));
        sleep(SECOND).await;
        for index in 1..4 {
            cluster.host(index).link.is_cut.set(true);
            cluster.host(index).side.set(1);
        }
        assert_eq!(cluster.submit(0, "b", 2, marked(2)).await, accepted(3));
        cluster.restart(3, ReaderRole::Follower);
        sleep(SECOND).await;
        let versions: Vec<u64> = (0..4).map(|index| cluster.host(index).version().0).collect();
        assert_eq!(versions, [3, 2, 2, 2]);
        cluster.restart(1, ReaderRole::Direct { rank: 1 });
        sleep(SECOND).await;
        assert_eq!(cluster.host(1).version(), ConfigVersion(2));
        for index in 1..4 {
            cluster.host(index).link.is_cut.set(false);
            cluster.host(index).side.set(0);
        }
        sleep(SECOND).await;
        cluster.assert_converged();
    });
}

struct StartCase {
    name: &'static str,
    role: ReaderRole,
    log_cut: bool,
    /// Versions in force at the peers that the new host meets.
    peers: &'static [usize],
    /// What it publishes first; 0: nothing.
    first: u64,
}

impl StartCase {
    /// Hosts 0 to 2 stand at versions 30, 20 and 10, the two latter cut off from the log; the log
    /// sends four records at a time, so that a reader passes old versions on its way.
    fn check(&self) {
        run(async {
            let cluster = Cluster::seeded(3, 3).await;
            for (index, version) in [(2, 10), (1, 20), (0, 30)] {
                for base in cluster.host(0).version().0..version {
                    let outcome = cluster.submit(0, "p", base, marked(base)).await;
                    assert_eq!(outcome, accepted(base + 1));
                }
                sleep(SECOND).await;
                let host = cluster.host(index);
                host.side.set(1 + index as u32);
                host.link.is_cut.set(0 < index);
            }
            cluster.log.page_limit.set(4);
            let rig = cluster.new_host(self.role);
            rig.link.is_cut.set(self.log_cut);
            rig.side.set(7);
            for index in self.peers {
                cluster.host(*index).side.set(7);
            }
            cluster.hosts.borrow_mut().push(Rc::clone(&rig));
            sleep(3 * SECOND).await;
            let first = rig.published.borrow().first().map_or(0, |version| version.0);
            assert_eq!(first, self.first, "{}", self.name);
        });
    }
}

/// A router restarts and remembers nothing. The first version it brings into force must not be
/// older than what the log says, or, where it cannot read the log, than what any peer has.
#[test]
fn a_restart_publishes_nothing_old() {
    let direct = ReaderRole::Direct { rank: 0 };
    let follower = ReaderRole::Follower;
    let case = |name, role, log_cut, peers, first| StartCase { name, role, log_cut, peers, first };
    for case in [
        case("log alone", direct, false, &[], 30),
        case("log and an old peer", direct, false, &[2], 30),
        case("peers alone", direct, true, &[2, 1], 20),
        case("newer peer last", direct, true, &[1, 2], 20),
        case("follower of several", follower, true, &[2, 1], 20),
        case("follower alone", follower, false, &[], 30),
        case("nothing", direct, true, &[], 0),
    ] {
        case.check();
    }
}

/// A router that restarts receives a version number whose document no reachable peer has any more. Serving the
/// older one that a peer has could bring back what it had withdrawn; it waits for the log.
#[test]
fn a_version_that_was_heard_of_is_waited_for() {
    run(async {
        let cluster = Cluster::seeded(2, 1).await;
        cluster.restart(1, ReaderRole::Follower);
        let host = cluster.host(1);
        host.link.is_cut.set(true);
        host.keeper.hear_version(ConfigVersion(2));
        sleep(5 * SECOND).await;
        assert_eq!(host.version(), ConfigVersion(0));
        assert!(host.keeper.answer().is_none());
        assert_eq!(cluster.submit(0, "p", 1, marked(1)).await, accepted(2));
        sleep(SECOND).await;
        assert_eq!(host.version(), ConfigVersion(2));
    });
}

/// A whole herd restarts. A follower gets what a reader has that is still on its way through the
/// log, and must not take that for the newest.
#[test]
fn what_a_router_with_nothing_in_force_hands_on_is_not_the_newest() {
    run(async {
        let cluster = Cluster::seeded(2, 1).await;
        for base in 1..30 {
            assert_eq!(cluster.submit(0, "p", base, marked(base)).await, accepted(base + 1));
        }
        cluster.log.page_limit.set(1);
        for index in 0..2 {
            cluster.restart(index, role_of(index, 1));
            cluster.host(index).link.latency.set(Duration::from_millis(20));
        }
        let (reader, follower) = (cluster.host(0), cluster.host(1));
        for _ in 0..1000 {
            sleep(Duration::from_millis(1)).await;
            let batch = reader.keeper.records_from(follower.keeper.wanted_offset());
            follower.keeper.offer_records(batch);
        }
        for index in 0..2 {
            let first = cluster.host(index).published.borrow().first().map(|version| version.0);
            assert_eq!(first, Some(30), "host {index}");
        }
    });
}

/// Few hosts read the log: a follower with peers reads nothing, one without reads for itself.
#[test]
fn followers_read_the_log_only_when_peers_fail_them() {
    run(async {
        let cluster = Cluster::seeded(3, 1).await;
        let follower = cluster.host(2);
        let reads = follower.link.reads.get();
        for base in 1..20 {
            assert_eq!(cluster.submit(0, "p", base, marked(base)).await, accepted(base + 1));
            sleep(SECOND).await;
            assert_eq!(follower.version(), ConfigVersion(base + 1));
        }
        assert_eq!(follower.link.reads.get(), reads);
        follower.side.set(3);
        assert_eq!(cluster.submit(0, "p", 20, marked(20)).await, accepted(21));
        sleep(4 * SECOND).await;
        assert_eq!(follower.version(), ConfigVersion(21));
        assert!(reads < follower.link.reads.get());
    });
}

/// Two readers a zone; the first ranks are spread over the zones.
#[test]
fn the_first_hosts_of_each_zone_read() {
    let hosts = [("b", "h5"), ("a", "h3"), ("a", "h1"), ("b", "h4"), ("a", "h2"), ("c", "h6")];
    let role = |own: &str| {
        let hosts = hosts.iter().map(|(zone, host)| (ZoneName::new(zone), HostName::new(host)));
        choose_role(&HostName::new(own), hosts, 2)
    };
    let direct = |rank| ReaderRole::Direct { rank };
    let roles = ["h1", "h4", "h6", "h2", "h5", "h3", "h7"].map(role);
    let expected = [direct(0), direct(1), direct(2), direct(3), direct(4)];
    assert_eq!(roles[..5], expected);
    assert_eq!(roles[5..], [ReaderRole::Follower; 2]);
}
