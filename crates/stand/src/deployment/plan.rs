//! What a deployment consists of.

use fulmargate_names::HostName;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::TeamName;
use fulmargate_names::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Entry hosts in each zone.
const HOSTS_PER_ZONE: usize = 2;
/// Engines in each zone.
const ENGINES_PER_ZONE: usize = 4;

/// How fast an engine is and how much it keeps.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineRates {
    /// Prompt tokens computed in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time of one decode step, which gives a token to each request of the batch.
    pub decode_step_ms: f64,
    /// Requests that decode together.
    pub batch_limit: usize,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Tokens of cached blocks taken in from elsewhere in a millisecond.
    pub import_tokens_per_ms: f64,
    /// Time to load new weights while at most two load at once.
    pub load_ms: u64,
}

/// An entry host.
#[derive(Debug, Clone)]
pub struct HostPlan {
    /// Its name.
    pub name: HostName,
    /// Its zone.
    pub zone: ZoneName,
}

/// A model engine.
#[derive(Debug, Clone)]
pub struct EnginePlan {
    /// Its name.
    pub name: ServerName,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
}

/// One replica of the deployment's plain service.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Its name.
    pub name: ServerName,
    /// Its zone.
    pub zone: ZoneName,
}

/// One call of the plain service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: &'static str,
    /// Path below the service's address.
    pub path: &'static str,
    /// Whether the call may run more than once.
    pub repeatable: bool,
}

/// Class of a team's model requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TeamClass {
    /// People wait for the answer.
    Urgent,
    /// The answer may wait.
    Batch,
}

impl TeamClass {
    /// The class's name in the configuration.
    pub fn as_str(self) -> &'static str {
        match self {
            TeamClass::Urgent => "urgent",
            TeamClass::Batch => "batch",
        }
    }
}

/// Whether a team is one of the few large ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TeamSize {
    /// Has several times the traffic of a small one.
    Large,
    /// All others.
    Small,
}

/// A team with its key.
#[derive(Debug, Clone)]
pub struct TeamPlan {
    /// Its name.
    pub name: TeamName,
    /// Its API key in the clear; the configuration holds the SHA-256 only.
    pub key: String,
    /// Class of its model requests.
    pub class: TeamClass,
    /// Large or small.
    pub size: TeamSize,
    /// Its part of all model requests; those of all teams add up to 1.
    pub share: f64,
}

/// A whole deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// `shop` or `utility`.
    pub name: &'static str,
    /// Availability zones.
    pub zones: Vec<ZoneName>,
    /// Entry hosts, two in each zone.
    pub hosts: Vec<HostPlan>,
    /// Model engines, four in each zone.
    pub engines: Vec<EnginePlan>,
    /// The plain service's name.
    pub service: ServiceName,
    /// Replicas of the plain service, one in each zone.
    pub replicas: Vec<ServicePlan>,
    /// Calls of the plain service.
    pub calls: Vec<ServiceCall>,
    /// The model that all engines serve.
    pub model: ModelName,
    /// Teams, a few of them large.
    pub teams: Vec<TeamPlan>,
    /// Rates of each engine.
    pub rates: EngineRates,
}

/// What differs between deployments.
pub(super) struct DeploymentSeed<'a> {
    pub(super) name: &'static str,
    pub(super) zones: [&'a str; 3],
    pub(super) model: &'a str,
    pub(super) service: &'a str,
    pub(super) calls: Vec<ServiceCall>,
    pub(super) teams: [(&'a str, TeamClass, TeamSize); 8],
    pub(super) load_ms: u64,
}

impl Deployment {
    /// The deployment of this name.
    pub fn named(name: &str) -> Option<Deployment> {
        match name {
            "shop" => Some(Deployment::shop()),
            "utility" => Some(Deployment::utility()),
            _ => None,
        }
    }

    pub(super) fn from_seed(seed: DeploymentSeed<'_>) -> Deployment {
        let zones: Vec<ZoneName> = seed.zones.iter().map(|zone| ZoneName::new(zone)).collect();
        let teams = teams(seed.name, &seed.teams);
        Deployment {
            name: seed.name,
            hosts: hosts(&zones),
            engines: engines(&zones),
            service: ServiceName::new(seed.service),
            replicas: replicas(&zones, seed.service),
            calls: seed.calls,
            model: ModelName::new(seed.model),
            zones,
            teams,
            rates: EngineRates {
                prefill_tokens_per_ms: 40.0,
                decode_step_ms: 5.0,
                batch_limit: 16,
                cache_blocks: 3_750,
                import_tokens_per_ms: 400.0,
                load_ms: seed.load_ms,
            },
        }
    }
}

fn hosts(zones: &[ZoneName]) -> Vec<HostPlan> {
    let each = |zone: &ZoneName| {
        let zone = zone.clone();
        (1..=HOSTS_PER_ZONE).map(move |number| HostPlan {
            name: HostName::new(&format!("entry-{zone}-{number}")),
            zone: zone.clone(),
        })
    };
    zones.iter().flat_map(each).collect()
}

/// The last engine of each zone ignores fencing numbers, as some of the users' do.
fn engines(zones: &[ZoneName]) -> Vec<EnginePlan> {
    let each = |zone: &ZoneName| {
        let zone = zone.clone();
        (1..=ENGINES_PER_ZONE).map(move |number| EnginePlan {
            name: ServerName::new(&format!("engine-{zone}-{number}")),
            zone: zone.clone(),
            fenced: number < ENGINES_PER_ZONE,
        })
    };
    zones.iter().flat_map(each).collect()
}

fn replicas(zones: &[ZoneName], service: &str) -> Vec<ServicePlan> {
    let each = |zone: &ZoneName| ServicePlan {
        name: ServerName::new(&format!("{service}-{zone}")),
        zone: zone.clone(),
    };
    zones.iter().map(each).collect()
}

fn teams(deployment: &str, seeds: &[(&str, TeamClass, TeamSize)]) -> Vec<TeamPlan> {
    let portion = |size: TeamSize| match size {
        TeamSize::Large => 4.0,
        TeamSize::Small => 1.0,
    };
    let whole: f64 = seeds.iter().map(|(_, _, size)| portion(*size)).sum();
    let each = |(name, class, size): &(&str, TeamClass, TeamSize)| TeamPlan {
        name: TeamName::new(name),
        key: format!("fk-{deployment}-{name}"),
        class: *class,
        size: *size,
        share: portion(*size) / whole,
    };
    seeds.iter().map(each).collect()
}
