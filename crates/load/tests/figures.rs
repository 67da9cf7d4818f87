//! The bound and the judge of token counts, on prompts small enough to count by hand.

use std::collections::HashMap;
use std::time::Duration;

use fulmargate_load::AnswerFault;
use fulmargate_load::CacheJudge;
use fulmargate_load::CallKind;
use fulmargate_load::CallRecord;
use fulmargate_load::EvictionRule;
use fulmargate_load::EvictionRule::FurthestUse;
use fulmargate_load::EvictionRule::LeastRecent;
use fulmargate_load::PlannedCall;
use fulmargate_load::PrefixKey;
use fulmargate_load::PromptCall;
use fulmargate_load::PromptLibrary;
use fulmargate_load::PromptTouch;
use fulmargate_load::ReportScope;
use fulmargate_load::RunReport;
use fulmargate_load::SegmentUse;
use fulmargate_load::Verdict;
use fulmargate_load::WorkloadPlan;
use fulmargate_load::replay_bound;
use fulmargate_stand::deployment::Deployment;
use fulmargate_stand::deployment::TeamClass;
use fulmargate_stand::token::BLOCK_TOKENS;
use quickcheck::Arbitrary;
use quickcheck::Gen;

/// Tenant of 1 block, service of 2, record of 4, one own block; 8 blocks in all.
fn touch(record: u64) -> PromptTouch {
    let segment = |id, blocks| SegmentUse { id, blocks };
    PromptTouch {
        tokens: 8 * BLOCK_TOKENS,
        segments: [segment(0, 1), segment(1, 2), segment(100 + record, 4)],
        own_blocks: 1,
        is_counted: true,
    }
}

struct BoundCase {
    name: &'static str,
    records: &'static [u64],
    capacity: usize,
    rule: EvictionRule,
    cached_blocks: usize,
    recomputed_blocks: usize,
}

impl BoundCase {
    fn check(&self) {
        let touches: Vec<PromptTouch> = self.records.iter().map(|record| touch(*record)).collect();
        let figures = replay_bound(&touches, self.capacity, self.rule);
        assert_eq!(figures.prompt_tokens, touches.len() * 8 * BLOCK_TOKENS, "{}", self.name);
        assert_eq!(figures.cached_tokens, self.cached_blocks * BLOCK_TOKENS, "{}", self.name);
        assert_eq!(
            figures.recomputed_tokens,
            self.recomputed_blocks * BLOCK_TOKENS,
            "{}",
            self.name
        );
    }
}

#[test]
fn bounds() {
    let case = |name, records, capacity, rule, cached_blocks, recomputed_blocks| BoundCase {
        name,
        records,
        capacity,
        rule,
        cached_blocks,
        recomputed_blocks,
    };
    let cases = [
        case("the second use is a hit", &[1, 1][..], 99, FurthestUse, 7, 0),
        case("another record shares tenant and service", &[1, 2], 99, FurthestUse, 3, 0),
        case("no room at all", &[1, 1], 0, FurthestUse, 0, 7),
        case("room for a part of the record", &[1, 1], 5, FurthestUse, 5, 2),
        // Room for one record: what comes again at once stays, what comes later goes.
        case("keeps what is used next", &[1, 2, 1, 1], 7, FurthestUse, 3 + 7 + 7, 0),
        case("LRU keeps what was used last", &[1, 2, 1, 1], 8, LeastRecent, 3 + 3 + 7, 4),
        case("LRU keeps own blocks too", &[1, 2, 1], 11, LeastRecent, 3 + 6, 1),
    ];
    cases.iter().for_each(BoundCase::check);
}

/// The bound is never below LRU, and never falls when the cache grows.
#[test]
fn bound_is_a_bound() {
    for seed in 0..200 {
        let mut source = Gen::from_size_and_seed(60, seed);
        let records: Vec<u8> = Arbitrary::arbitrary(&mut source);
        let touches: Vec<PromptTouch> =
            records.iter().map(|record| touch(u64::from(record % 9))).collect();
        let mut last = 0;
        for capacity in 0..45 {
            let best = replay_bound(&touches, capacity, FurthestUse).cached_tokens;
            let lru = replay_bound(&touches, capacity, LeastRecent).cached_tokens;
            assert!(lru <= best, "seed {seed}, {capacity} blocks: {lru} over {best}");
            assert!(last <= best, "seed {seed}, {capacity} blocks: {best} after {last}");
            last = best;
        }
    }
}

fn record(number: u32, at_ms: u64, cached_blocks: usize) -> CallRecord {
    let prefix = PrefixKey { team: 0, service: 0, record: 0 };
    let call = PlannedCall {
        number,
        at: Duration::from_millis(at_ms),
        class: TeamClass::Urgent,
        kind: CallKind::Prompt(PromptCall { prefix, max_tokens: 3 }),
    };
    let mut record = CallRecord::new(&call);
    record.verdict = Verdict::Whole;
    record.first_token = Some(Duration::from_millis(50));
    record.prompt_tokens = 8 * BLOCK_TOKENS;
    record.cached_tokens = cached_blocks * BLOCK_TOKENS;
    record
}

struct JudgeCase {
    name: &'static str,
    /// Record, time and cached blocks of each prompt.
    prompts: &'static [(u64, u64, usize)],
    recomputed_blocks: usize,
    foreign: usize,
}

impl JudgeCase {
    fn check(&self) {
        let touches: HashMap<u32, PromptTouch> =
            (0..).zip(self.prompts).map(|(number, prompt)| (number, touch(prompt.0))).collect();
        let mut records: Vec<CallRecord> = (0..)
            .zip(self.prompts)
            .map(|(number, prompt)| record(number, prompt.1, prompt.2))
            .collect();
        let judge = CacheJudge::new(&touches);
        let recomputed: usize = judge.recomputed_tokens(&records).values().sum();
        assert_eq!(recomputed, self.recomputed_blocks * BLOCK_TOKENS, "{}", self.name);
        judge.mark_foreign(&mut records);
        let foreign =
            records.iter().filter(|record| record.verdict == Verdict::Faulty(AnswerFault::Foreign));
        assert_eq!(foreign.count(), self.foreign, "{}", self.name);
    }
}

#[test]
fn token_counts_are_judged() {
    let case = |name, prompts, recomputed_blocks, foreign| JudgeCase {
        name,
        prompts,
        recomputed_blocks,
        foreign,
    };
    let cases = [
        case("first computations count not", &[(1, 0, 0), (2, 100, 3)][..], 0, 0),
        case("a miss of what was computed", &[(1, 0, 0), (1, 100, 0)], 7, 0),
        case("a miss of a part", &[(1, 0, 0), (1, 100, 3)], 4, 0),
        case("at the same time at two engines", &[(1, 0, 0), (1, 10, 0)], 7, 0),
        case("cached tokens that nobody sent", &[(1, 0, 1)], 0, 1),
        case("cached tokens of a record that nobody sent", &[(1, 0, 0), (2, 100, 7)], 0, 1),
        case("cached tokens of a later prompt", &[(1, 0, 7), (1, 100, 7)], 0, 1),
        case("cached own tokens of a failed attempt", &[(1, 0, 8)], 0, 0),
        case("cached tokens of a prompt on its way", &[(1, 0, 0), (1, 40, 7)], 0, 0),
    ];
    cases.iter().for_each(JudgeCase::check);
}

#[test]
fn reports_leave_out_the_warm_up_but_for_faults() {
    let touches: HashMap<u32, PromptTouch> = (0..4).map(|number| (number, touch(1))).collect();
    let mut records =
        vec![record(0, 0, 0), record(1, 5, 7), record(2, 1_500, 3), record(3, 1_600, 7)];
    records[1].verdict = Verdict::Faulty(AnswerFault::Gap);
    records[3].verdict = Verdict::Refused;
    let scope = ReportScope {
        deployment: &Deployment::shop(),
        touches: &touches,
        warm_up: Duration::from_secs(1),
        duration: Duration::from_secs(3),
    };
    let report = RunReport::new(&scope, &records);
    assert_eq!((report.calls, report.whole, report.errors), (2, 1, 1));
    assert_eq!(report.recomputed_tokens, 4 * BLOCK_TOKENS);
    assert_eq!(report.hit_rate, 3.0 / 8.0);
    assert_eq!(report.goodput, 0.5);
    assert_eq!(report.faults.get(&AnswerFault::Gap), Some(&1));
    assert_eq!(report.classes["urgent"].prompts, 2);
    assert_eq!(report.teams.len(), 1);
}

/// The replay's block counts are those of the texts themselves.
#[test]
fn touches_are_those_of_the_texts() {
    for deployment in [Deployment::shop(), Deployment::utility()] {
        let plan = WorkloadPlan::new(&deployment, 3);
        let library = PromptLibrary::new(&deployment, plan.sizes, plan.seed);
        let calls = plan.calls(&deployment);
        let mut by_block: HashMap<u64, Vec<u64>> = HashMap::new();
        for call in calls.iter().take(60) {
            let CallKind::Prompt(prompt) = &call.kind else { continue };
            let touch = PromptTouch::of(call, &library).unwrap();
            let body = library.body(prompt, call.number).to_string();
            let text =
                fulmargate_stand::CompletionBody::parse(body.as_bytes()).unwrap().prompt_text();
            assert_eq!(fulmargate_stand::token::prompt_tokens(&text), touch.tokens);
            let hashes = fulmargate_stand::token::block_hashes("t/m/", 1, &text);
            let shared: usize = touch.segments.iter().map(|segment| segment.blocks).sum();
            assert_eq!(hashes.len(), shared + touch.own_blocks);
            let mut first = 0;
            for segment in &touch.segments {
                let blocks = hashes[first..first + segment.blocks].to_vec();
                assert_eq!(*by_block.entry(segment.id).or_insert_with(|| blocks.clone()), blocks);
                first += segment.blocks;
            }
        }
    }
}
