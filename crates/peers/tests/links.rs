//! HTTP/2 links on the loopback interface, in real time.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use fulmargate_names::ConfigVersion;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::LogOffset;
use fulmargate_names::ServerName;
use fulmargate_names::ZoneName;
use fulmargate_peers::IncarnationEndReason;
use fulmargate_peers::MemberRecord;
use fulmargate_peers::MemberState;
use fulmargate_peers::PeerConf;
use fulmargate_peers::PeerHandle;
use fulmargate_peers::PeerItem;
use fulmargate_peers::PeerNet;
use fulmargate_peers::PeerNews;
use fulmargate_peers::PeerPace;
use fulmargate_peers::PeerQuestion;
use fulmargate_peers::QueryError;
use fulmargate_peers::wire;
use h2::RecvStream;
use h2::SendStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::sync::CancellationToken;

/// Time after which a wait fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

struct Host {
    handle: PeerHandle,
    news: UnboundedReceiver<PeerNews>,
    token: CancellationToken,
}

fn conf(name: &str, seeds: &[SocketAddr]) -> PeerConf {
    PeerConf {
        fleet: "links".to_owned(),
        host: HostName::new(name),
        incarnation: Incarnation(1),
        zone: ZoneName::new("milano-nord"),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        advertise: None,
        seeds: seeds.to_vec(),
        random_seed: 5,
        pace: PeerPace::default(),
    }
}

fn start(conf: &PeerConf) -> Host {
    let token = CancellationToken::new();
    let (handle, news) = PeerNet::start(conf, token.clone()).expect("the port is free");
    Host { handle, news, token }
}

/// Starts hosts with these names, each with the first one as its seed.
fn start_hosts(names: &[&str]) -> Vec<Host> {
    let mut hosts: Vec<Host> = Vec::new();
    for name in names {
        let seeds: Vec<SocketAddr> =
            hosts.iter().map(|host| host.handle.address()).take(1).collect();
        hosts.push(start(&conf(name, &seeds)));
    }
    hosts
}

async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let result = tokio::time::timeout(WAIT_TIMEOUT, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    assert!(result.await.is_ok(), "timed out waiting for: {description}");
}

impl Host {
    fn state_of(&self, name: &str) -> Option<MemberState> {
        let members = self.handle.members();
        members.iter().find(|member| member.host.as_str() == name).map(|member| member.state)
    }

    fn has_item(&self, item: &PeerItem) -> bool {
        self.handle.items().iter().any(|record| record.item == *item)
    }

    async fn wait_for_news(&mut self, description: &str, matches: impl Fn(&PeerNews) -> bool) {
        let result = tokio::time::timeout(WAIT_TIMEOUT, async {
            while let Some(news) = self.news.recv().await {
                if matches(&news) {
                    return;
                }
            }
            panic!("news channel closed while waiting for: {description}");
        });
        assert!(result.await.is_ok(), "timed out waiting for: {description}");
    }

    async fn wait_until_alive(&self, name: &str) {
        wait_until(name, || self.state_of(name) == Some(MemberState::Alive)).await;
    }
}

fn server_leaving(server: &str) -> PeerItem {
    PeerItem::ServerLeaving { server: ServerName::new(server), incarnation: Incarnation(7) }
}

#[actix_rt::test]
async fn hosts_discover_each_other_and_share_items() {
    let mut hosts = start_hosts(&["a", "b", "c"]);
    hosts[2].wait_for_news("joined", |news| matches!(news, PeerNews::Joined { .. })).await;
    for (host, others) in hosts.iter().zip([["b", "c"], ["a", "c"], ["a", "b"]]) {
        host.wait_until_alive(others[0]).await;
        host.wait_until_alive(others[1]).await;
    }
    hosts[1].handle.put(server_leaving("engine-1"));
    wait_until("engine-1", || hosts.iter().all(|host| host.has_item(&server_leaving("engine-1"))))
        .await;
    hosts[0].handle.item_sender().send(server_leaving("engine-2")).expect("the loop runs");
    wait_until("engine-2", || hosts.iter().all(|host| host.has_item(&server_leaving("engine-2"))))
        .await;
    let version = ConfigVersion(3);
    hosts[0].handle.put(PeerItem::ConfigInForce { host: HostName::new("a"), version });
    hosts[2]
        .wait_for_news("ahead", |news| {
            matches!(news, PeerNews::ConfigAhead { version: ConfigVersion(3), .. })
        })
        .await;
    let (sent, received) = hosts[0].handle.byte_counts()["server_leaving"];
    assert!(sent > 0 && received > 0);
    let counters = hosts[0].handle.counters();
    assert!(counters.wire_sent.load(Ordering::Relaxed) > 0);
}

#[actix_rt::test]
async fn queries_are_answered() {
    let hosts = start_hosts(&["a", "b"]);
    hosts[1].wait_until_alive("a").await;
    let a = HostName::new("a");
    let no_answer = hosts[1].handle.ask(&a, PeerQuestion::WarmState).await;
    assert!(matches!(no_answer, Err(QueryError::NoAnswer)), "{no_answer:?}");
    hosts[0].handle.set_answerer(|question| match question {
        PeerQuestion::ConfigRecords { from_offset } => Some(Bytes::from(from_offset.0.to_string())),
        PeerQuestion::WarmState => Some(Bytes::from(vec![7; 5_000_000])),
    });
    let records = PeerQuestion::ConfigRecords { from_offset: LogOffset(42) };
    assert_eq!(hosts[1].handle.ask(&a, records).await.expect("an answer"), Bytes::from("42"));
    let state = hosts[1].handle.ask(&a, PeerQuestion::WarmState).await.expect("an answer");
    assert_eq!(state, Bytes::from(vec![7; 5_000_000]));
    let unknown_host = hosts[1].handle.ask(&HostName::new("z"), records).await;
    assert!(matches!(unknown_host, Err(QueryError::UnknownHost)), "{unknown_host:?}");
}

/// While a zone restarts, all its hosts may query the same host for several megabytes of state.
/// That host must not hold all responses in memory at once.
#[actix_rt::test]
async fn concurrent_queries_beyond_the_limit_are_rejected_as_busy() {
    let hosts = start_hosts(&["a", "b"]);
    hosts[1].wait_until_alive("a").await;
    hosts[0].handle.set_answerer(|_| Some(Bytes::from(vec![7; 8_000_000])));
    let a = HostName::new("a");
    let queries = (0..24).map(|_| hosts[1].handle.ask(&a, PeerQuestion::WarmState));
    let answers = futures_util::future::join_all(queries).await;
    let rejected = answers.iter().filter(|answer| matches!(answer, Err(QueryError::Busy))).count();
    let answered = answers.iter().filter(|answer| answer.is_ok()).count();
    assert_eq!(
        rejected + answered,
        24,
        "{:?}",
        answers.iter().filter_map(|answer| answer.as_ref().err())
    );
    assert!(rejected > 0 && answered > 0, "{rejected} rejected, {answered} answered");
    assert!(hosts[1].handle.ask(&a, PeerQuestion::WarmState).await.is_ok());
}

/// A host of the same fleet may reuse the address of a dead one. It must not answer queries that
/// are meant for the dead host.
#[actix_rt::test]
async fn a_query_is_rejected_by_another_host_at_the_same_address() {
    let hosts = start_hosts(&["a", "b"]);
    hosts[1].wait_until_alive("a").await;
    let address = hosts[0].handle.address();
    hosts[0].token.cancel();
    let mut other = conf("c", &[]);
    other.listen = address;
    let other = rebind(&other).await;
    other.handle.set_answerer(|_| Some(Bytes::from("answer from c")));
    let answer = hosts[1].handle.ask(&HostName::new("a"), PeerQuestion::WarmState).await;
    assert!(matches!(answer, Err(QueryError::WrongHost)), "{answer:?}");
}

/// Starts a host on the address of a stopped one, as soon as its port is free.
async fn rebind(conf: &PeerConf) -> Host {
    let bound = tokio::time::timeout(WAIT_TIMEOUT, async {
        loop {
            let token = CancellationToken::new();
            if let Ok((handle, news)) = PeerNet::start(conf, token.clone()) {
                return Host { handle, news, token };
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    bound.await.expect("the port becomes free")
}

#[actix_rt::test]
async fn a_planned_stop_is_announced_and_a_restarted_host_rejoins() {
    let mut hosts = start_hosts(&["a", "b", "c"]);
    hosts[0].wait_until_alive("c").await;
    hosts[1].wait_until_alive("c").await;
    let address = hosts[2].handle.address();
    hosts[2].handle.leave().await;
    hosts[2].token.cancel();
    let is_left = |news: &PeerNews| {
        matches!(news, PeerNews::IncarnationOver { reason: IncarnationEndReason::Left, .. })
    };
    hosts[0].wait_for_news("left", is_left).await;
    hosts[1].wait_for_news("left", is_left).await;
    let mut restarted = conf("c", &[hosts[0].handle.address()]);
    restarted.listen = address;
    restarted.incarnation = Incarnation(2);
    let _restarted = rebind(&restarted).await;
    hosts[0].wait_until_alive("c").await;
    hosts[1].wait_until_alive("c").await;
}

/// A seed address may belong to a host of another fleet. A link between them would mix the
/// configurations and crash verdicts of both fleets.
#[actix_rt::test]
async fn a_host_of_another_fleet_is_rejected() {
    let hosts = start_hosts(&["a", "b"]);
    let mut foreign_host = conf("x", &[hosts[0].handle.address()]);
    foreign_host.fleet = "other".to_owned();
    let foreign_host = start(&foreign_host);
    let counters = foreign_host.handle.counters();
    wait_until("refused", || counters.links_refused.load(Ordering::Relaxed) > 0).await;
    hosts[0].wait_until_alive("b").await;
    assert_eq!(hosts[0].state_of("x"), None);
    assert_eq!(foreign_host.state_of("a"), None);
}

/// A peer driven by the test. It has sent `Hello`.
struct RawPeer {
    stream: SendStream<Bytes>,
    body: RecvStream,
}

async fn raw_peer(address: SocketAddr, name: &str, window_size: u32) -> RawPeer {
    let stream = tokio::net::TcpStream::connect(address).await.expect("it listens");
    let mut builder = h2::client::Builder::new();
    let (client, connection) =
        builder.initial_window_size(window_size).handshake(stream).await.expect("h2");
    actix_rt::spawn(async move {
        let _ = connection.await;
    });
    let request = http::Request::post("/exchange").body(()).expect("a request");
    let mut client = client.ready().await.expect("ready");
    let (answer, mut stream) = client.send_request(request, false).expect("sent");
    let member = MemberRecord {
        host: HostName::new(name),
        incarnation: Incarnation(1),
        heartbeat: 0,
        state: MemberState::Alive,
        zone: ZoneName::new("milano-nord"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        age_ms: 0,
    };
    let hello = wire::PeerMessage::Hello { fleet: "links".to_owned(), member };
    stream.send_data(frame(hello), false).expect("sent");
    let body = answer.await.expect("an answer").into_body();
    RawPeer { stream, body }
}

fn frame(message: wire::PeerMessage) -> Bytes {
    wire::encode_frame(&wire::PeerFrame { config_version: ConfigVersion(0), message })
}

/// Incompatible or corrupted frames must close the link on which they arrive, and no other.
#[actix_rt::test]
async fn an_invalid_frame_closes_only_its_own_link() {
    let cases: [(&str, &[u8]); 5] = [
        ("another version", &[0, 0, 0, 3, 99, 0, 4]),
        ("an unknown message", &[0, 0, 0, 3, 1, 0, 200]),
        ("too long", &[255, 255, 255, 255, 1]),
        ("empty", &[0, 0, 0, 0]),
        ("bytes after the message", &[0, 0, 0, 4, 1, 0, 4, 4]),
    ];
    let hosts = start_hosts(&["a", "b"]);
    hosts[0].wait_until_alive("b").await;
    let counters = hosts[0].handle.counters();
    for (index, (description, bytes)) in cases.into_iter().enumerate() {
        let mut peer = raw_peer(hosts[0].handle.address(), "raw", 65_535).await;
        peer.stream.send_data(Bytes::copy_from_slice(bytes), false).expect("sent");
        let result = tokio::time::timeout(WAIT_TIMEOUT, async {
            while let Some(Ok(_)) = peer.body.data().await {}
        });
        assert!(result.await.is_ok(), "the link was not closed: {description}");
        wait_until(description, || {
            counters.frames_unreadable.load(Ordering::Relaxed) == index as u64 + 1
        })
        .await;
        hosts[0].handle.put(server_leaving(description));
        wait_until(description, || hosts[1].has_item(&server_leaving(description))).await;
    }
}

/// A paused peer must not make its queue grow without limit or delay updates to other peers.
#[actix_rt::test]
async fn the_link_to_a_peer_that_does_not_read_is_closed() {
    let pace = PeerPace {
        gossip_interval_ms: 5,
        probe_interval_ms: 60_000,
        bytes_per_s: 10_000_000,
        burst_bytes: 10_000_000,
        ..PeerPace::default()
    };
    let mut first = conf("a", &[]);
    first.pace = pace;
    let first = start(&first);
    let second = start(&conf("b", &[first.handle.address()]));
    first.wait_until_alive("b").await;
    let mut slow = raw_peer(first.handle.address(), "slow", 2_000).await;
    slow.stream.send_data(frame(wire::PeerMessage::JoinRequest), false).expect("sent");
    first.wait_until_alive("slow").await;
    let counters = first.handle.counters();
    let mut count = 0;
    while counters.links_overrun.load(Ordering::Relaxed) == 0 && count < 5_000 {
        count += 1;
        first.handle.put(server_leaving(&format!("engine-{count}")));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(counters.links_overrun.load(Ordering::Relaxed) > 0, "after {count} items");
    wait_until("the last item", || second.has_item(&server_leaving(&format!("engine-{count}"))))
        .await;
    let _ = poll_fn(|context| slow.stream.poll_reset(context)).await;
}

/// Connections of unreachable peers must not accumulate until the connection limit keeps out all
/// others. Covers peers that disappear before and after `Hello`.
#[actix_rt::test]
async fn idle_connections_are_closed() {
    let mut conf = conf("a", &[]);
    conf.pace = PeerPace { idle_timeout_ms: 100, probe_interval_ms: 60_000, ..PeerPace::default() };
    let host = start(&conf);
    let stream = tokio::net::TcpStream::connect(host.handle.address()).await.expect("it listens");
    let (_client, connection) =
        h2::client::Builder::new().handshake::<_, Bytes>(stream).await.expect("h2");
    let result = tokio::time::timeout(WAIT_TIMEOUT, connection).await;
    assert!(result.is_ok(), "an idle connection without a link was not closed");
    let mut silent = raw_peer(host.handle.address(), "silent", 65_535).await;
    let result = tokio::time::timeout(WAIT_TIMEOUT, async {
        while let Some(Ok(_)) = silent.body.data().await {}
    });
    assert!(result.await.is_ok(), "an idle link was not closed");
}

#[actix_rt::test]
async fn an_unspecified_address_is_not_advertised() {
    let mut conf = conf("a", &[]);
    conf.listen = SocketAddr::from(([0, 0, 0, 0], 0));
    let result = PeerNet::start(&conf, CancellationToken::new());
    assert!(result.is_err());
    conf.advertise = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
    let host = start(&conf);
    assert_eq!(host.handle.address().ip().to_string(), "127.0.0.1");
    assert_ne!(host.handle.address().port(), 0);
}
