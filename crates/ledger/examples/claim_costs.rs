//! Measures the ledger: claims per append and latency under load, bytes in the log, memory and processor time per claim.
//!
//! `cargo run --release -p fulmargate-ledger --example claim_costs`. Load runs on the runtime's paused clock with a log in memory
//! whose round trip is fixed, so its figures are those of the rules, not of the machine.

use std::cell::RefCell;
use std::fs;
use std::rc::Rc;
use std::time::Duration;

use fulmargate_ledger::CallOutcome;
use fulmargate_ledger::ClaimCoordinator;
use fulmargate_ledger::ClaimEntry;
use fulmargate_ledger::ClaimHandle;
use fulmargate_ledger::ClaimKey;
use fulmargate_ledger::ClaimLog;
use fulmargate_ledger::ClaimOutcome;
use fulmargate_ledger::ClaimRecord;
use fulmargate_ledger::ClaimTable;
use fulmargate_ledger::ClaimVerdict;
use fulmargate_ledger::ClaimerId;
use fulmargate_ledger::LedgerSettings;
use fulmargate_ledger::NewClaim;
use fulmargate_ledger::RECORD_LAYOUT;
use fulmargate_ledger::RanOutcome;
use fulmargate_ledger::RenewPlan;
use fulmargate_ledger::RequestPrint;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::LogOffset;
use fulmargate_names::TeamName;
use fulmargate_platform::LogPage;
use fulmargate_platform::LogRecord;
use futures_util::FutureExt;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

const ROUND_TRIP: Duration = Duration::from_millis(4);
const CALL_TIME: Duration = Duration::from_millis(30);
const RUN_TIME: Duration = Duration::from_secs(10);
const BODY: &[u8] = &[b'x'; 200];
const ROUTERS: u64 = 7;
const PRINT: RequestPrint = RequestPrint([3; 8]);

fn main() {
    // First, so that memory which the loads free is not used again and missed.
    println!(
        "book: remembered claims, bytes of memory each (resident), processor time to fold each (us)"
    );
    measure_book(&[100_000, 200_000, 400_000]);
    println!("bytes of a claim written anew: {}", renewal_bytes());
    println!(
        "load: {ROUTERS} routers, 1 stream, round trip {ROUND_TRIP:?}, calls of {CALL_TIME:?}, bodies of {} bytes",
        BODY.len()
    );
    for appends_per_s in [20, 5] {
        println!("groups that are not full: at most {appends_per_s}/s for each router");
        println!("calls/s  appends/s  claims/append  bytes/call  p50 round trips  p99 round trips");
        for rate in [14, 140, 700, 1_400, 2_800, 7_000, 14_000] {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build();
            LocalSet::new()
                .block_on(&runtime.expect("a runtime starts"), run_load(rate, appends_per_s));
        }
    }
}

#[derive(Default)]
struct MemoryLog {
    records: RefCell<Vec<LogRecord>>,
    news: Notify,
}

impl MemoryLog {
    fn port(self: &Rc<MemoryLog>) -> ClaimLog {
        let (appender, reader) = (Rc::clone(self), Rc::clone(self));
        ClaimLog {
            append: Box::new(move |_, group| {
                let log = Rc::clone(&appender);
                async move {
                    sleep(ROUND_TRIP / 2).await;
                    let offset = LogOffset(log.records.borrow().len() as u64);
                    let time_ms = 1_700_000_000_000 + offset.0;
                    log.records.borrow_mut().push(LogRecord {
                        offset,
                        time_ms,
                        id: group.id,
                        data: group.data,
                    });
                    log.news.notify_waiters();
                    sleep(ROUND_TRIP / 2).await;
                    Ok(offset)
                }
                .boxed_local()
            }),
            read: Box::new(move |_, from, wait| Rc::clone(&reader).read(from, wait).boxed_local()),
        }
    }

    async fn read(
        self: Rc<MemoryLog>,
        from: LogOffset,
        wait: Duration,
    ) -> Result<LogPage, fulmargate_platform::LogError> {
        sleep(ROUND_TRIP / 2).await;
        let news = self.news.notified();
        if self.records.borrow().len() as u64 <= from.0 {
            let _ = timeout(wait, news).await;
        }
        let records: Vec<LogRecord> =
            self.records.borrow().iter().skip(from.0 as usize).take(1_000).cloned().collect();
        sleep(ROUND_TRIP / 2).await;
        Ok(LogPage { first: LogOffset(0), next: LogOffset(from.0 + records.len() as u64), records })
    }
}

async fn run_load(rate: u64, appends_per_s: u32) {
    let log = Rc::new(MemoryLog::default());
    let settings = LedgerSettings {
        appends_per_s,
        ..LedgerSettings::for_retention(Duration::from_secs(3_600))
    };
    let waits = Rc::new(RefCell::new(Vec::new()));
    for router in 0..ROUTERS {
        let me = ClaimerId {
            host: HostName::new(&format!("host-{router}")),
            incarnation: Incarnation(1),
        };
        let coordinator =
            ClaimCoordinator::start(log.port(), &settings, 1, &me, &CancellationToken::new());
        let (_, handle) = coordinator.expect("the settings are good");
        spawn_local(offer_calls(handle, router, rate, Rc::clone(&waits)));
    }
    sleep(RUN_TIME + Duration::from_secs(2)).await;
    let mut waits = waits.take();
    waits.sort();
    let calls = waits.len();
    let appends = log.records.borrow().len();
    let bytes: usize = log.records.borrow().iter().map(|record| record.data.len()).sum();
    let trips = |share: usize| waits[calls * share / 100].as_secs_f64() / ROUND_TRIP.as_secs_f64();
    println!(
        "{:>7}  {:>9.0}  {:>13.1}  {:>10.0}  {:>15.1}  {:>15.1}",
        calls as u64 / RUN_TIME.as_secs(),
        appends as f64 / RUN_TIME.as_secs_f64(),
        calls as f64 / appends as f64,
        bytes as f64 / calls as f64,
        trips(50),
        trips(99),
    );
}

/// Calls come evenly at each router, each router's a little apart from the others'.
async fn offer_calls(
    handle: ClaimHandle,
    router: u64,
    rate: u64,
    waits: Rc<RefCell<Vec<Duration>>>,
) {
    let pause = Duration::from_secs(1).mul_f64(ROUTERS as f64 / rate as f64);
    let began =
        Instant::now() + Duration::from_millis(500) + pause.mul_f64(router as f64 / ROUTERS as f64);
    let calls = (RUN_TIME.as_secs_f64() / pause.as_secs_f64()) as u32;
    for index in 0..calls {
        tokio::time::sleep_until(began + pause * index).await;
        let (handle, waits) = (handle.clone(), Rc::clone(&waits));
        let key = ClaimKey::new(&TeamName::new("shop"), &format!("{router}.{index}"));
        spawn_local(async move {
            let asked = Instant::now();
            let verdict = handle.claim(key, PRINT, asked + Duration::from_secs(5)).await;
            let ClaimVerdict::Won(ticket) = verdict else { panic!("not won: {verdict:?}") };
            waits.borrow_mut().push(asked.elapsed());
            let sent = ticket.begin_send(Instant::now()).expect("the ticket is fresh");
            sleep(CALL_TIME).await;
            sent.answered(200, "application/json", BODY);
        });
    }
}

/// One table that grows.
fn measure_book(counts: &[u64]) {
    let mut table = ClaimTable::new(LogOffset(0));
    let (memory, mut processor) = (resident_bytes(), 0);
    for count in counts {
        while (table.len() as u64) < *count {
            let record = full_record(table.next_offset().0);
            let began = processor_ns();
            table.fold(&record).expect("the records are in order");
            processor += processor_ns() - began;
        }
        let grown = resident_bytes().saturating_sub(memory);
        let each = |value: u64| value as f64 / *count as f64;
        println!("{:>7}  {:>6.0}  {:>6.2}", count, each(grown), each(processor) / 1_000.0);
    }
}

fn renewal_bytes() -> usize {
    let mut table = ClaimTable::new(LogOffset(0));
    for sequence in 0..2 {
        table.fold(&full_record(sequence)).expect("the records are in order");
    }
    let plan =
        RenewPlan { standing_before_ms: u64::MAX, lasting_ms: 0, complete_ms: u64::MAX, limit: 25 };
    let entries: Vec<ClaimEntry> =
        table.to_renew(&plan).into_iter().map(ClaimEntry::Renew).collect();
    serde_json::to_string(&entries).expect("entries are plain data").len() / entries.len()
}

/// A record of 25 claims and the outcomes of the 25 before.
fn full_record(sequence: u64) -> LogRecord {
    let key = |number: u64| ClaimKey::new(&TeamName::new("shop"), &number.to_string()).hash;
    let mut entries = Vec::new();
    for number in sequence * 25..sequence * 25 + 25 {
        let made_ms = Some(1_700_000_000_000 + sequence);
        entries.push(ClaimEntry::Claim(NewClaim {
            key: key(number),
            print: PRINT,
            number,
            made_ms,
        }));
        if let Some(number) = number.checked_sub(25) {
            let outcome =
                CallOutcome::Ran(RanOutcome { status: 200, digest: Some(PRINT), body: None });
            entries.push(ClaimEntry::Outcome(ClaimOutcome { key: key(number), number, outcome }));
        }
    }
    let record = ClaimRecord {
        layout: RECORD_LAYOUT,
        claimer: ClaimerId { host: HostName::new("host-1"), incarnation: Incarnation(1) },
        sequence,
        memory: LedgerSettings::for_retention(Duration::from_secs(86_400)).memory,
        entries,
    };
    let data = serde_json::to_string(&record).expect("a record is plain data");
    LogRecord {
        offset: LogOffset(sequence),
        time_ms: 1_700_000_000_000 + sequence,
        id: sequence.to_string(),
        data,
    }
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").expect("the system tells");
    let pages: u64 =
        text.split(' ').nth(1).and_then(|field| field.parse().ok()).expect("a number of pages");
    pages * 4_096
}

fn processor_ns() -> u64 {
    let text = fs::read_to_string("/proc/self/schedstat").expect("the system tells");
    text.split(' ').next().and_then(|field| field.parse().ok()).expect("a number")
}
