//! What was computed again, and whether an engine used what it cannot have had.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use fulmargate_stand::token::BLOCK_TOKENS;

use super::prompt_touch::PromptTouch;
use crate::calls::AnswerFault;
use crate::calls::CallRecord;
use crate::calls::Verdict;

/// Judges the token counts of whole answers against all prompts of the run.
///
/// A token counts as recomputed if it lies in the full blocks of a level that an earlier answer of
/// this run (by the time of its first token) had computed or found, and the engine of this answer
/// had it not cached. A first computation is never counted, so that the figure is what another
/// placement or a larger cache would have saved.
pub struct CacheJudge<'a> {
    touches: &'a HashMap<u32, PromptTouch>,
}

impl<'a> CacheJudge<'a> {
    /// A judge that knows the prompts by the numbers of their calls.
    pub fn new(touches: &'a HashMap<u32, PromptTouch>) -> CacheJudge<'a> {
        CacheJudge { touches }
    }

    /// Recomputed tokens by the number of the call.
    pub fn recomputed_tokens(&self, records: &[CallRecord]) -> HashMap<u32, usize> {
        let mut answered: Vec<&CallRecord> =
            records.iter().filter(|record| is_judged(record)).collect();
        answered.sort_by_key(|record| first_token_at(record));
        let mut seen = HashSet::new();
        let mut recomputed = HashMap::new();
        for record in answered {
            let Some(touch) = self.touches.get(&record.number) else { continue };
            let seen_segments = touch.segments.iter().filter(|segment| seen.contains(&segment.id));
            let seen_blocks: usize = seen_segments.map(|segment| segment.blocks).sum();
            let again = (seen_blocks * BLOCK_TOKENS).saturating_sub(record.cached_tokens);
            recomputed.insert(record.number, again);
            seen.extend(touch.segments.iter().map(|segment| segment.id));
        }
        recomputed
    }

    /// Marks answers whose engine claims cached tokens that nobody of the same team had sent
    /// before its first token. Holds only if all caches were empty at the start of the run.
    ///
    /// The claim is that of the engine that ended the stream. One that took a stream over was asked
    /// later than the first token came, and has what others had sent until then: judged by the
    /// stream's first token, a true claim would be foreign.
    ///
    /// A prompt whose own blocks are cached was run before by an attempt that failed, and its
    /// shared blocks with it: no other prompt has those blocks, so that is nothing foreign.
    pub fn mark_foreign(&self, records: &mut [CallRecord]) {
        let mut first_sent: HashMap<u64, (Duration, u32)> = HashMap::new();
        let mut second_sent: HashMap<u64, Duration> = HashMap::new();
        let mut by_time: Vec<&CallRecord> = records.iter().collect();
        by_time.sort_by_key(|record| record.at);
        for record in by_time {
            let Some(touch) = self.touches.get(&record.number) else { continue };
            for segment in &touch.segments {
                match first_sent.get(&segment.id) {
                    None => drop(first_sent.insert(segment.id, (record.at, record.number))),
                    Some(_) => drop(second_sent.entry(segment.id).or_insert(record.at)),
                }
            }
        }
        for record in records.iter_mut().filter(|record| is_judged(record)) {
            let Some(touch) = self.touches.get(&record.number) else { continue };
            let until = claimed_before(record);
            let was_sent = |id: &u64| match first_sent.get(id) {
                Some((_, number)) if *number == record.number => {
                    second_sent.get(id).is_some_and(|at| *at < until)
                }
                first => first.is_some_and(|(at, _)| *at < until),
            };
            let possible = touch.segments.iter().take_while(|segment| was_sent(&segment.id));
            let possible_blocks: usize = possible.map(|segment| segment.blocks).sum();
            let shared_blocks: usize = touch.segments.iter().map(|segment| segment.blocks).sum();
            let cached_blocks = record.cached_tokens / BLOCK_TOKENS;
            let ran_before = shared_blocks < cached_blocks || 0 < record.tries_again;
            if possible_blocks < cached_blocks && !ran_before {
                record.verdict = Verdict::Faulty(AnswerFault::Foreign);
            }
        }
    }
}

fn is_judged(record: &CallRecord) -> bool {
    record.is_prompt && record.verdict == Verdict::Whole && record.first_token.is_some()
}

fn first_token_at(record: &CallRecord) -> Duration {
    record.at + record.first_token.unwrap_or_default()
}

fn claimed_before(record: &CallRecord) -> Duration {
    record.last_server_token.map_or_else(|| first_token_at(record), |token| record.at + token)
}
