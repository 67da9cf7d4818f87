//! Prompts of nested prefixes with Zipf popularity.

use fulmargate_names::WeightsVersion;
use fulmargate_placement::PromptChain;
use fulmargate_placement::PromptScope;

use crate::conf::ReplayConf;

const TEAMS: usize = 8;
const SERVICES: usize = 3;
const RECORDS: usize = 40;
/// Tokens of each level.
const LEVEL_TOKENS: [usize; 3] = [500, 1_000, 1_500];
const QUESTION_TOKENS: usize = 40;

/// Random numbers by a fixed seed (splitmix64).
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(seed)
    }

    pub(crate) fn word(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut word = self.0;
        word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        word ^ (word >> 31)
    }

    /// Above 0 and below 1.
    pub(crate) fn unit(&mut self) -> f64 {
        ((self.word() >> 12) as f64 + 0.5) / (1_u64 << 52) as f64
    }
}

/// One request's prompt.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) chain: PromptChain,
    /// 0 for urgent requests, 1 for batch.
    pub(crate) band: usize,
}

/// Draws prompts; equal seeds draw equal ones.
pub(crate) struct Workload {
    random: Random,
    popularity: [Vec<f64>; 3],
    scopes: Vec<PromptScope>,
    shift_ms: f64,
    seed: u64,
}

impl Workload {
    pub(crate) fn new(conf: &ReplayConf) -> Workload {
        let [teams, services, records] = conf.zipf;
        let scope =
            |team| PromptScope::from_text(format!("team{team}/m/"), WeightsVersion(conf.seed));
        Workload {
            random: Random::new(conf.seed),
            popularity: [zipf(TEAMS, teams), zipf(SERVICES, services), zipf(RECORDS, records)],
            scopes: (0..TEAMS).map(scope).collect(),
            shift_ms: conf.shift_ms,
            seed: conf.seed,
        }
    }

    pub(crate) fn prompt(&mut self, now_ms: f64) -> Prompt {
        let draws: [f64; 3] = std::array::from_fn(|_| self.random.unit());
        let rank = |level: usize| self.popularity[level].partition_point(|sum| *sum < draws[level]);
        // At each shift other services and records become the popular ones.
        let epoch = (now_ms / self.shift_ms) as u64;
        let team = rank(0);
        let turn = Random::new(self.seed ^ epoch ^ ((team as u64) << 40)).word() as usize;
        let service = (rank(1) + turn) % SERVICES;
        let record = (rank(2) + (turn >> 8)) % RECORDS;
        let question = text(&format!("q{}", self.random.word()), QUESTION_TOKENS);
        let segments = [
            text(&format!("t{team}"), LEVEL_TOKENS[0]),
            text(&format!("s{service}"), LEVEL_TOKENS[1]),
            text(&format!("r{record}"), LEVEL_TOKENS[2]),
            question,
        ];
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        Prompt { chain: PromptChain::new(&self.scopes[team], &segments), band: team % 2 }
    }
}

fn text(word: &str, tokens: usize) -> String {
    let mut text = word.repeat(tokens * 4 / word.len() + 1);
    text.truncate(tokens * 4);
    text
}

fn zipf(count: usize, exponent: f64) -> Vec<f64> {
    let weights = (1..=count).map(|rank| (rank as f64).powf(-exponent));
    let total: f64 = weights.clone().sum();
    let mut sum = 0.0;
    weights
        .map(|weight| {
            sum += weight / total;
            sum
        })
        .collect()
}
