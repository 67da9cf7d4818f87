//! What a model engine's stand-in costs: processor time and pace at a given rate.
//!
//! `engine_cost ADDRESS PID [RATE [SECONDS]]` sends prompts of 3,000 tokens, 20 tokens to be
//! generated each, to an engine that runs as the process PID with the shop's rates.

use std::fs;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::join_all;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::interval;

const PROMPTS: usize = 8;
const PROMPT_BYTES: usize = 12_000;
const MAX_TOKENS: usize = 20;
const STEP_MS: f64 = 5.0;
/// Clock ticks of the kernel's accounts in a second.
const TICKS_PER_S: f64 = 100.0;

#[actix_rt::main]
async fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [address, pid, rest @ ..] = args.as_slice() else {
        eprintln!("engine_cost ADDRESS PID [RATE [SECONDS]]");
        return;
    };
    let number = |index: usize, default: f64| {
        rest.get(index).and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (rate, seconds) = (number(0, 60.0), number(1, 10.0));
    let before = processor_s(pid);
    let begun = Instant::now();
    let gaps = send_all(address, rate, seconds).await;
    let passed_s = begun.elapsed().as_secs_f64();
    let used_s = processor_s(pid) - before;
    report(rate, passed_s, used_s, gaps);
}

fn report(rate: f64, passed_s: f64, used_s: f64, gaps: Vec<Vec<f64>>) {
    let requests = gaps.len() as f64;
    let mut gaps: Vec<f64> = gaps.into_iter().flatten().collect();
    gaps.sort_by(f64::total_cmp);
    let quantile = |share: f64| gaps[((gaps.len() - 1) as f64 * share) as usize] / STEP_MS;
    println!("requests {requests:.0} at {rate:.0}/s, tokens {:.0}", requests * MAX_TOKENS as f64);
    println!("processor time of the engine: {:.1}% of a core", used_s / passed_s * 100.0);
    println!("per request {:.3} ms", used_s / requests * 1_000.0);
    println!(
        "time between tokens by the decode step: p50 {:.2}, p99 {:.2}",
        quantile(0.5),
        quantile(0.99)
    );
}

/// Times between the pieces of each answer.
async fn send_all(address: &str, rate: f64, seconds: f64) -> Vec<Vec<f64>> {
    let client = awc::Client::default();
    let mut ticks = interval(Duration::from_secs_f64(1.0 / rate));
    let mut calls = Vec::new();
    for number in 0..(rate * seconds) as usize {
        ticks.tick().await;
        let request = client
            .post(format!("http://{address}/v1/completions"))
            .insert_header(("x-cache-scope", "team/shop-model/"));
        let prompt = format!("prompt {:4} ", number % PROMPTS).repeat(PROMPT_BYTES / 12);
        let body = json!({
            "model": "shop-model", "prompt": prompt, "max_tokens": MAX_TOKENS, "stream": true,
        });
        calls.push(actix_rt::spawn(async move {
            let mut answer = request.send_json(&body).await.expect("the engine answers");
            let mut gaps = Vec::new();
            let mut last: Option<Instant> = None;
            while let Some(Ok(_)) = answer.next().await {
                let now = Instant::now();
                gaps.extend(last.map(|last| (now - last).as_secs_f64() * 1_000.0));
                last = Some(now);
            }
            gaps
        }));
    }
    join_all(calls).await.into_iter().flatten().collect()
}

/// Processor time that a process has used.
fn processor_s(pid: &str) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks: f64 = fields[11..13].iter().filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_S
}
