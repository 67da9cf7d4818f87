//! The plan's calls: reproducible, of the right size, with the mix that the plan names.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use fulmargate_load::CallKind;
use fulmargate_load::PlannedCall;
use fulmargate_load::PrefixKey;
use fulmargate_load::PromptLibrary;
use fulmargate_load::WorkloadPlan;
use fulmargate_stand::CompletionBody;
use fulmargate_stand::deployment::Deployment;
use fulmargate_stand::token;

fn plan(deployment: &Deployment) -> WorkloadPlan {
    let mut plan = WorkloadPlan::new(deployment, 7);
    plan.rate = 500.0;
    plan
}

fn prefixes(calls: &[PlannedCall]) -> Vec<PrefixKey> {
    let prefix = |call: &PlannedCall| match &call.kind {
        CallKind::Prompt(prompt) => Some(prompt.prefix),
        CallKind::Service(_) => None,
    };
    calls.iter().filter_map(prefix).collect()
}

struct MixCase {
    deployment: Deployment,
}

impl MixCase {
    fn check(&self) {
        let deployment = &self.deployment;
        let plan = plan(deployment);
        let calls = plan.calls(deployment);
        assert_eq!(calls, plan.calls(deployment), "equal plans give equal calls");
        assert!(calls.is_sorted_by_key(|call| call.at));
        assert!(calls.iter().all(|call| call.at < plan.duration));
        let expected = plan.rate * plan.duration.as_secs_f64();
        assert!((calls.len() as f64 - expected).abs() < 4.0 * expected.sqrt(), "{}", calls.len());

        let cache = deployment.engines.len() * deployment.rates.cache_blocks * token::BLOCK_TOKENS;
        let ratio = plan.working_set_tokens(deployment) as f64 / cache as f64;
        assert!((1.9..2.2).contains(&ratio), "working set over cache: {ratio}");

        for (index, team) in deployment.teams.iter().enumerate() {
            let share = calls.iter().filter(|call| call.team() == index).count() as f64
                / calls.len() as f64;
            assert!((share - team.share).abs() < 0.02, "{}: {share}", team.name);
        }
        let services =
            calls.iter().filter(|call| matches!(call.kind, CallKind::Service(_))).count();
        let share = services as f64 / calls.len() as f64;
        assert!((share - plan.service_share).abs() < 0.01, "{share}");
    }
}

#[test]
fn mixes() {
    for deployment in [Deployment::shop(), Deployment::utility()] {
        MixCase { deployment }.check();
    }
}

#[test]
fn another_seed_gives_other_calls() {
    let deployment = Deployment::shop();
    let mut other = plan(&deployment);
    other.seed += 1;
    assert_ne!(plan(&deployment).calls(&deployment), other.calls(&deployment));
}

#[test]
fn few_prefixes_are_hot() {
    let deployment = Deployment::shop();
    let mut counts = HashMap::new();
    for prefix in prefixes(&plan(&deployment).calls(&deployment)) {
        *counts.entry(prefix).or_insert(0_usize) += 1;
    }
    let mut counts: Vec<usize> = counts.into_values().collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    let whole: usize = counts.iter().sum();
    let hottest: usize = counts.iter().take(counts.len() / 10).sum();
    assert!(whole * 2 / 5 < hottest, "the hottest tenth has {hottest} of {whole}");
}

#[test]
fn a_shift_makes_other_records_hot() {
    let deployment = Deployment::shop();
    let mut plan = plan(&deployment);
    plan.shift_every = Some(Duration::from_secs(15));
    let calls = plan.calls(&deployment);
    let (before, after): (Vec<_>, Vec<_>) =
        calls.into_iter().partition(|call| call.at < Duration::from_secs(15));
    let hottest = |calls: &[PlannedCall]| {
        let mut counts = HashMap::new();
        for prefix in prefixes(calls) {
            *counts.entry(prefix).or_insert(0_usize) += 1;
        }
        let mut counts: Vec<(usize, PrefixKey)> =
            counts.into_iter().map(|(prefix, count)| (count, prefix)).collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        counts.iter().take(20).map(|(_, prefix)| *prefix).collect::<HashSet<_>>()
    };
    let kept = hottest(&before).intersection(&hottest(&after)).count();
    assert!(kept < 5, "{kept} of 20 hot prefixes are hot after the shift");
}

/// Two calls of one record share all blocks of the three levels and none of the question.
#[test]
fn prompts_share_their_levels_and_nothing_else() {
    let deployment = Deployment::shop();
    let plan = plan(&deployment);
    let library = PromptLibrary::new(&deployment, plan.sizes, plan.seed);
    let calls = plan.calls(&deployment);
    let prompt = calls
        .iter()
        .find_map(|call| match &call.kind {
            CallKind::Prompt(prompt) => Some(*prompt),
            CallKind::Service(_) => None,
        })
        .unwrap();
    let text = |number| {
        let body = library.body(&prompt, number).to_string();
        CompletionBody::parse(body.as_bytes()).unwrap().prompt_text()
    };
    let (first, second) = (text(1), text(2));
    let ends = library.level_ends();
    assert_eq!(ends[3], first.len());
    assert_eq!(first[..ends[2]], second[..ends[2]]);
    let [mut a, mut b] = [&first, &second].map(|text| token::block_hashes("t/m/", 1, text));
    let shared = ends[2] / token::BLOCK_BYTES;
    assert_eq!(a.drain(..shared).collect::<Vec<_>>(), b.drain(..shared).collect::<Vec<_>>());
    assert!(a.iter().all(|hash| !b.contains(hash)));
    let tokens = token::prompt_tokens(&first);
    assert!((3_000..3_100).contains(&tokens), "{tokens}");
}

#[test]
fn keys_are_version_7_and_differ() {
    let deployment = Deployment::shop();
    let calls = plan(&deployment).calls(&deployment);
    let keys: Vec<_> = calls
        .iter()
        .filter_map(|call| match &call.kind {
            CallKind::Service(service_use) => Some(service_use.idempotency_key(1_700_000_000_000)),
            CallKind::Prompt(_) => None,
        })
        .collect();
    assert!(keys.iter().all(|key| key.get_version_num() == 7));
    assert_eq!(keys.iter().collect::<HashSet<_>>().len(), keys.len());
}
