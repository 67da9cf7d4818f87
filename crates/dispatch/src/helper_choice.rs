//! Choice of the entry host that sends requests for one that reaches no server of their service.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Which services an entry host reaches, as reported to the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachReport {
    /// Hashes of the services of which it reaches no server.
    pub unreached: Vec<u64>,
    /// Whether it sends requests of other hosts. Not while it stops.
    pub takes_requests: bool,
}

/// A host with a recent report.
#[derive(Clone, Debug)]
pub struct HelperCandidate {
    /// Its name.
    pub host: HostName,
    /// Its availability zone, if known.
    pub zone: Option<ZoneName>,
    /// Whether it reaches the service.
    pub reaches_service: bool,
    /// Whether it may be asked.
    pub is_available: bool,
    /// Its requests in flight at servers.
    pub open: u32,
    /// Bandwidth of its link, in kbit/s; zero while unknown.
    pub link_kbps: u32,
    /// Age of its report.
    pub age: Duration,
}

/// The host that is asked to send a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenHelper {
    /// Its name.
    pub host: HostName,
    /// Age of the report by which it reaches the service.
    pub age: Duration,
}

/// Key of a service in reports.
pub fn service_key(service: &str) -> u64 {
    xxh3_64_with_seed(service.as_bytes(), 0)
}

/// Chooses a helper for a request with this random number.
///
/// Helpers of the own zone suffice if they are at least as many as its hosts that need one: each then gets the load
/// of one other host. Of two drawn helpers the less loaded one is taken.
pub fn choose_helper(
    candidates: &[HelperCandidate],
    own_zone: &ZoneName,
    draw: u64,
) -> Option<ChosenHelper> {
    let is_helper =
        |candidate: &&HelperCandidate| candidate.reaches_service && candidate.is_available;
    let in_zone = |candidate: &&HelperCandidate| candidate.zone.as_ref() == Some(own_zone);
    let zone_helpers: Vec<_> = candidates.iter().filter(is_helper).filter(in_zone).collect();
    let others_in_need =
        candidates.iter().filter(in_zone).filter(|candidate| !candidate.reaches_service);
    let hosts_in_need = others_in_need.count() + 1;
    let helpers = match hosts_in_need <= zone_helpers.len() {
        true => zone_helpers,
        false => candidates.iter().filter(is_helper).collect(),
    };
    let pick = |seed| {
        let hash = xxh3_64_with_seed(&draw.to_le_bytes(), seed);
        helpers.get(hash as usize % helpers.len().max(1)).copied()
    };
    let (first, second) = (pick(1)?, pick(2)?);
    let helper = if second.relative_load() < first.relative_load() { second } else { first };
    Some(ChosenHelper { host: helper.host.clone(), age: helper.age })
}

impl HelperCandidate {
    /// Requests in flight for its link.
    fn relative_load(&self) -> f64 {
        f64::from(self.open + 1) / f64::from(self.link_kbps.max(1))
    }
}
