//! A log in memory on the runtime's clock, with outages, lost answers, late landings and retention.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use fulmargate_ledger::ClaimLog;
use fulmargate_ledger::GroupAppend;
use fulmargate_names::LogOffset;
use fulmargate_platform::LogError;
use fulmargate_platform::LogPage;
use fulmargate_platform::LogRecord;
use futures_util::FutureExt;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// Numbers drawn by chance, the same for the same seed.
#[derive(Clone, Copy)]
pub(crate) struct Dice(pub(crate) u64);

impl Dice {
    pub(crate) fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        (self.0 >> 33) % end
    }

    pub(crate) fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub(crate) fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }
}

/// What the log holds and how it fails.
pub(crate) struct LogWorld {
    pub(crate) records: Vec<LogRecord>,
    pub(crate) first: u64,
    pub(crate) retention_ms: u64,
    pub(crate) is_out: bool,
    pub(crate) cut_hosts: HashSet<String>,
    pub(crate) lost_percent: u64,
    pub(crate) round_trip_ms: u64,
    pub(crate) appends: u64,
    pub(crate) dice: Dice,
    began: Instant,
}

/// The log; clones are the same one.
#[derive(Clone)]
pub(crate) struct FakeLog {
    pub(crate) world: Rc<RefCell<LogWorld>>,
    news: Rc<Notify>,
    landings: UnboundedSender<(GroupAppend, Duration, oneshot::Sender<LogOffset>)>,
}

/// A call to a log that is out of reach comes back after this time, if it comes back.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// The log's clock when a test begins.
pub(crate) const BEGAN_MS: u64 = 1_700_000_000_000;

impl FakeLog {
    /// Landings are a task of the log's own, so that they go on while their appender is frozen or gone.
    pub(crate) fn start(seed: u64) -> FakeLog {
        let (landings, mut to_land) =
            unbounded_channel::<(GroupAppend, Duration, oneshot::Sender<LogOffset>)>();
        let world = LogWorld {
            records: Vec::new(),
            first: 0,
            retention_ms: u64::MAX / 2,
            is_out: false,
            cut_hosts: HashSet::new(),
            lost_percent: 0,
            round_trip_ms: 4,
            appends: 0,
            dice: Dice(seed),
            began: Instant::now(),
        };
        let log =
            FakeLog { world: Rc::new(RefCell::new(world)), news: Rc::new(Notify::new()), landings };
        let server = log.clone();
        spawn_local(async move {
            while let Some((group, delay, landed)) = to_land.recv().await {
                let server = server.clone();
                spawn_local(async move {
                    sleep(delay).await;
                    let _ = landed.send(server.land(group));
                });
            }
        });
        log
    }

    pub(crate) fn now_ms(&self) -> u64 {
        BEGAN_MS + self.world.borrow().began.elapsed().as_millis() as u64
    }

    fn land(&self, group: GroupAppend) -> LogOffset {
        let time_ms = self.now_ms();
        let mut world = self.world.borrow_mut();
        let offset = LogOffset(world.records.len() as u64);
        world.records.push(LogRecord { offset, time_ms, id: group.id, data: group.data });
        self.news.notify_waiters();
        offset
    }

    fn is_out_for(&self, host: &str) -> bool {
        let world = self.world.borrow();
        world.is_out || world.cut_hosts.contains(host)
    }

    async fn append(self, host: String, group: GroupAppend) -> Result<LogOffset, LogError> {
        let (is_lost, lands, delay, hangs) = {
            let mut world = self.world.borrow_mut();
            world.appends += 1;
            let half = Duration::from_millis(world.round_trip_ms / 2);
            let lost_percent = world.lost_percent;
            let is_late = world.dice.percent(30);
            let late = if is_late { world.dice.millis(10, 3_000) } else { Duration::ZERO };
            (
                world.dice.percent(lost_percent),
                world.dice.percent(70),
                half + late,
                world.dice.percent(50),
            )
        };
        if self.is_out_for(&host) {
            if hangs {
                sleep(CALL_TIMEOUT).await;
                return Err(LogError::Lost);
            }
            return Err(LogError::Out);
        }
        let half = Duration::from_millis(self.world.borrow().round_trip_ms / 2);
        let (reply, landed) = oneshot::channel();
        if !is_lost {
            self.landings.send((group, half, reply)).unwrap();
            let offset = landed.await.map_err(|_| LogError::Lost)?;
            sleep(half).await;
            return Ok(offset);
        }
        if lands {
            self.landings.send((group, delay, reply)).unwrap();
        }
        sleep(CALL_TIMEOUT).await;
        Err(LogError::Lost)
    }

    async fn read(
        self,
        host: String,
        from: LogOffset,
        max: usize,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        let half = Duration::from_millis(self.world.borrow().round_trip_ms / 2);
        sleep(half).await;
        let arrival = async {
            loop {
                let news = self.news.notified();
                if from.0 < self.world.borrow().records.len() as u64 {
                    return;
                }
                news.await;
            }
        };
        let _ = timeout(wait, arrival).await;
        if self.is_out_for(&host) {
            sleep(Duration::from_millis(50)).await;
            return Err(LogError::Out);
        }
        let page = self.page(from, max);
        sleep(half).await;
        Ok(page)
    }

    fn page(&self, from: LogOffset, max: usize) -> LogPage {
        let now_ms = self.now_ms();
        let mut world = self.world.borrow_mut();
        let kept_ms = now_ms.saturating_sub(world.retention_ms);
        let gone = world.records.iter().take_while(|record| record.time_ms <= kept_ms).count();
        world.first = gone as u64;
        let start = from.0.max(world.first).min(world.records.len() as u64);
        let records: Vec<LogRecord> =
            world.records.iter().skip(start as usize).take(max).cloned().collect();
        LogPage {
            first: LogOffset(world.first),
            next: LogOffset(start + records.len() as u64),
            records,
        }
    }

    /// The log as the router on `host` reaches it.
    pub(crate) fn port(&self, host: &str) -> ClaimLog {
        let (appender, reader) = (self.clone(), self.clone());
        let (append_host, read_host) = (String::from(host), String::from(host));
        ClaimLog {
            append: Box::new(move |_, group| {
                appender.clone().append(append_host.clone(), group).boxed_local()
            }),
            read: Box::new(move |_, from, wait| {
                reader.clone().read(read_host.clone(), from, 40, wait).boxed_local()
            }),
        }
    }
}
