//! Load patterns.

/// What a day does to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPattern {
    /// The full load, and nothing else.
    Calm,
    /// 1.7 and 2.5 times the load, for six seconds each.
    Burst,
    /// A quarter of the engines fall silent for twelve seconds.
    Dark,
    /// New weights are named five times.
    Weights,
    /// A quarter of the long prompts share one part for six seconds.
    HotPart,
    /// A burst, silent engines and new weights together.
    AllAtOnce,
}

impl LoadPattern {
    /// All of them.
    pub const ALL: [LoadPattern; 6] = [
        LoadPattern::Calm,
        LoadPattern::Burst,
        LoadPattern::Dark,
        LoadPattern::Weights,
        LoadPattern::HotPart,
        LoadPattern::AllAtOnce,
    ];

    /// Its name on the command line and in tables.
    pub fn name(self) -> &'static str {
        match self {
            LoadPattern::Calm => "calm",
            LoadPattern::Burst => "burst",
            LoadPattern::Dark => "dark",
            LoadPattern::Weights => "weights",
            LoadPattern::HotPart => "hot-part",
            LoadPattern::AllAtOnce => "all-at-once",
        }
    }

    /// Times the usual load at this second.
    pub(crate) fn load(self, second: f64) -> f64 {
        match self {
            LoadPattern::Burst | LoadPattern::AllAtOnce => match second {
                6.0..12.0 => 1.7,
                20.0..26.0 => 2.5,
                _ => 1.0,
            },
            _ => 1.0,
        }
    }

    /// When new weights are named, in seconds.
    pub(crate) fn bumps(self) -> &'static [f64] {
        match self {
            LoadPattern::Weights => &[3.0, 8.0, 14.0, 20.0, 26.0],
            LoadPattern::AllAtOnce => &[8.0],
            _ => &[],
        }
    }

    /// Between which seconds a quarter of the engines is silent.
    pub(crate) fn darkness(self) -> Option<(f64, f64)> {
        matches!(self, LoadPattern::Dark | LoadPattern::AllAtOnce).then_some((6.0, 18.0))
    }

    /// The share of long prompts that are about one record.
    pub(crate) fn hot_share(self, second: f64) -> f64 {
        match self {
            LoadPattern::HotPart if (6.0..12.0).contains(&second) => 0.25,
            _ => 0.0,
        }
    }
}
