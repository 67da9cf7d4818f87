//! The log client against a log on loopback that follows a script.

mod common;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use common::LogScript;
use common::Shared;
use common::Step;
use fulmargate_names::LogOffset;
use fulmargate_platform::AppendFate;
use fulmargate_platform::HostKind;
use fulmargate_platform::HostList;
use fulmargate_platform::HostState;
use fulmargate_platform::Landing;
use fulmargate_platform::LogClient;
use fulmargate_platform::LogError;
use fulmargate_platform::LogRecord;
use fulmargate_platform::LogState;
use fulmargate_platform::LogTail;
use fulmargate_platform::LogTimeouts;
use fulmargate_platform::TailNews;
use tokio::time::Instant;

const STREAM: &str = "claims-0";

fn timeouts() -> LogTimeouts {
    LogTimeouts {
        connect: Duration::from_millis(200),
        call: Duration::from_millis(150),
        shortest_pause: Duration::from_millis(1),
        longest_pause: Duration::from_millis(5),
    }
}

fn shared(steps: &[Step]) -> Shared {
    Arc::new(Mutex::new(LogScript { steps: steps.to_vec(), ..LogScript::default() }))
}

/// One append: what the log does, what the client must say, and what then lies in the log.
struct AppendCase {
    step: Step,
    result: Result<LogOffset, LogError>,
    landing: Option<Landing>,
    records: usize,
    up: bool,
}

#[actix_rt::test]
async fn one_append_says_what_is_known() {
    let cases = [
        AppendCase {
            step: Step::Take,
            result: Ok(LogOffset(0)),
            landing: None,
            records: 1,
            up: true,
        },
        AppendCase {
            step: Step::TakeThenHang,
            result: Err(LogError::Lost),
            landing: Some(Landing::Maybe),
            records: 1,
            up: false,
        },
        AppendCase {
            step: Step::TakeThenCut,
            result: Err(LogError::Lost),
            landing: Some(Landing::Maybe),
            records: 1,
            up: false,
        },
        AppendCase {
            step: Step::Hang,
            result: Err(LogError::Lost),
            landing: Some(Landing::Maybe),
            records: 0,
            up: false,
        },
        AppendCase {
            step: Step::Out,
            result: Err(LogError::Out),
            landing: Some(Landing::Never),
            records: 0,
            up: false,
        },
        AppendCase {
            step: Step::Throttle,
            result: Err(LogError::Throttled),
            landing: Some(Landing::Never),
            records: 0,
            up: true,
        },
        AppendCase {
            step: Step::Garble,
            result: Err(LogError::Unreadable { status: 200 }),
            landing: Some(Landing::Maybe),
            records: 0,
            up: false,
        },
    ];
    for case in cases {
        let shared = shared(&[case.step]);
        let (address, handle) = common::start(&shared);
        let client = LogClient::new(&address, timeouts());
        let result = client.append(STREAM, "a", "x").await;
        assert_eq!(result, case.result, "{:?}", case.step);
        assert_eq!(result.err().map(LogError::landing), case.landing, "{:?}", case.step);
        assert_eq!(shared.lock().unwrap().records.len(), case.records, "{:?}", case.step);
        assert_eq!(client.state() == LogState::Up, case.up, "{:?}", case.step);
        handle.stop(false).await;
    }
}

#[actix_rt::test]
async fn a_closed_port_is_not_sent() {
    // The platform's host is gone. The connection is refused before a byte is written, so the record can't have landed.
    let (address, handle) = common::start(&shared(&[]));
    handle.stop(false).await;
    let client = LogClient::new(&address, timeouts());
    let error = client.append(STREAM, "a", "x").await.unwrap_err();
    assert_eq!(error, LogError::NotSent);
    assert_eq!(error.landing(), Landing::Never);
    assert!(matches!(client.state(), LogState::Out { .. }));
}

#[actix_rt::test]
async fn a_connection_closed_after_the_write_is_lost() {
    // The log's host dies with the request read and before it answers. The client library calls this a failed connection;
    // taken at its word, the record would be denied though it may have landed.
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    actix_rt::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            stream.readable().await.unwrap();
            let mut bytes = [0; 4096];
            stream.try_read(&mut bytes).unwrap();
            drop(stream);
        }
    });
    let client = LogClient::new(&address, timeouts());
    let error = client.append(STREAM, "a", "x").await.unwrap_err();
    assert_eq!(error, LogError::Lost);
}

/// An append with tries: the log's steps, the fate, and how often the record stands in the log.
struct SettleCase {
    steps: &'static [Step],
    fate: AppendFate,
    records: usize,
    appends: usize,
}

#[actix_rt::test]
async fn tries_end_in_a_known_fate() {
    // The answer to an append gets lost, or the log is out or over its rate, before it answers as it should. The caller of
    // the client must learn where the record landed, and a record that did land must not be written a second time.
    let cases = [
        SettleCase {
            steps: &[Step::Take],
            fate: AppendFate::Landed(LogOffset(0)),
            records: 1,
            appends: 1,
        },
        SettleCase {
            steps: &[Step::TakeThenHang],
            fate: AppendFate::Landed(LogOffset(0)),
            records: 1,
            appends: 1,
        },
        SettleCase {
            steps: &[Step::TakeThenCut],
            fate: AppendFate::Landed(LogOffset(0)),
            records: 1,
            appends: 1,
        },
        SettleCase {
            steps: &[Step::Hang],
            fate: AppendFate::Landed(LogOffset(0)),
            records: 1,
            appends: 2,
        },
        SettleCase {
            steps: &[Step::Out, Step::Throttle],
            fate: AppendFate::Landed(LogOffset(0)),
            records: 1,
            appends: 3,
        },
        SettleCase {
            steps: &[Step::Garble, Step::Out],
            fate: AppendFate::Landed(LogOffset(0)),
            records: 1,
            appends: 3,
        },
    ];
    for case in cases {
        let shared = shared(case.steps);
        let (address, handle) = common::start(&shared);
        let client = LogClient::new(&address, timeouts());
        let deadline = Instant::now() + Duration::from_secs(30);
        let fate = client.append_settled(STREAM, "a", "x", LogOffset(0), deadline).await;
        assert_eq!(fate, case.fate, "{:?}", case.steps);
        let counts = {
            let script = shared.lock().unwrap();
            (script.records.len(), script.appends)
        };
        assert_eq!(counts, (case.records, case.appends), "{:?}", case.steps);
        handle.stop(false).await;
    }
}

#[actix_rt::test]
async fn a_passed_deadline_tells_never_from_maybe() {
    // The log stays out until the deadline. Only refusals: the record is not there, now or later. One lost answer among
    // them: it may come to lie there yet, and the caller must not be told that it doesn't.
    let cases = [
        (vec![Step::Out; 4], AppendFate::NotLanded(LogError::Out)),
        (vec![Step::Hang, Step::Out], AppendFate::Unknown(LogError::Lost)),
    ];
    for (steps, fate) in cases {
        let shared = shared(&steps);
        let (address, handle) = common::start(&shared);
        let client = LogClient::new(&address, timeouts());
        let result = client.append_settled(STREAM, "a", "x", LogOffset(0), Instant::now()).await;
        assert_eq!(result, fate, "{steps:?}");
        handle.stop(false).await;
    }
}

#[actix_rt::test]
async fn a_tail_tells_a_gap_before_the_records_after_it() {
    // Retention took records that were never read. The reader is told so before it gets the later ones, which would
    // otherwise pass for the next.
    let shared = shared(&[]);
    {
        let mut script = shared.lock().unwrap();
        script.first = 5;
        script.records = (5..8)
            .map(|offset| LogRecord {
                offset: LogOffset(offset),
                time_ms: offset,
                id: offset.to_string(),
                data: String::new(),
            })
            .collect();
    }
    let (address, handle) = common::start(&shared);
    let mut tail = LogTail::new(
        LogClient::new(&address, timeouts()),
        STREAM,
        LogOffset(2),
        Duration::from_millis(5),
    );
    assert_eq!(tail.next_news().await, TailNews::Gap { from: LogOffset(2), first: LogOffset(5) });
    let TailNews::Records(records) = tail.next_news().await else { panic!("records expected") };
    assert_eq!(records.len(), 3);
    assert_eq!(tail.next_offset(), LogOffset(8));
    assert_eq!(tail.next_news().await, TailNews::Idle);
    handle.stop(false).await;
    let news = news_after_stop(&mut tail, &shared).await;
    assert!(matches!(news, TailNews::Failed(_)), "{news:?}");
    assert_eq!(tail.next_offset(), LogOffset(8));
}

/// The first news that the stopped log did not serve. It may still serve reads on an open connection when its stop
/// has returned; these must be idle.
async fn news_after_stop(tail: &mut LogTail, shared: &Shared) -> TailNews {
    loop {
        let reads = shared.lock().unwrap().reads;
        let news = tail.next_news().await;
        let is_served = reads < shared.lock().unwrap().reads;
        if !is_served || news != TailNews::Idle {
            return news;
        }
    }
}

#[actix_rt::test]
async fn the_host_list_is_read() {
    let (address, handle) = common::start(&shared(&[]));
    let page = HostList::new(&address, &timeouts()).fetch().await.unwrap();
    assert_eq!(page.as_of_ms_ago, 40);
    let kinds: Vec<_> = page.hosts.iter().map(|host| (host.kind, host.state)).collect();
    assert_eq!(kinds, [(HostKind::Entry, HostState::Live), (HostKind::Server, HostState::Leaving)]);
    handle.stop(false).await;
}
