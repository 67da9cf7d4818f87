//! Records of the store, from the store itself or from a router that reads it.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use fulmargate_consortium::ListedRecord;
use fulmargate_consortium::StoreClient;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::LogAnswer;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::LogQuestion;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::RecordSource;
use fulmargate_dispatch::SubscriberStore;
use fulmargate_dispatch::ZonePeer;
use fulmargate_dispatch::record_source;
use fulmargate_names::HostName;
use h2::client::SendRequest;
use http::Request;
use http::StatusCode;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use crate::control::fleet_codec::STORE_HEADER;
use crate::control::fleet_codec::STORE_OUT;
use crate::control::fleet_codec::decode_plain;
use crate::control::fleet_codec::encode_plain;
use crate::control::fleet_watch::SharedFold;
use crate::control::record_cache::RecordCache;
use crate::sockets::watch_peer;
use crate::state::SharedState;
use crate::state::boot_now;

/// A question waits for the reader's next proof, which comes by this much after the wait of a read.
const PROOF_ALLOWANCE: Duration = Duration::from_millis(250);
/// A router of the same zone answers within some milliseconds after the wait it was asked for.
const ASK_ALLOWANCE: Duration = Duration::from_millis(300);
/// A page of the newest records; it does not wait.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A host that reads for itself or for others calls a store that fails this often: ten of them call
/// three topics four times a second, well below the store's rates.
const READER_PAUSE: Duration = Duration::from_millis(250);
/// One that asks others learns from them when the store is back. All hosts of a large fleet calling as often
/// as readers would call it thousands of times in an outage.
const ASKER_PAUSE: Duration = Duration::from_millis(1_000);
/// A reader that gave no answer is asked again after this time; until then the other one is. A host
/// that is cut off would else cost each host of its zone a call of the store for each read.
const FAILED_PAUSE: Duration = Duration::from_millis(2_000);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const SILENT_PEER: Duration = Duration::from_millis(1_000);

/// Records, and the moment at which nothing more had been written.
pub(crate) struct ProvenPage {
    pub(crate) records: Vec<Vec<u8>>,
    /// When the question was sent that proves it; none if there is more to read.
    pub(crate) proven: Option<BootTime>,
}

/// The newest record of each key of a topic.
pub(crate) struct NewestRecords {
    pub(crate) records: Vec<ListedRecord>,
    /// Where to read on: pages are no snapshot, so this is where the topic ended when the first of
    /// them was made.
    pub(crate) end: LogPosition,
    /// When the first page was asked for.
    pub(crate) sent: BootTime,
}

/// Why another router gave no records.
#[derive(Debug, Display, Error, From)]
enum AskFault {
    #[display("{_0}")]
    Io(std::io::Error),
    #[display("{_0}")]
    Stream(h2::Error),
    #[display("{_0}")]
    Encode(bincode::error::EncodeError),
    #[display("{_0}")]
    Decode(bincode::error::DecodeError),
    #[display("no answer in time")]
    TimedOut,
    #[display("it has not got them")]
    NotThere,
    #[display("its link has no room for them")]
    OverBudget,
}

impl AskFault {
    /// The router is well and answers what comes next. Taken for one that has failed it would be left
    /// alone for seconds, and so would the other reader, which refuses the same records: all askers of
    /// the zone would read each topic from the store meanwhile.
    fn is_refusal(&self) -> bool {
        matches!(self, AskFault::OverBudget)
    }
}

struct AskLink {
    address: SocketAddr,
    client: SendRequest<Bytes>,
    _task: AbortOnDropHandle<()>,
}

/// Where watchers read.
#[derive(Clone)]
pub(crate) struct LogSource {
    state: Arc<SharedState>,
    client: StoreClient,
    fold: SharedFold,
    shelf: Rc<RecordCache>,
    link: Rc<RefCell<Option<AskLink>>>,
    /// Readers that gave no answer, and when.
    failed: Rc<RefCell<IndexMap<HostName, Instant>>>,
    /// As of this host's last read of the store, which may be long ago: it reads there when it is refused.
    store: Rc<Cell<SubscriberStore>>,
}

impl LogSource {
    /// A source that keeps what it reads on the shelf.
    pub(crate) fn new(
        state: Arc<SharedState>,
        client: StoreClient,
        fold: SharedFold,
        shelf: Rc<RecordCache>,
    ) -> LogSource {
        LogSource {
            state,
            client,
            fold,
            shelf,
            link: Rc::default(),
            failed: Rc::default(),
            store: Rc::new(Cell::new(SubscriberStore::InReach)),
        }
    }

    /// The store's client, for what only the store can tell.
    pub(crate) fn store(&self) -> &StoreClient {
        &self.client
    }

    /// The longest pause between calls that fail.
    pub(crate) fn longest_pause(&self) -> Duration {
        match self.record_source() {
            RecordSource::Store => READER_PAUSE,
            RecordSource::Routers(_) => ASKER_PAUSE,
        }
    }

    fn record_source(&self) -> RecordSource {
        let settings = &self.state.settings;
        let peers = self.zone_peers();
        let own = ZonePeer { host: settings.host.clone(), link_kbps: settings.link_kbps() };
        record_source(&own, &peers, settings.few_hosts)
    }

    /// The newest record of each key, from the store.
    pub(crate) async fn read_newest(&self, topic: LogTopic) -> Result<NewestRecords, StoreError> {
        let sent = boot_now();
        let first = self.client.newest(topic, None, PAGE_TIMEOUT).await?;
        let (end, mut next, mut records) = (first.end, first.next, first.records);
        self.state.note_epoch(end.epoch);
        while let Some(after) = next {
            let page = self.client.newest(topic, Some(&after), PAGE_TIMEOUT).await?;
            if page.end.epoch != end.epoch {
                return Err(StoreError::Restored { epoch: page.end.epoch });
            }
            records.extend(page.records);
            next = page.next;
        }
        Ok(NewestRecords { records, end, sent })
    }

    /// Whether this host reads the store itself.
    pub(crate) fn is_reader(&self) -> bool {
        matches!(self.record_source(), RecordSource::Store)
    }

    /// Records from a position on, as soon as there are any or the wait is over, or any call has shown that
    /// the store has come back from a copy since.
    pub(crate) async fn read(
        &self,
        topic: LogTopic,
        from: LogPosition,
        wait: Duration,
        allowance: Duration,
    ) -> Result<ProvenPage, StoreError> {
        tokio::select! {
            page = self.read_anywhere(topic, from, wait, allowance) => page,
            epoch = self.state.epoch_after(from.epoch) => Err(StoreError::Restored { epoch }),
        }
    }

    async fn read_anywhere(
        &self,
        topic: LogTopic,
        from: LogPosition,
        wait: Duration,
        allowance: Duration,
    ) -> Result<ProvenPage, StoreError> {
        if let Some((reader, address)) = self.asked() {
            let question = question(topic, from, wait);
            let asked = boot_now();
            match self.ask(address, question).await {
                Ok(answer) => {
                    metrics::counter!("fulmargate_log_reads_total", "source" => "router")
                        .increment(1);
                    let proven = Some(answer.proven(asked));
                    return Ok(ProvenPage { records: answer.records, proven });
                }
                Err(fault) => {
                    tracing::debug!("{reader} gave no records, the store is read: {fault}");
                    if !fault.is_refusal() {
                        self.failed.borrow_mut().insert(reader, Instant::now());
                    }
                }
            }
        }
        self.read_store(topic, from, wait, allowance).await
    }

    /// The same from the store itself.
    pub(crate) async fn read_store(
        &self,
        topic: LogTopic,
        from: LogPosition,
        wait: Duration,
        allowance: Duration,
    ) -> Result<ProvenPage, StoreError> {
        let sent = boot_now();
        let result = self.client.read(topic, from, wait, wait + allowance).await;
        self.store.set(match &result {
            Ok(_) | Err(StoreError::Deleted { .. } | StoreError::Restored { .. }) => {
                SubscriberStore::InReach
            }
            Err(_) => SubscriberStore::OutOfReach,
        });
        if let Err(StoreError::Restored { epoch }) = &result {
            self.state.note_epoch(*epoch);
        }
        let page = result?;
        metrics::counter!("fulmargate_log_reads_total", "source" => "store").increment(1);
        let is_all = page.end <= from.after(page.records.len()).offset;
        if self.is_asked() {
            self.shelf.put(topic, from, &page.records, is_all.then_some(sent));
        }
        Ok(ProvenPage { records: page.records, proven: is_all.then_some(sent) })
    }

    /// Whether others may ask this host: only then are records kept.
    fn is_asked(&self) -> bool {
        self.state.settings.few_hosts < self.zone_peers().len() + 1
    }

    /// The other hosts of this zone: those that were heard lately, and those that have started lately. A host
    /// that has just started has heard nobody, and read the store by itself until it had.
    fn zone_peers(&self) -> Vec<ZonePeer> {
        let settings = &self.state.settings;
        let mut peers = self.state.book().zone_peers(&settings.zone, Instant::now());
        let heard: IndexSet<HostName> = peers.iter().map(|peer| peer.host.clone()).collect();
        let fold = self.fold.borrow();
        let new = fold.new_members(&settings.zone, boot_now());
        peers.extend(new.filter(|peer| peer.host != settings.host && !heard.contains(&peer.host)));
        peers
    }

    /// Whom to ask; nobody where this host reads the store, or no reader has answered lately.
    fn asked(&self) -> Option<(HostName, SocketAddr)> {
        let RecordSource::Routers(readers) = self.record_source() else { return None };
        let mut failed = self.failed.borrow_mut();
        failed.retain(|_, at| at.elapsed() < FAILED_PAUSE);
        let reader = readers.into_iter().find(|reader| !failed.contains_key(reader))?;
        let address = self.address_of(&reader)?;
        Some((reader, address))
    }

    fn address_of(&self, host: &HostName) -> Option<SocketAddr> {
        self.fold.borrow().address_of(host)
    }

    async fn ask(&self, address: SocketAddr, question: LogQuestion) -> Result<LogAnswer, AskFault> {
        let longest = Duration::from_millis(question.wait_ms) + ASK_ALLOWANCE;
        let asking = timeout(longest, self.ask_on_link(address, question)).await;
        let result = asking.unwrap_or(Err(AskFault::TimedOut));
        if result.as_ref().is_err_and(|fault| !fault.is_refusal()) {
            // A link that has fallen silent gives no answer; the next question opens another.
            self.link.borrow_mut().take();
        }
        result
    }

    async fn ask_on_link(
        &self,
        address: SocketAddr,
        question: LogQuestion,
    ) -> Result<LogAnswer, AskFault> {
        let open = self
            .link
            .borrow()
            .as_ref()
            .filter(|link| link.address == address)
            .map(|link| link.client.clone());
        let client = match open {
            Some(client) => client,
            None => {
                let link = connect(address).await?;
                let client = link.client.clone();
                *self.link.borrow_mut() = Some(link);
                client
            }
        };
        let mut client = client.ready().await?;
        let mut request = Request::post(format!("http://{address}/log"));
        if self.store.get() == SubscriberStore::OutOfReach {
            request = request.header(STORE_HEADER, STORE_OUT);
        }
        let request = request.body(());
        let (answer, mut body) = client.send_request(request.unwrap_or_default(), false)?;
        body.send_data(Bytes::from(encode_plain(&question)?), true)?;
        let answer = answer.await?;
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::TOO_MANY_REQUESTS => return Err(AskFault::OverBudget),
            _ => return Err(AskFault::NotThere),
        }
        let mut body = answer.into_body();
        let mut bytes = Vec::new();
        while let Some(piece) = body.data().await {
            let piece = piece?;
            body.flow_control().release_capacity(piece.len())?;
            bytes.extend_from_slice(&piece);
        }
        Ok(decode_plain(&bytes)?)
    }
}

/// A reader gives a newer proof soon after the wait of its own read.
fn question(topic: LogTopic, from: LogPosition, wait: Duration) -> LogQuestion {
    let wait = if wait.is_zero() { wait } else { wait + PROOF_ALLOWANCE };
    LogQuestion { topic, from: from.offset, wait_ms: wait.as_millis() as u64, epoch: from.epoch }
}

async fn connect(address: SocketAddr) -> Result<AskLink, AskFault> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connecting.map_err(|_| AskFault::TimedOut)??;
    watch_peer(&stream, SILENT_PEER)?;
    let (client, connection) = h2::client::handshake(stream).await?;
    let task = actix_rt::spawn(async move {
        if let Err(err) = connection.await {
            tracing::debug!("a link to a reader has ended: {err}");
        }
    });
    Ok(AskLink { address, client, _task: AbortOnDropHandle::new(task) })
}
