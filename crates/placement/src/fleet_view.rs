//! Snapshot of the servers for one model and weights version.

use std::sync::Arc;

use fulmargate_names::PromptHash;
use fulmargate_names::ServerName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::PlacementConf;
use crate::ServerId;
use crate::ServerMeter;
use crate::SpreadPlan;
use crate::hash_ring::HashRing;

/// A server in a view.
#[derive(Clone, Debug)]
pub struct FleetServer {
    /// The server's availability zone.
    pub zone: ZoneName,
    /// Round-trip time to the server.
    pub zone_ms: f64,
    /// Current load and cache statistics.
    pub meter: Arc<ServerMeter>,
}

impl FleetServer {
    /// The server's name.
    pub fn name(&self) -> &ServerName {
        self.meter.name()
    }
}

/// An immutable snapshot. The control thread publishes a new one whenever the members or the plan
/// change. Measurements are kept in the server meters, which snapshots share.
#[derive(Clone, Debug)]
pub struct FleetView {
    servers: Arc<ServerSet>,
    plan: Option<Arc<PlanTable>>,
}

#[derive(Debug)]
struct ServerSet {
    servers: IndexMap<ServerName, Arc<FleetServer>>,
    /// Hashes of the server names, by index.
    name_hashes: Vec<u64>,
    by_id: Vec<(ServerId, u32)>,
    near: Vec<u32>,
    far: Vec<u32>,
    ring: HashRing,
}

/// The plan, resolved to server indexes of the view.
#[derive(Debug, Default)]
struct PlanTable {
    groups: Vec<(PromptHash, u32, u32)>,
    shares: Vec<(u32, f64)>,
}

impl FleetView {
    /// Creates a view of these servers, without a plan.
    pub fn new(conf: &PlacementConf, servers: Vec<FleetServer>) -> FleetView {
        let mut by_name: IndexMap<ServerName, Arc<FleetServer>> =
            servers.into_iter().map(|server| (server.name().clone(), Arc::new(server))).collect();
        // Sort by name, so that all routers use the same indexes.
        by_name.sort_unstable_keys();
        let mut by_id: Vec<(ServerId, u32)> =
            by_name.values().zip(0..).map(|(server, index)| (server.meter.id(), index)).collect();
        by_id.sort_unstable();
        let is_near = |index: &u32| by_name[*index as usize].zone_ms <= conf.max_near_ms;
        let (near, far): (Vec<u32>, Vec<u32>) = (0..by_name.len() as u32).partition(is_near);
        let ring_servers: Vec<(u32, &ServerName)> =
            near.iter().map(|index| (*index, by_name[*index as usize].name())).collect();
        let ring = HashRing::new(&ring_servers);
        let name_hashes = by_name.keys().map(|name| xxh3_64(name.as_str().as_bytes())).collect();
        let servers = Arc::new(ServerSet { servers: by_name, name_hashes, by_id, near, far, ring });
        FleetView { servers, plan: None }
    }

    /// The same servers with another plan. Shares of servers that are not in the view go to the
    /// other servers of the group.
    pub fn with_plan(&self, plan: &SpreadPlan) -> FleetView {
        let mut table = PlanTable::default();
        for spread in &plan.spreads {
            let start = table.shares.len();
            for share in &spread.shares {
                if let Some(index) = self.index_of_name(&share.server) {
                    table.shares.push((index, share.share));
                }
            }
            if start < table.shares.len() {
                table.groups.push((spread.group, start as u32, table.shares.len() as u32));
            }
        }
        table.groups.sort_unstable_by_key(|(group, ..)| *group);
        FleetView { servers: self.servers.clone(), plan: Some(Arc::new(table)) }
    }

    /// All servers, in order of name.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<FleetServer>> {
        self.servers.servers.values()
    }

    /// Looks up a server by name.
    pub fn server(&self, name: &ServerName) -> Option<&Arc<FleetServer>> {
        self.servers.servers.get(name)
    }

    /// Names of the first `limit` servers of a prefix's preference list.
    pub fn preferred(&self, prefix: PromptHash, limit: usize) -> Vec<ServerName> {
        let list = self.ring().ring_order(prefix.0, limit);
        list.as_slice().iter().map(|index| self.server_at(*index).name().clone()).collect()
    }

    pub(crate) fn server_at(&self, index: u32) -> &Arc<FleetServer> {
        &self.servers.servers[index as usize]
    }

    /// Hash of the server's name, equal on all routers.
    pub(crate) fn name_hash(&self, index: u32) -> u64 {
        self.servers.name_hashes[index as usize]
    }

    pub(crate) fn index_of(&self, id: ServerId) -> Option<u32> {
        let by_id = &self.servers.by_id;
        let position = by_id.binary_search_by_key(&id, |(id, _)| *id).ok()?;
        Some(by_id[position].1)
    }

    pub(crate) fn index_of_name(&self, name: &ServerName) -> Option<u32> {
        self.servers.servers.get_index_of(name).map(|index| index as u32)
    }

    pub(crate) fn near(&self) -> &[u32] {
        &self.servers.near
    }

    pub(crate) fn far(&self) -> &[u32] {
        &self.servers.far
    }

    pub(crate) fn ring(&self) -> &HashRing {
        &self.servers.ring
    }

    pub(crate) fn has_plan(&self) -> bool {
        self.plan.is_some()
    }

    /// The servers and shares that the plan assigns to the group.
    pub(crate) fn planned_shares(&self, group: PromptHash) -> Option<&[(u32, f64)]> {
        let table = self.plan.as_ref()?;
        let position = table.groups.binary_search_by_key(&group, |(group, ..)| *group).ok()?;
        let (_, start, end) = table.groups[position];
        Some(&table.shares[start as usize..end as usize])
    }
}
