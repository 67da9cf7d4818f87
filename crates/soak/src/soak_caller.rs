//! Callers that send on and on.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use fulmargate_consortium_stand::CallerChannel;
use fulmargate_consortium_stand::CallerRequest;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::request_record::RequestEnd;
use crate::request_record::RequestKind;
use crate::request_record::RequestRecord;
use crate::soak_world::ISOLATED_KEY;
use crate::soak_world::SHARED_KEY;
use crate::soak_world::SoakWorld;
use crate::soak_world::TAKEN_KEY;
use crate::soak_world::lock;

/// Pause between two requests of a caller.
const PAUSE_MS: std::ops::Range<u64> = 10..60;
/// How long a caller waits by its header.
const PATIENCE_MS: std::ops::Range<u64> = 800..2_500;
/// And for this much longer before it takes the connection for dead.
const ALLOWANCE: Duration = Duration::from_millis(2_500);
/// Share of the requests that are prompts where series of weights are played, beside those that are drawn anyway.
const PROMPT_SHARE: f64 = 0.5;
/// Share of the requests that their caller leaves early.
const LEAVE_SHARE: f64 = 0.04;
/// A connection that cannot be opened is tried again after this time.
const OPEN_PAUSE: Duration = Duration::from_millis(50);

/// All records of a run.
pub(crate) type SharedRecords = Arc<Mutex<Vec<RequestRecord>>>;

/// Connections that a caller leaves open while one router takes all new ones.
const MAX_IDLE_CONNECTIONS: usize = 3;

/// One caller, bound to one router. It keeps its connection for as long as that is open, but where one router takes all
/// new connections.
pub(crate) struct SoakCaller {
    pub(crate) world: Arc<SoakWorld>,
    pub(crate) records: SharedRecords,
    pub(crate) router: usize,
    pub(crate) number: usize,
    pub(crate) seed: u64,
}

impl SoakCaller {
    /// Sends until it is told to stop.
    pub(crate) async fn run(self, stop: watch::Receiver<bool>) {
        let mut rng = StdRng::seed_from_u64(self.seed ^ ((self.number as u64 + 1) << 32));
        let mut channel = None;
        let mut idle = VecDeque::new();
        let mut turn = 0;
        while !*stop.borrow() {
            sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
            let kept = channel.take().filter(|channel: &CallerChannel| !channel.is_closed());
            let crowded = self.world.crowded();
            let router = crowded.unwrap_or(self.router);
            let address = self.world.routers[router].callers.address;
            let opened = match kept {
                Some(kept) if crowded.is_none() => Ok(kept),
                _ => CallerChannel::open(address).await,
            };
            let Ok(mut open) = opened else {
                sleep(OPEN_PAUSE).await;
                continue;
            };
            turn += 1;
            let (kind, request) = self.request(&mut rng, turn);
            let is_kept = self.exchange(&mut open, router, kind, &request, &mut rng).await;
            match crowded {
                Some(_) => idle.push_back(open),
                None if is_kept => channel = Some(open),
                None => {}
            }
            let max_idle = if crowded.is_some() { MAX_IDLE_CONNECTIONS } else { 0 };
            idle.drain(..idle.len().saturating_sub(max_idle));
        }
    }

    fn request(&self, rng: &mut StdRng, turn: usize) -> (RequestKind, CallerRequest) {
        let newest = self.world.word().routes.last().map(|(number, _)| *number);
        let kind = match (rng.random_range(0..6), newest) {
            _ if self.world.has_weights && rng.random_bool(PROMPT_SHARE) => RequestKind::Chat,
            (0 | 1, Some(number)) => RequestKind::NewRoute(number),
            (2, _) => RequestKind::Charge,
            // Streams of several versions have callers of their own.
            (3 | 4, _) if self.world.has_versions => RequestKind::Look,
            (3, _) => RequestKind::Chat,
            (4, _) => RequestKind::SingleChat,
            // Slow servers are given up for repeatable requests.
            _ if self.world.has_crowds && !turn.is_multiple_of(3) => RequestKind::Charge,
            _ => RequestKind::Look,
        };
        let path = match kind {
            RequestKind::Look => "/look/x".to_owned(),
            RequestKind::Charge => "/charge/x".to_owned(),
            RequestKind::Chat => "/chat/x".to_owned(),
            RequestKind::SingleChat => "/single/x".to_owned(),
            RequestKind::NewRoute(number) => format!("/new-{number}/x"),
        };
        let id = format!("r{}-c{}-{turn}", self.router, self.number);
        let mut request = match kind.is_stream() {
            true => CallerRequest::prompt(&path, &id),
            false => CallerRequest::new(&path, &id),
        };
        request.patience_ms = rng.random_range(PATIENCE_MS);
        request.key = Some(match rng.random_range(0..5) {
            0 => TAKEN_KEY,
            1 => ISOLATED_KEY,
            _ => SHARED_KEY,
        });
        (kind, request)
    }

    /// Sends and notes what came. Returns whether the connection may be used again.
    async fn exchange(
        &self,
        channel: &mut CallerChannel,
        router: usize,
        kind: RequestKind,
        request: &CallerRequest,
        rng: &mut StdRng,
    ) -> bool {
        let start = self.world.routers[router].start();
        let patience = Duration::from_millis(request.patience_ms);
        let longest = match rng.random_bool(LEAVE_SHARE) {
            true => Duration::from_millis(rng.random_range(1..100)),
            false => patience + ALLOWANCE,
        };
        let sent = Instant::now();
        let end = match timeout(longest, channel.send(request)).await {
            Ok(Ok(answer)) => RequestEnd::Answered(answer),
            Ok(Err(err)) => RequestEnd::Broken(err.to_string()),
            Err(_) => RequestEnd::Left,
        };
        let is_kept = matches!(&end, RequestEnd::Answered(answer) if answer.is_whole);
        let record = RequestRecord {
            id: request.id.clone(),
            kind,
            key: request.key.unwrap_or_default(),
            router,
            start,
            patience,
            sent,
            ended: Instant::now(),
            end,
        };
        lock(&self.records).push(record);
        is_kept
    }
}
