//! Lookups in a configuration, salts, and the age of its proof.

mod support;

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::ConfigProof;
use fulmargate_dispatch::RouteKind;
use fulmargate_dispatch::RouteRule;
use fulmargate_names::ConfigVersion;
use fulmargate_names::StoreEpoch;
use fulmargate_names::TeamName;
use fulmargate_names::WeightsVersion;
use support::DESK;
use support::model;
use support::route;
use support::table;
use support::team;

fn named(name: &str, prefix: &str) -> RouteRule {
    let rule = route(RouteKind::Idempotent, DESK, 2);
    RouteRule { name: name.to_owned(), path_prefix: prefix.to_owned(), ..rule }
}

struct RouteCase {
    host: &'static str,
    path: &'static str,
    route: Option<&'static str>,
}

const ROUTES: &[RouteCase] = &[
    RouteCase { host: "shop.example", path: "/a/b/c", route: Some("long") },
    RouteCase { host: "SHOP.example", path: "/a/x", route: Some("short") },
    RouteCase { host: "shop.example", path: "/a", route: None },
    RouteCase { host: "shop.example", path: "/ab/c", route: None },
    RouteCase { host: "other.example", path: "/a/b/c", route: None },
];

#[test]
fn the_longest_prefix_wins() {
    let table = table(vec![named("short", "/a/"), named("long", "/a/b/")], Vec::new());
    for case in ROUTES {
        let found = table.route(case.host, case.path).map(|route| route.name.as_str());
        assert_eq!(found, case.route, "{}{}", case.host, case.path);
    }
}

#[test]
fn keys_are_asked_for_where_there_are_teams() {
    let anonymous = RouteRule { is_anonymous: true, ..named("open", "/open/") };
    let with_teams =
        table(vec![named("closed", "/a/"), anonymous], vec![team("red", &["k1", "k2"], false)]);
    let closed = with_teams.route("shop.example", "/a/x").expect("a route");
    let open = with_teams.route("shop.example", "/open/x").expect("a route");
    assert!(with_teams.needs_key(closed));
    assert!(!with_teams.needs_key(open));
    assert!(!table(vec![named("closed", "/a/")], Vec::new()).needs_key(closed));
    assert_eq!(with_teams.team("k2").map(|team| team.name.clone()), Some(TeamName::new("red")));
    assert!(with_teams.team("k3").is_none());
}

/// A team that has just become isolated finds what others left in an engine's cache.
/// The cache keeps parts under the salt they were made under; the common salt stayed the same.
/// So the common salt changes with the set of isolated teams, on all routers alike.
#[test]
fn salts_keep_teams_and_weights_apart() {
    let salt = |isolated: &[&str], team_name: &str, weights: u64| {
        let teams = ["red", "blue", "green"];
        let teams = teams.map(|name| team(name, &[name], isolated.contains(&name)));
        let table = table(Vec::new(), teams.to_vec());
        table.salts().salt(Some(&TeamName::new(team_name)), &model(), WeightsVersion(weights))
    };
    assert_eq!(salt(&[], "red", 1), salt(&[], "blue", 1), "teams share");
    assert_ne!(salt(&[], "red", 1), salt(&[], "red", 2), "other weights");
    assert_ne!(salt(&["red"], "red", 1), salt(&["red"], "blue", 1), "isolated");
    assert_ne!(salt(&["red"], "blue", 1), salt(&[], "blue", 1), "the common salt changes");
    assert_ne!(salt(&["red", "blue"], "red", 1), salt(&["red", "blue"], "blue", 1));
    assert_eq!(salt(&["red", "blue"], "green", 1), salt(&["blue", "red"], "green", 1));
}

struct ProofCase {
    name: &'static str,
    /// When the reads that were answered had been sent.
    sent: &'static [u64],
    now: u64,
    admits: bool,
    refuses: bool,
}

const PROOFS: &[ProofCase] = &[
    ProofCase {
        name: "nothing was proved yet",
        sent: &[],
        now: 100,
        admits: false,
        refuses: false,
    },
    ProofCase { name: "a young proof", sent: &[1_000], now: 2_899, admits: true, refuses: true },
    ProofCase {
        name: "a newer configuration may be in force elsewhere",
        sent: &[1_000],
        now: 2_900,
        admits: true,
        refuses: false,
    },
    ProofCase {
        name: "just young enough",
        sent: &[1_000],
        now: 5_899,
        admits: true,
        refuses: false,
    },
    ProofCase { name: "an old proof", sent: &[1_000], now: 5_900, admits: false, refuses: false },
    ProofCase {
        name: "the newest counts",
        sent: &[1_000, 6_500, 3_000],
        now: 8_000,
        admits: true,
        refuses: true,
    },
    ProofCase {
        name: "a host that slept",
        sent: &[1_000],
        now: 60_000,
        admits: false,
        refuses: false,
    },
];

/// What happens to a proof.
#[derive(Clone, Copy, Debug)]
enum ProofStep {
    /// A read was answered that was sent at this moment.
    Renew(u64),
    /// The store was seen in this epoch first.
    Doubt(u64, u64),
    /// Operators have written in this epoch.
    Settle(u64),
    /// Another router has had this configuration in force.
    Known(u64),
    /// This host has it in force.
    InForce(u64),
}

use ProofStep::Doubt;
use ProofStep::InForce;
use ProofStep::Known;
use ProofStep::Renew;
use ProofStep::Settle;

struct DoubtCase {
    name: &'static str,
    steps: &'static [ProofStep],
    now: u64,
    admits: bool,
}

const DOUBTS: &[DoubtCase] = &[
    DoubtCase {
        name: "a read of a restored store proves nothing",
        steps: &[Doubt(1, 1_000), Renew(1_500)],
        now: 1_600,
        admits: false,
    },
    DoubtCase {
        name: "what was proved before goes on to count",
        steps: &[Renew(900), Doubt(1, 1_000), Renew(1_500)],
        now: 5_700,
        admits: true,
    },
    DoubtCase {
        name: "and ages from then",
        steps: &[Renew(900), Doubt(1, 1_000), Renew(1_500)],
        now: 5_800,
        admits: false,
    },
    DoubtCase {
        name: "operators have had time",
        steps: &[Doubt(1, 1_000), Renew(3_000)],
        now: 3_100,
        admits: true,
    },
    DoubtCase {
        name: "operators have written",
        steps: &[Doubt(1, 1_000), Renew(1_500), Settle(1)],
        now: 1_600,
        admits: true,
    },
    DoubtCase {
        name: "what was written before the store came back settles nothing",
        steps: &[Doubt(1, 1_000), Renew(1_500), Settle(0)],
        now: 1_600,
        admits: false,
    },
    DoubtCase {
        name: "it comes back again",
        steps: &[Doubt(1, 1_000), Renew(1_500), Doubt(2, 2_900), Renew(3_000), Settle(1)],
        now: 3_100,
        admits: false,
    },
    DoubtCase {
        name: "a late reader of the same epoch begins no new doubt",
        steps: &[Doubt(1, 1_000), Settle(1), Doubt(1, 2_900), Renew(3_000)],
        now: 3_100,
        admits: true,
    },
    DoubtCase {
        name: "others know a newer configuration",
        steps: &[InForce(5), Known(7), Renew(3_000)],
        now: 3_100,
        admits: false,
    },
    DoubtCase {
        name: "it is here now",
        steps: &[InForce(5), Known(7), Renew(3_000), InForce(7)],
        now: 3_100,
        admits: true,
    },
];

/// A key that was taken away works again after the store has come back from a copy.
/// The copy does not hold the configuration that took it, and a read shows the one before as the newest. Such
/// a read counts only once operators have written again what was lost, or have had time to.
#[test]
fn a_restored_store_proves_nothing_at_first() {
    for case in DOUBTS {
        let mut proof =
            ConfigProof::new(Duration::from_millis(4_900), Duration::from_millis(1_900));
        for step in case.steps {
            match *step {
                Renew(sent) => proof.renew(BootTime(sent)),
                Doubt(epoch, now) => proof.doubt(StoreEpoch(epoch), BootTime(now)),
                Settle(epoch) => proof.settle(StoreEpoch(epoch)),
                Known(version) => proof.note_known(ConfigVersion(version)),
                InForce(version) => proof.put_in_force(ConfigVersion(version)),
            }
        }
        assert_eq!(proof.admits(BootTime(case.now)), case.admits, "{}", case.name);
    }
}

/// A key was taken away, and a host that the store turns away goes on to serve it.
/// Its last read was answered late: what the answer proves is the moment of sending.
/// The age is counted from there, on a clock that goes on while the host sleeps. A caller whose route is
/// new is refused for good long before that, by a host that has not read the configuration yet.
#[test]
fn a_proof_ages_from_its_sending() {
    for case in PROOFS {
        let mut proof =
            ConfigProof::new(Duration::from_millis(4_900), Duration::from_millis(1_900));
        for sent in case.sent {
            proof.renew(BootTime(*sent));
        }
        assert_eq!(proof.admits(BootTime(case.now)), case.admits, "{}", case.name);
        assert_eq!(proof.refuses(BootTime(case.now)), case.refuses, "{}", case.name);
    }
}
