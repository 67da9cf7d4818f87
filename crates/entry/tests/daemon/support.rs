//! Starts the daemon's process and a small deployment around it.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::CallerResponse;
use fulmargate_consortium_stand::ConfigText;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::FakeStore;
use fulmargate_consortium_stand::ServerMode;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

/// Waits are bounded by a number of polls and not by time, so that they hold on a busy machine.
pub(crate) const MAX_POLLS: usize = 600;
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longer than any test takes, so that requests with this timeout do not expire.
pub(crate) const REQUEST_TIMEOUT_MS: u64 = 20_000;

static DAEMON_COUNT: AtomicUsize = AtomicUsize::new(0);

/// A running daemon, killed on drop.
pub(crate) struct DaemonProcess {
    child: Child,
    directory: PathBuf,
    lines: Arc<Mutex<Vec<Value>>>,
}

impl DaemonProcess {
    /// Starts a daemon on free ports in the zone `north`.
    pub(crate) fn start(store: SocketAddr) -> DaemonProcess {
        DaemonProcess::start_in_zone(store, "north", 6)
    }

    /// Starts a daemon that reads the store through other routers if its zone has more hosts than
    /// `few_hosts`.
    pub(crate) fn start_in_zone(store: SocketAddr, zone: &str, few_hosts: usize) -> DaemonProcess {
        DaemonProcess::start_with_settings(store, &json!({"zone": zone, "few_hosts": few_hosts}))
    }

    /// Starts a daemon with the default test settings and these overrides.
    pub(crate) fn start_with_settings(store: SocketAddr, overrides: &Value) -> DaemonProcess {
        DaemonProcess::spawn(Command::new("env"), store, overrides)
    }

    /// The same, with a limit on open descriptors.
    pub(crate) fn start_with_descriptors(
        store: SocketAddr,
        overrides: &Value,
        max_descriptors: usize,
    ) -> DaemonProcess {
        let mut shell = Command::new("sh");
        shell.args(["-c", &format!("ulimit -n {max_descriptors} && exec \"$@\""), "sh"]);
        DaemonProcess::spawn(shell, store, overrides)
    }

    /// Starts a daemon through a command that executes its arguments.
    fn spawn(mut command: Command, store: SocketAddr, overrides: &Value) -> DaemonProcess {
        let number = DAEMON_COUNT.fetch_add(1, Ordering::Relaxed);
        let directory = std::env::temp_dir().join(format!("entry-{}-{number}", std::process::id()));
        fs::create_dir_all(&directory).expect("create the settings directory");
        let file = directory.join("settings.json");
        let any_port = "127.0.0.1:0";
        let mut settings = json!({
            "host": format!("host-{number}"), "zone": "north", "store": store,
            "callers": any_port, "readiness": any_port, "metrics": any_port, "peers": any_port,
            "bounds": {
                "key_revoke_ms": 3_000, "stop_grace_s": 8.0, "lease_ms": 3_000,
                "weights_ms": 6_000, "repeat_ratio": 1.0, "repeat_slack": 50.0,
                "repeat_window_s": 10.0, "quota_window_s": 3_600.0,
            },
        });
        for (name, value) in overrides.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        fs::write(&file, settings.to_string()).expect("write the settings");
        let mut child = command
            .arg(env!("CARGO_BIN_EXE_fulmargate-entry"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("start the daemon");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let output = BufReader::new(child.stdout.take().expect("piped stdout"));
        let output_lines = lines.clone();
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if let Ok(line) = serde_json::from_str(&line) {
                    output_lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
                }
            }
        });
        DaemonProcess { child, directory, lines }
    }

    /// Log records with this event name.
    pub(crate) fn events(&self, name: &str) -> Vec<Value> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().filter(|line| line["name"] == name).cloned().collect()
    }

    pub(crate) async fn address(&self, listener: &str) -> SocketAddr {
        wait_until("the daemon listens", || !self.events("process_started").is_empty()).await;
        let text = self.events("process_started")[0][listener].as_str().unwrap_or("").to_owned();
        text.parse().expect("parse the listener address")
    }

    /// Reads a metrics counter by name and labels; 0 if it is not exported yet.
    pub(crate) async fn counter(&self, name: &str) -> u64 {
        let metrics = self.address("metrics").await;
        let page =
            CallerRequest::new("/metrics", "m").send(metrics).await.expect("read the metrics page");
        let line = page.body.lines().find_map(|line| line.strip_prefix(name));
        line.map_or(0, |count| count.trim().parse().expect("parse the counter"))
    }

    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "could not send SIG{name}");
    }

    /// Resident memory, in kilobytes.
    pub(crate) fn resident_kb(&self) -> u64 {
        self.status_kb("VmRSS:")
    }

    /// The most memory that was resident at any time, in kilobytes.
    pub(crate) fn peak_resident_kb(&self) -> u64 {
        self.status_kb("VmHWM:")
    }

    fn status_kb(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("read the process status");
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).expect("a size in kilobytes")
    }

    pub(crate) fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Number of open descriptors.
    pub(crate) fn open_descriptors(&self) -> usize {
        let listing = fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        listing.expect("list the open descriptors").count()
    }

    /// Waits for the process to exit and returns its exit code.
    pub(crate) async fn exit_code(&mut self) -> Option<i32> {
        let child = &mut self.child;
        wait_until("the daemon exits", || child.try_wait().is_ok_and(|status| status.is_some()))
            .await;
        self.child.wait().ok()?.code()
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        if self.is_running() {
            self.child.kill().expect("kill the daemon");
            self.child.wait().expect("reap the daemon");
        }
        fs::remove_dir_all(&self.directory).expect("remove the settings directory");
    }
}

/// Polls until `condition` holds; panics with `description` when the polls run out.
pub(crate) async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting until {description}");
}

/// A store, two servers of the plain service `desk`, two engines, and the daemon.
pub(crate) struct TestDeployment {
    pub(crate) store: FakeStore,
    pub(crate) plain_servers: Vec<FakeServer>,
    pub(crate) engines: Vec<FakeServer>,
    pub(crate) daemon: DaemonProcess,
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
}

/// Version 1 of the configuration, which a deployment starts with.
pub(crate) fn initial_config() -> ConfigText {
    let mut anonymous = ConfigText::route("/anonymous/", "idempotent", "desk");
    anonymous["anonymous"] = json!(true);
    let mut non_resumable = ConfigText::route("/non-resumable/", "stream", "engines");
    non_resumable["resumable"] = json!(false);
    ConfigText {
        version: 1,
        routes: vec![
            ConfigText::route("/charge/", "non_idempotent", "desk"),
            ConfigText::route("/read/", "idempotent", "desk"),
            ConfigText::route("/chat/", "stream", "engines"),
            non_resumable,
            anonymous,
        ],
        teams: vec![("red", "k-red"), ("blue", "k-blue")],
        isolated: Vec::new(),
        quotas: Vec::new(),
    }
}

impl TestDeployment {
    /// Starts everything and waits until the daemon is ready and lists all servers.
    pub(crate) async fn start(mode: ServerMode) -> TestDeployment {
        let store = FakeStore::start().await.expect("start the store");
        let mut plain_servers = Vec::new();
        let mut engines = Vec::new();
        for number in 1..=2 {
            let server = FakeServer::start(&format!("desk-{number}"), mode).await;
            plain_servers.push(server.expect("start a plain server"));
            let engine = FakeServer::start(&format!("engine-{number}"), mode).await;
            engines.push(engine.expect("start an engine"));
        }
        store.put_config(&initial_config());
        for server in &plain_servers {
            store.put_server(&server.name, "desk", server.address, "ready");
        }
        for engine in &engines {
            store.put_server(&engine.name, "engines", engine.address, "ready");
        }
        let daemon = DaemonProcess::start(store.address);
        let callers = daemon.address("callers").await;
        let readiness = daemon.address("readiness").await;
        let deployment =
            TestDeployment { store, plain_servers, engines, daemon, callers, readiness };
        deployment.wait_for_readiness(200).await;
        wait_until("all servers are listed", || {
            deployment.daemon.events("server_listed").len() == 4
        })
        .await;
        deployment
    }

    /// Starts a deployment whose requests do not time out on a busy machine.
    pub(crate) async fn start_with_long_timeout(mode: ServerMode) -> TestDeployment {
        let deployment = TestDeployment::start(mode).await;
        let mut config = initial_config();
        config.version = 2;
        config.routes.iter_mut().for_each(|route| route["timeoutMs"] = json!(REQUEST_TIMEOUT_MS));
        deployment.store.put_config(&config);
        let accepted = || deployment.daemon.events("config_accepted").len();
        wait_until("the longer timeouts are in force", || accepted() == 2).await;
        deployment
    }

    /// Sends successful requests. First attempts earn the retry budget, which is empty in a new process.
    pub(crate) async fn earn_retry_budget(&self) {
        for number in 0..8 {
            self.send(&CallerRequest::new("/read/x", &format!("budget-read-{number}"))).await;
            self.send(&CallerRequest::prompt("/chat/x", &format!("budget-chat-{number}"))).await;
        }
    }

    pub(crate) async fn wait_for_readiness(&self, status: u16) {
        for _ in 0..MAX_POLLS {
            if self.readiness_status().await == Some(status) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("timed out waiting for readiness status {status}");
    }

    /// HTTP status of the readiness page; `None` if it does not answer.
    pub(crate) async fn readiness_status(&self) -> Option<u16> {
        let answer = CallerRequest::new("/ready", "r").send(self.readiness).await;
        answer.ok().map(|answer| answer.status)
    }

    pub(crate) async fn send(&self, request: &CallerRequest) -> CallerResponse {
        request.send(self.callers).await.expect("a response from the daemon")
    }

    /// Requests that the plain servers have run.
    pub(crate) fn plain_request_count(&self) -> usize {
        self.plain_servers.iter().map(|server| server.seen().len()).sum()
    }

    pub(crate) fn set_plain_mode(&self, mode: ServerMode) {
        self.plain_servers.iter().for_each(|server| server.set_mode(mode));
    }
}
