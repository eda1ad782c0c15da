//! Checks that paths and identifiers named in the architecture page exist, and that links between
//! documentation pages resolve.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Top-level directories. Text that begins with one of these is taken as a path.
const ROOTS: [&str; 6] = ["src/", "crates/", "tests/", "docs/", "deploy/", "examples/"];

fn repository() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// All files with this extension in a directory and its subdirectories.
fn files(directory: &Path, extension: &str) -> Vec<PathBuf> {
    let entries =
        std::fs::read_dir(directory).unwrap_or_else(|e| panic!("{}: {e}", directory.display()));
    let paths = entries.map(|entry| entry.unwrap().path());
    let below = |path: PathBuf| match path.is_dir() {
        true => files(&path, extension),
        false => vec![path],
    };
    let all = paths.flat_map(below);
    all.filter(|path| path.extension().is_some_and(|other| other == extension))
        .collect()
}

/// The text of all source files except this one, which contains names that must not be found.
fn source_text() -> String {
    let directories = ["src", "crates", "tests", "examples"];
    let sources = directories
        .iter()
        .flat_map(|directory| files(&repository().join(directory), "rs"));
    let others = sources.filter(|path| !path.ends_with(file!()));
    others.map(|path| read(&path)).collect()
}

fn is_name_part(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_'
}

fn is_path(span: &str) -> bool {
    ROOTS.iter().any(|root| span.starts_with(root))
}

/// True for text such as `name` or `Type::name`; false for record keys, commands and numbers.
fn is_identifier(span: &str) -> bool {
    let name = |part: &str| !part.starts_with(char::is_numeric) && part.chars().all(is_name_part);
    span.split("::").all(name)
}

/// All text in backticks on a page, and the paths in its fenced code blocks.
fn marked_text(page: &str) -> Vec<&str> {
    let mut marked = Vec::new();
    for (index, block) in page.split("```").enumerate() {
        if index % 2 == 1 {
            marked.extend(block.split_whitespace().filter(|word| is_path(word)));
        } else {
            let spans = |line| str::split(line, '`').skip(1).step_by(2);
            marked.extend(block.lines().flat_map(spans));
        }
    }
    marked
}

/// Paths and identifiers on a page that don't exist. For `Type::name`, if `name` is not a type, the
/// sources must contain a function of that name.
fn missing_names<'a>(page: &'a str, sources: &str) -> Vec<&'a str> {
    let words: BTreeSet<&str> = sources.split(|c| !is_name_part(c)).collect();
    let is_type = |name: &str| name.starts_with(|c: char| c.is_ascii_uppercase());
    let known = |span: &str| match span.rsplit_once("::") {
        Some((_, name)) if !is_type(name) && !sources.contains(&format!("fn {name}")) => false,
        _ => span.split("::").all(|name| words.contains(name)),
    };
    let is_missing = |span: &&str| match is_path(span) {
        true => !repository().join(span).exists(),
        false => is_identifier(span) && !known(span),
    };
    marked_text(page).into_iter().filter(is_missing).collect()
}

#[test]
fn paths_and_names_in_the_architecture_page_exist() {
    let page = read(&repository().join("docs/architecture.md"));
    let names = marked_text(&page)
        .into_iter()
        .filter(|span| is_identifier(span));
    assert!(names.count() > 100, "the names on the page are not found");
    let missing = missing_names(&page, &source_text());
    assert!(missing.is_empty(), "no source has {missing:?}");
}

#[test]
fn missing_paths_and_names_are_reported() {
    let page = "`Controller::refresh` `Controller::baton` `no_such` `ph/job/ID` `src/lib.rs`\n\
                ```text\nsrc/no_such.rs\n```\n";
    let expected = ["Controller::baton", "no_such", "src/no_such.rs"];
    assert_eq!(missing_names(page, &source_text()), expected);
}

#[test]
fn links_between_pages_resolve() {
    let mut pages = files(&repository().join("docs"), "md");
    pages.push(repository().join("README.md"));
    for path in pages {
        let page = read(&path);
        let targets = page
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split(')').next());
        let targets = targets
            .filter(|target| !target.contains("://"))
            .map(|target| target.split('#').next());
        let is_page = |span: &&str| span.ends_with(".md") && !span.contains([' ', '*']);
        let named = marked_text(&page).into_iter().filter(is_page);
        for target in targets.flatten().chain(named) {
            let is_relative = path.with_file_name(target).exists();
            let exists = is_relative || repository().join(target).exists();
            assert!(exists, "{}: no page {target}", path.display());
        }
    }
}
