//! Checks that the modules in `src/` have no dependency cycle.
//!
//! No file of a cycle can be read, tested or changed without the others. The usual ways to break a
//! cycle are to move what both sides need to a module below both, or to separate data from the
//! tasks that change it.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// The modules that each module uses, by its path, for example `coordination::kv::client`.
type Dependencies = BTreeMap<String, BTreeSet<String>>;

fn source_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).unwrap_or_else(|e| panic!("{}: {e}", folder.display()));
    let paths = entries.map(|entry| entry.unwrap().path());
    let below = |path: PathBuf| match path.is_dir() {
        true => rust_files(&path),
        false => vec![path],
    };
    let files = paths.flat_map(below);
    files
        .filter(|path| path.extension().is_some_and(|ending| ending == "rs"))
        .collect()
}

/// Module path of a file, from its path relative to `src/`.
fn module_of(file: &Path) -> String {
    let without_ending = file.with_extension("");
    let mut names: Vec<&str> = without_ending
        .components()
        .map(|part| part.as_os_str().to_str().expect("names of files are text"))
        .collect();
    if names.last() == Some(&"mod") {
        names.pop();
    }
    names.join("::")
}

fn without_comments(source: &str) -> String {
    let code = |line: &str| line.split("//").next().unwrap_or_default().to_string();
    let lines: Vec<String> = source.lines().map(code).collect();
    lines.join("\n")
}

/// All paths in a `use` tree: `a::b`, `a::c::d` and `a::c::e` for `a::{b, c::{d, e}}`.
fn paths_of_tree(tree: &str) -> Vec<String> {
    let tree = tree.trim();
    let Some((prefix, rest)) = tree.split_once('{') else {
        let path = tree.split(" as ").next().unwrap_or_default();
        return vec![path.trim().to_string()];
    };
    let branches = rest.strip_suffix('}').expect("braces are closed");
    let below = branches_of(branches).into_iter().flat_map(paths_of_tree);
    below.map(|path| format!("{prefix}{path}")).collect()
}

/// Splits a list of `use` trees at the commas outside of inner braces.
fn branches_of(branches: &str) -> Vec<&str> {
    let mut depth = 0;
    let parts = branches.split(|c| {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => {}
        }
        c == ',' && depth == 0
    });
    parts.filter(|part| !part.trim().is_empty()).collect()
}

/// Converts a path to one from the crate root; `None` for a path into another crate.
fn absolute(path: &str, module: &str, modules: &BTreeSet<String>) -> Option<String> {
    if let Some(path) = path.strip_prefix("crate::") {
        return Some(path.to_string());
    }
    let mut base = module;
    let mut rest = path.strip_prefix("self::").unwrap_or(path);
    while let Some(further) = rest.strip_prefix("super::") {
        base = base.rsplit_once("::").map_or("", |(parent, _)| parent);
        rest = further;
    }
    let joined = match base {
        "" => rest.to_string(),
        base => format!("{base}::{rest}"),
    };
    // A path without `super::` or `crate::` is relative only if it begins with a child module.
    let first = rest.split("::").next().unwrap_or_default();
    let names_child = modules.contains(&format!("{module}::{first}"));
    (base != module || names_child).then_some(joined)
}

/// The module that a path names, or that contains the item that the path names.
fn owner<'a>(path: &'a str, modules: &BTreeSet<String>) -> Option<&'a str> {
    let mut prefix = path;
    while !modules.contains(prefix) {
        prefix = prefix.rsplit_once("::")?.0;
    }
    Some(prefix)
}

/// All paths in `use` declarations and in other code.
fn paths_in(source: &str) -> Vec<String> {
    let mut paths = Vec::new();
    let mut lines = source.lines();
    while let Some(line) = lines.next() {
        let Some(tree) = begin_of_use(line) else {
            let words = line.split(|c: char| !c.is_alphanumeric() && c != '_' && c != ':');
            paths.extend(words.filter(|w| w.contains("::")).map(str::to_string));
            continue;
        };
        let mut tree = tree.to_string();
        while !tree.contains(';') {
            tree.push_str(lines.next().expect("a use line ends").trim());
        }
        paths.extend(paths_of_tree(tree.trim_end_matches(';')));
    }
    paths
}

/// The text after `use` on a line that begins a `use` declaration.
fn begin_of_use(line: &str) -> Option<&str> {
    let line = line.trim_start();
    let private = match line.strip_prefix("pub") {
        Some(rest) => rest.trim_start_matches(|c: char| c != ' ').trim_start(),
        None => line,
    };
    private.strip_prefix("use ")
}

fn dependencies() -> Dependencies {
    let folder = source_folder();
    let files = rust_files(&folder);
    let relative = |file: &Path| file.strip_prefix(&folder).unwrap().to_path_buf();
    let modules: BTreeSet<String> = files.iter().map(|f| module_of(&relative(f))).collect();
    let mut dependencies = Dependencies::new();
    for file in &files {
        let module = module_of(&relative(file));
        let source = std::fs::read_to_string(file).unwrap();
        let used: BTreeSet<String> = paths_in(&without_comments(&source))
            .iter()
            .filter_map(|path| absolute(path, &module, &modules))
            .filter_map(|path| Some(owner(&path, &modules)?.to_string()))
            .filter(|used| *used != module)
            .collect();
        dependencies.insert(module, used);
    }
    dependencies
}

/// A cycle as the list of its modules, with the first one repeated at the end; `None` if there is no
/// cycle.
fn find_circle(dependencies: &Dependencies) -> Option<Vec<String>> {
    let mut finished = BTreeSet::new();
    dependencies
        .keys()
        .find_map(|module| walk(module, dependencies, &mut Vec::new(), &mut finished))
}

fn walk(
    module: &str,
    dependencies: &Dependencies,
    path: &mut Vec<String>,
    finished: &mut BTreeSet<String>,
) -> Option<Vec<String>> {
    if let Some(begin) = path.iter().position(|on_path| on_path == module) {
        let mut circle = path[begin..].to_vec();
        circle.push(module.to_string());
        return Some(circle);
    }
    if finished.contains(module) {
        return None;
    }
    path.push(module.to_string());
    let used = dependencies.get(module).into_iter().flatten();
    let circle = used
        .into_iter()
        .find_map(|next| walk(next, dependencies, path, finished));
    path.pop();
    finished.insert(module.to_string());
    circle
}

#[test]
fn no_modules_use_each_other_in_a_circle() {
    if let Some(circle) = find_circle(&dependencies()) {
        panic!(
            "modules depend on each other in a cycle: {}",
            circle.join(" -> ")
        );
    }
}

#[test]
fn the_sources_are_found_and_use_each_other() {
    let dependencies = dependencies();
    let used = &dependencies["coordination::controller"];
    assert!(used.contains("state::cluster_state"), "{used:?}");
    assert!(used.contains("coordination::metrics"), "{used:?}");
}

#[test]
fn a_circle_is_reported_by_its_path() {
    let uses = |used: &[&str]| used.iter().map(|m| m.to_string()).collect::<BTreeSet<_>>();
    let circle = Dependencies::from([
        ("a".to_string(), uses(&["b"])),
        ("b".to_string(), uses(&["c", "d"])),
        ("c".to_string(), uses(&[])),
        ("d".to_string(), uses(&["b"])),
    ]);
    assert_eq!(
        find_circle(&circle),
        Some(vec!["b".into(), "d".into(), "b".into()])
    );
    let tree = Dependencies::from([
        ("a".to_string(), uses(&["b"])),
        ("b".to_string(), uses(&[])),
    ]);
    assert_eq!(find_circle(&tree), None);
}

#[test]
fn all_forms_of_use_lines_are_read() {
    let source =
        "use crate::a::{self, b::{c, d as e}};\npub use super::f;\nuse z::k;\nuse std::fmt;\n\
                  fn g() { crate::h::i() }";
    let modules = BTreeSet::from(["x::y::z".to_string()]);
    let paths: Vec<String> = paths_in(source)
        .iter()
        .filter_map(|path| absolute(path, "x::y", &modules))
        .collect();
    assert_eq!(
        paths,
        [
            "a::self",
            "a::b::c",
            "a::b::d",
            "x::f",
            "x::y::z::k",
            "h::i"
        ]
    );
}
