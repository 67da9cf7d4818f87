//! The log's paths and settings.

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
use actix_web::web::Path;
use actix_web::web::Query;
use actix_web::web::ServiceConfig;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use super::log_store::LogStore;
use super::log_store::RecordPage;
use crate::FaultDesk;
use crate::StandServer;
use crate::clock;
use crate::server_answer::lost_answer;

const RECORDS_PATH: &str = "/v1/streams/{stream}/records";
const DEFAULT_RECORDS: usize = 1_000;
const MAX_WAIT_MS: u64 = 60_000;

/// Everything the log is told at its start.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// How long records are kept.
    #[serde(default = "default_retention_ms")]
    pub retention_ms: u64,
    /// Appends a second, over all streams.
    #[serde(default = "default_appends_per_s")]
    pub appends_per_s: f64,
    /// How long an append takes.
    #[serde(default = "default_append_ms")]
    pub append_ms: f64,
}

fn default_retention_ms() -> u64 {
    3_600_000
}

fn default_appends_per_s() -> f64 {
    400.0
}

fn default_append_ms() -> f64 {
    2.0
}

struct LogDesk {
    settings: Arc<LogSettings>,
    faults: FaultDesk,
    store: Mutex<LogStore>,
    appended: watch::Sender<()>,
}

impl LogDesk {
    fn lock(&self) -> MutexGuard<'_, LogStore> {
        self.store.lock().expect("no holder of this lock panics")
    }
}

/// A log that has its port and is ready to serve. What it holds outlives its simulated crashes.
pub fn log_server(settings: LogSettings) -> io::Result<StandServer> {
    let listen = settings.listen;
    let faults = FaultDesk::default();
    let store = LogStore::new(settings.retention_ms, settings.appends_per_s);
    let desk = Data::new(LogDesk {
        settings: Arc::new(settings),
        faults: faults.clone(),
        store: Mutex::new(store),
        appended: watch::Sender::new(()),
    });
    let setup = move |config: &mut ServiceConfig| {
        config
            .app_data(desk.clone())
            .route(RECORDS_PATH, web::post().to(append))
            .route(RECORDS_PATH, web::get().to(read));
    };
    StandServer::bind(listen, faults, Arc::new(setup))
}

#[derive(Deserialize)]
struct AppendBody {
    id: String,
    data: String,
}

async fn append(desk: Data<LogDesk>, stream: Path<String>, body: Json<AppendBody>) -> HttpResponse {
    let ms = desk.faults.paced_ms(desk.settings.append_ms);
    sleep(Duration::from_secs_f64(ms / 1_000.0)).await;
    desk.faults.thawed().await;
    if desk.faults.is_out() {
        return HttpResponse::ServiceUnavailable().body("out");
    }
    let AppendBody { id, data } = body.into_inner();
    let appended = desk.lock().append(clock::unix_ms(), &stream, id, data);
    let Ok(offset) = appended else {
        return HttpResponse::TooManyRequests().body("over the rate");
    };
    desk.appended.send_replace(());
    if desk.faults.loses_answer() {
        return lost_answer();
    }
    HttpResponse::Ok().json(json!({ "offset": offset }))
}

#[derive(Deserialize)]
struct ReadQuery {
    #[serde(default)]
    from: u64,
    max: Option<usize>,
    #[serde(default)]
    wait_ms: u64,
}

async fn read(desk: Data<LogDesk>, stream: Path<String>, query: Query<ReadQuery>) -> HttpResponse {
    let until = Instant::now() + Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
    let mut appended = desk.appended.subscribe();
    let page = loop {
        let page = read_once(&desk, &stream, &query);
        let is_gap = query.from < page.first;
        if !page.records.is_empty() || is_gap {
            break page;
        }
        if timeout_at(until, appended.changed()).await.is_err() {
            break page;
        }
    };
    desk.faults.thawed().await;
    if desk.faults.is_out() {
        return HttpResponse::ServiceUnavailable().body("out");
    }
    HttpResponse::Ok().json(page)
}

fn read_once(desk: &LogDesk, stream: &str, query: &ReadQuery) -> RecordPage {
    let max = query.max.unwrap_or(DEFAULT_RECORDS);
    desk.lock().read(clock::unix_ms(), stream, query.from, max)
}
