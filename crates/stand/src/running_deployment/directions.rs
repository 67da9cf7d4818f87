//! What a newcomer needs to try a running deployment.

use serde_json::json;
use uuid::Uuid;

use crate::deploy::AddressPlan;
use crate::deploy::OPERATOR_KEY;
use crate::deployment::Deployment;

pub(super) fn directions(deployment: &Deployment, addresses: &AddressPlan) -> String {
    let mut lines = vec![format!("deployment {}", deployment.name), String::new()];
    for (host, ports) in &addresses.routers {
        let peers = ports.peers;
        lines.push(format!(
            "{host:<24} callers {}  operators {}  peers {peers}",
            ports.callers, ports.operators
        ));
    }
    for (server, address) in &addresses.servers {
        lines.push(format!("{server:<24} {address}"));
    }
    let AddressPlan { log, weights, hosts, kv, .. } = addresses;
    for (name, address) in [("log", log), ("weight store", weights), ("host list", hosts)] {
        lines.push(format!("{name:<24} {address}"));
    }
    lines.push(format!("{:<24} {kv}", "KV store"));
    lines.push(String::new());
    for team in &deployment.teams {
        lines.push(format!("team {:<24} key {}", team.name.as_str(), team.key));
    }
    lines.push(format!("operators' key {OPERATOR_KEY}"));
    lines.push(String::new());
    lines.extend(command_lines(deployment, addresses));
    lines.push(String::new());
    lines.push("stays up until an interrupt (ctrl-c)".to_owned());
    lines.join("\n")
}

fn command_lines(deployment: &Deployment, addresses: &AddressPlan) -> Vec<String> {
    let (Some((_, ports)), Some(team)) = (addresses.routers.first(), deployment.teams.first())
    else {
        return Vec::new();
    };
    let callers = ports.callers;
    let chat = json!({
        "model": deployment.model,
        "stream": true,
        "messages": [{ "role": "user", "content": "What is open today?" }],
    });
    let key = &team.key;
    let service = &deployment.service;
    let path = deployment.calls.first().map_or("", |call| call.path);
    let once = Uuid::now_v7();
    vec![
        format!(
            "curl -sN http://{callers}/v1/chat/completions -H 'Authorization: Bearer {key}' \
             -H 'Content-Type: application/json' -d '{chat}'"
        ),
        format!("curl -s http://{callers}/v1/models -H 'Authorization: Bearer {key}'"),
        format!(
            "curl -si http://{callers}/services/{service}{path} -H 'Authorization: Bearer {key}' \
             -H 'Idempotency-Key: {once}' -d '{{\"amount\":1250}}'"
        ),
        format!(
            "curl -s http://{}/config -H 'Authorization: Bearer {OPERATOR_KEY}'",
            ports.operators
        ),
    ]
}
