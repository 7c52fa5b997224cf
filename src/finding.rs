//! Findings about input files.
//!
//! A check collects every finding with its place before it reports, so that one run shows all that is wrong.

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
    /// Dotted path of the key, for example `service[2].replicas.min`.
    pub key: String,
    /// What is wrong and what is expected.
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
