//! What the store of cached prompts keeps.

mod support;

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::EngineRequest;
use fulmargate_dispatch::ServerBook;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::ServiceName;
use support::ENGINES;
use support::engines;
use support::model;
use support::prompt_call;
use support::table;
use support::zone;
use tokio::time::Instant;

struct KeepCase {
    name: &'static str,
    /// Tokens of the part that others share; the prompt's own are 2,000.
    shared: u32,
    asked_before: bool,
    is_kept: bool,
}

const CASES: &[KeepCase] = &[
    KeepCase { name: "shared by much", shared: 4_000, asked_before: false, is_kept: true },
    KeepCase { name: "mostly its own", shared: 3_999, asked_before: false, is_kept: false },
    KeepCase { name: "asked for again", shared: 3_000, asked_before: true, is_kept: true },
    KeepCase { name: "too short to fetch", shared: 900, asked_before: true, is_kept: false },
];

/// A caller waits for a part to be read that was read seconds ago.
/// The engine that had it dropped it, and the store never got it: only what was asked for a second time
/// went there. Kept for all first prompts, the store is full of what nobody asks for again.
#[test]
fn parts_are_kept_that_come_with_little_else() {
    for case in CASES {
        let now = Instant::now();
        let mut book = ServerBook::default();
        book.sync(&engines(&["e1", "e2"]), now);
        let shared = [(11, case.shared)];
        let (table, weights) = (table(Vec::new(), Vec::new()), WeightsTable::default());
        let choose = |book: &ServerBook, call: &CallFacts| {
            let request = EngineRequest {
                call,
                service: &ServiceName::new(ENGINES),
                model: &model(),
                table: &table,
                weights: &weights,
                weights_bound: Duration::from_millis(4_800),
                zone: &zone(),
                only_weights: None,
                excluded: &[],
                now,
                boot_now: BootTime(100_000),
            };
            book.choose_engine(&request).expect("an engine")
        };
        if case.asked_before {
            let before = prompt_call("before", &shared, now);
            let mut choice = choose(&book, &before);
            choice.save_to = None;
            book.begin_prompt(&before, &choice, now);
        }
        let call = prompt_call("call", &shared, now);
        assert_eq!(choose(&book, &call).save_to.is_some(), case.is_kept, "{}", case.name);
    }
}
