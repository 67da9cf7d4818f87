//! Addresses on loopback for all processes of a deployment.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use fulmargate_names::HostName;
use indexmap::IndexMap;

use crate::deployment::Deployment;
use crate::port_holder::PortHolder;

/// The listeners of one router.
#[derive(Debug, Clone, Copy)]
pub struct RouterPorts {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
}

/// Addresses on loopback, chosen by the system. The plan holds the ports as long as it lives, so
/// that a process which is down finds its port free when it comes back.
pub struct AddressPlan {
    /// The platform's log.
    pub log: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
    /// The KV store.
    pub kv: SocketAddr,
    /// Engines and replicas of the plain service by name.
    pub servers: IndexMap<String, SocketAddr>,
    /// Routers by entry host.
    pub routers: IndexMap<HostName, RouterPorts>,
    _holders: Vec<PortHolder>,
}

impl AddressPlan {
    /// Chooses and holds a port for each listener of the deployment.
    pub fn reserve(deployment: &Deployment) -> io::Result<AddressPlan> {
        let mut holders = Vec::new();
        let mut port = || {
            let holder = PortHolder::bind(SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0))?;
            let address = holder.address()?;
            holders.push(holder);
            io::Result::Ok(address)
        };
        let [log, weights, hosts, kv] = [port()?, port()?, port()?, port()?];
        let engines = deployment.engines.iter().map(|engine| &engine.name);
        let replicas = deployment.replicas.iter().map(|replica| &replica.name);
        let mut servers = IndexMap::new();
        for name in engines.chain(replicas) {
            servers.insert(name.to_string(), port()?);
        }
        let mut routers = IndexMap::new();
        for host in &deployment.hosts {
            let ports = RouterPorts { callers: port()?, operators: port()?, peers: port()? };
            routers.insert(host.name.clone(), ports);
        }
        Ok(AddressPlan { log, weights, hosts, kv, servers, routers, _holders: holders })
    }

    /// `HOST:PORT` of backend servers by name, as the configuration document takes them.
    pub fn server_texts(&self) -> IndexMap<String, String> {
        let each = |(name, address): (&String, &SocketAddr)| (name.clone(), address.to_string());
        self.servers.iter().map(each).collect()
    }
}
