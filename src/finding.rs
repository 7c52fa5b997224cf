//! Findings: faults in input files, with their position.
//!
//! A check collects all findings before it reports them, so that one run shows every fault.

use std::fmt;

/// One fault in an input file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Name of the file or document.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Dotted path of the key, for example `service[2].replicas.min`; empty if the fault belongs to no key.
    pub key: String,
    /// Describes the fault and what is expected.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, line, column, key, message } = self;
        if key.is_empty() {
            write!(f, "{file}:{line}:{column}: {message}")
        } else {
            write!(f, "{file}:{line}:{column}: {key}: {message}")
        }
    }
}
