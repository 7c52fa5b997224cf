//! Report: findings while a check is under way.

use super::check::Source;
use crate::finding::Finding;

/// Where a value stands in the sources.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Location {
    /// Index of the source.
    pub source: usize,
    /// Offset in its text, in bytes.
    pub offset: usize,
    /// Dotted path of the key.
    pub key: String,
}

/// A value with its place.
#[derive(Debug, Clone, Default)]
pub(crate) struct Located<T> {
    pub value: T,
    pub location: Location,
}

/// Collects findings; positions are computed only when there are any.
#[derive(Debug, Default)]
pub(crate) struct Report {
    entries: Vec<(Location, String)>,
}

impl Report {
    /// Adds a finding.
    pub fn add(&mut self, location: &Location, message: impl Into<String>) {
        self.entries.push((location.clone(), message.into()));
    }

    /// Number of findings so far; compared before and after a step to learn whether it was sound.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// All findings, sorted by file and position.
    pub fn into_findings(self, sources: &[Source<'_>]) -> Vec<Finding> {
        let mut findings: Vec<Finding> = self
            .entries
            .into_iter()
            .map(|(location, message)| {
                let source = &sources[location.source];
                let (line, column) = position(source.text, location.offset);
                Finding { file: source.name.to_owned(), line, column, key: location.key, message }
            })
            .collect();
        findings.sort();
        findings.dedup();
        findings
    }
}

/// Line and column in characters, both from 1, of a byte offset.
pub(super) fn position(text: &str, offset: usize) -> (usize, usize) {
    let end = text.floor_char_boundary(offset);
    let before = &text[..end];
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    (before.matches('\n').count() + 1, before[line_start..].chars().count() + 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against columns in bytes and against offsets beyond the end.
    #[test]
    fn position_counts_characters() {
        assert_eq!(position("a\nöö = 1", 7), (2, 4));
        assert_eq!(position("a\n", 99), (2, 1));
        assert_eq!(position("", 0), (1, 1));
    }
}
