//! Links on the pages lead somewhere, and the page of settings has the keys of the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

const SETTINGS_SOURCE: &str = "crates/settings/src/router_settings.rs";
const SETTINGS_PAGE: &str = "docs/operators/settings.md";

/// A part of the settings: the type, and what stands before its keys on the page.
struct SettingsPart {
    type_name: &'static str,
    prefix: &'static str,
}

const PARTS: &[SettingsPart] = &[
    SettingsPart { type_name: "RouterSettings", prefix: "" },
    SettingsPart { type_name: "CallerSettings", prefix: "callers." },
    SettingsPart { type_name: "OperatorSettings", prefix: "operators." },
    SettingsPart { type_name: "PeerSettings", prefix: "peers." },
    SettingsPart { type_name: "PlatformSettings", prefix: "platform." },
];

struct LinkCase {
    text: &'static str,
    links: &'static [&'static str],
}

const LINK_CASES: &[LinkCase] = &[
    LinkCase { text: "no link", links: &[] },
    LinkCase { text: "see [a](b.md) and [c](../d.md#part)", links: &["b.md", "../d.md#part"] },
    LinkCase { text: "[a](https://example.org) [b](#part)", links: &[] },
    LinkCase { text: "`list[0]` (not a link), [a] (b.md)", links: &[] },
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|err| panic!("{}: {err}", path.display()))
}

/// The pages at the root and all below `docs`.
fn pages() -> Vec<PathBuf> {
    let mut pages = Vec::new();
    collect_pages(&root().join("docs"), &mut pages);
    for entry in fs::read_dir(root()).expect("the root") {
        let path = entry.expect("an entry").path();
        if path.extension().is_some_and(|end| end == "md") {
            pages.push(path);
        }
    }
    pages.sort();
    pages
}

fn collect_pages(folder: &Path, pages: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of pages") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_pages(&path, pages);
        } else if path.extension().is_some_and(|end| end == "md") {
            pages.push(path);
        }
    }
}

/// Targets of links within the repository.
fn links(text: &str) -> Vec<&str> {
    let ends = text.split("](").skip(1).filter_map(|rest| rest.split_once(')'));
    ends.map(|(target, _)| target)
        .filter(|target| !target.contains("://") && !target.starts_with('#'))
        .collect()
}

/// Pages that a text names in code marks by their path from the root.
fn named_pages(text: &str) -> Vec<&str> {
    let pieces = text.split('`').skip(1).step_by(2);
    pieces.filter(|piece| piece.starts_with("docs/") && piece.ends_with(".md")).collect()
}

#[test]
fn links_are_found() {
    for case in LINK_CASES {
        assert_eq!(links(case.text), case.links, "{}", case.text);
    }
}

#[test]
fn each_link_resolves() {
    let pages = pages();
    assert!(pages.iter().any(|page| page.ends_with("README.md")));
    let mut broken = Vec::new();
    for page in pages {
        let text = read(&page);
        let folder = page.parent().expect("a folder");
        for link in links(&text) {
            let file = link.split('#').next().unwrap_or_default();
            if !folder.join(file).exists() {
                broken.push(format!("{}: {link}", page.display()));
            }
        }
        for named in named_pages(&text) {
            if !root().join(named).exists() {
                broken.push(format!("{}: `{named}`", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "links to nowhere: {broken:#?}");
}

#[test]
fn each_page_for_operators_is_in_their_index() {
    let index = root().join("docs/operators/README.md");
    let text = read(&index);
    let known = links(&text);
    for page in pages().iter().filter(|page| page.parent() == index.parent()) {
        let name = page.file_name().expect("a name").to_string_lossy();
        assert!(
            name == "README.md" || known.contains(&name.as_ref()),
            "{name} is not in the index"
        );
    }
}

/// Keys of a type: its public fields.
fn fields(source: &str, type_name: &str) -> Vec<String> {
    let head = format!("pub struct {type_name} {{");
    let (_, rest) = source.split_once(&head).unwrap_or_else(|| panic!("no type {type_name}"));
    let (body, _) = rest.split_once("\n}").expect("the end of the type");
    let names = body.lines().filter_map(|line| line.trim().strip_prefix("pub "));
    names.filter_map(|line| Some(line.split_once(':')?.0.to_owned())).collect()
}

fn keys_of_code() -> BTreeSet<String> {
    let source = read(&root().join(SETTINGS_SOURCE));
    let groups: Vec<&str> = PARTS.iter().map(|part| part.prefix.trim_end_matches('.')).collect();
    let mut keys = BTreeSet::new();
    for part in PARTS {
        let fields = fields(&source, part.type_name);
        let own = fields.into_iter().filter(|field| !groups.contains(&field.as_str()));
        keys.extend(own.map(|field| format!("{}{field}", part.prefix)));
    }
    keys
}

fn keys_of_page() -> BTreeSet<String> {
    let page = read(&root().join(SETTINGS_PAGE));
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| Some(row.split_once('`')?.0.to_owned())).collect()
}

#[test]
fn the_page_of_settings_has_the_keys_of_the_code() {
    let keys = keys_of_code();
    assert!(keys.contains("callers.listen") && keys.contains("host"), "{keys:?}");
    assert_eq!(keys_of_page(), keys);
}
