//! Judges calls that may not be repeated by the effects they had.

use std::collections::HashMap;

use crate::calls::CallRecord;
use crate::calls::Verdict;

/// Marks records whose answers do not agree with the effects of their keys; `effects` counts those
/// of all replicas.
pub fn judge_effects(records: &mut [CallRecord], effects: &HashMap<String, u64>) {
    for record in records {
        let Some(history) = &record.key else { continue };
        let count = effects.get(&history.key).copied().unwrap_or(0);
        if let Some(fault) = history.fault(count) {
            record.verdict = Verdict::Faulty(fault);
        }
    }
}
