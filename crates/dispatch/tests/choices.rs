//! Choice of the server for a call.

mod support;

use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::CacheNotice;
use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::ChoiceReason;
use fulmargate_dispatch::EngineChoice;
use fulmargate_dispatch::EngineRequest;
use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::LoadReport;
use fulmargate_dispatch::LoadingNotice;
use fulmargate_dispatch::LoadingStage;
use fulmargate_dispatch::RouteTable;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::ServerRegistry;
use fulmargate_dispatch::WeightsTable;
use fulmargate_dispatch::scope_of;
use fulmargate_names::HostName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use support::ENGINES;
use support::PLAIN_SERVICE;
use support::engines;
use support::key;
use support::model;
use support::prompt_call;
use support::server;
use support::table;
use support::zone;
use tokio::time::Instant;

const SHARED_PARTS: &[(u64, u32)] = &[(11, 2_500), (12, 3_800)];
const ENGINE_NAMES: &[&str] = &["e1", "e2", "e3", "e4"];

struct ChoiceFixture {
    registry: ServerRegistry,
    table: RouteTable,
    weights: WeightsTable,
    now: Instant,
    boot_now: BootTime,
}

impl ChoiceFixture {
    fn new() -> ChoiceFixture {
        let now = Instant::now();
        let mut registry = ServerRegistry::default();
        registry.sync(&engines(ENGINE_NAMES), now);
        let table = table(Vec::new(), Vec::new());
        let weights = WeightsTable::default();
        ChoiceFixture { registry, table, weights, now, boot_now: BootTime(100_000) }
    }

    /// A fleet with this many engines and other routers, all idle.
    fn fleet(engine_count: usize, routers: usize) -> ChoiceFixture {
        let mut fixture = ChoiceFixture::new();
        let names: Vec<String> = (0..engine_count).map(|number| format!("e{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        fixture.registry.sync(&engines(&names), fixture.now);
        for number in 0..routers {
            let host = Some(HostName::new(&format!("host-{number}")));
            fixture
                .registry
                .apply_gossip(&GossipMessage { host, ..GossipMessage::default() }, fixture.now);
        }
        fixture
    }

    fn choose(&self, call: &CallFacts, excluded: &[ServerKey]) -> Option<EngineChoice> {
        self.registry.choose_engine(&EngineRequest {
            call,
            service: &ServiceName::new(ENGINES),
            model: &model(),
            table: &self.table,
            weights: &self.weights,
            weights_bound: Duration::from_millis(4_800),
            zone: &zone(),
            only_weights: None,
            only_origin: None,
            excluded,
            now: self.now,
            boot_now: self.boot_now,
        })
    }

    fn send(&mut self, id: &str) -> EngineChoice {
        let call = prompt_call(id, SHARED_PARTS, self.now);
        let choice = self.choose(&call, &[]).expect("an engine is chosen");
        self.registry.record_prompt_send(&call, &choice, self.now);
        choice
    }

    fn name(choice: &EngineChoice) -> String {
        choice.server.name.to_string()
    }
}

/// Routers without any shared state must send the same prompt to the same engine.
#[test]
fn routers_agree_on_the_home_engine() {
    let call = prompt_call("c", SHARED_PARTS, Instant::now());
    let first = ChoiceFixture::new().choose(&call, &[]).expect("an engine is chosen");
    let second = ChoiceFixture::new().choose(&call, &[]).expect("an engine is chosen");
    assert_eq!(first.server.name, second.server.name);
}

/// Scattered prompts would make each engine prefill their shared prefix. A short gossip interval
/// must not cause that.
#[test]
fn uncached_prompts_go_to_their_home_engine_in_a_large_fleet() {
    let mut fixture = ChoiceFixture::fleet(140, 65);
    fixture.registry.set_gossip_interval(Duration::from_millis(66));
    let reasons = (0..200).map(|number| {
        let call = prompt_call(&format!("c{number}"), &[(number, 6_300)], fixture.now);
        fixture.choose(&call, &[]).expect("an engine is chosen").reason
    });
    let home_count = reasons.filter(|reason| *reason == ChoiceReason::Owner).count();
    assert!(190 <= home_count, "{home_count} of 200 prompts went to their owner");
}

/// With a long backlog at its owner engine, a prompt goes elsewhere and fetches the prefix instead
/// of prefilling it again.
#[test]
fn a_busy_home_engine_is_bypassed_and_its_prefix_fetched() {
    let mut fixture = ChoiceFixture::new();
    let owner = ChoiceFixture::name(&fixture.send("c1"));
    fixture.now += Duration::from_secs(1);
    let choices: Vec<EngineChoice> =
        (0..6).map(|number| fixture.send(&format!("d{number}"))).collect();
    let alternative = choices.iter().find(|choice| ChoiceFixture::name(choice) != owner);
    let alternative = alternative.expect("another engine is chosen");
    assert!(alternative.fetch.is_some(), "the prefix is fetched");
    assert_eq!(alternative.prefill_tokens, 2_000.0, "only the unshared tokens are prefilled");
}

struct FetchCase {
    name: &'static str,
    /// Milliseconds since the prompt was sent to the first engine.
    after_ms: u64,
    /// Whether the engine has reported that it holds the parts.
    is_reported: bool,
    is_fetched: bool,
}

const FETCH_CASES: &[FetchCase] = &[
    FetchCase { name: "still queued", after_ms: 50, is_reported: false, is_fetched: false },
    FetchCase {
        name: "expected to be prefilled",
        after_ms: 1_000,
        is_reported: false,
        is_fetched: true,
    },
    FetchCase { name: "reported by the engine", after_ms: 50, is_reported: true, is_fetched: true },
];

/// A prefix must not be fetched from an engine at which it is still queued.
#[test]
fn prefixes_are_fetched_once_prefilled() {
    for case in FETCH_CASES {
        let mut fixture = ChoiceFixture::new();
        let first = fixture.send("c1");
        if case.is_reported {
            let scope = scope_of(&first.salt);
            let parts = vec![(scope ^ 11, 2_500), (scope ^ 12, 3_800)];
            let server = first.server.key();
            let notice = CacheNotice { server, is_reset: false, parts };
            fixture.registry.apply_cache_update(notice, fixture.now);
        }
        fixture.now += Duration::from_millis(case.after_ms);
        let call = prompt_call("c2", SHARED_PARTS, fixture.now);
        let choice = fixture.choose(&call, &[first.server.key()]).expect("an engine is chosen");
        assert_eq!(choice.fetch.is_some(), case.is_fetched, "{}", case.name);
    }
}

/// Routers must not send prompts to an engine for a prefix that it has evicted.
#[test]
fn cache_events_correct_the_estimate() {
    let mut fixture = ChoiceFixture::new();
    let first = fixture.send("c1");
    let call = prompt_call("c2", SHARED_PARTS, fixture.now);
    assert_eq!(fixture.choose(&call, &[]).expect("an engine is chosen").prefill_tokens, 2_000.0);
    let scope = scope_of(&first.salt);
    let parts = vec![(scope ^ 11, 0), (scope ^ 12, 0)];
    for server in [first.server.key(), ServerKey::STORE] {
        let notice = CacheNotice { server, is_reset: false, parts: parts.clone() };
        fixture.registry.apply_cache_update(notice, fixture.now);
    }
    assert_eq!(fixture.choose(&call, &[]).expect("an engine is chosen").prefill_tokens, 8_300.0);
}

/// An engine that loads weights refuses requests. The lease holder reports it, and routers avoid
/// the engine until the load has finished or been abandoned.
#[test]
fn engines_loading_weights_get_no_requests() {
    let mut fixture = ChoiceFixture::new();
    let call = prompt_call("c", SHARED_PARTS, fixture.now);
    let owner = fixture.choose(&call, &[]).expect("an engine is chosen").server;
    let notice = |stage| GossipMessage {
        host: Some(HostName::new("holder")),
        loading: vec![LoadingNotice {
            server: owner.key(),
            model: model(),
            version: WeightsVersion(2),
            stage,
        }],
        ..GossipMessage::default()
    };
    fixture.registry.apply_gossip(&notice(LoadingStage::Loading), fixture.now);
    assert_ne!(fixture.choose(&call, &[]).expect("an engine is chosen").server, owner);
    fixture.registry.apply_gossip(&notice(LoadingStage::Failed), fixture.now);
    let choice = fixture.choose(&call, &[]).expect("an engine is chosen");
    assert_eq!(
        (&choice.server, choice.weights),
        (&owner, WeightsVersion(1)),
        "the engine kept its weights"
    );
    fixture.registry.apply_gossip(&notice(LoadingStage::Loading), fixture.now);
    fixture.registry.apply_gossip(&notice(LoadingStage::Loaded), fixture.now);
    let choice = fixture.choose(&call, &[]).expect("an engine is chosen");
    assert_eq!((&choice.server, choice.weights), (&owner, WeightsVersion(2)));
}

struct WeightsCase {
    name: &'static str,
    /// Milliseconds since version 2 was announced.
    age_ms: u64,
    is_usable: bool,
}

const WEIGHTS_CASES: &[WeightsCase] = &[
    WeightsCase { name: "just announced", age_ms: 10, is_usable: true },
    WeightsCase { name: "well within the bound", age_ms: 4_000, is_usable: true },
    WeightsCase { name: "near the bound", age_ms: 4_790, is_usable: false },
    WeightsCase { name: "long past the bound", age_ms: 60_000, is_usable: false },
];

/// A request must not start on weights past the bound after having queued at a busy engine, so the
/// expected wait is subtracted from the bound.
#[test]
fn stale_weights_are_avoided_before_the_bound() {
    for case in WEIGHTS_CASES {
        let mut fixture = ChoiceFixture::new();
        let busy = fixture.send("w1").server.key();
        let announced = BootTime(fixture.boot_now.0 - case.age_ms);
        fixture.weights.add_target(&model(), WeightsVersion(2), Some(announced));
        let call = prompt_call("w2", SHARED_PARTS, fixture.now);
        let mut others: Vec<ServerKey> = ENGINE_NAMES.iter().map(|name| key(name)).collect();
        others.retain(|name| *name != busy);
        let choice = fixture.choose(&call, &others);
        assert_eq!(choice.is_some(), case.is_usable, "{}", case.name);
    }
}

#[test]
fn unreachable_engines_are_a_last_resort() {
    let mut fixture = ChoiceFixture::new();
    let call = prompt_call("c", SHARED_PARTS, fixture.now);
    let owner = fixture.choose(&call, &[]).expect("an engine is chosen").server;
    fixture.registry.record_unreachable(owner.key(), fixture.now);
    assert_ne!(fixture.choose(&call, &[]).expect("an engine is chosen").server, owner);
    for name in ENGINE_NAMES {
        fixture.registry.record_unreachable(key(name), fixture.now);
    }
    assert!(fixture.choose(&call, &[]).is_some());
    let all: Vec<ServerKey> = ENGINE_NAMES.iter().map(|name| key(name)).collect();
    assert!(fixture.choose(&call, &all).is_none());
}

/// When another server answers at its address, a server must not be chosen again even if the list
/// still has it.
#[test]
fn a_server_whose_address_was_reused_is_removed() {
    let mut fixture = ChoiceFixture::new();
    fixture.registry.forget(key("e1"));
    fixture.registry.sync(&engines(ENGINE_NAMES), fixture.now);
    assert!(fixture.registry.state(key("e1")).is_none());
    fixture.registry.sync(&engines(&["e2", "e3"]), fixture.now);
    fixture.registry.sync(&engines(ENGINE_NAMES), fixture.now);
    assert!(
        fixture.registry.state(key("e1")).is_some(),
        "the server was removed from the list and added again"
    );
}

#[test]
fn plain_calls_go_to_the_fastest_server() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    let entries: Vec<_> =
        ["d1", "d2", "d3"].map(|name| Arc::new(server(name, PLAIN_SERVICE))).into();
    registry.sync(&entries, now);
    let service = ServiceName::new(PLAIN_SERVICE);
    let choose = |registry: &ServerRegistry| {
        let server =
            registry.choose_plain(&service, &zone(), &[], now).expect("a server is chosen");
        server.name.to_string()
    };
    let call = prompt_call("p", &[], now);
    let mut ticket = registry.record_send(&call, key("d1"), now);
    let busy = LoadReport { running: 8, waiting: 9, slots: 8 };
    registry.record_response(&mut ticket, Some(busy), now);
    assert_ne!(choose(&registry), "d1", "d1 is full");
    for _ in 0..5 {
        registry.record_failure(key("d2"), now);
    }
    assert_eq!(choose(&registry), "d3", "d2 has failed repeatedly");
}

struct StartCase {
    name: &'static str,
    /// Milliseconds since version 2 was announced.
    age_ms: u64,
    version: u64,
    remaining_ms: Option<u64>,
}

const START_CASES: &[StartCase] = &[
    StartCase { name: "newest version", age_ms: 5_000, version: 2, remaining_ms: None },
    StartCase { name: "just replaced", age_ms: 100, version: 1, remaining_ms: Some(7_100) },
    StartCase {
        name: "shortly before the limit",
        age_ms: 7_150,
        version: 1,
        remaining_ms: Some(50),
    },
    StartCase { name: "past the limit", age_ms: 20_000, version: 1, remaining_ms: Some(0) },
];

/// A request queued at an engine must not start on weights past the bound. The bound counts from
/// the announcement, even if this router learned of it late.
#[test]
fn unstarted_requests_are_abandoned_before_the_bound() {
    for case in START_CASES {
        let now = BootTime(100_000);
        let mut weights = WeightsTable::default();
        weights.add_target(&model(), WeightsVersion(2), Some(BootTime(now.0 - case.age_ms)));
        let bound = Duration::from_secs(8);
        let remaining = weights.max_start_delay(&model(), WeightsVersion(case.version), bound, now);
        assert_eq!(
            remaining.map(|remaining| remaining.as_millis() as u64),
            case.remaining_ms,
            "{}",
            case.name
        );
    }
}

struct HerdingCase {
    name: &'static str,
    /// Number of other routers.
    routers: usize,
    /// Bounds of the number of engines that calls for one record are sent to before any gossip.
    min_engines: usize,
    max_engines: usize,
}

const HERDING_CASES: &[HerdingCase] = &[
    HerdingCase {
        name: "a small fleet agrees on the prompt's owner",
        routers: 5,
        min_engines: 1,
        max_engines: 1,
    },
    HerdingCase {
        name: "a large fleet spreads its calls",
        routers: 90,
        min_engines: 8,
        max_engines: 40,
    },
];

/// Routers of a large fleet must not all choose the engine that looked best in the last gossip
/// messages.
#[test]
fn large_fleets_avoid_herding() {
    for case in HERDING_CASES {
        let fixture = ChoiceFixture::fleet(40, case.routers);
        let mut chosen: Vec<ServerName> = (0..100)
            .filter_map(|number| {
                let call = prompt_call(&format!("call-{number}"), SHARED_PARTS, fixture.now);
                Some(fixture.choose(&call, &[])?.server.name.clone())
            })
            .collect();
        chosen.sort_unstable();
        chosen.dedup();
        let count = chosen.len();
        assert!(case.min_engines <= count && count <= case.max_engines, "{}: {count}", case.name);
    }
}

struct PopularCase {
    name: &'static str,
    routers: usize,
    /// Number of requests for the part one second ago.
    request_count: usize,
    /// Bounds of the share of calls sent to the engine that holds the part.
    min_share: f64,
    max_share: f64,
}

const POPULAR_CASES: &[PopularCase] = &[
    PopularCase {
        name: "one request in a large fleet",
        routers: 90,
        request_count: 1,
        min_share: 0.5,
        max_share: 1.0,
    },
    PopularCase {
        name: "many requests in a large fleet",
        routers: 90,
        request_count: 60,
        min_share: 0.0,
        max_share: 0.3,
    },
    PopularCase {
        name: "many requests in a small fleet",
        routers: 5,
        request_count: 60,
        min_share: 0.5,
        max_share: 1.0,
    },
];

/// Routers know which engine holds a popular prefix but not that all others send there too. Its
/// request rate must make them use other engines.
#[test]
fn popular_prefixes_spread_over_engines() {
    for case in POPULAR_CASES {
        let mut fixture = ChoiceFixture::fleet(40, case.routers);
        let first = fixture
            .choose(&prompt_call("first", SHARED_PARTS, fixture.now), &[])
            .expect("an engine is chosen");
        let holder = first.server.name.clone();
        for number in 0..case.request_count {
            let call = prompt_call(&format!("sent-{number}"), SHARED_PARTS, fixture.now);
            let ticket = fixture.registry.record_prompt_send(&call, &first, fixture.now);
            fixture.registry.record_end(&ticket);
        }
        fixture.now += Duration::from_secs(1);
        let calls = (0..50)
            .map(|number| prompt_call(&format!("later-call-{number}"), SHARED_PARTS, fixture.now));
        let sent_to_holder = calls.filter(|call| {
            fixture.choose(call, &[]).is_some_and(|choice| choice.server.name == holder)
        });
        let share = sent_to_holder.count() as f64 / 50.0;
        assert!(case.min_share <= share && share <= case.max_share, "{}: {share}", case.name);
    }
}

/// A fast server that got nothing for a while, and one that is new, must not be left out for ever because others are
/// faster than what is assumed of a server that was not measured.
#[test]
fn idle_servers_of_a_fast_service_are_used_again() {
    let start = Instant::now();
    let entries: Vec<Arc<ServerEntry>> =
        ["a", "b"].iter().map(|name| Arc::new(server(name, PLAIN_SERVICE))).collect();
    let mut registry = ServerRegistry::default();
    registry.sync(&entries, start);
    let call = prompt_call("r", &[], start);
    let finish = |registry: &mut ServerRegistry, name: &str, at_ms: u64| {
        let at = start + Duration::from_millis(at_ms);
        let ticket = registry.record_send(&call, key(name), at);
        registry.record_success(&ticket, at + Duration::from_millis(2));
        registry.record_end(&ticket);
    };
    (0..50).for_each(|ms| finish(&mut registry, "a", ms));
    let with_new: Vec<Arc<ServerEntry>> =
        ["a", "b", "new"].iter().map(|name| Arc::new(server(name, PLAIN_SERVICE))).collect();
    // Only one of them is used for long.
    (0..200).for_each(|number| finish(&mut registry, "b", 1_000 + 100 * number));
    registry.sync(&with_new, start + Duration::from_secs(21));
    let now = start + Duration::from_secs(22);
    let mut chosen = indexmap::IndexSet::new();
    for _ in 0..6 {
        let service = ServiceName::new(PLAIN_SERVICE);
        let server = registry.choose_plain(&service, &zone(), &[], now).expect("a server");
        registry.record_send(&call, server.key(), now);
        chosen.insert(server.name.to_string());
    }
    assert_eq!(chosen.len(), 3, "{chosen:?}");
}
