//! Clients that do not keep to the protocol, and the memory that routers take beside them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmargate_consortium_stand::ClientCrowd;
use fulmargate_consortium_stand::body_head;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::soak_world::SHARED_KEY;
use crate::soak_world::SoakWorld;

/// Memory of a router beside such clients.
pub(crate) const ROUTER_MEMORY_MB: u64 = 64;
/// How long a crowd stays.
const STAY_MS: std::ops::Range<u64> = 300..2_500;
/// Pause between two crowds.
const PAUSE_MS: std::ops::Range<u64> = 20..400;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug)]
enum ClientHabit {
    /// They send nothing.
    Idle,
    /// They send a head without an end.
    UnfinishedHead,
    /// They send a body in chunks of one byte, without an end.
    SmallChunks,
    /// They send a body of which the last byte is missing.
    UnfinishedBody,
    /// They send many requests and read no answer.
    SentAhead,
    /// They send what is no request.
    Malformed,
}

const HABITS: [ClientHabit; 6] = [
    ClientHabit::Idle,
    ClientHabit::UnfinishedHead,
    ClientHabit::SmallChunks,
    ClientHabit::UnfinishedBody,
    ClientHabit::SentAhead,
    ClientHabit::Malformed,
];

impl ClientHabit {
    fn connections(self) -> usize {
        match self {
            ClientHabit::Idle => 800,
            ClientHabit::UnfinishedHead => 1_200,
            ClientHabit::SmallChunks => 100,
            ClientHabit::UnfinishedBody => 700,
            ClientHabit::SentAhead | ClientHabit::Malformed => 100,
        }
    }

    fn bytes(self) -> Bytes {
        Bytes::from(match self {
            ClientHabit::Idle => String::new(),
            ClientHabit::UnfinishedHead => {
                format!("GET /look/x HTTP/1.1\r\nX: {}", "x".repeat(14_000))
            }
            ClientHabit::SmallChunks => {
                head(SERVED, "Transfer-Encoding: chunked") + &"1\r\nx\r\n".repeat(30_000)
            }
            ClientHabit::UnfinishedBody => {
                head(SERVED, "Content-Length: 60000") + &"x".repeat(59_999)
            }
            ClientHabit::SentAhead => head(UNKNOWN, "Content-Length: 0").repeat(500),
            ClientHabit::Malformed => {
                head(SERVED, "Transfer-Encoding: chunked") + "zz\r\n" + &"x".repeat(90_000)
            }
        })
    }
}

/// Path of requests that never arrive whole.
const SERVED: &str = "/look/rough";
/// Path of those that do, which no server runs: what runs is judged by callers' records.
const UNKNOWN: &str = "/none/rough";

/// Deadline of the requests, longer than their crowd stays.
const DEADLINE_MS: u64 = 5_000;

fn head(path: &str, framing: &str) -> String {
    body_head(path, SHARED_KEY, DEADLINE_MS, framing)
}

/// Opens crowds at random routers until it is dropped.
pub(crate) async fn play_rough_clients(world: Arc<SoakWorld>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ ROUGH_DRAWS);
    loop {
        let router = rng.random_range(0..world.routers.len());
        let habit = HABITS[rng.random_range(0..HABITS.len())];
        let stay = Duration::from_millis(rng.random_range(STAY_MS));
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        if let Some(process) = world.routers[router].process() {
            let crowd = ClientCrowd::open(process.callers, habit.connections(), &habit.bytes());
            sleep(stay).await;
            drop(crowd);
        }
        sleep(pause).await;
    }
}

/// Draws of their own, so that the other faults of a seed stay the same.
const ROUGH_DRAWS: u64 = 0x726f_7567_6863_6c69;

/// A router that took more memory than it may.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemoryExcess {
    pub(crate) router: usize,
    pub(crate) megabytes: u64,
    pub(crate) at: Instant,
}

/// Watches the resident memory of all routers until it is dropped.
pub(crate) async fn watch_memory(world: Arc<SoakWorld>) {
    loop {
        for (number, router) in world.routers.iter().enumerate() {
            let megabytes = router.process().map_or(0, |process| process.resident_mb());
            if ROUTER_MEMORY_MB <= megabytes {
                let at = Instant::now();
                world.record_excess(MemoryExcess { router: number, megabytes, at });
            }
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}
