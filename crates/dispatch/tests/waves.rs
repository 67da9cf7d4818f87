//! Which engines get new weights next.

mod support;

use std::time::Duration;

use fulmargate_dispatch::OrderWave;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::WaveConf;
use fulmargate_dispatch::WaveServer;
use fulmargate_dispatch::WaveTime;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use support::key;

struct WaveCase {
    name: &'static str,
    /// Name, zone, version, load, ordered, open.
    servers: &'static [(&'static str, &'static str, u64, u32, bool, bool)],
    next: &'static [&'static str],
}

const CASES: &[WaveCase] = &[
    WaveCase {
        name: "the idle ones first, over zones",
        servers: &[
            ("a", "n", 1, 5, false, true),
            ("b", "n", 1, 0, false, true),
            ("c", "s", 1, 9, false, true),
            ("d", "n", 1, 2, false, true),
        ],
        next: &["b", "c"],
    },
    WaveCase {
        name: "no more than allowed at once",
        servers: &[
            ("a", "n", 1, 0, true, true),
            ("b", "n", 1, 0, true, true),
            ("c", "s", 1, 0, false, true),
        ],
        next: &[],
    },
    WaveCase {
        name: "those in place are left alone",
        servers: &[("a", "n", 2, 0, false, true), ("b", "n", 3, 0, false, true)],
        next: &[],
    },
    WaveCase {
        name: "those out of reach go last",
        servers: &[
            ("a", "n", 1, 0, false, false),
            ("b", "n", 1, 7, false, true),
            ("c", "n", 1, 8, false, true),
        ],
        next: &["b", "c"],
    },
];

#[test]
fn next_engines() {
    // Two at once: the time that is left is less than one engine's.
    let wave = OrderWave::new(WaveConf { most: 0.5, ..WaveConf::default() });
    let time = WaveTime { age: Duration::from_secs(5), bound: Duration::from_secs(6) };
    for case in CASES {
        let servers: Vec<WaveServer> = case
            .servers
            .iter()
            .map(|(name, zone, version, load, is_ordered, is_open)| WaveServer {
                key: key(name),
                name: ServerName::new(name),
                zone: ZoneName::new(zone),
                version: WeightsVersion(*version),
                load: *load,
                is_ordered: *is_ordered,
                is_open: *is_open,
            })
            .collect();
        let next = wave.next(&servers, WeightsVersion(2), time);
        let expected: Vec<ServerKey> = case.next.iter().map(|name| key(name)).collect();
        assert_eq!(next, expected, "{}", case.name);
    }
}

struct PaceCase {
    name: &'static str,
    engines: usize,
    behind: usize,
    age_ms: u64,
    bound_ms: u64,
    at_once: usize,
}

const PACES: &[PaceCase] = &[
    PaceCase { name: "shop", engines: 12, behind: 12, age_ms: 0, bound_ms: 6_000, at_once: 4 },
    PaceCase { name: "utility", engines: 12, behind: 12, age_ms: 0, bound_ms: 8_000, at_once: 3 },
    PaceCase { name: "grown", engines: 90, behind: 90, age_ms: 0, bound_ms: 8_000, at_once: 21 },
    PaceCase {
        name: "nearly done",
        engines: 12,
        behind: 1,
        age_ms: 0,
        bound_ms: 6_000,
        at_once: 1,
    },
    PaceCase { name: "late", engines: 12, behind: 9, age_ms: 9_000, bound_ms: 6_000, at_once: 5 },
];

/// Too many engines are out at once and callers wait; or too few, and weights grow too old.
#[test]
fn as_few_as_will_do_in_time() {
    for case in PACES {
        let server = |number: usize| WaveServer {
            key: key(&format!("e{number}")),
            name: ServerName::new(&format!("e{number}")),
            zone: ZoneName::new("n"),
            version: WeightsVersion(if number < case.behind { 1 } else { 2 }),
            load: 0,
            is_ordered: false,
            is_open: true,
        };
        let servers: Vec<WaveServer> = (0..case.engines).map(server).collect();
        let wave = WaveTime {
            age: Duration::from_millis(case.age_ms),
            bound: Duration::from_millis(case.bound_ms),
        };
        let at_once = OrderWave::default().at_once(&servers, WeightsVersion(2), wave);
        assert_eq!(at_once, case.at_once, "{}", case.name);
    }
}
