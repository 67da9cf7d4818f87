//! Which server a call goes to.

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
use fulmargate_dispatch::ServerBook;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::WeightsTable;
use fulmargate_dispatch::scope_of;
use fulmargate_names::HostName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use support::DESK;
use support::ENGINES;
use support::engines;
use support::key;
use support::model;
use support::prompt_call;
use support::server;
use support::table;
use support::zone;
use tokio::time::Instant;

const RECORD: &[(u64, u32)] = &[(11, 2_500), (12, 3_800)];
const NAMES: &[&str] = &["e1", "e2", "e3", "e4"];

struct ChoiceWorld {
    book: ServerBook,
    table: RouteTable,
    weights: WeightsTable,
    now: Instant,
    boot_now: BootTime,
}

impl ChoiceWorld {
    fn new() -> ChoiceWorld {
        let now = Instant::now();
        let mut book = ServerBook::default();
        book.sync(&engines(NAMES), now);
        let table = table(Vec::new(), Vec::new());
        let weights = WeightsTable::default();
        ChoiceWorld { book, table, weights, now, boot_now: BootTime(100_000) }
    }

    /// So many engines and other routers, which have nothing under way.
    fn fleet(engine_count: usize, routers: usize) -> ChoiceWorld {
        let mut world = ChoiceWorld::new();
        let names: Vec<String> = (0..engine_count).map(|number| format!("e{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        world.book.sync(&engines(&names), world.now);
        for number in 0..routers {
            let host = Some(HostName::new(&format!("host-{number}")));
            world.book.hear(&GossipMessage { host, ..GossipMessage::default() }, world.now);
        }
        world
    }

    fn choose(&self, call: &CallFacts, excluded: &[ServerKey]) -> Option<EngineChoice> {
        self.book.choose_engine(&EngineRequest {
            call,
            service: &ServiceName::new(ENGINES),
            model: &model(),
            table: &self.table,
            weights: &self.weights,
            weights_bound: Duration::from_millis(4_800),
            zone: &zone(),
            only_weights: None,
            excluded,
            now: self.now,
            boot_now: self.boot_now,
        })
    }

    fn send(&mut self, id: &str) -> EngineChoice {
        let call = prompt_call(id, RECORD, self.now);
        let choice = self.choose(&call, &[]).expect("an engine");
        self.book.begin_prompt(&call, &choice, self.now);
        choice
    }

    fn name(choice: &EngineChoice) -> String {
        choice.server.name.to_string()
    }
}

/// Two routers that know nothing send the same prompt to the same engine.
#[test]
fn routers_agree_on_a_home() {
    let call = prompt_call("c", RECORD, Instant::now());
    let first = ChoiceWorld::new().choose(&call, &[]).expect("an engine");
    let second = ChoiceWorld::new().choose(&call, &[]).expect("an engine");
    assert_eq!(first.server.name, second.server.name);
}

/// In a large fleet whose gossip is fast, prompts that no engine has must still meet at one engine: scattered,
/// their shared parts are read once by each.
#[test]
fn unknown_prompts_go_home_in_a_large_fleet() {
    let mut world = ChoiceWorld::fleet(140, 65);
    world.book.set_gossip_interval(Duration::from_millis(66));
    let reasons = (0..200).map(|number| {
        let call = prompt_call(&format!("c{number}"), &[(number, 6_300)], world.now);
        world.choose(&call, &[]).expect("an engine").reason
    });
    let homes = reasons.filter(|reason| *reason == ChoiceReason::Home).count();
    assert!(190 <= homes, "{homes} of 200 went home");
}

/// Prompts wait behind others at their home while engines beside it are idle.
/// A long backlog sends them elsewhere, and what home has read is fetched, not read again.
#[test]
fn a_busy_home_is_left_and_asked_for_its_parts() {
    let mut world = ChoiceWorld::new();
    let home = ChoiceWorld::name(&world.send("c1"));
    world.now += Duration::from_secs(1);
    let choices: Vec<EngineChoice> = (0..6).map(|turn| world.send(&format!("d{turn}"))).collect();
    let left = choices.iter().find(|choice| ChoiceWorld::name(choice) != home);
    let left = left.expect("another engine");
    assert!(left.fetch.is_some(), "its parts are fetched");
    assert_eq!(left.read_tokens, 2_000.0, "only its own tokens are read");
}

struct ReadyCase {
    name: &'static str,
    /// Milliseconds since the prompt was sent to the first engine.
    after_ms: u64,
    /// The engine or the store has said that it has the parts.
    is_told: bool,
    is_fetched: bool,
}

const READY: &[ReadyCase] = &[
    ReadyCase { name: "it waits there", after_ms: 50, is_told: false, is_fetched: false },
    ReadyCase { name: "it has been read", after_ms: 1_000, is_told: false, is_fetched: true },
    ReadyCase { name: "the engine says so", after_ms: 50, is_told: true, is_fetched: true },
];

/// Prompts are read anew although an engine was asked for their parts.
/// They came right after the first one, which was still waiting at that engine: there was nothing to
/// fetch. Parts are fetched once they are expected to have been read, or are said to be there.
#[test]
fn parts_are_fetched_when_they_have_been_read() {
    for case in READY {
        let mut world = ChoiceWorld::new();
        let first = world.send("c1");
        if case.is_told {
            let scope = scope_of(&first.salt);
            let parts = vec![(scope ^ 11, 2_500), (scope ^ 12, 3_800)];
            let server = first.server.key();
            let notice = CacheNotice { server, is_reset: false, parts };
            world.book.hear_cache(notice, world.now);
        }
        world.now += Duration::from_millis(case.after_ms);
        let call = prompt_call("c2", RECORD, world.now);
        let choice = world.choose(&call, &[first.server.key()]).expect("an engine");
        assert_eq!(choice.fetch.is_some(), case.is_fetched, "{}", case.name);
    }
}

/// An engine evicts a part; routers that believe otherwise send prompts to be read anew.
#[test]
fn events_correct_beliefs() {
    let mut world = ChoiceWorld::new();
    let first = world.send("c1");
    let call = prompt_call("c2", RECORD, world.now);
    assert_eq!(world.choose(&call, &[]).expect("an engine").read_tokens, 2_000.0);
    let scope = scope_of(&first.salt);
    let parts = vec![(scope ^ 11, 0), (scope ^ 12, 0)];
    for server in [first.server.key(), ServerKey::STORE] {
        let notice = CacheNotice { server, is_reset: false, parts: parts.clone() };
        world.book.hear_cache(notice, world.now);
    }
    assert_eq!(world.choose(&call, &[]).expect("an engine").read_tokens, 8_300.0);
}

/// An engine that is ordered to load turns requests away, and each costs the budget a repeat.
/// The holder of the lease tells; no router sends there until the weights are in place, or the engine
/// has been given up and keeps what it has.
#[test]
fn engines_that_load_get_nothing() {
    let mut world = ChoiceWorld::new();
    let call = prompt_call("c", RECORD, world.now);
    let home = world.choose(&call, &[]).expect("an engine").server;
    let notice = |stage| GossipMessage {
        host: Some(HostName::new("holder")),
        loading: vec![LoadingNotice {
            server: home.key(),
            model: model(),
            version: WeightsVersion(2),
            stage,
        }],
        ..GossipMessage::default()
    };
    world.book.hear(&notice(LoadingStage::Loading), world.now);
    assert_ne!(world.choose(&call, &[]).expect("an engine").server, home);
    world.book.hear(&notice(LoadingStage::GivenUp), world.now);
    let choice = world.choose(&call, &[]).expect("an engine");
    assert_eq!((&choice.server, choice.weights), (&home, WeightsVersion(1)), "it kept its own");
    world.book.hear(&notice(LoadingStage::Loading), world.now);
    world.book.hear(&notice(LoadingStage::InPlace), world.now);
    let choice = world.choose(&call, &[]).expect("an engine");
    assert_eq!((&choice.server, choice.weights), (&home, WeightsVersion(2)));
}

struct WeightsCase {
    name: &'static str,
    /// Milliseconds since version 2 was named.
    age_ms: u64,
    usable: bool,
}

const WEIGHTS: &[WeightsCase] = &[
    WeightsCase { name: "just named", age_ms: 10, usable: true },
    WeightsCase { name: "well within the bound", age_ms: 4_000, usable: true },
    WeightsCase { name: "near the bound", age_ms: 4_790, usable: false },
    WeightsCase { name: "long ago", age_ms: 60_000, usable: false },
];

/// A request begins on weights that were replaced long ago, after it waited at its engine.
/// It was sent within the bound to an engine with a backlog of 200 ms.
/// The expected wait is taken off the bound.
#[test]
fn old_weights_are_left_in_time() {
    for case in WEIGHTS {
        let mut world = ChoiceWorld::new();
        let busy = world.send("w1").server.key();
        let named = BootTime(world.boot_now.0 - case.age_ms);
        world.weights.name_version(&model(), WeightsVersion(2), named);
        let call = prompt_call("w2", RECORD, world.now);
        let mut others: Vec<ServerKey> = NAMES.iter().map(|name| key(name)).collect();
        others.retain(|name| *name != busy);
        let choice = world.choose(&call, &others);
        assert_eq!(choice.is_some(), case.usable, "{}", case.name);
    }
}

/// A router that has just started reads that new weights are wanted, but not since when.
/// It takes them for old until another router tells.
#[test]
fn ages_of_versions_are_told_to_new_routers() {
    let now = BootTime(50_000);
    let mut weights = WeightsTable::default();
    weights.name_version(&model(), WeightsVersion(1), BootTime::default());
    weights.name_version(&model(), WeightsVersion(2), BootTime::default());
    let age = |weights: &WeightsTable| weights.outdated_for(&model(), WeightsVersion(1), now);
    assert_eq!(age(&weights), Duration::from_millis(50_000));
    assert!(weights.correct_age(&model(), WeightsVersion(2), Duration::from_millis(300), now));
    assert_eq!(age(&weights), Duration::from_millis(300));
    assert!(!weights.correct_age(&model(), WeightsVersion(2), Duration::ZERO, now));
    assert_eq!(age(&weights), Duration::from_millis(300), "the first word counts");
}

#[test]
fn unreachable_engines_are_a_last_resort() {
    let mut world = ChoiceWorld::new();
    let call = prompt_call("c", RECORD, world.now);
    let home = world.choose(&call, &[]).expect("an engine").server;
    world.book.unreachable(home.key(), world.now);
    assert_ne!(world.choose(&call, &[]).expect("an engine").server, home);
    for name in NAMES {
        world.book.unreachable(key(name), world.now);
    }
    assert!(world.choose(&call, &[]).is_some());
    let all: Vec<ServerKey> = NAMES.iter().map(|name| key(name)).collect();
    assert!(world.choose(&call, &all).is_none());
}

/// Another server answers at the address of one that has ended: it is not chosen again, although
/// the list still has it.
#[test]
fn a_server_whose_address_is_taken_is_forgotten() {
    let mut world = ChoiceWorld::new();
    world.book.forget(key("e1"));
    world.book.sync(&engines(NAMES), world.now);
    assert!(world.book.state(key("e1")).is_none());
    world.book.sync(&engines(&["e2", "e3"]), world.now);
    world.book.sync(&engines(NAMES), world.now);
    assert!(world.book.state(key("e1")).is_some(), "the list had dropped it meanwhile");
}

#[test]
fn plain_calls_go_where_they_are_answered_first() {
    let now = Instant::now();
    let mut book = ServerBook::default();
    let entries: Vec<_> = ["d1", "d2", "d3"].map(|name| Arc::new(server(name, DESK))).into();
    book.sync(&entries, now);
    let service = ServiceName::new(DESK);
    let choose = |book: &ServerBook| {
        let server = book.choose_plain(&service, &zone(), &[], now).expect("a server");
        server.name.to_string()
    };
    let call = prompt_call("p", &[], now);
    let mut ticket = book.begin(&call, key("d1"), now);
    let busy = LoadReport { running: 8, waiting: 9, slots: 8 };
    book.answered(&mut ticket, Some(busy), now);
    assert_ne!(choose(&book), "d1", "full");
    for _ in 0..5 {
        book.failed(key("d2"), now);
    }
    assert_eq!(choose(&book), "d3", "d2 fails");
}

struct BeginCase {
    name: &'static str,
    /// Milliseconds since version 2 was named.
    age_ms: u64,
    version: u64,
    time_ms: Option<u64>,
}

const BEGINS: &[BeginCase] = &[
    BeginCase { name: "the newest", age_ms: 5_000, version: 2, time_ms: None },
    BeginCase { name: "just replaced", age_ms: 100, version: 1, time_ms: Some(7_100) },
    BeginCase { name: "nearly over", age_ms: 7_150, version: 1, time_ms: Some(50) },
    BeginCase { name: "over", age_ms: 20_000, version: 1, time_ms: Some(0) },
];

/// A request waits at a busy engine and begins on weights that are too old.
/// It was sent in time; this router learned of the version late, and the bound counts from its naming.
/// It is given up while there is still time, 0.8 s before the bound.
#[test]
fn a_request_that_has_not_begun_is_given_up_in_time() {
    for case in BEGINS {
        let now = BootTime(100_000);
        let mut weights = WeightsTable::default();
        weights.name_version(&model(), WeightsVersion(2), BootTime(now.0 - case.age_ms));
        let bound = Duration::from_secs(8);
        let time = weights.time_to_begin(&model(), WeightsVersion(case.version), bound, now);
        assert_eq!(time.map(|time| time.as_millis() as u64), case.time_ms, "{}", case.name);
    }
}

struct HerdCase {
    name: &'static str,
    /// Other routers that are heard.
    routers: usize,
    /// Engines that calls for one record go to before anybody hears of them.
    least: usize,
    most: usize,
}

const HERDS: &[HerdCase] = &[
    HerdCase { name: "a small fleet agrees on the home", routers: 5, least: 1, most: 1 },
    HerdCase { name: "a large one spreads", routers: 90, least: 8, most: 40 },
];

/// All routers of a large fleet send to the engine that looked least busy half a second ago.
/// They hear of each other's sends too late to see that it is not so any more.
/// So each call draws its engines, and the sends of that half second are spread.
#[test]
fn large_fleets_do_not_herd() {
    for case in HERDS {
        let world = ChoiceWorld::fleet(40, case.routers);
        let mut chosen: Vec<ServerName> = (0..100)
            .filter_map(|turn| {
                let call = prompt_call(&format!("call-{turn}"), RECORD, world.now);
                Some(world.choose(&call, &[])?.server.name.clone())
            })
            .collect();
        chosen.sort_unstable();
        chosen.dedup();
        let count = chosen.len();
        assert!(case.least <= count && count <= case.most, "{}: {count}", case.name);
    }
}

struct CommonCase {
    name: &'static str,
    routers: usize,
    /// Sends of all routers for the part a second ago.
    sends: usize,
    /// Share of the calls that go to the engine that has the part.
    least: f64,
    most: f64,
}

const COMMON: &[CommonCase] = &[
    CommonCase {
        name: "asked for once, it stays there",
        routers: 90,
        sends: 1,
        least: 0.5,
        most: 1.0,
    },
    CommonCase {
        name: "asked for by all, it spreads",
        routers: 90,
        sends: 60,
        least: 0.0,
        most: 0.3,
    },
    CommonCase {
        name: "a small fleet hears in time",
        routers: 5,
        sends: 60,
        least: 0.5,
        most: 1.0,
    },
];

/// All heavy prompts of a kind wait for seconds at one engine while others idle.
/// It was the first to read the part that they share; each router knows that, and none knows yet that
/// the others send there as well. How often the part was asked for lately tells how many that are.
#[test]
fn a_part_that_all_ask_for_spreads() {
    for case in COMMON {
        let mut world = ChoiceWorld::fleet(40, case.routers);
        let first = world.choose(&prompt_call("first", RECORD, world.now), &[]).expect("an engine");
        let holder = first.server.name.clone();
        for turn in 0..case.sends {
            let call = prompt_call(&format!("sent-{turn}"), RECORD, world.now);
            let ticket = world.book.begin_prompt(&call, &first, world.now);
            world.book.left(&ticket);
        }
        world.now += Duration::from_secs(1);
        let calls =
            (0..50).map(|turn| prompt_call(&format!("later-call-{turn}"), RECORD, world.now));
        let there = calls.filter(|call| {
            world.choose(call, &[]).is_some_and(|choice| choice.server.name == holder)
        });
        let share = there.count() as f64 / 50.0;
        assert!(case.least <= share && share <= case.most, "{}: {share}", case.name);
    }
}
