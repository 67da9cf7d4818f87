//! The client of the platform's log.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use awc::Client;
use fulmargate_names::LogOffset;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use tokio::time::sleep;
use uuid::Uuid;

use crate::AppendFate;
use crate::Landing;
use crate::LogError;
use crate::LogPage;
use crate::LogState;
use crate::PausePlan;
use crate::health_cell::HealthCell;
use crate::http_call::http_client;
use crate::http_call::json_call;
use crate::http_call::within;

/// Records a read asks for when it looks for a lost append.
const SETTLE_PAGE: usize = 1_000;

/// How long the client waits for the log.
#[derive(Clone, Copy, Debug)]
pub struct LogTimeouts {
    /// For a connection.
    pub connect: Duration,
    /// For the whole of a call, beside the time that a read asks the log to wait.
    pub call: Duration,
    /// The pause after a first failure; later pauses double.
    pub shortest_pause: Duration,
    /// No pause is longer.
    pub longest_pause: Duration,
}

impl Default for LogTimeouts {
    fn default() -> LogTimeouts {
        LogTimeouts {
            connect: Duration::from_millis(500),
            call: Duration::from_secs(2),
            shortest_pause: Duration::from_millis(20),
            longest_pause: Duration::from_secs(1),
        }
    }
}

impl LogTimeouts {
    /// The pauses between tries, drawn by chance.
    pub fn pauses(&self) -> PausePlan {
        let (seed, _) = Uuid::new_v4().as_u64_pair();
        PausePlan::new(self.shortest_pause, self.longest_pause, seed)
    }
}

/// The client of the platform's log. Clones share their connections and what they know of the log's state.
#[derive(Clone)]
pub struct LogClient {
    client: Client,
    base: Arc<str>,
    timeouts: LogTimeouts,
    health: Rc<HealthCell>,
}

#[derive(Serialize)]
struct AppendBody<'a> {
    id: &'a str,
    data: &'a str,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offset: LogOffset,
}

impl LogClient {
    /// A client of the log at `address`, as `10.0.0.1:7000`.
    pub fn new(address: &str, timeouts: LogTimeouts) -> LogClient {
        LogClient {
            client: http_client(timeouts.connect),
            base: Arc::from(format!("http://{address}/v1/streams")),
            timeouts,
            health: Rc::new(HealthCell::new()),
        }
    }

    /// Whether the log can be reached, as the last call found it.
    pub fn state(&self) -> LogState {
        self.health.state()
    }

    /// How long the client waits for the log.
    pub fn timeouts(&self) -> &LogTimeouts {
        &self.timeouts
    }

    /// Tries once to append a record; `LogError::landing` tells what a failure says of it.
    pub async fn append(&self, stream: &str, id: &str, data: &str) -> Result<LogOffset, LogError> {
        let request = self.client.post(format!("{}/{stream}/records", self.base));
        let call = json_call::<AppendAnswer>(request.send_json(&AppendBody { id, data }));
        let result = within(self.timeouts.call, call).await;
        self.health.observe(result.as_ref().err().copied());
        result.map(|answer| answer.offset)
    }

    /// Reads up to `max` records from `from` on; waits up to `wait` if there are none.
    pub async fn read(
        &self,
        stream: &str,
        from: LogOffset,
        max: usize,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        let wait_ms = wait.as_millis();
        let url = format!("{}/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}", self.base);
        let call = json_call::<LogPage>(self.client.get(url).send());
        let result = within(self.timeouts.call + wait, call).await;
        self.health.observe(result.as_ref().err().copied());
        result
    }

    /// Appends a record with as many tries as fit before `deadline`. `known` is an offset that the record cannot be below,
    /// such as the end of the stream that the caller has read before.
    ///
    /// An answer can be lost after the record landed, so each lost answer is settled by reading back by `id` before the next
    /// try. A record that comes late out of a slow connection may still land after the reading, and so twice: readers must
    /// take equal ids for one record.
    pub async fn append_settled(
        &self,
        stream: &str,
        id: &str,
        data: &str,
        known: LogOffset,
        deadline: Instant,
    ) -> AppendFate {
        let mut pauses = self.timeouts.pauses();
        let mut doubt = None;
        loop {
            let error = match self.append(stream, id, data).await {
                Ok(offset) => return AppendFate::Landed(offset),
                Err(error) => error,
            };
            if error.landing() == Landing::Maybe {
                doubt = Some(error);
            }
            if doubt.is_some()
                && let Ok(Some(offset)) = self.find(stream, id, known).await
            {
                return AppendFate::Landed(offset);
            }
            let pause = pauses.next_pause();
            if deadline < Instant::now() + pause {
                return doubt.map_or(AppendFate::NotLanded(error), AppendFate::Unknown);
            }
            sleep(pause).await;
        }
    }

    /// Looks for the record `id` at `from` or after it; `None` if the stream's end was reached without it.
    pub async fn find(
        &self,
        stream: &str,
        id: &str,
        from: LogOffset,
    ) -> Result<Option<LogOffset>, LogError> {
        let mut from = from;
        loop {
            let page = self.read(stream, from, SETTLE_PAGE, Duration::ZERO).await?;
            if let Some(record) = page.records.iter().find(|record| record.id == id) {
                return Ok(Some(record.offset));
            }
            if page.records.is_empty() {
                return Ok(None);
            }
            from = page.next;
        }
    }
}
