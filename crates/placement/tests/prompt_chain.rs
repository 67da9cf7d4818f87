//! Level boundaries and hashes of prompts.

use fulmargate_names::TeamName;
use fulmargate_names::WeightsVersion;
use fulmargate_placement::ChainBuilder;
use fulmargate_placement::PromptChain;
use fulmargate_placement::PromptScope;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const SEED: u64 = 41;

fn scope(team: &str, weights: u64) -> PromptScope {
    PromptScope::new(&TeamName::new(team), &"m".into(), None, WeightsVersion(weights))
}

struct LevelCase {
    name: &'static str,
    /// Length of each segment in tokens.
    segments: &'static [usize],
    levels: &'static [u32],
    anchor: Option<u32>,
    group: Option<u32>,
}

const LEVEL_CASES: &[LevelCase] = &[
    LevelCase { name: "empty", segments: &[], levels: &[], anchor: None, group: None },
    LevelCase { name: "one short text", segments: &[100], levels: &[], anchor: None, group: None },
    LevelCase {
        name: "one long text is cut",
        segments: &[3_040],
        levels: &[512, 1_024, 2_048],
        anchor: Some(2_048),
        group: Some(1_024),
    },
    LevelCase {
        name: "nested levels and a question",
        segments: &[500, 1_000, 1_500, 40],
        levels: &[496, 1_488, 2_992],
        anchor: Some(2_992),
        group: Some(1_488),
    },
    LevelCase {
        name: "a short message is not a level of its own",
        segments: &[10, 1_000, 40],
        levels: &[1_008],
        anchor: Some(1_008),
        group: Some(1_008),
    },
    LevelCase {
        name: "a conversation keeps its anchor, and of later levels the last",
        segments: &[100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 40],
        levels: &[96, 192, 288, 592, 688, 800, 896, 992],
        anchor: Some(288),
        group: Some(192),
    },
    LevelCase {
        name: "a long last message is cut",
        segments: &[500, 1_200],
        levels: &[496, 1_024],
        anchor: Some(1_024),
        group: Some(496),
    },
];

#[test]
fn segment_ends_are_level_boundaries() {
    for case in LEVEL_CASES {
        let texts: Vec<String> =
            case.segments.iter().map(|tokens| "abcd".repeat(*tokens)).collect();
        let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
        let chain = PromptChain::new(&scope("a", 1), &texts);
        let levels: Vec<u32> = chain.levels().iter().map(|level| level.tokens).collect();
        assert_eq!(levels, case.levels, "{}", case.name);
        assert_eq!(chain.anchor().map(|level| level.tokens), case.anchor, "{}", case.name);
        assert_eq!(chain.group().map(|level| level.tokens), case.group, "{}", case.name);
    }
}

/// Hashes must match those in the engines' cache events.
#[test]
fn level_hashes_equal_engine_block_hashes() {
    let text = "0123456789abcdef".repeat(600);
    let chain =
        PromptChain::new(&scope("a", 7), &[&text[..4_000], &text[4_000..9_000], "question"]);
    let mut hash = xxh3_64_with_seed(b"a/m/", 7);
    let mut hashes = Vec::new();
    for block in text.as_bytes().chunks_exact(64) {
        hash = xxh3_64_with_seed(block, hash);
        hashes.push(hash);
    }
    assert_eq!(chain.levels().len(), 2);
    for level in chain.levels() {
        assert_eq!(level.hash.0, hashes[level.tokens as usize / 16 - 1], "{} tokens", level.tokens);
    }
}

/// Hints must not be shared between teams or weights versions.
#[test]
fn different_scopes_have_different_hashes() {
    let text = "abcd".repeat(2_000);
    let chains: Vec<PromptChain> = [scope("a", 1), scope("b", 1), scope("a", 2)]
        .iter()
        .map(|scope| PromptChain::new(scope, &[&text, "question"]))
        .collect();
    for (index, chain) in chains.iter().enumerate() {
        for other in &chains[index + 1..] {
            assert_ne!(chain.request_hash(), other.request_hash());
            for (level, other_level) in chain.levels().iter().zip(other.levels()) {
                assert_ne!(level.hash, other_level.hash);
            }
        }
    }
}

/// Prompts with a common prefix share the hashes of its levels and no others.
#[test]
fn chains_share_exactly_the_levels_of_common_prefixes() {
    let mut gen_ = Gen::from_size_and_seed(20, SEED);
    for _ in 0..200 {
        let sizes: Vec<usize> =
            (0..3).map(|_| 70 + usize::from(u8::arbitrary(&mut gen_)) * 5).collect();
        let texts: Vec<String> = sizes.iter().map(|size| "abcdefg".repeat(*size)).collect();
        let changed = usize::arbitrary(&mut gen_) % 3;
        let mut builders = [ChainBuilder::new(&scope("a", 1)), ChainBuilder::new(&scope("a", 1))];
        for (index, text) in texts.iter().enumerate() {
            builders[0].push(text);
            let other = if index == changed { text.to_uppercase() } else { text.clone() };
            builders[1].push(&other);
        }
        let [left, right] = builders.map(|mut builder| {
            builder.push("question");
            builder.finish()
        });
        let same = left.levels().iter().zip(right.levels()).take_while(|(a, b)| a == b).count();
        assert_eq!(same, changed, "{sizes:?}");
    }
}
