//! Reading a stream as it grows.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::EventKind;
use fulmargate_names::LogOffset;
use tokio::time::sleep;

use crate::LogClient;
use crate::LogError;
use crate::LogRecord;
use crate::PausePlan;

/// Records a read asks for.
const PAGE_LEN: usize = 1_000;

/// What a tail has to tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TailNews {
    /// The next records, without a gap before or between them.
    Records(Vec<LogRecord>),
    /// The stream's end is reached and nothing came in time.
    Idle,
    /// The records from `from` to before `first` are gone. The tail goes on at `first`.
    Gap {
        /// Where the tail stood.
        from: LogOffset,
        /// The oldest offset that the log still keeps.
        first: LogOffset,
    },
    /// A read failed; the next one waits longer.
    Failed(LogError),
}

/// Reads a stream as it grows, by long-polling.
pub struct LogTail {
    client: LogClient,
    stream: Arc<str>,
    next: LogOffset,
    wait: Duration,
    pauses: PausePlan,
    pause: Duration,
}

impl LogTail {
    /// A tail that reads `stream` from `from`; each read asks the log to wait up to `wait` for news.
    pub fn new(client: LogClient, stream: &str, from: LogOffset, wait: Duration) -> LogTail {
        let pauses = client.timeouts().pauses();
        LogTail {
            client,
            stream: Arc::from(stream),
            next: from,
            wait,
            pauses,
            pause: Duration::ZERO,
        }
    }

    /// The offset that is read next.
    pub fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Waits for news. A read that is dropped before its end loses nothing.
    pub async fn next_news(&mut self) -> TailNews {
        sleep(self.pause).await;
        match self.client.read(&self.stream, self.next, PAGE_LEN, self.wait).await {
            Ok(page) => {
                self.pauses.reset();
                self.pause = Duration::ZERO;
                self.take_page(page.first, page.records)
            }
            Err(error) => {
                self.pause = self.pauses.next_pause();
                TailNews::Failed(error)
            }
        }
    }

    /// A gap comes first and the records after it with the next read, so that a reader cannot take them for the next ones.
    fn take_page(&mut self, first: LogOffset, records: Vec<LogRecord>) -> TailNews {
        let from = self.next;
        if from < first {
            self.next = first;
            let kind = EventKind::LogTruncated;
            tracing::warn!(event = kind.number(), name = kind.name(), stream = &*self.stream, %from, %first);
            return TailNews::Gap { from, first };
        }
        let Some(last) = records.last() else {
            return TailNews::Idle;
        };
        self.next = LogOffset(last.offset.0 + 1);
        TailNews::Records(records)
    }
}
