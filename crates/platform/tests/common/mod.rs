//! A log and a host list on loopback whose answers follow a script.

use std::sync::Arc;
use std::sync::Mutex;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::web;
use fulmargate_names::LogOffset;
use fulmargate_platform::LogPage;
use fulmargate_platform::LogRecord;
use serde::Deserialize;

/// How the log meets one append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Takes it and says so.
    Take,
    /// Takes it and says nothing in time.
    TakeThenHang,
    /// Takes it and closes the connection after a part of the answer.
    TakeThenCut,
    /// Says nothing in time and doesn't take it.
    Hang,
    /// Says that it is out.
    Out,
    /// Says that its rate is exceeded.
    Throttle,
    /// Answers with what is not in the protocol.
    Garble,
}

/// What the log holds and how it goes on.
#[derive(Default)]
pub(crate) struct LogScript {
    pub(crate) steps: Vec<Step>,
    pub(crate) records: Vec<LogRecord>,
    pub(crate) first: u64,
    pub(crate) appends: usize,
    pub(crate) reads: usize,
}

pub(crate) type Shared = Arc<Mutex<LogScript>>;

#[derive(Deserialize)]
struct AppendBody {
    id: String,
    data: String,
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    max: usize,
}

fn take(script: &mut LogScript, body: &AppendBody) -> u64 {
    let offset = script.first + script.records.len() as u64;
    let record = LogRecord {
        offset: LogOffset(offset),
        time_ms: 1_000 + offset,
        id: body.id.clone(),
        data: body.data.clone(),
    };
    script.records.push(record);
    offset
}

async fn append(shared: web::Data<Shared>, body: web::Json<AppendBody>) -> HttpResponse {
    let (step, offset) = {
        let mut script = shared.lock().unwrap();
        script.appends += 1;
        let step = if script.steps.is_empty() { Step::Take } else { script.steps.remove(0) };
        let takes = matches!(step, Step::Take | Step::TakeThenHang | Step::TakeThenCut);
        (step, if takes { take(&mut script, &body) } else { 0 })
    };
    match step {
        Step::Take => HttpResponse::Ok().json(serde_json::json!({ "offset": offset })),
        Step::TakeThenHang | Step::Hang => std::future::pending().await,
        Step::TakeThenCut => HttpResponse::Ok().streaming(futures_util::stream::iter([
            Ok(web::Bytes::from_static(b"{\"off")),
            Err(std::io::Error::other("cut")),
        ])),
        Step::Out => HttpResponse::ServiceUnavailable().finish(),
        Step::Throttle => HttpResponse::TooManyRequests().finish(),
        Step::Garble => HttpResponse::Ok().body("offset 5"),
    }
}

async fn read(shared: web::Data<Shared>, query: web::Query<ReadQuery>) -> HttpResponse {
    let mut script = shared.lock().unwrap();
    script.reads += 1;
    let records: Vec<LogRecord> = script
        .records
        .iter()
        .filter(|record| query.from <= record.offset.0)
        .take(query.max)
        .cloned()
        .collect();
    let next = records
        .last()
        .map_or(script.first + script.records.len() as u64, |record| record.offset.0 + 1);
    HttpResponse::Ok().json(LogPage {
        first: LogOffset(script.first),
        next: LogOffset(next),
        records,
    })
}

async fn hosts() -> HttpResponse {
    HttpResponse::Ok().content_type("application/json").body(
        r#"{"as_of_ms_ago":40,"hosts":[
            {"name":"mn-1","zone":"milano-nord","kind":"entry","address":"10.0.0.1:7000","state":"live","incarnation":7},
            {"name":"gpu-1","zone":"pavia-sud","kind":"server","address":"10.0.0.2:8000","state":"leaving","incarnation":9}]}"#,
    )
}

/// Starts the log on a free port.
pub(crate) fn start(shared: &Shared) -> (String, ServerHandle) {
    let data = web::Data::new(Arc::clone(shared));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .route("/v1/streams/{stream}/records", web::post().to(append))
            .route("/v1/streams/{stream}/records", web::get().to(read))
            .route("/v1/hosts", web::get().to(hosts))
    })
    .workers(1)
    .shutdown_timeout(0)
    .disable_signals()
    .bind(("127.0.0.1", 0))
    .unwrap();
    let address = server.addrs()[0].to_string();
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    (address, handle)
}
