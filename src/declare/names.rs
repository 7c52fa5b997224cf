//! Names of one kind across all documents: lookup, duplicates and hash collisions.

use std::collections::BTreeMap;

use super::draft::Document;
use super::report::{Located, Report};
use super::similarity;

/// Maximum number of items of a kind with 16-bit keys. Only jobs have wider keys.
const MAX_ITEMS: usize = 1 << 16;

/// Declared names of one kind.
pub(crate) struct Names<'a> {
    /// Kind of item, for messages.
    pub kind: &'static str,
    /// Index of each name among the items of its kind.
    pub indexes: BTreeMap<&'a str, usize>,
}

impl<'a> Names<'a> {
    /// Index of a name; reports a name that is not declared.
    pub fn find(&self, name: &Located<String>, report: &mut Report) -> Option<usize> {
        // A name is empty if its value is invalid, which is already reported.
        if name.value.is_empty() {
            return None;
        }
        let found = self.indexes.get(name.value.as_str()).copied();
        if found.is_none() {
            let hint = similarity::suggestion(&name.value, self.indexes.keys().copied());
            report.add(
                &name.location,
                format!("no document declares the {} \"{}\"{hint}", self.kind, name.value),
            );
        }
        found
    }

    /// Index of a name, or 0 if it is not declared, which is reported.
    pub fn find_or_first(&self, name: &Located<String>, report: &mut Report) -> usize {
        self.find(name, report).unwrap_or_default()
    }
}

/// Indexes the names of one kind, and reports duplicates and too many items.
pub(crate) fn index<'a>(
    kind: &'static str,
    documents: &[Document],
    names: impl Iterator<Item = &'a Located<String>>,
    report: &mut Report,
) -> Names<'a> {
    let mut first_declared: BTreeMap<&str, &Located<String>> = BTreeMap::new();
    let mut indexes = BTreeMap::new();
    for (index, name) in names.enumerate() {
        if index == MAX_ITEMS && kind != "job" {
            report.add(&name.location, format!("there are more than {MAX_ITEMS} {kind}s"));
        }
        if name.value.is_empty() {
            continue;
        }
        if let Some(other) = first_declared.get(name.value.as_str()) {
            let document = &documents[other.location.source].name.value;
            let other = &other.location.key;
            let message = format!(
                "the {kind} \"{}\" is already declared by `{other}` in the document \"{document}\"",
                name.value
            );
            report.add(&name.location, message);
            continue;
        }
        first_declared.insert(&name.value, name);
        indexes.insert(name.value.as_str(), index);
    }
    Names { kind, indexes }
}

/// Reports different names whose identity hashes collide.
pub(crate) fn check_identities<'a, I: Ord>(
    kind: &str,
    items: impl Iterator<Item = (&'a Located<String>, I)>,
    report: &mut Report,
) {
    let mut seen: BTreeMap<I, &str> = BTreeMap::new();
    for (name, id) in items {
        let other = *seen.entry(id).or_insert(&name.value);
        if other != name.value {
            let message = format!(
                "the {kind} has the same identity hash as the {kind} \"{other}\"; rename one of them"
            );
            report.add(&name.location, message);
        }
    }
}

/// Reports service names that differ only in case: some callers change the case of a URL, which contains the name.
pub(crate) fn check_case_conflicts<'a>(
    services: impl Iterator<Item = &'a Located<String>>,
    report: &mut Report,
) {
    let mut seen: BTreeMap<String, &str> = BTreeMap::new();
    for name in services {
        let other = *seen.entry(name.value.to_ascii_lowercase()).or_insert(&name.value);
        if other != name.value {
            let message = format!("the name differs from that of the service \"{other}\" only in case");
            report.add(&name.location, message);
        }
    }
}
