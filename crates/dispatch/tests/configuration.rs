//! Route lookups, cache salts, and the age of the configuration.

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
use support::PLAIN_SERVICE;
use support::model;
use support::route;
use support::table;
use support::team;

fn route_with_prefix(name: &str, prefix: &str) -> RouteRule {
    let rule = route(RouteKind::Idempotent, PLAIN_SERVICE, 2);
    RouteRule { name: name.to_owned(), path_prefix: prefix.to_owned(), ..rule }
}

struct RouteCase {
    host: &'static str,
    path: &'static str,
    route: Option<&'static str>,
}

const ROUTE_CASES: &[RouteCase] = &[
    RouteCase { host: "shop.example", path: "/a/b/c", route: Some("long") },
    RouteCase { host: "SHOP.example", path: "/a/x", route: Some("short") },
    RouteCase { host: "shop.example", path: "/a", route: None },
    RouteCase { host: "shop.example", path: "/ab/c", route: None },
    RouteCase { host: "other.example", path: "/a/b/c", route: None },
];

#[test]
fn the_longest_prefix_wins() {
    let table = table(
        vec![route_with_prefix("short", "/a/"), route_with_prefix("long", "/a/b/")],
        Vec::new(),
    );
    for case in ROUTE_CASES {
        let found = table.route(case.host, case.path).map(|route| route.name.as_str());
        assert_eq!(found, case.route, "{}{}", case.host, case.path);
    }
}

#[test]
fn keys_are_required_where_teams_are_configured() {
    let anonymous = RouteRule { is_anonymous: true, ..route_with_prefix("open", "/open/") };
    let with_teams = table(
        vec![route_with_prefix("closed", "/a/"), anonymous],
        vec![team("red", &["k1", "k2"], false)],
    );
    let closed = with_teams.route("shop.example", "/a/x").expect("route not found");
    let open = with_teams.route("shop.example", "/open/x").expect("route not found");
    assert!(with_teams.needs_key(closed));
    assert!(!with_teams.needs_key(open));
    assert!(!table(vec![route_with_prefix("closed", "/a/")], Vec::new()).needs_key(closed));
    assert_eq!(with_teams.team("k2").map(|team| team.name.clone()), Some(TeamName::new("red")));
    assert!(with_teams.team("k3").is_none());
}

/// Guards against an isolated team sharing cached prompts with others. Caches are keyed by salt, so
/// the common salt must change with the set of isolated teams, equally on all routers.
#[test]
fn salts_keep_teams_and_weights_apart() {
    let salt = |isolated: &[&str], team_name: &str, weights: u64| {
        let teams = ["red", "blue", "green"];
        let teams = teams.map(|name| team(name, &[name], isolated.contains(&name)));
        let table = table(Vec::new(), teams.to_vec());
        table.salts().salt(Some(&TeamName::new(team_name)), &model(), WeightsVersion(weights))
    };
    assert_eq!(salt(&[], "red", 1), salt(&[], "blue", 1), "teams share a salt");
    assert_ne!(salt(&[], "red", 1), salt(&[], "red", 2), "weights have their own salt");
    assert_ne!(
        salt(&["red"], "red", 1),
        salt(&["red"], "blue", 1),
        "an isolated team has its own salt"
    );
    assert_ne!(salt(&["red"], "blue", 1), salt(&[], "blue", 1), "the common salt changes");
    assert_ne!(salt(&["red", "blue"], "red", 1), salt(&["red", "blue"], "blue", 1));
    assert_eq!(salt(&["red", "blue"], "green", 1), salt(&["blue", "red"], "green", 1));
}

struct ProofCase {
    name: &'static str,
    /// Send times of the answered reads.
    sent: &'static [u64],
    now: u64,
    admits: bool,
    refuses: bool,
}

const PROOF_CASES: &[ProofCase] = &[
    ProofCase {
        name: "no read was answered yet",
        sent: &[],
        now: 100,
        admits: false,
        refuses: false,
    },
    ProofCase { name: "fresh proof", sent: &[1_000], now: 2_899, admits: true, refuses: true },
    ProofCase {
        name: "too old to reject requests",
        sent: &[1_000],
        now: 2_900,
        admits: true,
        refuses: false,
    },
    ProofCase {
        name: "just fresh enough to admit requests",
        sent: &[1_000],
        now: 5_899,
        admits: true,
        refuses: false,
    },
    ProofCase { name: "expired proof", sent: &[1_000], now: 5_900, admits: false, refuses: false },
    ProofCase {
        name: "the newest read counts",
        sent: &[1_000, 6_500, 3_000],
        now: 8_000,
        admits: true,
        refuses: true,
    },
    ProofCase {
        name: "host was suspended",
        sent: &[1_000],
        now: 60_000,
        admits: false,
        refuses: false,
    },
];

/// An event that affects the proof.
#[derive(Clone, Copy, Debug)]
enum ProofStep {
    /// A read sent at this time was answered.
    Renew(u64),
    /// The store was first seen in this epoch at this time.
    Doubt(u64, u64),
    /// Operators have rewritten the configuration in this epoch.
    Settle(u64),
    /// Another router has had this configuration in force.
    Known(u64),
    /// This host has this configuration in force.
    InForce(u64),
}

use ProofStep::Doubt;
use ProofStep::InForce;
use ProofStep::Known;
use ProofStep::Renew;
use ProofStep::Settle;

struct RestoreCase {
    name: &'static str,
    steps: &'static [ProofStep],
    now: u64,
    admits: bool,
}

const RESTORE_CASES: &[RestoreCase] = &[
    RestoreCase {
        name: "a read of a restored store is not trusted",
        steps: &[Doubt(1, 1_000), Renew(1_500)],
        now: 1_600,
        admits: false,
    },
    RestoreCase {
        name: "an earlier proof still counts",
        steps: &[Renew(900), Doubt(1, 1_000), Renew(1_500)],
        now: 5_700,
        admits: true,
    },
    RestoreCase {
        name: "an earlier proof expires",
        steps: &[Renew(900), Doubt(1, 1_000), Renew(1_500)],
        now: 5_800,
        admits: false,
    },
    RestoreCase {
        name: "the grace period is over",
        steps: &[Doubt(1, 1_000), Renew(3_000)],
        now: 3_100,
        admits: true,
    },
    RestoreCase {
        name: "operators have rewritten",
        steps: &[Doubt(1, 1_000), Renew(1_500), Settle(1)],
        now: 1_600,
        admits: true,
    },
    RestoreCase {
        name: "operators wrote before the restore",
        steps: &[Doubt(1, 1_000), Renew(1_500), Settle(0)],
        now: 1_600,
        admits: false,
    },
    RestoreCase {
        name: "the store is restored again",
        steps: &[Doubt(1, 1_000), Renew(1_500), Doubt(2, 2_900), Renew(3_000), Settle(1)],
        now: 3_100,
        admits: false,
    },
    RestoreCase {
        name: "a late reader reports the same epoch again",
        steps: &[Doubt(1, 1_000), Settle(1), Doubt(1, 2_900), Renew(3_000)],
        now: 3_100,
        admits: true,
    },
    RestoreCase {
        name: "another router has a newer configuration",
        steps: &[InForce(5), Known(7), Renew(3_000)],
        now: 3_100,
        admits: false,
    },
    RestoreCase {
        name: "this host has caught up",
        steps: &[InForce(5), Known(7), Renew(3_000), InForce(7)],
        now: 3_100,
        admits: true,
    },
];

/// Guards against admitting a revoked key after the store was restored from a backup without the
/// configuration that revoked it. Reads count only once operators have rewritten it or had time to.
#[test]
fn reads_of_a_restored_store_are_not_trusted_at_first() {
    for case in RESTORE_CASES {
        let mut proof =
            ConfigProof::new(Duration::from_millis(4_900), Duration::from_millis(1_900));
        for step in case.steps {
            match *step {
                Renew(sent) => proof.renew(BootTime(sent)),
                Doubt(epoch, now) => proof.mark_untrusted(StoreEpoch(epoch), BootTime(now)),
                Settle(epoch) => proof.mark_trusted(StoreEpoch(epoch)),
                Known(version) => proof.observe_version(ConfigVersion(version)),
                InForce(version) => proof.set_active_version(ConfigVersion(version)),
            }
        }
        assert_eq!(proof.admits(BootTime(case.now)), case.admits, "{}", case.name);
    }
}

/// Guards against admitting a revoked key on a host that cannot reach the store, also after a
/// suspension, and against rejecting requests for routes it has not read.
#[test]
fn a_proof_ages_from_the_time_its_read_was_sent() {
    for case in PROOF_CASES {
        let mut proof =
            ConfigProof::new(Duration::from_millis(4_900), Duration::from_millis(1_900));
        for sent in case.sent {
            proof.renew(BootTime(*sent));
        }
        assert_eq!(proof.admits(BootTime(case.now)), case.admits, "{}", case.name);
        assert_eq!(proof.may_reject(BootTime(case.now)), case.refuses, "{}", case.name);
    }
}
