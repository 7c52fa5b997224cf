//! Compilation of documents into a plan, or into the complete list of findings.

use toml::Spanned;
use toml::de::{DeTable, DeValue, Error};

use super::draft::{self, HOMES};
use super::fit;
use super::home;
use super::plan::Plan;
use super::report::{Location, Report};
use super::resolve;
use super::table::Table;
use crate::finding::Finding;

/// The text of one document.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// File or document name, used in findings.
    pub name: &'a str,
    /// TOML text.
    pub text: &'a str,
    /// Whether the text comes from the store and may contain the generated table of homes.
    pub is_stored: bool,
}

/// Compiles the texts of all documents.
///
/// # Errors
///
/// Returns the findings of all sources, sorted by file and position. If a document has syntax errors, the checks across
/// documents are skipped, since each name that this document declares would be reported as missing.
pub fn compile(sources: &[Source<'_>]) -> Result<Plan, Vec<Finding>> {
    let mut report = Report::default();
    let mut documents = Vec::new();
    for (index, source) in sources.iter().enumerate() {
        let Some(tree) = parse(index, source.text, &mut report) else { continue };
        let root = Table::root(index, tree.get_ref());
        check_generated(&root, source, &mut report);
        documents.push(draft::read(&root, source.is_stored, &mut report));
    }
    if documents.len() < sources.len() {
        return Err(report.into_findings(sources));
    }
    let mut resolved = resolve::resolve(&documents, &mut report);
    fit::check(&resolved, &documents, &mut report);
    if report.len() > 0 {
        return Err(report.into_findings(sources));
    }
    home::assign_missing(&mut resolved.plan);
    resolved.plan.build_job_index();
    Ok(resolved.plan)
}

/// Reports a table of homes in an operator's text, and a damaged generated part in a stored text.
fn check_generated(root: &Table<'_>, source: &Source<'_>, report: &mut Report) {
    if !root.keys().any(|key| key == HOMES) {
        return;
    }
    let location = root.child_location(HOMES, root.key_offset(HOMES));
    if !source.is_stored {
        report.add(&location, "homes are generated when a document is applied; remove this table");
    } else if !home::is_intact(source.text, location.offset) {
        report
            .add(&location, "the generated part of the stored document is damaged; apply the document again");
    }
}

/// Parses a text; reports all syntax errors and returns `None` if there are any.
pub(crate) fn parse<'a>(source: usize, text: &'a str, report: &mut Report) -> Option<Spanned<DeTable<'a>>> {
    let (tree, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let offset = error.span().map_or(0, |span| span.start);
        let key = nearest_key(text, tree.get_ref(), offset);
        report.add(&Location { source, offset, key }, syntax_message(error));
    }
    errors.is_empty().then_some(tree)
}

fn syntax_message(error: &Error) -> String {
    format!("syntax error: {}", error.message().trim().replace('\n', ", "))
}

/// Path of the last key before `offset` on its line, or else of the table that the line belongs to.
fn nearest_key(text: &str, tree: &DeTable<'_>, offset: usize) -> String {
    let before = &text[..text.floor_char_boundary(offset)];
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    let mut keys = Vec::new();
    collect_keys(tree, "", &mut keys);
    let header_start = last_header_start(text, line_start);
    let is_header_known =
        header_start == 0 || keys.iter().any(|key| key.is_table && key.start >= header_start);
    if !is_header_known {
        return header_name(&text[header_start..]);
    }
    let is_candidate = |key: &&KeyPosition| key.start <= offset && (key.is_table || key.start >= line_start);
    keys.iter()
        .filter(is_candidate)
        .max_by_key(|key| key.start)
        .map(|key| key.path.clone())
        .unwrap_or_default()
}

/// Offset of the last table header up to and including the line at `line_start`, or 0 if there is none.
fn last_header_start(text: &str, line_start: usize) -> usize {
    let is_header = |at: &usize| {
        let line = text[*at..].trim_start_matches([' ', '\t']);
        // A line of a nested list also starts with a bracket, but no bare word follows it.
        line.starts_with('[') && line.trim_start_matches('[').starts_with(|c: char| c.is_ascii_alphabetic())
    };
    let mut starts = text[..line_start].rmatch_indices('\n').map(|(at, _)| at + 1);
    starts.find(is_header).unwrap_or_default()
}

/// Table name in a header that the parser rejects.
fn header_name(text: &str) -> String {
    let line = text.lines().next().unwrap_or_default();
    line.trim_matches(|c: char| matches!(c, '[' | ']') || c.is_whitespace()).to_owned()
}

/// Path of a key or table, and the byte offset at which it starts.
struct KeyPosition {
    start: usize,
    path: String,
    is_table: bool,
}

fn collect_keys(table: &DeTable<'_>, prefix: &str, keys: &mut Vec<KeyPosition>) {
    for (key, value) in table {
        let name = key.get_ref();
        let path = if prefix.is_empty() { name.to_string() } else { format!("{prefix}.{name}") };
        let is_table = matches!(value.get_ref(), DeValue::Table(_));
        keys.push(KeyPosition { start: key.span().start, path: path.clone(), is_table });
        match value.get_ref() {
            DeValue::Table(inner) => collect_keys(inner, &path, keys),
            DeValue::Array(array) => {
                for (index, element) in array.iter().enumerate() {
                    let DeValue::Table(inner) = element.get_ref() else { continue };
                    let path = format!("{path}[{index}]");
                    keys.push(KeyPosition {
                        start: element.span().start,
                        path: path.clone(),
                        is_table: true,
                    });
                    collect_keys(inner, &path, keys);
                }
            }
            _ => {}
        }
    }
}
