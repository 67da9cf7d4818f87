//! Taking in cached blocks from the KV store or a neighbour before prefill.

use std::time::Duration;

use tokio::time::sleep;

use super::engine_desk::EngineDesk;
use super::engine_job::EngineJob;
use crate::kv_run::KvQuery;
use crate::kv_run::KvRun;
use crate::token::BLOCK_TOKENS;

/// The source's name that stands for the KV store.
const KV_STORE: &str = "kv-store";
/// Blocks asked for at once, which bounds the length of the URL.
const MAX_BLOCKS: usize = 3_000;
/// A source that takes longer is done without.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Imports the start of the job's prompt; without success the prompt is computed here.
pub(super) async fn import_blocks(desk: &EngineDesk, job: &EngineJob, source: &str) {
    let Some(scope) = &job.scope else { return };
    let Some(weights) = desk.core.borrow().weights().get(&job.model).copied() else { return };
    let mut chain = job.block_chain(weights);
    chain.truncate(MAX_BLOCKS);
    let cached = desk.core.borrow().export(scope, weights, &chain).len();
    if cached == chain.len() {
        return;
    }
    let Some(url) = source_url(desk, source) else { return };
    let Some(run) = fetch(desk, &url, &KvQuery::new(scope, weights, &chain)).await else { return };
    let blocks = run.chain();
    if blocks.len() <= cached {
        return;
    }
    let tokens = ((blocks.len() - cached) * BLOCK_TOKENS) as f64;
    let ms = desk.faults.paced_ms(tokens / desk.settings.rates.import_tokens_per_ms);
    sleep(Duration::from_secs_f64(ms / 1_000.0)).await;

    // A source that answers with another team's blocks, with those of older weights or with a
    // chain that was not asked for would put foreign state into the answer; so would weights that
    // changed during the import. What is taken in is exactly a start of this prompt's own chain.
    let is_own = run.scope == *scope && run.weights == weights && chain.starts_with(&blocks);
    let mut core = desk.core.borrow_mut();
    if is_own && core.weights().get(&job.model) == Some(&weights) {
        core.import(desk.now_ms(), scope, weights, &blocks);
    }
}

fn source_url(desk: &EngineDesk, source: &str) -> Option<String> {
    if source == KV_STORE {
        let address = desk.settings.kv_store?;
        return Some(format!("http://{address}/v1/blocks"));
    }
    let address = desk.settings.neighbours.get(source)?;
    Some(format!("http://{address}/kv/export"))
}

async fn fetch(desk: &EngineDesk, url: &str, query: &KvQuery) -> Option<KvRun> {
    let request = desk.client.get(url).query(query).ok()?.timeout(FETCH_TIMEOUT);
    request.send().await.ok()?.json().await.ok()
}
