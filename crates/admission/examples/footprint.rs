//! Measures the memory per team, queued request, run and suspect; see `docs/design/admission.md`.

use std::fs;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_admission::ClassConf;
use fulmargate_admission::CrashDetector;
use fulmargate_admission::CrashId;
use fulmargate_admission::CrashProof;
use fulmargate_admission::CrashSighting;
use fulmargate_admission::Fingerprint;
use fulmargate_admission::GateConf;
use fulmargate_admission::GateEntry;
use fulmargate_admission::GateRequest;
use fulmargate_admission::LimiterConf;
use fulmargate_admission::RequestClass;
use fulmargate_admission::ServerGate;
use fulmargate_admission::SuspectConf;
use fulmargate_admission::SuspectVerdict;
use fulmargate_admission::TeamLimit;
use fulmargate_admission::TeamLimiter;
use fulmargate_admission::VerdictStanding;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use tokio::time::Instant;

/// Page size of the machine.
const PAGE: usize = 4_096;

fn main() {
    let teams: Vec<TeamName> =
        (0..110_000).map(|number| TeamName::new(&format!("team-{number}"))).collect();
    let (limiter, class) = (limiter(), class());
    let gate = ServerGate::new(ServerName::new("engine-1"), GateConf::engine());
    let detector =
        CrashDetector::new(SuspectConf { max_records: 200_000, ..SuspectConf::default() });
    let now = Instant::now();
    let limit = TeamLimit { requests_per_s: 10.0, prompt_tokens_per_s: 1e6 };
    print_bytes_per_item("limiter team", |number| {
        assert!(limiter.admit(&teams[number], &limit, 100, now).is_ok());
    });
    let mut waiting: Vec<GateEntry> = Vec::new();
    print_bytes_per_item("queued request, one per team", |number| {
        let class = RequestClass::begin(&class, now, None);
        let request = GateRequest { team: teams[number].clone(), class, prefill_tokens: 100 };
        waiting.push(gate.enter(&request, now));
    });
    let mut runs = Vec::new();
    let server = ServerName::new("engine-1");
    print_bytes_per_item("run", |number| {
        runs.push(detector.begin(Fingerprint(number as u128), &server, Incarnation(1), now));
    });
    let from = HostName::new("entry-9");
    print_bytes_per_item("suspect with one crash", |number| {
        detector.merge_verdict(&verdict(number), &from, now);
    });
}

/// Prints the resident bytes per item, averaged after a warm-up of 11,000 items.
fn print_bytes_per_item(name: &str, mut add_item: impl FnMut(usize)) {
    (0..11_000).for_each(&mut add_item);
    let bytes_before = resident_bytes();
    (11_000..110_000).for_each(&mut add_item);
    let bytes = (resident_bytes() - bytes_before) as f64 / 99_000.0;
    println!("{name}: {bytes:.0} bytes each, {:.1} MB for 11,000", bytes * 11_000.0 / 1e6);
}

fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").expect("/proc/self/statm can be read");
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.expect("the second field of statm is the number of resident pages") * PAGE
}

fn limiter() -> TeamLimiter {
    let conf = LimiterConf { max_teams: 1 << 20, ..LimiterConf::default() };
    TeamLimiter::new(HostName::new("entry-0"), conf)
}

fn class() -> Arc<ClassConf> {
    let deadline = Duration::from_secs(600);
    Arc::new(ClassConf { name: Arc::from("batch"), priority: 2, deadline, queue_limit: 1 << 20 })
}

fn verdict(number: usize) -> SuspectVerdict {
    let crash = CrashId { server: ServerName::new("engine-1"), incarnation: Incarnation(1) };
    let sighting = CrashSighting { crash, age: Duration::ZERO, proof: CrashProof::Confirmed };
    SuspectVerdict {
        fingerprint: Fingerprint(1 << 64 | number as u128),
        standing: VerdictStanding::Suspect,
        running_on: None,
        crashes: vec![sighting],
        cleared: Vec::new(),
    }
}
