//! The weight store's stand-in: at most two loads run at full rate.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::Data;
use actix_web::web::Path;
use actix_web::web::ServiceConfig;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::interval;

use crate::FaultDesk;
use crate::StandServer;

/// Loads that do not slow one another.
const FULL_RATE_LOADS: f64 = 2.0;
const TICK_MS: f64 = 5.0;

/// Everything the weight store is told at its start.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightSettings {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// How long a load takes at full rate.
    pub load_ms: f64,
}

struct WeightDesk {
    load_ms: f64,
    loads: Cell<u32>,
    faults: FaultDesk,
}

/// One load, counted as long as it lasts; a caller that hangs up ends it.
struct RunningLoad<'a> {
    loads: &'a Cell<u32>,
}

impl<'a> RunningLoad<'a> {
    fn begin(loads: &'a Cell<u32>) -> RunningLoad<'a> {
        loads.set(loads.get() + 1);
        RunningLoad { loads }
    }

    /// The part of the full rate that each load gets now.
    fn rate(&self) -> f64 {
        (FULL_RATE_LOADS / f64::from(self.loads.get())).min(1.0)
    }
}

impl Drop for RunningLoad<'_> {
    fn drop(&mut self) {
        self.loads.set(self.loads.get() - 1);
    }
}

/// A weight store that has its port and is ready to serve.
pub fn weight_server(settings: WeightSettings) -> io::Result<StandServer> {
    let listen = settings.listen;
    let faults = FaultDesk::default();
    let desk_faults = faults.clone();
    let setup = move |config: &mut ServiceConfig| {
        let load_ms = settings.load_ms;
        let desk = WeightDesk { load_ms, loads: Cell::new(0), faults: desk_faults.clone() };
        config
            .app_data(Data::new(desk))
            .route("/v1/weights/{model}/{version}", web::get().to(load));
    };
    StandServer::bind(listen, faults, Arc::new(setup))
}

async fn load(desk: Data<WeightDesk>, path: Path<(String, u64)>) -> HttpResponse {
    let running = RunningLoad::begin(&desk.loads);
    let mut ticks = interval(Duration::from_secs_f64(TICK_MS / 1_000.0));
    ticks.tick().await;
    let mut left_ms = desk.faults.paced_ms(desk.load_ms);
    while 0.0 < left_ms {
        ticks.tick().await;
        left_ms -= TICK_MS * running.rate();
    }
    desk.faults.thawed().await;
    let (model, version) = path.into_inner();
    HttpResponse::Ok().body(format!("weights {model} {version}"))
}
