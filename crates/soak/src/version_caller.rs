//! Callers that take up their streams at other routers.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ECHO_EVENTS;
use fulmargate_consortium_stand::JoinedStream;
use fulmargate_consortium_stand::open_stream;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::soak_world::SHARED_KEY;
use crate::soak_world::SoakWorld;
use crate::soak_world::lock;

/// Pause between two streams of a caller.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Pause before a caller takes up its stream.
const TAKE_UP_MS: std::ops::Range<u64> = 0..150;
/// How long a caller waits by its header.
const PATIENCE: Duration = Duration::from_millis(2_000);
/// And for this much longer before it takes the connection for dead.
const ALLOWANCE: Duration = Duration::from_millis(1_000);
/// Share of the tries that the caller breaks off after some events.
const LEAVE_SHARE: f64 = 0.4;
/// Tries of a stream.
const MAX_TRIES: usize = 4;

/// One try of a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamTry {
    pub(crate) router: usize,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    /// Status of the response; none if the connection failed before.
    pub(crate) status: Option<u16>,
    /// Whether it brought an event.
    pub(crate) has_events: bool,
}

/// A stream over all tries.
#[derive(Clone, Debug)]
pub(crate) struct StreamRecord {
    pub(crate) id: String,
    pub(crate) joined: JoinedStream,
    pub(crate) tries: Vec<StreamTry>,
}

/// All streams of a run.
pub(crate) type SharedStreams = Arc<Mutex<Vec<StreamRecord>>>;

/// One caller, which goes to any router.
pub(crate) struct VersionCaller {
    pub(crate) world: Arc<SoakWorld>,
    pub(crate) streams: SharedStreams,
    pub(crate) number: usize,
    pub(crate) seed: u64,
}

impl VersionCaller {
    /// Begins streams until it is told to stop.
    pub(crate) async fn run(self, stop: watch::Receiver<bool>) {
        let mut rng = StdRng::seed_from_u64(!self.seed ^ ((self.number as u64 + 1) << 32));
        let mut turn = 0;
        while !*stop.borrow() {
            sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
            turn += 1;
            let id = format!("v{}-{turn}", self.number);
            let joined = JoinedStream::default();
            let mut record = StreamRecord { id, joined, tries: Vec::new() };
            while record.tries.len() < MAX_TRIES && record.joined.last_event() < ECHO_EVENTS {
                if !record.tries.is_empty() {
                    sleep(Duration::from_millis(rng.random_range(TAKE_UP_MS))).await;
                }
                self.try_stream(&mut record, &mut rng).await;
            }
            lock(&self.streams).push(record);
        }
    }

    /// Begins the stream, or takes it up by the name of the attempt that brought its first event.
    async fn try_stream(&self, record: &mut StreamRecord, rng: &mut StdRng) {
        let router = rng.random_range(0..self.world.routers.len());
        let events = match rng.random_bool(LEAVE_SHARE) {
            true => rng.random_range(1..ECHO_EVENTS as usize),
            false => ECHO_EVENTS as usize,
        };
        let request = self.request(record);
        let address = self.world.routers[router].callers.address;
        let sent = Instant::now();
        let before = record.joined.events.len();
        let mut status = None;
        let exchange = async {
            let Ok(mut response) = open_stream(&request, address).await else { return };
            status = Some(response.status());
            if response.status() == 200 {
                // What arrived counts, also if the caller gives up waiting for more.
                let _in_time = timeout(PATIENCE, response.read_events(events)).await;
                record.joined.add(response.body());
            }
        };
        // A connection that fell silent is a try without a status.
        let _in_time = timeout(PATIENCE + ALLOWANCE, exchange).await;
        let has_events = before < record.joined.events.len();
        let ended = Instant::now();
        record.tries.push(StreamTry { router, sent, ended, status, has_events });
    }

    fn request(&self, record: &StreamRecord) -> CallerRequest {
        let first = record.id.as_str();
        let number = record.tries.len();
        let mut request = match record.joined.events.first() {
            None => CallerRequest::prompt("/chat/x", &format!("{first}.{number}")),
            Some(_) => {
                let begun = record.tries.iter().position(|attempt| attempt.has_events);
                let named = format!("{first}.{}", begun.unwrap_or_default());
                CallerRequest::prompt("/chat/x", &format!("{first}.{number}"))
                    .taking_up(record.joined.last_event(), Some(&named))
            }
        };
        request.patience_ms = PATIENCE.as_millis() as u64;
        request.key = Some(SHARED_KEY);
        request
    }
}
