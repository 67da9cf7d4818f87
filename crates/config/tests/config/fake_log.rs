//! A log in memory, with links that can be cut and answers that get lost.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use fulmargate_config::LogAccess;
use fulmargate_names::LogOffset;
use fulmargate_platform::LogError;
use fulmargate_platform::LogPage;
use fulmargate_platform::LogRecord;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

const LATENCY: Duration = Duration::from_millis(1);
/// How late a record lands whose connection was slow.
pub(crate) const LATE: Duration = Duration::from_millis(300);

/// What happens to one append.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AppendFault {
    /// It lands, its answer is lost.
    AnswerLost,
    /// It is lost, as its answer.
    RecordLost,
    /// It lands late, its answer is lost.
    LandsLate,
    /// It lands, its answer is lost, and the log goes out.
    LandsBeforeOutage,
    /// It is refused for the rate.
    Throttled,
}

/// The stream.
pub(crate) struct FakeLog {
    began: Instant,
    records: RefCell<Vec<LogRecord>>,
    retention: Duration,
    pub(crate) page_limit: Cell<usize>,
    pub(crate) is_out: Cell<bool>,
    news: Notify,
    /// Reads get the stream's beginning whatever they ask for.
    pub(crate) answer_from_start: Cell<bool>,
}

/// One host's way to the stream.
pub(crate) struct LogLink {
    log: Rc<FakeLog>,
    pub(crate) is_cut: Cell<bool>,
    /// Reads fail though appends do not.
    pub(crate) is_deaf: Cell<bool>,
    pub(crate) latency: Cell<Duration>,
    pub(crate) faults: RefCell<VecDeque<AppendFault>>,
    pub(crate) reads: Cell<u64>,
}

impl FakeLog {
    pub(crate) fn new(retention: Duration) -> Rc<FakeLog> {
        Rc::new(FakeLog {
            began: Instant::now(),
            records: RefCell::new(Vec::new()),
            retention,
            page_limit: Cell::new(usize::MAX),
            is_out: Cell::new(false),
            news: Notify::new(),
            answer_from_start: Cell::new(false),
        })
    }

    pub(crate) fn records(&self) -> Vec<LogRecord> {
        self.records.borrow().clone()
    }

    pub(crate) fn push(&self, id: &str, data: &str) -> LogOffset {
        let mut records = self.records.borrow_mut();
        let offset = LogOffset(records.len() as u64);
        let time_ms = self.began.elapsed().as_millis() as u64;
        records.push(LogRecord { offset, time_ms, id: id.to_owned(), data: data.to_owned() });
        self.news.notify_waiters();
        offset
    }

    /// The oldest offset that is still kept.
    pub(crate) fn first(&self) -> u64 {
        let now = self.began.elapsed().as_millis();
        let is_kept =
            |record: &&LogRecord| now < u128::from(record.time_ms) + self.retention.as_millis();
        let records = self.records.borrow();
        records.iter().find(is_kept).map_or(records.len() as u64, |record| record.offset.0)
    }

    fn page(&self, from: LogOffset, max: usize) -> LogPage {
        let first = LogOffset(self.first());
        let from = if self.answer_from_start.get() { first } else { from };
        let begin = from.max(first).0 as usize;
        let limit = max.min(self.page_limit.get());
        let records: Vec<LogRecord> =
            self.records.borrow().iter().skip(begin).take(limit).cloned().collect();
        let next = records.last().map_or(from.max(first), |last| LogOffset(last.offset.0 + 1));
        LogPage { first, next, records }
    }
}

impl LogLink {
    pub(crate) fn new(log: &Rc<FakeLog>) -> Rc<LogLink> {
        Rc::new(LogLink {
            log: Rc::clone(log),
            is_cut: Cell::new(false),
            is_deaf: Cell::new(false),
            latency: Cell::new(LATENCY),
            faults: RefCell::new(VecDeque::new()),
            reads: Cell::new(0),
        })
    }

    pub(crate) fn access(self: &Rc<LogLink>) -> LogAccess {
        let appender = Rc::clone(self);
        let reader = Rc::clone(self);
        LogAccess {
            append: Rc::new(move |id, data| {
                let link = Rc::clone(&appender);
                Box::pin(async move { link.append(&id, &data).await })
            }),
            read: Rc::new(move |from, max, wait| {
                let link = Rc::clone(&reader);
                Box::pin(async move { link.read(from, max, wait).await })
            }),
        }
    }

    fn check(&self) -> Result<(), LogError> {
        match (self.is_cut.get(), self.log.is_out.get()) {
            (true, _) => Err(LogError::NotSent),
            (false, true) => Err(LogError::Out),
            (false, false) => Ok(()),
        }
    }

    async fn append(&self, id: &str, data: &str) -> Result<LogOffset, LogError> {
        sleep(self.latency.get()).await;
        self.check()?;
        let fault = self.faults.borrow_mut().pop_front();
        match fault {
            None => {}
            Some(AppendFault::Throttled) => return Err(LogError::Throttled),
            Some(AppendFault::RecordLost) => return Err(LogError::Lost),
            Some(AppendFault::LandsLate) => {
                let log = Rc::clone(&self.log);
                let (id, data) = (id.to_owned(), data.to_owned());
                tokio::task::spawn_local(async move {
                    sleep(LATE).await;
                    log.push(&id, &data);
                });
                return Err(LogError::Lost);
            }
            Some(fault @ (AppendFault::AnswerLost | AppendFault::LandsBeforeOutage)) => {
                self.log.push(id, data);
                self.log.is_out.set(fault == AppendFault::LandsBeforeOutage);
                return Err(LogError::Lost);
            }
        }
        let offset = self.log.push(id, data);
        sleep(self.latency.get()).await;
        // A link that is cut between the two ways loses the answer.
        self.check().map(|()| offset).map_err(|_| LogError::Lost)
    }

    async fn read(&self, from: LogOffset, max: usize, wait: Duration) -> Result<LogPage, LogError> {
        self.reads.set(self.reads.get() + 1);
        sleep(self.latency.get()).await;
        self.check()?;
        let news = async {
            while self.log.page(from, max).records.is_empty() {
                self.log.news.notified().await;
            }
        };
        let _ = timeout(wait, news).await;
        self.check()?;
        if self.is_deaf.get() {
            return Err(LogError::Lost);
        }
        Ok(self.log.page(from, max))
    }
}
