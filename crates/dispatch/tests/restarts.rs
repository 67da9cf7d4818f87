//! Servers that start again under their old names.

mod support;

use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::Backlog;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::CacheNotice;
use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::ChoiceReason;
use fulmargate_dispatch::EngineChoice;
use fulmargate_dispatch::EngineRequest;
use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::LoadingNotice;
use fulmargate_dispatch::LoadingStage;
use fulmargate_dispatch::PeerLoad;
use fulmargate_dispatch::RouteTable;
use fulmargate_dispatch::ServerBook;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::Urgency;
use fulmargate_dispatch::WeightsTable;
use fulmargate_dispatch::scope_of;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use support::ENGINES;
use support::model;
use support::prompt_call;
use support::server;
use support::table;
use support::zone;
use tokio::time::Instant;

const RECORD: &[(u64, u32)] = &[(11, 2_500), (12, 3_800)];

/// One engine.
struct RestartWorld {
    book: ServerBook,
    table: RouteTable,
    now: Instant,
}

impl RestartWorld {
    fn new() -> RestartWorld {
        let table = table(Vec::new(), Vec::new());
        RestartWorld { book: ServerBook::default(), table, now: Instant::now() }
    }

    fn start_engine(&mut self, start: u64) -> ServerKey {
        let entry = ServerEntry { incarnation: Some(Incarnation(start)), ..server("e", ENGINES) };
        let key = entry.key();
        self.book.sync(&[Arc::new(entry)], self.now);
        key
    }

    fn choose(&self, call: &CallFacts, excluded: &[ServerKey]) -> Option<EngineChoice> {
        self.book.choose_engine(&EngineRequest {
            call,
            service: &ServiceName::new(ENGINES),
            model: &model(),
            table: &self.table,
            weights: &WeightsTable::default(),
            weights_bound: Duration::from_millis(4_800),
            zone: &zone(),
            only_weights: None,
            excluded,
            now: self.now,
            boot_now: BootTime(100_000),
        })
    }

    fn send(&mut self, id: &str) -> EngineChoice {
        let call = prompt_call(id, RECORD, self.now);
        let choice = self.choose(&call, &[]).expect("an engine");
        self.book.begin_prompt(&call, &choice, self.now);
        choice
    }
}

/// A caller waits for parts to be read that were thought to be cached.
/// The engine crashes and starts again under its name with an empty memory; routers that were told
/// before of prompts, of loads and of a load of weights there go on telling. None of it is about the new
/// start, so that nothing may be believed of it until it is told of itself.
#[test]
fn a_new_start_under_an_old_name_knows_nothing() {
    let mut world = RestartWorld::new();
    let old = world.start_engine(6);
    let first = world.send("c1");
    let open = world.book.begin(&prompt_call("c0", RECORD, world.now), old, world.now);
    world.book.unreachable(old, world.now);
    world.book.forget(old);
    let new = world.start_engine(7);
    let scope = scope_of(&first.salt);
    let backlog = {
        let mut backlog = Backlog::default();
        backlog.add(Urgency::timely(0), 90_000.0);
        backlog
    };
    let late_news = GossipMessage {
        host: Some(HostName::new("other")),
        loads: vec![PeerLoad { server: old, open: 40, chats: 9, backlog }],
        loading: vec![LoadingNotice {
            server: old,
            model: model(),
            version: WeightsVersion(2),
            stage: LoadingStage::Loading,
        }],
        caches: vec![CacheNotice {
            server: old,
            is_reset: false,
            parts: vec![(scope ^ 11, 2_500), (scope ^ 12, 3_800)],
        }],
        ..GossipMessage::default()
    };
    world.book.hear(&late_news, world.now);
    let call = prompt_call("c2", RECORD, world.now);
    let choice = world.choose(&call, &[old]).expect("the new start is open");
    assert_eq!(choice.server.key(), new);
    assert_eq!(choice.reason, ChoiceReason::Home, "it is open: neither unreachable nor loading");
    assert_eq!(choice.weights, WeightsVersion(1));
    assert_eq!(choice.read_tokens, f64::from(call.prompt_tokens()), "nothing is cached there");
    assert_eq!(world.book.open_at(new), 0, "nor is anything under way");
    world.book.begin(&call, new, world.now);
    world.book.left(&open);
    assert_eq!(world.book.open_at(new), 1, "what leaves the old start does not leave the new one");
}
