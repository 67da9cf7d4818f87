//! What one book of suspects holds of what it saw and heard.

mod support;

use fulmargate_admission::CrashId;
use fulmargate_admission::CrashProof;
use fulmargate_admission::CrashSighting;
use fulmargate_admission::Fingerprint;
use fulmargate_admission::RunRefusal;
use fulmargate_admission::SuspectBook;
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

/// One book, one request and what happens to it.
struct BookCase {
    name: &'static str,
    events: &'static [BookEvent],
    expected: SuspectStanding,
}

enum BookEvent {
    /// The request runs on a server, under an incarnation, and its connection breaks.
    Broke(&'static str, u64),
    /// It runs, and its caller hangs up.
    HungUp(&'static str, u64),
    /// It runs, and its whole answer comes.
    EndedWell(&'static str, u64),
    Crashed(&'static str, u64),
    Seen(&'static str, u64),
    Pass(u64),
    /// Another router's word: crashes and cleared ones.
    Learn(VerdictStanding, &'static [(&'static str, u64)], &'static [(&'static str, u64)]),
}

use BookEvent::Broke;
use BookEvent::Crashed;
use BookEvent::EndedWell;
use BookEvent::HungUp;
use BookEvent::Learn;
use BookEvent::Pass;
use BookEvent::Seen;

const BOOKS: &[BookCase] = &[
    BookCase {
        name: "a broken connection brings suspicion before any proof",
        events: &[Broke("a", 1)],
        expected: Suspect,
    },
    BookCase {
        name: "the server lives: the network broke",
        events: &[Broke("a", 1), Seen("a", 1)],
        expected: Innocent,
    },
    BookCase {
        name: "the server lives under another incarnation: it crashed",
        events: &[Broke("a", 1), Seen("a", 2), Seen("a", 2)],
        expected: Suspect,
    },
    BookCase {
        name: "a break without proof counts for a while only",
        events: &[Broke("a", 1), Pass(11_000)],
        expected: Innocent,
    },
    BookCase {
        name: "two breaks without proof convict nobody",
        events: &[Broke("a", 1), Broke("b", 1), Pass(2_000)],
        expected: Held,
    },
    BookCase {
        name: "the caller hung up just before the crash was known",
        events: &[HungUp("a", 1), Crashed("a", 1)],
        expected: Suspect,
    },
    BookCase {
        name: "the caller hung up long before the crash",
        events: &[HungUp("a", 1), Pass(3_000), Crashed("a", 1)],
        expected: Innocent,
    },
    BookCase {
        name: "a crash of the next incarnation is another crash",
        events: &[EndedWell("a", 1), Crashed("a", 2)],
        expected: Innocent,
    },
    BookCase {
        name: "one crash and a whole answer",
        events: &[Broke("a", 1), Crashed("a", 1), EndedWell("b", 1)],
        expected: Innocent,
    },
    BookCase {
        name: "two crashes, just now",
        events: &[Broke("a", 1), Crashed("a", 1), Broke("b", 1), Crashed("b", 1)],
        expected: Held,
    },
    BookCase {
        name: "two crashes, and nobody else was there",
        events: &[Broke("a", 1), Crashed("a", 1), Broke("b", 1), Crashed("b", 1), Pass(500)],
        expected: Convicted,
    },
    BookCase {
        name: "one crash here, one at another router",
        events: &[
            Learn(VerdictStanding::Suspect, &[("a", 1)], &[]),
            Broke("b", 1),
            Crashed("b", 1),
            Pass(500),
        ],
        expected: Convicted,
    },
    BookCase {
        name: "the same crash, here and at another router",
        events: &[
            Learn(VerdictStanding::Suspect, &[("a", 1)], &[]),
            Broke("a", 1),
            Crashed("a", 1),
            Pass(500),
        ],
        expected: Suspect,
    },
    BookCase {
        name: "convicted by another router",
        events: &[Learn(VerdictStanding::Convicted, &[("a", 1), ("b", 1)], &[])],
        expected: Convicted,
    },
    BookCase {
        name: "late news of a crash that it was cleared of",
        events: &[
            Broke("a", 1),
            Crashed("a", 1),
            EndedWell("b", 1),
            Learn(VerdictStanding::Suspect, &[("a", 1)], &[]),
        ],
        expected: Innocent,
    },
    BookCase {
        name: "cleared by another router before the news of the crash",
        events: &[
            Learn(VerdictStanding::Innocent, &[], &[("a", 1)]),
            Learn(VerdictStanding::Suspect, &[("a", 1)], &[]),
        ],
        expected: Innocent,
    },
    BookCase {
        name: "a suspicion that nobody renewed",
        events: &[Broke("a", 1), Crashed("a", 1), Pass(601_000)],
        expected: Innocent,
    },
];

#[tokio::test(start_paused = true)]
async fn a_book_holds_what_it_saw_and_heard() {
    for case in BOOKS {
        check_book(case).await;
    }
}

async fn check_book(case: &BookCase) {
    let book = SuspectBook::new(SuspectConf::default());
    let print = Fingerprint(7);
    let run = |server: &str, incarnation: &u64| {
        let incarnation = Incarnation(*incarnation);
        book.begin(print, &ServerName::new(server), incarnation, Instant::now())
            .expect("it may run")
    };
    for event in case.events {
        let now = Instant::now();
        match event {
            Broke(server, incarnation) => run(server, incarnation).broke(),
            HungUp(server, incarnation) => drop(run(server, incarnation)),
            EndedWell(server, incarnation) => run(server, incarnation).ended_well(),
            Crashed(server, incarnation) => {
                book.crashed(&ServerName::new(server), Incarnation(*incarnation), now);
            }
            Seen(server, incarnation) => {
                book.seen(&ServerName::new(server), Incarnation(*incarnation), now);
            }
            Pass(millis) => advance(ms(*millis)).await,
            Learn(standing, crashes, cleared) => {
                let verdict = verdict(print, *standing, crashes, cleared);
                book.learn(&verdict, &HostName::new("entry-9"), now);
            }
        }
        // Control asks for news all the time.
        book.news(Instant::now());
    }
    assert_eq!(book.standing(print, Instant::now()), case.expected, "{}", case.name);
}

/// An innocent request was under way with a culprit, runs apart, and meets another, first-time
/// culprit there: it has been there for two crashes now. Its caller must get its answer all the
/// same, once the culprits' own second crashes have explained both.
#[tokio::test(start_paused = true)]
async fn an_innocent_request_that_meets_two_culprits_is_cleared() {
    let book = SuspectBook::new(SuspectConf::default());
    let (innocent, first, second) = (Fingerprint(1), Fingerprint(2), Fingerprint(3));
    let run = |print, server: &str| {
        let server = ServerName::new(server);
        book.begin(print, &server, Incarnation(1), Instant::now()).expect("it may run")
    };
    let crash = |server: &str, runs: Vec<SuspectRun>| {
        runs.into_iter().for_each(SuspectRun::broke);
        book.crashed(&ServerName::new(server), Incarnation(1), Instant::now());
    };
    let standings = || [innocent, first, second].map(|it| book.standing(it, Instant::now()));
    crash("a", vec![run(innocent, "a"), run(first, "a")]);
    advance(ms(100)).await;
    crash("b", vec![run(innocent, "b"), run(second, "b")]);
    crash("c", vec![run(first, "c")]);
    advance(ms(600)).await;
    book.news(Instant::now());
    assert_eq!(standings(), [Held, Convicted, Suspect]);
    crash("d", vec![run(second, "d")]);
    advance(ms(600)).await;
    book.news(Instant::now());
    assert_eq!(standings(), [Suspect, Convicted, Convicted]);
    run(innocent, "e").ended_well();
    assert_eq!(standings(), [Innocent, Convicted, Convicted]);
}

/// A rack fails: one request has met two of its servers, another one a third. The first must not
/// be convicted before it is known whether the third crash was the other one's doing; it was
/// not, so servers fail of themselves and the first may run again.
#[tokio::test(start_paused = true)]
async fn a_request_is_not_convicted_while_other_crashes_are_open() {
    let book = SuspectBook::new(SuspectConf::default());
    let (unlucky, other) = (Fingerprint(1), Fingerprint(2));
    let run = |print, server: &str| {
        let server = ServerName::new(server);
        book.begin(print, &server, Incarnation(1), Instant::now()).expect("it may run")
    };
    for (print, server) in [(unlucky, "a"), (other, "b"), (unlucky, "c")] {
        run(print, server).broke();
        book.crashed(&ServerName::new(server), Incarnation(1), Instant::now());
    }
    advance(ms(600)).await;
    assert_eq!(book.standing(unlucky, Instant::now()), Held);
    run(other, "d").ended_well();
    assert_eq!(book.standing(unlucky, Instant::now()), Suspect);
}

/// Two routers ran a suspect each on one server at the same time, and it crashed: both have been
/// there for the same two crashes. If each waited for the other, both callers would wait for ever.
#[tokio::test(start_paused = true)]
async fn of_two_suspects_of_the_same_crashes_one_runs_first() {
    let book = SuspectBook::new(SuspectConf::default());
    let from = HostName::new("entry-9");
    let (lower, higher) = (Fingerprint(1), Fingerprint(2));
    for print in [lower, higher] {
        let word = verdict(print, VerdictStanding::Suspect, &[("a", 1), ("b", 1)], &[]);
        book.learn(&word, &from, Instant::now());
    }
    advance(ms(600)).await;
    let standings = || [lower, higher].map(|print| book.standing(print, Instant::now()));
    assert_eq!(standings(), [Suspect, Held]);
    let server = ServerName::new("c");
    book.begin(lower, &server, Incarnation(1), Instant::now()).expect("it may run").broke();
    book.crashed(&server, Incarnation(1), Instant::now());
    advance(ms(600)).await;
    assert_eq!(standings(), [Convicted, Suspect]);
}

/// A request is under way here while another router's run of it crashes a server. That router is
/// about to run it apart; it must hear that it runs here, or two more servers crash at once.
#[tokio::test(start_paused = true)]
async fn a_run_of_a_new_suspect_is_told() {
    let book = SuspectBook::new(SuspectConf::default());
    let (print, server) = (Fingerprint(7), ServerName::new("b"));
    let _run = book.begin(print, &server, Incarnation(1), Instant::now()).expect("innocent");
    assert!(book.news(Instant::now()).is_empty());
    let word = verdict(print, VerdictStanding::Suspect, &[("a", 1)], &[]);
    book.learn(&word, &HostName::new("entry-9"), Instant::now());
    let news = book.news(Instant::now());
    assert_eq!(news.first().and_then(|told| told.running_on.clone()), Some(server));
}

/// The caller's second try reaches another router while the first runs the suspect. It must wait
/// there: run twice at a time, a crashing request would take a second and a third server at once.
#[tokio::test(start_paused = true)]
async fn a_suspect_that_runs_elsewhere_waits() {
    let book = SuspectBook::new(SuspectConf::default());
    let print = Fingerprint(7);
    let from = HostName::new("entry-9");
    let mut word = verdict(print, VerdictStanding::Suspect, &[("a", 1)], &[]);
    word.running_on = Some(ServerName::new("b"));
    book.learn(&word, &from, Instant::now());
    let begin = |number: u128, server: &str| {
        let run = book.begin(
            Fingerprint(number),
            &ServerName::new(server),
            Incarnation(1),
            Instant::now(),
        );
        run.map(drop)
    };
    assert_eq!(begin(7, "c"), Err(RunRefusal::Busy));
    assert_eq!(begin(8, "b"), Ok(()), "the innocent run anywhere");
    assert!(book.has_suspect(&ServerName::new("b"), Instant::now()));
    word.running_on = None;
    book.learn(&word, &from, Instant::now());
    assert_eq!(begin(7, "c"), Ok(()));
}

/// Many requests are suspected in turn. The book keeps the newest, and convictions longest.
#[tokio::test(start_paused = true)]
async fn memory_is_bounded() {
    let conf = SuspectConf { most_records: 16, ..SuspectConf::default() };
    let book = SuspectBook::new(conf);
    let from = HostName::new("entry-9");
    let guilty = verdict(Fingerprint(0), VerdictStanding::Convicted, &[("a", 1), ("b", 1)], &[]);
    book.learn(&guilty, &from, Instant::now());
    for number in 1..200 {
        advance(ms(1)).await;
        let word = verdict(Fingerprint(number), VerdictStanding::Suspect, &[("c", 1)], &[]);
        book.learn(&word, &from, Instant::now());
    }
    assert_eq!(book.verdicts(Instant::now()).len(), 16);
    assert_eq!(book.standing(Fingerprint(0), Instant::now()), Convicted);
    assert_eq!(book.standing(Fingerprint(199), Instant::now()), Suspect);
}

#[test]
fn fingerprints_tell_team_model_and_body_apart() {
    let print = |team: &str, model: &str, body: &str| {
        Fingerprint::of(1, &TeamName::new(team), model, body.as_bytes())
    };
    assert_eq!(print("a", "m", "x"), print("a", "m", "x"));
    let others = [print("b", "m", "x"), print("a", "n", "x"), print("a", "m", "y")];
    let shifted = [print("am", "", "x"), print("a", "mx", ""), print("", "am", "x")];
    assert!(others.iter().chain(&shifted).all(|other| *other != print("a", "m", "x")));
    assert_ne!(print("a", "m", "x"), Fingerprint::of(2, &TeamName::new("a"), "m", b"x"));
}

fn verdict(
    print: Fingerprint,
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
        print,
        standing,
        running_on: None,
        crashes: crashes.iter().map(crash).map(sighting).collect(),
        cleared: cleared.iter().map(crash).collect(),
    }
}
