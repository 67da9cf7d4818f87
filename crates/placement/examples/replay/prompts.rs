//! Prompts of nested prefixes with Zipf popularity.

use fulmargate_names::WeightsVersion;
use fulmargate_placement::PromptChain;
use fulmargate_placement::PromptScope;

use crate::arg;

/// Teams, services of a team, records of a service: count and exponent of popularity.
const LEVELS: [(usize, f64); 3] = [(8, 1.1), (3, 0.8), (40, 1.0)];

/// A random word for a place in a sequence (splitmix64).
pub(crate) fn word(seed: u64, place: u64) -> u64 {
    let mut word = (seed << 40).wrapping_add(place).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

pub(crate) fn unit(word: u64) -> f64 {
    ((word >> 12) as f64 + 0.5) / (1_u64 << 52) as f64
}

/// A prompt and its band: 0 urgent, 1 batch. At a shift other services and records are popular.
pub(crate) fn prompt(seed: u64, number: u64, now: f64) -> (PromptChain, usize) {
    let [team, service, record] = [0, 1, 2].map(|level| {
        let (count, exponent) = LEVELS[level];
        let weights = (1..=count).map(|rank| (rank as f64).powf(-exponent));
        let mut left = unit(word(seed, 4 * number + level as u64)) * weights.clone().sum::<f64>();
        let passed = weights.take_while(|weight| (left -= weight, 0.0 < left).1);
        passed.count().min(count - 1)
    });
    let epoch = (now / arg("shift", f64::INFINITY)) as u64;
    let turn = word(seed, (epoch << 20) + ((team as u64) << 10)) as usize;
    let names = [(500, team), (1_000, (service + turn) % 3), (1_500, (record + (turn >> 8)) % 40)];
    let mut texts = names.map(|(tokens, name)| format!("{name:08}").repeat(tokens / 2)).to_vec();
    texts.push(format!("{number:0160}"));
    let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
    let scope = PromptScope::from_text(format!("team{team}/m/"), WeightsVersion(seed));
    (PromptChain::new(&scope, &texts), team % 2)
}
