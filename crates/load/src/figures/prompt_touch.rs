//! Which cached blocks a prompt needs.

use fulmargate_stand::token::BLOCK_BYTES;
use fulmargate_stand::token::TOKEN_BYTES;

use crate::workload::CallKind;
use crate::workload::PlannedCall;
use crate::workload::PrefixKey;
use crate::workload::PromptLibrary;

/// The blocks of one level that no level above covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentUse {
    /// Equal for two prompts exactly when they share the level and all above it.
    pub id: u64,
    /// Full blocks.
    pub blocks: usize,
}

/// One prompt's use of shared blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptTouch {
    /// Tokens of the whole prompt.
    pub tokens: usize,
    /// Tenant, service and record.
    pub segments: [SegmentUse; 3],
    /// Full blocks that no other prompt shares.
    pub own_blocks: usize,
    /// Whether the prompt counts; those of the warm-up only fill the cache.
    pub is_counted: bool,
}

impl PromptTouch {
    /// The blocks that a call needs; `None` for calls of the plain service.
    pub fn of(call: &PlannedCall, library: &PromptLibrary) -> Option<PromptTouch> {
        let CallKind::Prompt(prompt) = &call.kind else { return None };
        let ends = library.level_ends();
        let blocks = ends.map(|end| end / BLOCK_BYTES);
        let ids = segment_ids(&prompt.prefix);
        let segment = |level: usize| SegmentUse {
            id: ids[level],
            blocks: blocks[level] - if level == 0 { 0 } else { blocks[level - 1] },
        };
        Some(PromptTouch {
            tokens: ends[3].div_ceil(TOKEN_BYTES),
            segments: std::array::from_fn(segment),
            own_blocks: blocks[3] - blocks[2],
            is_counted: true,
        })
    }
}

fn segment_ids(key: &PrefixKey) -> [u64; 3] {
    let id = |level: u64, service: u16, record: u16| {
        level << 48 | u64::from(key.team) << 32 | u64::from(service) << 16 | u64::from(record)
    };
    [id(0, 0, 0), id(1, key.service, 0), id(2, key.service, key.record)]
}
