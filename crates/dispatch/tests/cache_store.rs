//! Choice of the prompts that are saved to the cache store.

mod support;

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::EngineRequest;
use fulmargate_dispatch::ServerRegistry;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::ServiceName;
use support::ENGINES;
use support::engines;
use support::model;
use support::prompt_call;
use support::table;
use support::zone;
use tokio::time::Instant;

struct SaveCase {
    name: &'static str,
    /// Tokens of the shared part. The unshared part has 2,000.
    shared_tokens: u32,
    requested_before: bool,
    is_saved: bool,
}

const SAVE_CASES: &[SaveCase] = &[
    SaveCase {
        name: "mostly shared",
        shared_tokens: 4_000,
        requested_before: false,
        is_saved: true,
    },
    SaveCase {
        name: "less than two thirds shared",
        shared_tokens: 3_999,
        requested_before: false,
        is_saved: false,
    },
    SaveCase {
        name: "requested before",
        shared_tokens: 3_000,
        requested_before: true,
        is_saved: true,
    },
    SaveCase {
        name: "too short to fetch",
        shared_tokens: 900,
        requested_before: true,
        is_saved: false,
    },
];

/// Prefixes must be in the store before a second request asks for them, but prompts that are mostly
/// unshared must not fill it.
#[test]
fn prompts_that_are_mostly_shared_are_saved() {
    for case in SAVE_CASES {
        let now = Instant::now();
        let mut registry = ServerRegistry::default();
        registry.sync(&engines(&["e1", "e2"]), now);
        let shared_parts = [(11, case.shared_tokens)];
        let (table, weights) = (table(Vec::new(), Vec::new()), WeightsTable::default());
        let choose = |registry: &ServerRegistry, call: &CallFacts| {
            let request = EngineRequest {
                call,
                service: &ServiceName::new(ENGINES),
                model: &model(),
                table: &table,
                weights: &weights,
                weights_bound: Duration::from_millis(4_800),
                zone: &zone(),
                only_weights: None,
                only_origin: None,
                excluded: &[],
                now,
                boot_now: BootTime(100_000),
            };
            registry.choose_engine(&request).expect("an engine is chosen")
        };
        if case.requested_before {
            let before = prompt_call("before", &shared_parts, now);
            let mut choice = choose(&registry, &before);
            choice.save_to = None;
            registry.record_prompt_send(&before, &choice, now);
        }
        let call = prompt_call("call", &shared_parts, now);
        assert_eq!(choose(&registry, &call).save_to.is_some(), case.is_saved, "{}", case.name);
    }
}
