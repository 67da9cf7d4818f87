//! Memory of a team, a waiting request, a run and a suspect; see `docs/design/admission.md`.

use std::fs;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_admission::ClassConf;
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
use fulmargate_admission::SuspectBook;
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

/// The machine's page.
const PAGE: usize = 4_096;

fn main() {
    let teams: Vec<TeamName> =
        (0..110_000).map(|number| TeamName::new(&format!("team-{number}"))).collect();
    let (limiter, class) = (limiter(), class());
    let gate = ServerGate::new(ServerName::new("engine-1"), GateConf::engine());
    let book = SuspectBook::new(SuspectConf { most_records: 200_000, ..SuspectConf::default() });
    let now = Instant::now();
    let limit = TeamLimit { requests_per_s: 10.0, prompt_tokens_per_s: 1e6 };
    slope("team of the limiter", |number| {
        assert!(limiter.admit(&teams[number], &limit, 100, now).is_ok());
    });
    let mut waiting: Vec<GateEntry> = Vec::new();
    slope("waiting request, a team each", |number| {
        let class = RequestClass::begin(&class, now, None);
        let request = GateRequest { team: teams[number].clone(), class, prefill_tokens: 100 };
        waiting.push(gate.enter(&request, now));
    });
    let mut runs = Vec::new();
    let server = ServerName::new("engine-1");
    slope("run", |number| {
        runs.push(book.begin(Fingerprint(number as u128), &server, Incarnation(1), now));
    });
    let from = HostName::new("entry-9");
    slope("suspect of one crash", |number| {
        book.learn(&verdict(number), &from, now);
    });
}

/// Bytes for each of the second to the tenth ten thousand.
fn slope(name: &str, mut add: impl FnMut(usize)) {
    (0..11_000).for_each(&mut add);
    let before = resident();
    (11_000..110_000).for_each(&mut add);
    let bytes = (resident() - before) as f64 / 99_000.0;
    println!("{name}: {bytes:.0} bytes each, {:.1} MB for 11,000", bytes * 11_000.0 / 1e6);
}

fn resident() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").expect("statm can be read");
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.expect("the second number is the resident pages") * PAGE
}

fn limiter() -> TeamLimiter {
    let conf = LimiterConf { most_teams: 1 << 20, ..LimiterConf::default() };
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
        print: Fingerprint(1 << 64 | number as u128),
        standing: VerdictStanding::Suspect,
        running_on: None,
        crashes: vec![sighting],
        cleared: Vec::new(),
    }
}
