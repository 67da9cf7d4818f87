//! Reads log records from the store, or from a zone reader: a router that reads the store for its
//! availability zone.

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
use fulmargate_consortium::StoreClient;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::LogRequest;
use fulmargate_dispatch::LogResponse;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::RecordSource;
use fulmargate_dispatch::StoreAccess;
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
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use crate::control::fleet_codec::STORE_STATE_HEADER;
use crate::control::fleet_codec::STORE_UNREACHABLE;
use crate::control::fleet_codec::decode_payload;
use crate::control::fleet_codec::encode_payload;
use crate::control::fleet_watcher::SharedFleetState;
use crate::control::record_cache::RecordCache;
use crate::control::topic_listing::ListedPage;
use crate::control::topic_listing::TopicListing;
use crate::sockets::PeerTimeout;
use crate::sockets::set_peer_timeout;
use crate::state::SharedState;
use crate::state::boot_now;

/// Added to the wait of a request to a zone reader, so that the reader's own long poll returns
/// within it.
const READER_POLL_GRACE: Duration = Duration::from_millis(250);
/// Added to the wait for the response timeout of a router in the same zone.
const REQUEST_GRACE: Duration = Duration::from_millis(300);
/// Maximum retry delay of hosts that read the store themselves. At most ten of them call three topics four
/// times a second then, well below the rates of the store.
const READER_MAX_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum retry delay of hosts that read through a zone reader. Longer, so that they don't
/// overload the store when no reader answers.
const READER_CLIENT_MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// How long a zone reader that failed to answer is not asked again. Without it, a reader that is cut off
/// would cost each host of its zone a call of the store for each read.
const FAILED_READER_COOLDOWN: Duration = Duration::from_millis(2_000);
/// Longest wait of a new host for the list of members, and how often it looks.
const MAX_MEMBERS_WAIT: Duration = Duration::from_millis(300);
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Upper bound of a reply of a zone reader. Well above a page of the store.
const MAX_REPLY_BYTES: usize = 8 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const PEER_TIMEOUT: PeerTimeout =
    PeerTimeout { unacknowledged: Duration::from_secs(1), probe_interval: Duration::from_secs(1) };

/// Records, and the time up to which they are known to be complete.
pub(crate) struct SourcePage {
    pub(crate) records: Vec<Vec<u8>>,
    /// Send time of the read from the store that reached the end of the topic; `None` if there is
    /// more to read.
    pub(crate) complete_as_of: Option<BootTime>,
    /// Time until which nothing more was written; `None` if there is more to read. Later than `complete_as_of` if the
    /// store has waited for records without result.
    pub(crate) unchanged_until: Option<BootTime>,
}

/// Why another router returned no records.
#[derive(Debug, Display, Error, From)]
enum RequestError {
    #[display("{_0}")]
    Io(std::io::Error),
    #[display("{_0}")]
    Stream(h2::Error),
    #[display("{_0}")]
    Encode(bincode::error::EncodeError),
    #[display("{_0}")]
    Decode(bincode::error::DecodeError),
    #[display("request timed out")]
    TimedOut,
    #[display("requested records not available")]
    Unavailable,
    #[display("the reply is too long")]
    TooLong,
    #[display("forwarding budget exhausted")]
    OverBudget,
}

impl RequestError {
    /// Whether a healthy zone reader refused the request because of its budget. It is not marked as
    /// failed, as hosts would then stop asking both readers and read the store.
    fn is_refusal(&self) -> bool {
        matches!(self, RequestError::OverBudget)
    }
}

struct ReaderConnection {
    address: SocketAddr,
    client: SendRequest<Bytes>,
    _task: AbortOnDropHandle<()>,
}

/// Source of log records for the watchers.
#[derive(Clone)]
pub(crate) struct LogSource {
    state: Arc<SharedState>,
    client: StoreClient,
    fleet_state: SharedFleetState,
    record_cache: Rc<RecordCache>,
    connection: Rc<RefCell<Option<ReaderConnection>>>,
    /// Zone readers that failed to answer, and when.
    failed_readers: Rc<RefCell<IndexMap<HostName, Instant>>>,
    /// State of the store at this host's last direct read, which may be long ago.
    store_state: Rc<Cell<StoreAccess>>,
}

impl LogSource {
    pub(crate) fn new(
        state: Arc<SharedState>,
        client: StoreClient,
        fleet_state: SharedFleetState,
        record_cache: Rc<RecordCache>,
    ) -> LogSource {
        LogSource {
            state,
            client,
            fleet_state,
            record_cache,
            connection: Rc::default(),
            failed_readers: Rc::default(),
            store_state: Rc::new(Cell::new(StoreAccess::Reachable)),
        }
    }

    /// The store's client, for requests that only the store can answer.
    pub(crate) fn store(&self) -> &StoreClient {
        &self.client
    }

    /// Upper bound of the delay between failing calls.
    pub(crate) fn max_retry_delay(&self) -> Duration {
        match self.record_source() {
            RecordSource::Store => READER_MAX_RETRY_DELAY,
            RecordSource::Routers(_) => READER_CLIENT_MAX_RETRY_DELAY,
        }
    }

    fn record_source(&self) -> RecordSource {
        let settings = &self.state.settings;
        let peers = self.zone_peers();
        let own = ZonePeer { host: settings.host.clone(), link_kbps: settings.link_kbps() };
        record_source(&own, &peers, settings.few_hosts)
    }

    /// Reads the next page of a listing from the store.
    pub(crate) async fn next_page(
        &self,
        listing: &mut TopicListing,
    ) -> Result<ListedPage, StoreError> {
        let page = listing.next_page(&self.client).await?;
        self.state.record_epoch(page.start.end.epoch);
        Ok(page)
    }

    /// Whether this host reads the store itself.
    pub(crate) fn is_reader(&self) -> bool {
        matches!(self.record_source(), RecordSource::Store)
    }

    /// Reads records from a position on. Returns as soon as there are any or the wait is over;
    /// fails as soon as any call has shown that the store was restored from a backup.
    pub(crate) async fn read(
        &self,
        topic: LogTopic,
        from: LogPosition,
        wait: Duration,
        grace: Duration,
    ) -> Result<SourcePage, StoreError> {
        tokio::select! {
            page = self.read_any_source(topic, from, wait, grace) => page,
            epoch = self.state.epoch_after(from.epoch) => Err(StoreError::Restored { epoch }),
        }
    }

    async fn read_any_source(
        &self,
        topic: LogTopic,
        from: LogPosition,
        wait: Duration,
        grace: Duration,
    ) -> Result<SourcePage, StoreError> {
        if topic != LogTopic::Fleet {
            self.wait_for_members().await;
        }
        if let Some((reader, address)) = self.select_reader() {
            let request = log_request(topic, from, wait);
            let requested_at = boot_now();
            match self.request_records(address, request).await {
                Ok(answer) => {
                    metrics::counter!("fulmargate_log_reads_total", "source" => "router")
                        .increment(1);
                    let complete_as_of = Some(answer.complete_as_of(requested_at));
                    return Ok(SourcePage {
                        records: answer.records,
                        complete_as_of,
                        unchanged_until: complete_as_of,
                    });
                }
                Err(err) => {
                    tracing::debug!(
                        "log request to {reader} failed, reading the store instead: {err}"
                    );
                    if !err.is_refusal() {
                        self.failed_readers.borrow_mut().insert(reader, Instant::now());
                    }
                }
            }
        }
        self.read_store(topic, from, wait, grace).await
    }

    /// Waits until the members are known, among whom a new host finds its readers, but not for long.
    async fn wait_for_members(&self) {
        let deadline = Instant::now() + MAX_MEMBERS_WAIT;
        while !self.fleet_state.borrow().is_read() && Instant::now() < deadline {
            sleep(MEMBERS_POLL_INTERVAL).await;
        }
    }

    /// Reads from the store itself, and caches the result if other hosts may request it.
    pub(crate) async fn read_store(
        &self,
        topic: LogTopic,
        from: LogPosition,
        wait: Duration,
        grace: Duration,
    ) -> Result<SourcePage, StoreError> {
        let sent = boot_now();
        let result = self.client.read(topic, from, wait, wait + grace).await;
        self.store_state.set(match &result {
            Ok(_) | Err(StoreError::Deleted { .. } | StoreError::Restored { .. }) => {
                StoreAccess::Reachable
            }
            Err(_) => StoreAccess::Unreachable,
        });
        if let Err(StoreError::Restored { epoch }) = &result {
            self.state.record_epoch(*epoch);
        }
        let page = result?;
        metrics::counter!("fulmargate_log_reads_total", "source" => "store").increment(1);
        let is_complete = page.end <= from.after(page.records.len()).offset;
        if self.may_serve_peers() {
            self.record_cache.put(topic, from, &page.records, is_complete.then_some(sent));
        }
        let has_waited = page.records.is_empty() && wait <= boot_now().since(sent);
        let unchanged_until = if has_waited { sent.after(wait) } else { sent };
        Ok(SourcePage {
            records: page.records,
            complete_as_of: is_complete.then_some(sent),
            unchanged_until: is_complete.then_some(unchanged_until),
        })
    }

    /// Whether other hosts may request records from this one.
    fn may_serve_peers(&self) -> bool {
        self.state.settings.few_hosts < self.zone_peers().len() + 1
    }

    /// The other hosts of this zone: live ones and recently started ones. The latter let a host
    /// that has just started find a reader before it has received any gossip.
    fn zone_peers(&self) -> Vec<ZonePeer> {
        let settings = &self.state.settings;
        let mut peers = self.state.servers().zone_peers(&settings.zone, Instant::now());
        let live_hosts: IndexSet<HostName> = peers.iter().map(|peer| peer.host.clone()).collect();
        let fleet_state = self.fleet_state.borrow();
        let recent = fleet_state.new_members(&settings.zone, boot_now());
        peers.extend(
            recent.filter(|peer| peer.host != settings.host && !live_hosts.contains(&peer.host)),
        );
        peers
    }

    /// The zone reader to request from; `None` if this host reads the store or all zone readers
    /// have failed recently.
    fn select_reader(&self) -> Option<(HostName, SocketAddr)> {
        let RecordSource::Routers(readers) = self.record_source() else { return None };
        let mut failed_readers = self.failed_readers.borrow_mut();
        failed_readers.retain(|_, at| at.elapsed() < FAILED_READER_COOLDOWN);
        let reader = readers.into_iter().find(|reader| !failed_readers.contains_key(reader))?;
        let address = self.address_of(&reader)?;
        Some((reader, address))
    }

    fn address_of(&self, host: &HostName) -> Option<SocketAddr> {
        self.fleet_state.borrow().address_of(host)
    }

    async fn request_records(
        &self,
        address: SocketAddr,
        request: LogRequest,
    ) -> Result<LogResponse, RequestError> {
        let response_timeout = Duration::from_millis(request.wait_ms) + REQUEST_GRACE;
        let outcome = timeout(response_timeout, self.request_on_connection(address, request)).await;
        let result = outcome.unwrap_or(Err(RequestError::TimedOut));
        if result.as_ref().is_err_and(|err| !err.is_refusal()) {
            // The connection may be dead; the next request opens another.
            self.connection.borrow_mut().take();
        }
        result
    }

    async fn request_on_connection(
        &self,
        address: SocketAddr,
        request: LogRequest,
    ) -> Result<LogResponse, RequestError> {
        let open = self
            .connection
            .borrow()
            .as_ref()
            .filter(|connection| connection.address == address)
            .map(|connection| connection.client.clone());
        let client = match open {
            Some(client) => client,
            None => {
                let connection = connect(address).await?;
                let client = connection.client.clone();
                *self.connection.borrow_mut() = Some(connection);
                client
            }
        };
        let mut client = client.ready().await?;
        let mut http_request = Request::post(format!("http://{address}/log"));
        if self.store_state.get() == StoreAccess::Unreachable {
            http_request = http_request.header(STORE_STATE_HEADER, STORE_UNREACHABLE);
        }
        let http_request = http_request.body(());
        let (answer, mut body) = client.send_request(http_request.unwrap_or_default(), false)?;
        body.send_data(Bytes::from(encode_payload(&request)?), true)?;
        let answer = answer.await?;
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::TOO_MANY_REQUESTS => return Err(RequestError::OverBudget),
            _ => return Err(RequestError::Unavailable),
        }
        let mut body = answer.into_body();
        let mut bytes = Vec::new();
        while let Some(chunk) = body.data().await {
            let chunk = chunk?;
            body.flow_control().release_capacity(chunk.len())?;
            bytes.extend_from_slice(&chunk);
            if MAX_REPLY_BYTES < bytes.len() {
                return Err(RequestError::TooLong);
            }
        }
        Ok(decode_payload(&bytes)?)
    }
}

/// Builds the request to a zone reader for a read with this wait.
fn log_request(topic: LogTopic, from: LogPosition, wait: Duration) -> LogRequest {
    let wait = if wait.is_zero() { wait } else { wait + READER_POLL_GRACE };
    LogRequest { topic, from: from.offset, wait_ms: wait.as_millis() as u64, epoch: from.epoch }
}

async fn connect(address: SocketAddr) -> Result<ReaderConnection, RequestError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connecting.map_err(|_| RequestError::TimedOut)??;
    set_peer_timeout(&stream, PEER_TIMEOUT)?;
    let (client, connection) = h2::client::handshake(stream).await?;
    let task = actix_rt::spawn(async move {
        if let Err(err) = connection.await {
            tracing::debug!("connection to a reader failed: {err}");
        }
    });
    Ok(ReaderConnection { address, client, _task: AbortOnDropHandle::new(task) })
}
