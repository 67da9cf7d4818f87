//! A host that follows the weights versions of one model, and what it tells others of them.

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::WeightsProof;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::WeightsVersion;

use super::model;
use super::weights_topic::WeightsTopic;

/// Longest wait of a read for a new record.
pub(crate) const POLL_WAIT: Duration = Duration::from_millis(800);
/// A poll that took longer was pending while the host was suspended.
const MAX_POLL_TIME: Duration = Duration::from_millis(1_100);

/// How a host uses ages that another host reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AgeSource {
    /// Each age is a proof of its version, on the time of the question.
    Proofs,
    /// The age of the newest version holds for all before it, as in earlier releases.
    NewestVersion,
    /// Proofs count from the time at which the reply arrives.
    ReplyTime,
    /// Ages longer than the machine runs count from its boot.
    SinceBoot,
    /// Only own reads count.
    OwnReads,
}

/// The time that counts for a record which a read has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadTime {
    /// When the last complete read before it was sent.
    LastSent,
    /// When the record arrived, or the answer before it if the read took long.
    Arrival,
}

/// Clock of a machine, which goes on while its processes stop or are frozen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostClock {
    pub(crate) booted: i64,
    pub(crate) drift_ppm: i64,
}

impl HostClock {
    pub(crate) fn now(self, at: u64) -> BootTime {
        let elapsed = at as i64 - self.booted;
        BootTime((elapsed + elapsed * self.drift_ppm / 1_000_000) as u64)
    }
}

/// A read on its way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub(crate) sent: u64,
    pub(crate) answered: u64,
    pub(crate) arrives: u64,
    pub(crate) is_lost: bool,
    /// Whether it takes longer than reads of a host in touch.
    pub(crate) is_slow: bool,
}

/// Ages that a host reports of its proofs.
#[derive(Clone, Debug)]
pub(crate) struct WeightsReport {
    pub(crate) proofs: Vec<(WeightsVersion, Duration)>,
    target: Option<WeightsVersion>,
    target_age: Option<Duration>,
}

#[derive(Clone, Debug)]
pub(crate) struct WeightsHost {
    pub(crate) clock: HostClock,
    pub(crate) table: WeightsTable,
    pub(crate) started: u64,
    /// Position of the next read; `None` before the first listing and after the history was dropped.
    position: Option<usize>,
    /// When the last complete read was sent.
    last_sent: Option<BootTime>,
    last_received: Option<BootTime>,
    pub(crate) is_failing: bool,
    pub(crate) pending: Option<PendingRead>,
    pub(crate) next_read: u64,
    pub(crate) next_question: u64,
    /// Whether nothing has held up its reads since the last complete one.
    is_calm: bool,
    pub(crate) stopped_until: Option<u64>,
    pub(crate) frozen_until: u64,
    pub(crate) store_cut_until: u64,
    pub(crate) peer_cut_until: u64,
}

impl WeightsHost {
    pub(crate) fn new(clock: HostClock, now: u64) -> WeightsHost {
        WeightsHost {
            clock,
            table: WeightsTable::default(),
            started: now,
            position: None,
            last_sent: None,
            last_received: None,
            is_failing: false,
            pending: None,
            next_read: now,
            next_question: now,
            is_calm: false,
            stopped_until: None,
            frozen_until: 0,
            store_cut_until: 0,
            peer_cut_until: 0,
        }
    }

    pub(crate) fn is_running(&self, now: u64) -> bool {
        self.stopped_until.is_none() && self.frozen_until <= now
    }

    /// Whether it has read the topic since its start.
    pub(crate) fn has_listing(&self) -> bool {
        self.last_sent.is_some()
    }

    /// Whether it reads records as they are written.
    pub(crate) fn follows(&self) -> bool {
        let is_slow = self.pending.is_some_and(|read| read.is_slow || read.is_lost);
        self.has_listing() && self.is_calm && !is_slow
    }

    /// Its reads are held up. One that is pending arrives late.
    pub(crate) fn hold_up(&mut self) {
        self.is_calm = false;
        if let Some(read) = &mut self.pending {
            read.is_slow = true;
        }
    }

    /// Cuts it off from the store.
    pub(crate) fn cut_store(&mut self, until: u64) {
        self.store_cut_until = until;
        self.hold_up();
        if let Some(read) = &mut self.pending {
            read.is_lost = true;
        }
    }

    /// Time since the last complete read was sent.
    pub(crate) fn read_age(&self, now: u64) -> Duration {
        self.last_sent.map_or(Duration::MAX, |sent| self.clock.now(now).since(sent))
    }

    pub(crate) fn outdated_for(&self, version: WeightsVersion, now: u64) -> Duration {
        self.table.outdated_for(&model(), version, self.clock.now(now))
    }

    /// Whether a prompt may start on these weights.
    pub(crate) fn allows(&self, version: WeightsVersion, bound: Duration, now: u64) -> bool {
        let clock = self.clock.now(now);
        let delay = self.table.max_start_delay(&model(), version, bound, clock);
        self.has_listing() && delay.is_none_or(|delay| !delay.is_zero())
    }

    /// The long poll from the host's position; `None` for a listing.
    pub(crate) fn answers_at(&self, topic: &WeightsTopic, arrived: u64) -> u64 {
        self.position.map_or(arrived, |from| topic.answers_at(from, arrived, POLL_WAIT))
    }

    /// Applies the answer to a read.
    pub(crate) fn apply_read(
        &mut self,
        read: PendingRead,
        topic: &WeightsTopic,
        time: ReadTime,
        now: u64,
    ) {
        let read_before = self.read_before(read, time, now);
        let Some(from) = self.position else {
            self.add_target(topic.newest(read.answered).version, read_before);
            self.finish_read(read, topic, now);
            return;
        };
        let Some(records) = topic.read(from, read.answered) else {
            self.position = None;
            self.is_calm = false;
            return;
        };
        for record in records {
            self.add_target(record.version, read_before);
        }
        self.finish_read(read, topic, now);
    }

    fn add_target(&mut self, version: WeightsVersion, read_before: Option<BootTime>) {
        self.table.add_target(&model(), version, read_before);
    }

    fn read_before(&self, read: PendingRead, time: ReadTime, now: u64) -> Option<BootTime> {
        let took = Duration::from_millis(now - read.sent);
        match time {
            ReadTime::LastSent => self.last_sent,
            ReadTime::Arrival if self.position.is_none() => self.last_received,
            ReadTime::Arrival if self.is_failing || MAX_POLL_TIME < took => self.last_received,
            ReadTime::Arrival => Some(self.clock.now(now)),
        }
    }

    fn finish_read(&mut self, read: PendingRead, topic: &WeightsTopic, now: u64) {
        self.position = Some(topic.end(read.answered));
        self.last_sent = Some(self.clock.now(read.sent));
        self.last_received = Some(self.clock.now(now));
        self.is_failing = false;
        self.is_calm = !read.is_slow;
    }

    /// Answers a question.
    pub(crate) fn report(&self, now: u64) -> WeightsReport {
        let clock = self.clock.now(now);
        let target = self.table.target(&model());
        let read =
            target.filter(|_| self.has_listing()).map(|version| (version, self.read_age(now)));
        let known = self.table.proofs(&model()).iter();
        let known = known.map(|proof| (proof.version, clock.since(proof.proven_at)));
        let target_age = self.table.target_age(&model(), clock);
        WeightsReport { proofs: known.chain(read).collect(), target, target_age }
    }

    /// Learns from the answer to a question that was sent at this time.
    pub(crate) fn learn(
        &mut self,
        asked: u64,
        report: &WeightsReport,
        source: AgeSource,
        now: u64,
    ) {
        let counts_from = match source {
            AgeSource::Proofs | AgeSource::SinceBoot => self.clock.now(asked),
            AgeSource::ReplyTime => self.clock.now(now),
            AgeSource::NewestVersion => return self.learn_target_age(report, self.clock.now(now)),
            AgeSource::OwnReads => return,
        };
        for (version, age) in &report.proofs {
            let proof = match source {
                AgeSource::SinceBoot => Some(counts_from.before(*age)),
                _ => proof_time(counts_from, *age),
            };
            let Some(proven_at) = proof else { continue };
            self.table.add_proof(&model(), WeightsProof { version: *version, proven_at });
        }
    }

    /// Version 0 stands for all versions before the target.
    fn learn_target_age(&mut self, report: &WeightsReport, now: BootTime) {
        let is_known = self.table.target_age(&model(), now).is_some();
        if is_known || report.target != self.table.target(&model()) {
            return;
        }
        let Some(proven_at) = report.target_age.and_then(|age| proof_time(now, age)) else {
            return;
        };
        let version = WeightsVersion(0);
        self.table.add_proof(&model(), WeightsProof { version, proven_at });
    }
}

/// The time that lies so long before another; `None` if the machine was not running then.
pub(crate) fn proof_time(at: BootTime, age: Duration) -> Option<BootTime> {
    let age_ms = u64::try_from(age.as_millis()).ok()?;
    at.0.checked_sub(age_ms).map(BootTime)
}
