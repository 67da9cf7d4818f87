//! The texts of prompts.

use fulmargate_stand::deployment::Deployment;
use fulmargate_stand::token::TOKEN_BYTES;
use serde_json::Value;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::planned_call::PrefixKey;
use super::planned_call::PromptCall;
use super::workload_plan::LevelSizes;

/// Roles of a prompt's messages, one a level and one for the question.
const ROLES: [&str; 4] = ["system", "system", "user", "user"];

/// Gives the text of each level as a function of its key.
#[derive(Clone, Debug)]
pub struct PromptLibrary {
    seed: u64,
    sizes: LevelSizes,
    model: String,
    teams: Vec<String>,
}

impl PromptLibrary {
    /// The texts of a plan with these sizes and this seed.
    pub fn new(deployment: &Deployment, sizes: LevelSizes, seed: u64) -> PromptLibrary {
        PromptLibrary {
            seed,
            sizes,
            model: deployment.model.to_string(),
            teams: deployment.teams.iter().map(|team| team.name.to_string()).collect(),
        }
    }

    /// The chat request with four messages, one a level.
    pub fn body(&self, call: &PromptCall, number: u32) -> Value {
        let [tenant, service, record] = self.levels(&call.prefix);
        // The question begins with what no two calls share, so that the shared text ends before it.
        let unique = xxh3_64_with_seed(&number.to_le_bytes(), self.seed);
        let heading = format!("{unique:016x} is question {number}.");
        let question = self.text(&heading, self.sizes.question_tokens);
        json!({
            "model": self.model,
            "messages": [
                { "role": ROLES[0], "content": tenant },
                { "role": ROLES[1], "content": service },
                { "role": ROLES[2], "content": record },
                { "role": ROLES[3], "content": question },
            ],
            "max_tokens": call.max_tokens,
            "stream": true,
            "stream_options": { "include_usage": true },
        })
    }

    /// Lengths in bytes of a prompt's text up to the end of what each level shares, and of the
    /// whole. The role of the next message is shared with the level before it.
    pub fn level_ends(&self) -> [usize; 4] {
        let sizes = &self.sizes;
        let tokens =
            [sizes.tenant_tokens, sizes.service_tokens, sizes.record_tokens, sizes.question_tokens];
        let mut end = ROLES[0].len() + 1;
        std::array::from_fn(|level| {
            end += tokens[level] * TOKEN_BYTES + 1;
            end += ROLES.get(level + 1).map_or(0, |role| role.len() + 1);
            end
        })
    }

    fn levels(&self, key: &PrefixKey) -> [String; 3] {
        let team = &self.teams[usize::from(key.team)];
        let PrefixKey { service, record, .. } = key;
        [
            self.text(&format!("You serve {team}."), self.sizes.tenant_tokens),
            self.text(&format!("Service {service} of {team}."), self.sizes.service_tokens),
            self.text(
                &format!("Record {record} of service {service} of {team}."),
                self.sizes.record_tokens,
            ),
        ]
    }

    /// A heading and filler of so many tokens, drawn from the heading and the seed.
    fn text(&self, heading: &str, tokens: usize) -> String {
        let length = tokens * TOKEN_BYTES;
        let mut text = String::with_capacity(length + 20);
        text.push_str(heading);
        let mut word = xxh3_64_with_seed(heading.as_bytes(), self.seed);
        while text.len() < length {
            word = xxh3_64_with_seed(&word.to_le_bytes(), self.seed);
            text.push_str(&format!(" {word:015x}"));
        }
        text.truncate(length);
        text
    }
}
