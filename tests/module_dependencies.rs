//! Checks that the modules in `src/` have no dependency cycle.
//!
//! No file of a cycle can be read, tested or changed without the others. The usual ways to break a
//! cycle are to move what both sides need to a module below both, or to separate data from the
//! tasks that change it.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// The modules that each module uses, by its path, for example `coordination::kv::client`.
type Dependencies = BTreeMap<String, BTreeSet<String>>;

fn source_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

fn rust_files(directory: &Path) -> Vec<PathBuf> {
    let entries =
        std::fs::read_dir(directory).unwrap_or_else(|e| panic!("{}: {e}", directory.display()));
    let paths = entries.map(|entry| entry.unwrap().path());
    let below = |path: PathBuf| match path.is_dir() {
        true => rust_files(&path),
        false => vec![path],
    };
    let files = paths.flat_map(below);
    files
        .filter(|path| path.extension().is_some_and(|extension| extension == "rs"))
        .collect()
}

/// Module path of a file, from its path relative to `src/`.
fn module_of(file: &Path) -> String {
    let without_extension = file.with_extension("");
    let mut names: Vec<&str> = without_extension
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
fn paths_in_tree(tree: &str) -> Vec<String> {
    let tree = tree.trim();
    let Some((prefix, rest)) = tree.split_once('{') else {
        let path = tree.split(" as ").next().unwrap_or_default();
        return vec![path.trim().to_string()];
    };
    let trees = rest.strip_suffix('}').expect("braces are closed");
    let below = split_trees(trees).into_iter().flat_map(paths_in_tree);
    below.map(|path| format!("{prefix}{path}")).collect()
}

/// Splits a list of `use` trees at the commas outside of inner braces.
fn split_trees(trees: &str) -> Vec<&str> {
    let mut depth = 0;
    let parts = trees.split(|c| {
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
fn absolute_path(path: &str, module: &str, modules: &BTreeSet<String>) -> Option<String> {
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
fn containing_module<'a>(path: &'a str, modules: &BTreeSet<String>) -> Option<&'a str> {
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
        let Some(tree) = use_declaration(line) else {
            let words = line.split(|c: char| !c.is_alphanumeric() && c != '_' && c != ':');
            paths.extend(words.filter(|word| word.contains("::")).map(str::to_string));
            continue;
        };
        let mut tree = tree.to_string();
        while !tree.contains(';') {
            tree.push_str(lines.next().expect("a use line ends").trim());
        }
        paths.extend(paths_in_tree(tree.trim_end_matches(';')));
    }
    paths
}

/// The text after `use` on a line that begins a `use` declaration.
fn use_declaration(line: &str) -> Option<&str> {
    let line = line.trim_start();
    let without_visibility = match line.strip_prefix("pub") {
        Some(rest) => rest.trim_start_matches(|c: char| c != ' ').trim_start(),
        None => line,
    };
    without_visibility.strip_prefix("use ")
}

fn dependencies() -> Dependencies {
    let directory = source_directory();
    let files = rust_files(&directory);
    let relative = |file: &Path| file.strip_prefix(&directory).unwrap().to_path_buf();
    let modules: BTreeSet<String> = files
        .iter()
        .map(|file| module_of(&relative(file)))
        .collect();
    let mut dependencies = Dependencies::new();
    for file in &files {
        let module = module_of(&relative(file));
        let source = std::fs::read_to_string(file).unwrap();
        let used: BTreeSet<String> = paths_in(&without_comments(&source))
            .iter()
            .filter_map(|path| absolute_path(path, &module, &modules))
            .filter_map(|path| Some(containing_module(&path, &modules)?.to_string()))
            .filter(|used| *used != module)
            .collect();
        dependencies.insert(module, used);
    }
    dependencies
}

/// A cycle as the list of its modules, with the first one repeated at the end; `None` if there is
/// none.
fn find_cycle(dependencies: &Dependencies) -> Option<Vec<String>> {
    let mut finished = BTreeSet::new();
    dependencies
        .keys()
        .find_map(|module| find_cycle_from(module, dependencies, &mut Vec::new(), &mut finished))
}

fn find_cycle_from(
    module: &str,
    dependencies: &Dependencies,
    path: &mut Vec<String>,
    finished: &mut BTreeSet<String>,
) -> Option<Vec<String>> {
    if let Some(start) = path.iter().position(|on_path| on_path == module) {
        let mut cycle = path[start..].to_vec();
        cycle.push(module.to_string());
        return Some(cycle);
    }
    if finished.contains(module) {
        return None;
    }
    path.push(module.to_string());
    let used = dependencies.get(module).into_iter().flatten();
    let cycle = used
        .into_iter()
        .find_map(|next| find_cycle_from(next, dependencies, path, finished));
    path.pop();
    finished.insert(module.to_string());
    cycle
}

#[test]
fn modules_have_no_dependency_cycle() {
    if let Some(cycle) = find_cycle(&dependencies()) {
        panic!(
            "modules depend on each other in a cycle: {}",
            cycle.join(" -> ")
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
fn a_cycle_is_reported_as_a_path() {
    let uses = |used: &[&str]| used.iter().map(|m| m.to_string()).collect::<BTreeSet<_>>();
    let cycle = Dependencies::from([
        ("a".to_string(), uses(&["b"])),
        ("b".to_string(), uses(&["c", "d"])),
        ("c".to_string(), uses(&[])),
        ("d".to_string(), uses(&["b"])),
    ]);
    assert_eq!(
        find_cycle(&cycle),
        Some(vec!["b".into(), "d".into(), "b".into()])
    );
    let tree = Dependencies::from([
        ("a".to_string(), uses(&["b"])),
        ("b".to_string(), uses(&[])),
    ]);
    assert_eq!(find_cycle(&tree), None);
}

#[test]
fn all_forms_of_use_lines_are_read() {
    let source =
        "use crate::a::{self, b::{c, d as e}};\npub use super::f;\nuse z::k;\nuse std::fmt;\n\
                  fn g() { crate::h::i() }";
    let modules = BTreeSet::from(["x::y::z".to_string()]);
    let paths: Vec<String> = paths_in(source)
        .iter()
        .filter_map(|path| absolute_path(path, "x::y", &modules))
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
