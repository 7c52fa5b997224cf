//! Report: the findings of a check, with their locations in the sources.

use super::check::Source;
use crate::finding::Finding;

/// Location of a value in the sources.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Location {
    /// Index of the source.
    pub source: usize,
    /// Byte offset in the text of the source.
    pub offset: usize,
    /// Dotted path of the key, such as `pool[0].racks`.
    pub key: String,
}

/// A value with its location.
#[derive(Debug, Clone, Default)]
pub(crate) struct Located<T> {
    pub value: T,
    pub location: Location,
}

/// Collects findings. Line and column of a finding are computed at the end only.
#[derive(Debug, Default)]
pub(crate) struct Report {
    entries: Vec<(Location, String)>,
}

impl Report {
    /// Adds a finding.
    pub fn add(&mut self, location: &Location, message: impl Into<String>) {
        self.entries.push((location.clone(), message.into()));
    }

    /// Number of findings so far. A step is free of findings if the number is the same before and after it.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// All findings, sorted by file and position, without duplicates.
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

/// Line and column of a byte offset; both start at 1, and columns count characters.
pub(super) fn position(text: &str, offset: usize) -> (usize, usize) {
    let end = text.floor_char_boundary(offset);
    let before = &text[..end];
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    (before.matches('\n').count() + 1, before[line_start..].chars().count() + 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against columns that count bytes, and against a panic on an offset beyond the end.
    #[test]
    fn position_counts_characters() {
        assert_eq!(position("a\nöö = 1", 7), (2, 4));
        assert_eq!(position("a\n", 99), (2, 1));
        assert_eq!(position("", 0), (1, 1));
    }
}
