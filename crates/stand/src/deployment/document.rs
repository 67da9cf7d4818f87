//! The operators' document of a deployment.

use indexmap::IndexMap;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use super::plan::Deployment;
use super::plan::TeamPlan;
use super::plan::TeamSize;

/// Time to ask a KV store or a neighbour for cached blocks.
const IMPORT_ASK_MS: f64 = 2.0;

impl Deployment {
    /// The configuration document; `addresses` gives `HOST:PORT` by server name, and a server
    /// without an address is left out.
    pub fn config_document(&self, addresses: &IndexMap<String, String>) -> Value {
        json!({
            "teams": self.team_documents(),
            "servers": self.server_documents(addresses),
            "models": { self.model.as_str(): {
                "weights": 1, "adapters": [],
                "kv_import": {
                    "ask_ms": IMPORT_ASK_MS, "store": true,
                    "tokens_per_ms": self.rates.import_tokens_per_ms,
                },
            } },
            "services": { self.service.as_str(): self.service_document() },
            "classes": {
                "urgent": {
                    "priority": 0, "deadline_ms": 1500, "queue_limit": 200,
                    "weight_ttft": 1.0, "weight_recompute": 0.1,
                },
                "batch": {
                    "priority": 2, "deadline_ms": 60000, "queue_limit": 2000,
                    "weight_ttft": 0.1, "weight_recompute": 1.0,
                },
            },
            "rules": self.rule_documents(),
            "policy": "cost",
        })
    }

    fn team_documents(&self) -> Map<String, Value> {
        let each = |team: &TeamPlan| (team.name.to_string(), self.team_document(team));
        self.teams.iter().map(each).collect()
    }

    fn team_document(&self, team: &TeamPlan) -> Value {
        let (requests, tokens) = match team.size {
            TeamSize::Large => (1_000, 4_000_000),
            TeamSize::Small => (400, 1_600_000),
        };
        json!({
            "key_sha256": [key_sha256(&team.key)],
            "requests_per_s": requests,
            "prompt_tokens_per_s": tokens,
            "models": [self.model],
            "services": [self.service],
            "class": team.class.as_str(),
        })
    }

    fn server_documents(&self, addresses: &IndexMap<String, String>) -> Map<String, Value> {
        let engines = self.engines.iter().filter_map(|engine| {
            let address = addresses.get(engine.name.as_str())?;
            let document = json!({
                "zone": engine.zone, "address": address, "kind": "engine",
                "models": [self.model], "fenced": engine.fenced, "state": "active",
            });
            Some((engine.name.to_string(), document))
        });
        let replicas = self.replicas.iter().filter_map(|replica| {
            let address = addresses.get(replica.name.as_str())?;
            let document = json!({
                "zone": replica.zone, "address": address, "kind": "service",
                "service": self.service, "state": "active",
            });
            Some((replica.name.to_string(), document))
        });
        engines.chain(replicas).collect()
    }

    fn service_document(&self) -> Value {
        let calls: Vec<Value> = self
            .calls
            .iter()
            .map(|call| {
                json!({
                    "method": call.method, "path": call.path, "repeatable": call.repeatable,
                })
            })
            .collect();
        json!({ "calls": calls, "timeout_ms": 5000 })
    }

    fn rule_documents(&self) -> Vec<Value> {
        self.teams
            .iter()
            .map(|team| json!({ "team": team.name, "class": team.class.as_str() }))
            .collect()
    }
}

/// SHA-256 of an API key in hexadecimal digits.
pub fn key_sha256(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}
