//! A router's process.

use std::fs;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::soak_world::lock;

/// How often a process is looked at.
const LOOK_PACE: Duration = Duration::from_millis(10);
/// A daemon listens within some 10 ms of its start; the rest is for a busy machine.
const LONGEST_START: Duration = Duration::from_secs(20);
const KB_PER_MB: u64 = 1_024;
/// Memory of a router if its clients keep to the protocol: the daemon's default.
pub(crate) const ROUTER_MEMORY_MB: u64 = 256;
/// Bounds of the daemon's settings, as judged.
pub(crate) const KEY_REVOKE: Duration = Duration::from_millis(3_000);
/// How long a planned stop may take.
pub(crate) const STOP_GRACE: Duration = Duration::from_secs(8);
/// Repeats for each first send, in each window, beside a slack.
pub(crate) const REPEAT_RATIO: f64 = 0.2;
pub(crate) const REPEAT_SLACK: f64 = 20.0;
pub(crate) const REPEAT_WINDOW: Duration = Duration::from_secs(10);

/// What a start needs.
#[derive(Clone, Debug)]
pub(crate) struct RouterSpec {
    pub(crate) program: PathBuf,
    pub(crate) folder: PathBuf,
    pub(crate) host: String,
    pub(crate) store: SocketAddr,
    pub(crate) few_hosts: usize,
    pub(crate) memory_mb: u64,
    pub(crate) weights_bound: Duration,
    pub(crate) lease: Duration,
}

/// The process. It is killed when the value is dropped.
pub(crate) struct RouterProcess {
    child: Mutex<Child>,
    pub(crate) callers: SocketAddr,
}

impl RouterProcess {
    /// Starts the daemon on free ports and waits until it listens. Its lines go to a file of its own.
    pub(crate) async fn start(spec: &RouterSpec, start: usize) -> io::Result<RouterProcess> {
        let settings = spec.folder.join(format!("{}.json", spec.host));
        fs::write(&settings, spec.settings().to_string())?;
        let log = spec.folder.join(format!("{}-{start}.log", spec.host));
        let output = File::create(&log)?;
        let child = Command::new(&spec.program)
            .arg("--settings")
            .arg(&settings)
            .stdout(output.try_clone()?)
            .stderr(output)
            .stdin(Stdio::null())
            .spawn()?;
        let mut process = RouterProcess { child: Mutex::new(child), callers: spec.store };
        let listening = timeout(LONGEST_START, read_address(&log)).await;
        process.callers = listening.map_err(io::Error::other)?;
        Ok(process)
    }

    /// Sends a signal, unless it has ended: its id may belong to another process by then.
    pub(crate) fn signal(&self, signal: Signal) -> io::Result<()> {
        let mut child = lock(&self.child);
        if child.try_wait()?.is_some() {
            return Ok(());
        }
        kill(Pid::from_raw(child.id() as i32), signal).map_err(io::Error::from)
    }

    /// Resident memory; 0 once it has ended.
    pub(crate) fn resident_mb(&self) -> u64 {
        let id = lock(&self.child).id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse::<u64>().ok()).unwrap_or_default() / KB_PER_MB
    }

    /// Waits until it has ended; none if it does not within the time.
    pub(crate) async fn ended(&self, longest: Duration) -> Option<ExitStatus> {
        let waiting = async {
            loop {
                match lock(&self.child).try_wait() {
                    Ok(Some(status)) => return Some(status),
                    Ok(None) => {}
                    Err(_) => return None,
                }
                sleep(LOOK_PACE).await;
            }
        };
        timeout(longest, waiting).await.ok().flatten()
    }

    /// Ends it at once.
    pub(crate) fn end(&self) {
        let mut child = lock(&self.child);
        if let Err(err) = child.kill().and_then(|()| child.wait()) {
            eprintln!("a router could not be ended: {err}");
        }
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        self.end();
    }
}

impl RouterSpec {
    fn settings(&self) -> Value {
        let free = "127.0.0.1:0";
        json!({
            "host": self.host, "zone": "north", "store": self.store, "few_hosts": self.few_hosts,
            "memory_mb": self.memory_mb,
            "callers": free, "readiness": free, "metrics": free, "peers": free,
            "bounds": {
                "key_revoke_ms": KEY_REVOKE.as_millis() as u64,
                "stop_grace_s": STOP_GRACE.as_secs_f64(),
                "lease_ms": self.lease.as_millis() as u64,
                "weights_ms": self.weights_bound.as_millis() as u64,
                "repeat_ratio": REPEAT_RATIO,
                "repeat_slack": REPEAT_SLACK, "repeat_window_s": REPEAT_WINDOW.as_secs_f64(),
            },
        })
    }
}

/// The address for callers, from the line that the daemon writes at its start.
async fn read_address(log: &Path) -> SocketAddr {
    loop {
        let text = fs::read_to_string(log).unwrap_or_default();
        let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let started = lines.into_iter().find(|line| line["name"] == "process_started");
        let address = started.and_then(|line| line["callers"].as_str()?.parse().ok());
        if let Some(address) = address {
            return address;
        }
        sleep(LOOK_PACE).await;
    }
}
