//! Seeds that once broke a promise, and a few more.

use std::path::PathBuf;
use std::time::Duration;

use fulmargate_soak::PlanKind;
use fulmargate_soak::SoakConf;
use fulmargate_soak::run_seed;
use futures_util::future::join_all;

struct SeedCase {
    seed: u64,
    /// Seconds within which faults begin, as the seed was found.
    seconds: u64,
    kind: PlanKind,
    /// What it is kept for.
    cause: &'static str,
}

const SEEDS: &[SeedCase] = &[
    SeedCase {
        seed: 1,
        seconds: 8,
        kind: PlanKind::Mixed,
        cause: "a router that asks a reader counted the wait for the answer twice, thought its \
                configuration unproven for good and refused all keys",
    },
    SeedCase {
        seed: 111,
        seconds: 10,
        kind: PlanKind::Mixed,
        cause: "a router that had lost the answer to its append of the lease saw its record seconds \
                later, and engines came to new weights too late",
    },
    SeedCase {
        seed: 12,
        seconds: 8,
        kind: PlanKind::CutOff,
        cause: "one more: a key taken from a router that is cut off, kills and planned stops in series",
    },
];

/// Callers meet routers that are killed, paused, cut off and stopped, all at the same time.
/// The faults come in an order that its seed draws; then all is well again.
/// Whatever happens, no promise of the pages may be broken, and in the end everything is served.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_promise_is_broken() {
    let own = std::env::current_exe().expect("the test's own path");
    let folder = own.parent().and_then(|deps| deps.parent()).expect("the build's folder");
    let program = folder.join("fulmargate-entry");
    assert!(program.exists(), "cargo test --workspace builds the daemon");
    let logs: PathBuf = std::env::temp_dir().join(format!("soak-test-{}", std::process::id()));
    let confs: Vec<SoakConf> = SEEDS
        .iter()
        .map(|case| SoakConf {
            program: program.clone(),
            folder: logs.clone(),
            length: Duration::from_secs(case.seconds),
            kind: case.kind,
        })
        .collect();
    let runs = SEEDS.iter().zip(&confs).map(|(case, conf)| run_seed(case.seed, conf));
    let runs = join_all(runs).await;
    for (case, report) in SEEDS.iter().zip(runs) {
        let report = report.expect("the run is played");
        let broken: Vec<String> = report
            .broken
            .iter()
            .map(|broken| format!("{}: {}", broken.promise, broken.detail))
            .collect();
        assert!(broken.is_empty(), "seed {} ({}): {broken:#?}", case.seed, case.cause);
        assert!(0 < report.served, "seed {} serves nothing", case.seed);
    }
}
