//! The platform's list of hosts, which lags.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::Data;
use actix_web::web::Json;
use actix_web::web::ServiceConfig;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::interval;

use crate::FaultDesk;
use crate::StandServer;

const HOSTS_PATH: &str = "/v1/hosts";
/// How often the platform looks at the backend servers.
const LOOK_EVERY: Duration = Duration::from_millis(500);
const LOOK_TIMEOUT: Duration = Duration::from_millis(300);

/// What runs on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedKind {
    /// A router.
    Entry,
    /// A backend server.
    Server,
}

/// What the platform thinks of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// In use.
    Live,
    /// About to go.
    Leaving,
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedHost {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// What runs there.
    pub kind: ListedKind,
    /// Where it listens: `HOST:PORT`.
    pub address: String,
    /// What the platform thinks of it.
    pub state: ListedState,
    /// Of the process that the platform last saw there; 0 before it saw one.
    #[serde(default)]
    pub incarnation: u64,
}

/// Everything the host list is told at its start.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostListSettings {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// How old the list is that it shows.
    #[serde(default = "default_lag_ms")]
    pub lag_ms: u64,
    /// The hosts at the start.
    pub hosts: Vec<ListedHost>,
}

fn default_lag_ms() -> u64 {
    2_000
}

/// The list now, and what is shown of it: the list as it stood `lag` ago.
struct LaggingList {
    now: IndexMap<String, ListedHost>,
    shown: Vec<ListedHost>,
    coming: VecDeque<(Instant, Vec<ListedHost>)>,
    lag: Duration,
}

type ListDesk = Arc<Mutex<LaggingList>>;

impl LaggingList {
    fn put(&mut self, host: ListedHost) {
        if self.now.get(&host.name) == Some(&host) {
            return;
        }
        self.now.insert(host.name.clone(), host);
        let list = self.now.values().cloned().collect();
        self.coming.push_back((Instant::now() + self.lag, list));
    }

    fn remove(&mut self, name: &str) {
        if self.now.shift_remove(name).is_some() {
            let list = self.now.values().cloned().collect();
            self.coming.push_back((Instant::now() + self.lag, list));
        }
    }

    fn shown(&mut self) -> &[ListedHost] {
        while let Some((at, _)) = self.coming.front()
            && *at <= Instant::now()
            && let Some((_, list)) = self.coming.pop_front()
        {
            self.shown = list;
        }
        &self.shown
    }
}

fn lock(desk: &ListDesk) -> MutexGuard<'_, LaggingList> {
    desk.lock().expect("no holder of this lock panics")
}

/// A host list that has its port and is ready to serve.
pub fn host_list_server(settings: HostListSettings) -> io::Result<StandServer> {
    let list = LaggingList {
        now: settings.hosts.iter().map(|host| (host.name.clone(), host.clone())).collect(),
        shown: settings.hosts,
        coming: VecDeque::new(),
        lag: Duration::from_millis(settings.lag_ms),
    };
    let desk: ListDesk = Arc::new(Mutex::new(list));
    let setup = move |config: &mut ServiceConfig| {
        let looking = Arc::clone(&desk);
        actix_rt::spawn(async move { look_forever(&looking).await });
        config
            .app_data(Data::new(Arc::clone(&desk)))
            .route(HOSTS_PATH, web::get().to(show))
            .route(HOSTS_PATH, web::post().to(put))
            .route("/v1/hosts/{name}", web::delete().to(remove));
    };
    StandServer::bind(settings.listen, FaultDesk::default(), Arc::new(setup))
}

async fn show(desk: Data<ListDesk>) -> HttpResponse {
    let mut list = lock(&desk);
    let lag_ms = list.lag.as_millis() as u64;
    HttpResponse::Ok().json(json!({ "as_of_ms_ago": lag_ms, "hosts": list.shown() }))
}

/// Stand-in only: a host that has come or changed.
async fn put(desk: Data<ListDesk>, host: Json<ListedHost>) -> HttpResponse {
    lock(&desk).put(host.into_inner());
    HttpResponse::NoContent().finish()
}

/// Stand-in only: a host that is gone.
async fn remove(desk: Data<ListDesk>, name: web::Path<String>) -> HttpResponse {
    lock(&desk).remove(&name);
    HttpResponse::NoContent().finish()
}

/// What the platform sees of a backend server.
#[derive(Deserialize)]
struct SeenState {
    incarnation: u64,
    leaving: bool,
}

/// Looks at the backend servers from time to time. One that does not answer stays as it was.
async fn look_forever(desk: &ListDesk) {
    let client = awc::Client::default();
    let mut ticks = interval(LOOK_EVERY);
    loop {
        ticks.tick().await;
        let hosts: Vec<ListedHost> = lock(desk).now.values().cloned().collect();
        for host in hosts.into_iter().filter(|host| host.kind == ListedKind::Server) {
            if let Some(seen) = look(&client, &host.address).await {
                let state = if seen.leaving { ListedState::Leaving } else { ListedState::Live };
                lock(desk).put(ListedHost { state, incarnation: seen.incarnation, ..host });
            }
        }
    }
}

async fn look(client: &awc::Client, address: &str) -> Option<SeenState> {
    let url = format!("http://{address}/control/state");
    client.get(url).timeout(LOOK_TIMEOUT).send().await.ok()?.json().await.ok()
}
