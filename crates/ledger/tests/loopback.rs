//! The coordinator over the log client, by sockets on loopback.

#[path = "support/loopback_log.rs"]
mod loopback_log;

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use fulmargate_ledger::ClaimCoordinator;
use fulmargate_ledger::ClaimHandle;
use fulmargate_ledger::ClaimKey;
use fulmargate_ledger::ClaimLog;
use fulmargate_ledger::ClaimVerdict;
use fulmargate_ledger::ClaimerId;
use fulmargate_ledger::KnownKey;
use fulmargate_ledger::LedgerSettings;
use fulmargate_ledger::RequestPrint;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::TeamName;
use fulmargate_platform::LogClient;
use fulmargate_platform::LogTimeouts;
use futures_util::future::join_all;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const KEYS: usize = 40;
const SHARDS: u32 = 3;
const WAIT: Duration = Duration::from_secs(60);
const PRINT: RequestPrint = RequestPrint([1; 8]);

fn key(index: usize) -> ClaimKey {
    ClaimKey::new(&TeamName::new("shop"), &format!("order-{index}"))
}

fn start_desk(
    address: &str,
    host: &str,
    incarnation: u64,
    cancel: &CancellationToken,
) -> (ClaimCoordinator, ClaimHandle) {
    let client = LogClient::new(address, LogTimeouts::default());
    let me = ClaimerId { host: HostName::new(host), incarnation: Incarnation(incarnation) };
    // Nothing is to depend on how busy the machine is.
    let settings = LedgerSettings {
        ticket_life: WAIT,
        append_patience: WAIT,
        pending_ms: WAIT.as_millis() as u64,
        ..LedgerSettings::for_retention(Duration::from_secs(3_600))
    };
    ClaimCoordinator::start(ClaimLog::over(&client), &settings, SHARDS, &me, cancel).unwrap()
}

/// What a call came to: whether it was sent, and the answer if there was one.
async fn call(handle: ClaimHandle, host: &str, index: usize) -> (bool, Option<String>) {
    match handle.claim(key(index), PRINT, Instant::now() + WAIT).await {
        ClaimVerdict::Won(ticket) => {
            let answer = format!("{host} ran {index}");
            ticket.begin_send(Instant::now()).unwrap().answered(
                200,
                "text/plain",
                answer.as_bytes(),
            );
            (true, Some(answer))
        }
        ClaimVerdict::Done(ran) => {
            let body = ran.body.map(|body| STANDARD.decode(&*body.base64).unwrap());
            (false, body.map(|body| String::from_utf8(body).unwrap()))
        }
        _ => (false, None),
    }
}

#[actix_rt::test]
async fn three_routers_run_each_call_once_over_sockets() {
    // Each call comes to three routers at once while the log loses the answer to each third append. One router
    // runs it, and the others give that one's answer. Routers started anew give it too, from the log.
    let address = loopback_log::start_log(3);
    let mut answers = vec![None; KEYS];
    for incarnation in 1..=2 {
        let cancel = CancellationToken::new();
        let hosts = ["mn-1", "be-1", "ps-1"];
        let routers: Vec<_> =
            hosts.iter().map(|host| start_desk(&address, host, incarnation, &cancel)).collect();
        for (index, first) in answers.iter_mut().enumerate() {
            let calls = hosts
                .iter()
                .zip(&routers)
                .map(|(host, (_, handle))| call(handle.clone(), host, index));
            let told = join_all(calls).await;
            let sent = told.iter().filter(|(sent, _)| *sent).count();
            assert_eq!(sent, usize::from(incarnation == 1), "key {index}: {told:?}");
            for (_, answer) in told {
                let expected = first.get_or_insert_with(|| answer.clone());
                assert_eq!(answer, *expected, "key {index}");
            }
        }
        let (_, handle) = &routers[0];
        assert_eq!(handle.known(key(0), Instant::now() + WAIT).await, KnownKey::Claimed);
        assert_eq!(handle.known(key(KEYS), Instant::now() + WAIT).await, KnownKey::Free);
        cancel.cancel();
        for (coordinator, _) in routers {
            assert_eq!(coordinator.ended().await.len(), SHARDS as usize);
        }
    }
}
