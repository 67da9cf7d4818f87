//! Checking what a patch touches must come to the same as checking the whole.

use fulmargate_config::ConfigDocument;
use fulmargate_config::ConfigFold;
use fulmargate_config::KeyHash;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use serde_json::Value;
use serde_json::json;

use crate::common;
use crate::common::fold_from;
use crate::common::patch_data;

const BYTES: [&str; 3] = ["ab", "cd", "ef"];

/// A change of one or two entries out of few, so that they collide and depend on each other.
#[derive(Clone, Debug)]
struct DrawnPatch(Value);

impl Arbitrary for DrawnPatch {
    fn arbitrary(g: &mut Gen) -> DrawnPatch {
        let first = drawn_entry(g);
        if bool::arbitrary(g) {
            return DrawnPatch(first);
        }
        let mut both = drawn_entry(g);
        json_patch::merge(&mut both, &first);
        DrawnPatch(both)
    }
}

fn pick<T: Clone>(g: &mut Gen, items: &[T]) -> T {
    g.choose(items).expect("there are some").clone()
}

fn drawn_entry(g: &mut Gen) -> Value {
    let section = pick(
        g,
        &["teams", "teams", "servers", "servers", "models", "services", "classes", "rules"],
    );
    let (name, entry) = match section {
        "teams" => (pick(g, &["shop", "zoo", "a/b"]), drawn_team(g)),
        "servers" => (pick(g, &["e1", "c1", "e2"]), drawn_server(g)),
        "models" => (pick(g, &["describer", "m2"]), json!({ "weights": 2 })),
        "services" => (pick(g, &["checkout", "post"]), json!({ "timeout_ms": pick(g, &[0, 5]) })),
        "classes" => (pick(g, &["urgent", "night"]), json!({ "priority": 9 })),
        _ => return json!({ "rules": [{ "team": pick(g, &["shop", "zoo"]), "class": "batch" }] }),
    };
    let entry = if u8::arbitrary(g) % 4 == 0 { Value::Null } else { entry };
    json!({ section: { name: entry } })
}

fn drawn_team(g: &mut Gen) -> Value {
    let keys: Vec<String> =
        (0..usize::arbitrary(g) % 3).map(|_| pick(g, &BYTES).repeat(32)).collect();
    json!({
        "key_sha256": keys, "requests_per_s": pick(g, &[1, 2, -1]), "prompt_tokens_per_s": 1,
        "models": pick(g, &[vec![], vec!["m2"]]), "class": pick(g, &["batch", "night"]),
        "servers": pick(g, &[json!(null), json!(["e2"]), json!(["e1"])]),
    })
}

fn drawn_server(g: &mut Gen) -> Value {
    json!({
        "zone": "z", "address": format!("127.0.0.1:{}", pick(g, &[4001, 4101, 4002])),
        "kind": "engine", "models": [pick(g, &["describer", "m2"])], "service": null,
        "fenced": bool::arbitrary(g),
    })
}

fn written(document: &ConfigDocument) -> String {
    serde_json::to_string(document).expect("documents can be written")
}

/// Each patch is judged by parts by the fold, and as a whole here.
fn parts_agree_with_whole(patches: &[DrawnPatch]) -> bool {
    let mut fold = ConfigFold::new();
    fold_from(&mut fold, 0, &[patch_data("first", 0, common::sample())]);
    for (offset, DrawnPatch(patch)) in (1..).zip(patches) {
        let before = fold.value().clone();
        let mut after = before.clone();
        json_patch::merge(&mut after, patch);
        let whole = ConfigDocument::from_value(&after);

        let checked = fold.check(patch).is_ok();
        assert_eq!(fold.value().clone(), before, "a check leaves traces");
        let version = fold.version();
        fold_from(&mut fold, offset, &[patch_data("p", version.0, patch.clone())]);
        let accepted = version < fold.version();
        assert_eq!((checked, accepted), (whole.is_ok(), whole.is_ok()), "{patch} {whole:?}");

        let expected =
            whole.or_else(|_| ConfigDocument::from_value(&before)).expect("one is valid");
        let found = fold.document().expect("a version is in force");
        assert_eq!(written(found), written(&expected), "{patch}");
        for byte in BYTES {
            let hash = KeyHash::parse(&byte.repeat(32)).expect("64 digits");
            assert_eq!(found.team_by_key(&hash), expected.team_by_key(&hash), "{patch}");
        }
    }
    true
}

#[test]
fn checking_parts_comes_to_the_same_as_checking_the_whole() {
    let property = |patches: Vec<DrawnPatch>| parts_agree_with_whole(&patches);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(400)
        .quickcheck(property as fn(Vec<DrawnPatch>) -> bool);
}
