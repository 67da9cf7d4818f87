//! The rig: one process for each part of a deployment.

use std::cell::Cell;
use std::collections::HashMap;
use std::fs;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::rc::Rc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use fulmargate_load::StandControl;
use fulmargate_stand::FaultOrder;
use fulmargate_stand::deploy::AddressPlan;
use fulmargate_stand::deploy::DeploymentSettings;
use fulmargate_stand::deploy::OPERATOR_KEY;
use fulmargate_stand::deploy::ProcessPlan;
use fulmargate_stand::deploy::write_settings;
use fulmargate_stand::deployment::Deployment;
use indexmap::IndexMap;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use tokio::time::sleep;
use uuid::Uuid;

const POLL: Duration = Duration::from_millis(20);
/// Polls before a process that does not come up fails the proof: a bound on the wait, not a
/// measure of it.
const MOST_POLLS: usize = 1_500;

/// Deployments are large; one runs at a time.
static TURN: Mutex<()> = Mutex::new(());

/// A deployment whose parts are processes.
pub(crate) struct ProcessFleet {
    pub(crate) deployment: Rc<Deployment>,
    pub(crate) settings: DeploymentSettings,
    pub(crate) control: StandControl,
    plans: IndexMap<String, ProcessPlan>,
    children: HashMap<String, Child>,
    folder: PathBuf,
    client: Client,
    loads: Cell<u64>,
    _addresses: AddressPlan,
    _turn: MutexGuard<'static, ()>,
}

/// An answer of the operators' listener.
pub(crate) struct OperatorAnswer {
    pub(crate) status: StatusCode,
    pub(crate) body: Value,
}

impl ProcessFleet {
    /// Starts all processes of a deployment and waits until each router takes traffic.
    pub(crate) async fn start(deployment: Deployment) -> ProcessFleet {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let addresses = AddressPlan::reserve(&deployment).expect("ports");
        let settings = DeploymentSettings::new(&deployment, &addresses).expect("settings");
        let folder = std::env::temp_dir().join(format!("fulmargate-{}", Uuid::now_v7()));
        fs::create_dir_all(&folder).expect("a folder for settings");
        let plans = write_settings(&settings, &folder).expect("settings files");
        let mut fleet = ProcessFleet {
            deployment: Rc::new(deployment),
            settings,
            control: StandControl::default(),
            plans: plans.into_iter().map(|plan| (plan.name.clone(), plan)).collect(),
            children: HashMap::new(),
            folder,
            client: Client::default(),
            loads: Cell::new(0),
            _addresses: addresses,
            _turn: turn,
        };
        let names: Vec<String> = fleet.plans.keys().cloned().collect();
        for name in &names {
            fleet.spawn(name);
        }
        fleet.publish_first_version().await;
        for name in fleet.router_names() {
            fleet.wait_until_ready(&name).await;
        }
        fleet
    }

    /// Names of the routers, in the order of the entry hosts.
    pub(crate) fn router_names(&self) -> Vec<String> {
        self.deployment.hosts.iter().map(|host| host.name.to_string()).collect()
    }

    /// Names of the engines.
    pub(crate) fn engine_names(&self) -> Vec<String> {
        self.deployment.engines.iter().map(|engine| engine.name.to_string()).collect()
    }

    /// Names of the plain service's replicas.
    pub(crate) fn replica_names(&self) -> Vec<String> {
        self.deployment.replicas.iter().map(|replica| replica.name.to_string()).collect()
    }

    /// Where a process listens; a router's address for callers.
    pub(crate) fn address(&self, name: &str) -> String {
        self.plans[name].address.to_string()
    }

    /// Addresses of all routers for callers.
    pub(crate) fn caller_addresses(&self) -> Vec<String> {
        self.router_names().iter().map(|name| self.address(name)).collect()
    }

    /// A seed that no earlier load of this fleet had.
    pub(crate) fn next_seed(&self) -> u64 {
        self.loads.set(self.loads.get() + 1);
        self.loads.get()
    }

    fn operators_of(&self, router: &str) -> String {
        let settings =
            self.settings.routers.iter().find(|settings| settings.host.as_str() == router);
        settings.expect("a router of the deployment").operators.listen.to_string()
    }

    /// Starts a process that does not run.
    pub(crate) fn spawn(&mut self, name: &str) {
        let plan = &self.plans[name];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("a log file");
        let child = Command::new(program(plan.program))
            .args(&plan.args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|err| {
                panic!("{}: {err}; it is built by `cargo test --workspace`", plan.program)
            });
        self.children.insert(name.to_owned(), child);
    }

    /// Ends a process at once: nothing it had in memory remains.
    pub(crate) fn kill(&mut self, name: &str) {
        let mut child = self.children.remove(name).expect("a process that runs");
        child.kill().expect("the process can be killed");
        child.wait().expect("the process ends");
    }

    /// Begins a planned stop.
    pub(crate) fn terminate(&self, name: &str) {
        self.signal(name, Signal::SIGTERM);
    }

    /// Waits for the end of a planned stop; tells whether it ended in good form.
    pub(crate) async fn wait_until_ended(&mut self, name: &str) -> bool {
        let mut child = self.children.remove(name).expect("a process that runs");
        for _ in 0..MOST_POLLS {
            if let Some(status) = child.try_wait().expect("the process can be waited for") {
                return status.success();
            }
            sleep(POLL).await;
        }
        let _it_ends_with_the_proof = child.kill();
        false
    }

    /// Stops a process in its tracks; its connections stay open.
    pub(crate) fn freeze(&self, name: &str) {
        self.signal(name, Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub(crate) fn thaw(&self, name: &str) {
        self.signal(name, Signal::SIGCONT);
    }

    fn signal(&self, name: &str, signal: Signal) {
        let id = self.children[name].id();
        kill(Pid::from_raw(id as i32), signal).expect("the process takes signals");
    }

    /// Brings a fault about at a stand-in.
    pub(crate) async fn fault(&self, name: &str, order: FaultOrder) {
        self.control.order(&self.address(name), &order).await.expect("the fault is taken");
    }

    /// Effects by idempotency key, over all replicas.
    pub(crate) async fn effects(&self) -> HashMap<String, u64> {
        let mut effects = HashMap::new();
        for name in self.replica_names() {
            let of_one = self.control.effects(&self.address(&name)).await.expect("effects");
            for (key, count) in of_one {
                *effects.entry(key).or_insert(0) += count;
            }
        }
        effects
    }

    /// Waits until a router takes traffic.
    pub(crate) async fn wait_until_ready(&self, router: &str) {
        let url = format!("http://{}/ready", self.operators_of(router));
        for _ in 0..MOST_POLLS {
            if self.client.get(&url).send().await.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            sleep(POLL).await;
        }
        panic!("{router} does not become ready: {}", self.log_tail(router));
    }

    /// The end of a process's log, for a proof that fails.
    pub(crate) fn log_tail(&self, name: &str) -> String {
        let text = fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(12)..].join("\n")
    }

    /// Asks a router's operators' listener.
    pub(crate) async fn get(&self, router: &str, path: &str) -> Option<OperatorAnswer> {
        let url = format!("http://{}{path}", self.operators_of(router));
        let mut answer = self.client.get(url).bearer_auth(OPERATOR_KEY).send().await.ok()?;
        let body = answer.json().await.ok()?;
        Some(OperatorAnswer { status: answer.status(), body })
    }

    /// Submits a patch against a version.
    pub(crate) async fn patch(
        &self,
        router: &str,
        base: u64,
        patch: &Value,
    ) -> Option<OperatorAnswer> {
        let url = format!("http://{}/config", self.operators_of(router));
        let request = self.client.patch(url).bearer_auth(OPERATOR_KEY);
        let request = request.insert_header(("if-match", format!("\"{base}\"")));
        let request = request.timeout(Duration::from_secs(10));
        let mut answer = request.send_json(patch).await.ok()?;
        let body = answer.json().await.unwrap_or_default();
        Some(OperatorAnswer { status: answer.status(), body })
    }

    /// The version in force at a router.
    pub(crate) async fn version(&self, router: &str) -> Option<u64> {
        self.get(router, "/config").await?.body["version"].as_u64()
    }

    async fn publish_first_version(&self) {
        let (stream, id, data) = self.settings.first_record();
        let url = format!("http://{}/v1/streams/{stream}/records", self.address("log"));
        let record = serde_json::json!({ "id": id, "data": data });
        for _ in 0..MOST_POLLS {
            let answer = self.client.post(&url).send_json(&record).await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            sleep(POLL).await;
        }
        panic!("the log does not come up: {}", self.log_tail("log"));
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _it_may_have_ended = child.kill();
            let _it_may_have_ended = child.wait();
        }
        if !std::thread::panicking() {
            let _left_behind = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The binaries lie beside the folder of the test's own binary.
fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("the test's own path");
    let folder = own.parent().and_then(std::path::Path::parent).expect("the build's folder");
    folder.join(name)
}
