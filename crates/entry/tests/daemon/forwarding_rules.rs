//! Limits, departures, attempts and memory where requests are forwarded to another host.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmargate_consortium_stand::LinkCut;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::open_stream;
use http::Request;
use tokio::net::TcpSocket;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::cut_fleet::CutFleet;
use crate::cut_fleet::HOSTS;
use crate::cut_fleet::LEARNING_TIME;
use crate::cut_fleet::ROUTES;
use crate::cut_fleet::patient_config;
use crate::support::DaemonProcess;
use crate::support::REQUEST_TIMEOUT_MS;
use crate::support::wait_until;

/// Servers of which one host reaches only the first: fewer than its share of the fleet.
const MANY_DESKS: usize = 9;
/// Attempts of the routes in the configuration.
const MAX_ATTEMPTS: usize = 2;
/// A leaving server gets no request that is sent later than this after its notice.
const LEAVE_BOUND: Duration = Duration::from_secs(2);
/// Rate that each server names, in requests per second.
const LIMIT: f64 = 5.0;
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Requests above the rate in a span, for what was on its way.
const LIMIT_BURST: f64 = 3.0;
const LIMIT_LEARNING_TIME: Duration = Duration::from_millis(500);
const LOAD_TIME: Duration = Duration::from_secs(7);
const CALLERS_PER_HOST: usize = 6;
const CALLER_PATIENCE_MS: u64 = 1_500;
/// Memory that streams to slow callers may take at a host: the window of their connection, and as much for the rest.
const SLOW_STREAMS_KB: u64 = 8 * 1_024;
const SLOW_CALLERS: usize = 4;
/// Far more events than the windows and buffers of both legs hold.
const MANY_EVENTS: u32 = 1_000_000;
const FLAP_INTERVAL: Duration = Duration::from_millis(400);
const FLAPS: u32 = 12;

/// A host that reaches fewer servers than its share must send only that share itself: the few it reaches would be
/// overloaded.
#[tokio::test]
async fn a_host_that_reaches_few_servers_forwards_the_rest() {
    for cut in [LinkCut::Reset, LinkCut::Hang] {
        check_few_servers(cut).await;
    }
}

async fn check_few_servers(cut: LinkCut) {
    let config = patient_config(REQUEST_TIMEOUT_MS);
    let fleet = CutFleet::start_with_desks(&config, MANY_DESKS).await;
    fleet.cut(0, &fleet.desks[1..], cut).await;
    // So many at once try all servers.
    for round in 0..3 {
        let requests = (0..4 * MANY_DESKS).map(|number| {
            let request = ROUTES[1].request(&format!("learn-{round}-{number}"));
            let callers = fleet.callers(0);
            async move { request.send(callers).await.expect("a response").status }
        });
        requests.collect::<JoinSet<u16>>().join_all().await;
        sleep(LEARNING_TIME).await;
    }
    let sent = 60;
    let mut forwarded = 0;
    for number in 0..sent {
        let id = format!("part-{number}");
        let response = fleet.send(0, &ROUTES[1].request(&id)).await;
        assert_eq!(response.body, ROUTES[1].body(&id), "{response:?}");
        assert_eq!(fleet.runs(&id), 1, "{id}");
        forwarded += usize::from(!fleet.helpers_of(0, &id).is_empty());
    }
    // A ninth of the servers for a third of the requests.
    let share = forwarded as f64 / f64::from(sent);
    assert!((0.4..0.9).contains(&share), "{cut:?}: {share} of the requests were forwarded");
    let forwarded = fleet.events(0, "request_forwarded");
    let judged = forwarded
        .iter()
        .filter(|line| line["id"].as_str().is_some_and(|id| id.starts_with("part-")));
    let tried: Vec<_> = judged.filter(|line| line["reason"] != "partly_reached").collect();
    assert!(tried.is_empty(), "{cut:?}: requests have tried servers out of reach: {tried:?}");
}

/// A helper and its accepting host together must not exceed the attempts of the route.
#[tokio::test]
async fn attempts_are_counted_over_both_legs() {
    let fleet = CutFleet::start(&patient_config(REQUEST_TIMEOUT_MS)).await;
    for host in 0..HOSTS {
        for number in 0..8 {
            fleet.send(host, &ROUTES[1].request(&format!("budget-{host}-{number}"))).await;
        }
    }
    fleet.cut_off(0, LinkCut::Reset).await;
    fleet.set_mode(ServerMode::LoseAnswer);
    for number in 0..6 {
        for (route, max_runs) in [(&ROUTES[0], 1), (&ROUTES[1], MAX_ATTEMPTS)] {
            let id = format!("lost-{}-{number}", route.path);
            let response = fleet.send(0, &route.request(&id)).await;
            assert_eq!(response.status, 502, "{id}: {response:?}");
            assert!(fleet.runs(&id) <= max_runs, "{id}: {} runs", fleet.runs(&id));
        }
    }
}

/// A server that leaves must get no forwarded requests.
#[tokio::test]
async fn a_leaving_server_gets_no_forwarded_requests() {
    let fleet = CutFleet::start(&patient_config(REQUEST_TIMEOUT_MS)).await;
    fleet.cut_off(0, LinkCut::NewRefused).await;
    let leaving = &fleet.desks[0];
    leaving.leave(&fleet.store, "desk");
    sleep(LEAVE_BOUND).await;
    let before = leaving.stand.seen().len();
    for number in 0..20 {
        let id = format!("late-{number}");
        assert_eq!(fleet.send(0, &ROUTES[1].request(&id)).await.status, 200);
    }
    assert_eq!(leaving.stand.seen().len(), before);
}

/// Requests of two hosts through a third must not exceed the servers' limits, nor keep the third's own callers from
/// being served, nor the other way round.
#[tokio::test]
async fn forwarded_requests_share_limits_with_those_of_the_helper() {
    let fleet = CutFleet::start(&patient_config(REQUEST_TIMEOUT_MS)).await;
    for host in [0, 1] {
        fleet.cut_off(host, LinkCut::Reset).await;
    }
    fleet.desks.iter().for_each(|desk| desk.stand.set_limit(Some(&LIMIT.to_string())));
    let served: Arc<[AtomicUsize; HOSTS]> = Arc::default();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS_PER_HOST * HOSTS {
        let host = caller % HOSTS;
        let (address, served) = (fleet.callers(host), served.clone());
        callers.spawn(async move {
            let end = Instant::now() + LOAD_TIME;
            let mut number = 0;
            while Instant::now() < end {
                number += 1;
                let mut request = ROUTES[1].request(&format!("limit-{caller}-{number}"));
                request.patience_ms = CALLER_PATIENCE_MS;
                if request.send(address).await.is_ok_and(|response| response.status == 200) {
                    served[host].fetch_add(1, Ordering::Relaxed);
                }
                sleep(Duration::from_millis(40)).await;
            }
        });
    }
    callers.join_all().await;
    let allowed = LIMIT * LIMIT_SPAN.as_secs_f64() + LIMIT_BURST;
    for desk in &fleet.desks {
        let max = desk.stand.arrivals().after_limit(LIMIT_LEARNING_TIME).max_in(LIMIT_SPAN);
        assert!(max as f64 <= allowed, "{max} requests in 4 s at {LIMIT} a second");
    }
    let served: Vec<usize> = served.iter().map(|count| count.load(Ordering::Relaxed)).collect();
    let mean = served.iter().sum::<usize>() as f64 / HOSTS as f64;
    // The users' bound for hosts that reach no server, here for either side.
    assert!(served.iter().all(|count| mean * 2.0 / 3.0 <= *count as f64), "{served:?}");
}

/// Hosts that lose their servers at the same moment take each other for sound: no request may go round between them.
#[tokio::test]
async fn a_request_takes_one_hop_between_hosts_that_are_all_cut_off() {
    let fleet = CutFleet::start(&patient_config(REQUEST_TIMEOUT_MS)).await;
    for host in 0..HOSTS {
        fleet.cut_all(host, LinkCut::Reset).await;
    }
    let mut requests = JoinSet::new();
    for host in 0..HOSTS {
        for route in ROUTES {
            let request = route.request(&format!("loop-{host}-{}", route.path));
            let address = fleet.callers(host);
            requests.spawn(async move { request.send(address).await.expect("a response").status });
        }
    }
    let statuses = requests.join_all().await;
    assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
    let ids = |host: usize, name: &str| -> HashSet<String> {
        let events = fleet.events(host, name);
        events.iter().filter_map(|event| Some(event["id"].as_str()?.to_owned())).collect()
    };
    let accepted: usize = (0..HOSTS).map(|host| ids(host, "forward_accepted").len()).sum();
    assert!(0 < accepted, "no request was forwarded");
    for host in 0..HOSTS {
        let accepted = ids(host, "forward_accepted");
        let forwarded = ids(host, "request_forwarded");
        let again: Vec<&String> = accepted.intersection(&forwarded).collect();
        assert!(again.is_empty(), "host {host} has forwarded again: {again:?}");
    }
}

/// The name and number of a host must be refused when they come from an address that is not the host's.
#[tokio::test]
async fn a_forwarded_request_from_another_address_is_refused() {
    let fleet = CutFleet::start(&patient_config(REQUEST_TIMEOUT_MS)).await;
    let peers = fleet.daemons[1].address("peers").await;
    let started = &fleet.events(0, "process_started")[0];
    let incarnation = started["incarnation"].to_string().replace('"', "");
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.77:0".parse().expect("an address")).expect("bind");
    let stream = socket.connect(peers).await.expect("connect");
    let (client, connection) = h2::client::handshake(stream).await.expect("handshake");
    let connection = tokio::spawn(connection);
    let request = Request::post(format!("http://{peers}/forward"))
        .header("fulmargate-host", fleet.name(0))
        .header("fulmargate-incarnation", incarnation)
        .body(())
        .expect("a request");
    let mut client = client.ready().await.expect("a ready connection");
    let (response, _stream) = client.send_request(request, true).expect("sent");
    assert_eq!(response.await.expect("a response").status(), 403);
    connection.abort();
    wait_until("the refusal is logged", || !fleet.events(1, "forward_refused").is_empty()).await;
}

/// A helper that is frozen must not hold a stream up, nor make a call run twice or count as not run.
#[tokio::test]
async fn a_frozen_helper_costs_no_stream() {
    let fleet = CutFleet::start(&patient_config(REQUEST_TIMEOUT_MS)).await;
    for host in 1..HOSTS {
        for number in 0..8 {
            fleet.send(host, &ROUTES[2].request(&format!("budget-{host}-{number}"))).await;
        }
    }
    fleet.cut_off(0, LinkCut::Hang).await;
    fleet.set_mode(ServerMode::Wait);
    let charge = fleet.begin(0, ROUTES[0].request("charge")).await;
    let frozen = fleet.helper_of(0, "charge").await;
    fleet.set_mode(ServerMode::PausedEcho);
    let mut streams = Vec::new();
    for number in 0..4 {
        let id = format!("stream-{number}");
        let stream = open_stream(&ROUTES[2].request(&id), fleet.callers(0)).await;
        streams.push((id, stream.expect("the response begins")));
    }
    fleet.daemons[frozen].signal("STOP");
    for (id, stream) in streams {
        let response = stream.read_rest().await.expect("the response ends");
        assert!(response.is_whole, "{id}: {response:?}");
        assert_eq!(response.body, ROUTES[2].body(&id));
    }
    let response = charge.await.expect("the request task completes");
    fleet.daemons[frozen].signal("CONT");
    assert!(matches!(response.status, 200 | 502 | 504), "{response:?}");
    sleep(LEARNING_TIME).await;
    assert_eq!(fleet.runs("charge"), 1);
}

/// Guards against a helper that cuts a stream before the deadline of its caller.
#[tokio::test]
async fn a_helper_goes_on_with_a_stream_until_its_deadline() {
    const PATIENCE: Duration = Duration::from_millis(800);
    let fleet = CutFleet::start(&patient_config(REQUEST_TIMEOUT_MS)).await;
    fleet.cut_off(0, LinkCut::Hang).await;
    fleet.set_mode(ServerMode::PausedEcho);
    for number in 0..3 {
        let mut request = ROUTES[2].request(&format!("stream-{number}"));
        request.patience_ms = PATIENCE.as_millis() as u64;
        let sent = Instant::now();
        let stream = open_stream(&request, fleet.callers(0)).await.expect("the response begins");
        let response = stream.read_rest().await.expect("the response ends");
        let took = sent.elapsed();
        assert!(!response.is_whole, "{response:?}");
        assert!(PATIENCE <= took, "{}: cut after {took:?}", request.id);
    }
}

/// A slow caller must stop the server of a forwarded stream rather than fill the memory of either host.
#[tokio::test]
async fn slow_callers_of_forwarded_streams_take_little_memory() {
    let fleet = CutFleet::start(&patient_config(REQUEST_TIMEOUT_MS)).await;
    for host in 0..HOSTS {
        for route in ROUTES {
            fleet.send(host, &route.request(&format!("warm-{host}-{}", route.path))).await;
        }
    }
    fleet.cut_off(0, LinkCut::Hang).await;
    fleet.set_mode(ServerMode::Stream(MANY_EVENTS));
    let before: Vec<u64> = fleet.daemons.iter().map(DaemonProcess::resident_kb).collect();
    let mut streams = Vec::new();
    for number in 0..SLOW_CALLERS {
        let request = ROUTES[2].request(&format!("slow-{number}"));
        let stream = open_stream(&request, fleet.callers(0)).await;
        streams.push(stream.expect("the response begins"));
    }
    sleep(Duration::from_secs(3)).await;
    for (daemon, before) in fleet.daemons.iter().zip(before) {
        let grown = daemon.resident_kb().saturating_sub(before);
        assert!(grown < SLOW_STREAMS_KB, "{grown} kB more");
    }
    assert_eq!(streams.len(), SLOW_CALLERS);
}

/// Callers must be served while a host's links come and go faster than the host can be sure of either.
#[tokio::test]
async fn callers_are_served_while_links_come_and_go() {
    let fleet = CutFleet::start(&patient_config(REQUEST_TIMEOUT_MS)).await;
    for host in 0..HOSTS {
        for number in 0..8 {
            fleet.send(host, &ROUTES[1].request(&format!("budget-{host}-{number}"))).await;
        }
    }
    let callers = fleet.callers(0);
    let requests = tokio::spawn(async move {
        let end = Instant::now() + FLAP_INTERVAL * FLAPS;
        let mut statuses = Vec::new();
        while Instant::now() < end {
            let request = ROUTES[1].request(&format!("flap-{}", statuses.len()));
            statuses.push(request.send(callers).await.expect("a response").status);
            sleep(Duration::from_millis(5)).await;
        }
        statuses
    });
    for _ in 0..FLAPS / 2 {
        fleet.cut_all(0, LinkCut::Reset).await;
        sleep(FLAP_INTERVAL).await;
        fleet.mend(0);
        sleep(FLAP_INTERVAL).await;
    }
    let statuses = requests.await.expect("the requests complete");
    let failed = statuses.iter().filter(|status| **status != 200).count();
    assert_eq!(failed, 0, "{statuses:?}");
}
