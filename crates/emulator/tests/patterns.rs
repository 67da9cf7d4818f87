//! Load patterns, and what the decisions make of them.

use fulmargate_dispatch::experiment::Mechanism;
use fulmargate_dispatch::experiment::disable;
use fulmargate_emulator::CallKind;
use fulmargate_emulator::FigureSheet;
use fulmargate_emulator::FleetSpec;
use fulmargate_emulator::LoadPattern;
use fulmargate_emulator::play;

/// Days are cut after the first burst, two versions of weights and a part of the darkness.
const LENGTH_S: f64 = 14.0;

fn sheet(pattern: LoadPattern, off: &[Mechanism], seed: u64) -> FigureSheet {
    disable(off);
    play(FleetSpec { length_s: LENGTH_S, ..FleetSpec::default() }, pattern, seed)
}

fn reviews(sheet: &FigureSheet) -> f64 {
    sheet.kind(CallKind::Review).in_time_share()
}

fn lookups(sheet: &FigureSheet) -> f64 {
    sheet.kind(CallKind::Lookup).in_time_share()
}

/// A pattern, a figure of it that holds, and one that it falls to without a mechanism.
struct PatternCase {
    pattern: LoadPattern,
    figure: fn(&FigureSheet) -> f64,
    name: &'static str,
    least: f64,
    without: Mechanism,
    most_without: f64,
}

const CASES: &[PatternCase] = &[
    // Long prompts wait behind others that cost more and earn less.
    PatternCase {
        pattern: LoadPattern::Burst,
        figure: reviews,
        name: "reviews in time",
        least: 0.6,
        without: Mechanism::RequestQueue,
        most_without: 0.56,
    },
    // Engines throw their queues back when they are ordered to load, and the prompts wait anew.
    PatternCase {
        pattern: LoadPattern::Weights,
        figure: lookups,
        name: "lookups in time",
        least: 0.87,
        without: Mechanism::RequestQueue,
        most_without: 0.7,
    },
    // What waits at an engine is lost with it, or read late by it.
    PatternCase {
        pattern: LoadPattern::AllAtOnce,
        figure: lookups,
        name: "lookups in time",
        least: 0.8,
        without: Mechanism::RequestQueue,
        most_without: 0.7,
    },
    // Prompts are thought to overtake what an engine has admitted, and are sent behind it.
    PatternCase {
        pattern: LoadPattern::Burst,
        figure: reviews,
        name: "reviews in time",
        least: 0.6,
        without: Mechanism::ArrivalOrder,
        most_without: 0.56,
    },
    // A quarter of the engines is kept for short prompts, which do not need it.
    PatternCase {
        pattern: LoadPattern::Calm,
        figure: reviews,
        name: "reviews in time",
        least: 0.82,
        without: Mechanism::StallLearning,
        most_without: 0.78,
    },
    // Routers choose by what the others had a fifth of a second ago.
    PatternCase {
        pattern: LoadPattern::Calm,
        figure: lookups,
        name: "lookups in time",
        least: 0.95,
        without: Mechanism::FastGossip,
        most_without: 0.92,
    },
    // What other engines have is read again.
    PatternCase {
        pattern: LoadPattern::Dark,
        figure: reviews,
        name: "reviews in time",
        least: 0.7,
        without: Mechanism::Fetches,
        most_without: 0.6,
    },
    // What engines have dropped is read again.
    PatternCase {
        pattern: LoadPattern::Dark,
        figure: reviews,
        name: "reviews in time",
        least: 0.7,
        without: Mechanism::StoreKeeping,
        most_without: 0.6,
    },
];

/// Callers get late answers, or none, though the engines could have given them in time.
/// Load exceeds what engines read; each case names what goes wrong without the mechanism.
#[test]
fn mechanisms_hold_under_their_patterns() {
    for case in CASES {
        let figure = (case.figure)(&sheet(case.pattern, &[], 1));
        let without = (case.figure)(&sheet(case.pattern, &[case.without], 1));
        let what = format!("{} {} without {}", case.pattern.name(), case.name, case.without);
        assert!(case.least <= figure, "{what}: {figure:.3}");
        assert!(without <= case.most_without, "{what}: {without:.3}");
    }
    disable(&[]);
}

/// Callers with long prompts are never answered under load.
/// Each time something cheaper goes first, and the longest are refused when their time is over.
#[test]
fn the_longest_do_not_starve() {
    for pattern in [LoadPattern::Burst, LoadPattern::AllAtOnce] {
        let figures = sheet(pattern, &[], 2).kind(CallKind::Review);
        let (longest, all) = (figures.longest_share(), figures.answered_share());
        assert!(all * 0.5 <= longest, "{}: {longest:.3} of {all:.3}", pattern.name());
    }
}

/// Share of requests with a first event within 400 ms, before a burst and from two seconds after it.
fn shares_around_a_burst(off: &[Mechanism]) -> (f64, f64) {
    let spec = FleetSpec { length_s: 18.0, ..FleetSpec::default() };
    disable(off);
    let day = |seed| play(spec, LoadPattern::Burst, seed);
    let sheets: Vec<FigureSheet> = (1..=3).map(day).collect();
    let mean = |from_s, to_s| {
        let shares = sheets.iter().map(|sheet| sheet.fast_share(from_s, to_s, 400.0));
        shares.sum::<f64>() / sheets.len() as f64
    };
    (mean(2.0, 6.0), mean(14.0, 18.0))
}

/// A fleet that was overloaded stays slow after the load is gone, since late requests are served first.
/// Callers that were refused come back meanwhile, spread over some seconds. From two seconds after the
/// burst the fleet must be as fast as before it.
#[test]
fn a_fleet_comes_back_after_a_burst() {
    let (before, after) = shares_around_a_burst(&[]);
    assert!(before - 0.03 <= after, "{before:.3} before, {after:.3} after");
    let (before, after) = shares_around_a_burst(&[Mechanism::StoreKeeping]);
    assert!(after < before - 0.03, "without a store {before:.3} before, {after:.3} after");
}

/// The same seed plays the same day, or no figure of a test could be trusted.
#[test]
fn days_repeat() {
    let worth = |seed| sheet(LoadPattern::HotPart, &[], seed).worth();
    assert_eq!(worth(5).to_bits(), worth(5).to_bits());
    assert_ne!(worth(5).to_bits(), worth(6).to_bits());
}
