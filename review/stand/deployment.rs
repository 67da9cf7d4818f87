//! A small deployment on loopback: the store, twelve replicas and the entry daemons, each a process of its own.

use std::fs;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::replica::Shape;
use crate::store::keyed_record;

pub const REPLICAS: usize = 12;
const ZONES: [&str; 3] = ["north", "east", "south"];
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// The key of the only tenant.
pub const KEY: &str = "ctnfzs989anu6wsjnban";

pub struct Replica {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
    /// When another one takes the place of this one, which has ended.
    replaced_at: Option<Instant>,
    is_replaced: bool,
}

pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    pub child: Child,
}

pub struct Deployment {
    pub dir: PathBuf,
    store: Child,
    pub store_address: SocketAddr,
    pub replicas: Vec<Replica>,
    pub routers: Vec<Router>,
    shape: Shape,
    started: usize,
}

impl Drop for Deployment {
    /// Ends all processes that were started.
    fn drop(&mut self) {
        let replicas = self.replicas.iter_mut().map(|replica| &mut replica.child);
        let routers = self.routers.iter_mut().map(|router| &mut router.child);
        for child in replicas.chain(routers).chain([&mut self.store]) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Deployment {
    /// Starts everything and waits until all routers are ready and know all replicas.
    pub fn start(routers: usize, shape: Shape) -> io::Result<Deployment> {
        let dir = std::env::temp_dir().join(format!("fulmargate-review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let store_address = free_address()?;
        let store = own_process(&dir, "store", &["store", &store_address.to_string()])?;
        let replicas = Vec::new();
        let routers_started = Vec::new();
        let mut deployment = Deployment {
            dir,
            store,
            store_address,
            replicas,
            routers: routers_started,
            shape,
            started: 0,
        };
        deployment.wait_for("the store", || {
            call(store_address, "GET", "/log-newest?topic=keyed.op&part=0", b"").is_ok()
        })?;
        deployment.put_config()?;
        for _ in 0..REPLICAS {
            deployment.start_replica()?;
        }
        deployment.wait_for("the replicas", || {
            let listed = call(store_address, "GET", "/log-newest?topic=keyed.servers&part=0", b"");
            listed.is_ok_and(|(_, body)| {
                String::from_utf8_lossy(&body).matches("\"key\"").count() == REPLICAS
            })
        })?;
        for number in 0..routers {
            deployment.start_router(number)?;
        }
        let ready: Vec<SocketAddr> =
            deployment.routers.iter().map(|router| router.readiness).collect();
        deployment.wait_for("the routers", || {
            ready.iter().all(|address| {
                call(*address, "GET", "/ready", b"").is_ok_and(|(status, _)| status == 200)
            })
        })?;
        // Routers find each other, and take the listed versions of software for known.
        std::thread::sleep(Duration::from_secs(4));
        Ok(deployment)
    }

    fn wait_for(&self, what: &str, is_done: impl Fn() -> bool) -> io::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while !is_done() {
            if deadline < Instant::now() {
                return Err(io::Error::other(format!("{what} did not start")));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    fn put_config(&self) -> io::Result<()> {
        let engine = "{\"slots\":64,\"kvCapacityTokens\":95978,\"kvTokenBytes\":163840,\"linkMbps\":530000.0,\
                      \"moves\":true,\"backups\":true,\"stride\":6,\"maxInFlight\":12,\"models\":[{\"name\":\"m1\"}]}";
        let route = |prefix: &str, attempts: u32, resumable: bool| {
            format!(
                "{{\"name\":\"r{attempts}\",\"host\":\"shop.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"stream\",\
                 \"timeoutMs\":12000,\"targetLatencyMs\":800,\"priority\":1,\"service\":\"engines\",\
                 \"maxAttempts\":{attempts},\"anonymous\":false,\"sticky\":true,\"resumable\":{resumable},\
                 \"gapAimMs\":500}}"
            )
        };
        let config = format!(
            "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"engines\",\"healthPath\":\"/health\",\
             \"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{engine}}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
             \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"sese880\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\
             \"isolated\":false}}]}}",
            route("/tag/", 1, false),
            route("/chat/", 2, true)
        );
        let record = keyed_record("config", &config);
        let (status, _) =
            call(self.store_address, "POST", "/log-append?topic=keyed.op&part=0", &record)?;
        if status == 200 { Ok(()) } else { Err(io::Error::other("configuration not taken")) }
    }

    /// Starts a replica under a new name at a new address.
    pub fn start_replica(&mut self) -> io::Result<()> {
        let number = self.started;
        self.started += 1;
        let name = format!("i-{number:02}");
        let address = free_address()?;
        let zone = ZONES[number % ZONES.len()];
        let (at, store) = (address.to_string(), self.store_address.to_string());
        let (events, every) = (self.shape.events.to_string(), self.shape.unframed_every.to_string());
        let args = ["replica", &name, &at, zone, &store, &events, &every];
        let child = own_process(&self.dir, &name, &args)?;
        self.replicas.push(Replica { name, address, child, replaced_at: None, is_replaced: false });
        Ok(())
    }

    /// Starts another replica in place of each that has ended so long ago.
    pub fn replace_ended(&mut self, after: Duration) -> io::Result<()> {
        let now = Instant::now();
        let mut due = 0;
        for replica in self.replicas.iter_mut().filter(|replica| !replica.is_replaced) {
            if replica.child.try_wait()?.is_none() {
                continue;
            }
            let replaced_at = *replica.replaced_at.get_or_insert(now + after);
            replica.is_replaced = replaced_at <= now;
            due += usize::from(replica.is_replaced);
        }
        (0..due).try_for_each(|_| self.start_replica())
    }

    /// Kills a replica, as a crash does: nothing is written to the store.
    pub fn crash_replica(&mut self, name: &str) -> io::Result<()> {
        let replica = self.replicas.iter_mut().find(|replica| replica.name == name);
        replica.ok_or_else(|| io::Error::other("no such replica"))?.child.kill()
    }

    fn start_router(&mut self, number: usize) -> io::Result<()> {
        let name = format!("front-{number}");
        let zone = ZONES[number % ZONES.len()];
        let (callers, readiness) = (free_address()?, free_address()?);
        let (metrics, peers) = (free_address()?, free_address()?);
        let settings = format!(
            "{{\"host\":\"{name}\",\"zone\":\"{zone}\",\"callers\":\"{callers}\",\"readiness\":\"{readiness}\",\
             \"metrics\":\"{metrics}\",\"peers\":\"{peers}\",\"store\":\"{}\",\"link_mbps\":1000.0,\
             \"memory_mb\":110,\"bounds\":{{\"key_revoke_ms\":5000,\"config_apply_ms\":2000,\"stop_grace_s\":8,\
             \"lease_ms\":3000,\"weights_ms\":6000,\"heartbeat_ms\":1200,\"repeat_ratio\":0.2,\"repeat_slack\":52,\
             \"repeat_window_s\":10,\"quota_window_s\":8,\"quota_overage\":0,\"quota_slack\":0}}}}",
            self.store_address
        );
        let file = self.dir.join(format!("{name}.json"));
        fs::write(&file, settings)?;
        let mut command = Command::new("target/release/fulmargate-entry");
        command.arg("--settings").arg(&file);
        let child = spawn(command, &self.dir.join(format!("{name}.log")))?;
        self.routers.push(Router { name, callers, readiness, child });
        Ok(())
    }

    /// What a process has written.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap_or_default()
    }
}

fn own_process(dir: &Path, name: &str, args: &[&str]) -> io::Result<Child> {
    let mut command = Command::new(std::env::current_exe()?);
    command.args(args);
    spawn(command, &dir.join(format!("{name}.log")))
}

fn spawn(mut command: Command, log: &Path) -> io::Result<Child> {
    let mut file = fs::File::create(log)?;
    writeln!(file, "started")?;
    command.stdin(Stdio::null()).stderr(file.try_clone()?).stdout(file).spawn()
}

/// A free address on loopback, below the range that outgoing connections use.
fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 20_000 + (std::process::id() % 100) as u16 * 100;
    for _ in 0..100 {
        let port = first + NEXT.fetch_add(1, Ordering::SeqCst) % 100;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no free port"))
}
