//! What a host learns from others of since when weights are outdated.

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::FleetHost;
use fulmargate_dispatch::PeerRotation;
use fulmargate_dispatch::WeightsProof;
use fulmargate_dispatch::WeightsReport;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::HostName;
use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;

/// Time at which the reports are made, on the clock of the host that makes them.
const PEER_NOW: BootTime = BootTime(900_000);
/// Target of the host that asks.
const OWN_TARGET: u64 = 5;

fn model() -> ModelName {
    ModelName::new("m")
}

/// A table of a host that has listed this version at its start.
fn listed(version: u64) -> WeightsTable {
    let mut weights = WeightsTable::default();
    weights.add_target(&model(), WeightsVersion(version), None);
    weights
}

/// What another host knows: its target, the ages of its proofs, and the age of its newest complete read, in
/// milliseconds.
struct PeerView {
    target: u64,
    proofs: &'static [(u64, u64)],
    read_age_ms: Option<u64>,
}

impl PeerView {
    fn report(&self) -> WeightsReport {
        let mut weights = listed(self.target);
        for (version, age_ms) in self.proofs {
            let proven_at = BootTime(PEER_NOW.0 - age_ms);
            weights
                .add_proof(&model(), WeightsProof { version: WeightsVersion(*version), proven_at });
        }
        let read_age = self.read_age_ms.map(Duration::from_millis);
        WeightsReport::new(&weights, read_age, PEER_NOW)
    }
}

struct ReportCase {
    name: &'static str,
    /// Replies in the order in which they come, each with the time of its question.
    replies: &'static [(u64, PeerView)],
    /// Proofs that are known then: the version and the time on the clock of the host that asked.
    expected: &'static [(u64, u64)],
}

const REPORT_CASES: &[ReportCase] = &[
    ReportCase {
        name: "ages count from the question, rounded up",
        replies: &[(
            20_000,
            PeerView { target: 5, proofs: &[(1, 9_000), (3, 4_000)], read_age_ms: None },
        )],
        expected: &[(1, 10_999), (3, 15_999)],
    },
    ReportCase {
        name: "an age from before the boot is no proof",
        replies: &[(
            3_000,
            PeerView { target: 5, proofs: &[(1, 3_000), (3, 2_999)], read_age_ms: None },
        )],
        expected: &[(3, 0)],
    },
    ReportCase {
        name: "a read by a host that has not read the newest version",
        replies: &[(20_000, PeerView { target: 2, proofs: &[], read_age_ms: Some(300) })],
        expected: &[(2, 19_699)],
    },
    ReportCase {
        name: "a read of the same or a newer version tells nothing",
        replies: &[
            (20_000, PeerView { target: 5, proofs: &[], read_age_ms: Some(300) }),
            (20_000, PeerView { target: 6, proofs: &[(5, 100)], read_age_ms: Some(300) }),
        ],
        expected: &[],
    },
    ReportCase {
        name: "a host that knows nothing",
        replies: &[(20_000, PeerView { target: 5, proofs: &[], read_age_ms: None })],
        expected: &[],
    },
    ReportCase {
        name: "the same reply twice",
        replies: &[
            (20_000, PeerView { target: 5, proofs: &[(1, 9_000)], read_age_ms: None }),
            (20_000, PeerView { target: 5, proofs: &[(1, 9_000)], read_age_ms: None }),
        ],
        expected: &[(1, 10_999)],
    },
    ReportCase {
        name: "the reply to an earlier question comes last",
        replies: &[
            (21_000, PeerView { target: 5, proofs: &[(1, 9_500)], read_age_ms: None }),
            (20_000, PeerView { target: 5, proofs: &[(1, 9_000)], read_age_ms: None }),
        ],
        expected: &[(1, 11_499)],
    },
    ReportCase {
        name: "the reply to an earlier question comes first",
        replies: &[
            (20_000, PeerView { target: 5, proofs: &[(1, 9_000)], read_age_ms: None }),
            (21_000, PeerView { target: 5, proofs: &[(1, 9_500)], read_age_ms: None }),
        ],
        expected: &[(1, 11_499)],
    },
    ReportCase {
        name: "a reply made long after its question is older, never younger",
        replies: &[
            (21_000, PeerView { target: 5, proofs: &[(1, 9_500)], read_age_ms: None }),
            (21_000, PeerView { target: 5, proofs: &[(1, 14_000)], read_age_ms: None }),
        ],
        expected: &[(1, 11_499)],
    },
];

/// Guards against weights that seem younger than they are through a reply that is late, repeated or out of order, or
/// through an age that no clock of this host has.
#[test]
fn ages_in_replies_never_make_weights_younger() {
    for case in REPORT_CASES {
        let mut weights = listed(OWN_TARGET);
        for (asked_at, view) in case.replies {
            view.report().apply(BootTime(*asked_at), &mut weights);
        }
        let known = weights.proofs(&model()).iter();
        let known: Vec<(u64, u64)> =
            known.map(|proof| (proof.version.0, proof.proven_at.0)).collect();
        assert_eq!(known, case.expected, "{}", case.name);
    }
}

/// Guards against proofs that are logged as learned each time that they are told.
#[test]
fn a_repeated_reply_teaches_nothing() {
    let view = PeerView { target: 5, proofs: &[(1, 9_000), (3, 4_000)], read_age_ms: None };
    let mut weights = listed(OWN_TARGET);
    let asked_at = BootTime(20_000);
    assert_eq!(view.report().apply(asked_at, &mut weights).len(), 2);
    assert!(view.report().apply(asked_at, &mut weights).is_empty());
}

/// Guards against a chain of hosts in which an age gets younger from one to the next.
#[test]
fn what_was_told_is_passed_on_with_its_age() {
    let view = PeerView { target: 5, proofs: &[(1, 9_000)], read_age_ms: None };
    let mut first = listed(OWN_TARGET);
    view.report().apply(BootTime(20_000), &mut first);
    // Made 500 ms after the first question.
    let report = WeightsReport::new(&first, None, BootTime(20_500));
    let mut second = listed(OWN_TARGET);
    report.apply(BootTime(70_000), &mut second);
    let age = second.outdated_for(&model(), WeightsVersion(1), BootTime(70_000));
    assert!(Duration::from_millis(9_500) <= age, "{age:?}");
    assert!(age < Duration::from_millis(9_510), "{age:?}");
}

/// Guards against a proof for a model that this host has not listed, and against estimates that are passed on as
/// proofs.
#[test]
fn only_proofs_of_listed_models_are_told_and_taken() {
    let view = PeerView { target: 5, proofs: &[(1, 9_000)], read_age_ms: Some(10) };
    let mut empty = WeightsTable::default();
    assert!(view.report().apply(BootTime(20_000), &mut empty).is_empty());
    let mut estimated = listed(5);
    let proof = WeightsProof { version: WeightsVersion(1), proven_at: BootTime(10_000) };
    estimated.add_estimate(&model(), proof);
    assert!(estimated.is_proof_missing(&model(), WeightsVersion(1)));
    let report = WeightsReport::new(&estimated, None, BootTime(20_000));
    let mut weights = listed(5);
    assert!(report.apply(BootTime(20_000), &mut weights).is_empty());
}

fn hosts(count: usize, zones: usize) -> Vec<FleetHost> {
    let host = |number: usize| FleetHost {
        host: HostName::new(&format!("host-{number}")),
        zone: ZoneName::new(&format!("zone-{}", number % zones)),
        link_kbps: 1_000,
    };
    (0..count).map(host).collect()
}

/// Guards against a host that asks the same hosts again and again while another one knows the answer, and against
/// rounds that ask one zone only.
#[test]
fn all_hosts_are_asked_in_turn() {
    let hosts = hosts(10, 3);
    for seed in 0..20 {
        let mut rotation = PeerRotation::new(seed);
        let first = rotation.next(&hosts, 3);
        let zone_of = |name: &HostName| hosts.iter().find(|host| host.host == *name);
        let mut zones: Vec<&ZoneName> =
            first.iter().filter_map(zone_of).map(|host| &host.zone).collect();
        zones.sort();
        zones.dedup();
        assert_eq!(zones.len(), 3, "seed {seed}");
        let mut asked = first;
        (0..3).for_each(|_| asked.extend(rotation.next(&hosts, 3)));
        asked.sort();
        asked.dedup();
        assert_eq!(asked.len(), hosts.len(), "seed {seed}");
        assert_eq!(rotation.next(&hosts, 3).len(), 3, "seed {seed}");
    }
    assert!(PeerRotation::new(1).next(&[], 3).is_empty());
}
