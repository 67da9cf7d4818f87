//! What a day was worth.

use indexmap::IndexMap;
use serde::Serialize;

use crate::CallKind;

/// Figures of one kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct KindFigures {
    /// Requests that callers asked for.
    pub asked: u32,
    /// Answered in time.
    pub in_time: u32,
    /// Answered late.
    pub late: u32,
    /// Refused for good.
    pub refused: u32,
    /// Without an answer.
    pub lost: u32,
    /// Of the longest tenth: asked, and answered at all.
    pub longest_asked: u32,
    /// Answered ones among these.
    pub longest_answered: u32,
    earned: f64,
    owed: f64,
}

/// Figures of a day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FigureSheet {
    /// Of lookups and reviews.
    kinds: IndexMap<&'static str, KindFigures>,
    /// Prompt tokens that engines read.
    pub read_tokens: f64,
    /// Requests that engines turned away.
    pub turned_away: u32,
    /// Loads of weights.
    pub loads: u32,
    /// Milliseconds from each caller's first try to its first event, for those that got one.
    #[serde(skip)]
    pub(crate) waits: Vec<(f64, f64)>,
    /// Time and prompts that wait at all routers.
    #[serde(skip)]
    pub(crate) lines: Vec<(f64, usize)>,
}

impl CallKind {
    fn name(self) -> &'static str {
        match self {
            CallKind::Review => "review",
            CallKind::Lookup => "lookup",
        }
    }
}

impl KindFigures {
    /// Share of what was asked that was answered in time.
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    /// Share that was answered at all.
    pub fn answered_share(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.asked.max(1))
    }

    /// Share of the longest tenth that was answered at all.
    pub fn longest_share(&self) -> f64 {
        f64::from(self.longest_answered) / f64::from(self.longest_asked.max(1))
    }

    pub(crate) fn owe(&mut self, worth: f64, is_longest: bool) {
        self.asked += 1;
        self.owed += worth;
        self.longest_asked += u32::from(is_longest);
    }

    pub(crate) fn earn(&mut self, worth: f64, is_longest: bool) {
        self.earned += worth;
        self.longest_answered += u32::from(is_longest);
    }
}

impl FigureSheet {
    /// Figures of a kind.
    pub fn kind(&self, kind: CallKind) -> KindFigures {
        self.kinds.get(kind.name()).copied().unwrap_or_default()
    }

    pub(crate) fn kind_mut(&mut self, kind: CallKind) -> &mut KindFigures {
        self.kinds.entry(kind.name()).or_default()
    }

    /// What was earned of what is owed. A late answer earns less; prices are left out.
    pub fn worth(&self) -> f64 {
        let earned: f64 = self.kinds.values().map(|kind| kind.earned).sum();
        let owed: f64 = self.kinds.values().map(|kind| kind.owed).sum();
        earned / owed.max(f64::MIN_POSITIVE)
    }

    /// Share of requests between these seconds whose first event came within this time.
    pub fn fast_share(&self, from_s: f64, to_s: f64, within_ms: f64) -> f64 {
        let in_window = |wait: &&(f64, f64)| (from_s..to_s).contains(&(wait.0 / 1_000.0));
        let waits: Vec<f64> = self.waits.iter().filter(in_window).map(|wait| wait.1).collect();
        let fast = waits.iter().filter(|wait| **wait <= within_ms).count();
        fast as f64 / waits.len().max(1) as f64
    }
}
