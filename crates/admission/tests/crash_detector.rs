//! Standing of requests at one router after runs, crashes and verdicts of other routers.

mod support;

use fulmargate_admission::CrashDetector;
use fulmargate_admission::CrashId;
use fulmargate_admission::CrashProof;
use fulmargate_admission::CrashSighting;
use fulmargate_admission::Fingerprint;
use fulmargate_admission::RunRefusal;
use fulmargate_admission::SuspectConf;
use fulmargate_admission::SuspectRun;
use fulmargate_admission::SuspectStanding;
use fulmargate_admission::SuspectVerdict;
use fulmargate_admission::VerdictStanding;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use support::ms;
use tokio::time::Instant;
use tokio::time::advance;

use SuspectStanding::Convicted;
use SuspectStanding::Held;
use SuspectStanding::Innocent;
use SuspectStanding::Suspect;

/// Events of one request, and its standing afterwards.
struct StandingCase {
    name: &'static str,
    events: &'static [SuspectEvent],
    expected: SuspectStanding,
}

enum SuspectEvent {
    /// The request runs on this server and incarnation, and its connection breaks.
    ConnectionBroke(&'static str, u64),
    /// It runs, and its caller disconnects.
    CallerDisconnected(&'static str, u64),
    /// It runs, and its response is complete.
    Completed(&'static str, u64),
    Crashed(&'static str, u64),
    Seen(&'static str, u64),
    Advance(u64),
    /// A verdict from another router: standing, crashes and cleared crashes.
    VerdictReceived(
        VerdictStanding,
        &'static [(&'static str, u64)],
        &'static [(&'static str, u64)],
    ),
}

use SuspectEvent::Advance;
use SuspectEvent::CallerDisconnected;
use SuspectEvent::Completed;
use SuspectEvent::ConnectionBroke;
use SuspectEvent::Crashed;
use SuspectEvent::Seen;
use SuspectEvent::VerdictReceived;

const STANDING_CASES: &[StandingCase] = &[
    StandingCase {
        name: "a broken connection makes a suspect before the crash is confirmed",
        events: &[ConnectionBroke("a", 1)],
        expected: Suspect,
    },
    StandingCase {
        name: "the server still runs: a network failure",
        events: &[ConnectionBroke("a", 1), Seen("a", 1)],
        expected: Innocent,
    },
    StandingCase {
        name: "the server runs under another incarnation: it crashed",
        events: &[ConnectionBroke("a", 1), Seen("a", 2), Seen("a", 2)],
        expected: Suspect,
    },
    StandingCase {
        name: "an unconfirmed crash expires",
        events: &[ConnectionBroke("a", 1), Advance(11_000)],
        expected: Innocent,
    },
    StandingCase {
        name: "two unconfirmed crashes don't convict",
        events: &[ConnectionBroke("a", 1), ConnectionBroke("b", 1), Advance(2_000)],
        expected: Held,
    },
    StandingCase {
        name: "the caller disconnected just before the crash was detected",
        events: &[CallerDisconnected("a", 1), Crashed("a", 1)],
        expected: Suspect,
    },
    StandingCase {
        name: "the caller disconnected long before the crash",
        events: &[CallerDisconnected("a", 1), Advance(3_000), Crashed("a", 1)],
        expected: Innocent,
    },
    StandingCase {
        name: "a crash of the next incarnation is another crash",
        events: &[Completed("a", 1), Crashed("a", 2)],
        expected: Innocent,
    },
    StandingCase {
        name: "one crash and a complete response",
        events: &[ConnectionBroke("a", 1), Crashed("a", 1), Completed("b", 1)],
        expected: Innocent,
    },
    StandingCase {
        name: "two crashes, within the settle time",
        events: &[
            ConnectionBroke("a", 1),
            Crashed("a", 1),
            ConnectionBroke("b", 1),
            Crashed("b", 1),
        ],
        expected: Held,
    },
    StandingCase {
        name: "two crashes without other suspects",
        events: &[
            ConnectionBroke("a", 1),
            Crashed("a", 1),
            ConnectionBroke("b", 1),
            Crashed("b", 1),
            Advance(500),
        ],
        expected: Convicted,
    },
    StandingCase {
        name: "one crash here, one at another router",
        events: &[
            VerdictReceived(VerdictStanding::Suspect, &[("a", 1)], &[]),
            ConnectionBroke("b", 1),
            Crashed("b", 1),
            Advance(500),
        ],
        expected: Convicted,
    },
    StandingCase {
        name: "the same crash, here and at another router",
        events: &[
            VerdictReceived(VerdictStanding::Suspect, &[("a", 1)], &[]),
            ConnectionBroke("a", 1),
            Crashed("a", 1),
            Advance(500),
        ],
        expected: Suspect,
    },
    StandingCase {
        name: "convicted by another router",
        events: &[VerdictReceived(VerdictStanding::Convicted, &[("a", 1), ("b", 1)], &[])],
        expected: Convicted,
    },
    StandingCase {
        name: "a late report of a crash that it was cleared of",
        events: &[
            ConnectionBroke("a", 1),
            Crashed("a", 1),
            Completed("b", 1),
            VerdictReceived(VerdictStanding::Suspect, &[("a", 1)], &[]),
        ],
        expected: Innocent,
    },
    StandingCase {
        name: "cleared by another router before the crash is reported",
        events: &[
            VerdictReceived(VerdictStanding::Innocent, &[], &[("a", 1)]),
            VerdictReceived(VerdictStanding::Suspect, &[("a", 1)], &[]),
        ],
        expected: Innocent,
    },
    StandingCase {
        name: "a suspicion without updates expires",
        events: &[ConnectionBroke("a", 1), Crashed("a", 1), Advance(601_000)],
        expected: Innocent,
    },
];

#[tokio::test(start_paused = true)]
async fn events_lead_to_expected_standing() {
    for case in STANDING_CASES {
        assert_standing(case).await;
    }
}

async fn assert_standing(case: &StandingCase) {
    let detector = CrashDetector::new(SuspectConf::default());
    let fingerprint = Fingerprint(7);
    let run = |server: &str, incarnation: &u64| {
        let incarnation = Incarnation(*incarnation);
        detector
            .begin(fingerprint, &ServerName::new(server), incarnation, Instant::now())
            .expect("it may run")
    };
    for event in case.events {
        let now = Instant::now();
        match event {
            ConnectionBroke(server, incarnation) => run(server, incarnation).connection_broke(),
            CallerDisconnected(server, incarnation) => drop(run(server, incarnation)),
            Completed(server, incarnation) => run(server, incarnation).complete(),
            Crashed(server, incarnation) => {
                detector.crashed(&ServerName::new(server), Incarnation(*incarnation), now);
            }
            Seen(server, incarnation) => {
                detector.incarnation_seen(&ServerName::new(server), Incarnation(*incarnation), now);
            }
            Advance(millis) => advance(ms(*millis)).await,
            VerdictReceived(standing, crashes, cleared) => {
                let verdict = verdict(fingerprint, *standing, crashes, cleared);
                detector.merge_verdict(&verdict, &HostName::new("entry-9"), now);
            }
        }
        // As the control loop does.
        detector.take_changed_verdicts(Instant::now());
    }
    assert_eq!(detector.standing(fingerprint, Instant::now()), case.expected, "{}", case.name);
}

/// An innocent request that shared a server with two different crashing requests, one after the
/// other, must be cleared once second crashes have convicted both of them.
#[tokio::test(start_paused = true)]
async fn innocent_request_beside_two_crashing_requests_is_cleared() {
    let detector = CrashDetector::new(SuspectConf::default());
    let (innocent, first, second) = (Fingerprint(1), Fingerprint(2), Fingerprint(3));
    let run = |fingerprint, server: &str| {
        let server = ServerName::new(server);
        detector.begin(fingerprint, &server, Incarnation(1), Instant::now()).expect("it may run")
    };
    let crash = |server: &str, runs: Vec<SuspectRun>| {
        runs.into_iter().for_each(SuspectRun::connection_broke);
        detector.crashed(&ServerName::new(server), Incarnation(1), Instant::now());
    };
    let standings = || {
        [innocent, first, second].map(|fingerprint| detector.standing(fingerprint, Instant::now()))
    };
    crash("a", vec![run(innocent, "a"), run(first, "a")]);
    advance(ms(100)).await;
    crash("b", vec![run(innocent, "b"), run(second, "b")]);
    crash("c", vec![run(first, "c")]);
    advance(ms(600)).await;
    detector.take_changed_verdicts(Instant::now());
    assert_eq!(standings(), [Held, Convicted, Suspect]);
    crash("d", vec![run(second, "d")]);
    advance(ms(600)).await;
    detector.take_changed_verdicts(Instant::now());
    assert_eq!(standings(), [Suspect, Convicted, Convicted]);
    run(innocent, "e").complete();
    assert_eq!(standings(), [Innocent, Convicted, Convicted]);
}

/// When servers fail by themselves, a request with two crashes must not be convicted while a
/// concurrent crash is unexplained.
#[tokio::test(start_paused = true)]
async fn request_is_not_convicted_while_other_crashes_are_unexplained() {
    let detector = CrashDetector::new(SuspectConf::default());
    let (innocent, other) = (Fingerprint(1), Fingerprint(2));
    let run = |fingerprint, server: &str| {
        let server = ServerName::new(server);
        detector.begin(fingerprint, &server, Incarnation(1), Instant::now()).expect("it may run")
    };
    for (fingerprint, server) in [(innocent, "a"), (other, "b"), (innocent, "c")] {
        run(fingerprint, server).connection_broke();
        detector.crashed(&ServerName::new(server), Incarnation(1), Instant::now());
    }
    advance(ms(600)).await;
    assert_eq!(detector.standing(innocent, Instant::now()), Held);
    run(other, "d").complete();
    assert_eq!(detector.standing(innocent, Instant::now()), Suspect);
}

/// Two suspects with the same two crashes must not wait for each other forever.
#[tokio::test(start_paused = true)]
async fn one_of_two_suspects_of_the_same_crashes_runs_first() {
    let detector = CrashDetector::new(SuspectConf::default());
    let from = HostName::new("entry-9");
    let (lower, higher) = (Fingerprint(1), Fingerprint(2));
    for fingerprint in [lower, higher] {
        let verdict_received =
            verdict(fingerprint, VerdictStanding::Suspect, &[("a", 1), ("b", 1)], &[]);
        detector.merge_verdict(&verdict_received, &from, Instant::now());
    }
    advance(ms(600)).await;
    let standings =
        || [lower, higher].map(|fingerprint| detector.standing(fingerprint, Instant::now()));
    assert_eq!(standings(), [Suspect, Held]);
    let server = ServerName::new("c");
    detector
        .begin(lower, &server, Incarnation(1), Instant::now())
        .expect("it may run")
        .connection_broke();
    detector.crashed(&server, Incarnation(1), Instant::now());
    advance(ms(600)).await;
    assert_eq!(standings(), [Convicted, Suspect]);
}

/// When another router reports a request as suspect while it is in flight here, the run must be
/// reported back, so that it isn't run on two servers at once.
#[tokio::test(start_paused = true)]
async fn in_flight_run_of_new_suspect_is_reported() {
    let detector = CrashDetector::new(SuspectConf::default());
    let (fingerprint, server) = (Fingerprint(7), ServerName::new("b"));
    let _run = detector
        .begin(fingerprint, &server, Incarnation(1), Instant::now())
        .expect("not a suspect");
    assert!(detector.take_changed_verdicts(Instant::now()).is_empty());
    let verdict_received = verdict(fingerprint, VerdictStanding::Suspect, &[("a", 1)], &[]);
    detector.merge_verdict(&verdict_received, &HostName::new("entry-9"), Instant::now());
    let news = detector.take_changed_verdicts(Instant::now());
    assert_eq!(news.first().and_then(|verdict| verdict.running_on.clone()), Some(server));
}

/// A retry of a suspect on another router must wait while the first router runs it; otherwise it
/// could crash two servers at once.
#[tokio::test(start_paused = true)]
async fn suspect_running_on_another_router_waits() {
    let detector = CrashDetector::new(SuspectConf::default());
    let fingerprint = Fingerprint(7);
    let from = HostName::new("entry-9");
    let mut verdict_received = verdict(fingerprint, VerdictStanding::Suspect, &[("a", 1)], &[]);
    verdict_received.running_on = Some(ServerName::new("b"));
    detector.merge_verdict(&verdict_received, &from, Instant::now());
    let begin = |number: u128, server: &str| {
        let run = detector.begin(
            Fingerprint(number),
            &ServerName::new(server),
            Incarnation(1),
            Instant::now(),
        );
        run.map(drop)
    };
    assert_eq!(begin(7, "c"), Err(RunRefusal::Busy));
    assert_eq!(begin(8, "b"), Ok(()), "innocent requests run anywhere");
    assert!(detector.runs_suspect(&ServerName::new("b"), Instant::now()));
    verdict_received.running_on = None;
    detector.merge_verdict(&verdict_received, &from, Instant::now());
    assert_eq!(begin(7, "c"), Ok(()));
}

/// The number of records is bounded. Convictions are evicted last, and older suspects first.
#[tokio::test(start_paused = true)]
async fn number_of_records_is_bounded() {
    let conf = SuspectConf { max_records: 16, ..SuspectConf::default() };
    let detector = CrashDetector::new(conf);
    let from = HostName::new("entry-9");
    let guilty = verdict(Fingerprint(0), VerdictStanding::Convicted, &[("a", 1), ("b", 1)], &[]);
    detector.merge_verdict(&guilty, &from, Instant::now());
    for number in 1..200 {
        advance(ms(1)).await;
        let verdict_received =
            verdict(Fingerprint(number), VerdictStanding::Suspect, &[("c", 1)], &[]);
        detector.merge_verdict(&verdict_received, &from, Instant::now());
    }
    assert_eq!(detector.verdicts(Instant::now()).len(), 16);
    assert_eq!(detector.standing(Fingerprint(0), Instant::now()), Convicted);
    assert_eq!(detector.standing(Fingerprint(199), Instant::now()), Suspect);
}

#[test]
fn fingerprint_depends_on_team_model_and_body() {
    let fingerprint = |team: &str, model: &str, body: &str| {
        Fingerprint::of(1, &TeamName::new(team), model, body.as_bytes())
    };
    assert_eq!(fingerprint("a", "m", "x"), fingerprint("a", "m", "x"));
    let others =
        [fingerprint("b", "m", "x"), fingerprint("a", "n", "x"), fingerprint("a", "m", "y")];
    let shifted_boundaries =
        [fingerprint("am", "", "x"), fingerprint("a", "mx", ""), fingerprint("", "am", "x")];
    assert!(
        others.iter().chain(&shifted_boundaries).all(|other| *other != fingerprint("a", "m", "x"))
    );
    assert_ne!(fingerprint("a", "m", "x"), Fingerprint::of(2, &TeamName::new("a"), "m", b"x"));
}

fn verdict(
    fingerprint: Fingerprint,
    standing: VerdictStanding,
    crashes: &[(&str, u64)],
    cleared: &[(&str, u64)],
) -> SuspectVerdict {
    let crash = |(server, incarnation): &(&str, u64)| CrashId {
        server: ServerName::new(server),
        incarnation: Incarnation(*incarnation),
    };
    let sighting = |crash| CrashSighting { crash, age: ms(20), proof: CrashProof::Confirmed };
    SuspectVerdict {
        fingerprint,
        standing,
        running_on: None,
        crashes: crashes.iter().map(crash).map(sighting).collect(),
        cleared: cleared.iter().map(crash).collect(),
    }
}
