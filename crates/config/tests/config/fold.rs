//! The fold over the stream: which patches are accepted, and what snapshots do.

use fulmargate_config::ConfigFold;
use fulmargate_config::ConfigRecord;
use fulmargate_config::FoldEvent;
use fulmargate_config::PatchVerdict;
use fulmargate_names::ConfigVersion;
use fulmargate_names::LogOffset;
use serde_json::Value;
use serde_json::json;

use crate::common;
use crate::common::fold_from;
use crate::common::log_record;
use crate::common::mark_of;
use crate::common::marked;
use crate::common::patch_data;

/// What a patch against version 1 (the sample) comes to.
struct PatchCase {
    name: &'static str,
    base: u64,
    patch: Value,
    /// `ok`, `stale`, or the path that the refusal names.
    outcome: &'static str,
}

impl PatchCase {
    fn check(&self) {
        let mut fold = ConfigFold::new();
        fold_from(&mut fold, 0, &[patch_data("p0", 0, common::sample())]);
        let before = fold.value().clone();
        let events = fold_from(&mut fold, 1, &[patch_data("p1", self.base, self.patch.clone())]);
        let [FoldEvent::Judged { verdict, .. }] = events.as_slice() else {
            panic!("{}: {events:?}", self.name);
        };
        let outcome = match verdict {
            PatchVerdict::Accepted { .. } => "ok",
            PatchVerdict::Stale { current } => {
                assert_eq!(*current, ConfigVersion(1), "{}", self.name);
                "stale"
            }
            PatchVerdict::Invalid { error } => &error.path,
        };
        assert_eq!(outcome, self.outcome, "{}: {verdict}", self.name);
        if outcome != "ok" {
            assert_eq!(*fold.value(), before, "{}: a refusal leaves traces", self.name);
            assert_eq!(fold.version(), ConfigVersion(1), "{}", self.name);
            return;
        }
        // What was read by parts must be what the whole reads as, in the same order.
        let whole = fulmargate_config::ConfigDocument::from_value(fold.value()).expect(self.name);
        let parts = fold.document().expect("version 2 has a document");
        assert_eq!(
            serde_json::to_string(&whole).expect(self.name),
            serde_json::to_string(&**parts).expect(self.name),
            "{}",
            self.name
        );
    }
}

fn case(name: &'static str, base: u64, patch: Value, outcome: &'static str) -> PatchCase {
    PatchCase { name, base, patch, outcome }
}

fn team(byte: &str) -> Value {
    json!({
        "key_sha256": [byte.repeat(32)], "requests_per_s": 1, "prompt_tokens_per_s": 1,
        "class": "batch",
    })
}

#[test]
#[rustfmt::skip]
fn patches_are_accepted_by_base_and_validity_alone() {
    let bomb: Vec<Value> = (0..40)
        .map(|n| json!({"op": "copy", "from": "/servers", "path": format!("/servers/x{n}")}))
        .collect();
    for case in [
        case("merge", 1, marked(7), "ok"),
        case("nothing", 1, json!({}), "ok"),
        case("stale", 0, marked(7), "stale"),
        case("from the future", 2, marked(7), "stale"),
        case("new first", 1, json!({"teams": {"a": team("aa"), "zoo": team("bb")}}), "ok"),
        case("removal", 1, json!({"servers": {"c1": null}}), "ok"),
        case("removal of what is needed", 1, json!({"models": {"describer": null}}), "/servers/e1/models/0"),
        case("section gone", 1, json!({"rules": null}), "ok"),
        case("section new", 1, json!({"policy": "prefix_hash"}), "ok"),
        case("section replaced by a scalar", 1, json!({"teams": 3}), "/teams"),
        case("unknown section", 1, json!({"x": {"y": 1}}), "/x"),
        case("fault after a good part", 1, json!({"policy": "least_load", "teams": {"a": team("aa"), "zoo": {}}}), "/teams/zoo"),
        case("operations", 1, json!([{"op": "add", "path": "/teams/b", "value": team("aa")}, {"op": "remove", "path": "/teams/shop"}, {"op": "replace", "path": "/rules", "value": []}]), "ok"),
        case("move", 1, json!([{"op": "move", "from": "/servers/e1", "path": "/servers/a1"}]), "ok"),
        case("whole document", 1, json!([{"op": "replace", "path": "", "value": common::sample()}]), "ok"),
        case("section emptied, then filled", 1, json!([{"op": "replace", "path": "/rules", "value": []}, {"op": "replace", "path": "/teams", "value": {}}, {"op": "add", "path": "/teams/n", "value": team("cc")}]), "ok"),
        case("test", 1, json!([{"op": "test", "path": "/policy", "value": "cost"}]), "ok"),
        case("failed test after a change", 1, json!([{"op": "remove", "path": "/servers/c1"}, {"op": "test", "path": "/policy", "value": "x"}]), "/policy"),
        case("no such place", 1, json!([{"op": "remove", "path": "/teams/none"}]), "/teams/none"),
        case("unknown operation", 1, json!([{"op": "shift", "path": "/teams"}]), ""),
        case("no patch", 1, json!("x"), ""),
        case("copies that double", 1, json!(bomb), "/servers/x6"),
    ] {
        case.check();
    }
}

/// Two operators patch version 1; the second in the log is refused whatever it changes.
#[test]
fn of_two_racing_patches_the_first_in_the_log_wins() {
    let mut fold = ConfigFold::new();
    let data = [
        patch_data("first", 0, common::sample()),
        patch_data("ada", 1, marked(10)),
        patch_data("bob", 1, json!({ "policy": "round_robin" })),
        patch_data("ada", 1, marked(10)),
    ];
    let events = fold_from(&mut fold, 0, &data);
    let verdicts: Vec<String> = events.iter().map(verdict_text).collect();
    assert_eq!(verdicts, ["first 1", "ada 2", "bob stale 2", "ada stale 2"]);
    assert_eq!(fold.document().expect("a document").policy, Default::default());
    assert_eq!(fold.history().accepted("ada").expect("remembered").offset, LogOffset(1));
    assert_eq!(fold.history().refused("bob").expect("remembered").current, ConfigVersion(2));
}

fn verdict_text(event: &FoldEvent) -> String {
    match event {
        FoldEvent::Judged { id, verdict: PatchVerdict::Accepted { version }, .. } => {
            format!("{id} {version}")
        }
        FoldEvent::Judged { id, verdict: PatchVerdict::Stale { current }, .. } => {
            format!("{id} stale {current}")
        }
        other => format!("{other:?}"),
    }
}

/// Garbage, a snapshot that claims to cover what comes after it, and records of an unknown kind are
/// skipped; they move nobody's version.
#[test]
fn unreadable_records_are_counted_and_skipped() {
    let mut fold = ConfigFold::new();
    let ahead = r#"{"snapshot":{"covers_offset":9,"version":5,"document":{}}}"#;
    let data = [
        "not json".to_owned(),
        r#"{"patch":{"id":"x"}}"#.to_owned(),
        r#"{"order":{}}"#.to_owned(),
        ahead.to_owned(),
        patch_data("p", 0, common::sample()),
    ];
    let events = fold_from(&mut fold, 0, &data);
    assert_eq!(fold.counts().unreadable, 4);
    assert_eq!(fold.version(), ConfigVersion(1));
    assert_eq!(events.len(), 5);
}

#[test]
fn records_come_in_order_and_copies_change_nothing() {
    let mut fold = ConfigFold::new();
    let first = log_record(0, "p", patch_data("p", 0, common::sample()));
    assert_eq!(fold.apply(&first).map(|events| events.len()), Ok(1));
    assert_eq!(fold.apply(&first).map(|events| events.len()), Ok(0));
    let later = log_record(2, "q", patch_data("q", 1, marked(3)));
    let gap = fold.apply(&later).expect_err("record 1 is missing");
    assert_eq!((gap.wanted, gap.found), (LogOffset(1), LogOffset(2)));
    assert_eq!(fold.version(), ConfigVersion(1));
}

/// The records of the tests below: versions 1 to 4 at offsets 0 to 3, then a snapshot that covers
/// the first two only and stands late, at offset 4, then version 5 at offset 5.
fn late_snapshot_records() -> Vec<String> {
    let mut data = vec![patch_data("p0", 0, common::sample())];
    data.extend((1..4).map(|n| patch_data(&format!("p{n}"), n, marked(n))));
    let mut short = ConfigFold::new();
    fold_from(&mut short, 0, &data[..2]);
    data.push(ConfigRecord::Snapshot(short.snapshot()).to_data());
    data.push(patch_data("p5", 4, marked(5)));
    data
}

/// A slow writer appends its snapshot after two more patches were accepted. A reader that knows the
/// state must not go back to the snapshot's version, and one that starts at the snapshot's reach
/// must still apply those two.
#[test]
fn patches_between_what_a_snapshot_covers_and_where_it_stands_apply() {
    let data = late_snapshot_records();
    for first in 0..=2 {
        let mut fold = ConfigFold::new();
        fold.skip_to(LogOffset(first));
        assert_eq!(fold.has_gap(), 0 < first);
        fold_from(&mut fold, first, &data[first as usize..]);
        assert!(!fold.has_gap(), "from {first}");
        assert_eq!(fold.version(), ConfigVersion(5), "from {first}");
        assert_eq!(mark_of(fold.value()), Some(5), "from {first}");
        assert_eq!(fold.counts().contradictions, 0, "from {first}");
        assert_eq!(fold.history().versions.len(), 5, "from {first}");
    }
}

/// The log has lost the patch at offset 2, which the snapshot does not cover: using the snapshot
/// would drop an accepted patch. The reader waits for a later one.
#[test]
fn a_snapshot_that_covers_too_little_is_not_used() {
    let data = late_snapshot_records();
    let mut fold = ConfigFold::new();
    fold.skip_to(LogOffset(3));
    fold_from(&mut fold, 3, &data[3..]);
    assert!(fold.has_gap());
    assert_eq!(fold.version(), ConfigVersion(0));
    assert!(fold.document().is_none());

    let mut whole = ConfigFold::new();
    fold_from(&mut whole, 0, &data);
    let events = fold_from(&mut fold, 6, &[ConfigRecord::Snapshot(whole.snapshot()).to_data()]);
    assert_eq!(events.len(), 1);
    assert!(!fold.has_gap());
    assert_eq!(fold.version(), ConfigVersion(5));
}

/// A reader slept past the log's retention. It keeps the version it has until it knows a newer one.
#[test]
fn after_a_gap_the_known_version_stays_in_force() {
    let data = late_snapshot_records();
    let mut fold = ConfigFold::new();
    fold_from(&mut fold, 0, &data[..4]);
    fold.skip_to(LogOffset(5));
    fold_from(&mut fold, 5, &data[5..]);
    assert!(fold.has_gap());
    assert_eq!(fold.version(), ConfigVersion(4));
    assert_eq!(fold.snapshot().covers_offset, LogOffset(4));

    let low = r#"{"snapshot":{"covers_offset":6,"version":3,"document":{}}}"#.to_owned();
    fold_from(&mut fold, 6, &[low]);
    assert_eq!(fold.version(), ConfigVersion(4));
    assert_eq!(fold.counts().contradictions, 1);
}

#[test]
fn a_peers_state_is_adopted_only_where_it_is_ahead() {
    let data = late_snapshot_records();
    let mut ahead = ConfigFold::new();
    fold_from(&mut ahead, 0, &data);
    let mut behind = ConfigFold::new();
    fold_from(&mut behind, 0, &data[..2]);
    let old = behind.snapshot();

    behind.adopt(ahead.snapshot());
    assert_eq!((behind.version(), behind.next_offset()), (ConfigVersion(5), LogOffset(6)));
    assert_eq!(behind.history().accepted("p3").expect("carried").version, ConfigVersion(4));
    ahead.adopt(old);
    assert_eq!((ahead.version(), ahead.next_offset()), (ConfigVersion(5), LogOffset(6)));
    assert_eq!(ahead.document(), behind.document());
}

/// A number that is read back from a snapshot as its neighbour would split the readers: a later
/// `test` operation holds for those that read the patch and fails for those that read the snapshot.
#[test]
fn numbers_survive_a_snapshot() {
    let numbers = [0.1 + 0.2, 6.934698245112694e276, 8.383658838626809e-78, 1e23];
    for number in numbers {
        let mut fold = ConfigFold::new();
        fold_from(&mut fold, 0, &[patch_data("p0", 0, common::sample())]);
        let patch = json!({ "teams": { "shop": { "requests_per_s": number } } });
        fold_from(&mut fold, 1, &[patch_data("p1", 1, patch)]);
        let mut copy = ConfigFold::new();
        copy.adopt(fold.snapshot());
        assert_eq!(copy.value(), fold.value(), "{number}");
        assert_eq!(copy.document(), fold.document(), "{number}");
    }
}

#[test]
fn history_is_bounded() {
    let mut fold = ConfigFold::new();
    let mut data = vec![patch_data("p", 0, common::sample())];
    data.extend((1..1000).map(|n| patch_data("p", n, json!({}))));
    data.extend((0..1000).map(|_| patch_data("q", 1, json!({}))));
    fold_from(&mut fold, 0, &data);
    assert_eq!(fold.version(), ConfigVersion(1000));
    assert_eq!(fold.counts().refused, 1000);
    assert_eq!(fold.history().versions.len(), 256);
    assert_eq!(fold.history().refusals.len(), 256);
    assert_eq!(fold.snapshot().history.len(), 64);
}
