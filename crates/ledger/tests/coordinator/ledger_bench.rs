//! One coordinator without a driver: the test is its log, its clock and its callers.

use std::time::Duration;

use fulmargate_ledger::ClaimCall;
use fulmargate_ledger::ClaimEntry;
use fulmargate_ledger::ClaimKey;
use fulmargate_ledger::ClaimRecord;
use fulmargate_ledger::ClaimTicket;
use fulmargate_ledger::ClaimVerdict;
use fulmargate_ledger::ClaimerId;
use fulmargate_ledger::GroupAppend;
use fulmargate_ledger::KnownCall;
use fulmargate_ledger::KnownKey;
use fulmargate_ledger::LedgerCommand;
use fulmargate_ledger::LedgerSettings;
use fulmargate_ledger::RequestPrint;
use fulmargate_ledger::ShardCoordinator;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::LogOffset;
use fulmargate_names::TeamName;
use fulmargate_platform::LogError;
use fulmargate_platform::LogPage;
use fulmargate_platform::LogRecord;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;
use tokio::time::Instant;

pub(crate) const PRINT: RequestPrint = RequestPrint([1; 8]);
pub(crate) const OTHER_PRINT: RequestPrint = RequestPrint([2; 8]);

/// When the first record of a test lands.
pub(crate) const BEGAN_MS: u64 = 1_700_000_000_000;

pub(crate) type Verdict = oneshot::Receiver<ClaimVerdict>;

pub(crate) struct LedgerBench {
    pub(crate) coordinator: ShardCoordinator,
    pub(crate) now: Instant,
    pub(crate) records: Vec<LogRecord>,
    pub(crate) first: u64,
    commands: UnboundedReceiver<LedgerCommand>,
}

pub(crate) fn settings() -> LedgerSettings {
    LedgerSettings::for_retention(Duration::from_secs(3_600))
}

pub(crate) fn key(text: &str) -> ClaimKey {
    ClaimKey::new(&TeamName::new("shop"), text)
}

pub(crate) fn claimer(host: &str, incarnation: u64) -> ClaimerId {
    ClaimerId { host: HostName::new(host), incarnation: Incarnation(incarnation) }
}

impl LedgerBench {
    /// A coordinator that has read its empty stream to the end.
    pub(crate) fn new(settings: LedgerSettings) -> LedgerBench {
        let mut bench = LedgerBench::unread(settings);
        bench.read();
        bench
    }

    pub(crate) fn unread(settings: LedgerSettings) -> LedgerBench {
        let now = Instant::now();
        let (sender, commands) = unbounded_channel();
        let coordinator = ShardCoordinator::new(claimer("mn-1", 1), settings, sender, now);
        LedgerBench { coordinator, now, records: Vec::new(), first: 0, commands }
    }

    /// The coordinator handles its commands, and time passes.
    pub(crate) fn pass(&mut self, millis: u64) {
        self.take_commands();
        self.now += Duration::from_millis(millis);
        self.coordinator.tick(self.now);
    }

    pub(crate) fn claim_with(&mut self, text: &str, print: RequestPrint, wait_ms: u64) -> Verdict {
        let (reply, verdict) = oneshot::channel();
        let deadline = self.now + Duration::from_millis(wait_ms);
        let call = ClaimCall { key: key(text), print, deadline, reply };
        self.coordinator.command(LedgerCommand::Claim(call), self.now);
        verdict
    }

    pub(crate) fn claim(&mut self, text: &str) -> Verdict {
        self.claim_with(text, PRINT, 10_000)
    }

    pub(crate) fn ask_known(&mut self, text: &str) -> oneshot::Receiver<KnownKey> {
        let (reply, known) = oneshot::channel();
        let deadline = self.now + Duration::from_secs(1);
        self.coordinator
            .command(LedgerCommand::Known(KnownCall { key: key(text), deadline, reply }), self.now);
        known
    }

    /// The coordinator's next append, which it must have.
    pub(crate) fn append(&mut self) -> GroupAppend {
        self.try_append().expect("an append is due")
    }

    pub(crate) fn try_append(&mut self) -> Option<GroupAppend> {
        self.take_commands();
        self.coordinator.next_append(self.now)
    }

    fn take_commands(&mut self) {
        while let Ok(command) = self.commands.try_recv() {
            self.coordinator.command(command, self.now);
        }
    }

    pub(crate) fn end(&mut self, group: &GroupAppend, error: LogError) {
        self.coordinator.append_ended(&group.id, Err(error), self.now);
    }

    /// The record lands; nobody has read it yet.
    pub(crate) fn land(&mut self, group: &GroupAppend) {
        self.land_data(&group.id, group.data.clone());
    }

    /// Another router's record lands.
    pub(crate) fn land_other(
        &mut self,
        claimer: ClaimerId,
        sequence: u64,
        entries: Vec<ClaimEntry>,
    ) {
        let record =
            ClaimRecord { layout: 1, claimer, sequence, memory: settings().memory, entries };
        self.land_data("other", serde_json::to_string(&record).unwrap());
    }

    fn land_data(&mut self, id: &str, data: String) {
        let offset = LogOffset(self.first + self.records.len() as u64);
        let time_ms = BEGAN_MS + offset.0;
        self.records.push(LogRecord { offset, time_ms, id: String::from(id), data });
    }

    /// What a read gives now: one record at a time.
    pub(crate) fn page(&self) -> LogPage {
        let from = self.coordinator.next_offset();
        let record = self.records.iter().find(|record| from <= record.offset).cloned();
        let next = record.as_ref().map_or(from, |record| LogOffset(record.offset.0 + 1));
        LogPage { first: LogOffset(self.first), next, records: Vec::from_iter(record) }
    }

    /// The coordinator reads to the stream's end.
    pub(crate) fn read(&mut self) {
        loop {
            let page = self.page();
            self.coordinator.take_page(&page, self.now, self.now);
            if page.records.is_empty() {
                return;
            }
        }
    }

    /// An append lands, is answered and read.
    pub(crate) fn settle(&mut self) -> GroupAppend {
        let group = self.append();
        self.land(&group);
        self.read();
        group
    }

    /// A won claim.
    pub(crate) fn win(&mut self, text: &str) -> ClaimTicket {
        let verdict = self.claim(text);
        self.settle();
        match told(verdict) {
            ClaimVerdict::Won(ticket) => ticket,
            other => panic!("not won: {other:?}"),
        }
    }
}

/// The verdict, which must have been given.
pub(crate) fn told(mut verdict: Verdict) -> ClaimVerdict {
    verdict.try_recv().expect("a verdict was given")
}

/// The entries of a record.
pub(crate) fn entries(group: &GroupAppend) -> Vec<ClaimEntry> {
    serde_json::from_str::<ClaimRecord>(&group.data).unwrap().entries
}
