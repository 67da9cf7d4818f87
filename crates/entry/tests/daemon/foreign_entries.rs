//! Starts of a daemon while the store holds entries that no part of the system has written.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::FakeStore;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::StoreTopic;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use crate::support::DaemonProcess;
use crate::support::MAX_POLLS;
use crate::support::POLL_INTERVAL;
use crate::support::TestDeployment;

/// More than one page of a listing holds.
const ENTRIES: usize = 600;
/// Interval between two writes of a server's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Memory of an entry host, in kilobytes.
const HOST_MEMORY_KB: u64 = 110 * 1024;
const SERVERS: [&str; 4] = ["desk-1", "desk-2", "engine-1", "engine-2"];

/// Foreign entries: each key is `prefix`, a number and `suffix`.
struct ForeignKeys {
    name: &'static str,
    prefix: &'static [u8],
    suffix: &'static [u8],
}

const KEYS: &[ForeignKeys] = &[
    ForeignKeys { name: "plain", prefix: b"a05", suffix: b"" },
    ForeignKeys { name: "ampersand", prefix: b"a05&b=", suffix: b"" },
    ForeignKeys { name: "fragment", prefix: b"a05#", suffix: b"" },
    ForeignKeys { name: "plus", prefix: b"b+", suffix: b"" },
    ForeignKeys { name: "encoded character", prefix: b"a02%21", suffix: b"" },
    ForeignKeys { name: "encoded letter", prefix: b"a02%41", suffix: b"" },
    ForeignKeys { name: "broken encoding", prefix: b"a02%", suffix: b"%" },
    ForeignKeys { name: "space", prefix: b"a 0", suffix: b" " },
    ForeignKeys { name: "quote", prefix: b"a\"0", suffix: b"\"" },
    ForeignKeys { name: "control character", prefix: b"a\x01\n", suffix: b"\0" },
    ForeignKeys { name: "umlaut", prefix: "a\u{fc}".as_bytes(), suffix: b"" },
    ForeignKeys { name: "not UTF-8", prefix: b"a\xff", suffix: b"\xfe" },
];

const TOPICS: &[StoreTopic] =
    &[StoreTopic::Servers, StoreTopic::Operator, StoreTopic::Routers, StoreTopic::Streams];

/// Writes the entries of the sound servers again and again.
fn write_heartbeats(store: &FakeStore) -> AbortOnDropHandle<()> {
    let store = store.clone();
    let is_sound = |key: &[u8]| SERVERS.iter().any(|server| server.as_bytes() == key);
    AbortOnDropHandle::new(tokio::spawn(async move {
        loop {
            store.write_heartbeats_of(is_sound);
            sleep(HEARTBEAT).await;
        }
    }))
}

fn put_entries(store: &FakeStore, topic: StoreTopic, keys: &ForeignKeys, value: &[u8]) {
    for number in 0..ENTRIES {
        let number = format!("{number:04}");
        let key = [keys.prefix, number.as_bytes(), keys.suffix].concat();
        store.put_foreign(topic, &key, value);
    }
}

async fn restart(deployment: &mut TestDeployment) {
    deployment.daemon.signal("KILL");
    deployment.daemon.exit_code().await;
    deployment.daemon =
        DaemonProcess::start_with_settings(deployment.store.address, &json!({"memory_mb": 110}));
    deployment.callers = deployment.daemon.address("callers").await;
}

/// Polls until an ordinary call and a prompt are served.
async fn wait_until_served(deployment: &TestDeployment, case: &str) {
    let mut statuses = (0, 0);
    for number in 0..MAX_POLLS {
        let call = CallerRequest::new("/read/x", &format!("{case}-read-{number}"));
        let prompt = CallerRequest::prompt("/chat/x", &format!("{case}-chat-{number}"));
        statuses = (deployment.send(&call).await.status, deployment.send(&prompt).await.status);
        if statuses == (200, 200) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("{case}: not served after a start: {statuses:?}");
}

async fn check_keys(topic: StoreTopic, keys: &ForeignKeys) {
    let mut deployment = TestDeployment::start(ServerMode::Echo).await;
    let _heartbeats = write_heartbeats(&deployment.store);
    put_entries(&deployment.store, topic, keys, b"{}");
    let calls = deployment.store.list_calls();
    restart(&mut deployment).await;
    wait_until_served(&deployment, keys.name).await;
    sleep(HEARTBEAT).await;
    let calls = deployment.store.list_calls() - calls;
    assert!(calls <= 16, "{topic:?}, {}: {calls} calls of a listing", keys.name);
}

/// Guards against a listing that never ends, or begins again and again, since a key of it changes the request for the
/// next page.
#[tokio::test]
async fn a_start_serves_beside_keys_with_any_bytes() {
    for keys in KEYS {
        check_keys(StoreTopic::Servers, keys).await;
    }
}

/// The same in the other topics that a start lists.
#[tokio::test]
async fn a_start_serves_beside_foreign_keys_in_any_topic() {
    for topic in TOPICS {
        check_keys(*topic, &KEYS[1]).await;
    }
}

/// Guards against a start that keeps all foreign entries in memory before it uses the list, and is killed for it.
#[tokio::test]
async fn a_start_beside_large_entries_keeps_to_its_memory() {
    let mut deployment = TestDeployment::start(ServerMode::Echo).await;
    let _heartbeats = write_heartbeats(&deployment.store);
    let padding = "x".repeat(250_000);
    for number in 0..460 {
        let text = format!("{{\"service\":\"desk\",\"zone\":\"{padding}\"}}");
        deployment.store.put_foreign(
            StoreTopic::Servers,
            format!("a{number:04}").as_bytes(),
            text.as_bytes(),
        );
    }
    restart(&mut deployment).await;
    wait_until_served(&deployment, "large").await;
    sleep(HEARTBEAT * 3).await;
    let peak = deployment.daemon.peak_resident_kb();
    assert!(peak < HOST_MEMORY_KB, "{peak} KB were resident");
}

/// Guards against entries that look sound and belong to no server: a start knows nothing that tells them from others.
#[tokio::test]
async fn a_start_serves_beside_entries_of_no_server() {
    let mut deployment = TestDeployment::start(ServerMode::Echo).await;
    let _heartbeats = write_heartbeats(&deployment.store);
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = silent.local_addr().expect("a local address");
    for number in 0..400 {
        let service = if number % 2 == 0 { "desk" } else { "engines" };
        deployment.store.put_server(&format!("a{number:04}"), service, address, "ready");
    }
    restart(&mut deployment).await;
    wait_until_served(&deployment, "silent").await;
    // Each further call is served as well, once the silent entries are known.
    sleep(HEARTBEAT * 5).await;
    for number in 0..20 {
        let call = CallerRequest::new("/read/x", &format!("silent-late-{number}"));
        assert_eq!(deployment.send(&call).await.status, 200, "call {number}");
    }
}

/// Guards against a sound server that is not used because of a value that no router needs.
#[tokio::test]
async fn a_version_that_is_out_of_range_costs_no_server() {
    let mut deployment = TestDeployment::start(ServerMode::Echo).await;
    for (name, server) in
        SERVERS.iter().zip(deployment.plain_servers.iter().chain(&deployment.engines))
    {
        let (service, models) = match name.starts_with("desk") {
            true => ("desk", "[]"),
            false => ("engines", r#"[{"name":"m","version":1,"adapters":[]}]"#),
        };
        let address = server.address;
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"north","version":1e999,"slots":8,"state":"ready","coldRemainingMs":0,"models":{models},"sequence":1e999}}"#
        );
        deployment.store.put_foreign(StoreTopic::Servers, name.as_bytes(), entry.as_bytes());
    }
    restart(&mut deployment).await;
    wait_until_served(&deployment, "version").await;
}
