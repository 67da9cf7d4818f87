//! The KV store's stand-in: computed blocks of all engines.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::Data;
use actix_web::web::Json;
use actix_web::web::Query;
use actix_web::web::ServiceConfig;
use serde::Deserialize;
use serde::Serialize;

use crate::FaultDesk;
use crate::StandServer;
use crate::block_cache::BlockCache;
use crate::kv_run::KvQuery;
use crate::kv_run::KvRun;

const BLOCKS_PATH: &str = "/v1/blocks";

/// Everything the KV store is told at its start.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KvSettings {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Blocks that it holds.
    #[serde(default = "default_blocks")]
    pub blocks: usize,
}

fn default_blocks() -> usize {
    200_000
}

struct KvDesk {
    cache: Mutex<BlockCache>,
}

impl KvDesk {
    fn lock(&self) -> MutexGuard<'_, BlockCache> {
        self.cache.lock().expect("no holder of this lock panics")
    }
}

/// A KV store that has its port and is ready to serve. It is empty after a simulated crash.
pub fn kv_server(settings: KvSettings) -> io::Result<StandServer> {
    let listen = settings.listen;
    let setup = move |config: &mut ServiceConfig| {
        let cache = Mutex::new(BlockCache::new(settings.blocks));
        config
            .app_data(Data::new(KvDesk { cache }))
            .route(BLOCKS_PATH, web::put().to(put))
            .route(BLOCKS_PATH, web::get().to(get));
    };
    StandServer::bind(listen, FaultDesk::default(), Arc::new(setup))
}

async fn put(desk: Data<KvDesk>, runs: Json<Vec<KvRun>>) -> HttpResponse {
    for run in runs.iter() {
        desk.lock().insert(&run.scope, run.weights, &run.chain());
    }
    HttpResponse::NoContent().finish()
}

async fn get(desk: Data<KvDesk>, query: Query<KvQuery>) -> HttpResponse {
    let mut cache = desk.lock();
    let chain = cache.export(&query.scope, query.weights, &query.chain());
    cache.touch(&chain);
    HttpResponse::Ok().json(KvRun::new(&Arc::from(&*query.scope), query.weights, &chain))
}
