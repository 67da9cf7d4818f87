//! One failure at a time, at one coordinator.

use fulmargate_ledger::ClaimEntry;
use fulmargate_ledger::ClaimVerdict;
use fulmargate_ledger::CutOffRule;
use fulmargate_ledger::KnownKey;
use fulmargate_ledger::LedgerCommand;
use fulmargate_ledger::LedgerSettings;
use fulmargate_ledger::LedgerSettingsError;
use fulmargate_ledger::MemoryRule;
use fulmargate_ledger::NewClaim;
use fulmargate_ledger::TablePhase;
use fulmargate_names::Disposition;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::LogOffset;
use fulmargate_platform::LogError;

use crate::ledger_bench::BEGAN_MS;
use crate::ledger_bench::LedgerBench;
use crate::ledger_bench::OTHER_PRINT;
use crate::ledger_bench::PRINT;
use crate::ledger_bench::claimer;
use crate::ledger_bench::entries;
use crate::ledger_bench::key;
use crate::ledger_bench::settings;
use crate::ledger_bench::told;

fn other_claim(text: &str, number: u64) -> ClaimEntry {
    ClaimEntry::Claim(NewClaim { key: key(text).hash, print: PRINT, number, made_ms: None })
}

fn is_release(entry: &ClaimEntry) -> bool {
    matches!(entry, ClaimEntry::Release(_))
}

#[test]
fn a_claim_is_won_by_the_fold_though_the_answer_is_lost() {
    // The append lands and its answer is lost. The caller gets its claim as soon as the record is read back, and nothing is
    // appended a second time.
    let mut bench = LedgerBench::new(settings());
    let verdict = bench.claim("a");
    let group = bench.append();
    bench.land(&group);
    bench.end(&group, LogError::Lost);
    bench.read();
    assert!(matches!(told(verdict), ClaimVerdict::Won(_)));
    bench.pass(5_000);
    // The ticket was dropped, so that its release is all that follows.
    assert!(entries(&bench.append()).iter().all(is_release));
}

#[test]
fn a_frozen_claimer_does_not_send_late() {
    // The process stops between its append and the reading of it, and goes on after its caller's time is over. The claim
    // has won meanwhile; handed out now, the call would be sent for a caller that has gone. It is given back instead.
    let mut bench = LedgerBench::new(settings());
    let mut verdict = bench.claim_with("a", PRINT, 200);
    let group = bench.append();
    bench.land(&group);
    bench.now += std::time::Duration::from_secs(60);
    bench.read();
    assert!(verdict.try_recv().is_err());
    bench.pass(200);
    assert!(entries(&bench.append()).iter().all(is_release));
}

#[test]
fn a_claim_whose_caller_has_left_is_given_back() {
    // A caller leaves while its claim is appended, and another try of the call waits for the same key. The claim belongs to a
    // call for which others got `busy` before this retry began, so it isn't passed on: the retry gets a claim of its own.
    let mut bench = LedgerBench::new(settings());
    let first = bench.claim("a");
    let group = bench.append();
    drop(first);
    let mut second = bench.claim("a");
    bench.land(&group);
    bench.read();
    bench.pass(200);
    assert!(second.try_recv().is_err());
    assert!(entries(&bench.settle()).iter().all(is_release));
    bench.settle();
    let ClaimVerdict::Won(ticket) = told(second) else { panic!("not won") };
    assert_eq!(ticket.number(), 2);
}

#[test]
fn an_expired_ticket_is_not_sent_but_released() {
    let mut bench = LedgerBench::new(settings());
    let ticket = bench.win("a");
    bench.pass(10_001);
    ticket.begin_send(bench.now).unwrap_err().release();
    bench.pass(200);
    assert!(entries(&bench.append()).iter().all(is_release));
}

#[test]
fn an_abandoned_record_is_fenced() {
    // An append is lost and the log stays silent until nobody waits any more. The caller gets `unknown`.
    // The record may land at any later moment: before the fence, then its claim is released; after it, then it is void.
    struct FenceCase(&'static str, Landing, usize);
    enum Landing {
        BeforeFence,
        AfterFence,
        Never,
    }
    let cases = [
        FenceCase("lands before", Landing::BeforeFence, 1),
        FenceCase("lands after", Landing::AfterFence, 0),
        FenceCase("never lands", Landing::Never, 0),
    ];
    for FenceCase(name, landing, releases) in cases {
        let mut bench = LedgerBench::new(settings());
        let verdict = bench.claim("a");
        let lost = bench.append();
        bench.end(&lost, LogError::Lost);
        bench.pass(1_000);
        assert!(matches!(told(verdict), ClaimVerdict::LogOut(Disposition::Unknown)), "{name}");
        let fence = bench.append();
        assert!(entries(&fence).is_empty(), "{name}");
        if matches!(landing, Landing::BeforeFence) {
            bench.land(&lost);
        }
        bench.land(&fence);
        if matches!(landing, Landing::AfterFence) {
            bench.land(&lost);
        }
        bench.read();
        bench.pass(200);
        let after = bench.try_append().map_or(Vec::new(), |group| {
            bench.land(&group);
            entries(&group)
        });
        assert_eq!(after.iter().filter(|entry| is_release(entry)).count(), releases, "{name}");
        // Whichever it was, the key can be claimed again.
        bench.pass(1_000);
        let verdict = bench.claim("a");
        for _ in 0..4 {
            if let Some(group) = bench.try_append() {
                bench.land(&group);
            }
            bench.read();
            bench.pass(200);
        }
        assert!(matches!(told(verdict), ClaimVerdict::Won(_)), "{name}");
    }
}

#[test]
fn a_desk_without_the_log_says_what_it_knows() {
    // The log refuses every append. A call that was never appended, under a key that the table does not hold, was not run; of
    // a key that is held, or under the stricter rule, that can't be said. Later calls are refused at once.
    struct OutCase(&'static str, CutOffRule, Disposition);
    let cases = [
        OutCase("new", CutOffRule::CallOnly, Disposition::NotRun),
        OutCase("new", CutOffRule::KeyToo, Disposition::Unknown),
    ];
    for OutCase(text, cut_off, disposition) in cases {
        let mut bench = LedgerBench::new(LedgerSettings { cut_off, ..settings() });
        let first = bench.claim(text);
        for _ in 0..20 {
            if let Some(group) = bench.try_append() {
                bench.end(&group, LogError::Out);
            }
            bench.pass(60);
        }
        assert!(
            matches!(told(first), ClaimVerdict::LogOut(said) if said == disposition),
            "{cut_off:?}"
        );
        let group = {
            bench.claim("probe");
            bench.pass(2_000);
            let verdict = bench.claim("other");
            let group = bench.append();
            bench.end(&group, LogError::Out);
            drop(verdict);
            group
        };
        assert!(!entries(&group).is_empty());
        let second = bench.claim(text);
        assert!(
            matches!(told(second), ClaimVerdict::LogOut(said) if said == disposition),
            "{cut_off:?}"
        );
    }
}

#[test]
fn an_unread_book_says_nothing_of_a_key() {
    // The router has just started and the log is out: the key may have been claimed and run through any router before.
    let mut bench = LedgerBench::unread(settings());
    let verdict = bench.claim("a");
    let mut known = bench.ask_known("a");
    assert!(bench.coordinator.next_barrier(bench.now).is_none());
    bench.coordinator.read_failed(LogError::Out, bench.now);
    bench.pass(999);
    assert!(known.try_recv().is_err());
    bench.pass(1);
    assert_eq!(known.try_recv().unwrap(), KnownKey::Blind);
    assert!(matches!(told(verdict), ClaimVerdict::LogOut(Disposition::Unknown)));
    assert!(bench.try_append().is_none());
    assert_eq!(bench.coordinator.phase(), TablePhase::Reading);

    // The same while the log is up and there is more to read.
    let mut bench = LedgerBench::unread(settings());
    bench.land_other(claimer("be-1", 7), 1, vec![other_claim("b", 1)]);
    let page = bench.page();
    bench.coordinator.take_page(&page, bench.now, bench.now);
    let mut known = bench.ask_known("a");
    bench.pass(999);
    assert!(known.try_recv().is_err());
    bench.read();
    assert!(bench.coordinator.next_barrier(bench.now).is_some());
    let page = bench.page();
    bench.coordinator.barrier_ended(Ok(page), bench.now, bench.now);
    assert_eq!(known.try_recv().unwrap(), KnownKey::Free);
}

#[test]
fn not_run_is_said_of_a_key_only_after_reading_on() {
    // A call ran through another router and its answer was lost. The re-send meets a full queue here, where the other's claim
    // has not been read yet: only a read that begins now can tell.
    let mut bench = LedgerBench::new(settings());
    bench.land_other(claimer("ps-1", 8), 1, vec![other_claim("c", 1)]);
    bench.land_other(claimer("be-1", 7), 1, vec![other_claim("a", 1)]);
    for (text, expected) in [("a", KnownKey::Claimed), ("b", KnownKey::Free)] {
        let mut known = bench.ask_known(text);
        while bench.coordinator.next_barrier(bench.now).is_some() {
            assert!(known.try_recv().is_err());
            let page = bench.page();
            bench.coordinator.barrier_ended(Ok(page), bench.now, bench.now);
        }
        assert_eq!(known.try_recv().unwrap(), expected, "{text}");
    }
}

#[test]
fn not_run_is_not_said_of_a_key_that_may_be_forgotten() {
    // The key's claim may have gone from the log before this router began to read, or be so old that the table let it go. That
    // the table holds no claim then proves nothing: `not-run` would be false if the call ran.
    struct AgeCase(&'static str, u64, u64, Option<u64>, KnownKey);
    let began = BEGAN_MS;
    let cases = [
        AgeCase("whole stream, new key", 0, 1, Some(began + 1), KnownKey::Free),
        AgeCase(
            "whole stream, key before its first record",
            0,
            1,
            Some(began - 60_000),
            KnownKey::Free,
        ),
        AgeCase("whole stream, old key", 0, 1, Some(began - 3_600_000), KnownKey::TooOld),
        AgeCase("nothing left of the stream", 50, 0, Some(began), KnownKey::TooOld),
        AgeCase("key before the oldest record left", 50, 1, Some(began - 1), KnownKey::TooOld),
        AgeCase("key after the oldest record left", 50, 1, Some(began + 200_000), KnownKey::Free),
        AgeCase("key without an age", 50, 0, None, KnownKey::Free),
    ];
    for AgeCase(name, first, records, made_ms, expected) in cases {
        let mut bench = LedgerBench::unread(settings());
        bench.first = first;
        for sequence in 0..records {
            bench.land_other(claimer("be-1", 7), sequence, vec![]);
        }
        bench.read();
        let text = made_ms.map(|made_ms| {
            uuid::Builder::from_unix_timestamp_millis(made_ms, &[1; 10]).into_uuid()
        });
        let mut known =
            bench.ask_known(&text.map_or(String::from("order-1"), |uuid| uuid.to_string()));
        bench.coordinator.next_barrier(bench.now);
        let page = bench.page();
        bench.coordinator.barrier_ended(Ok(page), bench.now, bench.now);
        assert_eq!(known.try_recv().unwrap(), expected, "{name}");
    }
}

#[test]
fn a_record_that_the_waiting_read_does_not_bring_is_read_for() {
    // A partition has healed. Appends pass, but the read that waits for news hangs on a dead connection for seconds. The
    // coordinator's record is in the log; the coordinator reads for itself, so that its callers don't run out of time.
    let mut bench = LedgerBench::new(settings());
    let verdict = bench.claim("a");
    let group = bench.append();
    bench.land(&group);
    bench.coordinator.append_ended(&group.id, Ok(LogOffset(0)), bench.now);
    assert_eq!(bench.coordinator.next_barrier(bench.now), None);
    bench.pass(50);
    assert_eq!(bench.coordinator.next_barrier(bench.now), Some(LogOffset(0)));
    let page = bench.page();
    bench.coordinator.barrier_ended(Ok(page), bench.now, bench.now);
    assert!(matches!(told(verdict), ClaimVerdict::Won(_)));
    bench.pass(50);
    assert_eq!(bench.coordinator.next_barrier(bench.now), None);
}

#[test]
fn a_re_send_gets_the_first_answer_or_what_is_known() {
    let mut bench = LedgerBench::new(settings());
    let sent = bench.win("a").begin_send(bench.now).unwrap();
    let waiting = bench.claim("a");
    let reused = bench.claim_with("a", OTHER_PRINT, 10_000);
    assert!(matches!(told(reused), ClaimVerdict::Reused));
    sent.answered(201, "text/plain", b"paid");
    bench.pass(50);
    bench.settle();
    let ClaimVerdict::Done(first) = told(waiting) else { panic!("done expected") };
    assert_eq!((first.status, first.body.is_some()), (201, true));
    let later = bench.claim("a");
    let fetch = bench.coordinator.take_fetches().pop().unwrap();
    let record = &bench.records[fetch.offset.0 as usize];
    assert_eq!(fetch.place.outcome_in(record), first);
    drop((later, fetch));

    bench.win("b").begin_send(bench.now).unwrap().unknown();
    bench.pass(200);
    bench.settle();
    assert!(matches!(told(bench.claim("b")), ClaimVerdict::Unknown));
}

#[test]
fn a_wait_ends_when_the_claimer_is_gone_or_the_time_is_over() {
    // Another router claimed the key and works on it. A re-send waits for the outcome; it ends with `busy` at its deadline,
    // and with `unknown` when a peer tells that the router's process has ended or a call cannot take that long.
    for (name, gone, pass_ms) in
        [("busy", false, 500), ("gone", true, 0), ("too long", false, 60_000)]
    {
        let mut bench = LedgerBench::new(settings());
        bench.land_other(claimer("be-1", 7), 1, vec![other_claim("a", 1)]);
        bench.read();
        let wait_ms = if name == "too long" { 100_000 } else { 500 };
        let verdict = bench.claim_with("a", PRINT, wait_ms);
        if gone {
            let told = LedgerCommand::ClaimerGone {
                host: HostName::new("be-1"),
                incarnation: Incarnation(7),
            };
            bench.coordinator.command(told, bench.now);
        }
        bench.pass(pass_ms);
        let verdict = told(verdict);
        assert_eq!(matches!(verdict, ClaimVerdict::Busy), name == "busy", "{name}: {verdict:?}");
        assert_eq!(matches!(verdict, ClaimVerdict::Unknown), name != "busy", "{name}: {verdict:?}");
    }
}

#[test]
fn records_that_went_unread_leave_claims_undecided() {
    // The router was cut off for longer than the log keeps its records. Its claim under way may have landed and gone.
    let mut bench = LedgerBench::new(settings());
    bench.win("a").release();
    let verdict = bench.claim("b");
    let group = bench.append();
    bench.end(&group, LogError::Lost);
    bench.first = 50;
    bench.records.clear();
    bench.read();
    assert!(matches!(told(verdict), ClaimVerdict::LogOut(Disposition::Unknown)));
    assert_eq!(
        (bench.coordinator.stats().books_lost, bench.coordinator.next_offset()),
        (1, LogOffset(50))
    );
}

#[test]
fn claims_that_come_during_an_append_share_the_next_one() {
    let mut bench = LedgerBench::new(settings());
    let first = bench.claim("first");
    let group = bench.append();
    let verdicts: Vec<_> = (0..100).map(|index| bench.claim(&format!("key-{index}"))).collect();
    assert!(bench.try_append().is_none());
    bench.land(&group);
    bench.read();
    assert!(matches!(told(first), ClaimVerdict::Won(_)));
    assert_eq!(
        entries(&bench.settle())
            .iter()
            .filter(|entry| matches!(entry, ClaimEntry::Claim(_)))
            .count(),
        100
    );
    for verdict in verdicts {
        assert!(matches!(told(verdict), ClaimVerdict::Won(_)));
    }
}

#[test]
fn settings_that_forget_too_early_are_refused() {
    let good = settings();
    let with_memory = |memory| LedgerSettings { memory, ..settings() };
    let cases = [
        (good.clone(), Ok(())),
        (
            with_memory(MemoryRule { remember_ms: good.retention_ms, ..good.memory }),
            Err(LedgerSettingsError::RememberTooLong),
        ),
        (
            with_memory(MemoryRule { opaque_ms: 1_000, ..good.memory }),
            Err(LedgerSettingsError::OpaqueTooShort),
        ),
        (
            LedgerSettings { renew_after_ms: good.retention_ms - 1, ..good.clone() },
            Err(LedgerSettingsError::RenewMisplaced),
        ),
        (LedgerSettings { full_group: 0, ..good.clone() }, Err(LedgerSettingsError::Zero)),
    ];
    for (settings, expected) in cases {
        assert_eq!(settings.check(), expected);
    }
    for seconds in [10, 60, 3_600, 7 * 86_400] {
        assert_eq!(
            LedgerSettings::for_retention(std::time::Duration::from_secs(seconds)).check(),
            Ok(())
        );
    }
}
