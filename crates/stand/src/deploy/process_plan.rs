//! Settings files, and how each process is started with its own.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;

use super::DeploymentSettings;

/// One process that the caller is to start.
#[derive(Debug, Clone)]
pub struct ProcessPlan {
    /// Name of the host or server, or `log`, `weights`, `hosts`, `kv`.
    pub name: String,
    /// The binary: `fulmargate-stand` or `fulmargate-router`.
    pub program: &'static str,
    /// Its arguments.
    pub args: Vec<String>,
    /// Where it listens; a router's address for callers.
    pub address: SocketAddr,
    /// Its settings file.
    pub file: PathBuf,
}

/// Writes a settings file for each process into the folder; starts none. The platform comes first,
/// then the backend servers, then the routers.
pub fn write_settings(
    settings: &DeploymentSettings,
    folder: &Path,
) -> io::Result<Vec<ProcessPlan>> {
    let DeploymentSettings { log, weights, hosts, kv, engines, replicas, routers, document } =
        settings;
    let stand = |name: &str, kind: &str, file: PathBuf, address: SocketAddr| ProcessPlan {
        name: name.to_owned(),
        program: "fulmargate-stand",
        args: vec![kind.to_owned(), "--settings".to_owned(), file.display().to_string()],
        address,
        file,
    };
    let mut plans = vec![
        stand("log", "log", write(folder, "log", log)?, log.listen),
        stand("weights", "weights", write(folder, "weights", weights)?, weights.listen),
        stand("hosts", "hosts", write(folder, "hosts", hosts)?, hosts.listen),
        stand("kv", "kv", write(folder, "kv", kv)?, kv.listen),
    ];
    for engine in engines {
        let name = engine.name.as_str();
        plans.push(stand(name, "engine", write(folder, name, engine)?, engine.listen));
    }
    for replica in replicas {
        let name = replica.name.as_str();
        plans.push(stand(name, "service", write(folder, name, replica)?, replica.listen));
    }
    for router in routers {
        let file = write(folder, router.host.as_str(), router)?;
        plans.push(ProcessPlan {
            name: router.host.to_string(),
            program: "fulmargate-router",
            args: vec!["--settings".to_owned(), file.display().to_string()],
            address: router.callers.listen,
            file,
        });
    }
    write(folder, "document", document)?;
    Ok(plans)
}

fn write<T: Serialize>(folder: &Path, name: &str, settings: &T) -> io::Result<PathBuf> {
    let file = folder.join(format!("{name}.json"));
    fs::write(&file, serde_json::to_string_pretty(settings)?)?;
    Ok(file)
}
