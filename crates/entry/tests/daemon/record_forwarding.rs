//! What a host that reads the store hands on to those that ask it.

use std::net::SocketAddr;

use bincode::config::standard;
use bytes::Bytes;
use fulmargate_consortium_stand::ConfigText;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_dispatch::LogAnswer;
use fulmargate_dispatch::LogQuestion;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::SubscriberStore;
use fulmargate_names::LogOffset;
use fulmargate_names::StoreEpoch;
use h2::client::SendRequest;
use http::Request;
use http::StatusCode;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::configuration::settled_askers;
use crate::store_proxy::StoreWay;
use crate::support::DaemonProcess;
use crate::support::MAX_POLLS;
use crate::support::POLL_INTERVAL;
use crate::support::TestDeployment;
use crate::support::initial_config;
use crate::support::wait_until;

/// The askers of one of two readers in a zone of 30 hosts.
const ASKERS: usize = 14;
/// The link of a small host, in Mbit/s, and the bytes that a quarter of it carries in a second.
const LINK_MBPS: f64 = 10.0;
const QUARTER_BYTES: usize = 312_500;
/// With so many routes more a configuration has some 400 KB.
const MANY_ROUTES: usize = 1_636;
/// Records of operators' topic before a reader starts: the first configuration.
const FIRST_READ: LogOffset = LogOffset(1);

/// What a reader has refused and given of operators' records.
const REFUSALS: &str = "fulmargate_hand_on_refusals_total{topic=\"operator\"}";
const GIVEN_BYTES: &str = "fulmargate_handed_on_bytes_total{topic=\"operator\"}";
const IN_REACH: SubscriberStore = SubscriberStore::InReach;

/// What a reader says to a question.
struct Reply {
    status: StatusCode,
    records: Vec<Vec<u8>>,
}

/// A link to a reader, as another router opens it.
struct Asker {
    address: SocketAddr,
    client: SendRequest<Bytes>,
}

impl Asker {
    async fn open(address: SocketAddr) -> Asker {
        let stream = TcpStream::connect(address).await.expect("a connection");
        let (client, connection) = h2::client::handshake(stream).await.expect("a link");
        tokio::spawn(connection);
        Asker { address, client }
    }

    async fn ask(&self, from: LogOffset, store: SubscriberStore) -> Reply {
        let (topic, epoch) = (LogTopic::Operator, StoreEpoch(0));
        let question = LogQuestion { topic, from, wait_ms: 2_000, epoch };
        let question = bincode::serde::encode_to_vec(question, standard()).expect("a question");
        let mut client = self.client.clone().ready().await.expect("the link stands");
        let mut request = Request::post(format!("http://{}/log", self.address));
        if store == SubscriberStore::OutOfReach {
            request = request.header("fulmargate-store", "out-of-reach");
        }
        let request = request.body(()).expect("a request");
        let (answer, mut body) = client.send_request(request, false).expect("it is sent");
        body.send_data(Bytes::from(question), true).expect("it is sent whole");
        let answer = answer.await.expect("an answer");
        let status = answer.status();
        let mut body = answer.into_body();
        let mut bytes = Vec::new();
        while let Some(piece) = body.data().await {
            let piece = piece.expect("the answer goes on");
            body.flow_control().release_capacity(piece.len()).expect("the window opens");
            bytes.extend_from_slice(&piece);
        }
        if status != StatusCode::OK {
            return Reply { status, records: Vec::new() };
        }
        let answer = bincode::serde::decode_from_slice(&bytes, standard());
        let (answer, _): (LogAnswer, usize) = answer.expect("records");
        Reply { status, records: answer.records }
    }
}

async fn open_askers(reader: &DaemonProcess) -> Vec<Asker> {
    let address = reader.address("peers").await;
    let mut askers = Vec::new();
    for _ in 0..ASKERS {
        askers.push(Asker::open(address).await);
    }
    askers
}

/// All ask at the same moment.
async fn ask_all(
    askers: Vec<Asker>,
    from: LogOffset,
    store: SubscriberStore,
) -> (Vec<Asker>, Vec<Reply>) {
    let ask = |asker: Asker| async move {
        let reply = asker.ask(from, store).await;
        (asker, reply)
    };
    let asking: Vec<_> = askers.into_iter().map(|asker| tokio::spawn(ask(asker))).collect();
    let (mut askers, mut replies) = (Vec::new(), Vec::new());
    for asked in asking {
        let (asker, reply) = asked.await.expect("it has asked");
        askers.push(asker);
        replies.push(reply);
    }
    (askers, replies)
}

async fn until_given(asker: &Asker, from: LogOffset, store: SubscriberStore) {
    for _ in 0..MAX_POLLS {
        if asker.ask(from, store).await.status == StatusCode::OK {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("in vain: the reader hands on from {from}");
}

fn knows(daemon: &DaemonProcess, version: u64) -> bool {
    let version = version.to_string();
    daemon.events("config_accepted").iter().any(|line| line["version"] == version.as_str())
}

fn large_config() -> ConfigText {
    let mut config = initial_config();
    config.version = 2;
    let more = (0..MANY_ROUTES).map(|number| format!("/more-{number}/"));
    config.routes.extend(more.map(|prefix| ConfigText::route(&prefix, "idempotent", "desk")));
    config
}

/// Answers to callers stop for seconds at the hosts that read the store, and servers cannot be reached.
/// Operators write a large configuration; a reader gives it to 14 hosts in the same moment, which fills its
/// link, so that no connection, keep-alive or answer gets through beside it.
/// A reader keeps what it hands on to a share of its link and says at once to whom it gives nothing; what
/// is small is given as before, over the same links.
#[tokio::test]
async fn a_large_configuration_does_not_fill_a_readers_link() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    // Alone in its zone and with no few hosts: it reads the store, and keeps what it reads for others.
    let changes = json!({"zone": "south", "few_hosts": 0, "link_mbps": LINK_MBPS});
    let reader = DaemonProcess::start_with_settings(deployment.store.address, &changes);
    let askers = open_askers(&reader).await;
    until_given(&askers[0], FIRST_READ, IN_REACH).await;
    let mut config = large_config();
    deployment.store.put_config(&config);
    wait_until("the reader has it", || knows(&reader, 2)).await;
    let (askers, replies) = ask_all(askers, FIRST_READ, IN_REACH).await;
    let handed_on: usize = replies.iter().flat_map(|reply| &reply.records).map(Vec::len).sum();
    assert!(handed_on <= QUARTER_BYTES, "{handed_on} bytes at once");
    for reply in &replies {
        let is_told = [StatusCode::OK, StatusCode::TOO_MANY_REQUESTS].contains(&reply.status);
        assert!(is_told, "{}", reply.status);
    }
    // Lines of another process come a moment after its answers.
    wait_until("each refusal has its line", || ASKERS <= reader.events("hand_on_refused").len())
        .await;
    assert_eq!(reader.events("hand_on_refused").len(), ASKERS, "one line each");
    assert_eq!(reader.counter(REFUSALS).await, ASKERS as u64);
    config = initial_config();
    config.version = 3;
    deployment.store.put_config(&config);
    wait_until("the reader has the next", || knows(&reader, 3)).await;
    let (_askers, replies) = ask_all(askers, LogOffset(FIRST_READ.0 + 1), IN_REACH).await;
    for reply in &replies {
        assert_eq!((reply.status, reply.records.len()), (StatusCode::OK, 1), "a small one");
    }
    let small: usize = replies.iter().flat_map(|reply| &reply.records).map(Vec::len).sum();
    assert_eq!(reader.counter(GIVEN_BYTES).await, small as u64);
    assert_eq!(reader.counter(REFUSALS).await, ASKERS as u64, "no more than before");
}

/// A host that lost the store goes on with an old configuration, and then refuses all keys.
/// Its reader has a new one that is larger than what may go at once, and refuses it each time. An asker that
/// says that the store is out of its reach gets it, one at a time; the others come when that is made up for.
#[tokio::test]
async fn a_host_without_the_store_gets_a_large_configuration() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let changes = json!({"zone": "south", "few_hosts": 0, "link_mbps": LINK_MBPS});
    let reader = DaemonProcess::start_with_settings(deployment.store.address, &changes);
    let askers = open_askers(&reader).await;
    until_given(&askers[0], FIRST_READ, IN_REACH).await;
    deployment.store.put_config(&large_config());
    wait_until("the reader has it", || knows(&reader, 2)).await;
    let (askers, replies) = ask_all(askers, FIRST_READ, SubscriberStore::OutOfReach).await;
    let is_given = |reply: &&Reply| reply.status == StatusCode::OK;
    let given: Vec<&Reply> = replies.iter().filter(is_given).collect();
    assert_eq!(given.len(), 1, "one at a time");
    assert_eq!(given[0].records.len(), 1);
    until_given(&askers[1], FIRST_READ, SubscriberStore::OutOfReach).await;
}

/// Keys are refused at a host that lost the store while its zone's readers have it.
/// The operators write a large configuration meanwhile; its readers may not hand so much on, and it cannot
/// read it itself. It says so to them, gets it, and goes on to prove its configuration.
#[tokio::test]
async fn a_host_that_lost_the_store_follows_its_readers() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let mut daemons = Vec::new();
    let mut ways = Vec::new();
    for _ in 0..3 {
        let way = StoreWay::open(deployment.store.address).await;
        let changes = json!({"zone": "south", "few_hosts": 2, "link_mbps": LINK_MBPS});
        daemons.push(DaemonProcess::start_with_settings(way.address, &changes));
        ways.push(way);
    }
    let asks = settled_askers(&daemons, 1).await;
    let asker = asks.iter().position(|asks| *asks).expect("one asks");
    ways[asker].cut();
    let mut config = large_config();
    deployment.store.put_config(&config);
    wait_until("the asker has it", || knows(&daemons[asker], 2)).await;
    config = initial_config();
    config.version = 3;
    deployment.store.put_config(&config);
    wait_until("the asker has the next", || knows(&daemons[asker], 3)).await;
}

/// All hosts of a zone read every topic from the store for seconds, for one record that was too large.
/// Their reader refuses it; taken for one that has failed it is left alone, and the other reader refuses the
/// next one. A host that was refused asks its reader again for what follows.
#[tokio::test]
async fn a_host_that_was_refused_asks_its_reader_again() {
    const WRITTEN: u64 = 6;
    // So narrow that no configuration may go.
    let changes = json!({"zone": "south", "few_hosts": 2, "link_mbps": 0.02});
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let start = |_| DaemonProcess::start_with_settings(deployment.store.address, &changes);
    let daemons: Vec<DaemonProcess> = (0..3).map(start).collect();
    let asks = settled_askers(&daemons, 1).await;
    let asker = asks.iter().position(|asks| *asks).expect("one asks");
    let mut refused = [0, 0, 0];
    for (daemon, count) in daemons.iter().zip(&mut refused) {
        *count = daemon.counter(REFUSALS).await;
    }
    for version in 2..2 + WRITTEN {
        let mut config = initial_config();
        config.version = version;
        deployment.store.put_config(&config);
        wait_until("the asker has it", || knows(&daemons[asker], version)).await;
    }
    for (daemon, count) in daemons.iter().zip(&mut refused) {
        *count = daemon.counter(REFUSALS).await - *count;
    }
    // Left alone after each refusal, the two readers would be asked once each. On a busy machine an
    // answer may come too late now and then.
    let total: u64 = refused.iter().sum();
    assert!(WRITTEN - 2 <= total, "{refused:?}");
}

/// A zone's narrow links carry its records to 14 hosts each, and wide ones next to them carry none.
/// Hosts drew their readers by name. They tell each other what their links carry, and the two with the
/// widest ones read the store, whatever their names; the others ask those.
#[tokio::test]
async fn hosts_ask_those_with_the_widest_links() {
    const MOST_SETTLED: usize = 4;
    const WANTED: [bool; 5] = [true, false, true, false, true];
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let links = [LINK_MBPS, 20.0 * LINK_MBPS, LINK_MBPS, 20.0 * LINK_MBPS, LINK_MBPS];
    let start = |link_mbps: &f64| {
        let changes = json!({"zone": "south", "few_hosts": 2, "link_mbps": link_mbps});
        DaemonProcess::start_with_settings(deployment.store.address, &changes)
    };
    let daemons: Vec<DaemonProcess> = links.iter().map(start).collect();
    let mut asks = Vec::new();
    // While they meet, others may have settled for a moment.
    for _ in 0..MOST_SETTLED {
        asks = settled_askers(&daemons, 3).await;
        if asks == WANTED {
            return;
        }
    }
    panic!("those on narrow links should ask: {asks:?}");
}
