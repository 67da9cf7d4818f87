//! Synthetic prompts with nested prefixes and Zipf-distributed popularity.

use fulmargate_names::WeightsVersion;
use fulmargate_placement::PromptChain;
use fulmargate_placement::PromptScope;

use crate::arg;

/// Count and Zipf exponent of teams, services per team and records per service.
const LEVELS: [(usize, f64); 3] = [(8, 1.1), (3, 0.8), (40, 1.0)];

/// A random number for a position in a sequence (splitmix64).
pub(crate) fn random(seed: u64, position: u64) -> u64 {
    let mut random = (seed << 40).wrapping_add(position).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    random = (random ^ (random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    random = (random ^ (random >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    random ^ (random >> 31)
}

pub(crate) fn unit_interval(random: u64) -> f64 {
    ((random >> 12) as f64 + 0.5) / (1_u64 << 52) as f64
}

/// Returns a prompt and its priority band: 0 urgent, 1 batch. The popular services and records
/// change with each `shift` interval.
pub(crate) fn prompt(seed: u64, number: u64, now: f64) -> (PromptChain, usize) {
    let [team, service, record] = [0, 1, 2].map(|level| {
        let (count, exponent) = LEVELS[level];
        let weights = (1..=count).map(|rank| (rank as f64).powf(-exponent));
        let mut remaining =
            unit_interval(random(seed, 4 * number + level as u64)) * weights.clone().sum::<f64>();
        let skipped = weights.take_while(|weight| (remaining -= weight, 0.0 < remaining).1);
        skipped.count().min(count - 1)
    });
    let epoch = (now / arg("shift", f64::INFINITY)) as u64;
    let rotation = random(seed, (epoch << 20) + ((team as u64) << 10)) as usize;
    let names =
        [(500, team), (1_000, (service + rotation) % 3), (1_500, (record + (rotation >> 8)) % 40)];
    let mut texts = names.map(|(tokens, name)| format!("{name:08}").repeat(tokens / 2)).to_vec();
    texts.push(format!("{number:0160}"));
    let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
    let scope = PromptScope::from_text(format!("team{team}/m/"), WeightsVersion(seed));
    (PromptChain::new(&scope, &texts), team % 2)
}
