//! A stream goes on only at the software version that began it, over all tries of its caller.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ConfigText;
use fulmargate_consortium_stand::CrashEnd;
use fulmargate_consortium_stand::CrashRule;
use fulmargate_consortium_stand::ECHO_EVENTS;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::JoinedStream;
use fulmargate_consortium_stand::LinkCut;
use fulmargate_consortium_stand::OpenResponse;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::StoreFault;
use fulmargate_consortium_stand::open_stream;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::crash_fleet::CrashFleet;
use crate::cut_fleet::CutFleet;
use crate::cut_fleet::HOSTS;
use crate::cut_fleet::LinkedServer;
use crate::cut_fleet::patient_config;
use crate::support::REQUEST_TIMEOUT_MS;
use crate::support::wait_until;

/// Time after which hosts use a version that is new in the list.
const ROLLOUT_TIME: Duration = Duration::from_millis(3_500);
/// Time in which the list of a host that does not reach the store becomes too old.
const STALE_LIST_TIME: Duration = Duration::from_millis(3_500);
/// Time in which bindings arrive in the store.
const STORE_TIME: Duration = Duration::from_millis(600);
/// Streams of a test. Two versions without any rule mix half of them.
const STREAMS: usize = 12;
/// Times that all hosts are killed.
const KILLS: usize = 9;
/// Events that a caller has received when it takes up its stream.
const EVENTS_BEFORE: usize = 3;

/// A fleet whose engines run these software versions, once hosts use all of them.
async fn start_fleet(versions: &[&str]) -> CutFleet {
    let mut config = patient_config(REQUEST_TIMEOUT_MS);
    let mut anonymous = ConfigText::route("/open-chat/", "stream", "engines");
    anonymous["anonymous"] = json!(true);
    anonymous["timeoutMs"] = json!(REQUEST_TIMEOUT_MS);
    config.routes.push(anonymous);
    let fleet = CutFleet::start_with_servers(&config, 0, versions).await;
    for (engine, version) in fleet.engines.iter().zip(versions) {
        engine.stand.set_software(version);
    }
    sleep(ROLLOUT_TIME).await;
    fleet
}

/// A stream of a caller that goes on over several tries.
struct CallerStream {
    id: String,
    path: &'static str,
    joined: JoinedStream,
    /// Status of each further try, and whether its response was whole.
    tries: Vec<(u16, bool)>,
}

impl CallerStream {
    /// Begins a stream at a host and reads its first events.
    async fn begin(fleet: &CutFleet, host: usize, id: &str) -> (CallerStream, OpenResponse) {
        CallerStream::begin_on(fleet, host, "/chat/x", id).await
    }

    async fn begin_on(
        fleet: &CutFleet,
        host: usize,
        path: &'static str,
        id: &str,
    ) -> (CallerStream, OpenResponse) {
        // Prompts of their own, which the engines share.
        let mut request = CallerRequest::prompt(path, id).with_prompt_part(id_number(id), 800);
        request.patience_ms = REQUEST_TIMEOUT_MS;
        let mut response =
            open_stream(&request, fleet.callers(host)).await.expect("the stream begins");
        assert!(response.read_events(EVENTS_BEFORE).await, "{id} breaks off early");
        let mut joined = JoinedStream::default();
        joined.add(response.body());
        (CallerStream { id: id.to_owned(), path, joined, tries: Vec::new() }, response)
    }

    /// Takes up the stream at a host. The caller names its first attempt unless `names` says otherwise.
    async fn take_up(&mut self, fleet: &CutFleet, host: usize, names: Naming) {
        let id = format!("{}-{}", self.id, self.tries.len() + 2);
        let first_attempt = match names {
            Naming::First => Some(self.id.as_str()),
            Naming::Nothing => None,
            Naming::Unknown => Some("nobody-knows-it"),
        };
        let mut request = CallerRequest::prompt(self.path, &id)
            .taking_up(self.joined.last_event(), first_attempt);
        request.patience_ms = REQUEST_TIMEOUT_MS;
        match request.send(fleet.callers(host)).await {
            Ok(response) => {
                self.tries.push((response.status, response.is_whole));
                if response.status == 200 {
                    self.joined.add(&response.body);
                }
            }
            Err(_) => self.tries.push((0, false)),
        }
    }

    fn is_complete(&self) -> bool {
        self.joined.last_event() == ECHO_EVENTS && self.joined.is_in_order()
    }
}

/// What a caller names as its first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Naming {
    First,
    Nothing,
    Unknown,
}

fn id_number(id: &str) -> u64 {
    id.bytes().fold(7, |hash, byte| hash * 31 % 0xffff_fffb + u64::from(byte))
}

/// No stream may hold events of two versions, and at least half have to go on.
fn check_streams(streams: &[CallerStream]) {
    for stream in streams {
        let marks = stream.joined.marks();
        assert!(marks.len() < 2, "{} has events of {marks:?}", stream.id);
        assert!(stream.joined.is_in_order(), "{}: {:?}", stream.id, stream.joined);
    }
    let complete = streams.iter().filter(|stream| stream.is_complete()).count();
    let tries: Vec<_> = streams.iter().map(|stream| &stream.tries).collect();
    assert!(streams.len() <= 2 * complete, "{complete} of {} go on: {tries:?}", streams.len());
}

/// Guards against streams that are placed like new ones at a host that has not begun them.
#[tokio::test]
async fn a_stream_taken_up_at_another_host_keeps_its_version() {
    let fleet = start_fleet(&["v1", "v1", "v2", "v2"]).await;
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let id = format!("other-{number}");
        let (mut stream, response) = CallerStream::begin(&fleet, number % HOSTS, &id).await;
        drop(response);
        stream.take_up(&fleet, (number + 1) % HOSTS, Naming::First).await;
        streams.push(stream);
    }
    check_streams(&streams);
}

/// Guards against a third try that is bound to the second one, which has brought no first event.
#[tokio::test]
async fn a_stream_taken_up_twice_keeps_its_version() {
    let fleet = start_fleet(&["v1", "v1", "v2", "v2"]).await;
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let id = format!("twice-{number}");
        let (mut stream, response) = CallerStream::begin(&fleet, 0, &id).await;
        drop(response);
        let second = CallerRequest::prompt("/chat/x", &format!("{id}-second"))
            .taking_up(stream.joined.last_event(), Some(&id));
        if let Ok(mut response) = open_stream(&second, fleet.callers(1)).await
            && response.status() == 200
            && response.read_events(1).await
        {
            stream.joined.add(response.body());
        }
        stream.take_up(&fleet, 2, Naming::First).await;
        streams.push(stream);
    }
    check_streams(&streams);
}

/// Guards against streams that go on at any version after their server broke them off.
#[tokio::test]
async fn a_broken_stream_goes_on_at_its_version() {
    let fleet = start_fleet(&["v1", "v1", "v2", "v2"]).await;
    fleet.engines[0].stand.set_mode(ServerMode::CutEcho(4));
    fleet.engines[2].stand.set_mode(ServerMode::CutEcho(4));
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let id = format!("broken-{number}");
        let (mut stream, response) = CallerStream::begin(&fleet, number % HOSTS, &id).await;
        let answer = response.read_rest().await.expect("a response");
        stream.joined = JoinedStream::default();
        stream.joined.add(&answer.body);
        streams.push(stream);
    }
    check_streams(&streams);
}

/// Guards against a binding that ends with the host that has begun the stream.
#[tokio::test]
async fn streams_of_a_killed_host_keep_their_version() {
    let mut fleet = start_fleet(&["v1", "v1", "v2", "v2"]).await;
    let mut streams = Vec::new();
    let mut responses = Vec::new();
    for number in 0..STREAMS {
        let (stream, response) = CallerStream::begin(&fleet, 0, &format!("killed-{number}")).await;
        streams.push(stream);
        responses.push(response);
    }
    fleet.kill(0);
    drop(responses);
    for (number, stream) in streams.iter_mut().enumerate() {
        stream.take_up(&fleet, 1 + number % 2, Naming::First).await;
    }
    check_streams(&streams);
}

/// Guards against bindings that end with all hosts, and against a refusal of all streams after it.
#[tokio::test]
async fn streams_keep_their_version_when_all_hosts_are_killed() {
    let mut fleet = start_fleet(&["v1", "v1", "v2", "v2"]).await;
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let id = format!("all-{number}");
        let (stream, response) = CallerStream::begin(&fleet, number % HOSTS, &id).await;
        drop(response);
        streams.push(stream);
    }
    sleep(STORE_TIME).await;
    (0..HOSTS).for_each(|host| fleet.kill(host));
    for host in 0..HOSTS {
        fleet.restart(host, fleet.engines.len()).await;
    }
    for (number, stream) in streams.iter_mut().enumerate() {
        stream.take_up(&fleet, (number + 1) % HOSTS, Naming::First).await;
    }
    check_streams(&streams);
}

/// Guards against a process whose records replace those that the one before it on its host has written last.
#[tokio::test]
async fn streams_are_known_however_often_all_hosts_are_killed() {
    let mut fleet = start_fleet(&["v1", "v1", "v2", "v2"]).await;
    let mut earlier: Vec<CallerStream> = Vec::new();
    for round in 0..=KILLS {
        let mut begun = Vec::new();
        for host in 0..HOSTS {
            let id = format!("kill-{round}-{host}");
            let (stream, response) = CallerStream::begin(&fleet, host, &id).await;
            drop(response);
            begun.push(stream);
        }
        sleep(STORE_TIME).await;
        for (number, stream) in earlier.iter_mut().enumerate() {
            stream.take_up(&fleet, (number + 1) % HOSTS, Naming::First).await;
            assert!(stream.is_complete(), "{}: {:?}", stream.id, stream.tries);
        }
        (0..HOSTS).for_each(|host| fleet.kill(host));
        for host in 0..HOSTS {
            fleet.restart(host, fleet.engines.len()).await;
        }
        earlier = begun;
    }
}

/// Guards against a host with an old list, which knows one version and takes all streams for streams of it.
#[tokio::test]
async fn a_host_with_an_old_list_does_not_take_a_new_version_for_the_old_one() {
    let mut fleet = start_fleet(&["v1", "v1"]).await;
    fleet.cut_store(2);
    sleep(STALE_LIST_TIME).await;
    for number in 3..=4 {
        let name = format!("engines-{number}");
        let server = LinkedServer::start(&fleet.store, &name, "engines", "v2").await;
        server.stand.set_software("v2");
        fleet.engines.push(server);
    }
    sleep(ROLLOUT_TIME).await;
    let mut streams = Vec::new();
    let mut is_new_used = false;
    for number in 0..STREAMS {
        // Without a key, which a host that does not reach the store would refuse.
        let (path, id) = ("/open-chat/x", format!("old-{number}"));
        let (mut stream, response) = CallerStream::begin_on(&fleet, 0, path, &id).await;
        drop(response);
        is_new_used |= stream.joined.marks() == ["v2"];
        // The host that has begun the stream can't tell it any more.
        stream.take_up(&fleet, 2, Naming::First).await;
        streams.push(stream);
    }
    assert!(is_new_used, "no stream of the new version");
    for stream in &streams {
        let marks = stream.joined.marks();
        assert!(marks.len() < 2, "{} has events of {marks:?}", stream.id);
    }
}

/// Guards against a guess at a host that cannot know the version: it refuses at once, and nothing runs.
#[tokio::test]
async fn an_unknown_attempt_beside_two_versions_is_refused() {
    let fleet = start_fleet(&["v1", "v1", "v2", "v2"]).await;
    for naming in [Naming::Unknown, Naming::Nothing] {
        let id = format!("unknown-{naming:?}");
        let (mut stream, response) = CallerStream::begin(&fleet, 0, &id).await;
        drop(response);
        stream.take_up(&fleet, 1, naming).await;
        assert_eq!(stream.tries, [(503, true)], "{naming:?}");
        assert_eq!(fleet.runs(&format!("{id}-2")), 0, "{naming:?}");
    }
}

/// Guards against refusals on the days on which a service has one version, at a host of any age and without the store.
#[tokio::test]
async fn streams_go_on_beside_one_version() {
    let mut fleet = start_fleet(&["v1", "v1"]).await;
    let mut streams = Vec::new();
    for naming in [Naming::Nothing, Naming::First] {
        let id = format!("one-{naming:?}");
        let (mut stream, response) = CallerStream::begin(&fleet, 0, &id).await;
        drop(response);
        stream.take_up(&fleet, 1, naming).await;
        streams.push(stream);
    }
    let (mut restarted, response) = CallerStream::begin(&fleet, 0, "one-restarted").await;
    drop(response);
    fleet.kill(1);
    fleet.restart(1, fleet.engines.len()).await;
    restarted.take_up(&fleet, 1, Naming::Nothing).await;
    streams.push(restarted);
    fleet.store.set_fault(StoreFault::Silent);
    let (mut without_store, response) = CallerStream::begin(&fleet, 0, "one-without-store").await;
    drop(response);
    without_store.take_up(&fleet, 2, Naming::Nothing).await;
    streams.push(without_store);
    for stream in &streams {
        assert!(stream.is_complete(), "{}: {:?}", stream.id, stream.tries);
    }
}

/// Guards against a stream that waits, or goes to another version, when no server of its version is left.
#[tokio::test]
async fn a_stream_without_a_server_of_its_version_is_refused_at_once() {
    let fleet = start_fleet(&["v1", "v2"]).await;
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let (stream, response) = CallerStream::begin(&fleet, 0, &format!("gone-{number}")).await;
        drop(response);
        streams.push(stream);
    }
    fleet.engines[1].list(&fleet.store, "engines", "draining", "v2");
    wait_until("the hosts know that the engine leaves", || {
        (0..HOSTS).all(|host| !fleet.events(host, "server_leaving").is_empty())
    })
    .await;
    for stream in &mut streams {
        let version = stream.joined.marks().join("");
        stream.take_up(&fleet, 1, Naming::First).await;
        match version.as_str() {
            "v1" => assert!(stream.is_complete(), "{}: {:?}", stream.id, stream.tries),
            _ => assert_eq!(stream.tries, [(503, true)], "{}", stream.id),
        }
    }
}

/// Guards against a stream through another host whose version is not known where its caller is.
#[tokio::test]
async fn a_stream_through_a_helper_keeps_its_version() {
    let fleet = start_fleet(&["v1", "v1", "v2", "v2"]).await;
    fleet.cut_off(0, LinkCut::Reset).await;
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let id = format!("helped-{number}");
        let (mut stream, response) = CallerStream::begin(&fleet, 0, &id).await;
        drop(response);
        // Back at the cut host, which forwards it again, or at a host that reaches the engines.
        stream.take_up(&fleet, number % HOSTS, Naming::First).await;
        streams.push(stream);
    }
    check_streams(&streams);
}

/// Servers of the version that did not begin the stream.
const OTHER_ENGINES: usize = 24;
/// Patience of the caller. Long enough for some turns, and not for one at each server.
const SUSPECT_PATIENCE_MS: u64 = 4_000;

/// Guards against a stream whose server crashed and that waits for a turn at each server of another version, where it
/// may not go on, while one of its own serves.
#[tokio::test]
async fn a_suspected_stream_goes_on_at_its_version_at_once() {
    let rule = CrashRule { marker: "never", delay: Duration::ZERO, end: CrashEnd::BeforeHead };
    let mut fleet = CrashFleet::start_service(rule, 2, "engines").await;
    fleet.desks.iter().for_each(|engine| engine.set_software("v1"));
    let callers = fleet.daemons[0].address("callers").await;
    for number in 0..8 {
        let prompt = CallerRequest::prompt("/chat/budget", &format!("budget-{number}"));
        assert_eq!(fleet.send(0, &prompt).await, 200);
    }
    fleet.set_mode(ServerMode::PausedEcho);
    let mut request = CallerRequest::prompt("/chat/x", "suspected");
    request.patience_ms = SUSPECT_PATIENCE_MS;
    let mut response = open_stream(&request, callers).await.expect("the stream begins");
    assert!(response.read_events(EVENTS_BEFORE).await, "the stream breaks off early");
    let mut others = Vec::new();
    for number in 0..OTHER_ENGINES {
        let name = format!("other-{number}");
        let other = FakeServer::start(&name, ServerMode::Echo).await.expect("start an engine");
        other.set_software("v2");
        fleet.store.put_server_of(&name, "engines", other.address, "ready", &json!("v2"));
        others.push(other);
    }
    let listed = || fleet.daemons[0].events("server_listed").len();
    wait_until("the other version is listed", || listed() == 2 + OTHER_ENGINES).await;
    let runs = |engine: &&FakeServer| engine.seen().iter().any(|seen| seen.id() == "suspected");
    let first = fleet.desks.iter().find(runs).expect("an engine runs the stream").clone();
    // The stream does not go on before its caller takes it up.
    let others_of_version = fleet.desks.iter().filter(|engine| engine.name != first.name);
    others_of_version.for_each(|engine| engine.set_mode(ServerMode::Hang));
    first.kill().await;
    let crashed = || fleet.daemons[0].events("server_crashed").len();
    wait_until("the crash counts against the stream", || crashed() == 1).await;
    let mut joined = JoinedStream::default();
    joined.add(response.body());
    drop(response);
    fleet.set_mode(ServerMode::Echo);
    let mut next = CallerRequest::prompt("/chat/x", "suspected-2")
        .taking_up(joined.last_event(), Some("suspected"));
    next.patience_ms = SUSPECT_PATIENCE_MS;
    let answer = next.send(callers).await.expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    joined.add(&answer.body);
    assert_eq!(joined.marks(), ["v1"]);
    assert_eq!((joined.last_event(), joined.is_in_order()), (ECHO_EVENTS, true));
    let waits = fleet.daemons.iter().flat_map(|daemon| daemon.events("suspect_waits"));
    assert!(0 < waits.count(), "the stream is suspected");
    let given_up = fleet.daemons.iter().flat_map(|daemon| daemon.events("turn_given_up"));
    let of_others: Vec<Value> = given_up.filter(|line| line["version"] == "v2").collect();
    assert!(of_others.is_empty(), "turns at other versions: {of_others:?}");
}
