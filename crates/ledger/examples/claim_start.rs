//! Measures how long a router that has just started reads a claim stream before it can judge keys: over sockets, from a
//! log on loopback, at three lengths. Wall-clock times of one machine: take the slope, not the values.
//!
//! `cargo run --release -p fulmargate-ledger --example claim_start`

#[path = "../tests/support/loopback_log.rs"]
mod loopback_log;

use std::time::Duration;
use std::time::Instant as WallInstant;

use fulmargate_ledger::CallOutcome;
use fulmargate_ledger::ClaimCoordinator;
use fulmargate_ledger::ClaimEntry;
use fulmargate_ledger::ClaimKey;
use fulmargate_ledger::ClaimLog;
use fulmargate_ledger::ClaimOutcome;
use fulmargate_ledger::ClaimRecord;
use fulmargate_ledger::ClaimerId;
use fulmargate_ledger::KnownKey;
use fulmargate_ledger::LedgerSettings;
use fulmargate_ledger::NewClaim;
use fulmargate_ledger::RECORD_LAYOUT;
use fulmargate_ledger::RanOutcome;
use fulmargate_ledger::RequestPrint;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::TeamName;
use fulmargate_platform::LogClient;
use fulmargate_platform::LogTimeouts;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const WAIT: Duration = Duration::from_secs(60);
const PRINT: RequestPrint = RequestPrint([1; 8]);
/// Calls in a record: what one router at a light load writes.
const CALLS: u64 = 2;

fn key(number: u64) -> ClaimKey {
    ClaimKey::new(&TeamName::new("shop"), &number.to_string())
}

fn record(sequence: u64) -> String {
    let mut entries = Vec::new();
    for number in sequence * CALLS..(sequence + 1) * CALLS {
        let hash = key(number).hash;
        entries.push(ClaimEntry::Claim(NewClaim {
            key: hash,
            print: PRINT,
            number,
            made_ms: None,
        }));
        let outcome = CallOutcome::Ran(RanOutcome { status: 200, digest: Some(PRINT), body: None });
        entries.push(ClaimEntry::Outcome(ClaimOutcome { key: hash, number, outcome }));
    }
    let claimer = ClaimerId { host: HostName::new("old-1"), incarnation: Incarnation(1) };
    let memory = LedgerSettings::for_retention(Duration::from_secs(3_600)).memory;
    let record = ClaimRecord { layout: RECORD_LAYOUT, claimer, sequence, memory, entries };
    serde_json::to_string(&record).expect("a record is plain data")
}

async fn measure_start(address: &str) -> Duration {
    let began = WallInstant::now();
    let client = LogClient::new(address, LogTimeouts::default());
    let me = ClaimerId { host: HostName::new("new-1"), incarnation: Incarnation(1) };
    let settings = LedgerSettings::for_retention(Duration::from_secs(3_600));
    let cancel = CancellationToken::new();
    let started = ClaimCoordinator::start(ClaimLog::over(&client), &settings, 1, &me, &cancel);
    let (coordinator, handle) = started.expect("the settings are good");
    let known = handle.known(key(0), Instant::now() + WAIT).await;
    let took = began.elapsed();
    assert_eq!(known, KnownKey::Claimed);
    let free = handle.known(key(u64::MAX), Instant::now() + WAIT).await;
    assert_eq!(free, KnownKey::Free);
    let whole = began.elapsed();
    cancel.cancel();
    coordinator.ended().await;
    whole.max(took)
}

#[actix_rt::main]
async fn main() {
    let address = loopback_log::start_log(0);
    let client = LogClient::new(&address, LogTimeouts::default());
    println!("records of {CALLS} calls  bytes of records  time until keys can be judged");
    let (mut sequence, mut bytes) = (0, 0);
    for records in [10_000, 20_000, 40_000] {
        while sequence < records {
            let data = record(sequence);
            bytes += data.len();
            client
                .append("claims-0", &sequence.to_string(), &data)
                .await
                .expect("the log takes it");
            sequence += 1;
        }
        let mut times = Vec::new();
        for _ in 0..3 {
            times.push(measure_start(&address).await);
        }
        times.sort();
        println!(
            "{records:>18}  {bytes:>16}  {:>20.0} ms (middle of 3)",
            times[1].as_secs_f64() * 1_000.0
        );
    }
}
