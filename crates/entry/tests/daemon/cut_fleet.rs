//! A fleet of daemons, each with links of its own to all servers.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::CallerResponse;
use fulmargate_consortium_stand::ConfigText;
use fulmargate_consortium_stand::ECHO_EVENTS;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::FakeStore;
use fulmargate_consortium_stand::HostLink;
use fulmargate_consortium_stand::LinkCut;
use fulmargate_consortium_stand::LinkFault;
use fulmargate_consortium_stand::LoopbackProxy;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::echo_event;
use fulmargate_consortium_stand::echo_text;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::support::DaemonProcess;
use crate::support::REQUEST_TIMEOUT_MS;
use crate::support::initial_config;
use crate::support::wait_until;

pub(crate) const HOSTS: usize = 3;
pub(crate) const DESKS: usize = 3;
pub(crate) const ENGINES: usize = 3;
/// Routers receive each other's messages.
const MEETING_TIME: Duration = Duration::from_millis(500);

/// Time in which hosts detect a cut and report it.
pub(crate) const LEARNING_TIME: Duration = Duration::from_secs(1);

/// A kind of request and the body of its whole response.
pub(crate) struct RouteCase {
    pub(crate) path: &'static str,
    pub(crate) is_prompt: bool,
}

pub(crate) const ROUTES: &[RouteCase] = &[
    RouteCase { path: "/charge/x", is_prompt: false },
    RouteCase { path: "/read/x", is_prompt: false },
    RouteCase { path: "/chat/x", is_prompt: true },
    RouteCase { path: "/non-resumable/x", is_prompt: true },
];

impl RouteCase {
    pub(crate) fn request(&self, id: &str) -> CallerRequest {
        let mut request = match self.is_prompt {
            true => CallerRequest::prompt(self.path, id),
            false => CallerRequest::new(self.path, id),
        };
        request.patience_ms = REQUEST_TIMEOUT_MS;
        request
    }

    pub(crate) fn body(&self, id: &str) -> String {
        match self.is_prompt {
            true => (1..=ECHO_EVENTS).map(|number| echo_event(id, number)).collect(),
            false => echo_text(id),
        }
    }
}

/// A server and the proxy of each host before it.
pub(crate) struct LinkedServer {
    pub(crate) stand: FakeServer,
    proxies: Vec<LoopbackProxy>,
}

/// Store, servers and daemons.
pub(crate) struct CutFleet {
    pub(crate) store: FakeStore,
    pub(crate) desks: Vec<LinkedServer>,
    pub(crate) engines: Vec<LinkedServer>,
    pub(crate) daemons: Vec<DaemonProcess>,
    callers: Vec<SocketAddr>,
    store_links: Vec<LoopbackProxy>,
}

impl CutFleet {
    /// Starts the fleet and waits until each host is ready and has messages of the others.
    pub(crate) async fn start(config: &ConfigText) -> CutFleet {
        CutFleet::start_with_desks(config, DESKS).await
    }

    /// The same with this many servers of the plain service.
    pub(crate) async fn start_with_desks(config: &ConfigText, desk_count: usize) -> CutFleet {
        CutFleet::start_with_servers(config, desk_count, &["v1"; ENGINES]).await
    }

    /// The same with an engine for each of these software versions.
    pub(crate) async fn start_with_servers(
        config: &ConfigText,
        desk_count: usize,
        engine_versions: &[&str],
    ) -> CutFleet {
        let store = FakeStore::start().await.expect("start the store");
        store.put_config(config);
        let desks = start_servers(&store, "desk", &vec!["v1"; desk_count]).await;
        let engines = start_servers(&store, "engines", engine_versions).await;
        let (mut daemons, mut store_links) = (Vec::new(), Vec::new());
        for host in 0..HOSTS {
            let view = store.start_view(host_address(host)).await.expect("start a view");
            let link = LoopbackProxy::start(Some(view)).await.expect("start a proxy");
            daemons.push(DaemonProcess::start_with_settings(link.address, &json!({})));
            store_links.push(link);
        }
        let server_count = desk_count + engine_versions.len();
        let mut callers = Vec::new();
        for daemon in &daemons {
            let listed = || daemon.events("server_listed").len();
            wait_until("a daemon lists all servers", || listed() == server_count).await;
            wait_until("its configuration is confirmed", || {
                !daemon.events("config_proven").is_empty()
            })
            .await;
            callers.push(daemon.address("callers").await);
        }
        sleep(MEETING_TIME).await;
        CutFleet { store, desks, engines, daemons, callers, store_links }
    }

    /// Cuts a host's links to these servers.
    pub(crate) async fn cut(&self, host: usize, servers: &[LinkedServer], cut: LinkCut) {
        let proxies: Vec<&LoopbackProxy> =
            servers.iter().map(|server| &server.proxies[host]).collect();
        cut.apply_to_all(&proxies).await;
    }

    /// Cuts a host's links to all servers.
    pub(crate) async fn cut_all(&self, host: usize, cut: LinkCut) {
        let servers = self.desks.iter().chain(&self.engines);
        let proxies: Vec<&LoopbackProxy> = servers.map(|server| &server.proxies[host]).collect();
        cut.apply_to_all(&proxies).await;
    }

    /// Lets a host's connections to the store fall silent.
    pub(crate) fn cut_store(&self, host: usize) {
        self.store_links[host].set_fault(LinkFault::Silent);
    }

    /// Kills a host's daemon.
    pub(crate) fn kill(&mut self, host: usize) {
        self.daemons[host].signal("KILL");
    }

    /// Starts a new daemon in a host's place, under the same name, and waits until it lists this many servers.
    pub(crate) async fn restart(&mut self, host: usize, server_count: usize) {
        let name = self.name(host);
        let store = self.store_links[host].address;
        let daemon = DaemonProcess::start_with_settings(store, &json!({"host": name}));
        let listed = || daemon.events("server_listed").len();
        wait_until("a daemon lists all servers", || listed() == server_count).await;
        wait_until("its configuration is confirmed", || !daemon.events("config_proven").is_empty())
            .await;
        self.callers[host] = daemon.address("callers").await;
        self.daemons[host] = daemon;
    }

    /// Mends a host's links to all servers.
    pub(crate) fn mend(&self, host: usize) {
        self.desks.iter().chain(&self.engines).for_each(|server| server.mend(host));
    }

    pub(crate) async fn send(&self, host: usize, request: &CallerRequest) -> CallerResponse {
        request.send(self.callers[host]).await.expect("a response from the daemon")
    }

    pub(crate) fn callers(&self, host: usize) -> SocketAddr {
        self.callers[host]
    }

    /// Number of runs of a request at all servers.
    pub(crate) fn runs(&self, id: &str) -> usize {
        let servers = self.desks.iter().chain(&self.engines);
        let seen = servers.flat_map(|server| server.stand.seen());
        seen.filter(|request| request.id() == id).count()
    }

    pub(crate) fn set_mode(&self, mode: ServerMode) {
        self.desks.iter().chain(&self.engines).for_each(|server| server.stand.set_mode(mode));
    }

    /// Sends a request to a host in the background, and returns once a server has begun to run it.
    pub(crate) async fn begin(
        &self,
        host: usize,
        request: CallerRequest,
    ) -> JoinHandle<CallerResponse> {
        let id = request.id.clone();
        let callers = self.callers(host);
        let task = tokio::spawn(async move { request.send(callers).await.expect("a response") });
        wait_until("a server runs the request", || self.runs(&id) == 1).await;
        task
    }

    /// Cuts a host off and sends requests to it until it has detected that.
    pub(crate) async fn cut_off(&self, host: usize, cut: LinkCut) {
        self.cut_all(host, cut).await;
        for route in ROUTES {
            self.send(host, &route.request(&format!("learn-{host}-{}", route.path))).await;
        }
        sleep(LEARNING_TIME).await;
    }

    pub(crate) fn events(&self, host: usize, name: &str) -> Vec<Value> {
        self.daemons[host].events(name)
    }

    /// Hosts to which requests with this id were forwarded.
    pub(crate) fn helpers_of(&self, host: usize, id: &str) -> Vec<String> {
        let forwarded = self.events(host, "request_forwarded");
        let of_request = forwarded.iter().filter(|line| line["id"] == id);
        of_request.map(|line| line["helper"].as_str().unwrap_or_default().to_owned()).collect()
    }

    /// The first host to which a request with this id was forwarded.
    pub(crate) async fn helper_of(&self, host: usize, id: &str) -> usize {
        wait_until("the helper is logged", || !self.helpers_of(host, id).is_empty()).await;
        let helper = self.helpers_of(host, id).remove(0);
        (0..HOSTS).find(|host| self.name(*host) == helper).expect("a host of the fleet")
    }

    pub(crate) fn name(&self, host: usize) -> String {
        self.events(host, "process_started")[0]["host"].as_str().unwrap_or_default().to_owned()
    }

    pub(crate) fn all_servers(&self) -> impl Iterator<Item = &FakeServer> {
        self.desks.iter().chain(&self.engines).map(|server: &LinkedServer| &server.stand)
    }
}

impl LinkedServer {
    /// Starts a server and lists it with this software version.
    pub(crate) async fn start(
        store: &FakeStore,
        name: &str,
        service: &str,
        version: &str,
    ) -> LinkedServer {
        let stand = FakeServer::start(name, ServerMode::Echo).await.expect("start a server");
        let mut proxies: Vec<LoopbackProxy> = Vec::new();
        for host in 0..HOSTS {
            let port = proxies.first().map_or(0, |first| first.address.port());
            let address = SocketAddr::from((host_address(host), port));
            let target = Some(stand.address);
            let proxy = LoopbackProxy::start_on(address, target, HostLink::default()).await;
            proxies.push(proxy.expect("start a proxy"));
        }
        let address = proxies[0].address;
        store.put_server_of(name, service, address, "ready", &json!(version));
        LinkedServer { stand, proxies }
    }

    /// Writes the server's entry with this state and software version.
    pub(crate) fn list(&self, store: &FakeStore, service: &str, state: &str, version: &str) {
        let address = self.proxies[0].address;
        store.put_server_of(&self.stand.name, service, address, state, &json!(version));
    }

    /// Cuts a host's link to this server.
    pub(crate) fn set_cut(&self, host: usize, cut: LinkCut) {
        LinkCut::apply(Some(cut), &self.proxies[host]);
    }

    /// The server gives notice in the store that it leaves.
    pub(crate) fn leave(&self, store: &FakeStore, service: &str) {
        store.put_server(&self.stand.name, service, self.proxies[0].address, "draining");
    }

    /// Mends a host's link to this server.
    pub(crate) fn mend(&self, host: usize) {
        LinkCut::apply(None, &self.proxies[host]);
    }
}

/// The configuration of a cut fleet: requests do not time out on a busy machine.
pub(crate) fn patient_config(timeout_ms: u64) -> ConfigText {
    let mut config = initial_config();
    config.routes.iter_mut().for_each(|route| route["timeoutMs"] = json!(timeout_ms));
    config
}

/// The address at which a host finds the servers.
fn host_address(host: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, 1 + host as u8)
}

async fn start_servers(store: &FakeStore, service: &str, versions: &[&str]) -> Vec<LinkedServer> {
    let mut servers = Vec::new();
    for (number, version) in (1..).zip(versions) {
        let name = format!("{service}-{number}");
        servers.push(LinkedServer::start(store, &name, service, version).await);
    }
    servers
}
