//! A small log on loopback, for this crate's tests and examples. The stand-in log is not used here: its crate runs routers, and
//! so rests on this one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use fulmargate_names::LogOffset;
use fulmargate_platform::LogPage;
use fulmargate_platform::LogRecord;
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

struct LoopbackLog {
    streams: Mutex<BTreeMap<String, Vec<LogRecord>>>,
    news: watch::Sender<u64>,
    /// Every so many appends the answer is lost; 0 for none.
    lose_every: u64,
}

#[derive(Deserialize)]
struct AppendBody {
    id: String,
    data: String,
}

#[derive(Deserialize)]
struct ReadQuery {
    from: usize,
    max: usize,
    wait_ms: u64,
}

impl LoopbackLog {
    fn page(&self, stream: &str, query: &ReadQuery) -> LogPage {
        let streams = self.streams.lock().expect("no holder panics");
        let kept = streams.get(stream).map_or(&[][..], Vec::as_slice);
        let records: Vec<LogRecord> =
            kept.iter().skip(query.from).take(query.max).cloned().collect();
        let next = LogOffset((query.from + records.len()) as u64);
        LogPage { first: LogOffset(0), next, records }
    }
}

async fn append(
    log: web::Data<LoopbackLog>,
    stream: web::Path<String>,
    body: web::Json<AppendBody>,
) -> HttpResponse {
    let AppendBody { id, data } = body.into_inner();
    let offset = {
        let mut streams = log.streams.lock().expect("no holder panics");
        let records = streams.entry(stream.into_inner()).or_default();
        let offset = LogOffset(records.len() as u64);
        records.push(LogRecord { offset, time_ms: 1_700_000_000_000 + offset.0, id, data });
        offset
    };
    log.news.send_modify(|count| *count += 1);
    if log.lose_every != 0 && (*log.news.borrow()).is_multiple_of(log.lose_every) {
        return std::future::pending().await;
    }
    HttpResponse::Ok().json(serde_json::json!({ "offset": offset }))
}

async fn read(
    log: web::Data<LoopbackLog>,
    stream: web::Path<String>,
    query: web::Query<ReadQuery>,
) -> HttpResponse {
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    let mut news = log.news.subscribe();
    loop {
        let page = log.page(&stream, &query);
        if !page.records.is_empty() || timeout_at(until, news.changed()).await.is_err() {
            return HttpResponse::Ok().json(page);
        }
    }
}

/// Starts the log on a free port, and tells its address.
pub(crate) fn start_log(lose_every: u64) -> String {
    let log = web::Data::from(Arc::new(LoopbackLog {
        streams: Mutex::default(),
        news: watch::Sender::new(0),
        lose_every,
    }));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(log.clone())
            .app_data(web::JsonConfig::default().limit(1 << 20))
            .route("/v1/streams/{stream}/records", web::post().to(append))
            .route("/v1/streams/{stream}/records", web::get().to(read))
    })
    .workers(1)
    .disable_signals()
    .bind(("127.0.0.1", 0))
    .expect("a port is free");
    let address = server.addrs()[0].to_string();
    actix_rt::spawn(server.run());
    address
}
