//! The README's section for people on call and the operators' pages name log lines: each must still be written as it is
//! named there.

use std::fs;
use std::path::{Path, PathBuf};

/// The section that names log lines, and where it ends.
const SECTION: &str = "\n## On call\n";
const NEXT_SECTION: &str = "\n## ";
/// Rows that the section has at least: fewer mean that the table is no longer read as it is written.
const ROWS_AT_LEAST: usize = 12;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// A log line as the README names it: its event, and the names of fields that follow.
#[derive(Debug)]
struct NamedLine {
    event: String,
    fields: Vec<String>,
}

/// Reads `event=name field=... field="value"`.
fn parse_named_line(text: &str) -> Option<NamedLine> {
    let mut words = text.split_whitespace();
    let event = words.next()?.strip_prefix("event=")?.to_string();
    let fields = words.filter_map(|word| Some(word.split_once('=')?.0.to_string()));
    Some(NamedLine {
        event,
        fields: fields.collect(),
    })
}

/// The log lines named in the first column of the section's table.
fn named_lines(readme: &str) -> Vec<NamedLine> {
    let (_, rest) = readme.split_once(SECTION).expect("the section");
    let section = rest.split(NEXT_SECTION).next().unwrap_or(rest);
    let first_cells = section
        .lines()
        .filter_map(|line| line.strip_prefix("| ")?.split(" | ").next());
    first_cells.flat_map(quoted_lines).collect()
}

/// The log lines that a text names between backquotes.
fn quoted_lines(text: &str) -> impl Iterator<Item = NamedLine> + '_ {
    let quoted = text.split('`').skip(1).step_by(2);
    quoted.filter_map(parse_named_line)
}

fn add_sources(folder: &Path, sources: &mut String) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            add_sources(&path, sources);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            sources.push_str(&fs::read_to_string(&path).expect("a source file"));
        }
    }
}

/// All sources of the service's crates, without their tests.
fn sources() -> String {
    let mut sources = String::new();
    for entry in fs::read_dir(root().join("crates")).expect("crates") {
        let folder = entry.expect("a crate").path().join("src");
        if !folder.ends_with("fakes/src") {
            add_sources(&folder, &mut sources);
        }
    }
    sources
}

/// Format strings of a log line: from its event to the closing quote.
fn formats<'a>(sources: &'a str, event: &str) -> Vec<&'a str> {
    let start = format!("\"event={event}");
    let found = sources.match_indices(&start);
    let texts = found.map(|(at, _)| sources[at + 1..].split('"').next().unwrap_or_default());
    let is_whole_name = |text: &&str| {
        let next = text["event=".len() + event.len()..].chars().next();
        next.is_none_or(char::is_whitespace)
    };
    texts.filter(is_whole_name).collect()
}

#[test]
fn every_log_line_named_for_people_on_call_is_written_with_the_fields_named() {
    let readme = fs::read_to_string(root().join("README.md")).expect("README.md");
    let lines = named_lines(&readme);
    assert!(lines.len() >= ROWS_AT_LEAST, "{lines:?}");
    assert_written(lines);
}

#[test]
fn every_log_line_named_in_the_page_about_upgrades_is_written_with_the_fields_named() {
    let page = root().join("docs/operations/upgrades.md");
    let page = fs::read_to_string(page).expect("the page");
    // Blocks of commands, between three backquotes or indented, name none.
    let lines: Vec<NamedLine> = page.lines().flat_map(quoted_lines).collect();
    assert!(lines.len() >= ROWS_AT_LEAST, "{lines:?}");
    assert_written(lines);
}

fn assert_written(lines: Vec<NamedLine>) {
    let sources = sources();
    for line in lines {
        let formats = formats(&sources, &line.event);
        assert!(!formats.is_empty(), "no log line event={}", line.event);
        for field in &line.fields {
            let written = format!(" {field}=");
            let is_written = formats.iter().any(|format| format.contains(&written));
            assert!(is_written, "event={} without {field}", line.event);
        }
    }
}
