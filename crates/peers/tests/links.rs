//! Real `h2` links on loopback, under the real clock.

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
use fulmargate_peers::AskError;
use fulmargate_peers::MemberRecord;
use fulmargate_peers::MemberState;
use fulmargate_peers::OverCause;
use fulmargate_peers::PeerConf;
use fulmargate_peers::PeerHandle;
use fulmargate_peers::PeerItem;
use fulmargate_peers::PeerNet;
use fulmargate_peers::PeerNews;
use fulmargate_peers::PeerPace;
use fulmargate_peers::PeerQuestion;
use fulmargate_peers::wire;
use h2::RecvStream;
use h2::SendStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::sync::CancellationToken;

/// What a test waits for at most before it fails; nothing is measured by it.
const PATIENCE: Duration = Duration::from_secs(30);

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

/// Starts hosts `a`, `b` and so on, each knowing the first.
fn start_hosts(names: &[&str]) -> Vec<Host> {
    let mut hosts: Vec<Host> = Vec::new();
    for name in names {
        let seeds: Vec<SocketAddr> =
            hosts.iter().map(|host| host.handle.address()).take(1).collect();
        hosts.push(start(&conf(name, &seeds)));
    }
    hosts
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let waited = tokio::time::timeout(PATIENCE, async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    assert!(waited.await.is_ok(), "waited in vain: {what}");
}

impl Host {
    fn state_of(&self, name: &str) -> Option<MemberState> {
        let members = self.handle.members();
        members.iter().find(|member| member.host.as_str() == name).map(|member| member.state)
    }

    fn has(&self, item: &PeerItem) -> bool {
        self.handle.items().iter().any(|record| record.item == *item)
    }

    async fn hears(&mut self, what: &str, wanted: impl Fn(&PeerNews) -> bool) {
        let heard = tokio::time::timeout(PATIENCE, async {
            while let Some(news) = self.news.recv().await {
                if wanted(&news) {
                    return;
                }
            }
            panic!("the exchange ended: {what}");
        });
        assert!(heard.await.is_ok(), "waited in vain: {what}");
    }

    async fn meets(&self, name: &str) {
        until(name, || self.state_of(name) == Some(MemberState::Alive)).await;
    }
}

fn leaving(server: &str) -> PeerItem {
    PeerItem::ServerLeaving { server: ServerName::new(server), incarnation: Incarnation(7) }
}

#[actix_rt::test]
async fn hosts_meet_and_tell_each_other() {
    let mut hosts = start_hosts(&["a", "b", "c"]);
    hosts[2].hears("joined", |news| matches!(news, PeerNews::Joined { .. })).await;
    for (host, others) in hosts.iter().zip([["b", "c"], ["a", "c"], ["a", "b"]]) {
        host.meets(others[0]).await;
        host.meets(others[1]).await;
    }
    hosts[1].handle.put(leaving("engine-1"));
    until("engine-1", || hosts.iter().all(|host| host.has(&leaving("engine-1")))).await;
    hosts[0].handle.item_sender().send(leaving("engine-2")).expect("the loop runs");
    until("engine-2", || hosts.iter().all(|host| host.has(&leaving("engine-2")))).await;
    let version = ConfigVersion(3);
    hosts[0].handle.put(PeerItem::ConfigInForce { host: HostName::new("a"), version });
    hosts[2]
        .hears("ahead", |news| {
            matches!(news, PeerNews::ConfigAhead { version: ConfigVersion(3), .. })
        })
        .await;
    let (sent, received) = hosts[0].handle.byte_counts()["server_leaving"];
    assert!(sent > 0 && received > 0);
    let counters = hosts[0].handle.counters();
    assert!(counters.wire_sent.load(Ordering::Relaxed) > 0);
}

#[actix_rt::test]
async fn questions_are_answered() {
    let hosts = start_hosts(&["a", "b"]);
    hosts[1].meets("a").await;
    let a = HostName::new("a");
    let none = hosts[1].handle.ask(&a, PeerQuestion::WarmState).await;
    assert!(matches!(none, Err(AskError::NoAnswer)), "{none:?}");
    hosts[0].handle.set_answerer(|question| match question {
        PeerQuestion::ConfigRecords { from_offset } => Some(Bytes::from(from_offset.0.to_string())),
        PeerQuestion::WarmState => Some(Bytes::from(vec![7; 5_000_000])),
    });
    let records = PeerQuestion::ConfigRecords { from_offset: LogOffset(42) };
    assert_eq!(hosts[1].handle.ask(&a, records).await.expect("an answer"), Bytes::from("42"));
    let state = hosts[1].handle.ask(&a, PeerQuestion::WarmState).await.expect("an answer");
    assert_eq!(state, Bytes::from(vec![7; 5_000_000]));
    let nobody = hosts[1].handle.ask(&HostName::new("z"), records).await;
    assert!(matches!(nobody, Err(AskError::UnknownHost)), "{nobody:?}");
}

/// A zone's hosts start anew and all ask the one that is up for its state, megabytes each. It answers a
/// few at a time and turns the others away, who ask elsewhere; it must not hold all answers at once.
#[actix_rt::test]
async fn a_host_answers_a_few_at_a_time() {
    let hosts = start_hosts(&["a", "b"]);
    hosts[1].meets("a").await;
    hosts[0].handle.set_answerer(|_| Some(Bytes::from(vec![7; 8_000_000])));
    let a = HostName::new("a");
    let asks = (0..24).map(|_| hosts[1].handle.ask(&a, PeerQuestion::WarmState));
    let answers = futures_util::future::join_all(asks).await;
    let busy = answers.iter().filter(|answer| matches!(answer, Err(AskError::Busy))).count();
    let given = answers.iter().filter(|answer| answer.is_ok()).count();
    assert_eq!(busy + given, 24, "{:?}", answers.iter().filter_map(|answer| answer.as_ref().err()));
    assert!(busy > 0 && given > 0, "{busy} turned away, {given} answered");
    assert!(hosts[1].handle.ask(&a, PeerQuestion::WarmState).await.is_ok());
}

/// A host dies and another one of the fleet gets its address. Its neighbour, which has not noticed,
/// asks the dead one and reaches the other. An answer would be taken for the dead host's.
#[actix_rt::test]
async fn a_question_is_not_answered_by_another_host_at_the_address() {
    let hosts = start_hosts(&["a", "b"]);
    hosts[1].meets("a").await;
    let address = hosts[0].handle.address();
    hosts[0].token.cancel();
    let mut other = conf("c", &[]);
    other.listen = address;
    let other = rebind(&other).await;
    other.handle.set_answerer(|_| Some(Bytes::from("c speaks")));
    let answer = hosts[1].handle.ask(&HostName::new("a"), PeerQuestion::WarmState).await;
    assert!(matches!(answer, Err(AskError::WrongHost)), "{answer:?}");
}

/// Waits until a stopped host has given up its port: a stop ends its tasks.
async fn rebind(conf: &PeerConf) -> Host {
    let bound = tokio::time::timeout(PATIENCE, async {
        loop {
            let token = CancellationToken::new();
            if let Ok((handle, news)) = PeerNet::start(conf, token.clone()) {
                return Host { handle, news, token };
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    bound.await.expect("the port is given up")
}

#[actix_rt::test]
async fn a_planned_stop_is_known_at_once_and_the_next_process_is_met() {
    let mut hosts = start_hosts(&["a", "b", "c"]);
    hosts[0].meets("c").await;
    hosts[1].meets("c").await;
    let address = hosts[2].handle.address();
    hosts[2].handle.leave().await;
    hosts[2].token.cancel();
    let left =
        |news: &PeerNews| matches!(news, PeerNews::IncarnationOver { cause: OverCause::Left, .. });
    hosts[0].hears("left", left).await;
    hosts[1].hears("left", left).await;
    let mut next = conf("c", &[hosts[0].handle.address()]);
    next.listen = address;
    next.incarnation = Incarnation(2);
    let _next = rebind(&next).await;
    hosts[0].meets("c").await;
    hosts[1].meets("c").await;
}

/// Two deployments run on one machine. A host of the first takes an address that the second has
/// as a seed, and is called on. Were it let in, the fleets would share configuration and verdicts.
#[actix_rt::test]
async fn a_host_of_another_fleet_is_turned_away() {
    let hosts = start_hosts(&["a", "b"]);
    let mut stranger = conf("x", &[hosts[0].handle.address()]);
    stranger.fleet = "other".to_owned();
    let stranger = start(&stranger);
    let refused = stranger.handle.counters();
    until("refused", || refused.links_refused.load(Ordering::Relaxed) > 0).await;
    hosts[0].meets("b").await;
    assert_eq!(hosts[0].state_of("x"), None);
    assert_eq!(stranger.state_of("a"), None);
}

/// A peer as a test plays it: it has said hello and does what the test says.
struct RawPeer {
    stream: SendStream<Bytes>,
    body: RecvStream,
}

async fn raw_peer(address: SocketAddr, name: &str, window: u32) -> RawPeer {
    let stream = tokio::net::TcpStream::connect(address).await.expect("it listens");
    let mut builder = h2::client::Builder::new();
    let (client, connection) =
        builder.initial_window_size(window).handshake(stream).await.expect("h2");
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
    wire::encode_frame(&wire::PeerFrame { in_force: ConfigVersion(0), message })
}

/// A peer of another release, or with a broken memory, sends what cannot be read. Its link is
/// closed, since what follows a bad frame means nothing; everyone else goes on as before.
#[actix_rt::test]
async fn an_unreadable_frame_closes_its_link_and_harms_nothing_else() {
    let cases: [(&str, &[u8]); 5] = [
        ("another version", &[0, 0, 0, 3, 99, 0, 4]),
        ("an unknown message", &[0, 0, 0, 3, 1, 0, 200]),
        ("too long", &[255, 255, 255, 255, 1]),
        ("empty", &[0, 0, 0, 0]),
        ("bytes after the message", &[0, 0, 0, 4, 1, 0, 4, 4]),
    ];
    let hosts = start_hosts(&["a", "b"]);
    hosts[0].meets("b").await;
    let counters = hosts[0].handle.counters();
    for (index, (what, bytes)) in cases.into_iter().enumerate() {
        let mut peer = raw_peer(hosts[0].handle.address(), "raw", 65_535).await;
        peer.stream.send_data(Bytes::copy_from_slice(bytes), false).expect("sent");
        let ended = tokio::time::timeout(PATIENCE, async {
            while let Some(Ok(_)) = peer.body.data().await {}
        });
        assert!(ended.await.is_ok(), "the link stays open: {what}");
        until(what, || counters.frames_unreadable.load(Ordering::Relaxed) == index as u64 + 1)
            .await;
        hosts[0].handle.put(leaving(what));
        until(what, || hosts[1].has(&leaving(what))).await;
    }
}

/// A peer stops reading, as a frozen one does. What it is sent piles up until its queue is full;
/// then its link is dropped, so that neither memory nor the other peers suffer.
#[actix_rt::test]
async fn a_peer_that_does_not_read_loses_its_link() {
    let pace = PeerPace {
        tick_ms: 5,
        period_ms: 60_000,
        bytes_per_s: 10_000_000,
        burst_bytes: 10_000_000,
        ..PeerPace::default()
    };
    let mut first = conf("a", &[]);
    first.pace = pace;
    let first = start(&first);
    let second = start(&conf("b", &[first.handle.address()]));
    first.meets("b").await;
    let mut slow = raw_peer(first.handle.address(), "slow", 2_000).await;
    slow.stream.send_data(frame(wire::PeerMessage::Join), false).expect("sent");
    first.meets("slow").await;
    let counters = first.handle.counters();
    let mut count = 0;
    while counters.links_overrun.load(Ordering::Relaxed) == 0 && count < 5_000 {
        count += 1;
        first.handle.put(leaving(&format!("engine-{count}")));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(counters.links_overrun.load(Ordering::Relaxed) > 0, "after {count} items");
    until("the last item", || second.has(&leaving(&format!("engine-{count}")))).await;
    let _ = poll_fn(|context| slow.stream.poll_reset(context)).await;
}

/// Peers connect and are cut off before they say a word, or after hello: no end of the connection ever
/// arrives. Were their connections kept, they would fill the number allowed in time, and no peer could
/// connect any more.
#[actix_rt::test]
async fn connections_that_fall_silent_are_closed() {
    let mut conf = conf("a", &[]);
    conf.pace = PeerPace { idle_ms: 100, period_ms: 60_000, ..PeerPace::default() };
    let host = start(&conf);
    let stream = tokio::net::TcpStream::connect(host.handle.address()).await.expect("it listens");
    let (_client, connection) =
        h2::client::Builder::new().handshake::<_, Bytes>(stream).await.expect("h2");
    let ended = tokio::time::timeout(PATIENCE, connection).await;
    assert!(ended.is_ok(), "a connection without a word stays open");
    let mut silent = raw_peer(host.handle.address(), "silent", 65_535).await;
    let ended = tokio::time::timeout(PATIENCE, async {
        while let Some(Ok(_)) = silent.body.data().await {}
    });
    assert!(ended.await.is_ok(), "a silent link stays open");
}

#[actix_rt::test]
async fn an_address_that_nobody_can_connect_to_is_not_advertised() {
    let mut conf = conf("a", &[]);
    conf.listen = SocketAddr::from(([0, 0, 0, 0], 0));
    let refused = PeerNet::start(&conf, CancellationToken::new());
    assert!(refused.is_err());
    conf.advertise = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
    let host = start(&conf);
    assert_eq!(host.handle.address().ip().to_string(), "127.0.0.1");
    assert_ne!(host.handle.address().port(), 0);
}
