//! Servers that restart under the same name.

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
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::ServerRegistry;
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

const PROMPT_PARTS: &[(u64, u32)] = &[(11, 2_500), (12, 3_800)];

/// A router with one engine.
struct RestartWorld {
    registry: ServerRegistry,
    table: RouteTable,
    now: Instant,
}

impl RestartWorld {
    fn new() -> RestartWorld {
        let table = table(Vec::new(), Vec::new());
        RestartWorld { registry: ServerRegistry::default(), table, now: Instant::now() }
    }

    fn start_engine(&mut self, start: u64) -> ServerKey {
        let entry = ServerEntry { incarnation: Some(Incarnation(start)), ..server("e", ENGINES) };
        let key = entry.key();
        self.registry.sync(&[Arc::new(entry)], self.now);
        key
    }

    fn choose(&self, call: &CallFacts, excluded: &[ServerKey]) -> Option<EngineChoice> {
        self.registry.choose_engine(&EngineRequest {
            call,
            service: &ServiceName::new(ENGINES),
            model: &model(),
            table: &self.table,
            weights: &WeightsTable::default(),
            weights_bound: Duration::from_millis(4_800),
            zone: &zone(),
            only_weights: None,
            only_origin: None,
            excluded,
            now: self.now,
            boot_now: BootTime(100_000),
        })
    }

    fn send(&mut self, id: &str) -> EngineChoice {
        let call = prompt_call(id, PROMPT_PARTS, self.now);
        let choice = self.choose(&call, &[]).expect("no engine was chosen");
        self.registry.record_prompt_send(&call, &choice, self.now);
        choice
    }
}

/// Guards against believing a restarted engine to have the cache, load and weights of its earlier
/// incarnation, including what other routers report late.
#[test]
fn state_of_an_earlier_incarnation_is_discarded() {
    let mut world = RestartWorld::new();
    let old = world.start_engine(6);
    let first = world.send("c1");
    let open =
        world.registry.record_send(&prompt_call("c0", PROMPT_PARTS, world.now), old, world.now);
    world.registry.record_unreachable(old, world.now);
    world.registry.forget(old);
    let new = world.start_engine(7);
    let scope = scope_of(&first.salt);
    let backlog = {
        let mut backlog = Backlog::default();
        backlog.add(Urgency::timely(0), 90_000.0);
        backlog
    };
    let late_message = GossipMessage {
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
    world.registry.apply_gossip(&late_message, world.now);
    let call = prompt_call("c2", PROMPT_PARTS, world.now);
    let choice = world.choose(&call, &[old]).expect("the new incarnation was not chosen");
    assert_eq!(choice.server.key(), new);
    assert_eq!(
        choice.reason,
        ChoiceReason::Owner,
        "the new incarnation is neither unreachable nor loading"
    );
    assert_eq!(choice.weights, WeightsVersion(1));
    assert_eq!(
        choice.prefill_tokens,
        f64::from(call.prompt_tokens()),
        "nothing is cached at the new incarnation"
    );
    assert_eq!(
        world.registry.open_at(new),
        0,
        "no requests are in progress at the new incarnation"
    );
    world.registry.record_send(&call, new, world.now);
    world.registry.record_end(&open);
    assert_eq!(
        world.registry.open_at(new),
        1,
        "the end of an old request does not affect the new incarnation"
    );
}
