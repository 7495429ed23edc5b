//! The README's section for people on call and the operators' page about upgrades name log lines. The sources must still
//! write each of these with the fields named there.

use std::fs;
use std::path::{Path, PathBuf};

/// Heading of the section that names log lines.
const SECTION_HEADING: &str = "\n## On call\n";
/// Start of the next heading, where the section ends.
const NEXT_HEADING: &str = "\n## ";
/// Smallest number of log lines that a page names. Fewer mean that the test no longer parses the page correctly.
const NAMED_LINES_MIN: usize = 12;

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// A log line as a page names it: its event and the names of its fields.
#[derive(Debug)]
struct NamedLine {
    event: String,
    fields: Vec<String>,
}

/// Parses `event=name field=... field="value"`.
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
    let (_, rest) = readme
        .split_once(SECTION_HEADING)
        .expect("the section for people on call");
    let section = rest.split(NEXT_HEADING).next().unwrap_or(rest);
    let first_cells = section
        .lines()
        .filter_map(|line| line.strip_prefix("| ")?.split(" | ").next());
    first_cells.flat_map(quoted_lines).collect()
}

/// The log lines that a text names in backquotes.
fn quoted_lines(text: &str) -> impl Iterator<Item = NamedLine> + '_ {
    let quoted = text.split('`').skip(1).step_by(2);
    quoted.filter_map(parse_named_line)
}

fn append_sources(folder: &Path, sources: &mut String) {
    for entry in fs::read_dir(folder).expect("read a source folder") {
        let path = entry.expect("read a folder entry").path();
        if path.is_dir() {
            append_sources(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push_str(&fs::read_to_string(&path).expect("read a source file"));
        }
    }
}

/// The concatenated sources of all crates except `fakes`, without the `tests` folders of the crates.
fn all_sources() -> String {
    let mut sources = String::new();
    for entry in fs::read_dir(workspace_root().join("crates")).expect("read the crates folder") {
        let folder = entry.expect("read a folder entry").path().join("src");
        if !folder.ends_with("fakes/src") {
            append_sources(&folder, &mut sources);
        }
    }
    sources
}

/// The format strings of an event's log lines, from `event=` to the closing quote.
fn format_strings<'a>(sources: &'a str, event: &str) -> Vec<&'a str> {
    let start = format!("\"event={event}");
    let matches = sources.match_indices(&start);
    let texts = matches.map(|(at, _)| sources[at + 1..].split('"').next().unwrap_or_default());
    let is_whole_name = |text: &&str| {
        let next = text["event=".len() + event.len()..].chars().next();
        next.is_none_or(char::is_whitespace)
    };
    texts.filter(is_whole_name).collect()
}

#[test]
fn every_log_line_named_for_people_on_call_is_written_with_the_fields_named() {
    let readme = fs::read_to_string(workspace_root().join("README.md")).expect("read README.md");
    let lines = named_lines(&readme);
    assert!(lines.len() >= NAMED_LINES_MIN, "{lines:?}");
    assert_all_written(lines);
}

#[test]
fn every_log_line_named_in_the_page_about_upgrades_is_written_with_the_fields_named() {
    let page = workspace_root().join("docs/operations/upgrades.md");
    let page = fs::read_to_string(page).expect("read the page about upgrades");
    // Command blocks, in triple backquotes or indented, name no log lines.
    let lines: Vec<NamedLine> = page.lines().flat_map(quoted_lines).collect();
    assert!(lines.len() >= NAMED_LINES_MIN, "{lines:?}");
    assert_all_written(lines);
}

fn assert_all_written(lines: Vec<NamedLine>) {
    let sources = all_sources();
    for line in lines {
        let formats = format_strings(&sources, &line.event);
        assert!(!formats.is_empty(), "no log line event={}", line.event);
        for field in &line.fields {
            let key = format!(" {field}=");
            let is_written = formats.iter().any(|format| format.contains(&key));
            assert!(is_written, "event={} without {field}", line.event);
        }
    }
}
