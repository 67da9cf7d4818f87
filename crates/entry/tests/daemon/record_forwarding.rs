//! Hosts that read the store and forward its records to other routers.

use std::net::SocketAddr;

use bincode::config::standard;
use bytes::Bytes;
use fulmargate_consortium_stand::ConfigText;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_dispatch::LogRequest;
use fulmargate_dispatch::LogResponse;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::StoreAccess;
use fulmargate_names::LogOffset;
use fulmargate_names::StoreEpoch;
use h2::client::SendRequest;
use http::Request;
use http::StatusCode;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::configuration::wait_for_indirect_readers;
use crate::store_proxy::StoreProxy;
use crate::support::DaemonProcess;
use crate::support::MAX_POLLS;
use crate::support::POLL_INTERVAL;
use crate::support::TestDeployment;
use crate::support::initial_config;
use crate::support::wait_until;

/// Subscribers of one of two readers in a zone of 30 hosts.
const SUBSCRIBER_COUNT: usize = 14;
/// Bandwidth of a small host, in Mbit/s, and the bytes that a quarter of it carries in one second.
const LINK_MBPS: f64 = 10.0;
const MAX_FORWARDED_BYTES: usize = 312_500;
/// Extra routes that make a configuration about 400 KB large.
const EXTRA_ROUTES: usize = 1_636;
/// Offset after the initial configuration, the only record of the operators' topic when a reader starts.
const FIRST_UNREAD: LogOffset = LogOffset(1);

/// Counters of a reader for the operators' topic.
const REFUSED_READS: &str = "fulmargate_hand_on_refusals_total{topic=\"operator\"}";
const FORWARDED_BYTES: &str = "fulmargate_handed_on_bytes_total{topic=\"operator\"}";
const STORE_IN_REACH: StoreAccess = StoreAccess::Reachable;

struct ReadReply {
    status: StatusCode,
    records: Vec<Vec<u8>>,
}

/// A connection to a reader, as another router opens it.
struct Subscriber {
    address: SocketAddr,
    client: SendRequest<Bytes>,
}

impl Subscriber {
    async fn open(address: SocketAddr) -> Subscriber {
        let stream = TcpStream::connect(address).await.expect("connect to the reader");
        let (client, connection) = h2::client::handshake(stream).await.expect("HTTP/2 handshake");
        tokio::spawn(connection);
        Subscriber { address, client }
    }

    async fn read(&self, from: LogOffset, store: StoreAccess) -> ReadReply {
        let (topic, epoch) = (LogTopic::Operator, StoreEpoch(0));
        let query = LogRequest { topic, from, wait_ms: 2_000, epoch };
        let query = bincode::serde::encode_to_vec(query, standard()).expect("encode the query");
        let mut client = self.client.clone().ready().await.expect("HTTP/2 connection ready");
        let mut request = Request::post(format!("http://{}/log", self.address));
        if store == StoreAccess::Unreachable {
            request = request.header("fulmargate-store", "out-of-reach");
        }
        let request = request.body(()).expect("build the request");
        let (answer, mut body) =
            client.send_request(request, false).expect("send the request head");
        body.send_data(Bytes::from(query), true).expect("send the request body");
        let answer = answer.await.expect("a response from the reader");
        let status = answer.status();
        let mut body = answer.into_body();
        let mut bytes = Vec::new();
        while let Some(chunk) = body.data().await {
            let chunk = chunk.expect("read the response body");
            body.flow_control()
                .release_capacity(chunk.len())
                .expect("release flow control capacity");
            bytes.extend_from_slice(&chunk);
        }
        if status != StatusCode::OK {
            return ReadReply { status, records: Vec::new() };
        }
        let answer = bincode::serde::decode_from_slice(&bytes, standard());
        let (answer, _): (LogResponse, usize) = answer.expect("decode the records");
        ReadReply { status, records: answer.records }
    }
}

async fn open_subscribers(reader: &DaemonProcess) -> Vec<Subscriber> {
    let address = reader.address("peers").await;
    let mut subscribers = Vec::new();
    for _ in 0..SUBSCRIBER_COUNT {
        subscribers.push(Subscriber::open(address).await);
    }
    subscribers
}

/// All subscribers read from `from` at the same time.
async fn read_concurrently(
    subscribers: Vec<Subscriber>,
    from: LogOffset,
    store: StoreAccess,
) -> (Vec<Subscriber>, Vec<ReadReply>) {
    let read = |subscriber: Subscriber| async move {
        let reply = subscriber.read(from, store).await;
        (subscriber, reply)
    };
    let reads: Vec<_> =
        subscribers.into_iter().map(|subscriber| tokio::spawn(read(subscriber))).collect();
    let (mut subscribers, mut replies) = (Vec::new(), Vec::new());
    for completed in reads {
        let (subscriber, reply) = completed.await.expect("the read task completes");
        subscribers.push(subscriber);
        replies.push(reply);
    }
    (subscribers, replies)
}

async fn wait_until_forwarded(subscriber: &Subscriber, from: LogOffset, store: StoreAccess) {
    for _ in 0..MAX_POLLS {
        if subscriber.read(from, store).await.status == StatusCode::OK {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting until the reader forwards from offset {from}");
}

fn has_accepted(daemon: &DaemonProcess, version: u64) -> bool {
    let version = version.to_string();
    daemon.events("config_accepted").iter().any(|line| line["version"] == version.as_str())
}

fn large_config() -> ConfigText {
    let mut config = initial_config();
    config.version = 2;
    let prefixes = (0..EXTRA_ROUTES).map(|number| format!("/more-{number}/"));
    config.routes.extend(prefixes.map(|prefix| ConfigText::route(&prefix, "idempotent", "desk")));
    config
}

/// Guards against a zone reader saturating its link when all hosts of its zone request a large configuration
/// at once.
#[tokio::test]
async fn forwarding_a_large_configuration_stays_within_the_bandwidth_limit() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    // With `few_hosts` 0 the only host of a zone reads the store and keeps the records for subscribers.
    let overrides = json!({"zone": "south", "few_hosts": 0, "link_mbps": LINK_MBPS});
    let reader = DaemonProcess::start_with_settings(deployment.store.address, &overrides);
    let subscribers = open_subscribers(&reader).await;
    wait_until_forwarded(&subscribers[0], FIRST_UNREAD, STORE_IN_REACH).await;
    let mut config = large_config();
    deployment.store.put_config(&config);
    wait_until("the reader has the large configuration", || has_accepted(&reader, 2)).await;
    let (subscribers, replies) = read_concurrently(subscribers, FIRST_UNREAD, STORE_IN_REACH).await;
    let forwarded_bytes: usize =
        replies.iter().flat_map(|reply| &reply.records).map(Vec::len).sum();
    assert!(forwarded_bytes <= MAX_FORWARDED_BYTES, "{forwarded_bytes} bytes forwarded at once");
    for reply in &replies {
        let is_expected = [StatusCode::OK, StatusCode::TOO_MANY_REQUESTS].contains(&reply.status);
        assert!(is_expected, "{}", reply.status);
    }
    // The daemon's log records arrive after its responses.
    wait_until("each refusal is logged", || {
        SUBSCRIBER_COUNT <= reader.events("hand_on_refused").len()
    })
    .await;
    assert_eq!(
        reader.events("hand_on_refused").len(),
        SUBSCRIBER_COUNT,
        "one record for each refusal"
    );
    assert_eq!(reader.counter(REFUSED_READS).await, SUBSCRIBER_COUNT as u64);
    config = initial_config();
    config.version = 3;
    deployment.store.put_config(&config);
    wait_until("the reader has version 3", || has_accepted(&reader, 3)).await;
    let (_subscribers, replies) =
        read_concurrently(subscribers, LogOffset(FIRST_UNREAD.0 + 1), STORE_IN_REACH).await;
    for reply in &replies {
        assert_eq!(
            (reply.status, reply.records.len()),
            (StatusCode::OK, 1),
            "a small record is forwarded"
        );
    }
    let small_bytes: usize = replies.iter().flat_map(|reply| &reply.records).map(Vec::len).sum();
    assert_eq!(reader.counter(FORWARDED_BYTES).await, small_bytes as u64);
    assert_eq!(reader.counter(REFUSED_READS).await, SUBSCRIBER_COUNT as u64, "no further refusals");
}

/// A configuration over the bandwidth limit must still reach subscribers that cannot read the store
/// themselves: the reader sends it to one at a time.
#[tokio::test]
async fn a_subscriber_without_the_store_receives_a_large_configuration() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let overrides = json!({"zone": "south", "few_hosts": 0, "link_mbps": LINK_MBPS});
    let reader = DaemonProcess::start_with_settings(deployment.store.address, &overrides);
    let subscribers = open_subscribers(&reader).await;
    wait_until_forwarded(&subscribers[0], FIRST_UNREAD, STORE_IN_REACH).await;
    deployment.store.put_config(&large_config());
    wait_until("the reader has the large configuration", || has_accepted(&reader, 2)).await;
    let (subscribers, replies) =
        read_concurrently(subscribers, FIRST_UNREAD, StoreAccess::Unreachable).await;
    let is_successful = |reply: &&ReadReply| reply.status == StatusCode::OK;
    let successful: Vec<&ReadReply> = replies.iter().filter(is_successful).collect();
    assert_eq!(successful.len(), 1, "one subscriber at a time");
    assert_eq!(successful[0].records.len(), 1);
    wait_until_forwarded(&subscribers[1], FIRST_UNREAD, StoreAccess::Unreachable).await;
}

/// A host that loses its connection to the store must still receive configurations, also one over the
/// bandwidth limit of its readers.
#[tokio::test]
async fn a_host_that_lost_the_store_receives_updates_from_readers() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let mut daemons = Vec::new();
    let mut proxies = Vec::new();
    for _ in 0..3 {
        let proxy = StoreProxy::open(deployment.store.address).await;
        let overrides = json!({"zone": "south", "few_hosts": 2, "link_mbps": LINK_MBPS});
        daemons.push(DaemonProcess::start_with_settings(proxy.address, &overrides));
        proxies.push(proxy);
    }
    let reads_indirectly = wait_for_indirect_readers(&daemons, 1).await;
    let subscriber = reads_indirectly
        .iter()
        .position(|reads_indirectly| *reads_indirectly)
        .expect("one daemon reads indirectly");
    proxies[subscriber].disconnect();
    let mut config = large_config();
    deployment.store.put_config(&config);
    wait_until("the subscriber has the configuration", || has_accepted(&daemons[subscriber], 2))
        .await;
    config = initial_config();
    config.version = 3;
    deployment.store.put_config(&config);
    wait_until("the subscriber has version 3", || has_accepted(&daemons[subscriber], 3)).await;
}

/// A refusal must not count as a failure of the reader: if it did, subscribers would go from one reader to
/// the next and then read every topic from the store.
#[tokio::test]
async fn a_refused_subscriber_keeps_its_reader() {
    const CONFIG_COUNT: u64 = 6;
    // The bandwidth limit is too low for any configuration.
    let overrides = json!({"zone": "south", "few_hosts": 2, "link_mbps": 0.02});
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let start = |_| DaemonProcess::start_with_settings(deployment.store.address, &overrides);
    let daemons: Vec<DaemonProcess> = (0..3).map(start).collect();
    let reads_indirectly = wait_for_indirect_readers(&daemons, 1).await;
    let subscriber = reads_indirectly
        .iter()
        .position(|reads_indirectly| *reads_indirectly)
        .expect("one daemon reads indirectly");
    let mut refused = [0, 0, 0];
    for (daemon, count) in daemons.iter().zip(&mut refused) {
        *count = daemon.counter(REFUSED_READS).await;
    }
    for version in 2..2 + CONFIG_COUNT {
        let mut config = initial_config();
        config.version = version;
        deployment.store.put_config(&config);
        wait_until("the subscriber has the configuration", || {
            has_accepted(&daemons[subscriber], version)
        })
        .await;
    }
    for (daemon, count) in daemons.iter().zip(&mut refused) {
        *count = daemon.counter(REFUSED_READS).await - *count;
    }
    // If refusals counted as failures, each of the two readers would refuse once. Some replies may time
    // out on a busy machine.
    let total_refused: u64 = refused.iter().sum();
    assert!(CONFIG_COUNT - 2 <= total_refused, "refused reads by daemon: {refused:?}");
}

/// Readers must be chosen by the bandwidth that hosts report, and not by name.
#[tokio::test]
async fn hosts_with_the_highest_bandwidth_read_the_store() {
    const MAX_ATTEMPTS: usize = 4;
    const EXPECTED: [bool; 5] = [true, false, true, false, true];
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let links = [LINK_MBPS, 20.0 * LINK_MBPS, LINK_MBPS, 20.0 * LINK_MBPS, LINK_MBPS];
    let start = |link_mbps: &f64| {
        let overrides = json!({"zone": "south", "few_hosts": 2, "link_mbps": link_mbps});
        DaemonProcess::start_with_settings(deployment.store.address, &overrides)
    };
    let daemons: Vec<DaemonProcess> = links.iter().map(start).collect();
    let mut reads_indirectly = Vec::new();
    // During discovery other daemons may briefly be the readers.
    for _ in 0..MAX_ATTEMPTS {
        reads_indirectly = wait_for_indirect_readers(&daemons, 3).await;
        if reads_indirectly == EXPECTED {
            return;
        }
    }
    panic!("daemons on slow links should read indirectly: {reads_indirectly:?}");
}
