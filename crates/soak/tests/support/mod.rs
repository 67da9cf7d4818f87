//! Plays kept seeds.

use std::path::PathBuf;
use std::time::Duration;

use fulmargate_soak::PlanKind;
use fulmargate_soak::SoakConf;
use fulmargate_soak::run_seed;
use futures_util::future::join_all;

/// A kept seed.
pub(crate) struct SeedCase {
    /// The seed.
    pub(crate) seed: u64,
    /// Seconds within which faults begin, as the seed was found.
    pub(crate) seconds: u64,
    /// What is drawn for.
    pub(crate) kind: PlanKind,
    /// Whether routers are not disturbed while hosts are cut off and servers brittle.
    pub(crate) is_calm: bool,
    /// What it is kept for.
    pub(crate) cause: &'static str,
}

/// Routers of the kept seeds.
const ROUTERS: usize = 3;

/// Plays the seeds, and panics if one of them breaks a promise.
pub(crate) async fn check(cases: &[SeedCase], folder_name: &str) {
    let own = std::env::current_exe().expect("the test's own path");
    let folder = own.parent().and_then(|deps| deps.parent()).expect("the build's folder");
    let program = folder.join("fulmargate-entry");
    assert!(program.exists(), "cargo test --workspace builds the daemon");
    let run_name = format!("soak-test-{}-{folder_name}", std::process::id());
    let logs: PathBuf = std::env::temp_dir().join(run_name);
    let confs: Vec<SoakConf> = cases
        .iter()
        .map(|case| SoakConf {
            routers: ROUTERS,
            program: program.clone(),
            folder: logs.clone(),
            length: Duration::from_secs(case.seconds),
            kind: case.kind,
            is_calm: case.is_calm,
        })
        .collect();
    let runs = cases.iter().zip(&confs).map(|(case, conf)| run_seed(case.seed, conf));
    let runs = join_all(runs).await;
    for (case, report) in cases.iter().zip(runs) {
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
