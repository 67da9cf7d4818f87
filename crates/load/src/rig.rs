//! A whole deployment in threads of this process, on loopback, for comparisons on equal ground.

mod processor_clock;
mod running_stands;
mod stand_control;

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use awc::Client;
use fulmargate_router::RunningRouter;
use fulmargate_settings::RouterSettings;
use fulmargate_stand::deploy::AddressPlan;
use fulmargate_stand::deploy::DeploymentSettings;
use fulmargate_stand::deployment::Deployment;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::calls::CallRecord;
use crate::figures::CacheJudge;
use crate::figures::PromptTouch;
use crate::figures::judge_effects;
use crate::load_error::LoadError;
pub use processor_clock::ProcessorClock;
pub use processor_clock::processor_ticks;
use running_stands::RunningStands;
pub use stand_control::StandControl;
pub use stand_control::StandCounts;

const READY_WITHIN: Duration = Duration::from_secs(20);
const POLL_EVERY: Duration = Duration::from_millis(20);

/// Where engines may import cached blocks from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ImportSources {
    /// The KV store and the other engines, as in the deployments.
    All,
    /// Nowhere: each engine has what it computed itself.
    None,
}

/// A router of a rig; none while it is being restarted.
struct RigRouter {
    settings: RouterSettings,
    running: RefCell<Option<(RunningRouter, CancellationToken)>>,
}

/// A deployment that runs.
pub struct Rig {
    /// What runs.
    pub deployment: Deployment,
    /// Where it runs; holds the ports.
    pub addresses: AddressPlan,
    /// Control of the stand-ins.
    pub control: StandControl,
    /// Processor time of the routers' threads; a restart starts threads that it does not know.
    pub router_clock: ProcessorClock,
    routers: Vec<RigRouter>,
    stands: RunningStands,
}

impl Rig {
    /// Starts all stand-ins with empty caches, then all routers, and waits until they are ready.
    pub async fn start(deployment: &Deployment, policy: &str) -> Result<Rig, LoadError> {
        Rig::start_with(deployment, policy, ImportSources::All).await
    }

    /// As `start`, with the choice of where engines import from.
    pub async fn start_with(
        deployment: &Deployment,
        policy: &str,
        imports: ImportSources,
    ) -> Result<Rig, LoadError> {
        let addresses =
            AddressPlan::reserve(deployment).map_err(|error| failed("ports", &error))?;
        let mut settings = DeploymentSettings::new(deployment, &addresses)
            .map_err(|error| failed("settings", &error))?;
        settings.document["policy"] = json!(policy);
        if imports == ImportSources::None {
            for engine in &mut settings.engines {
                engine.kv_store = None;
                engine.neighbours.clear();
            }
        }
        let stands = RunningStands::start(&settings)?;
        let control = StandControl::default();
        wait_for_stands(&addresses, &control).await?;
        publish_first_version(&addresses, &settings).await?;
        let others = ProcessorClock::threads_of_process()?;
        let mut routers = Vec::new();
        for settings in settings.routers {
            let running = RefCell::new(Some(start_router(&settings)?));
            routers.push(RigRouter { settings, running });
        }
        let deployment = deployment.clone();
        let router_clock = ProcessorClock::default();
        let mut rig = Rig { deployment, addresses, control, router_clock, routers, stands };
        rig.wait_until_ready().await?;
        rig.router_clock = ProcessorClock::of_new_threads(&others)?;
        Ok(rig)
    }

    /// Addresses of all routers for callers.
    pub fn caller_addresses(&self) -> Vec<String> {
        self.addresses.routers.values().map(|ports| ports.callers.to_string()).collect()
    }

    /// Addresses of all routers for operators.
    pub fn operator_addresses(&self) -> Vec<String> {
        self.addresses.routers.values().map(|ports| ports.operators.to_string()).collect()
    }

    /// Address of a backend server.
    pub fn server_address(&self, name: &str) -> Option<String> {
        self.addresses.servers.get(name).map(ToString::to_string)
    }

    /// Addresses of the replicas of the plain service.
    pub fn replica_addresses(&self) -> Vec<String> {
        let replicas = self.deployment.replicas.iter();
        replicas.filter_map(|replica| self.server_address(replica.name.as_str())).collect()
    }

    /// Judges the records of a run by what the stand-ins know of effects, and by all prompts of
    /// the run. The caches must have been empty at its start.
    pub async fn judge(
        &self,
        touches: &HashMap<u32, PromptTouch>,
        records: &mut [CallRecord],
    ) -> Result<(), LoadError> {
        CacheJudge::new(touches).mark_foreign(records);
        let mut effects = HashMap::new();
        for address in self.replica_addresses() {
            for (key, count) in self.control.effects(&address).await? {
                *effects.entry(key).or_insert(0) += count;
            }
        }
        judge_effects(records, &effects);
        Ok(())
    }

    /// Stops a router as planned and starts it again on its ports; one that is being restarted
    /// already is left alone.
    pub async fn restart_router(&self, index: usize) -> Result<(), LoadError> {
        let router = &self.routers[index % self.routers.len()];
        let Some((running, stop)) = router.running.borrow_mut().take() else { return Ok(()) };
        stop.cancel();
        let stopped = tokio::task::spawn_blocking(move || running.join()).await;
        stopped.map_err(|error| failed("router", &error))?;
        *router.running.borrow_mut() = Some(start_router(&router.settings)?);
        Ok(())
    }

    /// Stops the routers, then the stand-ins.
    pub fn stop(self) {
        let running: Vec<_> =
            self.routers.into_iter().filter_map(|it| it.running.into_inner()).collect();
        for (_, stop) in &running {
            stop.cancel();
        }
        for (running, _) in running {
            running.join();
        }
        self.stands.stop();
    }

    async fn wait_until_ready(&self) -> Result<(), LoadError> {
        let client = Client::default();
        let deadline = Instant::now() + READY_WITHIN;
        for address in self.operator_addresses() {
            let url = format!("http://{address}/ready");
            while !client.get(&url).send().await.is_ok_and(|answer| answer.status().is_success()) {
                if deadline < Instant::now() {
                    let reason = "the router did not become ready".to_owned();
                    return Err(LoadError::Unanswered { address, reason });
                }
                sleep(POLL_EVERY).await;
            }
        }
        Ok(())
    }
}

fn start_router(
    settings: &RouterSettings,
) -> Result<(RunningRouter, CancellationToken), LoadError> {
    let stop = CancellationToken::new();
    let running = fulmargate_router::start(settings.clone(), stop.clone())
        .map_err(|error| failed("router", &error))?;
    Ok((running, stop))
}

fn failed(what: &'static str, error: &dyn std::error::Error) -> LoadError {
    LoadError::Failed { what, reason: error.to_string() }
}

/// Waits until each stand-in answers, so that all their threads have started.
async fn wait_for_stands(addresses: &AddressPlan, control: &StandControl) -> Result<(), LoadError> {
    let platform = [addresses.log, addresses.weights, addresses.hosts, addresses.kv];
    let deadline = Instant::now() + READY_WITHIN;
    for address in platform.iter().chain(addresses.servers.values()) {
        let address = address.to_string();
        while let Err(error) = control.counts(&address).await {
            if deadline < Instant::now() {
                return Err(error);
            }
            sleep(POLL_EVERY).await;
        }
    }
    Ok(())
}

/// Puts the document into the log, before any router reads it.
async fn publish_first_version(
    addresses: &AddressPlan,
    settings: &DeploymentSettings,
) -> Result<(), LoadError> {
    let (stream, id, data) = settings.first_record();
    let address = addresses.log.to_string();
    let url = format!("http://{address}/v1/streams/{stream}/records");
    let record = json!({ "id": id, "data": data });
    let client = Client::default();
    let deadline = Instant::now() + READY_WITHIN;
    loop {
        // A second copy is refused as stale.
        let reason = match client.post(&url).send_json(&record).await {
            Ok(answer) if answer.status().is_success() => return Ok(()),
            Ok(answer) => answer.status().to_string(),
            Err(error) => error.to_string(),
        };
        if deadline < Instant::now() {
            return Err(LoadError::Unanswered { address, reason });
        }
        sleep(POLL_EVERY).await;
    }
}
