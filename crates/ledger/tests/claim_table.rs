//! The fold of a claim stream: tables of records and what they must do.

use fulmargate_ledger::CallOutcome;
use fulmargate_ledger::ClaimEntry;
use fulmargate_ledger::ClaimKey;
use fulmargate_ledger::ClaimOutcome;
use fulmargate_ledger::ClaimRecord;
use fulmargate_ledger::ClaimRelease;
use fulmargate_ledger::ClaimTable;
use fulmargate_ledger::ClaimerGone;
use fulmargate_ledger::ClaimerId;
use fulmargate_ledger::KeyHash;
use fulmargate_ledger::KeyView;
use fulmargate_ledger::MemoryRule;
use fulmargate_ledger::NewClaim;
use fulmargate_ledger::RECORD_LAYOUT;
use fulmargate_ledger::RanOutcome;
use fulmargate_ledger::RanPlace;
use fulmargate_ledger::RecordEffect;
use fulmargate_ledger::RenewPlan;
use fulmargate_ledger::RenewedClaim;
use fulmargate_ledger::RenewedState;
use fulmargate_ledger::RequestPrint;
use fulmargate_ledger::TableChange;
use fulmargate_ledger::TableError;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::LogOffset;
use fulmargate_names::TeamName;
use fulmargate_platform::LogRecord;

const KEY: KeyHash = KeyHash([7; 16]);
const PRINT: RequestPrint = RequestPrint([1; 8]);
const MEMORY: MemoryRule =
    MemoryRule { remember_ms: 1_000, ahead_ms: 100, opaque_ms: 900, release_ms: 100 };

fn claimer(host: &str, incarnation: u64) -> ClaimerId {
    ClaimerId { host: HostName::new(host), incarnation: Incarnation(incarnation) }
}

fn claim(number: u64, made_ms: Option<u64>) -> ClaimEntry {
    ClaimEntry::Claim(NewClaim { key: KEY, print: PRINT, number, made_ms })
}

fn release(number: u64) -> ClaimEntry {
    ClaimEntry::Release(ClaimRelease { key: KEY, number })
}

fn ran(number: u64, status: u16) -> ClaimEntry {
    let outcome = CallOutcome::Ran(RanOutcome { status, digest: None, body: None });
    ClaimEntry::Outcome(ClaimOutcome { key: KEY, number, outcome })
}

fn unknown(number: u64) -> ClaimEntry {
    ClaimEntry::Outcome(ClaimOutcome { key: KEY, number, outcome: CallOutcome::Unknown })
}

fn renew(host: &str, number: u64, until_ms: u64, state: RenewedState) -> ClaimEntry {
    ClaimEntry::Renew(RenewedClaim {
        key: KEY,
        print: PRINT,
        claimer: claimer(host, 1),
        number,
        claimed_ms: 0,
        until_ms,
        state,
    })
}

/// A record of the table: who, which of its records, when it lands, and its entries.
struct Landed(&'static str, u64, u64, Vec<ClaimEntry>);

fn record(offset: usize, landed: &Landed) -> LogRecord {
    let Landed(host, sequence, time_ms, entries) = landed;
    let record = ClaimRecord {
        layout: RECORD_LAYOUT,
        claimer: claimer(host, 1),
        sequence: *sequence,
        memory: MEMORY,
        entries: entries.clone(),
    };
    LogRecord {
        offset: LogOffset(offset as u64),
        time_ms: *time_ms,
        id: format!("{host}.{sequence}"),
        data: serde_json::to_string(&record).unwrap(),
    }
}

/// Records of one key, what each did, and what the key is then.
struct FoldCase {
    name: &'static str,
    records: Vec<Landed>,
    effects: Vec<&'static str>,
    view: &'static str,
}

fn effect_text(effect: &RecordEffect) -> String {
    let RecordEffect::Folded { changes, .. } = effect else {
        return format!("{effect:?}");
    };
    let texts: Vec<String> = changes
        .iter()
        .map(|change| match change {
            TableChange::Won { number, .. } => format!("won {number}"),
            TableChange::Lost { number, .. } => format!("lost {number}"),
            TableChange::TooOld { number, .. } => format!("old {number}"),
            TableChange::Settled { outcome: CallOutcome::Unknown, .. } => String::from("unknown"),
            TableChange::Settled { outcome: CallOutcome::Ran(ran), .. } => {
                format!("ran {}", ran.status)
            }
            TableChange::Released { .. } => String::from("released"),
        })
        .collect();
    texts.join(", ")
}

fn view_text(view: KeyView) -> String {
    match view {
        KeyView::Ran(RanPlace { status, position, offset: Some(offset) }) => {
            format!("ran {status} at {offset}.{position}")
        }
        KeyView::Ran(RanPlace { status, .. }) => format!("ran {status}"),
        KeyView::Pending { claimer_gone: ClaimerGone::Yes, .. } => String::from("gone"),
        KeyView::Pending { .. } => String::from("pending"),
        view => format!("{view:?}").to_lowercase(),
    }
}

fn check(case: &FoldCase) {
    let mut table = ClaimTable::new(LogOffset(0));
    for (offset, landed) in case.records.iter().enumerate() {
        let effect = table.fold(&record(offset, landed)).unwrap();
        assert_eq!(effect_text(&effect), case.effects[offset], "{} at {offset}", case.name);
    }
    assert_eq!(view_text(table.view(KEY, PRINT)), case.view, "{}", case.name);
}

fn order_cases() -> Vec<FoldCase> {
    vec![
        FoldCase {
            name: "the lowest offset wins",
            records: vec![
                Landed("a", 1, 0, vec![claim(1, None)]),
                Landed("b", 1, 1, vec![claim(1, None)]),
            ],
            effects: vec!["won 1", "lost 1"],
            view: "pending",
        },
        FoldCase {
            name: "within a record the first entry wins",
            records: vec![Landed("a", 1, 0, vec![claim(1, None), claim(2, None)])],
            effects: vec!["won 1, lost 2"],
            view: "pending",
        },
        FoldCase {
            name: "a record that landed twice counts once, so that a released claim doesn't come back",
            records: vec![
                Landed("a", 1, 0, vec![claim(1, None)]),
                Landed("a", 2, 1, vec![release(1)]),
                Landed("a", 1, 2, vec![claim(1, None)]),
                Landed("b", 1, 3, vec![claim(9, None)]),
            ],
            effects: vec!["won 1", "released", "Void", "won 9"],
            view: "pending",
        },
        FoldCase {
            name: "a record that lands after a later one of its claimer is void",
            records: vec![Landed("a", 2, 0, vec![]), Landed("a", 1, 1, vec![claim(1, None)])],
            effects: vec!["", "Void"],
            view: "free",
        },
        FoldCase {
            name: "the outcome of the holder settles the key, and later words change nothing",
            records: vec![
                Landed("a", 1, 0, vec![claim(1, None)]),
                Landed("b", 1, 1, vec![claim(1, None), ran(1, 500), release(1)]),
                Landed("a", 2, 2, vec![unknown(2), ran(1, 200), unknown(1), release(1)]),
            ],
            effects: vec!["won 1", "lost 1", "ran 200"],
            view: "ran 200 at 2.1",
        },
        FoldCase {
            name: "an unknown end stays unknown",
            records: vec![
                Landed("a", 1, 0, vec![claim(1, None)]),
                Landed("a", 2, 1, vec![unknown(1), ran(1, 200)]),
            ],
            effects: vec!["won 1", "unknown"],
            view: "unknown",
        },
        FoldCase {
            name: "a release that lands late is void",
            records: vec![
                Landed("a", 1, 0, vec![claim(1, None)]),
                Landed("a", 2, 100, vec![release(1)]),
            ],
            effects: vec!["won 1", ""],
            view: "pending",
        },
    ]
}

fn age_cases() -> Vec<FoldCase> {
    vec![
        FoldCase {
            name: "a key that is too old when its claim lands is refused",
            records: vec![Landed("a", 1, 1_050, vec![claim(1, Some(50))])],
            effects: vec!["old 1"],
            view: "free",
        },
        FoldCase {
            name: "a key with its age is held up to the age at which it is refused",
            records: vec![
                Landed("a", 1, 10, vec![claim(1, Some(50))]),
                Landed("b", 1, 1_049, vec![claim(1, Some(50))]),
                Landed("b", 2, 1_050, vec![claim(2, Some(50))]),
            ],
            effects: vec!["won 1", "lost 1", "old 2"],
            view: "pending",
        },
        FoldCase {
            name: "a key without an age is held for its time from the landing",
            records: vec![
                Landed("a", 1, 10, vec![claim(1, None)]),
                Landed("b", 1, 909, vec![claim(1, None)]),
                Landed("b", 2, 910, vec![claim(2, None)]),
            ],
            effects: vec!["won 1", "lost 1", "won 2"],
            view: "pending",
        },
        FoldCase {
            name: "a key from far ahead of the log's clock counts as one without an age",
            records: vec![
                Landed("a", 1, 10, vec![claim(1, Some(111))]),
                Landed("b", 1, 909, vec![claim(1, Some(111))]),
                Landed("b", 2, 910, vec![claim(2, Some(111))]),
            ],
            effects: vec!["won 1", "lost 1", "won 2"],
            view: "pending",
        },
        FoldCase {
            name: "a renewed claim holds its key for a reader that began after it",
            records: vec![
                Landed("c", 1, 500, vec![renew("a", 1, 900, RenewedState::Ran(201))]),
                Landed("b", 1, 600, vec![claim(1, None)]),
                Landed("b", 2, 900, vec![claim(2, None)]),
            ],
            effects: vec!["", "lost 1", "won 2"],
            view: "pending",
        },
        FoldCase {
            name: "renewing takes nothing from the holder and nothing back, twice or late",
            records: vec![
                Landed("a", 1, 0, vec![claim(1, None), ran(1, 200)]),
                Landed(
                    "c",
                    1,
                    500,
                    vec![
                        renew("a", 1, 900, RenewedState::Pending),
                        renew("b", 4, 900, RenewedState::Ran(500)),
                    ],
                ),
                Landed("c", 2, 900, vec![renew("b", 4, 900, RenewedState::Pending)]),
            ],
            effects: vec!["won 1, ran 200", "", ""],
            view: "ran 200 at 0.1",
        },
    ]
}

#[test]
fn records_do_what_they_must() {
    for case in order_cases().iter().chain(&age_cases()) {
        check(case);
    }
}

#[test]
fn a_claimer_that_started_anew_is_gone() {
    // The claimer crashed with its call under way. Its host's next start shows in the stream, or a peer tells of the end.
    // No outcome will come, so a re-send must not wait for one.
    let landed = Landed("a", 1, 0, vec![claim(1, None)]);
    let mut by_peer = ClaimTable::new(LogOffset(0));
    by_peer.fold(&record(0, &landed)).unwrap();
    let mut by_log = by_peer.clone();
    by_peer.claimer_gone(&HostName::new("a"), Incarnation(0));
    assert_eq!(view_text(by_peer.view(KEY, PRINT)), "pending");
    by_peer.claimer_gone(&HostName::new("a"), Incarnation(1));
    assert_eq!(view_text(by_peer.view(KEY, PRINT)), "gone");

    let anew = ClaimRecord {
        layout: RECORD_LAYOUT,
        claimer: claimer("a", 2),
        sequence: 1,
        memory: MEMORY,
        entries: vec![],
    };
    let data = serde_json::to_string(&anew).unwrap();
    by_log
        .fold(&LogRecord { offset: LogOffset(1), time_ms: 1, id: String::from("x"), data })
        .unwrap();
    assert_eq!(view_text(by_log.view(KEY, PRINT)), "gone");
}

#[test]
fn what_cannot_be_read_is_passed_over_or_stops_the_book() {
    // A foreign record says nothing to any reader. A record of a later layout may say something to others that this build
    // does not support: reading on would make it decide on keys otherwise than they do.
    let line = |offset: u64, data: &str| LogRecord {
        offset: LogOffset(offset),
        time_ms: 1,
        id: String::from("x"),
        data: String::from(data),
    };
    let mut table = ClaimTable::new(LogOffset(3));
    assert_eq!(
        table.fold(&line(5, "{}")),
        Err(TableError::Gap { next: LogOffset(3), offset: LogOffset(5) })
    );
    for (offset, data) in [(3, "{"), (4, "{}"), (5, "{\"v\":1}"), (6, "[7]")] {
        assert_eq!(table.fold(&line(offset, data)), Ok(RecordEffect::Unreadable), "{data}");
    }
    assert_eq!(
        table.fold(&line(7, "{\"v\":2,\"new\":1}")),
        Err(TableError::LaterLayout { offset: LogOffset(7), layout: 2 })
    );
    assert_eq!(table.next_offset(), LogOffset(7));
}

#[test]
fn only_claims_that_outlive_their_record_are_renewed() {
    let mut table = ClaimTable::new(LogOffset(0));
    let landed = Landed("a", 1, 1_000, vec![claim(1, None)]);
    table.fold(&record(0, &landed)).unwrap();
    struct RenewCase(&'static str, u64, u64, u64, usize);
    let cases = [
        RenewCase("due", 2_000, 800, 5_000, 1),
        RenewCase("its record is young", 1_000, 800, 5_000, 0),
        RenewCase("forgotten before its record goes", 2_000, 900, 5_000, 0),
        RenewCase("a release may be on its way", 2_000, 800, 1_100, 0),
    ];
    for RenewCase(name, standing_before_ms, lasting_ms, complete_ms, count) in cases {
        let plan = RenewPlan { standing_before_ms, lasting_ms, complete_ms, limit: 10 };
        assert_eq!(table.to_renew(&plan).len(), count, "{name}");
    }
    let plan =
        RenewPlan { standing_before_ms: 1_500, lasting_ms: 800, complete_ms: 5_000, limit: 10 };
    let entries = table.to_renew(&plan).into_iter().map(ClaimEntry::Renew).collect();
    table.fold(&record(1, &Landed("b", 1, 1_600, entries))).unwrap();
    assert_eq!(table.to_renew(&plan).len(), 0);
}

#[test]
fn keys_tell_their_age_and_their_team() {
    let uuid = "0190163d-8694-739b-aea5-966c26f8ad91";
    let shop = ClaimKey::new(&TeamName::new("shop"), uuid);
    assert_eq!(shop.made_ms, Some(0x0190_163d_8694));
    assert_ne!(ClaimKey::new(&TeamName::new("permits"), uuid).hash, shop.hash);
    assert_eq!(ClaimKey::new(&TeamName::new("shop"), "order-17").made_ms, None);
    assert_eq!(
        ClaimKey::new(&TeamName::new("shop"), "7b2de3b4-9d1a-4a8c-8f0e-2d9b3f1c6a55").made_ms,
        None
    );
    assert_ne!(RequestPrint::of(&[b"ab", b"c"]), RequestPrint::of(&[b"a", b"bc"]));
}
